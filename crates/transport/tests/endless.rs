//! Upstreams that send bytes without end, in a head, in a body or after an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use bytes::Bytes;
use hyper::Request;
use serde_json::Map;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use protocol::engine;
use transport::connection_pool;
use transport::connection_pool::Body;
use transport::connection_pool::ConnectionPool;
use transport::engine::Client;
use transport::engine::Session;
use transport::platform;
use transport::service::Call;
use transport::service::PreparedCall;
use transport::upstream::Limits;

/// Limits of time that no test reaches, unless the reader has no limit on bytes.
const LIMIT: Duration = Duration::from_secs(10);
const BODY_LIMIT: usize = 1 << 20;
const LIMITS: Limits = Limits {
    body_limit: BODY_LIMIT,
    connect_timeout: LIMIT,
    head_timeout: LIMIT,
    idle_timeout: LIMIT,
};
const POOL_LIMITS: connection_pool::Limits = connection_pool::Limits {
    connect_timeout: LIMIT,
    max_idle: LIMIT,
};
/// Time within which a reader must have closed the connection.
const CLOSE_TIME: Duration = Duration::from_secs(5);
/// Least bytes that are sent at once; with [`PAUSE`] between them, 16 MB a second.
const BLOCK_BYTES: usize = 16 << 10;
const PAUSE: Duration = Duration::from_millis(1);
/// Send buffer of the upstreams, so that few bytes count as sent before they are read.
const SEND_BUFFER_BYTES: u32 = 16 << 10;
/// Most bytes that may be sent before the reader closes the connection: a body of the largest size
/// and what the kernel buffers for a reader that is late.
const MAX_SENT_BYTES: usize = BODY_LIMIT + (6 << 20);

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-incarnation: 7\r\nx-weights-version: v1\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

const CHUNK: &str = "20\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n";

/// Names what is endless, with the bytes before it and those that are repeated.
type Case = (&'static str, String, &'static str);

fn endless_heads() -> Vec<Case> {
    vec![
        ("status line", "HTTP/1.1 200 ".to_owned(), "O"),
        ("header line", format!("{HEAD}a: "), "b"),
        ("header lines", HEAD.to_owned(), "a: b\r\n"),
        ("empty lines", String::new(), "\r\n"),
        (
            "interim answers",
            String::new(),
            "HTTP/1.1 100 Continue\r\n\r\n",
        ),
    ]
}

fn endless_bodies() -> Vec<Case> {
    vec![
        ("body", format!("{HEAD}\r\n"), "x"),
        (
            "body with a length",
            format!("{HEAD}content-length: 99999999999\r\n\r\n"),
            "x",
        ),
        ("event", format!("{HEAD}\r\ndata: "), "x"),
        ("chunks", format!("{HEAD}{CHUNKED}"), CHUNK),
        ("chunk extension", format!("{HEAD}{CHUNKED}4;"), "x"),
        ("chunk size", format!("{HEAD}{CHUNKED}"), "0"),
        ("chunk padding", format!("{HEAD}{CHUNKED}4"), " "),
        (
            "trailers",
            format!("{HEAD}{CHUNKED}4\r\nnull\r\n0\r\n"),
            "a: b\r\n",
        ),
    ]
}

/// An upstream that answers each request with the same endless bytes.
#[derive(Clone, Default)]
struct Upstream {
    /// Bytes sent over each connection, and the time until it was closed.
    closed: Arc<Mutex<Vec<(usize, Duration)>>>,
}

impl Upstream {
    async fn start(&self, start: String, repeated: &'static str) -> SocketAddr {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_send_buffer_size(SEND_BUFFER_BYTES).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(16).unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (upstream, start) = (upstream.clone(), start.clone());
                tokio::spawn(async move { upstream.serve(stream, &start, repeated).await });
            }
        });
        address
    }

    async fn serve(&self, mut stream: TcpStream, start: &str, repeated: &str) {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Err(_) => return,
                Ok(byte) => request.push(byte),
            }
        }
        let began = Instant::now();
        let block = repeated.repeat(BLOCK_BYTES / repeated.len());
        let mut sent = start.len();
        let mut result = stream.write_all(start.as_bytes()).await;
        while result.is_ok() {
            tokio::time::sleep(PAUSE).await;
            result = stream.write_all(block.as_bytes()).await;
            sent += block.len();
        }
        self.closed.lock().unwrap().push((sent, began.elapsed()));
    }

    /// Waits until a connection has been closed, and returns what was wrong with it, if anything.
    async fn find_fault(&self) -> Option<String> {
        let began = Instant::now();
        let (sent, time) = loop {
            if began.elapsed() > CLOSE_TIME {
                return Some("not closed".to_owned());
            }
            if let Some(closed) = self.closed.lock().unwrap().pop() {
                break closed;
            }
            tokio::time::sleep(PAUSE).await;
        };
        let is_bounded = sent <= MAX_SENT_BYTES && time <= CLOSE_TIME;
        (!is_bounded).then(|| format!("{sent} bytes sent in {time:?}"))
    }
}

/// Runs `read` against an upstream for each case; it must fail and close the connection early.
async fn expect_bounded(cases: Vec<Case>, read: impl AsyncFn(SocketAddr) -> bool) {
    let mut faults = Vec::new();
    for (what, start, repeated) in cases {
        let upstream = Upstream::default();
        let address = upstream.start(start, repeated).await;
        match tokio::time::timeout(CLOSE_TIME, read(address)).await {
            Err(_) => faults.push(format!("{what}: not read in time")),
            Ok(true) => faults.push(format!("{what}: read as an answer")),
            Ok(false) => {}
        }
        let fault = upstream.find_fault().await;
        faults.extend(fault.map(|fault| format!("{what}: {fault}")));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

fn request() -> Request<Body> {
    let request = Request::get("/x").header("host", "u");
    request.body(Body::default()).unwrap()
}

fn all() -> Vec<Case> {
    endless_heads()
        .into_iter()
        .chain(endless_bodies())
        .collect()
}

#[tokio::test]
async fn an_exchange_over_a_pooled_connection_is_bounded() {
    expect_bounded(all(), async |address| {
        let pool = ConnectionPool::default();
        let answer = pool.exchange(address, request(), POOL_LIMITS, LIMIT).await;
        answer.is_ok()
    })
    .await;
}

#[tokio::test]
async fn a_read_of_the_list_of_hosts_is_bounded() {
    expect_bounded(all(), async |address| {
        platform::fetch_hosts(address, LIMITS).await.is_ok()
    })
    .await;
}

#[tokio::test]
async fn a_report_of_an_engine_is_bounded() {
    expect_bounded(all(), async |address| {
        Client::new(address, LIMITS).load().await.is_ok()
    })
    .await;
}

#[tokio::test]
async fn a_call_to_a_service_is_bounded() {
    expect_bounded(all(), async |address| {
        let call = Call {
            attempt: 1,
            body: Bytes::new(),
            content_type: String::new(),
            method: "POST".to_owned(),
            order_id: "o".to_owned(),
            path: "/x".to_owned(),
        };
        let prepared = PreparedCall::open(address, call, LIMITS).await.unwrap();
        prepared.send().await.is_ok()
    })
    .await;
}

#[tokio::test]
async fn a_stream_of_an_engine_is_bounded() {
    expect_bounded(all(), async |address| {
        let request = engine::Request {
            cache: engine::Cache::default(),
            id: "r".to_owned(),
            max_tokens: 1,
            model: "m".to_owned(),
            priority: 0,
            prompt: String::new(),
            resume: None,
            rest: Map::default(),
        };
        let stream = Client::new(address, LIMITS).complete(&request, None).await;
        match stream {
            Err(_) => false,
            Ok(mut stream) => stream.next().await.is_ok(),
        }
    })
    .await;
}

/// Bytes that no request waits for must not be kept for the next one.
#[tokio::test]
async fn a_connection_with_bytes_after_a_whole_answer_is_closed() {
    for repeated in ["x", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\n"] {
        let upstream = Upstream::default();
        let start = format!("{HEAD}content-length: 2\r\n\r\n{{}}");
        let address = upstream.start(start, repeated).await;
        let pool = ConnectionPool::default();
        let answer = pool.exchange(address, request(), POOL_LIMITS, LIMIT).await;
        let body = answer.map(hyper::Response::into_body);
        assert_matches!(body, Ok(body) if body == "{}");
        assert_eq!(upstream.find_fault().await, None, "{repeated:?}");
        assert_eq!(pool.idle_addresses(POOL_LIMITS), []);
        let mut session = Session::new(Client::new(address, LIMITS));
        let _ = session.load().await;
        assert_eq!(upstream.find_fault().await, None, "{repeated:?}");
    }
}
