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

/// What a journal held when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredLog {
    /// Voter that the folder belongs to. Its incarnation is new after the folder was lost, so that
    /// it does not vote under the identity of the lost folder.
    pub identity: VoterId,
    /// Last term and vote.
    pub vote: VoteRecord,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<JournalEntry>,
    /// Bytes of a torn tail that were dropped.
    pub dropped_bytes: u64,
}

/// One segment that is kept.
#[derive(Clone, Copy, Debug)]
pub struct KeptSegment {
    pub sequence: u64,
    pub length: u64,
    /// Greatest index of any entry in the segment; 0 without entries.
    pub last_index: LogIndex,
}

/// The log as the records describe it.
#[derive(Default)]
pub struct Replay {
    pub vote: VoteRecord,
    pub entries: Vec<JournalEntry>,
    pub segments: Vec<KeptSegment>,
    pub dropped_bytes: u64,
    /// Index that the next entry must follow; `None` before the first entry.
    last: Option<LogIndex>,
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

    fn read_segment(&mut self, storage: &dyn Storage, sequence: u64, newest: bool) -> Result<()> {
        let name = segment::name(sequence);
        let content = storage
            .read(&name)
            .map_err(|source| Error::file(storage.path(&name), source))?;
        let total = content.len();
        let scanned = segment::scan(&Bytes::from(content), sequence);
        match scanned.tail {
            SegmentTail::Whole => {}
            SegmentTail::Torn if newest => self.dropped_bytes = (total - scanned.length) as u64,
            SegmentTail::Torn | SegmentTail::Damaged => {
                let reason = "a synced record is damaged";
                return Err(corrupt(storage, sequence, scanned.length, reason));
            }
        }
        if !self.starts_well(&scanned.records, sequence, newest) {
            return Err(corrupt(storage, sequence, 0, "the first record is missing"));
        }
        let mut kept = KeptSegment {
            sequence,
            length: scanned.length as u64,
            last_index: 0,
        };
        for record in scanned.records {
            if let Record::Entry(entry) = &record {
                kept.last_index = kept.last_index.max(entry.index);
            }
            self.replay(record)
                .map_err(|reason| corrupt(storage, sequence, scanned.length, reason))?;
        }
        self.segments.push(kept);
        Ok(())
    }

    /// Checks a segment's head, which only the newest of several segments may lack: it is synced
    /// before the older ones are deleted.
    fn starts_well(&self, records: &[Record], sequence: u64, newest: bool) -> bool {
        match records.first() {
            Some(Record::Head {
                sequence: found, ..
            }) => *found == sequence,
            Some(_) => false,
            None => newest && (sequence == 1 || !self.segments.is_empty()),
        }
    }

    fn replay(&mut self, record: Record) -> Result<(), &'static str> {
        match record {
            Record::Head { vote, .. } | Record::Vote(vote) => self.vote = vote,
            Record::Entry(entry) => {
                if self.last.is_some_and(|last| entry.index != last + 1) {
                    return Err("an entry is missing");
                }
                self.last = Some(entry.index);
                self.entries.push(entry);
            }
            Record::Truncate { from } => {
                self.entries.retain(|entry| entry.index < from);
                self.last = Some(from.saturating_sub(1));
            }
            Record::Reset { base } => {
                self.entries.clear();
                self.last = Some(base);
            }
        }
        Ok(())
    }

    /// Drops what the snapshot covers and checks that the rest follows it. Returns the index from
    /// which the log must be restarted, when the snapshot replaces all of it.
    pub fn follow(
        &mut self,
        snapshot: Option<&Snapshot>,
        storage: &dyn Storage,
    ) -> Result<Option<LogIndex>> {
        let (base, term) = snapshot.map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let first = self.segments.first().map_or(1, |kept| kept.sequence);
        if snapshot.is_none() && first != 1 {
            let reason = "earlier segments are missing and there is no snapshot";
            return Err(corrupt(storage, first, 0, reason));
        }
        let conflicts = |entry: &JournalEntry| entry.index == base && entry.term != term;
        let conflict = self.entries.iter().any(conflicts);
        if conflict {
            // The snapshot holds committed entries, so a log that disagrees with it was never
            // committed past the disagreement.
            self.entries.clear();
        }
        let restart = conflict || self.last.is_some_and(|last| last < base);
        self.entries.retain(|entry| entry.index > base);
        match self.entries.first() {
            Some(entry) if entry.index != base + 1 => {
                let reason = "the log does not reach back to the snapshot";
                Err(corrupt(storage, first, 0, reason))
            }
            _ => Ok(restart.then_some(base)),
        }
    }
}

/// Reads the latest snapshot. A snapshot gets its final name only after it was synced, so a
/// damaged one is an error and no older one takes its place.
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
