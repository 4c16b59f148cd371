use std::time::Instant;

use crate::ids::Term;

/// Proof of leadership, good until an instant of this process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct LeaderLease {
    /// Term in which this voter leads.
    pub term: Term,
    /// Instant at which the proof lapses; no effect may happen later on its strength.
    pub until: Instant,
}

impl LeaderLease {
    /// Tells whether the proof still holds. The clock is read in the call, so that a process that
    /// was stopped and resumed sees that its lease has lapsed.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        Instant::now() < self.until
    }
}
