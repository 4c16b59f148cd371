use serde::{Deserialize, Serialize};

use super::{LogEntry, Membership, VoterId};
use crate::ids::{LogIndex, Term};

/// Metadata of a snapshot: the part of the log that it replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership in force at that entry.
    pub membership: Membership,
}

impl SnapshotMeta {
    /// Returns the metadata of the empty state with which a new fleet starts. All founding voters
    /// must use the same membership; a member that joins later uses an empty one.
    #[must_use]
    pub fn founding(membership: Membership) -> Self {
        Self {
            index: 0,
            term: 0,
            membership,
        }
    }
}

/// Durable state of a member, as the driver has read it from the data directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RestoredState {
    /// Term of the last [`RaftEffect::SaveVote`](super::RaftEffect::SaveVote);
    /// 0 for a new data directory.
    pub term: Term,
    /// Vote in that term, from the same effect.
    pub voted_for: Option<VoterId>,
    /// The latest snapshot, or [`SnapshotMeta::founding`].
    pub snapshot: SnapshotMeta,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}
