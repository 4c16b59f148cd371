use std::io;

use bytes::Bytes;

use super::storage::{Storage, UNFINISHED_SUFFIX, replace_file};
use crate::{
    error::{Error, Result},
    ids::{LogIndex, Term},
};

const NAME_PREFIX: &str = "snapshot-";
const MAGIC: &[u8; 8] = b"WXSNAP01";
/// Length of the fixed header in bytes: magic, checksum, index, term and length of the members.
const HEADER_LENGTH: usize = 8 + 4 + 8 + 8 + 4;

/// The state after a log entry, which replaces the log up to that entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry that the state includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Encoded membership after that entry.
    pub members: Bytes,
    /// Encoded state.
    pub state: Bytes,
}

impl Snapshot {
    /// Writes and syncs the snapshot file; it gets its final name only when it is complete.
    pub(super) fn save(&self, storage: &mut dyn Storage) -> Result<()> {
        let mut header = Vec::with_capacity(HEADER_LENGTH + self.members.len());
        header.extend_from_slice(MAGIC);
        header.extend_from_slice(&[0; 4]);
        header.extend_from_slice(&self.index.to_le_bytes());
        header.extend_from_slice(&self.term.to_le_bytes());
        let members_length = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        header.extend_from_slice(&members_length.to_le_bytes());
        header.extend_from_slice(&self.members);
        let checksum = checksum(&header[12..], &self.state);
        header[8..12].copy_from_slice(&checksum.to_le_bytes());
        let name = name(self.index);
        replace_file(storage, &name, &[&header, &self.state])
            .map_err(|source| Error::file(storage.path(&name), source))
    }

    /// Reads a snapshot file and verifies its checksum.
    pub(super) fn load(storage: &dyn Storage, name: &str) -> Result<Self> {
        let path = storage.path(name);
        let content = storage
            .read(name)
            .map_err(|source| Error::file(&path, source))?;
        Self::decode(&Bytes::from(content)).ok_or(Error::Corrupt {
            path,
            offset: 0,
            reason: "the snapshot's checksum does not match".to_owned(),
        })
    }

    fn decode(content: &Bytes) -> Option<Self> {
        if content.get(..8)? != MAGIC {
            return None;
        }
        let read_u64 = |at: usize| {
            Some(u64::from_le_bytes(
                content.get(at..at + 8)?.try_into().ok()?,
            ))
        };
        let read_u32 = |at: usize| {
            Some(u32::from_le_bytes(
                content.get(at..at + 4)?.try_into().ok()?,
            ))
        };
        let members_end = HEADER_LENGTH.checked_add(usize::try_from(read_u32(28)?).ok()?)?;
        if members_end > content.len() || checksum(&content[12..], &[]) != read_u32(8)? {
            return None;
        }
        Some(Self {
            index: read_u64(12)?,
            term: read_u64(20)?,
            members: content.slice(HEADER_LENGTH..members_end),
            state: content.slice(members_end..),
        })
    }
}

/// Deletes the snapshots before index `oldest_kept` and unfinished files.
pub fn delete_older(storage: &mut dyn Storage, oldest_kept: LogIndex) -> io::Result<()> {
    for name in storage.list()? {
        if index(&name).is_some_and(|index| index < oldest_kept)
            || name.ends_with(UNFINISHED_SUFFIX)
        {
            storage.remove(&name)?;
        }
    }
    storage.sync_folder()
}

/// Returns the file name of a snapshot.
pub fn name(index: LogIndex) -> String {
    format!("{NAME_PREFIX}{index:020}")
}

/// Returns the index in a snapshot's file name.
pub fn index(name: &str) -> Option<LogIndex> {
    name.strip_prefix(NAME_PREFIX)?.parse().ok()
}

fn checksum(header: &[u8], state: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(state);
    hasher.finalize()
}
