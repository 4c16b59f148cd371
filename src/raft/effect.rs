use bytes::Bytes;

use super::{LogEntry, RaftMessage, RaftRole, SnapshotMeta, VoterId};
use crate::ids::{LogIndex, Term};

/// What the driver has to do, in order; see the module's contract.
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
    /// Remove the entries from this index on. They were never committed.
    Truncate {
        /// First entry to remove.
        from: LogIndex,
    },
    /// Write a part of a received snapshot. A part at offset 0 discards the parts of an unfinished
    /// one. After the last part the snapshot replaces the state machine and the whole log.
    InstallSnapshot {
        /// Which snapshot it is.
        meta: SnapshotMeta,
        /// Position of the first byte.
        offset: u64,
        /// The part.
        bytes: Bytes,
        /// Whether the part is the last one.
        last: bool,
    },
    /// Send a message to `message.to`. Losing it is harmless. Messages to one member should be sent
    /// in order; overtaking only costs repeats.
    Send {
        /// The message.
        message: RaftMessage,
    },
    /// Apply the entries up to this index to the state machine.
    Commit {
        /// Last committed entry.
        up_to: LogIndex,
    },
    /// A proposal or change was appended at this position. It succeeded once an entry with this
    /// term is applied there, and failed once an entry with another term is.
    Proposed {
        /// Token of the proposal.
        token: u64,
        /// Term of the entry.
        term: Term,
        /// Index of the entry.
        index: LogIndex,
    },
    /// A read may be answered once this index is applied.
    ReadReady {
        /// Token of the read.
        token: u64,
        /// Index that the state must include.
        index: LogIndex,
    },
    /// A proposal, read or change was refused and has no effect.
    Refuse {
        /// Token of the input.
        token: u64,
        /// Why it was refused.
        reason: RefusalReason,
        /// The leader, when another member leads.
        leader: Option<VoterId>,
    },
    /// Read a part of the latest snapshot and step with
    /// [`SnapshotChunk`](super::RaftInput::SnapshotChunk).
    ReadSnapshot {
        /// Member that needs it.
        to: VoterId,
        /// Index of the snapshot whose transfer has begun; `None` at the start.
        index: Option<LogIndex>,
        /// Position of the first byte.
        offset: u64,
        /// Largest number of bytes.
        limit: usize,
    },
    /// Role, term or known leader changed; for logs, metrics and waiting clients.
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
    /// Tells whether the effect must be synced before any later effect that is not persistent.
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

/// Why an input was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// This member does not lead, or stopped leading before a read was confirmed.
    NotLeader,
    /// The leader hands over to another voter.
    Transferring,
    /// The log in memory is full until the driver compacts it.
    LogFull,
    /// Another change is not committed yet, or the leader has not committed an entry of its term.
    ChangePending,
    /// The change does not apply to the current membership.
    ChangeInvalid,
    /// The learner lacks committed entries or has not answered lately.
    NotCaughtUp,
    /// Too few of the remaining voters have answered lately to form a quorum.
    QuorumAtRisk,
}
