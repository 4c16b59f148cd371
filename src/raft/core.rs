use std::time::Duration;

use super::{
    Membership, RaftEffect, RaftInput, RaftLimits, RaftRole, RaftTiming, RestoredState,
    SnapshotMeta, VoterId,
};
use crate::ids::{LogIndex, Term};

/// One member of the replicated log, without I/O.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RaftCore {
    id: VoterId,
}

impl RaftCore {
    /// Creates a member from its durable state. `seed` drives the election timeouts and differs
    /// between members. `now` is the time at which the process starts to take part.
    #[must_use]
    pub fn new(
        id: VoterId,
        restored: RestoredState,
        timing: RaftTiming,
        limits: RaftLimits,
        seed: u64,
        now: Duration,
    ) -> Self {
        let _ = (restored, timing, limits, seed, now);
        Self { id }
    }

    /// Handles one input and returns what the driver has to do, in order.
    pub fn step(&mut self, now: Duration, input: RaftInput) -> Vec<RaftEffect> {
        let _ = (now, input);
        Vec::new()
    }

    /// Returns this member's identity.
    #[must_use]
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        0
    }

    /// Returns the role in the current term.
    #[must_use]
    pub fn role(&self) -> RaftRole {
        RaftRole::Follower
    }

    /// Returns the leader of the current term, when known.
    #[must_use]
    pub fn leader(&self) -> Option<&VoterId> {
        None
    }

    /// Returns the time until which this member's leadership is proved; `None` when it does not
    /// lead, has not yet committed an entry of its term, hands over, or the lease has expired.
    #[must_use]
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        let _ = now;
        None
    }

    /// Returns the membership in force, which may not be committed yet.
    #[must_use]
    pub fn membership(&self) -> Membership {
        Membership::default()
    }

    /// Returns the last committed entry that this member knows of.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        0
    }

    /// Returns the last entry of the log.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        0
    }

    /// Returns the description of a snapshot that ends at a committed entry; `None` when the entry
    /// is not committed or has left memory.
    #[must_use]
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        let _ = index;
        None
    }
}
