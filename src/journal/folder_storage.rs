use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

use super::{Storage, StorageFile};

/// [`Storage`] in a folder of the file system.
pub struct FolderStorage {
    folder: PathBuf,
}

impl FolderStorage {
    /// Creates a storage in an existing folder.
    #[must_use]
    pub fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
        }
    }
}

impl Storage for FolderStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.folder)?;
        let names = entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()));
        names.collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn StorageFile>> {
        let file = File::create(self.folder.join(name))?;
        Ok(Box::new(FolderFile(file)))
    }

    fn open(&mut self, name: &str) -> io::Result<Box<dyn StorageFile>> {
        let path = self.folder.join(name);
        let file = OpenOptions::new().append(true).open(path)?;
        Ok(Box::new(FolderFile(file)))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

struct FolderFile(File);

impl StorageFile for FolderFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        // sync_data is enough: it includes the metadata that reading the content needs, such as the
        // length.
        self.0.sync_data()
    }
}
