use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::Membership;
use crate::ids::{LogIndex, Term};

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Position in the log.
    pub index: LogIndex,
    /// What the entry carries.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Estimates the bytes that the entry takes in memory and on the wire.
    #[must_use]
    pub fn size(&self) -> usize {
        // The constant covers term, index and framing, so that empty entries are bounded too.
        const OVERHEAD: usize = 32;
        OVERHEAD
            + match &self.payload {
                EntryPayload::Noop => 0,
                EntryPayload::Command(bytes) => bytes.len(),
                EntryPayload::Membership(membership) => membership.size(),
            }
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Changes nothing; each leader starts its term with one to commit earlier entries.
    Noop,
    /// An encoded command for the state machine.
    Command(#[serde(serialize_with = "write_bytes", deserialize_with = "read_bytes")] Bytes),
    /// The whole membership from this entry on. It is in force as soon as it is appended.
    Membership(Membership),
}

/// Serializes a byte string as one value; a sequence would cost up to two bytes per byte.
pub(super) fn write_bytes<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserializes what [`write_bytes`] wrote.
pub(super) fn read_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    serde_bytes::ByteBuf::deserialize(deserializer).map(|buffer| Bytes::from(buffer.into_vec()))
}
