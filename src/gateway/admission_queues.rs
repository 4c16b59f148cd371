use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rand::Rng;
use spdlog::prelude::*;
use tokio::sync::Notify;

use super::{admission_ticket::AdmissionTicket, loads::WaitSums, targets::TargetTable};
use crate::{
    admission::{AdmissionQueue, TicketId, WaitForecast, WaitingRequest},
    route::PoolId,
    sync::{WaitSum, pool_hash},
};

/// Interval at which the first request of each pool checks again: not every change of capacity sends a
/// notification.
const CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Interval of the log line about waiting requests.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a pool that nobody waits for is forgotten.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// Weight of a new sample in the average time to the first byte.
const FIRST_BYTE_WEIGHT: f64 = 0.1;

/// Queues of the requests that wait for capacity at this gateway, one for each pool.
///
/// A waiting request sleeps until it gets its turn. It has the turn from the notification on, and passes
/// it on when it leaves or finds no slot.
pub struct AdmissionQueues {
    started_at: Instant,
    pools: Mutex<HashMap<PoolId, PoolState>>,
    /// Wakes the task that gives turns.
    entered: Notify,
    /// Wakes the task that tells other gateways how many requests wait.
    counts_changed: Notify,
    other_waits: Mutex<WaitSums>,
}

struct PoolState {
    queue: AdmissionQueue,
    waiters: HashMap<TicketId, Arc<Notify>>,
    first_byte: Option<Duration>,
    used_at: Duration,
}

impl PoolState {
    fn new(now: Duration) -> Self {
        Self {
            queue: AdmissionQueue::new(now),
            waiters: HashMap::new(),
            first_byte: None,
            used_at: now,
        }
    }

    fn wake(&self, ticket: Option<TicketId>) {
        if let Some(waiter) = ticket.and_then(|ticket| self.waiters.get(&ticket)) {
            waiter.notify_one();
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // The cast saturates.
    fn wait_sum(&mut self, now: Duration) -> WaitSum {
        WaitSum {
            ranks: self.queue.counts(),
            slot_rate: (self.queue.slot_rate(now).unwrap_or(0.0) * 1000.0) as u32,
        }
    }
}

impl Default for AdmissionQueues {
    fn default() -> Self {
        Self::new()
    }
}

impl AdmissionQueues {
    /// Creates queues without requests.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            pools: Mutex::default(),
            entered: Notify::new(),
            counts_changed: Notify::new(),
            other_waits: Mutex::default(),
        }
    }

    fn pools(&self) -> MutexGuard<'_, HashMap<PoolId, PoolState>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn other_waits(&self) -> MutexGuard<'_, WaitSums> {
        let waits = self.other_waits.lock();
        waits.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a time on the clock of the queues.
    #[must_use]
    pub fn time(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started_at)
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds a request to the queue of a pool and gives the turn to the first one, which may be it.
    pub fn enter(self: &Arc<Self>, pool: &PoolId, request: WaitingRequest) -> AdmissionTicket {
        let now = self.now();
        let waiter = Arc::new(Notify::new());
        let mut pools = self.pools();
        let state = pools
            .entry(pool.clone())
            .or_insert_with(|| PoolState::new(now));
        state.used_at = now;
        let id = state.queue.push(request, now);
        state.waiters.insert(id, Arc::clone(&waiter));
        let first = state.queue.begin_round(now);
        state.wake(first);
        drop(pools);
        self.entered.notify_one();
        self.counts_changed.notify_one();
        AdmissionTicket::new(self, pool, id, waiter)
    }

    /// Removes a request, either because it takes a slot or because it leaves, and gives the turn to
    /// the next one.
    pub(super) fn leave(&self, pool: &PoolId, id: TicketId, is_admitted: bool) {
        let now = self.now();
        let mut pools = self.pools();
        let Some(state) = pools.get_mut(pool) else {
            return;
        };
        state.waiters.remove(&id);
        state.used_at = now;
        if is_admitted {
            state.queue.admit(id, now);
        } else {
            state.queue.remove(id, now);
        }
        let first = state.queue.begin_round(now);
        state.wake(first);
        self.counts_changed.notify_one();
    }

    /// Gives the turn to the request after one that found no slot.
    pub(super) fn pass_turn(&self, pool: &PoolId, id: TicketId) {
        let now = self.now();
        if let Some(state) = self.pools().get_mut(pool) {
            let next = state.queue.pass_turn(id, now);
            state.wake(next);
        }
    }

    /// Returns the expected wait of a request.
    pub(super) fn forecast(&self, pool: &PoolId, id: TicketId) -> Option<WaitForecast> {
        let now = self.now();
        let mut pools = self.pools();
        let state = pools.get_mut(pool)?;
        Some(state.queue.forecast(id, now))
    }

    /// Returns whether the wait of a request is futile while the pool has `free_slots`.
    pub(super) fn is_futile(&self, pool: &PoolId, id: TicketId, free_slots: u32) -> bool {
        let others = self.other_waits().get(&pool_hash(pool)).copied();
        let others = others.unwrap_or_default();
        let now = self.now();
        let mut pools = self.pools();
        let state = pools.get_mut(pool);
        state.is_some_and(|state| state.queue.is_futile(id, free_slots, &others.ranks, now))
    }

    /// Returns whether a request may take one of `free_slots`, of which other gateways need one for
    /// each more urgent request that waits there.
    pub(super) fn may_take_slot(&self, pool: &PoolId, id: TicketId, free_slots: u32) -> bool {
        let others = self.other_waits().get(&pool_hash(pool)).copied();
        let now = self.now();
        let mut pools = self.pools();
        let Some(state) = pools.get_mut(pool) else {
            return true;
        };
        let others = others.unwrap_or_default();
        let other_rate = f64::from(others.slot_rate) / 1000.0;
        let queue = &mut state.queue;
        let draw = rand::rng().random();
        queue.may_take_slot(id, free_slots, &others.ranks, other_rate, draw, now)
    }

    /// Records the time to the first byte of an answer from a pool.
    pub(super) fn record_first_byte(&self, pool: &PoolId, first_byte: Duration) {
        if let Some(state) = self.pools().get_mut(pool) {
            let mean = state.first_byte.unwrap_or(first_byte);
            let mean =
                mean.mul_f64(1.0 - FIRST_BYTE_WEIGHT) + first_byte.mul_f64(FIRST_BYTE_WEIGHT);
            state.first_byte = Some(mean);
        }
    }

    /// Returns the average time to the first byte of a pool; `None` before the first answer.
    pub(super) fn expected_first_byte(&self, pool: &PoolId) -> Option<Duration> {
        self.pools().get(pool)?.first_byte
    }

    /// Waits until the number of waiting requests changes.
    pub(super) async fn counts_changed(&self) {
        self.counts_changed.notified().await;
    }

    /// Returns whether any request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.pools().values().any(|state| !state.queue.is_empty())
    }

    /// Returns the requests that wait at this gateway.
    pub(super) fn own_waits(&self) -> WaitSums {
        let now = self.now();
        let mut pools = self.pools();
        let waiting = pools
            .iter_mut()
            .filter(|(_, state)| !state.queue.is_empty());
        waiting
            .map(|(pool, state)| (pool_hash(pool), state.wait_sum(now)))
            .collect()
    }

    /// Replaces the requests that wait at other gateways.
    pub(super) fn apply_other_waits(&self, others: WaitSums) {
        *self.other_waits() = others;
    }

    /// Gives the turn to the first request of each pool whenever capacity becomes free, until the task
    /// is dropped.
    pub(super) async fn run(self: Arc<Self>, targets: Arc<TargetTable>) {
        let mut reported_at = self.now();
        loop {
            if self.has_waiting() {
                // An error means that no notification came in time.
                let _ = tokio::time::timeout(CHECK_INTERVAL, targets.capacity_freed()).await;
            } else {
                self.entered.notified().await;
            }
            self.begin_rounds();
            if self.now().saturating_sub(reported_at) >= REPORT_INTERVAL {
                reported_at = self.now();
                self.report();
            }
        }
    }

    /// Starts a round in each pool. Pools may share targets, so the most urgent request checks first.
    fn begin_rounds(&self) {
        let now = self.now();
        let mut pools = self.pools();
        let mut firsts: Vec<_> = pools
            .values_mut()
            .filter_map(|state| {
                let first = state.queue.begin_round(now)?;
                let rank = state.queue.rank(first)?;
                Some((rank, Arc::clone(state.waiters.get(&first)?)))
            })
            .collect();
        drop(pools);
        firsts.sort_by_key(|(rank, _)| *rank);
        for (_, waiter) in firsts {
            waiter.notify_one();
        }
    }

    /// Logs the figures of the queues and forgets unused ones.
    fn report(&self) {
        let now = self.now();
        let others = self.other_waits().clone();
        let mut pools = self.pools();
        pools.retain(|_, state| {
            !state.queue.is_empty() || now.saturating_sub(state.used_at) < MAX_IDLE
        });
        let waiting = pools
            .iter_mut()
            .filter(|(_, state)| !state.queue.is_empty());
        for (pool, state) in waiting {
            let others = others.get(&pool_hash(pool)).copied().unwrap_or_default();
            info!("queue: requests wait", kv: {
                pool:? = pool,
                waiting = state.queue.len(),
                ranks:? = state.queue.counts(),
                other_ranks:? = others.ranks,
                slots_per_second = state.queue.slot_rate(now).unwrap_or(-1.0),
            });
        }
    }
}
