use serde::{Deserialize, Serialize};

use super::{LogEntry, Membership, VoterId};
use crate::ids::{LogIndex, Term};

/// What a snapshot replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot contains.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership in force at that entry.
    pub membership: Membership,
}

impl SnapshotMeta {
    /// Describes the empty state in which a new fleet starts. All founding voters must use the same
    /// membership; a member that joins later uses an empty one.
    #[must_use]
    pub fn founding(membership: Membership) -> Self {
        Self {
            index: 0,
            term: 0,
            membership,
        }
    }
}

/// Durable state with which a core starts, as the driver read it from the data directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RestoredState {
    /// Term of the last [`RaftEffect::SaveVote`](super::RaftEffect::SaveVote); 0 for a new directory.
    pub term: Term,
    /// Vote of the same effect.
    pub voted_for: Option<VoterId>,
    /// The latest snapshot, or [`SnapshotMeta::founding`].
    pub snapshot: SnapshotMeta,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}
