use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::{
    MAX_PRIORITY, PushRefusal, QueueLimits, RefusedItem,
    service_rate::ServiceRate,
    team_queue::{AgedKey, QueuedItem, TeamQueue},
    team_table::{TeamIndex, TeamTable},
};
use crate::ids::TeamId;

/// Identifies an item of one queue.
pub type TicketId = u64;

/// Units of virtual time per token at weight 1; keeps rounding errors far below one token.
const TAG_SCALE: u128 = 1 << 32;

/// Factor by which the expected wait must exceed the remaining time for an item to be refused when
/// it is pushed, because a wrong refusal costs more than a late one.
const REFUSAL_MARGIN: f64 = 1.25;

/// Start-time fair queue over the teams of one capacity pool.
///
/// The team with the lowest start tag is served next, and each item advances the tag of its team by
/// `cost / weight`. Virtual time is the tag of the item served last. Service by other queues
/// advances a team's tag too, so that the shares hold over the fleet. All operations are O(log n).
#[derive(Debug)]
pub struct FairQueue<T> {
    pub(super) limits: QueueLimits,
    pub(super) teams: TeamTable<T>,
    /// Teams with waiting items, by start tag.
    pub(super) waiting_teams: BTreeSet<(u128, TeamIndex)>,
    /// Teams without waiting items, by start tag. Only teams whose tag is ahead of virtual time are
    /// kept.
    idle_teams: BTreeSet<(u128, TeamIndex)>,
    deadlines: BTreeSet<(Duration, TicketId)>,
    positions: HashMap<TicketId, (TeamIndex, AgedKey)>,
    expired: Vec<T>,
    pub(super) virtual_time: u128,
    /// Part of virtual time that results from charges common to all waiting teams. The rest results
    /// from the service of this queue.
    pub(super) remote_time: u128,
    waiting_weight: u64,
    rate: ServiceRate,
    last_id: TicketId,
}

impl<T> FairQueue<T> {
    /// Returns an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            teams: TeamTable::new(),
            waiting_teams: BTreeSet::new(),
            idle_teams: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            positions: HashMap::new(),
            expired: Vec::new(),
            virtual_time: 0,
            remote_time: 0,
            waiting_weight: 0,
            rate: ServiceRate::default(),
            last_id: 0,
        }
    }

    /// Queues an item of `cost` tokens. A `weight` of 0 counts as 1, and priorities above
    /// [`MAX_PRIORITY`] are reduced to it.
    ///
    /// # Errors
    /// [`RefusedItem`] when a limit is reached or the deadline cannot be met.
    #[allow(clippy::too_many_arguments)] // A parameter struct would have to be built for each call.
    pub fn push(
        &mut self,
        team: &TeamId,
        weight: u32,
        priority: u8,
        cost: u64,
        deadline: Duration,
        now: Duration,
        item: T,
    ) -> Result<TicketId, RefusedItem<T>> {
        let weight = weight.max(1);
        let priority = priority.min(MAX_PRIORITY);
        let queue = self
            .teams
            .index(team)
            .and_then(|index| self.teams.get(index));
        let reason = if queue.map_or(0, TeamQueue::len) >= self.limits.max_team_items {
            Some(PushRefusal::TeamFull)
        } else if self.positions.len() >= self.limits.max_total_items {
            Some(PushRefusal::QueueFull)
        } else if self.misses_deadline(queue, weight, priority, deadline, now) {
            Some(PushRefusal::TooLate)
        } else {
            None
        };
        if let Some(reason) = reason {
            return Err(RefusedItem { reason, item });
        }
        let (virtual_time, local_time) = (self.virtual_time, self.local_time());
        let index = self.teams.index_or_new(team, weight, virtual_time);
        self.unlink(index);
        let Some(queue) = self.teams.get_mut(index) else {
            return Err(RefusedItem {
                reason: PushRefusal::QueueFull,
                item,
            });
        };
        queue.weight = weight;
        if queue.is_empty() {
            queue.tag = queue.tag.max(virtual_time);
            queue.waiting_since = local_time;
        }
        self.last_id += 1;
        let queued = QueuedItem {
            item,
            cost,
            priority,
            deadline,
        };
        let key = queue.push(self.last_id, queued, now);
        self.deadlines.insert((deadline, self.last_id));
        self.positions.insert(self.last_id, (index, key));
        self.link(index);
        self.rate.start(now);
        Ok(self.last_id)
    }

    /// Removes and returns the next item to serve. Items past their deadline are set aside for
    /// [`Self::drain_expired`].
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        self.expire_items(now);
        let (_, team) = *self.waiting_teams.first()?;
        self.unlink(team);
        let queue = self.teams.get_mut(team)?;
        let ((_, id), served) = queue.pop()?;
        self.virtual_time = self.virtual_time.max(queue.tag);
        queue.waiting_since = self.virtual_time - self.remote_time;
        queue.tag += scaled(served.cost, queue.weight);
        self.link(team);
        self.positions.remove(&id);
        self.deadlines.remove(&(served.deadline, id));
        self.rate
            .record(served.cost, !self.positions.is_empty(), now);
        self.remove_idle_teams();
        Some(served.item)
    }

    /// Removes an item from the queue, for example because its caller has disconnected.
    pub fn cancel(&mut self, ticket: TicketId) -> Option<T> {
        let removed = self.remove(ticket);
        self.stop_rate_if_empty();
        removed
    }

    /// Removes and returns the items whose deadline has passed before they were served.
    pub fn drain_expired(&mut self, now: Duration) -> Vec<T> {
        self.expire_items(now);
        std::mem::take(&mut self.expired)
    }

    /// Returns the number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no item is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of teams that the queue keeps in memory.
    #[must_use]
    pub fn tracked_teams(&self) -> usize {
        self.teams.len()
    }

    /// Returns whether an item is expected to miss its deadline. The expected wait is the number of
    /// the team's waiting tokens at this priority and above, divided by the team's share of the
    /// measured service rate.
    #[allow(clippy::cast_precision_loss)] // Rounding does not matter in an estimate.
    fn misses_deadline(
        &self,
        queue: Option<&TeamQueue<T>>,
        weight: u32,
        priority: u8,
        deadline: Duration,
        now: Duration,
    ) -> bool {
        if deadline <= now {
            return true;
        }
        let Some(rate) = self.rate.per_second() else {
            return false;
        };
        let queue = queue.filter(|queue| !queue.is_empty());
        let queued_tokens = queue.map_or(0, |queue| queue.tokens_from(priority));
        let own_weight = queue.map_or(0, |queue| u64::from(queue.weight));
        let total_weight = self.waiting_weight - own_weight + u64::from(weight);
        let share = rate * f64::from(weight) / total_weight as f64;
        queued_tokens as f64 / share > deadline.saturating_sub(now).as_secs_f64() * REFUSAL_MARGIN
    }

    fn expire_items(&mut self, now: Duration) {
        while let Some((deadline, id)) = self.deadlines.first().copied()
            && deadline <= now
        {
            let expired = self.remove(id);
            self.expired.extend(expired);
        }
        self.stop_rate_if_empty();
    }

    fn remove(&mut self, ticket: TicketId) -> Option<T> {
        let (team, key) = self.positions.remove(&ticket)?;
        self.unlink(team);
        let removed = self.teams.get_mut(team)?.remove(&key)?;
        self.link(team);
        self.deadlines.remove(&(removed.deadline, ticket));
        self.remove_idle_teams();
        Some(removed.item)
    }

    fn local_time(&self) -> u128 {
        self.virtual_time - self.remote_time
    }

    fn stop_rate_if_empty(&mut self) {
        if self.positions.is_empty() {
            self.rate.stop();
        }
    }

    /// Removes a team from the ordered sets before its tag, weight or items change.
    pub(super) fn unlink(&mut self, team: TeamIndex) {
        let Some(queue) = self.teams.get(team) else {
            return;
        };
        let position = (queue.tag, team);
        if self.waiting_teams.remove(&position) {
            self.waiting_weight -= u64::from(queue.weight);
        } else {
            self.idle_teams.remove(&position);
        }
    }

    pub(super) fn set_tag(&mut self, team: TeamIndex, tag: u128) {
        self.unlink(team);
        if let Some(queue) = self.teams.get_mut(team) {
            queue.tag = tag;
        }
        self.link(team);
    }

    pub(super) fn link(&mut self, team: TeamIndex) {
        let Some(queue) = self.teams.get(team) else {
            return;
        };
        let position = (queue.tag, team);
        if queue.is_empty() {
            self.idle_teams.insert(position);
        } else {
            self.waiting_weight += u64::from(queue.weight);
            self.waiting_teams.insert(position);
        }
    }

    pub(super) fn remove_idle_teams(&mut self) {
        while let Some((tag, _)) = self.idle_teams.first()
            && *tag <= self.virtual_time
        {
            if let Some((_, team)) = self.idle_teams.pop_first() {
                self.teams.remove(team);
            }
        }
    }
}

pub(super) fn scaled(tokens: u64, weight: u32) -> u128 {
    u128::from(tokens) * TAG_SCALE / u128::from(weight)
}
