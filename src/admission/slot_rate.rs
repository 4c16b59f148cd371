use std::time::Duration;

use super::{RANKS, SLOTS_PER_LESS_URGENT, decaying_rate::DecayingRate};

/// Time constant of the rate of slots: long enough for tens of slots of one gateway, short enough to
/// follow a lost or added data centre within a few seconds.
const SLOT_TIME_CONSTANT_S: f64 = 2.0;
/// Time constant of the rates of arrivals. In a burst a slower average lets less urgent requests wait
/// whose slots the more urgent ones will take.
const ARRIVAL_TIME_CONSTANT_S: f64 = 1.0;
/// Counted seconds from which on the rate of slots is known, however few there were.
const MIN_KNOWN_SECONDS: f64 = 0.5;
/// Slots from which on the rate is known sooner. In a burst, requests that are let in before the rate is
/// known outlast more urgent ones, which may wait for less time.
const MIN_KNOWN_SLOTS: f64 = 3.0;
/// Time without a waiting request after which the rate of slots is unknown again.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// Rate at which a pool gives slots to this gateway, and rate at which requests arrive.
///
/// Slots count only while a request waits: without one, the rate of admissions is the rate of
/// arrivals, which says nothing about the capacity.
#[derive(Debug)]
pub(super) struct SlotRate {
    slots: DecayingRate<1>,
    arrivals: DecayingRate<RANKS>,
    waited_at: Duration,
}

impl SlotRate {
    /// Creates an unknown rate.
    pub fn new(now: Duration) -> Self {
        Self {
            slots: DecayingRate::new(SLOT_TIME_CONSTANT_S, now),
            arrivals: DecayingRate::new(ARRIVAL_TIME_CONSTANT_S, now),
            waited_at: now,
        }
    }

    /// Accounts for the time since the last update. `has_waiting` states whether a request waited
    /// in that time.
    pub fn update(&mut self, has_waiting: bool, now: Duration) {
        self.arrivals.count_until(now);
        match () {
            () if has_waiting => {
                self.slots.count_until(now);
                self.waited_at = now;
            }
            () if now.saturating_sub(self.waited_at) > MAX_IDLE => {
                self.slots = DecayingRate::new(SLOT_TIME_CONSTANT_S, now);
            }
            () => self.slots.skip_until(now),
        }
    }

    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, rank: usize) {
        self.arrivals.record(rank);
    }

    /// Records that a request which waited took a slot.
    pub fn record_slot(&mut self) {
        self.slots.record(0);
    }

    /// Returns the slots a second; `None` while too little time was counted.
    pub fn per_second(&self) -> Option<f64> {
        let seconds = self.slots.seconds();
        let rate = self.slots.per_second(1);
        let is_known = seconds >= MIN_KNOWN_SECONDS || seconds * rate >= MIN_KNOWN_SLOTS;
        is_known.then_some(rate)
    }

    /// Returns the slots a second that are left for a rank when more urgent requests arrive as
    /// they did, which is at least the share that no rank goes below.
    pub fn left_for(&self, rank: usize) -> Option<f64> {
        let slots = self.per_second()?;
        let left = slots - self.arrivals.per_second(rank);
        Some(left.max(slots / f64::from(SLOTS_PER_LESS_URGENT)))
    }
}
