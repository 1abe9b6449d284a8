//! Edits that are sent again under the same key until their answer comes.

use std::time::Duration;

use error_stack::Report;
use rand::RngExt;
use tokio::time::sleep;

use crate::client::Client;
use crate::error::Error;
use protocol::operator::FailureKind;
use state::edit::Edit;
use state::edit::Receipt;

const ATTEMPTS: u32 = 6;
const FIRST_PAUSE_MS: u64 = 100;
const PATH: &str = "/admin/edits";

/// Sends `edit`, again and to the next server while its answer is lost.
///
/// # Errors
///
/// Returns the daemon's answer when the edit failed, or [`Error::Lost`] when it may have been
/// accepted and no answer came.
pub async fn send(client: &Client, edit: &Edit) -> Result<Receipt, Report<Error>> {
    let mut ambiguous = false;
    let mut last = None;
    for attempt in 0..ATTEMPTS {
        pause(attempt).await;
        let servers = client.servers();
        let server = servers[attempt as usize % servers.len()];
        match client.post(server, PATH, edit).await {
            Ok(receipt) => return Ok(receipt),
            Err(report) => match doubt(report.current_context()) {
                Doubt::None => return Err(report),
                Doubt::NotAccepted => last = Some(report),
                Doubt::Unknown => {
                    ambiguous = true;
                    last = Some(report);
                }
            },
        }
    }
    let last = last.expect("an attempt was made");
    if ambiguous {
        let key = edit.key.clone();
        return Err(last.change_context(Error::Lost { key }));
    }
    Err(last)
}

/// Returns a fresh edit key of 32 hexadecimal digits.
pub fn key() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

enum Doubt {
    None,
    NotAccepted,
    Unknown,
}

fn doubt(error: &Error) -> Doubt {
    match error {
        Error::Failed(failure) => match failure.kind {
            FailureKind::OutcomeUnknown => Doubt::Unknown,
            FailureKind::QuorumAway => Doubt::NotAccepted,
            _ => Doubt::None,
        },
        Error::Answer { .. } | Error::Unreachable { .. } => Doubt::Unknown,
        Error::Status { status, .. } if *status >= 500 => Doubt::Unknown,
        _ => Doubt::None,
    }
}

async fn pause(attempt: u32) {
    if attempt == 0 {
        return;
    }
    let longest = FIRST_PAUSE_MS << attempt;
    let millis = rand::rng().random_range(longest / 2..=longest);
    sleep(Duration::from_millis(millis)).await;
}
