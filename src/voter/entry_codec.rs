use bytes::Bytes;

use crate::{
    error::{Error, Result},
    journal::JournalEntry,
    raft::{EntryPayload, LogEntry},
    sync,
};

const KIND_NOOP: u8 = 0;
const KIND_COMMAND: u8 = 1;
const KIND_MEMBERSHIP: u8 = 2;

/// Converts a log entry of the core to a journal entry.
pub fn to_journal(entry: &LogEntry) -> Result<JournalEntry> {
    let (kind, content) = match &entry.payload {
        EntryPayload::Noop => (KIND_NOOP, Bytes::new()),
        EntryPayload::Command(bytes) => (KIND_COMMAND, bytes.clone()),
        EntryPayload::Membership(membership) => (KIND_MEMBERSHIP, sync::encode(membership)?.into()),
    };
    let mut body = Vec::with_capacity(1 + content.len());
    body.push(kind);
    body.extend_from_slice(&content);
    Ok(JournalEntry {
        index: entry.index,
        term: entry.term,
        body: body.into(),
    })
}

/// Converts a journal entry to a log entry of the core.
pub fn from_journal(entry: JournalEntry) -> Result<LogEntry> {
    let payload = match entry.body.first() {
        Some(&KIND_NOOP) => EntryPayload::Noop,
        // Copied, because a slice would keep the whole segment in memory.
        Some(&KIND_COMMAND) => EntryPayload::Command(Bytes::copy_from_slice(&entry.body[1..])),
        Some(&KIND_MEMBERSHIP) => {
            EntryPayload::Membership(sync::decode("membership", &entry.body[1..])?)
        }
        _ => {
            return Err(Error::Decode {
                what: "log entry",
                reason: format!("entry {} is of an unknown kind", entry.index),
            });
        }
    };
    Ok(LogEntry {
        term: entry.term,
        index: entry.index,
        payload,
    })
}
