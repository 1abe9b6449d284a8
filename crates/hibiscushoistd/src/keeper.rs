//! The duty that keeps the newest table: on the disk first, then in force.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use slog::Logger;
use tokio::sync::watch;

use state::table::Table;
use transport::channel;
use transport::disk;
use transport::disk::Disk;
use transport::disk::Folder;
use transport::disk_frame;
use transport::disk_frame::ReadOutcome;
use transport::event;
use transport::event::Event;
use transport::metric;

const FILE: &str = "table";
const IDLE: Duration = Duration::from_millis(200);
const RING_TABLES: usize = 64;

/// Reaches the duty.
pub struct Keeper {
    /// Takes tables; older ones than that in force are dropped.
    pub offers: channel::Sender<Arc<Table>>,
    /// Shows the table in force.
    pub table: watch::Receiver<Arc<Table>>,
}

/// Starts the duty with the table that the folder `data` holds, if there is one.
///
/// # Errors
///
/// Returns an error when the folder cannot be used or the thread cannot be started.
pub fn start(data: Option<&Path>, log: Logger) -> io::Result<Keeper> {
    let folder: Option<PathBuf> = data.map(|data| data.join("table"));
    let folder = folder.map(Folder::open).transpose();
    let folder = folder.map_err(io::Error::other)?;
    let saved = folder.as_ref().and_then(read).unwrap_or_default();
    let (publish, table) = watch::channel(saved);
    let (offers, tables) = channel::bounded(RING_TABLES);
    thread::Builder::new()
        .name("keeper".to_owned())
        .spawn(move || run(folder, &tables, &publish, &log))?;
    Ok(Keeper { offers, table })
}

fn run(
    mut folder: Option<Folder>,
    tables: &channel::Receiver<Arc<Table>>,
    publish: &watch::Sender<Arc<Table>>,
    log: &Logger,
) {
    loop {
        let mut newest = match tables.receive(IDLE) {
            Err(channel::ReceiveError::Closed) => return,
            Err(channel::ReceiveError::Timeout) => continue,
            Ok(table) => table,
        };
        while let Some(table) = tables.try_receive() {
            if table.revision() > newest.revision() {
                newest = table;
            }
        }
        if newest.revision() <= publish.borrow().revision() {
            continue;
        }
        if let Some(folder) = &mut folder
            && let Err(error) = save(folder, &newest)
        {
            let details = slog::o!("error" => error.to_string());
            event::emit(log, Event::TableNotSaved, details);
        }
        let revision = newest.revision();
        publish.send_replace(newest);
        metrics::gauge!(metric::TABLE_REVISION).set(revision as f64);
        event::emit(log, Event::TableApplied, slog::o!("revision" => revision));
    }
}

fn read(folder: &Folder) -> Option<Arc<Table>> {
    let bytes = folder.read(FILE).ok()?;
    match disk_frame::read::<Table>(&bytes, 0) {
        ReadOutcome::Frame { value, .. } => Some(Arc::new(value)),
        ReadOutcome::Damaged | ReadOutcome::End | ReadOutcome::Torn => None,
    }
}

fn save(folder: &mut Folder, table: &Table) -> io::Result<()> {
    let bytes = disk_frame::encode(table).map_err(io::Error::other)?;
    disk::replace_atomically(folder, FILE, &bytes)
}
