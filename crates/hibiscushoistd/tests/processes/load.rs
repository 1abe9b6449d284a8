//! Callers that ask for addresses, keep them and count what goes wrong.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::IDLE;
use super::LIFETIME;
use super::WORKSPACE_KEY;
use fakes::engine;

const CALLERS: usize = 16;
const LONG_EVERY: usize = 4;
const LONG_TOKENS: u64 = 1_000;
const SHORT_TOKENS: u64 = 30;
const SILENCE: Duration = Duration::from_secs(2);

/// Tells what became of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Means that the answer broke off, or never came.
    Cut,
    /// Means that the answer was refused.
    Refused(String),
    /// Means that a told address took no connection within its lifetime.
    Unreachable,
    /// Means that the answer came whole and right.
    Whole,
    /// Means that the answer was another than expected.
    Wrong(String),
}

/// Records one request.
#[derive(Clone, Debug)]
pub struct Record {
    pub address: SocketAddr,
    pub caller: usize,
    pub ended: Instant,
    pub outcome: Outcome,
    pub started: Instant,
}

/// Sends requests until it is stopped.
pub struct Load {
    callers: Vec<JoinHandle<()>>,
    records: Arc<Mutex<Vec<Record>>>,
    stop: Arc<AtomicBool>,
}

impl Load {
    /// Starts callers that know `entries` at first.
    pub fn start(entries: Vec<SocketAddr>) -> Self {
        let records = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|number| {
            let caller = Caller {
                client: Client::builder(TokioExecutor::new())
                    .pool_idle_timeout(IDLE)
                    .build_http(),
                entries: entries.clone(),
                number,
                records: records.clone(),
                stop: stop.clone(),
            };
            tokio::spawn(caller.run())
        });
        Self {
            callers: callers.collect(),
            records,
            stop,
        }
    }

    /// Returns how many answers came whole so far.
    pub fn whole(&self) -> usize {
        let records = self.records.lock().unwrap();
        records
            .iter()
            .filter(|r| r.outcome == Outcome::Whole)
            .count()
    }

    /// Waits until `count` more answers came whole.
    pub async fn more(&self, count: usize) {
        let start = Instant::now();
        let target = self.whole() + count;
        while self.whole() < target {
            assert!(start.elapsed() < super::LIMIT, "no more answers come");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends all callers after their last request and returns all records.
    pub async fn stop(self) -> Vec<Record> {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.expect("no caller panics");
        }
        Arc::into_inner(self.records).unwrap().into_inner().unwrap()
    }
}

struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Vec<SocketAddr>,
    number: usize,
    records: Arc<Mutex<Vec<Record>>>,
    stop: Arc<AtomicBool>,
}

impl Caller {
    async fn run(self) {
        let mut sent = 0;
        let mut known = self.entries.clone();
        known.rotate_left(self.number % self.entries.len());
        while !self.stop.load(Ordering::SeqCst) {
            if let Some(listed) = self.listing(&known).await {
                known = listed;
            }
            let asked = Instant::now();
            while asked.elapsed() < LIFETIME && !self.stop.load(Ordering::SeqCst) {
                let prompt = format!("cove {} {sent}", self.number);
                sent += 1;
                self.request(&mut known, &prompt).await;
            }
        }
    }

    async fn listing(&self, known: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
        for address in known.iter().chain(&self.entries) {
            let request = Request::get(format!("http://{address}/v1/addresses"))
                .header("authorization", format!("Bearer {WORKSPACE_KEY}"))
                .body(Full::default())
                .unwrap();
            let answer = async {
                let response = self.client.request(request).await.ok()?;
                let body = response.into_body().collect().await.ok()?.to_bytes();
                let listing: Value = serde_json::from_slice(&body).ok()?;
                serde_json::from_value(listing["addresses"].clone()).ok()
            };
            let answer: Option<Vec<SocketAddr>> = timeout(Duration::from_millis(500), answer)
                .await
                .ok()
                .flatten();
            if let Some(listed) = answer.filter(|listed| !listed.is_empty()) {
                return Some(listed);
            }
        }
        None
    }

    /// Sends one request to the first address that can be connected to.
    async fn request(&self, known: &mut [SocketAddr], prompt: &str) {
        for _ in 0..known.len() {
            let address = known[0];
            let started = Instant::now();
            let outcome = self.ask(address, prompt).await;
            let moves = matches!(outcome, Outcome::Cut | Outcome::Unreachable);
            let unreachable = outcome == Outcome::Unreachable;
            self.records.lock().unwrap().push(Record {
                address,
                caller: self.number,
                ended: Instant::now(),
                outcome,
                started,
            });
            if moves {
                known.rotate_left(1);
            }
            if !unreachable {
                return;
            }
        }
    }

    fn tokens(&self) -> u64 {
        match self.number.is_multiple_of(LONG_EVERY) {
            false => SHORT_TOKENS,
            true => LONG_TOKENS,
        }
    }

    async fn ask(&self, address: SocketAddr, prompt: &str) -> Outcome {
        let tokens = self.tokens();
        let body = json!({"max_tokens": tokens, "model": "m", "prompt": prompt, "stream": true});
        let request = Request::post(format!("http://{address}/v1/completions"))
            .header("authorization", format!("Bearer {WORKSPACE_KEY}"))
            .body(Full::from(body.to_string()))
            .unwrap();
        let mut response = match timeout(SILENCE, self.client.request(request)).await {
            Ok(Err(error)) if error.is_connect() => return Outcome::Unreachable,
            Err(_) | Ok(Err(_)) => return Outcome::Cut,
            Ok(Ok(response)) => response,
        };
        let mut bytes = Vec::new();
        loop {
            match timeout(SILENCE, response.frame()).await {
                Err(_) | Ok(Some(Err(_))) => return Outcome::Cut,
                Ok(Some(Ok(frame))) => {
                    bytes.extend(frame.into_data().unwrap_or_default());
                }
                Ok(None) => break,
            }
        }
        let body = String::from_utf8_lossy(&bytes);
        match response.status().as_u16() {
            200 => judge(&body, prompt, tokens),
            _ => Outcome::Refused(body.into_owned()),
        }
    }
}

fn judge(body: &str, prompt: &str, tokens: u64) -> Outcome {
    let mut text = String::new();
    let mut ended = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let piece: Value = serde_json::from_str(data).unwrap_or_default();
        if !piece["error"].is_null() {
            return Outcome::Refused(data.to_owned());
        }
        text += piece["choices"][0]["text"].as_str().unwrap_or_default();
    }
    let versions = ["v1", "v2"];
    let answer = |version| engine::answer_text("m", version, prompt, 0, tokens);
    let right = versions
        .into_iter()
        .map(answer)
        .any(|answer| answer == text);
    match (ended, right) {
        (true, true) => Outcome::Whole,
        (true, false) => Outcome::Wrong(text),
        (false, _) => Outcome::Cut,
    }
}
