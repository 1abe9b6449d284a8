//! The command `addresses`.

use std::io::Write;

use error_stack::Report;

use crate::arguments::Arguments;
use crate::error::Error;
use crate::route;
use crate::table::json;
use crate::write;
use protocol::address::AddressList;

/// Prints the entry addresses that a caller should use.
///
/// # Errors
///
/// Returns an error when no server answers or the key is refused.
pub async fn run(words: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    let arguments = Arguments::parse(words, |_| ())?;
    arguments.words(
        0..=0,
        "addresses [--server ADDRESS] [--key-file FILE] [--json]",
    )?;
    let client = arguments.client()?;
    let listing = client.get::<AddressList>(route::ADDRESSES).await?;
    if arguments.json() {
        return write(out, &json(&listing));
    }
    write(out, &text(&listing))
}

fn text(listing: &AddressList) -> String {
    let mut text = String::new();
    for address in &listing.addresses {
        text.push_str(&format!("{address}\n"));
    }
    text.push_str(&format!("keep for {} ms\n", listing.lifetime_ms));
    text
}
