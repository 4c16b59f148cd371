use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    LogEntry, SnapshotMeta, VoterId,
    entry::{read_bytes, write_bytes},
};
use crate::ids::{LogIndex, Term};

/// A message between two members. A member ignores a message whose `to` is not its own identity,
/// incarnation included, and a reply whose `from` is not a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RaftMessage {
    /// Sender.
    pub from: VoterId,
    /// Receiver.
    pub to: VoterId,
    /// Term of the sender; in a pre-vote request and its grant, the term that the candidate would
    /// campaign in.
    pub term: Term,
    /// Content.
    pub body: MessageBody,
}

/// Content of a [`RaftMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// A candidate asks for a vote.
    VoteRequest {
        /// What the vote is for.
        kind: VoteKind,
        /// Last entry of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to a vote request of the same kind.
    VoteReply {
        /// Kind of the request.
        kind: VoteKind,
        /// Whether the vote was given.
        granted: bool,
    },
    /// The leader replicates entries; without entries it is a heartbeat.
    AppendRequest {
        /// The latest heartbeat round that the leader had started; the lease counts from its start.
        round: u64,
        /// Entry before the first one sent.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Entries in order.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit: LogIndex,
    },
    /// Answer to an append request.
    AppendReply {
        /// Round of the request.
        round: u64,
        /// What became of the entries.
        outcome: AppendOutcome,
    },
    /// The leader sends a part of its snapshot to a member that needs compacted entries.
    SnapshotRequest {
        /// The latest heartbeat round that the leader had started.
        round: u64,
        /// Which snapshot it is.
        meta: SnapshotMeta,
        /// Position of the first byte.
        offset: u64,
        /// The part.
        #[serde(serialize_with = "write_bytes", deserialize_with = "read_bytes")]
        bytes: Bytes,
        /// Whether the part is the last one.
        last: bool,
    },
    /// Answer to a snapshot request.
    SnapshotReply {
        /// Round of the request.
        round: u64,
        /// Index of the snapshot.
        index: LogIndex,
        /// Position of the next byte that the receiver needs.
        next_offset: u64,
        /// Whether the receiver holds the log up to `index`.
        installed: bool,
    },
    /// The leader, which has given up its lease, asks a voter to campaign at once.
    TimeoutNow,
}

/// What a vote is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoteKind {
    /// Asks whether a campaign could succeed; changes no term and no vote.
    PreVote,
    /// An ordinary campaign; refused while a leader was heard within the minimal election timeout.
    Campaign,
    /// A campaign that the leader asked for after it gave up its lease.
    Transfer,
}

/// What became of an append request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The receiver's log agrees with the leader's up to this index, durably.
    Accepted {
        /// Last entry that is known to agree.
        match_index: LogIndex,
    },
    /// The receiver's log does not contain the entry before the first one sent.
    Rejected {
        /// `prev_index` of the request.
        prev_index: LogIndex,
        /// Latest entry at which the logs may agree.
        hint_index: LogIndex,
        /// Term of that entry in the receiver's log.
        hint_term: Term,
    },
}
