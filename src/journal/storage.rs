use std::{io, path::PathBuf};

/// File operations of the journal in one flat folder; tests replace them to inject faults.
///
/// Names and removals are durable only after [`Storage::sync_folder`].
pub trait Storage: Send {
    /// Lists the names of the files.
    ///
    /// # Errors
    /// When the folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    ///
    /// # Errors
    /// When the file is missing or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, or empties an existing one.
    ///
    /// # Errors
    /// When the file cannot be created.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn StorageFile>>;
    /// Opens a file for appending.
    ///
    /// # Errors
    /// When the file cannot be opened.
    fn open(&mut self, name: &str) -> io::Result<Box<dyn StorageFile>>;
    /// Renames a file, replacing an existing one.
    ///
    /// # Errors
    /// When the file cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// When the file cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// When the folder cannot be synced.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Path of a file, for error messages.
    fn path(&self, name: &str) -> PathBuf;
}

/// A file that is only appended to.
pub trait StorageFile: Send {
    /// Appends a part of `bytes` and returns how many bytes were taken.
    ///
    /// # Errors
    /// When nothing could be written, for example because the disk is full.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// Makes the content durable.
    ///
    /// # Errors
    /// When the content may not be durable; it must then not be relied on, even if a later call succeeds.
    fn sync(&mut self) -> io::Result<()>;
}

/// End of the name of a file that is still being written.
pub const UNFINISHED_SUFFIX: &str = ".tmp";

/// Appends all of `bytes`, repeating short writes.
pub fn write_all(file: &mut dyn StorageFile, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(taken) => bytes = &bytes[taken..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Writes a file under a temporary name, syncs it and gives it its final name durably.
pub fn replace_file(storage: &mut dyn Storage, name: &str, parts: &[&[u8]]) -> io::Result<()> {
    let temporary = format!("{name}{UNFINISHED_SUFFIX}");
    let mut file = storage.create(&temporary)?;
    for part in parts {
        write_all(file.as_mut(), part)?;
    }
    file.sync()?;
    storage.rename(&temporary, name)?;
    storage.sync_folder()
}
