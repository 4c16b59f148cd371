use bytes::Bytes;

use super::{
    JournalEntry, Snapshot, Storage, VoteRecord,
    record::Record,
    segment::{self, SegmentTail},
    snapshot,
};
use crate::{
    error::{Error, Result},
    ids::LogIndex,
    raft::VoterId,
};

/// Content of a journal when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredLog {
    /// Voter that the folder belongs to. It gets a new incarnation after its folder was lost, so
    /// that it does not vote again under its previous identity.
    pub identity: VoterId,
    /// Latest term and vote.
    pub vote: VoteRecord,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<JournalEntry>,
    /// Size in bytes of an incomplete batch at the end of the log, which was dropped.
    pub dropped_bytes: u64,
}

/// Metadata of one segment.
#[derive(Clone, Copy, Debug)]
pub struct SegmentInfo {
    pub sequence: u64,
    pub length: u64,
    /// Greatest index of any entry in the segment; 0 if it has no entries.
    pub last_index: LogIndex,
}

/// State of the log, reconstructed from the records.
#[derive(Default)]
pub struct Replay {
    pub vote: VoteRecord,
    pub entries: Vec<JournalEntry>,
    pub segments: Vec<SegmentInfo>,
    pub dropped_bytes: u64,
    /// Index of the last entry, which the next one must follow; `None` before the first entry.
    last_index: Option<LogIndex>,
}

impl Replay {
    /// Reads all segments in order.
    pub fn read(storage: &dyn Storage) -> Result<Self> {
        let mut sequences: Vec<u64> = list(storage)?
            .iter()
            .filter_map(|name| segment::sequence(name))
            .collect();
        sequences.sort_unstable();
        let mut replay = Self::default();
        for (position, &sequence) in sequences.iter().enumerate() {
            if sequence != sequences[0] + position as u64 {
                return Err(corrupt(
                    storage,
                    sequence,
                    0,
                    "an earlier segment is missing",
                ));
            }
            replay.read_segment(storage, sequence, position + 1 == sequences.len())?;
        }
        Ok(replay)
    }

    fn read_segment(
        &mut self,
        storage: &dyn Storage,
        sequence: u64,
        is_newest: bool,
    ) -> Result<()> {
        let name = segment::name(sequence);
        let content = storage
            .read(&name)
            .map_err(|source| Error::file(storage.path(&name), source))?;
        let total = content.len();
        let scanned = segment::scan(&Bytes::from(content), sequence);
        match scanned.tail {
            SegmentTail::Complete => {}
            SegmentTail::Torn if is_newest => self.dropped_bytes = (total - scanned.length) as u64,
            SegmentTail::Torn | SegmentTail::Damaged => {
                let reason = "a synced record is damaged";
                return Err(corrupt(storage, sequence, scanned.length, reason));
            }
        }
        if !self.has_valid_header(&scanned.records, sequence, is_newest) {
            return Err(corrupt(storage, sequence, 0, "the first record is missing"));
        }
        let mut info = SegmentInfo {
            sequence,
            length: scanned.length as u64,
            last_index: 0,
        };
        for record in scanned.records {
            if let Record::Entry(entry) = &record {
                info.last_index = info.last_index.max(entry.index);
            }
            self.replay(record)
                .map_err(|reason| corrupt(storage, sequence, scanned.length, reason))?;
        }
        self.segments.push(info);
        Ok(())
    }

    /// Returns whether a segment starts with its header. The header may be missing only in segment
    /// 1 or if an older segment exists, and only in the newest segment: the header is synced before
    /// older segments are deleted.
    fn has_valid_header(&self, records: &[Record], sequence: u64, is_newest: bool) -> bool {
        match records.first() {
            Some(Record::Header {
                sequence: found, ..
            }) => *found == sequence,
            Some(_) => false,
            None => is_newest && (sequence == 1 || !self.segments.is_empty()),
        }
    }

    fn replay(&mut self, record: Record) -> Result<(), &'static str> {
        match record {
            Record::Header { vote, .. } | Record::Vote(vote) => self.vote = vote,
            Record::Entry(entry) => {
                if self.last_index.is_some_and(|last| entry.index != last + 1) {
                    return Err("an entry is missing");
                }
                self.last_index = Some(entry.index);
                self.entries.push(entry);
            }
            Record::Truncate { from } => {
                self.entries.retain(|entry| entry.index < from);
                self.last_index = Some(from.saturating_sub(1));
            }
            Record::Reset { base } => {
                self.entries.clear();
                self.last_index = Some(base);
            }
        }
        Ok(())
    }

    /// Removes the entries that the snapshot includes and checks that the remaining ones follow it.
    /// Returns the index to which the log must be reset if the snapshot replaces all of it.
    pub fn apply_snapshot(
        &mut self,
        snapshot: Option<&Snapshot>,
        storage: &dyn Storage,
    ) -> Result<Option<LogIndex>> {
        let (base, term) = snapshot.map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let first = self.segments.first().map_or(1, |info| info.sequence);
        if snapshot.is_none() && first != 1 {
            let reason = "earlier segments are missing and there is no snapshot";
            return Err(corrupt(storage, first, 0, reason));
        }
        let is_conflicting = |entry: &JournalEntry| entry.index == base && entry.term != term;
        let has_conflict = self.entries.iter().any(is_conflicting);
        if has_conflict {
            // The snapshot includes only committed entries, so the log was never committed from the
            // conflicting entry on.
            self.entries.clear();
        }
        let needs_reset = has_conflict || self.last_index.is_some_and(|last| last < base);
        self.entries.retain(|entry| entry.index > base);
        match self.entries.first() {
            Some(entry) if entry.index != base + 1 => {
                let reason = "the log does not reach back to the snapshot";
                Err(corrupt(storage, first, 0, reason))
            }
            _ => Ok(needs_reset.then_some(base)),
        }
    }
}

/// Reads the latest snapshot. A snapshot gets its final name only after it was synced, so a damaged
/// one is an error, and an older snapshot is not used instead.
pub fn latest_snapshot(storage: &dyn Storage) -> Result<Option<Snapshot>> {
    let names = list(storage)?;
    let latest = names.iter().filter_map(|name| snapshot::index(name)).max();
    latest
        .map(|index| Snapshot::load(storage, &snapshot::name(index)))
        .transpose()
}

fn list(storage: &dyn Storage) -> Result<Vec<String>> {
    storage
        .list()
        .map_err(|source| Error::file(storage.path(""), source))
}

pub fn corrupt(storage: &dyn Storage, sequence: u64, offset: usize, reason: &str) -> Error {
    Error::Corrupt {
        path: storage.path(&segment::name(sequence)),
        offset: offset as u64,
        reason: reason.to_owned(),
    }
}
