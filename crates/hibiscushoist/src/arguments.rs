//! The options that several commands share.

use std::env;
use std::ffi::OsStr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use error_stack::Report;
use error_stack::ResultExt;
use getopts::Matches;
use getopts::Options;

use crate::client::Client;
use crate::credential::Credential;
use crate::error::Error;

/// Is asked where no server is given.
pub const DEFAULT_SERVER: &str = "127.0.0.1:8080";
/// Names the environment variable that lists servers.
pub const SERVER: &str = "HIBISCUSHOIST_SERVER";

/// Holds the parsed options of a command.
#[derive(Debug)]
pub struct Arguments {
    matches: Matches,
}

impl Arguments {
    /// Parses `words` by the shared options and those that `extend` adds.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown option or a missing value.
    pub fn parse(
        words: &[String],
        extend: impl FnOnce(&mut Options),
    ) -> Result<Self, Report<Error>> {
        let mut options = Options::new();
        options
            .optflag("", "json", "prints JSON")
            .optmulti("", "server", "names a server", "ADDRESS")
            .optopt("", "key-file", "names the file of the key", "FILE");
        extend(&mut options);
        let words = words.iter().map(OsStr::new);
        let matches = options.parse(words).map_err(Error::Arguments)?;
        Ok(Self { matches })
    }

    /// Returns a client with the given servers and key.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no key or a server is no address.
    pub fn client(&self) -> Result<Client, Report<Error>> {
        Ok(Client::new(self.servers()?, self.credential()?))
    }

    /// Returns the key of `--key-file`, or else of the environment.
    ///
    /// # Errors
    ///
    /// Returns an error when there is none or it cannot be read.
    pub fn credential(&self) -> Result<Credential, Report<Error>> {
        match self.matches.opt_str("key-file") {
            Some(path) => Credential::from_file(path),
            None => Credential::from_environment(),
        }
    }

    /// Returns the servers of `--server`, or else of the environment, or else the default one.
    ///
    /// # Errors
    ///
    /// Returns an error when one is no address.
    pub fn servers(&self) -> Result<Vec<SocketAddr>, Report<Error>> {
        let mut texts = self.matches.opt_strs("server");
        if texts.is_empty() {
            texts.push(env::var(SERVER).unwrap_or_else(|_| DEFAULT_SERVER.to_owned()));
        }
        let parts = texts.iter().flat_map(|text| text.split(','));
        parts.map(server).collect()
    }

    /// Returns the words that are no options, when their count is in `count`.
    ///
    /// # Errors
    ///
    /// Returns an error that shows `usage` for any other count.
    pub fn words(
        &self,
        count: RangeInclusive<usize>,
        usage: &str,
    ) -> Result<&[String], Report<Error>> {
        if count.contains(&self.matches.free.len()) {
            return Ok(&self.matches.free);
        }
        let usage = usage.to_owned();
        Err(Error::Usage { usage }.into())
    }

    /// Returns the number of `--option`, or else `default`.
    ///
    /// # Errors
    ///
    /// Returns an error when it is no whole number in `accepted`.
    pub fn number(
        &self,
        option: &str,
        accepted: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, Report<Error>> {
        Ok(self.maybe_number(option, accepted)?.unwrap_or(default))
    }

    /// Returns the number of `--option`, if it is given.
    ///
    /// # Errors
    ///
    /// Returns an error when it is no whole number in `accepted`.
    pub fn maybe_number(
        &self,
        option: &str,
        accepted: RangeInclusive<u64>,
    ) -> Result<Option<u64>, Report<Error>> {
        let Some(text) = self.matches.opt_str(option) else {
            return Ok(None);
        };
        let wrong = || Error::Number {
            accepted: format!("{} to {}", accepted.start(), accepted.end()),
            option: option.to_owned(),
            text: text.clone(),
        };
        let number = text.parse::<u64>().change_context_lazy(wrong)?;
        if !accepted.contains(&number) {
            return Err(wrong().into());
        }
        Ok(Some(number))
    }

    /// Returns the value of `--option`, if it is given.
    pub fn text(&self, option: &str) -> Option<String> {
        self.matches.opt_str(option)
    }

    /// Returns all values of `--option` in order.
    pub fn texts(&self, option: &str) -> Vec<String> {
        self.matches.opt_strs(option)
    }

    /// Returns whether the output should be JSON.
    pub fn json(&self) -> bool {
        self.matches.opt_present("json")
    }
}

/// Reads an address.
///
/// # Errors
///
/// Returns an error that repeats a text that is no IP number and port.
pub fn server(text: &str) -> Result<SocketAddr, Report<Error>> {
    let wrong = || Error::Server {
        text: text.to_owned(),
    };
    text.trim().parse().change_context_lazy(wrong)
}
