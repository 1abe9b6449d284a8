//! The command `hash`.

use std::io;
use std::io::Write;

use error_stack::Report;
use error_stack::ResultExt;

use crate::arguments::Arguments;
use crate::credential::Credential;
use crate::error::Error;
use crate::write;

/// Prints the hash of the key in a file or on standard input.
///
/// # Errors
///
/// Returns an error when the key cannot be read.
pub fn run(words: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    let arguments = Arguments::parse(words, |_| ())?;
    arguments.words(0..=0, "hash [--key-file FILE]")?;
    let credential = match arguments.text("key-file") {
        Some(path) => Credential::from_file(path)?,
        None => Credential::new(io::read_to_string(io::stdin()).change_context(Error::Key)?)?,
    };
    write(out, &format!("{}\n", credential.hash()))
}
