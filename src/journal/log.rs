use std::io;

use spdlog::prelude::*;

use super::{
    JournalEntry, RecoveredLog, Snapshot, Storage, StorageFile, VoteRecord, identity,
    record::{MAX_BODY_LENGTH, Record},
    recovery::{self, KeptSegment, Replay},
    segment, snapshot,
    storage::{replace_file, write_all},
};
use crate::{
    error::{Error, Result},
    ids::{LogIndex, VmId},
    raft::VoterId,
};

/// Sizes at which the journal starts new files.
#[derive(Clone, Copy, Debug)]
pub struct JournalLimits {
    /// Bytes after which a new segment is started. The newest segment is copied at each start.
    pub segment_bytes: u64,
}

impl Default for JournalLimits {
    fn default() -> Self {
        Self {
            segment_bytes: 4 << 20,
        }
    }
}

/// The durable log. Changes are collected and become durable together in [`Journal::sync`].
///
/// After a failed write or sync every call fails with [`Error::Stopped`]: what is on the disk is
/// then unknown, and a later successful sync would prove nothing about earlier writes.
pub struct Journal {
    storage: Box<dyn Storage>,
    limits: JournalLimits,
    file: Box<dyn StorageFile>,
    segments: Vec<KeptSegment>,
    vote: VoteRecord,
    batch: Vec<u8>,
    failed: bool,
}

impl Journal {
    /// Opens the journal in `storage`, or creates a new one with a new identity of `vm`.
    ///
    /// # Errors
    /// [`Error::Corrupt`] with file and offset when something that was synced is damaged,
    /// [`Error::File`] when a file operation fails.
    pub fn open(
        mut storage: Box<dyn Storage>,
        vm: &VmId,
        limits: JournalLimits,
    ) -> Result<(Self, RecoveredLog)> {
        let found = identity::load(storage.as_ref())?;
        let snapshot = recovery::latest_snapshot(storage.as_ref())?;
        let mut replay = Replay::read(storage.as_ref())?;
        let restart = replay.follow(snapshot.as_ref(), storage.as_ref())?;
        let is_new = replay.segments.is_empty();
        let started = |replay: &Replay| {
            !replay.entries.is_empty() || replay.vote.term > 0 || snapshot.is_some()
        };
        let lost = match &found {
            Some(_) if is_new => Some("there is an identity and no segment"),
            Some(identity) if identity.vm != *vm => Some("the folder belongs to another VM"),
            None if started(&replay) => Some("there is a log and no identity"),
            _ => None,
        };
        if let Some(reason) = lost {
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
            // The head was torn, so the segment holds nothing and is written anew.
            Some(kept) if kept.length == 0 => {
                segments.pop();
                create_segment(storage.as_mut(), kept.sequence, &replay.vote, &mut segments)?
            }
            Some(kept) => reopen_segment(storage.as_mut(), kept)
                .map_err(|source| file_error(storage.as_ref(), kept.sequence, source))?,
            None => create_segment(storage.as_mut(), 1, &replay.vote, &mut segments)?,
        };
        // The identity comes last, so that a folder with an identity always has a segment.
        let identity = if let Some(identity) = found {
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
            failed: false,
        };
        if let Some(base) = restart {
            journal.push(&Record::Reset { base });
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

    /// Adds a new term or vote to the batch.
    pub fn save_vote(&mut self, vote: VoteRecord) {
        self.vote = vote.clone();
        self.push(&Record::Vote(vote));
    }

    /// Adds an entry to the batch.
    ///
    /// # Errors
    /// [`Error::Argument`] when the entry is longer than a record may be.
    pub fn append(&mut self, entry: JournalEntry) -> Result<()> {
        if entry.body.len() + 16 > MAX_BODY_LENGTH {
            let reason = format!("an entry of {} bytes is too long", entry.body.len());
            return Err(Error::Argument { reason });
        }
        let newest = self.newest();
        newest.last_index = newest.last_index.max(entry.index);
        self.push(&Record::Entry(entry));
        Ok(())
    }

    /// Adds to the batch that the entries from `from` on are void.
    pub fn truncate(&mut self, from: LogIndex) {
        self.push(&Record::Truncate { from });
    }

    /// Writes the batch and makes it durable. Does nothing when the batch is empty.
    ///
    /// # Errors
    /// [`Error::File`] when a write or sync fails; the journal is then unusable.
    pub fn sync(&mut self) -> Result<()> {
        self.check()?;
        if self.batch.is_empty() {
            return Ok(());
        }
        let sequence = self.newest().sequence;
        let written = write_all(self.file.as_mut(), &self.batch).and_then(|()| self.file.sync());
        if let Err(source) = written {
            return Err(self.fail(sequence, source));
        }
        self.newest().length += self.batch.len() as u64;
        self.batch.clear();
        if self.newest().length >= self.limits.segment_bytes {
            self.roll()?;
        }
        Ok(())
    }

    /// Makes a snapshot durable and deletes older ones, and the segments whose entries all lie
    /// at or before `keep_after`.
    ///
    /// # Errors
    /// [`Error::File`] when a file operation fails; the journal is then unusable.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, keep_after: LogIndex) -> Result<()> {
        self.sync()?;
        let saved = snapshot.save(self.storage.as_mut());
        self.failed |= saved.is_err();
        saved?;
        self.delete_behind(snapshot.index, keep_after.min(snapshot.index))
    }

    /// Replaces the whole log by a snapshot that the leader sent.
    ///
    /// # Errors
    /// [`Error::File`] when a file operation fails; the journal is then unusable.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.sync()?;
        let saved = snapshot.save(self.storage.as_mut());
        self.failed |= saved.is_err();
        saved?;
        self.push(&Record::Reset {
            base: snapshot.index,
        });
        self.sync()?;
        self.roll()?;
        self.delete_behind(snapshot.index, LogIndex::MAX)
    }

    /// Reads the latest snapshot, to send it to a member that needs compacted entries.
    ///
    /// # Errors
    /// [`Error::Corrupt`] when it is damaged, [`Error::File`] when it cannot be read.
    pub fn load_snapshot(&self) -> Result<Option<Snapshot>> {
        recovery::latest_snapshot(self.storage.as_ref())
    }

    /// Bytes of all segments, without the batch.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        self.segments.iter().map(|kept| kept.length).sum()
    }

    fn delete_behind(&mut self, snapshot: LogIndex, covered: LogIndex) -> Result<()> {
        while self.segments.len() > 1 && self.segments[0].last_index <= covered {
            let oldest = self.segments.remove(0).sequence;
            let removed = self.storage.remove(&segment::name(oldest));
            // A gap between segments would count as damage, so each removal is durable before
            // the next one.
            let synced = removed.and_then(|()| self.storage.sync_folder());
            synced.map_err(|source| self.fail(oldest, source))?;
        }
        let deleted = snapshot::delete_older(self.storage.as_mut(), snapshot);
        deleted.map_err(|source| self.fail(0, source))
    }

    fn roll(&mut self) -> Result<()> {
        let sequence = self.newest().sequence + 1;
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
                self.failed = true;
                Err(error)
            }
        }
    }

    fn push(&mut self, record: &Record) {
        let (sequence, start) = (self.newest().sequence, self.newest().length);
        let batch_start = u32::try_from(start).unwrap_or(u32::MAX);
        let offset = start + self.batch.len() as u64;
        record.encode(&mut self.batch, sequence, offset, batch_start);
    }

    fn newest(&mut self) -> &mut KeptSegment {
        self.segments.last_mut().expect("a journal has a segment")
    }

    fn check(&self) -> Result<()> {
        if self.failed {
            Err(Error::Stopped { part: "journal" })
        } else {
            Ok(())
        }
    }

    fn fail(&mut self, sequence: u64, source: io::Error) -> Error {
        self.failed = true;
        file_error(self.storage.as_ref(), sequence, source)
    }
}

fn create_segment(
    storage: &mut dyn Storage,
    sequence: u64,
    vote: &VoteRecord,
    segments: &mut Vec<KeptSegment>,
) -> Result<Box<dyn StorageFile>> {
    let vote = vote.clone();
    let mut head = Vec::new();
    Record::Head { sequence, vote }.encode(&mut head, sequence, 0, 0);
    let mut create = || {
        let mut file = storage.create(&segment::name(sequence))?;
        write_all(file.as_mut(), &head)?;
        file.sync()?;
        storage.sync_folder()?;
        Ok(file)
    };
    let file = create().map_err(|source| file_error(storage, sequence, source))?;
    segments.push(KeptSegment {
        sequence,
        length: head.len() as u64,
        last_index: 0,
    });
    Ok(file)
}

/// Opens the newest segment for appending. It is copied first: a process that was killed, or whose
/// sync failed, leaves records that can be read but may not be on the disk, and syncing the same
/// file again would not prove that they are.
fn reopen_segment(
    storage: &mut dyn Storage,
    kept: KeptSegment,
) -> io::Result<Box<dyn StorageFile>> {
    let name = segment::name(kept.sequence);
    let mut content = storage.read(&name)?;
    content.truncate(usize::try_from(kept.length).unwrap_or(usize::MAX));
    replace_file(storage, &name, &[&content])?;
    storage.open(&name)
}

fn file_error(storage: &dyn Storage, sequence: u64, source: io::Error) -> Error {
    Error::file(storage.path(&segment::name(sequence)), source)
}
