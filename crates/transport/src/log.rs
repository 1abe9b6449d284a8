//! Construction of the root logger.

use std::io;

use slog::Drain;
use slog::Level;
use slog::Logger;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// Log records that may wait for the thread that writes them.
const MAX_QUEUED_RECORDS: usize = 4096;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Plain text for people.
    Human,
    /// One JSON object on each line.
    Json,
}

/// Returns a logger that drops every record.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Returns a logger that writes records of `level` and above to standard output.
pub fn root(format: Format, level: Level) -> Logger {
    match format {
        Format::Human => {
            let decorator = slog_term::PlainDecorator::new(io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            with_drain(drain, level)
        }
        Format::Json => {
            let drain = slog_json::Json::default(io::stdout()).fuse();
            with_drain(drain, level)
        }
    }
}

/// Returns a logger that writes to `drain` in another thread.
fn with_drain<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_RECORDS)
        .build();
    let drain = drain.filter_level(level).fuse();
    Logger::root(drain, slog::o!())
}
