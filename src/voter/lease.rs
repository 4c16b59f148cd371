use std::time::Instant;

use crate::ids::Term;

/// Leader lease, valid until an instant of this process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct LeaderLease {
    /// Term in which this voter is the leader.
    pub term: Term,
    /// Expiry of the lease; no action may rely on the lease after it.
    pub until: Instant,
}

impl LeaderLease {
    /// Returns whether the lease is valid now. The clock is read in the call, so that a process
    /// that was suspended and resumed detects that its lease has expired.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        Instant::now() < self.until
    }
}
