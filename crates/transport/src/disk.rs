//! The data folder of a process, as the few operations that durable state needs.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::Write;
use std::path::PathBuf;

use thiserror::Error;

const LOCK: &str = "lock";

/// Gives access to one folder; tests put faults behind it.
pub trait Disk: Send {
    /// Appends `bytes` to a file that [`Disk::create`] made.
    ///
    /// # Errors
    ///
    /// Returns the system's error; a part of the bytes may have been written.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes an empty file, in place of an old one.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn create(&mut self, file: &str) -> io::Result<()>;

    /// Cuts a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;

    /// Lists the files in order of name.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn read(&self, file: &str) -> io::Result<Vec<u8>>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// Renames a file, in place of an old one.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Waits until a file's bytes would outlive a loss of power.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the bytes may then be lost although later calls succeed.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Waits until the folder's names would outlive a loss of power.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Writes a whole file so that it is either as before or complete, and outlives a loss of power.
///
/// # Errors
///
/// Returns the system's error.
pub fn replace_atomically(disk: &mut impl Disk, file: &str, bytes: &[u8]) -> io::Result<()> {
    write_draft(disk, file, bytes)?;
    publish(disk, file)
}

/// Writes the next content of a file beside it.
///
/// # Errors
///
/// Returns the system's error; the file is as before.
pub fn write_draft(disk: &mut impl Disk, file: &str, bytes: &[u8]) -> io::Result<()> {
    let draft = draft_of(file);
    disk.create(&draft)?;
    disk.append(&draft, bytes)?;
    disk.sync(&draft)
}

/// Puts the next content of a file in its place.
///
/// # Errors
///
/// Returns the system's error; the file is either as before or complete.
pub fn publish(disk: &mut impl Disk, file: &str) -> io::Result<()> {
    disk.rename(&draft_of(file), file)?;
    disk.sync_folder()
}

fn draft_of(file: &str) -> String {
    format!("{file}.draft")
}

/// Tells why a folder cannot be used.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports an error of the system.
    #[error("cannot use data folder `{}`: {source}", folder.display())]
    Io {
        /// Names the folder.
        folder: PathBuf,
        /// Holds the system's error.
        source: io::Error,
    },
    /// Reports a folder that another process uses.
    #[error("data folder `{}` is in use by another process; end that one first", folder.display())]
    Locked {
        /// Names the folder.
        folder: PathBuf,
    },
}

/// Holds a folder that no other process can open meanwhile.
#[derive(Debug)]
pub struct Folder {
    open: Option<(String, File)>,
    path: PathBuf,
    _lock: File,
}

impl Folder {
    /// Locks the folder at `path`, which is made where it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be made or another process holds it.
    pub fn open(path: impl Into<PathBuf>) -> Result<Self, Error> {
        let path = path.into();
        let failed = |source| Error::Io {
            folder: path.clone(),
            source,
        };
        fs::create_dir_all(&path).map_err(failed)?;
        let mut options = OpenOptions::new();
        options.create(true).write(true).truncate(false);
        let lock = options.open(path.join(LOCK)).map_err(failed)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                open: None,
                path,
                _lock: lock,
            }),
            Err(TryLockError::Error(source)) => Err(failed(source)),
            Err(TryLockError::WouldBlock) => Err(Error::Locked { folder: path }),
        }
    }

    fn file(&mut self, file: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(name, _)| name != file) {
            let opened = OpenOptions::new().append(true).open(self.path.join(file))?;
            self.open = Some((file.to_owned(), opened));
        }
        let open = self.open.as_mut().map(|(_, opened)| opened);
        open.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn forget(&mut self, file: &str) {
        self.open = self.open.take().filter(|(name, _)| name != file);
    }
}

impl Disk for Folder {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(file)?.write_all(bytes)
    }

    fn create(&mut self, file: &str) -> io::Result<()> {
        self.forget(file);
        File::create(self.path.join(file)).map(drop)
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.file(file)?.set_len(length)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
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
        self.forget(file);
        fs::remove_file(self.path.join(file))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.forget(from);
        self.forget(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.file(file)?.sync_all()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
