//! What a voter keeps in its data folder: identity, log and snapshot.
//!
//! Files come in generations. A generation has one snapshot and a log in segments that starts with
//! the promises and the entries after the snapshot. A new generation is complete before the name
//! that makes it count appears, and older ones are removed afterwards. Each start writes one, so
//! that whatever was read is on the disk for certain, even after a failed sync before.

use std::io;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::disk;
use crate::disk::Disk;
use crate::disk_frame;
use crate::disk_frame::ReadOutcome;
use coordination::quorum::MemberId;
use coordination::raft_entry::Record;
use coordination::raft_entry::Recovered;
use coordination::raft_entry::Snapshot;

const FORMAT: &str = "format";
const FORMAT_VERSION: u32 = 1;
const SEGMENT_BYTES: u64 = 8 << 20;

/// Tells why the folder cannot be used, or why records are not on the disk.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports damage to what was on the disk before; the voter needs a replacement.
    #[error(
        "file `{file}` is damaged at byte {place}; replace this voter by one with an empty disk"
    )]
    Damaged {
        /// Names the file.
        file: String,
        /// Gives the place, in bytes.
        place: usize,
    },
    /// Reports records that do not encode.
    #[error("records do not encode: {0}")]
    Encode(#[from] postcard::Error),
    /// Reports a folder with files of something else.
    #[error("the folder holds `{file}` but no file `{FORMAT}`; give the voter a folder of its own")]
    Foreign {
        /// Names one of the files.
        file: String,
    },
    /// Reports a full disk; nothing of the records counts, and they may be written again.
    #[error("the disk is full")]
    Full,
    /// Reports another error of the system; nothing may be written until the next start.
    #[error("the disk failed: {0}")]
    Io(#[from] io::Error),
    /// Reports that an earlier write or sync failed, after which nothing counts as written.
    #[error("an earlier write failed; start again to read what is on the disk")]
    Poisoned,
    /// Reports a format that another version of the program wrote.
    #[error("the folder has format {found}, this program reads {FORMAT_VERSION}")]
    Version {
        /// Gives the format found.
        found: u32,
    },
}

#[derive(Debug, Deserialize, Serialize)]
struct Format {
    identity: MemberId,
    version: u32,
}

/// Tells what a start found.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct OpenReport {
    /// Counts the entries after the snapshot.
    pub entries: usize,
    /// Tells that an unfinished write at the end of the log was dropped.
    pub torn_tail: bool,
}

/// Holds a voter's data folder.
#[derive(Debug)]
pub struct RaftStore<D> {
    disk: D,
    generation: u64,
    identity: MemberId,
    kept: Recovered,
    length: u64,
    poisoned: bool,
    segment: u64,
}

impl<D: Disk> RaftStore<D> {
    /// Reads the folder; an empty one is given the identity `fresh`.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder is foreign, damaged, of another version or unreadable.
    pub fn open(mut disk: D, fresh: MemberId) -> Result<(Self, OpenReport), Error> {
        let identity = identify(&mut disk, fresh)?;
        let files = disk.list()?;
        let generation = files.iter().filter_map(|file| first_segment(file)).max();
        let mut kept = Recovered::default();
        let mut report = OpenReport::default();
        if let Some(generation) = generation {
            report.torn_tail = read_generation(&disk, &files, generation, &mut kept)?;
        }
        report.entries = kept.entries.len();
        let mut store = Self {
            disk,
            generation: generation.unwrap_or(0),
            identity,
            kept,
            length: 0,
            poisoned: false,
            segment: 0,
        };
        store.renew(store.kept.clone())?;
        Ok((store, report))
    }

    /// Returns the identity of the folder.
    pub fn identity(&self) -> MemberId {
        self.identity
    }

    /// Returns what the folder holds.
    pub fn recovered(&self) -> &Recovered {
        &self.kept
    }

    /// Writes records, and returns once they would outlive a loss of power.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when the records may be written again later. After any other error
    /// nothing is written until the next start.
    pub fn write(&mut self, records: Vec<Record>) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        let whole = |record: &Record| matches!(record, Record::Compact(_) | Record::Install(_));
        let result = match records.iter().any(whole) {
            false => self.append(&records),
            true => {
                let mut next = self.kept.clone();
                records
                    .iter()
                    .cloned()
                    .for_each(|record| next.apply(record));
                return self.renew(next);
            }
        };
        if result.is_ok() {
            records
                .into_iter()
                .for_each(|record| self.kept.apply(record));
        }
        result
    }

    fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        let frame = disk_frame::encode(&records)?;
        if self.length >= SEGMENT_BYTES {
            self.roll()?;
        }
        let file = segment(self.generation, self.segment);
        if let Err(error) = self.disk.append(&file, &frame) {
            let undone = self.disk.truncate(&file, self.length);
            self.poisoned = !is_full(&error) || undone.is_err();
            return Err(self.failure(error));
        }
        self.poisoned = true;
        self.disk.sync(&file)?;
        self.poisoned = false;
        self.length += frame.len() as u64;
        Ok(())
    }

    fn failure(&self, error: io::Error) -> Error {
        match is_full(&error) && !self.poisoned {
            false => Error::Io(error),
            true => Error::Full,
        }
    }

    /// Writes a generation that holds `next`, and removes the others.
    fn renew(&mut self, next: Recovered) -> Result<(), Error> {
        let generation = self.generation + 1;
        let start = vec![
            Record::HardState(next.hard_state),
            Record::Entries(next.entries.clone()),
        ];
        let log = disk_frame::encode(&start)?;
        let snapshot = disk_frame::encode(&*next.snapshot)?;
        self.write_generation(generation, &snapshot, &log)?;
        self.generation = generation;
        self.kept = next;
        self.length = log.len() as u64;
        self.segment = 0;
        self.remove_old();
        Ok(())
    }

    /// Removes the files of other generations; one that stays is removed next time.
    fn remove_old(&mut self) {
        for file in self.disk.list().unwrap_or_default() {
            if file != FORMAT && generation_of(&file) != Some(self.generation) {
                let _ = self.disk.remove(&file);
            }
        }
    }

    fn roll(&mut self) -> Result<(), Error> {
        let file = segment(self.generation, self.segment + 1);
        let made = self
            .disk
            .create(&file)
            .and_then(|()| self.disk.sync_folder());
        if let Err(error) = made {
            self.poisoned = !is_full(&error);
            return Err(self.failure(error));
        }
        self.length = 0;
        self.segment += 1;
        Ok(())
    }

    fn write_generation(&mut self, generation: u64, snap: &[u8], log: &[u8]) -> Result<(), Error> {
        let (snapshot, log_file) = (snapshot(generation), segment(generation, 0));
        let drafted = disk::write_draft(&mut self.disk, &snapshot, snap)
            .and_then(|()| disk::write_draft(&mut self.disk, &log_file, log));
        if let Err(error) = drafted {
            self.poisoned = !is_full(&error);
            return Err(self.failure(error));
        }
        self.poisoned = true;
        disk::publish(&mut self.disk, &snapshot)?;
        disk::publish(&mut self.disk, &log_file)?;
        self.poisoned = false;
        Ok(())
    }
}

fn identify(disk: &mut impl Disk, fresh: MemberId) -> Result<MemberId, Error> {
    let files = disk.list()?;
    if files.iter().any(|file| file == FORMAT) {
        let bytes = disk.read(FORMAT)?;
        return match disk_frame::read::<Format>(&bytes, 0) {
            ReadOutcome::Frame { value, .. } if value.version == FORMAT_VERSION => {
                Ok(value.identity)
            }
            ReadOutcome::Frame { value, .. } => Err(Error::Version {
                found: value.version,
            }),
            ReadOutcome::Damaged | ReadOutcome::End | ReadOutcome::Torn => Err(Error::Damaged {
                file: FORMAT.to_owned(),
                place: 0,
            }),
        };
    }
    let draft = format!("{FORMAT}.draft");
    if let Some(file) = files.into_iter().find(|file| *file != draft) {
        return Err(Error::Foreign { file });
    }
    let format = Format {
        identity: fresh,
        version: FORMAT_VERSION,
    };
    disk::replace_atomically(disk, FORMAT, &disk_frame::encode(&format)?)?;
    Ok(fresh)
}

fn read_generation(
    disk: &impl Disk,
    files: &[String],
    generation: u64,
    kept: &mut Recovered,
) -> Result<bool, Error> {
    let file = snapshot(generation);
    let bytes = disk.read(&file)?;
    match disk_frame::read::<Snapshot>(&bytes, 0) {
        ReadOutcome::Frame { value, .. } => kept.snapshot = value.into(),
        ReadOutcome::Damaged | ReadOutcome::End | ReadOutcome::Torn => {
            return Err(Error::Damaged { file, place: 0 });
        }
    }
    let own = |file: &&String| segment_of(file).is_some_and(|(own, _)| own == generation);
    let segments: Vec<&String> = files.iter().filter(own).collect();
    let mut torn_tail = false;
    for (number, file) in segments.iter().enumerate() {
        let mut place = 0;
        if segment_of(file) != Some((generation, number as u64)) {
            let file = (*file).clone();
            return Err(Error::Damaged { file, place });
        }
        let bytes = disk.read(file)?;
        loop {
            match disk_frame::read::<Vec<Record>>(&bytes, place) {
                ReadOutcome::End => break,
                ReadOutcome::Frame { next, value } => {
                    value.into_iter().for_each(|record| kept.apply(record));
                    place = next;
                }
                ReadOutcome::Torn if number + 1 == segments.len() && (number, place) != (0, 0) => {
                    torn_tail = true;
                    break;
                }
                ReadOutcome::Damaged | ReadOutcome::Torn => {
                    let file = (*file).clone();
                    return Err(Error::Damaged { file, place });
                }
            }
        }
    }
    Ok(torn_tail)
}

fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::QuotaExceeded | io::ErrorKind::StorageFull
    )
}

fn first_segment(file: &str) -> Option<u64> {
    segment_of(file).and_then(|(generation, segment)| (segment == 0).then_some(generation))
}

fn generation_of(file: &str) -> Option<u64> {
    let snapshot = file.strip_prefix("snapshot-");
    let own = snapshot.and_then(|hex| u64::from_str_radix(hex, 16).ok());
    own.or(segment_of(file).map(|(generation, _)| generation))
}

fn segment(generation: u64, segment: u64) -> String {
    format!("log-{generation:016x}-{segment:016x}")
}

fn segment_of(file: &str) -> Option<(u64, u64)> {
    let (generation, segment) = file.strip_prefix("log-")?.split_once('-')?;
    let generation = u64::from_str_radix(generation, 16).ok()?;
    Some((generation, u64::from_str_radix(segment, 16).ok()?))
}

fn snapshot(generation: u64) -> String {
    format!("snapshot-{generation:016x}")
}
