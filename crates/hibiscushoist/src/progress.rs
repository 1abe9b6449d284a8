//! The line that shows how far a long command has come.

use std::io;
use std::io::IsTerminal;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

const PERIOD: Duration = Duration::from_millis(500);

/// Rewrites one line of standard error while that is a terminal.
#[derive(Debug)]
pub struct Progress {
    shown: Option<Instant>,
    started: Instant,
    terminal: bool,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            shown: None,
            started: Instant::now(),
            terminal: io::stderr().is_terminal(),
        }
    }
}

impl Progress {
    /// Shows `text` after the time passed, at most twice a second.
    pub fn show(&mut self, text: impl FnOnce() -> String) {
        let due = self.shown.is_none_or(|shown| shown.elapsed() >= PERIOD);
        if !self.terminal || !due {
            return;
        }
        self.shown = Some(Instant::now());
        let seconds = self.started.elapsed().as_secs();
        let _ = write!(io::stderr(), "\r{seconds} s, {}\x1b[K", text());
    }

    /// Clears the line.
    pub fn clear(&mut self) {
        if self.terminal {
            let _ = write!(io::stderr(), "\r\x1b[K");
        }
    }
}
