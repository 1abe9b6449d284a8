//! The command line of the daemon.

use std::path::PathBuf;

use getopts::Options;
use thiserror::Error;

/// Tells what is wrong with the command line.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports a missing settings file.
    #[error("--settings FILE is missing; see --help")]
    NoSettings,
    /// Reports an option that cannot be read.
    #[error("{0}; see --help")]
    Option(#[from] getopts::Fail),
}

/// Tells what the daemon should do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Checks a settings file and ends.
    Check(PathBuf),
    /// Prints the help and ends.
    Help(String),
    /// Serves with a settings file.
    Serve(PathBuf),
    /// Prints the version and ends.
    Version,
}

/// Reads the arguments after the program's name.
///
/// # Errors
///
/// Returns an error that names the argument that is wrong or missing.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, Error> {
    let mut options = Options::new();
    options.optflag("", "check", "check the settings file and exit");
    options.optflag("h", "help", "print this help");
    options.optopt("s", "settings", "read settings from FILE", "FILE");
    options.optflag("V", "version", "print the version");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let brief = "Usage: hibiscushoistd --settings FILE [--check]";
        return Ok(Command::Help(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let path = matches.opt_str("settings").ok_or(Error::NoSettings)?;
    if matches.opt_present("check") {
        return Ok(Command::Check(path.into()));
    }
    Ok(Command::Serve(path.into()))
}
