//! Callers of the soak: orders under keys, edits of the table, and looks at the table of each host.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use crate::processes::OPERATOR_KEY;
use crate::processes::WORKSPACE_KEY;
use fakes::service::Receipt;
use protocol::refusal;
use protocol::refusal::NotRun;

/// Names the service of the orders.
pub const SERVICE: &str = "booking";
/// Bounds one call.
const CALL: Duration = Duration::from_secs(4);
/// Gives the time between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(15);
/// Bounds the times that an order is sent under one key.
const TRIES: usize = 4;

/// Collects what callers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Lists rows whose edits were accepted.
    pub accepted: BTreeSet<String>,
    /// Lists what must not have happened.
    pub broken: Vec<String>,
    /// Lists orders that every answer said not to have run.
    pub not_run: BTreeSet<String>,
    /// Counts orders that ran.
    pub ordered: usize,
}

/// Sends calls to hosts until it is stopped.
#[derive(Clone)]
pub struct Caller {
    /// Lists the hosts.
    pub entries: Vec<SocketAddr>,
    /// Collects what is seen.
    pub seen: Arc<Mutex<Seen>>,
    /// Ends all callers.
    pub stop: Arc<AtomicBool>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Returns a caller of `entries`.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries,
            seen: Arc::default(),
            stop: Arc::default(),
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends orders, each under a key of its own and again where its outcome is unknown.
    pub async fn order(self, number: usize) {
        for count in 0.. {
            if self.stop.load(Ordering::SeqCst) {
                return;
            }
            self.order_once(&format!("order-{number}-{count}"), number + count)
                .await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn order_once(&self, key: &str, first: usize) {
        let path = format!("/v1/services/{SERVICE}/spots");
        let mut may_have_run = false;
        for attempt in 0..TRIES {
            let entry = self.entries[(first + attempt) % self.entries.len()];
            let headers = [("idempotency-key", key), ("x-deadline-ms", "1500")];
            let answer = self.call(entry, Method::POST, &path, &headers, key.to_owned());
            match answer.await {
                None => may_have_run = true,
                Some((200, body)) => {
                    self.judge(key, &body);
                    return;
                }
                Some((_, body)) => match serde_json::from_slice::<refusal::RefusalBody>(&body) {
                    Ok(body) if body.error.not_run == NotRun::True => {}
                    Ok(_) | Err(_) => may_have_run = true,
                },
            }
        }
        if !may_have_run {
            self.seen.lock().unwrap().not_run.insert(key.to_owned());
        }
    }

    /// Checks that an answer belongs to the order and says that it ran once.
    fn judge(&self, key: &str, body: &Bytes) {
        let mut seen = self.seen.lock().unwrap();
        match serde_json::from_slice::<Receipt>(body) {
            Ok(receipt) if receipt.text == key && receipt.runs == 1 => seen.ordered += 1,
            other => seen.broken.push(format!("{key} was answered {other:?}")),
        }
    }

    /// Adds rows to the table one after another, each until it is accepted.
    pub async fn edit(self) {
        for count in 0.. {
            let row = format!("k{count}");
            let edit = json!({
                "action": {"add": {"rank": "urgent"}},
                "author": "soak",
                "if_revision": 0,
                "key": format!("add-{row}"),
                "name": {"row": row, "sheet": "kinds"},
            });
            for host in count.. {
                if self.stop.load(Ordering::SeqCst) {
                    return;
                }
                let entry = self.entries[host % self.entries.len()];
                let call = self.call(entry, Method::POST, "/admin/edits", &[], edit.to_string());
                if let Some((200, _)) = call.await {
                    break;
                }
                tokio::time::sleep(PAUSE).await;
            }
            self.seen.lock().unwrap().accepted.insert(row);
        }
    }

    /// Looks at the table of each host and notes where one shows an older one than before.
    ///
    /// `started` counts the starts of hosts that keep no table over a restart.
    pub async fn look(self, started: impl Fn(usize) -> u64) {
        let mut newest: BTreeMap<(usize, u64), u64> = BTreeMap::new();
        while !self.stop.load(Ordering::SeqCst) {
            for place in 0..self.entries.len() {
                let before = started(place);
                let revision = self.revision(place).await;
                if let Some(revision) = revision.filter(|_| started(place) == before) {
                    let known = newest.entry((place, before)).or_default();
                    if revision < *known {
                        let text = format!("h{place} went from table {known} to {revision}");
                        self.seen.lock().unwrap().broken.push(text);
                    }
                    *known = revision;
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Returns the rows of the table that a host shows.
    pub async fn rows(&self, place: usize) -> BTreeSet<String> {
        let table = self.table(place).await.unwrap_or_default();
        let rows = table["rows"].as_array().cloned().unwrap_or_default();
        let names = rows.iter().filter_map(|row| row["row"].as_str());
        names.map(str::to_owned).collect()
    }

    async fn revision(&self, place: usize) -> Option<u64> {
        self.table(place).await?["revision"].as_u64()
    }

    async fn table(&self, place: usize) -> Option<Value> {
        let entry = self.entries[place];
        let call = self.call(entry, Method::GET, "/admin/table", &[], String::new());
        match call.await {
            Some((200, body)) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }

    /// Returns the status and the body of an answer that came whole.
    async fn call(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<(u16, Bytes)> {
        let key = match path.starts_with("/admin") {
            false => WORKSPACE_KEY,
            true => OPERATOR_KEY,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {key}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body)).expect("the request is good");
        let call = async {
            let response = self.http.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, body))
        };
        tokio::time::timeout(CALL, call).await.ok()?
    }
}
