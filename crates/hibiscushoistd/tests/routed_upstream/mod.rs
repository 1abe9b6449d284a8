//! Fakes of the platform: upstreams whose answers the test controls, and the list of upstreams.

#![allow(dead_code)]

pub mod raw;
pub mod records;
pub mod refuser;
pub mod setup;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Most fields of a request that an upstream reads.
const MAX_FIELDS: usize = 8 << 10;
/// Length of the stall in a stream; long enough for a host to check several times whether another
/// upstream can take over.
const STALL_TIME: Duration = Duration::from_millis(2_500);
/// Time from a crash until the upstream listens again.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Prefixes of the paths that are answered with events.
const STREAM_PREFIXES: [&str; 3] = ["/endless/", "/once/", "/stream/"];
/// Number of events of a complete stream.
pub const EVENTS: u64 = 6;

type Body = StreamBody<stream::BoxStream<'static, Result<Frame<Bytes>, std::io::Error>>>;
type Answer = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// How an upstream answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Answers with the ID of another request.
    Crossed,
    /// Breaks off in the middle of an answer.
    Cut,
    /// Answers with status 500.
    Failing,
    /// Sends nothing for a minute, much longer than a caller waits.
    Hanging,
    /// Stalls in the middle of a stream for longer than a host waits before it has the stream
    /// resumed at another upstream.
    Stalling,
    /// Answers with status 503, without a statement that it ran nothing.
    Overloaded,
    /// Refuses requests without running them.
    Rejecting,
    /// Answers as it should.
    #[default]
    Working,
}

/// A request as an upstream received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub body: Bytes,
    pub headers: hyper::HeaderMap,
    pub path: String,
}

#[derive(Debug, Default)]
struct Shared {
    cancelled: u32,
    crash: Arc<Notify>,
    crashes: u32,
    deadly_part: Option<String>,
    deadly_path: Option<String>,
    has_unframed_crashes: bool,
    leaving: bool,
    load: Option<String>,
    mode: Mode,
    orders: Vec<Value>,
    pause: Option<String>,
    received: Vec<Received>,
    started: u64,
    version: u64,
}

impl Shared {
    /// Closes the listener and all connections for a while.
    fn crash(&mut self) {
        self.crashes += 1;
        self.crash.notify_one();
    }

    /// Returns whether a request has the deadly path or the deadly part.
    fn is_deadly(&self, path: &str, parts: &str) -> bool {
        if self.deadly_path.as_deref() == Some(path) {
            return true;
        }
        let Some(deadly) = &self.deadly_part else {
            return false;
        };
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        ids.any(|id| id == deadly)
    }
}

/// A fake upstream; clones share one state.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub address: SocketAddr,
    pub id: String,
    service: String,
    shared: Arc<Mutex<Shared>>,
}

impl Upstream {
    /// Starts an upstream of a service; one of the service `engines` has the model `m`.
    pub async fn start(id: &str, service: &str) -> Self {
        let shared = Arc::new(Mutex::new(Shared {
            started: 1,
            version: 1,
            ..Shared::default()
        }));
        let state = shared.clone();
        let name = id.to_owned();
        let handle =
            move |request| -> Answer { Box::pin(answer(state.clone(), name.clone(), request)) };
        let crash = shared.lock().unwrap().crash.clone();
        Self {
            address: listen(handle, crash).await,
            id: id.to_owned(),
            service: service.to_owned(),
            shared,
        }
    }

    /// Changes how the upstream answers from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().unwrap().mode = mode;
    }

    /// Makes the upstream crash whenever it begins to answer a request with this part, and come
    /// back a little later.
    pub fn set_deadly_part(&self, part: &str) {
        self.shared.lock().unwrap().deadly_part = Some(part.to_owned());
    }

    /// Makes the upstream crash whenever it begins to answer a request with this path, and come
    /// back a little later.
    pub fn set_deadly_path(&self, path: &str) {
        self.shared.lock().unwrap().deadly_path = Some(path.to_owned());
    }

    /// Makes the answer with which the upstream crashes have neither a length nor chunks, so that
    /// it looks complete when the connection ends.
    pub fn set_unframed_crashes(&self) {
        self.shared.lock().unwrap().has_unframed_crashes = true;
    }

    /// Returns how often the upstream has crashed.
    pub fn crashes(&self) -> u32 {
        self.shared.lock().unwrap().crashes
    }

    /// Makes the upstream say in all its answers that it leaves.
    pub fn leave(&self) {
        self.shared.lock().unwrap().leaving = true;
    }

    /// Makes the upstream tell this load with all its answers.
    pub fn set_load(&self, load: &str) {
        self.shared.lock().unwrap().load = Some(load.to_owned());
    }

    /// Sets the `Retry-After` of answers with status 503.
    pub fn set_pause(&self, pause: &str) {
        self.shared.lock().unwrap().pause = Some(pause.to_owned());
    }

    /// Forgets the received requests.
    pub fn clear(&self) {
        self.shared.lock().unwrap().received.clear();
    }

    /// Starts the upstream again under the ID that it has.
    pub fn restart(&self) {
        let mut shared = self.shared.lock().unwrap();
        shared.started += 1;
        shared.leaving = false;
        shared.pause = None;
    }

    /// Returns the number of received requests for `path`.
    pub fn arrivals(&self, path: &str) -> usize {
        let received = self.received();
        received.iter().filter(|r| r.path == path).count()
    }

    /// Returns the received requests, without orders and requests for a report.
    pub fn received(&self) -> Vec<Received> {
        self.shared.lock().unwrap().received.clone()
    }

    /// Returns the received orders to load weights.
    pub fn orders(&self) -> Vec<Value> {
        self.shared.lock().unwrap().orders.clone()
    }

    /// Returns the number of requests that were cancelled before they were answered.
    pub fn cancelled(&self) -> u32 {
        self.shared.lock().unwrap().cancelled
    }

    /// Returns the entry of the upstream in the list.
    pub fn list_entry(&self) -> Value {
        let (started, version) = {
            let shared = self.shared.lock().unwrap();
            (shared.started, shared.version)
        };
        let mut entry = entry(&self.id, &self.service, self.address, version);
        entry["born"] = json!(started);
        entry
    }
}

/// Returns the entry of an upstream in the list.
fn entry(id: &str, service: &str, address: SocketAddr, version: u64) -> Value {
    let models = match service {
        "engines" => json!([{"name": "m", "version": version, "adapters": []}]),
        _ => json!([]),
    };
    json!({
        "id": id, "service": service, "address": address.to_string(),
        "zone": "one", "version": "v1", "slots": 8, "state": "ready", "models": models,
    })
}

/// Starts a server with the list of `upstreams`, and returns its address.
pub async fn start_list(upstreams: Vec<Upstream>) -> SocketAddr {
    start_entry_list(move || upstreams.iter().map(Upstream::list_entry).collect()).await
}

/// Starts a server with the list of the upstreams with these entries, and returns its address.
async fn start_entry_list(
    entries: impl Fn() -> Vec<Value> + Clone + Send + Sync + 'static,
) -> SocketAddr {
    let handle = move |_| -> Answer {
        let instances = entries();
        let page = json!({"instances": instances, "next": null});
        Box::pin(async move { response(200, page.to_string()) })
    };
    listen(handle, Arc::default()).await
}

/// Starts a server that answers with the page of a list, and returns its address.
pub async fn start_page(page: impl Fn() -> String + Clone + Send + Sync + 'static) -> SocketAddr {
    let handle = move |_| -> Answer {
        let page = page();
        Box::pin(async move { response(200, page) })
    };
    listen(handle, Arc::default()).await
}

/// Starts an HTTP server on a free port, and returns its address. At each notification of `crash`,
/// its connections and its listener close, and it listens again a little later.
async fn listen(
    handle: impl Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    crash: Arc<Notify>,
) -> SocketAddr {
    let mut listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = serve(listener, handle.clone()) => return,
                () = crash.notified() => tokio::time::sleep(DOWN_TIME).await,
            }
            listener = TcpListener::bind(address).await.unwrap();
        }
    });
    address
}

/// Serves the connections to `listener`, which all close when this is dropped.
async fn serve(
    listener: TcpListener,
    handle: impl Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let handle = handle.clone();
        let service = service_fn(move |request| {
            let answer = handle(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let mut builder = http1::Builder::new();
        builder.max_headers(MAX_FIELDS);
        connections.spawn(builder.serve_connection(TokioIo::new(stream), service));
    }
}

/// Counts a request as cancelled if it is dropped before the answer is ready.
struct CancellationCounter {
    answered: bool,
    shared: Arc<Mutex<Shared>>,
}

impl Drop for CancellationCounter {
    fn drop(&mut self) {
        if !self.answered {
            self.shared.lock().unwrap().cancelled += 1;
        }
    }
}

/// Answers reports and orders, and all other requests according to the mode.
async fn answer(
    shared: Arc<Mutex<Shared>>,
    id: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(|b| b.to_bytes())
        .unwrap_or_default();
    let path = head.uri.path().to_owned();
    let version = shared.lock().unwrap().version;
    match path.as_str() {
        "/hibiscushoist/report" => {
            let sequence = shared.lock().unwrap().orders.len();
            let report = json!({
                "models": [{"name": "m", "version": version}], "busy": false,
                "sequence": sequence, "running": 0,
            });
            return response(200, report.to_string());
        }
        "/hibiscushoist/order" => {
            let order: Value = serde_json::from_slice(&body).unwrap();
            let mut shared = shared.lock().unwrap();
            shared.version = order["version"].as_u64().unwrap();
            shared.orders.push(order);
            return response(202, String::new());
        }
        _ => {}
    }
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let expected = text("x-expect-version").is_none_or(|v| v == version.to_string());
    if text("x-expect-instance") != Some(id.as_str()) || !expected {
        return response(421, String::new());
    }
    let request_id = text("x-request-id").unwrap_or_default().to_owned();
    let parts = text("x-prompt-prefix").unwrap_or_default();
    let (is_deadly, leaving, load, mode, pause) = {
        let mut shared = shared.lock().unwrap();
        shared.received.push(Received {
            body,
            headers: head.headers.clone(),
            path,
        });
        let is_deadly = shared.is_deadly(head.uri.path(), parts);
        let (load, pause) = (shared.load.clone(), shared.pause.clone());
        (is_deadly, shared.leaving, load, shared.mode, pause)
    };
    let is_stream = STREAM_PREFIXES
        .iter()
        .any(|prefix| head.uri.path().starts_with(prefix));
    let after = text("last-event-id").and_then(|id| id.parse().ok());
    let after: u64 = after.unwrap_or_default();
    let mut cancellation_counter = CancellationCounter {
        answered: false,
        shared,
    };
    let mut response = match mode {
        _ if is_deadly => crashing_stream(cancellation_counter.shared.clone()),
        Mode::Crossed => response(200, "answer".to_owned()),
        Mode::Cut if is_stream => response_of(200, vec![Ok(events(after, after + 2)), Err(())]),
        Mode::Cut => response_of(200, vec![Ok("ans".to_owned()), Err(())]),
        Mode::Failing => response(500, "failure".to_owned()),
        Mode::Hanging => {
            tokio::time::sleep(Duration::from_secs(60)).await;
            response(200, "late".to_owned())
        }
        Mode::Stalling => stalling_stream(after),
        Mode::Overloaded | Mode::Rejecting => response(503, String::new()),
        Mode::Working if is_stream => response(200, events(after, EVENTS)),
        Mode::Working => response(200, format!("answer of {id}")),
    };
    cancellation_counter.answered = true;
    let pause = pause.filter(|_| response.status() == 503);
    let headers = response.headers_mut();
    if leaving {
        headers.insert("server-leaving", "1".parse().unwrap());
    }
    if let Some(load) = load {
        headers.insert("x-server-load", load.parse().unwrap());
    }
    if let Some(pause) = pause {
        headers.insert("retry-after", pause.parse().unwrap());
    }
    let echoed = match mode {
        Mode::Crossed => "another".to_owned(),
        _ => request_id,
    };
    headers.insert("x-request-id", echoed.parse().unwrap());
    match mode {
        Mode::Rejecting => headers.insert("x-not-executed", "1".parse().unwrap()),
        _ => headers.insert("x-server-stamp", "stamp".parse().unwrap()),
    };
    response
}

/// Returns the events with the IDs from `after + 1` to `last`; for [`Mode::Cut`], the connection
/// breaks before the next one.
pub fn events(after: u64, last: u64) -> String {
    let events = (after + 1..=last).map(|id| format!("id: {id}\ndata: token {id}\n\n"));
    events.collect()
}

fn response(status: u16, text: String) -> Response<Body> {
    response_of(status, vec![Ok(text)])
}

/// Returns a stream with which the upstream crashes before the first event.
fn crashing_stream(shared: Arc<Mutex<Shared>>) -> Response<Body> {
    let is_unframed = shared.lock().unwrap().has_unframed_crashes;
    let crash = async move {
        // Let the head be sent before the connection breaks.
        tokio::time::sleep(Duration::from_millis(20)).await;
        shared.lock().unwrap().crash();
        std::future::pending().await
    };
    let mut response = Response::new(StreamBody::new(stream::once(crash).boxed()));
    if is_unframed {
        *response.version_mut() = Version::HTTP_10;
    }
    response
}

/// Returns a complete stream that stalls once, in the middle.
fn stalling_stream(after: u64) -> Response<Body> {
    let half = after + (EVENTS - after) / 2;
    let texts = [events(after, half), events(half, EVENTS)];
    let frames = stream::iter(texts.into_iter().enumerate()).then(async |(index, text)| {
        tokio::time::sleep(STALL_TIME * index as u32).await;
        Ok(Frame::data(Bytes::from(text)))
    });
    Response::new(StreamBody::new(frames.boxed()))
}

/// Returns a response whose body breaks off at the first error.
fn response_of(status: u16, parts: Vec<Result<String, ()>>) -> Response<Body> {
    let frame = async |part: Result<String, ()>| match part {
        Err(()) => {
            // Let the parts before the error be sent before the connection breaks.
            tokio::time::sleep(Duration::from_millis(50)).await;
            Err(std::io::Error::other("cut"))
        }
        Ok(text) => Ok(Frame::data(Bytes::from(text))),
    };
    let frames = stream::iter(parts).then(frame).boxed();
    let mut response = Response::new(StreamBody::new(frames));
    *response.status_mut() = status.try_into().unwrap();
    response
}
