//! The command `table watch`.

use std::io::Write;

use error_stack::Report;

use crate::arguments::Arguments;
use crate::change;
use crate::client::Client;
use crate::error::Error;
use crate::route;
use crate::write;
use protocol::operator::History;
use protocol::operator::TableView;

/// Prints each change of the table as it comes into force.
///
/// # Errors
///
/// Returns an error when no server answers any more.
pub async fn run(
    arguments: &Arguments,
    words: &[String],
    out: &mut impl Write,
) -> Result<(), Report<Error>> {
    if !words.is_empty() {
        let usage = "table watch [--after REVISION] [--count NUMBER]".to_owned();
        return Err(Error::Usage { usage }.into());
    }
    let mut left = arguments.number("count", 1..=u64::MAX, u64::MAX)?;
    let client = arguments.client()?;
    let mut after = start(arguments, &client).await?;
    while left > 0 {
        let history = change::after_revision::<History>(&client, route::WATCH, after).await?;
        for change in history.changes.iter().filter(|c| c.revision > after) {
            let line = match arguments.json() {
                true => serde_json::to_string(change).expect("changes have text keys") + "\n",
                false => change::text(change),
            };
            write(out, &line)?;
            left -= 1;
            if left == 0 {
                break;
            }
        }
        after = after.max(history.revision);
    }
    Ok(())
}

async fn start(arguments: &Arguments, client: &Client) -> Result<u64, Report<Error>> {
    match arguments.maybe_number("after", 0..=u64::MAX)? {
        Some(after) => Ok(after),
        None => Ok(client.get::<TableView>(route::TABLE).await?.revision),
    }
}
