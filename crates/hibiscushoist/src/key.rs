//! The command `key`.

use std::io::Write;

use error_stack::Report;
use rand::RngExt;
use serde::Serialize;

use crate::arguments::Arguments;
use crate::credential::Credential;
use crate::error::Error;
use crate::table::json;
use crate::write;

#[derive(Debug, Serialize)]
struct Pair {
    hash: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
}

/// Makes a key and prints it with its hash, or prints the hash of the key in a file.
///
/// # Errors
///
/// Returns an error when the key cannot be read.
pub fn run(words: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    let arguments = Arguments::parse(words, |_| ())?;
    arguments.words(0..=0, "key [--key-file FILE] [--json]")?;
    let pair = match arguments.text("key-file") {
        Some(path) => Pair {
            hash: Credential::from_file(path)?.hash(),
            key: None,
        },
        None => fresh()?,
    };
    if arguments.json() {
        return write(out, &json(&pair));
    }
    if let Some(key) = pair.key {
        write(out, &format!("key  {key}\nhash "))?;
    }
    write(out, &format!("{}\n", pair.hash))
}

fn fresh() -> Result<Pair, Report<Error>> {
    let mut rng = rand::rng();
    let key = format!("{:032x}{:032x}", rng.random::<u128>(), rng.random::<u128>());
    Ok(Pair {
        hash: Credential::new(key.clone())?.hash(),
        key: Some(key),
    })
}
