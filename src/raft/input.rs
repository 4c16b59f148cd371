use bytes::Bytes;

use super::{MemberChange, RaftMessage, SnapshotMeta, VoterId};
use crate::ids::{LogIndex, Term};

/// An event that the driver passes to the core. The driver chooses the tokens, and the core returns
/// them in the effects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RaftInput {
    /// Time has passed. The driver sends a tick at least twice per heartbeat interval.
    Tick,
    /// A message from another member was received.
    Message(RaftMessage),
    /// A client proposes an encoded command. The answer is
    /// [`Proposed`](super::RaftEffect::Proposed) or [`Refuse`](super::RaftEffect::Refuse).
    Propose {
        /// Token of the answer.
        token: u64,
        /// The encoded command.
        payload: Bytes,
    },
    /// A client requests a linearizable read: the state must include every entry committed before
    /// the call. The answer is [`ReadReady`](super::RaftEffect::ReadReady) or `Refuse`.
    Read {
        /// Token of the answer.
        token: u64,
    },
    /// An operator or the leader itself changes the membership. The answer is as for a proposal.
    Change {
        /// Token of the answer.
        token: u64,
        /// The membership change.
        change: MemberChange,
    },
    /// Entries up to this one are durable on this member.
    Persisted {
        /// Index of the last durable entry.
        index: LogIndex,
        /// Term of that entry. The input is ignored if the entry has been replaced since.
        term: Term,
    },
    /// A snapshot that includes this entry is durable, and the entries up to it can be removed from
    /// memory. The driver may choose an earlier entry than the snapshot allows, to keep entries for
    /// slow members. Uncommitted entries are never removed.
    Compacted {
        /// Index of the last entry to remove.
        index: LogIndex,
    },
    /// Answer to [`ReadSnapshot`](super::RaftEffect::ReadSnapshot).
    SnapshotChunk {
        /// Member that receives the chunk.
        to: VoterId,
        /// Metadata of the driver's latest snapshot.
        meta: SnapshotMeta,
        /// Offset of the first byte; 0 when the requested snapshot is no longer available.
        offset: u64,
        /// Content of the chunk.
        bytes: Bytes,
        /// Whether this is the last chunk.
        last: bool,
    },
    /// A daemon has announced itself as this member. A voter of another data folder on the same VM has lost its own.
    Sighted {
        /// Identity of the daemon's data folder.
        member: VoterId,
    },
    /// The daemon shuts down, and a leader transfers leadership to an up-to-date voter. It waits
    /// until its lease has expired, because a copy may still be in use elsewhere in the process.
    Transfer,
}
