use std::{io, path::PathBuf};

/// File operations of the journal in one flat folder. Tests implement this trait to inject faults.
///
/// Created, renamed and removed names are durable only after [`Storage::sync_folder`].
pub trait Storage: Send {
    /// Lists the names of the files.
    ///
    /// # Errors
    /// When the folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads the content of a file.
    ///
    /// # Errors
    /// When the file is missing or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, or truncates an existing one.
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
    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    /// When the folder cannot be synced.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Returns the path of a file, for error messages.
    fn path(&self, name: &str) -> PathBuf;
}

/// An append-only file.
pub trait StorageFile: Send {
    /// Appends a prefix of `bytes` and returns the number of bytes written.
    ///
    /// # Errors
    /// When nothing could be written, for example because the disk is full.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// Makes the content durable.
    ///
    /// # Errors
    /// When the content may not be durable. A later successful call does not make it durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// Suffix of the name of a file that is not yet written completely.
pub const UNFINISHED_SUFFIX: &str = ".tmp";

/// Appends all of `bytes`, continuing after short writes.
pub fn write_all(file: &mut dyn StorageFile, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
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
