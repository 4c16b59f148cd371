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
    /// Request of a candidate for a vote.
    VoteRequest {
        /// Purpose of the vote.
        kind: VoteKind,
        /// Index of the last entry in the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to a vote request of the same kind.
    VoteReply {
        /// Kind of the request.
        kind: VoteKind,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Request of the leader to append entries; without entries it is a heartbeat.
    AppendRequest {
        /// Latest heartbeat round of the leader; the lease is measured from the start of the round.
        round: u64,
        /// Index of the entry before the first one sent.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Entries in order.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit: LogIndex,
    },
    /// Reply to an append request.
    AppendReply {
        /// Round of the request.
        round: u64,
        /// Result of the request.
        outcome: AppendOutcome,
    },
    /// Request of the leader with a snapshot chunk, for a member that needs compacted entries.
    SnapshotRequest {
        /// Latest heartbeat round of the leader.
        round: u64,
        /// Metadata of the snapshot.
        meta: SnapshotMeta,
        /// Offset of the first byte in the snapshot.
        offset: u64,
        /// Content of the chunk.
        #[serde(serialize_with = "write_bytes", deserialize_with = "read_bytes")]
        bytes: Bytes,
        /// Whether this is the last chunk.
        last: bool,
    },
    /// Reply to a snapshot request.
    SnapshotReply {
        /// Round of the request.
        round: u64,
        /// Index of the snapshot.
        index: LogIndex,
        /// Offset of the next byte that the receiver needs.
        next_offset: u64,
        /// Whether the receiver has the log up to `index`.
        installed: bool,
    },
    /// Request of a leader that has given up its lease; the receiver campaigns at once.
    TimeoutNow,
}

/// Purpose of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoteKind {
    /// Checks whether a campaign could succeed; changes neither the term nor the vote.
    PreVote,
    /// An ordinary campaign; refused within the minimum election timeout after a request from a
    /// leader.
    Campaign,
    /// A campaign that the leader requested after it gave up its lease.
    Transfer,
}

/// Result of an append request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The receiver's log is durable and matches the leader's log up to this index.
    Accepted {
        /// Index of the last entry that is known to match.
        match_index: LogIndex,
    },
    /// The receiver's log does not contain the entry before the first one sent.
    Rejected {
        /// `prev_index` of the request.
        prev_index: LogIndex,
        /// Index of the last entry up to which the logs may match.
        hint_index: LogIndex,
        /// Term of that entry in the receiver's log.
        hint_term: Term,
    },
}
