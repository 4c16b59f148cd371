use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::RaftTiming;

/// Decides when a member that hears from no leader campaigns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ElectionTimer {
    seed: u64,
    draws: u64,
    timeout: Duration,
    since: Duration,
}

impl ElectionTimer {
    pub(super) fn new(timing: &RaftTiming, seed: u64, now: Duration) -> Self {
        let mut timer = Self {
            seed,
            draws: 0,
            timeout: timing.election_timeout_min,
            since: now,
        };
        timer.redraw(timing, now);
        timer
    }

    /// Starts the timer again.
    pub(super) fn restart(&mut self, now: Duration) {
        self.since = now;
    }

    /// Starts the timer again with another random timeout, so that candidates that split the votes
    /// do not collide again.
    pub(super) fn redraw(&mut self, timing: &RaftTiming, now: Duration) {
        self.since = now;
        if timing.election_timeout_min == timing.election_timeout_max {
            return;
        }
        // Draws are rare. A generator that is made for each draw keeps the state of the core small
        // and comparable, which the model checker needs.
        let mut generator = ChaCha8Rng::seed_from_u64(self.seed);
        generator.set_stream(self.draws);
        self.draws += 1;
        self.timeout =
            generator.random_range(timing.election_timeout_min..=timing.election_timeout_max);
    }

    pub(super) fn expired(&self, now: Duration) -> bool {
        now >= self.since + self.timeout
    }
}
