//! The root logger of a process.

use std::io;

use slog::Drain;
use slog::Level;
use slog::Logger;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

const CHANNEL_RECORDS: usize = 4096;

/// Names a form of log lines.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Writes lines for people.
    Human,
    /// Writes one JSON object a line.
    Json,
}

/// Returns a logger that drops every record.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Returns a logger that writes records of `level` and above to the standard output stream.
pub fn root(form: Format, level: Level) -> Logger {
    match form {
        Format::Human => {
            let decorator = slog_term::PlainDecorator::new(io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            attach(drain, level)
        }
        Format::Json => {
            let drain = slog_json::Json::default(io::stdout()).fuse();
            attach(drain, level)
        }
    }
}

fn attach<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(CHANNEL_RECORDS)
        .build();
    let drain = drain.filter_level(level).fuse();
    Logger::root(drain, slog::o!())
}
