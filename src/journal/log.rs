use std::io;

use spdlog::prelude::*;

use super::{
    JournalEntry, RecoveredLog, Snapshot, Storage, StorageFile, VoteRecord, identity,
    record::{MAX_BODY_LENGTH, Record},
    recovery::{self, Replay, SegmentInfo},
    segment, snapshot,
    storage::{replace_file, write_all},
};
use crate::{
    error::{Error, Result},
    ids::{LogIndex, VmId},
    raft::VoterId,
};

/// Size limits of the journal.
#[derive(Clone, Copy, Debug)]
pub struct JournalLimits {
    /// Segment size in bytes at which a new segment is started. The newest segment is copied each
    /// time the journal is opened.
    pub segment_bytes: u64,
}

impl Default for JournalLimits {
    fn default() -> Self {
        Self {
            segment_bytes: 4 << 20,
        }
    }
}

/// The durable log. Changes are buffered and become durable together in [`Journal::sync`].
///
/// After a failed write or sync, [`Journal::sync`] and all calls that sync fail with
/// [`Error::Stopped`]: the content of the disk is then unknown, and a later successful sync does
/// not show that earlier writes are durable.
pub struct Journal {
    storage: Box<dyn Storage>,
    limits: JournalLimits,
    file: Box<dyn StorageFile>,
    segments: Vec<SegmentInfo>,
    vote: VoteRecord,
    batch: Vec<u8>,
    has_failed: bool,
}

impl Journal {
    /// Opens the journal in `storage`, or creates a new one with a new identity on `vm`.
    ///
    /// # Errors
    /// [`Error::Corrupt`] with file and offset when synced data is damaged or missing,
    /// [`Error::File`] when a file operation fails.
    pub fn open(
        mut storage: Box<dyn Storage>,
        vm: &VmId,
        limits: JournalLimits,
    ) -> Result<(Self, RecoveredLog)> {
        let saved_identity = identity::load(storage.as_ref())?;
        let snapshot = recovery::latest_snapshot(storage.as_ref())?;
        let mut replay = Replay::read(storage.as_ref())?;
        let reset_base = replay.apply_snapshot(snapshot.as_ref(), storage.as_ref())?;
        let is_new = replay.segments.is_empty();
        let has_content = |replay: &Replay| {
            !replay.entries.is_empty() || replay.vote.term > 0 || snapshot.is_some()
        };
        let mismatch = match &saved_identity {
            Some(_) if is_new => Some("there is an identity and no segment"),
            Some(identity) if identity.vm != *vm => Some("the folder belongs to another VM"),
            None if has_content(&replay) => Some("there is a log and no identity"),
            _ => None,
        };
        if let Some(reason) = mismatch {
            return Err(Error::Corrupt {
                path: storage.path(identity::NAME),
                offset: 0,
                reason: reason.to_owned(),
            });
        }
        if replay.dropped_bytes > 0 {
            warn!(
                "journal: dropped {} bytes of an unfinished batch",
                replay.dropped_bytes
            );
        }
        let mut segments = replay.segments;
        let newest = segments.last().copied();
        let file = match newest {
            // The header is incomplete, so the segment has no records and is created again.
            Some(info) if info.length == 0 => {
                segments.pop();
                create_segment(storage.as_mut(), info.sequence, &replay.vote, &mut segments)?
            }
            Some(info) => reopen_segment(storage.as_mut(), info)
                .map_err(|source| file_error(storage.as_ref(), info.sequence, source))?,
            None => create_segment(storage.as_mut(), 1, &replay.vote, &mut segments)?,
        };
        // The identity is written last, so that a folder with an identity always has a segment.
        let identity = if let Some(identity) = saved_identity {
            identity
        } else {
            let identity = VoterId::new(vm.clone(), rand::random());
            identity::save(&identity, storage.as_mut())?;
            identity
        };
        let mut journal = Self {
            storage,
            limits,
            file,
            segments,
            vote: replay.vote.clone(),
            batch: Vec::new(),
            has_failed: false,
        };
        if let Some(base) = reset_base {
            journal.add_record(&Record::Reset { base });
            journal.sync()?;
        }
        let recovered = RecoveredLog {
            identity,
            vote: replay.vote,
            snapshot,
            entries: replay.entries,
            dropped_bytes: replay.dropped_bytes,
        };
        Ok((journal, recovered))
    }

    /// Adds a changed term or vote to the batch.
    pub fn save_vote(&mut self, vote: VoteRecord) {
        self.vote = vote.clone();
        self.add_record(&Record::Vote(vote));
    }

    /// Adds an entry to the batch.
    ///
    /// # Errors
    /// [`Error::Argument`] when the entry exceeds the maximum length of a record.
    pub fn append(&mut self, entry: JournalEntry) -> Result<()> {
        if entry.body.len() + 16 > MAX_BODY_LENGTH {
            let reason = format!("an entry of {} bytes is too long", entry.body.len());
            return Err(Error::Argument { reason });
        }
        let newest = self.newest_segment();
        newest.last_index = newest.last_index.max(entry.index);
        self.add_record(&Record::Entry(entry));
        Ok(())
    }

    /// Adds to the batch that the entries from index `from` on are discarded.
    pub fn truncate(&mut self, from: LogIndex) {
        self.add_record(&Record::Truncate { from });
    }

    /// Writes the batch and makes it durable. Does nothing when the batch is empty.
    ///
    /// # Errors
    /// [`Error::File`] when a write or sync fails, [`Error::Stopped`] after an earlier failure. The
    /// journal is then unusable.
    pub fn sync(&mut self) -> Result<()> {
        self.check_usable()?;
        if self.batch.is_empty() {
            return Ok(());
        }
        let sequence = self.newest_segment().sequence;
        let written = write_all(self.file.as_mut(), &self.batch).and_then(|()| self.file.sync());
        if let Err(source) = written {
            return Err(self.fail(sequence, source));
        }
        self.newest_segment().length += self.batch.len() as u64;
        self.batch.clear();
        if self.newest_segment().length >= self.limits.segment_bytes {
            self.start_segment()?;
        }
        Ok(())
    }

    /// Makes a snapshot durable, then deletes older snapshots and the segments in which all entries
    /// have an index of at most `keep_after`.
    ///
    /// # Errors
    /// [`Error::File`] when a file operation fails; the journal is then unusable.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, keep_after: LogIndex) -> Result<()> {
        self.sync()?;
        let saved = snapshot.save(self.storage.as_mut());
        self.has_failed |= saved.is_err();
        saved?;
        self.delete_obsolete(snapshot.index, keep_after.min(snapshot.index))
    }

    /// Replaces the complete log with a snapshot from the leader.
    ///
    /// # Errors
    /// [`Error::File`] when a file operation fails; the journal is then unusable.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.sync()?;
        let saved = snapshot.save(self.storage.as_mut());
        self.has_failed |= saved.is_err();
        saved?;
        self.add_record(&Record::Reset {
            base: snapshot.index,
        });
        self.sync()?;
        self.start_segment()?;
        self.delete_obsolete(snapshot.index, LogIndex::MAX)
    }

    /// Reads the latest snapshot, to send it to a member that needs entries already deleted here.
    ///
    /// # Errors
    /// [`Error::Corrupt`] when it is damaged, [`Error::File`] when it cannot be read.
    pub fn load_snapshot(&self) -> Result<Option<Snapshot>> {
        recovery::latest_snapshot(self.storage.as_ref())
    }

    /// Returns the total size of all segments in bytes, without the pending batch.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        self.segments.iter().map(|info| info.length).sum()
    }

    fn delete_obsolete(&mut self, snapshot: LogIndex, obsolete_up_to: LogIndex) -> Result<()> {
        while self.segments.len() > 1 && self.segments[0].last_index <= obsolete_up_to {
            let oldest = self.segments.remove(0).sequence;
            let removed = self.storage.remove(&segment::name(oldest));
            // A gap between segments is treated as damage, so each removal is made durable before
            // the next one.
            let synced = removed.and_then(|()| self.storage.sync_folder());
            synced.map_err(|source| self.fail(oldest, source))?;
        }
        let deleted = snapshot::delete_older(self.storage.as_mut(), snapshot);
        deleted.map_err(|source| self.fail(0, source))
    }

    fn start_segment(&mut self) -> Result<()> {
        let sequence = self.newest_segment().sequence + 1;
        let created = create_segment(
            self.storage.as_mut(),
            sequence,
            &self.vote,
            &mut self.segments,
        );
        match created {
            Ok(file) => {
                self.file = file;
                Ok(())
            }
            Err(error) => {
                self.has_failed = true;
                Err(error)
            }
        }
    }

    fn add_record(&mut self, record: &Record) {
        let (sequence, start) = (self.newest_segment().sequence, self.newest_segment().length);
        let batch_start = u32::try_from(start).unwrap_or(u32::MAX);
        let offset = start + self.batch.len() as u64;
        record.encode(&mut self.batch, sequence, offset, batch_start);
    }

    fn newest_segment(&mut self) -> &mut SegmentInfo {
        self.segments.last_mut().expect("a journal has a segment")
    }

    fn check_usable(&self) -> Result<()> {
        if self.has_failed {
            Err(Error::Stopped { part: "journal" })
        } else {
            Ok(())
        }
    }

    fn fail(&mut self, sequence: u64, source: io::Error) -> Error {
        self.has_failed = true;
        file_error(self.storage.as_ref(), sequence, source)
    }
}

fn create_segment(
    storage: &mut dyn Storage,
    sequence: u64,
    vote: &VoteRecord,
    segments: &mut Vec<SegmentInfo>,
) -> Result<Box<dyn StorageFile>> {
    let vote = vote.clone();
    let mut header = Vec::new();
    Record::Header { sequence, vote }.encode(&mut header, sequence, 0, 0);
    let mut create = || {
        let mut file = storage.create(&segment::name(sequence))?;
        write_all(file.as_mut(), &header)?;
        file.sync()?;
        storage.sync_folder()?;
        Ok(file)
    };
    let file = create().map_err(|source| file_error(storage, sequence, source))?;
    segments.push(SegmentInfo {
        sequence,
        length: header.len() as u64,
        last_index: 0,
    });
    Ok(file)
}

/// Opens the newest segment for appending. The segment is copied first: after a killed process or a
/// failed sync, it may contain records that can be read but are not on the disk, and syncing the
/// same file again would not show that they are.
fn reopen_segment(
    storage: &mut dyn Storage,
    info: SegmentInfo,
) -> io::Result<Box<dyn StorageFile>> {
    let name = segment::name(info.sequence);
    let mut content = storage.read(&name)?;
    content.truncate(usize::try_from(info.length).unwrap_or(usize::MAX));
    replace_file(storage, &name, &[&content])?;
    storage.open(&name)
}

fn file_error(storage: &dyn Storage, sequence: u64, source: io::Error) -> Error {
    Error::file(storage.path(&segment::name(sequence)), source)
}
