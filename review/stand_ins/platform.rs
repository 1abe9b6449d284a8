//! The platform's side: the list of workers, the operator and readiness checks.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::record::Record;
use crate::web;
use crate::web::Message;

/// Time that an operator waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// Serves the list of workers: `entries` holds its entries as JSON.
pub fn serve_list(address: SocketAddr, entries: Vec<String>) -> io::Result<()> {
    let page = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
    web::serve(address, move |stream, _| {
        let headers = [("content-type", "application/json")];
        let answer = web::encode_answer("200 OK", &headers, page.as_bytes());
        stream.write_all(&answer).is_ok()
    })
}

/// Returns the entry of a worker in the list.
pub fn entry(id: &str, service: &str, address: SocketAddr, slots: u32, models: &str) -> String {
    include_str!("tables/entry.json")
        .replace("@ID@", id)
        .replace("@SERVICE@", service)
        .replace("@ADDRESS@", &address.to_string())
        .replace("@SLOTS@", &slots.to_string())
        .replace("@MODELS@", &format!("[{models}]"))
}

/// The operator, who sends an order to one steward after the other until it is acknowledged.
pub struct Operator {
    pub record: Record,
    next: usize,
}

impl Operator {
    pub fn new(record: Record) -> Self {
        Self { record, next: 0 }
    }

    /// Sends a configuration until it is acknowledged or `limit` has passed.
    pub fn replace(&mut self, fleet: &Fleet, version: u64, body: &str, limit: Duration) -> bool {
        self.post(fleet, "/hibiscushoist/config/replace", body, limit, || {
            format!("configuration {version}")
        })
    }

    /// Reads the configuration back from one steward after the other, for at most `limit`;
    /// returns the first one that came.
    pub fn read(&mut self, fleet: &Fleet, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let steward = self.turn(fleet);
            let path = "/hibiscushoist/config/get";
            let answer = web::call(steward.1, "GET", path, &[], &[], PATIENCE);
            let told = told(&answer);
            self.record
                .line(format!("read back from {}: {told}", steward.0));
            if let Ok(message) = answer
                && message.status() == 200
            {
                return Some(message.text());
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    fn post(
        &mut self,
        fleet: &Fleet,
        path: &str,
        body: &str,
        limit: Duration,
        what: impl Fn() -> String,
    ) -> bool {
        let until = Instant::now() + limit;
        let headers = [("content-type", "application/json")];
        while Instant::now() < until {
            let steward = self.turn(fleet);
            let answer = web::call(steward.1, "POST", path, &headers, body.as_bytes(), PATIENCE);
            let told = told(&answer);
            self.record
                .line(format!("{} sent to {}: {told}", what(), steward.0));
            if answer.is_ok_and(|message| message.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    fn turn(&mut self, fleet: &Fleet) -> (String, SocketAddr) {
        let stewards = fleet.stewards();
        let steward = &stewards[self.next % stewards.len()];
        self.next += 1;
        (steward.name.clone(), steward.control())
    }
}

/// Waits until all gateways say that they are ready.
pub fn wait_until_ready(fleet: &Fleet, record: &Record, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let path = "/hibiscushoist/readiness";
    while Instant::now() < until {
        let ready = fleet.gateways().iter().all(|gateway| {
            let answer = web::call(gateway.ready(), "GET", path, &[], &[], PATIENCE);
            answer.is_ok_and(|message| message.status() == 200)
        });
        if ready {
            record.line("all gateways are ready");
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line("the gateways do not get ready");
    false
}

/// Says how a call ended.
pub fn told(answer: &io::Result<Message>) -> String {
    match answer {
        Err(error) => format!("no answer ({error})"),
        Ok(message) => message.status().to_string(),
    }
}
