//! The file operations of a data folder.

use std::{
    fmt::Debug,
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
};

use error_stack::ResultExt;

use crate::prelude::*;

/// The file operations of a data folder, which has no subfolders.
///
/// The data of a file is durable once [`StorageFile::sync`] has returned, and the names of all files
/// once [`Storage::sync_folder`] has. A test that replaces the operations can end or fail any of them.
pub trait Storage: Debug {
    type File: StorageFile;

    /// Returns the path of the folder, for messages.
    fn folder(&self) -> &Path;

    /// Returns the path of a file, for messages.
    fn path(&self, name: &str) -> PathBuf {
        self.folder().join(name)
    }

    /// Returns the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file; an existing one becomes empty.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens a file for appending, and creates it if it does not exist.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, in place of the one that has the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes the names of all files durable.
    fn sync_folder(&self) -> io::Result<()>;

    /// Returns the free space for further data.
    fn free_bytes(&self) -> io::Result<u64>;
}

/// A file that is open for appending.
pub trait StorageFile: Debug {
    /// Appends `data`. A part of it may be written when this fails.
    fn append(&mut self, data: &[u8]) -> io::Result<()>;

    fn truncate(&mut self, size_bytes: u64) -> io::Result<()>;

    /// Makes all data of the file durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A data folder in the file system.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    /// Exclusive lock on the folder, released on drop.
    _lock: Option<File>,
}

impl DataFolder {
    /// Returns a folder without a lock, which need not exist yet.
    pub(super) fn unlocked(path: &Path) -> DataFolder {
        DataFolder { path: path.to_owned(), _lock: None }
    }

    /// Locks a folder against other processes.
    ///
    /// # Errors
    ///
    /// Returns an error when another process holds the lock.
    pub(super) fn lock(path: &Path) -> Result<DataFolder> {
        let lock_path = path.join("lock");
        let file = File::create(&lock_path).change_context_lazy(|| io_error("open", &lock_path))?;
        let operation = rustix::fs::FlockOperation::NonBlockingLockExclusive;
        rustix::fs::flock(&file, operation).change_context_lazy(|| {
            let message =
                format_compact!("data folder {} is in use by another process", path.display());
            Error::new(ErrorKind::Internal, message)
        })?;
        Ok(DataFolder { path: path.to_owned(), _lock: Some(file) })
    }
}

impl Storage for DataFolder {
    type File = File;

    fn folder(&self) -> &Path {
        &self.path
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?;
        Ok(names.filter_map(|it| it.ok()?.file_name().into_string().ok()).collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.path(name))
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(self.path(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn free_bytes(&self) -> io::Result<u64> {
        let it = rustix::fs::statvfs(&self.path)?;
        Ok(it.f_bavail * it.f_frsize)
    }
}

impl StorageFile for File {
    fn append(&mut self, data: &[u8]) -> io::Result<()> {
        self.write_all(data)
    }

    fn truncate(&mut self, size_bytes: u64) -> io::Result<()> {
        self.set_len(size_bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Returns the error of a file operation, named by its verb.
pub(super) fn io_error(verb: &str, path: &Path) -> Error {
    Error::new(ErrorKind::Internal, format_compact!("cannot {verb} {}", path.display()))
}

/// Replaces a file in one step: a crash leaves the old data or the new data, durable and whole.
///
/// # Errors
///
/// Returns an error when an operation fails. The file then has the old data or the new data.
pub(super) fn replace_file<S: Storage>(storage: &S, name: &str, data: &[u8]) -> Result<()> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let write = || -> io::Result<()> {
        let mut file = storage.create(&temporary)?;
        file.append(data)?;
        file.sync()?;
        storage.rename(&temporary, name)
    };
    let written = write();
    if written.is_err() {
        // The partial file may take the missing disk space; one that remains is overwritten later.
        let _ = storage.remove(&temporary);
    }
    written.change_context_lazy(|| io_error("write", &storage.path(name)))?;
    sync_folder(storage)
}

/// Suffix of the names of files that are not complete yet.
const TEMPORARY_SUFFIX: &str = ".new";

pub(super) fn sync_folder<S: Storage>(storage: &S) -> Result<()> {
    storage.sync_folder().change_context_lazy(|| io_error("sync", storage.folder()))
}
