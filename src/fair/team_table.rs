use std::collections::HashMap;

use super::team_queue::TeamQueue;
use crate::ids::TeamId;

/// Index of a team in the table; comparing it is faster than comparing the team's name.
pub(super) type TeamIndex = u32;

/// Teams of one queue.
#[derive(Debug)]
pub(super) struct TeamTable<T> {
    indices: HashMap<TeamId, TeamIndex>,
    teams: Vec<Option<(TeamId, TeamQueue<T>)>>,
    free_indices: Vec<TeamIndex>,
}

impl<T> TeamTable<T> {
    pub fn new() -> Self {
        Self {
            indices: HashMap::new(),
            teams: Vec::new(),
            free_indices: Vec::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.indices.len()
    }

    pub fn index(&self, team: &TeamId) -> Option<TeamIndex> {
        self.indices.get(team).copied()
    }

    /// Returns the index of a team. A new team is added with this weight and start tag.
    pub fn index_or_new(&mut self, team: &TeamId, weight: u32, tag: u128) -> TeamIndex {
        if let Some(index) = self.index(team) {
            return index;
        }
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.teams.push(None);
            TeamIndex::try_from(self.teams.len() - 1).unwrap_or(TeamIndex::MAX)
        });
        self.teams[index as usize] = Some((team.clone(), TeamQueue::new(weight, tag)));
        self.indices.insert(team.clone(), index);
        index
    }

    pub fn get(&self, index: TeamIndex) -> Option<&TeamQueue<T>> {
        Some(&self.teams.get(index as usize)?.as_ref()?.1)
    }

    pub fn get_mut(&mut self, index: TeamIndex) -> Option<&mut TeamQueue<T>> {
        Some(&mut self.teams.get_mut(index as usize)?.as_mut()?.1)
    }

    pub fn remove(&mut self, index: TeamIndex) {
        if let Some((team, _)) = self.teams[index as usize].take() {
            self.indices.remove(&team);
            self.free_indices.push(index);
        }
    }
}
