use std::collections::HashMap;

use super::team_queue::TeamQueue;
use crate::ids::TeamId;

/// Place of a team in the table; compares faster than its name.
pub(super) type TeamIndex = u32;

/// The teams that one queue knows.
#[derive(Debug)]
pub(super) struct TeamTable<T> {
    places: HashMap<TeamId, TeamIndex>,
    teams: Vec<Option<(TeamId, TeamQueue<T>)>>,
    vacant: Vec<TeamIndex>,
}

impl<T> TeamTable<T> {
    pub fn new() -> Self {
        Self {
            places: HashMap::new(),
            teams: Vec::new(),
            vacant: Vec::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn index(&self, team: &TeamId) -> Option<TeamIndex> {
        self.places.get(team).copied()
    }

    /// Returns the place of a team, which starts at this tag if it is new.
    pub fn index_or_new(&mut self, team: &TeamId, weight: u32, tag: u128) -> TeamIndex {
        if let Some(index) = self.index(team) {
            return index;
        }
        let index = self.vacant.pop().unwrap_or_else(|| {
            self.teams.push(None);
            TeamIndex::try_from(self.teams.len() - 1).unwrap_or(TeamIndex::MAX)
        });
        self.teams[index as usize] = Some((team.clone(), TeamQueue::new(weight, tag)));
        self.places.insert(team.clone(), index);
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
            self.places.remove(&team);
            self.vacant.push(index);
        }
    }
}
