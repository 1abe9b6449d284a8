//! Changes of the table, as a server tells of them.

use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::client::Client;
use crate::error::Error;
use protocol::operator::Change;
use state::column::Column;
use state::edit::Action;

/// Gets `path` with a revision to start after.
///
/// # Errors
///
/// Returns an error when no server answers or the answer is a failure.
pub async fn after_revision<T: DeserializeOwned>(
    client: &Client,
    path: &str,
    after: u64,
) -> Result<T, Report<Error>> {
    client.get(&format!("{path}?after={after}")).await
}

/// Returns one line that shows a change.
pub fn text(change: &Change) -> String {
    let edit = &change.edit;
    let what = match &edit.action {
        Action::Add(cells) => {
            let pairs = cells.iter().map(|(c, v)| format!(" {c}={v}"));
            format!("add{}", pairs.collect::<String>())
        }
        Action::Remove => "remove".to_owned(),
        Action::Set(cells) => {
            let pair = |(c, v): (&Column, &Option<String>)| {
                format!(" {c}={}", v.as_deref().unwrap_or_default())
            };
            format!("set{}", cells.iter().map(pair).collect::<String>())
        }
    };
    format!(
        "{} {} {}/{} {what}\n",
        change.revision, edit.author, edit.name.sheet, edit.name.row
    )
}
