use std::{collections::BinaryHeap, time::Duration};

use smallvec::SmallVec;

use super::{
    RANKS, RankCounts, RankCredit, SLOTS_PER_LESS_URGENT, WaitForecast, WaitingRequest,
    slot_draw::SlotDraw, slot_rate::SlotRate, team_shares::TeamShares,
};

/// Identifies a waiting request of one queue.
pub type TicketId = u64;

/// Number of requests that check in turn for a free slot after a change of capacity. A request with a
/// long prompt may find no room where the next one does.
const MAX_CHECKS: usize = 4;

/// Order of two requests: the lower key is served first.
type OrderKey = (u8, bool, u64, Duration, u64, TicketId);

/// Requests of one gateway that wait for a slot of one pool, in the order in which they get it.
///
/// The order is by rank; then requests whose first byte can still meet its target; then the team that
/// received least; then the latest start, the work and the arrival. It depends on the time, so the
/// first request is looked for when a slot becomes free. Operations are linear in the number of
/// waiting requests, which is some hundred at most.
#[derive(Debug)]
pub struct AdmissionQueue {
    entries: Vec<(TicketId, WaitingRequest)>,
    /// Work that teams received by rank.
    shares: [TeamShares; RANKS],
    rate: SlotRate,
    credit: RankCredit,
    draw: SlotDraw,
    /// Slots given in a row to requests while less urgent ones waited.
    passed_over: u32,
    /// Checks of the round in progress.
    checks: usize,
    last_id: TicketId,
}

impl AdmissionQueue {
    /// Creates an empty queue at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            entries: Vec::new(),
            shares: Default::default(),
            rate: SlotRate::new(now),
            credit: RankCredit::default(),
            draw: SlotDraw::default(),
            passed_over: 0,
            checks: 0,
            last_id: 0,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, request: WaitingRequest, now: Duration) -> TicketId {
        self.update(now);
        self.rate.record_arrival(request.rank_index());
        self.last_id += 1;
        self.entries.push((self.last_id, request));
        self.last_id
    }

    /// Removes a request that leaves without a slot. Returns whether it was waiting.
    pub fn remove(&mut self, ticket: TicketId, now: Duration) -> bool {
        self.update(now);
        self.take(ticket).is_some()
    }

    /// Removes a request that takes a slot. Returns whether it was waiting.
    pub fn admit(&mut self, ticket: TicketId, now: Duration) -> bool {
        self.update(now);
        let Some(request) = self.take(ticket) else {
            return false;
        };
        self.rate.record_slot();
        self.shares[request.rank_index()].record(&request.team, request.work);
        let ranks = || self.entries.iter().map(|(_, other)| other.rank);
        match () {
            () if ranks().any(|rank| rank < request.rank) => self.passed_over = 0,
            () if ranks().any(|rank| rank > request.rank) => self.passed_over += 1,
            () => {}
        }
        true
    }

    /// Starts a round of checks after a change of capacity. Returns the request that checks first.
    pub fn begin_round(&mut self, now: Duration) -> Option<TicketId> {
        self.checks = 1;
        self.turns(now).first().copied()
    }

    /// Returns the request that checks after `ticket` found no slot that it can use; `None` when the
    /// round ends.
    pub fn pass_turn(&mut self, ticket: TicketId, now: Duration) -> Option<TicketId> {
        if self.checks >= MAX_CHECKS {
            return None;
        }
        self.checks += 1;
        let turns = self.turns(now);
        let position = turns.iter().position(|turn| *turn == ticket)?;
        turns.get(position + 1).copied()
    }

    /// Returns whether a request may take one of the pool's free slots. `others` are the requests that
    /// wait at other gateways, each more urgent one of which needs a slot, and `other_rate` is the
    /// slots a second that these gateways give. `draw` is uniform between 0 and 1.
    pub fn may_take_slot(
        &mut self,
        ticket: TicketId,
        free_slots: u32,
        others: &RankCounts,
        other_rate: f64,
        draw: f64,
        now: Duration,
    ) -> bool {
        self.update(now);
        let own = self.counts();
        let fleet_rate = other_rate + self.rate.per_second().unwrap_or(0.0);
        self.credit.earn(&own, others, fleet_rate, now);
        let Some(rank) = self.rank(ticket).map(usize::from) else {
            return false;
        };
        let more_urgent =
            |counts: &RankCounts| -> u32 { counts.iter().take(rank).copied().map(u32::from).sum() };
        match () {
            // This gateway owes a slot to a less urgent request of its own.
            () if more_urgent(&own) > 0 => self.owes_less_urgent(),
            () if free_slots > more_urgent(others) => {
                let free = free_slots - more_urgent(others);
                let waiting = (free, u32::from(own[rank]), u32::from(others[rank]));
                self.draw.takes_slot(rank, waiting, draw, now)
            }
            () if self.credit.has_slot() => {
                self.credit.take_slot();
                true
            }
            () => false,
        }
    }

    /// Returns the expected wait of a request of the queue.
    #[must_use]
    pub fn forecast(&mut self, ticket: TicketId, now: Duration) -> WaitForecast {
        self.update(now);
        let own = self.entries.iter().find(|(id, _)| *id == ticket);
        let Some((_, request)) = own else {
            return WaitForecast::new(0, 0, None, None);
        };
        let own_key = self.order_key(ticket, request, now);
        let others = self.entries.iter();
        let ahead = others.filter(|(id, other)| self.order_key(*id, other, now) < own_key);
        let (urgent, same): (Vec<_>, Vec<_>) =
            ahead.partition(|(_, other)| other.rank < request.rank);
        let rate_left = self.rate.left_for(request.rank_index());
        WaitForecast::new(urgent.len(), same.len(), self.rate.per_second(), rate_left)
    }

    /// Returns whether a request should be refused at once: its wait is futile, and each of the pool's
    /// `free_slots` is needed by a request that precedes it here or waits among `others` elsewhere.
    pub fn is_futile(
        &mut self,
        ticket: TicketId,
        free_slots: u32,
        others: &RankCounts,
        now: Duration,
    ) -> bool {
        let forecast = self.forecast(ticket, now);
        let own = self.entries.iter().find(|(id, _)| *id == ticket);
        let Some((_, request)) = own else {
            return false;
        };
        let others = others.iter().take(request.rank_index() + 1);
        let claims = forecast.position + others.copied().map(usize::from).sum::<usize>();
        let has_free_slot = usize::try_from(free_slots).is_ok_and(|free| free > claims);
        !has_free_slot && forecast.is_futile(request.wait_until.saturating_sub(now))
    }

    /// Returns the number of waiting requests by rank.
    #[must_use]
    pub fn counts(&self) -> RankCounts {
        let mut counts = [0; RANKS];
        for (_, request) in &self.entries {
            let count: &mut u16 = &mut counts[request.rank_index()];
            *count = count.saturating_add(1);
        }
        counts
    }

    /// Returns the rank of a waiting request.
    #[must_use]
    pub fn rank(&self, ticket: TicketId) -> Option<u8> {
        let own = self.entries.iter().find(|(id, _)| *id == ticket);
        own.map(|(_, request)| request.rank)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the slots a second that the pool gives to this gateway; `None` while it is unknown.
    pub fn slot_rate(&mut self, now: Duration) -> Option<f64> {
        self.update(now);
        self.rate.per_second()
    }

    /// Returns whether the next slot goes to a less urgent request.
    fn owes_less_urgent(&self) -> bool {
        self.passed_over >= SLOTS_PER_LESS_URGENT - 1
    }

    fn update(&mut self, now: Duration) {
        self.rate.update(!self.entries.is_empty(), now);
    }

    fn take(&mut self, ticket: TicketId) -> Option<WaitingRequest> {
        let position = self.entries.iter().position(|(id, _)| *id == ticket)?;
        Some(self.entries.swap_remove(position).1)
    }

    fn order_key(&self, ticket: TicketId, request: &WaitingRequest, now: Duration) -> OrderKey {
        (
            request.rank,
            !request.can_meet_target(now),
            self.shares[request.rank_index()].received(&request.team),
            request.latest_start,
            request.work,
            ticket,
        )
    }

    /// Returns the requests that check in turn. Turns stay within the rank of the first request: a
    /// less urgent one would take the room that a more urgent one waits for.
    fn turns(&self, now: Duration) -> SmallVec<[TicketId; MAX_CHECKS]> {
        let Some(first_rank) = self.entries.iter().map(|(_, request)| request.rank).min() else {
            return SmallVec::new();
        };
        let mut turns = SmallVec::new();
        if self.owes_less_urgent() {
            let others = self.entries.iter();
            let others = others.filter(|(_, request)| request.rank > first_rank);
            let longest = others.min_by_key(|(id, request)| (request.arrived_at, *id));
            turns.extend(longest.map(|(id, _)| *id));
        }
        let first = self.entries.iter();
        let first = first.filter(|(_, request)| request.rank == first_rank);
        let keys = first.map(|(id, request)| self.order_key(*id, request, now));
        // A heap of the lowest keys keeps this linear in the number of waiting requests.
        let mut lowest = BinaryHeap::with_capacity(MAX_CHECKS + 1);
        for key in keys {
            lowest.push(key);
            if lowest.len() > MAX_CHECKS {
                lowest.pop();
            }
        }
        turns.extend(lowest.into_sorted_vec().into_iter().map(|key| key.5));
        turns
    }
}
