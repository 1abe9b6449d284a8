//! Log records of a host under test.

use std::fmt::Arguments;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;

use slog::Drain;
use slog::KV;
use slog::Key;
use slog::Logger;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog::Serializer;

/// Collects log records as lines of the event and `key=value` pairs; clones share one state.
#[derive(Clone, Debug, Default)]
pub struct Records(Arc<Mutex<Vec<String>>>);

/// One line of [`Records`].
struct Line(String);

impl Records {
    /// Returns a logger whose records are collected.
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone(), slog::o!())
    }

    /// Returns the number of records of `event` with all these pairs.
    pub fn count(&self, event: &str, pairs: &[&str]) -> usize {
        let lines = self.0.lock().unwrap();
        let matches = |line: &&String| {
            let mut parts = line.split(' ');
            parts.next() == Some(event)
                && pairs.iter().all(|pair| parts.clone().any(|p| p == *pair))
        };
        lines.iter().filter(matches).count()
    }
}

impl Drain for Records {
    type Err = Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = Line(record.msg().to_string());
        let _ = record.kv().serialize(record, &mut line);
        let _ = values.serialize(record, &mut line);
        self.0.lock().unwrap().push(line.0);
        Ok(())
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}
