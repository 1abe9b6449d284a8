//! Durable file operations on the data folder of a process.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::Write;
use std::path::PathBuf;

use thiserror::Error;

const LOCK_FILE: &str = "lock";

/// File operations on one folder; tests implement it with injected faults.
pub trait Disk: Send {
    /// Appends `bytes` to an existing file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; a part of the bytes may have been written.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Creates an empty file, replacing an existing one.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn create(&mut self, file: &str) -> io::Result<()>;

    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;

    /// Lists the names of the files in sorted order, without the lock file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn read(&self, file: &str) -> io::Result<Vec<u8>>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// Renames a file, replacing an existing one.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Syncs the content of a file, so that it survives a loss of power.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system. After a failed sync the bytes may be lost even if
    /// later calls succeed.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Syncs the entries of the folder, so that created, renamed and removed files survive a loss
    /// of power.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Replaces the content of a file atomically and durably.
///
/// After a crash or a loss of power the file has either its old or its new content.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn replace_atomically(disk: &mut impl Disk, file: &str, bytes: &[u8]) -> io::Result<()> {
    write_draft(disk, file, bytes)?;
    publish(disk, file)
}

/// Writes and syncs the new content of a file under the name of its draft.
///
/// # Errors
///
/// Returns the error of the operating system; the file is unchanged.
pub fn write_draft(disk: &mut impl Disk, file: &str, bytes: &[u8]) -> io::Result<()> {
    let draft = draft_name(file);
    disk.create(&draft)?;
    disk.append(&draft, bytes)?;
    disk.sync(&draft)
}

/// Renames the draft of a file to the file, and syncs the folder.
///
/// # Errors
///
/// Returns the error of the operating system; the file has its old or its new content.
pub fn publish(disk: &mut impl Disk, file: &str) -> io::Result<()> {
    disk.rename(&draft_name(file), file)?;
    disk.sync_folder()
}

/// Returns the name of the draft of a file.
pub fn draft_name(file: &str) -> String {
    format!("{file}.draft")
}

/// Reason why a data folder cannot be opened.
#[derive(Debug, Error)]
pub enum Error {
    /// The folder or its lock file cannot be created or locked.
    #[error("cannot use data folder `{}`: {source}", folder.display())]
    Io {
        /// Path of the folder.
        folder: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("data folder `{}` is in use by another process; end that one first", folder.display())]
    Locked {
        /// Path of the folder.
        folder: PathBuf,
    },
}

/// Data folder, locked against other processes until it is dropped.
#[derive(Debug)]
pub struct Folder {
    append_handle: Option<(String, File)>,
    path: PathBuf,
    _lock: File,
}

impl Folder {
    /// Locks the folder at `path` and creates it if it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be created or another process has locked it.
    pub fn open(path: impl Into<PathBuf>) -> Result<Self, Error> {
        let path = path.into();
        let io_error = |source| Error::Io {
            folder: path.clone(),
            source,
        };
        fs::create_dir_all(&path).map_err(io_error)?;
        let mut options = OpenOptions::new();
        options.create(true).write(true).truncate(false);
        let lock = options.open(path.join(LOCK_FILE)).map_err(io_error)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                append_handle: None,
                path,
                _lock: lock,
            }),
            Err(TryLockError::Error(source)) => Err(io_error(source)),
            Err(TryLockError::WouldBlock) => Err(Error::Locked { folder: path }),
        }
    }

    /// Returns the handle that appends to `file`; the last one used stays open.
    fn append_handle(&mut self, file: &str) -> io::Result<&mut File> {
        if self
            .append_handle
            .as_ref()
            .is_none_or(|(name, _)| name != file)
        {
            let opened = OpenOptions::new().append(true).open(self.path.join(file))?;
            self.append_handle = Some((file.to_owned(), opened));
        }
        let handle = self.append_handle.as_mut().map(|(_, opened)| opened);
        handle.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn close_handle(&mut self, file: &str) {
        self.append_handle = self.append_handle.take().filter(|(name, _)| name != file);
    }
}

impl Disk for Folder {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.append_handle(file)?.write_all(bytes)
    }

    fn create(&mut self, file: &str) -> io::Result<()> {
        self.close_handle(file);
        File::create(self.path.join(file)).map(drop)
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.append_handle(file)?.set_len(length)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(file))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.close_handle(file);
        fs::remove_file(self.path.join(file))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close_handle(from);
        self.close_handle(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.append_handle(file)?.sync_all()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
