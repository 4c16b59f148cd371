//! In-memory file system that loses unsynced data in a crash and injects faults.
#![allow(dead_code)] // Each test program uses a part.

use std::{
    collections::BTreeMap,
    io,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use waxwinglatch::journal::{Storage, StorageFile};

type FileId = usize;

#[derive(Clone, Default)]
struct MemoryFile {
    content: Vec<u8>,
    synced: usize,
}

#[derive(Clone)]
enum FolderChange {
    Set(String, FileId),
    Rename(String, String),
    Remove(String),
}

/// Faults that the file system injects.
#[derive(Default)]
pub struct Faults {
    /// Number of the operation from which on every operation fails, as at a power cut.
    pub crash_at: Option<usize>,
    /// Number of the file sync that fails. It drops the unsynced data, as Linux may do.
    pub fail_sync: Option<usize>,
    /// Bytes that the disk can hold.
    pub capacity: Option<usize>,
    /// Longest single write.
    pub short_write: Option<usize>,
}

#[derive(Default)]
struct MemoryDisk {
    files: Vec<MemoryFile>,
    names: BTreeMap<String, FileId>,
    synced_names: BTreeMap<String, FileId>,
    unsynced: Vec<FolderChange>,
    faults: Faults,
    operations: usize,
    syncs: usize,
}

impl MemoryDisk {
    fn step(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.faults.crash_at {
            Some(at) if self.operations > at => Err(io::Error::other("power cut")),
            _ => Ok(()),
        }
    }

    fn change(&mut self, change: FolderChange) {
        perform(&mut self.names, &change);
        self.unsynced.push(change);
    }

    fn find(&self, name: &str) -> io::Result<FileId> {
        let found = self.names.get(name).copied();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

fn perform(names: &mut BTreeMap<String, FileId>, change: &FolderChange) {
    match change {
        FolderChange::Set(name, file) => {
            names.insert(name.clone(), *file);
        }
        FolderChange::Rename(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
        FolderChange::Remove(name) => {
            names.remove(name);
        }
    }
}

/// Handle of the file system; clones share it.
#[derive(Clone, Default)]
pub struct MemoryStorage(Arc<Mutex<MemoryDisk>>);

impl MemoryStorage {
    /// Creates an empty file system.
    pub fn new(faults: Faults) -> Self {
        let storage = Self::default();
        storage.disk().faults = faults;
        storage
    }

    fn disk(&self) -> MutexGuard<'_, MemoryDisk> {
        self.0
            .lock()
            .expect("no test panics while it holds the disk")
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.disk().faults = faults;
    }

    /// Number of operations so far.
    pub fn operations(&self) -> usize {
        self.disk().operations
    }

    /// Number of file syncs so far.
    pub fn syncs(&self) -> usize {
        self.disk().syncs
    }

    /// Names of the files.
    pub fn names(&self) -> Vec<String> {
        self.disk().names.keys().cloned().collect()
    }

    /// Changes the content of a file on the disk.
    pub fn edit(&self, name: &str, edit: impl FnOnce(&mut Vec<u8>)) {
        let mut disk = self.disk();
        let file = disk.find(name).expect("the file exists");
        edit(&mut disk.files[file].content);
        disk.files[file].synced = disk.files[file].content.len();
    }

    /// Returns what is left after a power cut: a prefix of the unsynced folder changes, and of each
    /// file its synced content and an arbitrary part of the rest.
    pub fn after_crash(&self, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let disk = self.disk();
        let mut names = disk.synced_names.clone();
        let applied = rng.random_range(0..=disk.unsynced.len());
        for change in &disk.unsynced[..applied] {
            perform(&mut names, change);
        }
        let mut files = disk.files.clone();
        for file in &mut files {
            let length = rng.random_range(file.synced..=file.content.len());
            file.content.truncate(length);
            // A page of the unsynced part may be missing although later ones are there.
            if file.synced < length && rng.random_bool(0.5) {
                let from = rng.random_range(file.synced..length);
                let to = rng.random_range(from..=length);
                file.content[from..to].fill(0);
            }
            file.synced = length;
        }
        let after = Self::default();
        *after.disk() = MemoryDisk {
            files,
            synced_names: names.clone(),
            names,
            ..MemoryDisk::default()
        };
        after
    }
}

impl Storage for MemoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.disk();
        Ok(disk.files[disk.find(name)?].content.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn StorageFile>> {
        let mut disk = self.disk();
        disk.step()?;
        let file = disk.files.len();
        disk.files.push(MemoryFile::default());
        disk.change(FolderChange::Set(name.to_owned(), file));
        drop(disk);
        Ok(Box::new(OpenFile(self.clone(), file)))
    }

    fn open(&mut self, name: &str) -> io::Result<Box<dyn StorageFile>> {
        let mut disk = self.disk();
        disk.step()?;
        let file = disk.find(name)?;
        drop(disk);
        Ok(Box::new(OpenFile(self.clone(), file)))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        disk.find(from)?;
        disk.change(FolderChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        disk.find(name)?;
        disk.change(FolderChange::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        disk.synced_names = disk.names.clone();
        disk.unsynced.clear();
        Ok(())
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from("/memory").join(name)
    }
}

struct OpenFile(MemoryStorage, FileId);

impl StorageFile for OpenFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = self.0.disk();
        disk.step()?;
        let used: usize = disk.files.iter().map(|file| file.content.len()).sum();
        let free = disk
            .faults
            .capacity
            .map_or(usize::MAX, |all| all.saturating_sub(used));
        if free == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let longest = disk.faults.short_write.unwrap_or(usize::MAX).min(free);
        let taken = bytes.len().min(longest);
        disk.files[self.1]
            .content
            .extend_from_slice(&bytes[..taken]);
        Ok(taken)
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut disk = self.0.disk();
        disk.step()?;
        disk.syncs += 1;
        let failing = disk.faults.fail_sync == Some(disk.syncs);
        let file = &mut disk.files[self.1];
        if failing {
            file.content.truncate(file.synced);
            return Err(io::Error::other("input/output error"));
        }
        file.synced = file.content.len();
        Ok(())
    }
}
