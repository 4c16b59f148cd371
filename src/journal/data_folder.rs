use std::{
    fs::{self, File, TryLockError},
    io,
    path::{Path, PathBuf},
};

use spdlog::prelude::*;

use super::{FolderStorage, Journal, JournalLimits, RecoveredLog};
use crate::{
    error::{Error, Result},
    ids::VmId,
};

const LOCK_NAME: &str = "lock";
const JOURNAL_NAME: &str = "journal";
const DAMAGED_PREFIX: &str = "damaged-";

/// An opened journal with its recovered content.
pub struct OpenedJournal {
    /// The journal.
    pub journal: Journal,
    /// Content of the journal when it was opened.
    pub recovered: RecoveredLog,
    /// Lock on the data folder; `None` when the journal is not in a data folder.
    pub lock: Option<DataFolder>,
}

/// The data folder of a control daemon, locked by this process.
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Creates the folder if it does not exist, and locks it until this value is dropped.
    ///
    /// # Errors
    /// [`Error::File`] when the folder cannot be created or another process has locked it.
    pub fn open(path: &Path) -> Result<Self> {
        fs::create_dir_all(path).map_err(|source| Error::file(path, source))?;
        let lock_path = path.join(LOCK_NAME);
        let lock = File::create(&lock_path).map_err(|source| Error::file(&lock_path, source))?;
        lock.try_lock().map_err(|error| {
            let source = match error {
                TryLockError::Error(source) => source,
                TryLockError::WouldBlock => io::Error::new(
                    io::ErrorKind::ResourceBusy,
                    "another process uses this data folder",
                ),
            };
            Error::file(&lock_path, source)
        })?;
        Ok(Self {
            path: path.to_owned(),
            _lock: lock,
        })
    }

    /// Opens the journal. A damaged journal is moved to another name and replaced with an empty one
    /// with a new incarnation, so that this voter is a new member that must fetch the log.
    ///
    /// # Errors
    /// [`Error::File`] when a file operation fails.
    pub fn open_journal(self, vm: &VmId, limits: JournalLimits) -> Result<OpenedJournal> {
        let folder = self.path.join(JOURNAL_NAME);
        let open = || {
            fs::create_dir_all(&folder)
                .and_then(|()| File::open(&self.path)?.sync_all())
                .map_err(|source| Error::file(&folder, source))?;
            Journal::open(Box::new(FolderStorage::new(&folder)), vm, limits)
        };
        let (journal, recovered) = match open() {
            Err(error @ Error::Corrupt { .. }) => {
                error!("journal: {error}");
                let backup = self.unused_backup_path()?;
                fs::rename(&folder, &backup).map_err(|source| Error::file(&folder, source))?;
                error!(
                    "journal: moved the damaged log to {}; this voter starts anew as a learner",
                    backup.display()
                );
                open()?
            }
            opened => opened?,
        };
        Ok(OpenedJournal {
            journal,
            recovered,
            lock: Some(self),
        })
    }

    fn unused_backup_path(&self) -> Result<PathBuf> {
        (1..u32::MAX)
            .map(|number| self.path.join(format!("{DAMAGED_PREFIX}{number}")))
            .find(|path| !path.exists())
            .ok_or_else(|| Error::file(&self.path, io::ErrorKind::AlreadyExists.into()))
    }
}
