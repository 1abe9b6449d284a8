//! The duty that keeps the table: a single voter with a synced log.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use slog::Logger;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::sync::watch;

use state::edit::Edit;
use state::edit::Receipt;
use state::table;
use state::table::Table;
use transport::event;
use transport::event::Event;
use transport::metric;
use transport::ring;

const IDLE: Duration = Duration::from_millis(200);
const LENGTH_BYTES: usize = 4;
const LOG_FILE: &str = "table.log";
const RING_CALLS: usize = 1024;

/// Tells why the voters did not take an edit.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports that the log cannot be written.
    #[error("the log cannot be written: {0}")]
    Log(#[from] io::Error),
    /// Reports an edit that the table refuses.
    #[error("{0}")]
    Refused(#[from] table::Error),
    /// Reports that the duty takes no calls.
    #[error("the voter takes no calls: {0}")]
    Ring(#[from] ring::Error),
    /// Reports that the duty ended before it answered.
    #[error("the voter ended before it answered; the outcome is unknown")]
    Unanswered,
}

struct Call {
    answer: oneshot::Sender<Result<Receipt, Error>>,
    edit: Edit,
}

/// Reaches the duty.
#[derive(Clone)]
pub struct Handle {
    ring: ring::Sender<Call>,
    table: watch::Receiver<Arc<Table>>,
}

impl Handle {
    /// Has `edit` accepted, or learns why not.
    ///
    /// # Errors
    ///
    /// Returns the table's refusal, or why the voters could not be reached.
    pub async fn edit(&self, edit: Edit) -> Result<Receipt, Error> {
        let (answer, answered) = oneshot::channel();
        self.ring.send(Call { answer, edit })?;
        answered.await.map_err(|_| Error::Unanswered)?
    }

    /// Returns the table in force and its later versions.
    pub fn table(&self) -> watch::Receiver<Arc<Table>> {
        self.table.clone()
    }
}

struct Voter {
    file: Option<File>,
    log: Logger,
    publish: watch::Sender<Arc<Table>>,
    table: Table,
}

/// Starts the duty on the log in the folder `data`, or in memory without one.
///
/// # Errors
///
/// Returns an error when the log cannot be opened or read.
pub fn start(data: Option<PathBuf>, log: Logger) -> io::Result<Handle> {
    let (file, table) = match data {
        Some(folder) => open(&folder)?,
        None => (None, Table::default()),
    };
    let (publish, watch) = watch::channel(Arc::new(table.clone()));
    let (ring, calls) = ring::bounded(RING_CALLS);
    let mut voter = Voter {
        file,
        log,
        publish,
        table,
    };
    thread::Builder::new()
        .name("voter".to_owned())
        .spawn(move || voter.run(&calls))?;
    Ok(Handle { ring, table: watch })
}

impl Voter {
    fn run(&mut self, calls: &ring::Receiver<Call>) {
        loop {
            match calls.receive(IDLE) {
                Err(ring::Empty::Closed) => return,
                Err(ring::Empty::Timeout) => {}
                Ok(call) => {
                    let answer = self.accept(&call.edit);
                    let _ = call.answer.send(answer);
                }
            }
        }
    }

    fn accept(&mut self, edit: &Edit) -> Result<Receipt, Error> {
        let mut next = self.table.clone();
        let receipt = next.apply(edit)?;
        if let Some(file) = &mut self.file {
            append(file, edit)?;
        }
        self.table = next;
        self.publish.send_replace(Arc::new(self.table.clone()));
        metrics::gauge!(metric::TABLE_REVISION).set(receipt.revision as f64);
        let details = slog::o!("revision" => receipt.revision, "author" => edit.author.clone());
        event::emit(&self.log, Event::TableApplied, details);
        Ok(receipt)
    }
}

fn append(file: &mut File, edit: &Edit) -> io::Result<()> {
    let record = postcard::to_stdvec(edit).map_err(io::Error::other)?;
    let length = u32::try_from(record.len()).map_err(io::Error::other)?;
    file.write_all(&length.to_le_bytes())?;
    file.write_all(&record)?;
    file.sync_data()
}

fn open(folder: &Path) -> io::Result<(Option<File>, Table)> {
    fs::create_dir_all(folder)?;
    let path = folder.join(LOG_FILE);
    let mut options = OpenOptions::new();
    let mut file = options.append(true).create(true).read(true).open(path)?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let mut table = Table::default();
    let mut rest = bytes.as_slice();
    while rest.len() >= LENGTH_BYTES {
        let (length, tail) = rest.split_at(LENGTH_BYTES);
        let length = u32::from_le_bytes([length[0], length[1], length[2], length[3]]) as usize;
        let Some(record) = tail.get(..length) else {
            break;
        };
        let edit: Edit = postcard::from_bytes(record).map_err(io::Error::other)?;
        table.apply(&edit).map_err(io::Error::other)?;
        rest = &tail[length..];
    }
    Ok((Some(file), table))
}
