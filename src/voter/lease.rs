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
    /// Returns the lease of a leader in `term`, whose state has last applied an entry of `applied_term`; `None` until an
    /// entry of the term is applied. A lease says that the log of the leader has every acknowledged entry, not that its
    /// state has: entries are not applied while the state is encoded for a snapshot.
    #[must_use]
    pub fn of_applied(term: Term, applied_term: Term, until: BootInstant) -> Option<Self> {
        (applied_term == term).then_some(Self { term, until })
    }

    /// Returns whether the lease is valid now. The clock is read in the call and runs while
    /// the process or its VM is suspended, so that the lease has expired when it resumes.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        BootInstant::now() < self.until
    }
}
