//! The duty that writes a voter's log: one sync covers all writes that wait.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use slog::Logger;

use crate::voter_call::Call;
use coordination::raft_entry::Record;
use transport::channel;
use transport::disk::Folder;
use transport::event;
use transport::event::Event;
use transport::metric;
use transport::raft_store;
use transport::raft_store::RaftStore;

const FULL_PAUSE: Duration = Duration::from_secs(1);
const IDLE: Duration = Duration::from_millis(200);
const RING_JOBS: usize = 1_024;
const RING_PAUSE: Duration = Duration::from_millis(1);

/// Asks for one write.
#[derive(Clone)]
pub struct Job {
    /// Holds the records in order.
    pub records: Vec<Record>,
    /// Numbers the write.
    pub sequence: u64,
}

/// Shows how far the duty has come; it never waits for its reader.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    failed: AtomicBool,
    synced: AtomicU64,
}

impl Progress {
    /// Returns the number of the newest write that is on the disk.
    pub fn synced(&self) -> u64 {
        self.0.synced.load(Ordering::Acquire)
    }

    /// Returns whether the disk cannot be used any more.
    pub fn failed(&self) -> bool {
        self.0.failed.load(Ordering::Acquire)
    }
}

/// Puts writes into the channel of the duty.
pub struct Writer {
    jobs: channel::Sender<Job>,
    /// Shows how far the duty has come.
    pub progress: Progress,
}

impl Writer {
    /// Asks for a write, and waits while too many wait; returns whether the duty still runs.
    pub fn write(&self, job: &Job) -> bool {
        loop {
            match self.jobs.send(job.clone()) {
                Err(channel::SendError::Closed) => return false,
                Err(channel::SendError::Full) => thread::sleep(RING_PAUSE),
                Ok(()) => return true,
            }
        }
    }
}

/// Starts the duty, which wakes the reader of `calls` after each write; without a store it
/// confirms at once.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub fn start(
    store: Option<RaftStore<Folder>>,
    calls: channel::Sender<Call>,
    log: Logger,
) -> io::Result<Writer> {
    let (jobs, receiver) = channel::bounded(RING_JOBS);
    let progress = Progress::default();
    let shared = progress.clone();
    thread::Builder::new()
        .name("voter-disk".to_owned())
        .spawn(move || run(store, &receiver, &calls, &shared, &log))?;
    Ok(Writer { jobs, progress })
}

fn run(
    mut store: Option<RaftStore<Folder>>,
    jobs: &channel::Receiver<Job>,
    calls: &channel::Sender<Call>,
    progress: &Progress,
    log: &Logger,
) {
    loop {
        let mut job = match jobs.receive(IDLE) {
            Err(channel::ReceiveError::Closed) => return,
            Err(channel::ReceiveError::Timeout) => continue,
            Ok(job) => job,
        };
        while let Some(next) = jobs.try_receive() {
            job.records.extend(next.records);
            job.sequence = next.sequence;
        }
        let written = store
            .as_mut()
            .is_none_or(|store| write(store, &job.records, log));
        match written {
            false => progress.0.failed.store(true, Ordering::Release),
            true => progress.0.synced.store(job.sequence, Ordering::Release),
        }
        let _ = calls.send(Call::Written);
        if !written {
            return;
        }
    }
}

/// Writes until it succeeds; returns `false` when the disk cannot be used any more.
fn write(store: &mut RaftStore<Folder>, records: &[Record], log: &Logger) -> bool {
    loop {
        metrics::counter!(metric::LOG_SYNCS).increment(1);
        match store.write(records.to_vec()) {
            Err(raft_store::Error::Full) => {
                event::emit(log, Event::DiskFull, slog::o!());
                thread::sleep(FULL_PAUSE);
            }
            Err(error) => {
                let details = slog::o!("error" => error.to_string());
                event::emit(log, Event::DiskFailed, details);
                return false;
            }
            Ok(()) => return true,
        }
    }
}
