use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::RaftTiming;

/// Random timeout after which a member without contact to a leader campaigns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ElectionTimer {
    seed: u64,
    draw_count: u64,
    timeout: Duration,
    started_at: Duration,
}

impl ElectionTimer {
    pub(super) fn new(timing: &RaftTiming, seed: u64, now: Duration) -> Self {
        let mut timer = Self {
            seed,
            draw_count: 0,
            timeout: timing.election_timeout_min,
            started_at: now,
        };
        timer.restart_randomized(timing, now);
        timer
    }

    /// Restarts the timer with the same timeout.
    pub(super) fn restart(&mut self, now: Duration) {
        self.started_at = now;
    }

    /// Restarts the timer with a new random timeout, so that a split vote does not repeat.
    pub(super) fn restart_randomized(&mut self, timing: &RaftTiming, now: Duration) {
        self.started_at = now;
        if timing.election_timeout_min == timing.election_timeout_max {
            return;
        }
        // The model checker needs a small, comparable core state, so the generator is created for
        // each draw instead of stored. Draws are rare.
        let mut generator = ChaCha8Rng::seed_from_u64(self.seed);
        generator.set_stream(self.draw_count);
        self.draw_count += 1;
        self.timeout =
            generator.random_range(timing.election_timeout_min..=timing.election_timeout_max);
    }

    pub(super) fn is_expired(&self, now: Duration) -> bool {
        now >= self.started_at + self.timeout
    }
}
