//! Durable state of a voter of the replicated log: identity, log and snapshot.
//!
//! Files belong to generations. A generation is one snapshot and a log in segments, which starts
//! with the hard state and the entries after the snapshot. A new generation is written and synced
//! as drafts; renaming its first log segment makes it valid, and older generations are removed
//! afterwards. Each start writes a new generation, so that everything it read is certainly on disk,
//! even if an earlier sync failed. So does the next write after a disk was found full, because a
//! file system may tell so as late as in a sync, and what that sync covered is unknown.

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

const FORMAT_FILE: &str = "format";
const FORMAT_VERSION: u32 = 1;
/// Size from which the log continues in a new segment.
const SEGMENT_TARGET_BYTES: u64 = 8 << 20;

/// Reason why a data folder cannot be used, or why records are not durable.
#[derive(Debug, Error)]
pub enum Error {
    /// A file that was durable is damaged; the voter must be replaced.
    #[error(
        "file `{file}` is damaged at byte {offset}; replace this voter by one with an empty disk"
    )]
    Damaged {
        /// Name of the file.
        file: String,
        /// Offset of the damage, in bytes.
        offset: usize,
    },
    /// The records cannot be encoded.
    #[error("cannot encode records: {0}")]
    Encode(#[from] postcard::Error),
    /// The folder contains files of another program.
    #[error(
        "the folder holds `{file}` but no file `{FORMAT_FILE}`; give the voter a folder of its own"
    )]
    Foreign {
        /// Name of one of these files.
        file: String,
    },
    /// The disk is full; the same records may be written again, and must be before any others.
    #[error("the disk is full")]
    Full,
    /// Another error of the operating system; nothing may be written until the next start.
    #[error("the disk failed: {0}")]
    Io(#[from] io::Error),
    /// An earlier write or sync failed; what is on the disk is unknown until the next start.
    #[error("an earlier write failed; start again to read what is on the disk")]
    Poisoned,
    /// Another version of the program wrote the folder, in another format.
    #[error("the folder has format {found}, this program reads {FORMAT_VERSION}")]
    Version {
        /// Version of the format in the folder.
        found: u32,
    },
}

/// Content of the format file.
#[derive(Debug, Deserialize, Serialize)]
struct Format {
    identity: MemberId,
    version: u32,
}

/// Summary of what was read when a store was opened.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct OpenReport {
    /// Number of log entries after the snapshot.
    pub entries: usize,
    /// Whether an unfinished write at the end of the log was dropped.
    pub torn_tail: bool,
}

/// Durable store of a voter's state in its data folder.
#[derive(Debug)]
pub struct RaftStore<D> {
    disk: D,
    generation: u64,
    identity: MemberId,
    /// Newest generation that was begun, valid or not. A later one never reuses its files, which
    /// may have been published in part.
    newest_generation: u64,
    recovered: Recovered,
    /// Whether the next write starts a new generation.
    rewrites: bool,
    segment_len: u64,
    poisoned: bool,
    segment_number: u64,
}

impl<D: Disk> RaftStore<D> {
    /// Opens the folder and reads its state; an empty folder gets the identity `new_identity`.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder belongs to another program, is damaged, has another version
    /// or cannot be read.
    pub fn open(mut disk: D, new_identity: MemberId) -> Result<(Self, OpenReport), Error> {
        let identity = read_or_write_identity(&mut disk, new_identity)?;
        let files = disk.list()?;
        let generation = files
            .iter()
            .filter_map(|file| first_segment_generation(file))
            .max();
        let mut recovered = Recovered::default();
        let mut report = OpenReport::default();
        if let Some(generation) = generation {
            report.torn_tail = read_generation(&disk, &files, generation, &mut recovered)?;
        }
        report.entries = recovered.entries.len();
        let mut store = Self {
            disk,
            generation: generation.unwrap_or(0),
            identity,
            newest_generation: generation.unwrap_or(0),
            recovered,
            rewrites: false,
            segment_len: 0,
            poisoned: false,
            segment_number: 0,
        };
        store.start_generation(store.recovered.clone())?;
        Ok((store, report))
    }

    /// Returns the member id that is stored in the folder.
    pub fn identity(&self) -> MemberId {
        self.identity
    }

    /// Returns the durable state: what was read on opening, and all records written since.
    pub fn recovered(&self) -> &Recovered {
        &self.recovered
    }

    /// Writes records and returns once they survive a loss of power.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when the disk is full; the same records must be written again before
    /// others, as they may be on the disk in part.
    /// After any other error nothing is written until the next start.
    pub fn write(&mut self, records: Vec<Record>) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        let is_rewrite =
            |record: &Record| matches!(record, Record::Compact(_) | Record::Install(_));
        let result = match self.rewrites || records.iter().any(is_rewrite) {
            false => self.append(&records),
            true => {
                let mut next = self.recovered.clone();
                records
                    .iter()
                    .cloned()
                    .for_each(|record| next.apply(record));
                return self.start_generation(next);
            }
        };
        if result.is_ok() {
            records
                .into_iter()
                .for_each(|record| self.recovered.apply(record));
        }
        result
    }

    /// Appends a frame to the current segment and syncs it.
    ///
    /// A failed append may leave a part of the frame in the file, which is then truncated to its
    /// former length.
    fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        let frame = disk_frame::encode(&records)?;
        if self.segment_len >= SEGMENT_TARGET_BYTES {
            self.start_segment()?;
        }
        let file = segment_name(self.generation, self.segment_number);
        if let Err(error) = self.disk.append(&file, &frame) {
            let truncated = self.disk.truncate(&file, self.segment_len);
            self.rewrites = truncated.is_err();
            return Err(self.write_error(error));
        }
        if let Err(error) = self.disk.sync(&file) {
            self.rewrites = true;
            return Err(self.write_error(error));
        }
        self.segment_len += frame.len() as u64;
        Ok(())
    }

    /// Returns [`Error::Full`], after which the same records may be written again, if the disk is
    /// full. After any other error, which is [`Error::Io`], nothing more is written.
    fn write_error(&mut self, error: io::Error) -> Error {
        self.poisoned = !is_full(&error);
        match self.poisoned {
            false => Error::Full,
            true => Error::Io(error),
        }
    }

    /// Writes a new generation with the state `next`, and removes the others.
    fn start_generation(&mut self, next: Recovered) -> Result<(), Error> {
        let generation = self.newest_generation + 1;
        self.newest_generation = generation;
        self.rewrites = true;
        let start = vec![
            Record::HardState(next.hard_state),
            Record::Entries(next.entries.clone()),
        ];
        let log = disk_frame::encode(&start)?;
        let snapshot = disk_frame::encode(&*next.snapshot)?;
        self.write_generation_files(generation, &snapshot, &log)?;
        self.generation = generation;
        self.rewrites = false;
        self.recovered = next;
        self.segment_len = log.len() as u64;
        self.segment_number = 0;
        self.remove_other_generations();
        Ok(())
    }

    /// Removes the files of other generations; what cannot be removed is tried again next time.
    fn remove_other_generations(&mut self) {
        for file in self.disk.list().unwrap_or_default() {
            if file != FORMAT_FILE && file_generation(&file) != Some(self.generation) {
                let _ = self.disk.remove(&file);
            }
        }
    }

    /// Continues the log in a new segment file.
    fn start_segment(&mut self) -> Result<(), Error> {
        let file = segment_name(self.generation, self.segment_number + 1);
        let created = self
            .disk
            .create(&file)
            .and_then(|()| self.disk.sync_folder());
        if let Err(error) = created {
            self.rewrites = true;
            return Err(self.write_error(error));
        }
        self.segment_len = 0;
        self.segment_number += 1;
        Ok(())
    }

    /// Writes the drafts of a generation, then publishes them, the log file last because its name
    /// makes the generation valid.
    fn write_generation_files(
        &mut self,
        generation: u64,
        snapshot_bytes: &[u8],
        log: &[u8],
    ) -> Result<(), Error> {
        let (snapshot, log_file) = (snapshot_name(generation), segment_name(generation, 0));
        let written = disk::write_draft(&mut self.disk, &snapshot, snapshot_bytes)
            .and_then(|()| disk::write_draft(&mut self.disk, &log_file, log))
            .and_then(|()| disk::publish(&mut self.disk, &snapshot))
            .and_then(|()| disk::publish(&mut self.disk, &log_file));
        written.map_err(|error| {
            // Drafts that stay would take up room on a full disk.
            for file in [&snapshot, &log_file] {
                let _ = self.disk.remove(&disk::draft_name(file));
            }
            self.write_error(error)
        })
    }
}

/// Returns the identity in the folder, or stores `new_identity` in an empty folder.
fn read_or_write_identity(disk: &mut impl Disk, new_identity: MemberId) -> Result<MemberId, Error> {
    let files = disk.list()?;
    if files.iter().any(|file| file == FORMAT_FILE) {
        let bytes = disk.read(FORMAT_FILE)?;
        return match disk_frame::read::<Format>(&bytes, 0) {
            ReadOutcome::Frame { value, .. } if value.version == FORMAT_VERSION => {
                Ok(value.identity)
            }
            ReadOutcome::Frame { value, .. } => Err(Error::Version {
                found: value.version,
            }),
            ReadOutcome::Damaged | ReadOutcome::End | ReadOutcome::Torn => Err(Error::Damaged {
                file: FORMAT_FILE.to_owned(),
                offset: 0,
            }),
        };
    }
    let draft = format!("{FORMAT_FILE}.draft");
    if let Some(file) = files.into_iter().find(|file| *file != draft) {
        return Err(Error::Foreign { file });
    }
    let format = Format {
        identity: new_identity,
        version: FORMAT_VERSION,
    };
    disk::replace_atomically(disk, FORMAT_FILE, &disk_frame::encode(&format)?)?;
    Ok(new_identity)
}

/// Applies the files of a generation; returns whether its log ends with an unfinished write.
fn read_generation(
    disk: &impl Disk,
    files: &[String],
    generation: u64,
    recovered: &mut Recovered,
) -> Result<bool, Error> {
    let file = snapshot_name(generation);
    let bytes = disk.read(&file)?;
    match disk_frame::read::<Snapshot>(&bytes, 0) {
        ReadOutcome::Frame { value, .. } => recovered.snapshot = value.into(),
        ReadOutcome::Damaged | ReadOutcome::End | ReadOutcome::Torn => {
            return Err(Error::Damaged { file, offset: 0 });
        }
    }
    let is_in_generation =
        |file: &&String| parse_segment_name(file).is_some_and(|(found, _)| found == generation);
    let segments: Vec<&String> = files.iter().filter(is_in_generation).collect();
    let mut torn_tail = false;
    for (number, file) in segments.iter().enumerate() {
        let mut offset = 0;
        if parse_segment_name(file) != Some((generation, number as u64)) {
            let file = (*file).clone();
            return Err(Error::Damaged { file, offset });
        }
        let bytes = disk.read(file)?;
        loop {
            match disk_frame::read::<Vec<Record>>(&bytes, offset) {
                ReadOutcome::End => break,
                ReadOutcome::Frame { next, value } => {
                    value.into_iter().for_each(|record| recovered.apply(record));
                    offset = next;
                }
                ReadOutcome::Torn if number + 1 == segments.len() && (number, offset) != (0, 0) => {
                    torn_tail = true;
                    break;
                }
                ReadOutcome::Damaged | ReadOutcome::Torn => {
                    let file = (*file).clone();
                    return Err(Error::Damaged { file, offset });
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

fn first_segment_generation(file: &str) -> Option<u64> {
    parse_segment_name(file).and_then(|(generation, segment)| (segment == 0).then_some(generation))
}

fn file_generation(file: &str) -> Option<u64> {
    let snapshot = file.strip_prefix("snapshot-");
    let parsed = snapshot.and_then(|hex| u64::from_str_radix(hex, 16).ok());
    parsed.or(parse_segment_name(file).map(|(generation, _)| generation))
}

fn segment_name(generation: u64, segment: u64) -> String {
    format!("log-{generation:016x}-{segment:016x}")
}

fn parse_segment_name(file: &str) -> Option<(u64, u64)> {
    let (generation, segment) = file.strip_prefix("log-")?.split_once('-')?;
    let generation = u64::from_str_radix(generation, 16).ok()?;
    Some((generation, u64::from_str_radix(segment, 16).ok()?))
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation:016x}")
}
