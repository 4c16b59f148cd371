use bytes::Bytes;

use super::{MemberChange, RaftMessage, SnapshotMeta, VoterId};
use crate::ids::{LogIndex, Term};

/// An event that the driver passes to the core. Tokens are chosen by the driver and come back in
/// the effects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RaftInput {
    /// Time has passed. The driver sends one at least every half heartbeat interval.
    Tick,
    /// A message arrived.
    Message(RaftMessage),
    /// A client proposes an encoded command. The answer is
    /// [`Proposed`](super::RaftEffect::Proposed) or [`Refuse`](super::RaftEffect::Refuse).
    Propose {
        /// Token of the answer.
        token: u64,
        /// The encoded command.
        payload: Bytes,
    },
    /// A client wants to read a state that includes everything committed before the call. The
    /// answer is [`ReadReady`](super::RaftEffect::ReadReady) or `Refuse`.
    Read {
        /// Token of the answer.
        token: u64,
    },
    /// An operator or the leader's own duty changes the membership. The answer is as for a proposal.
    Change {
        /// Token of the answer.
        token: u64,
        /// The change.
        change: MemberChange,
    },
    /// Entries up to this one are durable on this member.
    Persisted {
        /// Index of the last durable entry.
        index: LogIndex,
        /// Term of that entry; a report about an entry that was replaced meanwhile is ignored.
        term: Term,
    },
    /// A snapshot that includes this entry is durable and the entries up to it may leave memory.
    /// The driver may keep newer entries than its snapshot needs, for slow members. Entries that
    /// are not committed are never dropped.
    Compacted {
        /// Last entry to drop.
        index: LogIndex,
    },
    /// Answer to [`ReadSnapshot`](super::RaftEffect::ReadSnapshot).
    SnapshotChunk {
        /// Member that the part is for.
        to: VoterId,
        /// The driver's latest snapshot.
        meta: SnapshotMeta,
        /// Position of the first byte; 0 when the driver no longer has the snapshot asked for.
        offset: u64,
        /// The part.
        bytes: Bytes,
        /// Whether the part is the last one.
        last: bool,
    },
    /// The daemon shuts down: a leader hands over to the most advanced voter. It waits until its
    /// lease has expired, because a copy of the lease may still be in use elsewhere in the process.
    Transfer,
}
