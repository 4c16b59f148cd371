use std::time::Duration;

use super::{RANKS, SLOTS_PER_LESS_URGENT, decaying_rate::DecayingRate};

/// Counted seconds from which on the rate of slots is known.
const MIN_KNOWN_SECONDS: f64 = 0.5;
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
            slots: DecayingRate::new(now),
            arrivals: DecayingRate::new(now),
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
                self.slots = DecayingRate::new(now);
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
        (self.slots.seconds() >= MIN_KNOWN_SECONDS).then(|| self.slots.per_second(1))
    }

    /// Returns the slots a second that are left for a rank when more urgent requests arrive as
    /// they did, which is at least the share that no rank goes below.
    pub fn left_for(&self, rank: usize) -> Option<f64> {
        let slots = self.per_second()?;
        let left = slots - self.arrivals.per_second(rank);
        Some(left.max(slots / f64::from(SLOTS_PER_LESS_URGENT)))
    }
}
