use std::collections::BTreeSet;

use bytes::Bytes;

use super::{LogEntry, RaftMessage, RaftRole, SnapshotMeta, VoterId};
use crate::ids::{LogIndex, Term};

/// An action for the driver; the module documentation states the order of execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RaftEffect {
    /// Replace the durable term and vote.
    SaveVote {
        /// Current term.
        term: Term,
        /// Vote in this term.
        voted_for: Option<VoterId>,
    },
    /// Write entries at the end of the log.
    Append {
        /// Entries in order; the first follows the last one in the log.
        entries: Vec<LogEntry>,
    },
    /// Remove the uncommitted entries from this index on.
    Truncate {
        /// First entry to remove.
        from: LogIndex,
    },
    /// Write a chunk of a received snapshot. A chunk at offset 0 discards the chunks of an
    /// incomplete snapshot. After the last chunk the snapshot replaces the state machine and the
    /// whole log.
    InstallSnapshot {
        /// Metadata of the snapshot.
        meta: SnapshotMeta,
        /// Offset of the first byte in the snapshot.
        offset: u64,
        /// Content of the chunk.
        bytes: Bytes,
        /// Whether this is the last chunk.
        last: bool,
    },
    /// Send a message to `message.to`. The protocol tolerates lost messages. Messages to one member
    /// should be sent in order; reordering only causes retransmissions.
    Send {
        /// The message.
        message: RaftMessage,
    },
    /// Apply the entries up to this index to the state machine.
    Commit {
        /// Last committed entry.
        up_to: LogIndex,
    },
    /// A proposal or membership change was appended at this index. It has succeeded when an entry
    /// of this term is applied there, and failed when an entry of another term is.
    Proposed {
        /// Token of the proposal.
        token: u64,
        /// Term of the entry.
        term: Term,
        /// Index of the entry.
        index: LogIndex,
    },
    /// A read may be answered when this index is applied.
    ReadReady {
        /// Token of the read.
        token: u64,
        /// Index that the state must include.
        index: LogIndex,
    },
    /// A proposal, read or membership change was refused and has no effect.
    Refuse {
        /// Token of the input.
        token: u64,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Current leader, if another member is known to lead.
        leader: Option<VoterId>,
    },
    /// Read a chunk of the latest snapshot and step with
    /// [`SnapshotChunk`](super::RaftInput::SnapshotChunk).
    ReadSnapshot {
        /// Member that receives the chunk.
        to: VoterId,
        /// Index of the snapshot that is being transferred; `None` for a new transfer.
        index: Option<LogIndex>,
        /// Offset of the first byte in the snapshot.
        offset: u64,
        /// Maximum number of bytes.
        limit: usize,
    },
    /// An election of this member has ended without a quorum; for logs.
    ElectionFailed {
        /// Voters that agreed, this member included.
        granted: BTreeSet<VoterId>,
        /// Voters whose data folders were known to be gone.
        lost: BTreeSet<VoterId>,
    },
    /// The role, the term or the known leader has changed; for logs, metrics and waiting clients.
    RoleChanged {
        /// New role.
        role: RaftRole,
        /// Current term.
        term: Term,
        /// Leader of the term, when known.
        leader: Option<VoterId>,
    },
}

impl RaftEffect {
    /// Returns whether the effect must be synced before any later effect that is not persistent.
    #[must_use]
    pub fn is_persistent(&self) -> bool {
        matches!(
            self,
            Self::SaveVote { .. }
                | Self::Append { .. }
                | Self::Truncate { .. }
                | Self::InstallSnapshot { .. }
        )
    }
}

/// Reason for which an input was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// This member is not the leader, or lost leadership before a read was confirmed.
    NotLeader,
    /// The leader is transferring leadership to another voter.
    Transferring,
    /// The log in memory has reached its limit and must be compacted first.
    LogFull,
    /// Another change is uncommitted, or the leader has not committed an entry of its term.
    ChangePending,
    /// The change does not apply to the current membership.
    ChangeInvalid,
    /// The learner is missing committed entries, or has not answered within the election timeout.
    NotCaughtUp,
    /// The remaining voters that have answered within the election timeout form no quorum.
    QuorumAtRisk,
}
