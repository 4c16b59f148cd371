use crate::{clock::BootInstant, ids::Term};

/// Leader lease, valid until a moment of the VM's clock since boot.
#[derive(Clone, Copy, Debug)]
pub struct LeaderLease {
    /// Term in which this voter is the leader.
    pub term: Term,
    /// Expiry of the lease; no action may rely on the lease after it.
    pub until: BootInstant,
}

impl LeaderLease {
    /// Returns whether the lease is valid now. The clock is read in the call and runs while
    /// the process or its VM is suspended, so that the lease has expired when it resumes.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        BootInstant::now() < self.until
    }
}
