//! Stand-ins of the platform's kind: upstreams that behave as they are told, and their list.

#![allow(dead_code)]

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
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

/// Gives the length of a pause in a stream; a host looks for another upstream several times in it.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Counts the events of a whole stream.
pub const EVENTS: u64 = 6;

type Body = StreamBody<stream::BoxStream<'static, Result<Frame<Bytes>, std::io::Error>>>;
type Answer = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Tells an upstream how to behave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behavior {
    /// Answers for another request.
    Crossed,
    /// Breaks off in the middle of the answer.
    Cut,
    /// Answers with a failure of its own.
    Failing,
    /// Never answers.
    Hanging,
    /// Pauses in the middle of the answer for longer than a stream that may move is waited for.
    Pausing,
    /// Refuses without running.
    Rejecting,
    /// Answers.
    #[default]
    Working,
}

/// Describes a request as an upstream received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub body: Bytes,
    pub headers: hyper::HeaderMap,
    pub path: String,
}

#[derive(Debug, Default)]
struct Shared {
    dropped: u32,
    behavior: Behavior,
    orders: Vec<Value>,
    received: Vec<Received>,
    version: u64,
}

/// Stands in for an upstream.
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
            version: 1,
            ..Shared::default()
        }));
        let state = shared.clone();
        let name = id.to_owned();
        let handle =
            move |request| -> Answer { Box::pin(serve(state.clone(), name.clone(), request)) };
        Self {
            address: listen(handle).await,
            id: id.to_owned(),
            service: service.to_owned(),
            shared,
        }
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        self.shared.lock().unwrap().behavior = behavior;
    }

    /// Returns the requests that arrived, other than those about the upstream itself.
    pub fn received(&self) -> Vec<Received> {
        self.shared.lock().unwrap().received.clone()
    }

    pub fn orders(&self) -> Vec<Value> {
        self.shared.lock().unwrap().orders.clone()
    }

    /// Counts the requests whose connection ended before they were answered.
    pub fn dropped(&self) -> u32 {
        self.shared.lock().unwrap().dropped
    }

    fn listed(&self) -> Value {
        let version = self.shared.lock().unwrap().version;
        let models = match self.service.as_str() {
            "engines" => json!([{"name": "m", "version": version, "adapters": []}]),
            _ => json!([]),
        };
        json!({
            "id": self.id, "service": self.service, "address": self.address.to_string(),
            "zone": "one", "version": "v1", "slots": 8, "state": "ready", "models": models,
        })
    }
}

/// Starts a list of `upstreams` and returns its address.
pub async fn list(upstreams: Vec<Upstream>) -> SocketAddr {
    listen(move |_| -> Answer {
        let instances: Vec<Value> = upstreams.iter().map(Upstream::listed).collect();
        let page = json!({"instances": instances, "next": null});
        Box::pin(async move { whole(200, page.to_string()) })
    })
    .await
}

async fn listen(
    handle: impl Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handle = handle.clone();
            let service = service_fn(move |request| {
                let answer = handle(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// Notes a request that is dropped before its answer.
struct Watch {
    answered: bool,
    shared: Arc<Mutex<Shared>>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.answered {
            self.shared.lock().unwrap().dropped += 1;
        }
    }
}

async fn serve(
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
            return whole(200, report.to_string());
        }
        "/hibiscushoist/order" => {
            let order: Value = serde_json::from_slice(&body).unwrap();
            let mut shared = shared.lock().unwrap();
            shared.version = order["version"].as_u64().unwrap();
            shared.orders.push(order);
            return whole(202, String::new());
        }
        _ => {}
    }
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let expected = text("x-expect-version").is_none_or(|v| v == version.to_string());
    if text("x-expect-instance") != Some(id.as_str()) || !expected {
        return whole(421, String::new());
    }
    let request_id = text("x-request-id").unwrap_or_default().to_owned();
    let behavior = {
        let mut shared = shared.lock().unwrap();
        shared.received.push(Received {
            body,
            headers: head.headers.clone(),
            path,
        });
        shared.behavior
    };
    let streams = head.uri.path().starts_with("/stream/");
    let after = text("last-event-id").and_then(|id| id.parse().ok());
    let after: u64 = after.unwrap_or_default();
    let mut watch = Watch {
        answered: false,
        shared,
    };
    let mut response = match behavior {
        Behavior::Crossed => whole(200, "answer".to_owned()),
        Behavior::Cut if streams => parts(200, vec![Ok(events(after, after + 2)), Err(())]),
        Behavior::Cut => parts(200, vec![Ok("ans".to_owned()), Err(())]),
        Behavior::Failing => whole(500, "failure".to_owned()),
        Behavior::Hanging => {
            tokio::time::sleep(Duration::from_secs(60)).await;
            whole(200, "late".to_owned())
        }
        Behavior::Pausing => pausing(after),
        Behavior::Rejecting => whole(503, String::new()),
        Behavior::Working if streams => whole(200, events(after, EVENTS)),
        Behavior::Working => whole(200, format!("answer of {id}")),
    };
    watch.answered = true;
    let headers = response.headers_mut();
    let echoed = match behavior {
        Behavior::Crossed => "another".to_owned(),
        _ => request_id,
    };
    headers.insert("x-request-id", echoed.parse().unwrap());
    match behavior {
        Behavior::Rejecting => headers.insert("x-not-executed", "1".parse().unwrap()),
        _ => headers.insert("x-server-stamp", "stamp".parse().unwrap()),
    };
    response
}

/// Returns the events after one up to another; what follows the last is cut short on the way.
pub fn events(after: u64, last: u64) -> String {
    let events = (after + 1..=last).map(|id| format!("id: {id}\ndata: token {id}\n\n"));
    events.collect()
}

fn whole(status: u16, text: String) -> Response<Body> {
    parts(status, vec![Ok(text)])
}

/// Returns a stream that pauses once.
fn pausing(after: u64) -> Response<Body> {
    let half = after + (EVENTS - after) / 2;
    let texts = [events(after, half), events(half, EVENTS)];
    let frames = stream::iter(texts.into_iter().enumerate()).then(async |(place, text)| {
        tokio::time::sleep(PAUSE * place as u32).await;
        Ok(Frame::data(Bytes::from(text)))
    });
    Response::new(StreamBody::new(frames.boxed()))
}

fn parts(status: u16, parts: Vec<Result<String, ()>>) -> Response<Body> {
    let frame = async |part: Result<String, ()>| match part {
        Err(()) => {
            // What was sent before has to leave before the connection breaks.
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
