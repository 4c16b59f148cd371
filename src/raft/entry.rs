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
    /// Content of the entry.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Estimates the size of the entry in memory and on the wire, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        // Covers term, index and framing, so that limits in bytes also bound empty entries.
        const OVERHEAD_BYTES: usize = 32;
        OVERHEAD_BYTES
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
    /// Changes nothing. Each leader appends one at the start of its term to commit earlier entries.
    Noop,
    /// An encoded command for the state machine.
    Command(#[serde(serialize_with = "write_bytes", deserialize_with = "read_bytes")] Bytes),
    /// The complete membership from this entry on. It is in force as soon as it is appended.
    Membership(Membership),
}

/// Serializes bytes as one byte string; a sequence would take up to two bytes for each byte.
pub(super) fn write_bytes<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserializes bytes that [`write_bytes`] has written.
pub(super) fn read_bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    serde_bytes::ByteBuf::deserialize(deserializer).map(|buffer| Bytes::from(buffer.into_vec()))
}
