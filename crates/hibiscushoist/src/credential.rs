//! The key that a command sends.

use std::env;
use std::fmt;
use std::fs;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;
use hyper::header::HeaderValue;

use crate::error::Error;

/// Names the environment variable that holds a key.
pub const VARIABLE: &str = "HIBISCUSHOIST_KEY";

/// Holds a key; it shows as dots wherever it is printed.
#[derive(Clone)]
pub struct Credential {
    header: HeaderValue,
    text: String,
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(...)")
    }
}

impl Credential {
    /// Reads the key from the first line of a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, or one for a key that no header can hold.
    pub fn from_file(path: impl Into<PathBuf>) -> Result<Self, Report<Error>> {
        let path = path.into();
        let text = fs::read_to_string(&path).change_context_lazy(|| Error::KeyFile { path })?;
        Self::new(text)
    }

    /// Reads the key from the environment variable [`VARIABLE`].
    ///
    /// # Errors
    ///
    /// Returns an error that names the variable, or one for a key that no header can hold.
    pub fn from_environment() -> Result<Self, Report<Error>> {
        let variable = VARIABLE.to_owned();
        let text = env::var(VARIABLE).map_err(|_| Error::KeyMissing { variable })?;
        Self::new(text)
    }

    /// Takes the key from `text`, without the line end.
    ///
    /// # Errors
    ///
    /// Returns an error for an empty key and for one that no header can hold.
    pub fn new(text: impl Into<String>) -> Result<Self, Report<Error>> {
        let text = text.into().trim().to_owned();
        let plain = |c: char| c.is_ascii_graphic();
        if text.is_empty() || !text.chars().all(plain) {
            return Err(Error::Key.into());
        }
        let mut header =
            HeaderValue::from_str(&format!("Bearer {text}")).map_err(|_| Error::Key)?;
        header.set_sensitive(true);
        Ok(Self { header, text })
    }

    /// Returns the value of the `authorization` header.
    pub fn header(&self) -> HeaderValue {
        self.header.clone()
    }

    /// Returns the BLAKE3 hash of the key as 64 hexadecimal digits.
    pub fn hash(&self) -> String {
        blake3::hash(self.text.as_bytes()).to_hex().to_string()
    }
}
