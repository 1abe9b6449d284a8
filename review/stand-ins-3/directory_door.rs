//! Case: a caller sends a configuration of its own to the address where callers ask where to
//! connect.
//!
//! Rule: CONFIG. The configuration that is read back is what the operator sent under its number,
//! and not older than the newest one that was acknowledged to it.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::HOST;
use crate::deployment::OPERATOR_LIMIT;
use crate::http;
use crate::record::Record;

/// Version that the operator sends after the caller has come.
const VERSION: u64 = 2;
/// Version that the caller writes.
const FOREIGN_VERSION: u64 = 1_000;
/// `config_apply_ms` and `contact_ms` of the site.
const APPLY: Duration = Duration::from_millis(2_000 + 3_000);
/// Time within which the operator's call has to be acknowledged.
const ACK_LIMIT: Duration = Duration::from_secs(10);
/// Ordinary requests at the end.
const REQUESTS: usize = 20;

/// Runs the case.
pub fn caller_replaces_configuration(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = match Deployment::prepare(1) {
        Err(error) => return Verdict::Unfit(error.to_string()),
        Ok(deployment) => deployment,
    };
    let started = deployment.start(record).map_err(|error| error.to_string());
    if let Err(reason) = started.and_then(|()| deployment.configure(record)) {
        return Verdict::Unfit(reason);
    }
    record.line(&format!(
        "{} of {REQUESTS} requests served",
        serve(&deployment)
    ));
    let replace = |text: &str| http::request("POST", "/hibiscushoist/config/replace", HOST, text);
    if trouble {
        let text = deployment::configuration(FOREIGN_VERSION).replace("/read/", "/other/");
        let address = deployment.stewards[1].address(8780);
        let answer = http::ask(address, &replace(&text), ACK_LIMIT);
        let told = answer.map_or(0, |answer| answer.status);
        record.line(&format!("a caller posts to {address} and gets {told}"));
    }
    let text = deployment::configuration(VERSION);
    let began = Instant::now();
    let mut stewards = deployment.stewards.iter().cycle();
    loop {
        let Some(steward) = stewards.next() else {
            return Verdict::Unfit("no steward".to_owned());
        };
        let answer = http::ask(steward.address(8783), &replace(&text), OPERATOR_LIMIT);
        if answer.is_ok_and(|answer| answer.status == 200) {
            record.line(&format!(
                "{} acknowledges configuration {VERSION} of the operator",
                steward.ip
            ));
            break;
        }
        if began.elapsed() > ACK_LIMIT {
            return Verdict::Unfit("the operator gets no acknowledgement".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(APPLY);
    let get = http::request("GET", "/hibiscushoist/config/get", HOST, "");
    let (mut same, mut other) = (0, 0);
    for steward in &deployment.stewards {
        let answer = http::ask(steward.address(8783), &get, OPERATOR_LIMIT);
        let Ok(answer) = answer.map_err(|error| record.line(&error.to_string())) else {
            continue;
        };
        let is_same = answer.status == 200 && answer.body == text;
        same += usize::from(is_same);
        other += usize::from(answer.status == 200 && !is_same);
        record.line(&format!(
            "{} gives back {}",
            steward.ip,
            match is_same {
                false => "what the operator never sent",
                true => "what the operator sent",
            }
        ));
    }
    record.line(&format!(
        "{} of {REQUESTS} requests served",
        serve(&deployment)
    ));
    match (same, other) {
        (0, 0) => Verdict::Unfit("no steward answers a read".to_owned()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends ordinary requests and returns how many were served.
fn serve(deployment: &Deployment) -> usize {
    let gateway = &deployment.gateways[0];
    let served = |number: &usize| {
        let answer = gateway.call(*number, OPERATOR_LIMIT);
        answer.is_ok_and(|status| status == 200)
    };
    (0..REQUESTS).filter(served).count()
}
