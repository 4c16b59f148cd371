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

/// Names an item of one queue.
pub type TicketId = u64;

/// Units of virtual time for one token at weight 1; keeps rounding far below a token.
const TAG_SCALE: u128 = 1 << 32;

/// An item is refused early only if the expected wait exceeds the time left by this factor, since
/// a wrong refusal costs more than a late one.
const REFUSAL_MARGIN: f64 = 1.25;

/// Start-time fair queue over the teams of one capacity pool.
///
/// A team's items are served from the start tag of the team on; each item moves the tag by
/// `cost / weight`. Virtual time is the tag of the item served last. Service that a team receives
/// elsewhere moves its tag too, so that shares hold over the fleet. All operations are O(log n).
#[derive(Debug)]
pub struct FairQueue<T> {
    pub(super) limits: QueueLimits,
    pub(super) teams: TeamTable<T>,
    /// Teams with waiting items, by start tag.
    pub(super) ready: BTreeSet<(u128, TeamIndex)>,
    /// Teams without waiting items whose tag is ahead of virtual time; others are forgotten.
    idle: BTreeSet<(u128, TeamIndex)>,
    deadlines: BTreeSet<(Duration, TicketId)>,
    places: HashMap<TicketId, (TeamIndex, AgedKey)>,
    expired: Vec<T>,
    pub(super) virtual_time: u128,
    /// Part of virtual time that comes from charges common to all teams that wait; the rest comes
    /// from this queue's own service.
    pub(super) charged_time: u128,
    ready_weight: u64,
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
            ready: BTreeSet::new(),
            idle: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            places: HashMap::new(),
            expired: Vec::new(),
            virtual_time: 0,
            charged_time: 0,
            ready_weight: 0,
            rate: ServiceRate::default(),
            last_id: 0,
        }
    }

    /// Queues an item of `cost` tokens. `weight` is at least 1; priorities above
    /// [`MAX_PRIORITY`] count as that.
    ///
    /// # Errors
    /// [`RefusedItem`] when a bound is reached or the deadline cannot be met.
    #[allow(clippy::too_many_arguments)] // One request; a struct would be built for each call.
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
        let known = self
            .teams
            .index(team)
            .and_then(|index| self.teams.get(index));
        let reason = if known.map_or(0, TeamQueue::len) >= self.limits.max_team_items {
            Some(PushRefusal::TeamFull)
        } else if self.places.len() >= self.limits.max_total_items {
            Some(PushRefusal::QueueFull)
        } else if self.is_too_late(known, weight, priority, deadline, now) {
            Some(PushRefusal::TooLate)
        } else {
            None
        };
        if let Some(reason) = reason {
            return Err(RefusedItem { reason, item });
        }
        let (virtual_time, own_time) = (self.virtual_time, self.own_time());
        let index = self.teams.index_or_new(team, weight, virtual_time);
        self.detach(index);
        let Some(queue) = self.teams.get_mut(index) else {
            return Err(RefusedItem {
                reason: PushRefusal::QueueFull,
                item,
            });
        };
        queue.weight = weight;
        if queue.is_empty() {
            queue.tag = queue.tag.max(virtual_time);
            queue.waiting_since = own_time;
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
        self.places.insert(self.last_id, (index, key));
        self.attach(index);
        self.rate.start(now);
        Ok(self.last_id)
    }

    /// Takes the item that is to be served next. Items past their deadline are set aside for
    /// [`Self::drain_expired`].
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        self.expire(now);
        let (_, team) = *self.ready.first()?;
        self.detach(team);
        let queue = self.teams.get_mut(team)?;
        let ((_, id), served) = queue.pop()?;
        self.virtual_time = self.virtual_time.max(queue.tag);
        queue.waiting_since = self.virtual_time - self.charged_time;
        queue.tag += scaled(served.cost, queue.weight);
        self.attach(team);
        self.places.remove(&id);
        self.deadlines.remove(&(served.deadline, id));
        self.rate.record(served.cost, !self.places.is_empty(), now);
        self.forget_idle();
        Some(served.item)
    }

    /// Takes an item out of the queue, for example because its caller is gone.
    pub fn cancel(&mut self, ticket: TicketId) -> Option<T> {
        let removed = self.remove(ticket);
        self.stop_if_empty();
        removed
    }

    /// Takes the items whose deadline has passed; none of them was served.
    pub fn drain_expired(&mut self, now: Duration) -> Vec<T> {
        self.expire(now);
        std::mem::take(&mut self.expired)
    }

    /// Number of items that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether no item waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Number of teams that cost memory at present.
    #[must_use]
    pub fn tracked_teams(&self) -> usize {
        self.teams.len()
    }

    /// The expected wait is the team's tokens at this priority and above over the team's share of
    /// the measured service rate.
    #[allow(clippy::cast_precision_loss)] // A rounding error of the estimate is harmless.
    fn is_too_late(
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
        let ahead = queue.map_or(0, |queue| queue.tokens_from(priority));
        let own = queue.map_or(0, |queue| u64::from(queue.weight));
        let all = self.ready_weight - own + u64::from(weight);
        let share = rate * f64::from(weight) / all as f64;
        ahead as f64 / share > deadline.saturating_sub(now).as_secs_f64() * REFUSAL_MARGIN
    }

    fn expire(&mut self, now: Duration) {
        while let Some((deadline, id)) = self.deadlines.first().copied()
            && deadline <= now
        {
            let expired = self.remove(id);
            self.expired.extend(expired);
        }
        self.stop_if_empty();
    }

    fn remove(&mut self, ticket: TicketId) -> Option<T> {
        let (team, key) = self.places.remove(&ticket)?;
        self.detach(team);
        let removed = self.teams.get_mut(team)?.remove(&key)?;
        self.attach(team);
        self.deadlines.remove(&(removed.deadline, ticket));
        self.forget_idle();
        Some(removed.item)
    }

    fn own_time(&self) -> u128 {
        self.virtual_time - self.charged_time
    }

    fn stop_if_empty(&mut self) {
        if self.places.is_empty() {
            self.rate.stop();
        }
    }

    /// Takes a team out of the ordered sets before its tag, weight or items change.
    pub(super) fn detach(&mut self, team: TeamIndex) {
        let Some(queue) = self.teams.get(team) else {
            return;
        };
        let place = (queue.tag, team);
        if self.ready.remove(&place) {
            self.ready_weight -= u64::from(queue.weight);
        } else {
            self.idle.remove(&place);
        }
    }

    pub(super) fn move_tag(&mut self, team: TeamIndex, tag: u128) {
        self.detach(team);
        if let Some(queue) = self.teams.get_mut(team) {
            queue.tag = tag;
        }
        self.attach(team);
    }

    pub(super) fn attach(&mut self, team: TeamIndex) {
        let Some(queue) = self.teams.get(team) else {
            return;
        };
        let place = (queue.tag, team);
        if queue.is_empty() {
            self.idle.insert(place);
        } else {
            self.ready_weight += u64::from(queue.weight);
            self.ready.insert(place);
        }
    }

    pub(super) fn forget_idle(&mut self) {
        while let Some((tag, _)) = self.idle.first()
            && *tag <= self.virtual_time
        {
            if let Some((_, team)) = self.idle.pop_first() {
                self.teams.remove(team);
            }
        }
    }
}

pub(super) fn scaled(tokens: u64, weight: u32) -> u128 {
    u128::from(tokens) * TAG_SCALE / u128::from(weight)
}
