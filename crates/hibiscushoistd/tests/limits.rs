//! Checks each limit that an entry puts on its callers, with the bytes of a hostile one.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use fakes::engine::Options;
use hibiscushoistd::settings::Settings;
use support::Bench;
use support::MAPS_KEY;
use support::OPERATOR_KEY;
use support::Test;

const HANG: Duration = Duration::from_secs(60);
const HEALTH: &str = "GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";
const PATH: &str = "/v1/completions";

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}

/// Reads until the daemon closes the connection.
async fn rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let _ = timeout(HANG, reading).await.expect("the daemon closes");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends `text`, says that nothing follows and reads until the daemon closes the connection.
async fn exchange(address: SocketAddr, text: impl AsRef<[u8]>) -> String {
    let mut stream = connect(address).await;
    let _ = stream.write_all(text.as_ref()).await;
    rest(&mut stream).await
}

fn post(length: usize) -> String {
    format!(
        "POST {PATH} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {MAPS_KEY}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

fn reason(answer: &str) -> Value {
    let (_, body) = answer.split_once("\r\n\r\n").expect("the answer is whole");
    let body: Value = serde_json::from_str(body).expect("the body is JSON");
    body["error"]["reason"].clone()
}

async fn entry(lines: &str) -> Bench {
    let test = Test::new().entry(lines).engine(Options::default());
    test.start().await
}

#[tokio::test]
async fn header_over_the_limit_is_refused() {
    let bench = entry("header_limit_bytes = 8192").await;
    let text = format!("GET /healthz HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    let answer = exchange(bench.address(), text).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[tokio::test]
async fn header_a_little_over_the_limit_is_refused_and_one_below_it_is_read() {
    let bench = entry("header_limit_bytes = 65536").await;
    for (bytes, status) in [(65_000, 200), (65_600, 431), (90_000, 431), (130_000, 431)] {
        let line = format!("x: {}\r\n", "y".repeat(bytes / 10 - 5));
        let text = format!(
            "GET /healthz HTTP/1.1\r\nconnection: close\r\n{}\r\n",
            line.repeat(10)
        );
        let answer = exchange(bench.address(), text).await;
        let expected = format!("HTTP/1.1 {status}");
        assert!(answer.starts_with(&expected), "{bytes}: {answer}");
    }
}

/// The users' limit of a header counts its bytes, not its fields.
#[tokio::test]
async fn header_of_many_fields_is_read_up_to_the_limit_in_bytes_and_refused_beyond() {
    let bench = entry("header_limit_bytes = 65536").await;
    let line = "GET /healthz HTTP/1.1\r\nconnection: close\r\n";
    let empty = line.len() + "\r\n".len();
    for field in ["x: y\r\n", "a:\r\n"] {
        let most = (65_536 - empty) / field.len();
        for (count, status) in [(200, 200), (most, 200), (most + 1, 431), (2 * most, 431)] {
            let text = format!("{line}{}\r\n", field.repeat(count));
            let answer = exchange(bench.address(), text).await;
            let expected = format!("HTTP/1.1 {status}");
            assert!(answer.starts_with(&expected), "{count}: {answer}");
        }
    }
}

#[test]
fn header_limit_below_what_the_library_takes_is_a_fault() {
    let text = "[daemon]\nname = a\nfleet = t\nfailure_domain = n\nroles = entry\n\
                [entry]\nlisten = 127.0.0.1:0\nheader_limit_bytes = 8191\n";
    let error = Settings::parse("a.ini", text).expect_err("the limit is too low");
    assert!(error.to_string().contains("header_limit_bytes"), "{error}");
}

#[tokio::test]
async fn slow_header_is_given_up() {
    let bench = entry("header_timeout_ms = 50").await;
    let answer = exchange(bench.address(), "GET /healthz HTTP/1.1\r\nhost: ").await;
    assert!(!answer.contains("200 OK"), "{answer}");
}

#[tokio::test]
async fn idle_connection_is_closed() {
    let bench = entry("header_timeout_ms = 50").await;
    let answer = exchange(bench.address(), HEALTH).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Returns the time that an answer tells its caller to keep the idle connection, in seconds.
fn told_seconds(head: &HeaderMap) -> Option<u64> {
    let told = head.get("keep-alive")?.to_str().ok()?;
    told.strip_prefix("timeout=")?.parse().ok()
}

// Guards against a request that is cut because the daemon closes the idle connection it is sent on.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_keeps_to_the_told_time_meets_no_closed_connection() {
    let bench = entry("header_timeout_ms = 1500").await;
    let uri = format!("http://{}/healthz", bench.address());
    let caller = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.unwrap();
        let ask = |client: &Client<HttpConnector, Full<Bytes>>| {
            let request = Request::get(&uri).body(Full::default()).unwrap();
            runtime.block_on(client.request(request))
        };
        let mut builder = Client::builder(TokioExecutor::new());
        let told = told_seconds(ask(&builder.build_http()).unwrap().headers());
        let client = builder
            .pool_idle_timeout(told.map(Duration::from_secs))
            .build_http();
        let first = ask(&client).unwrap();
        runtime.block_on(first.into_body().collect()).unwrap();
        std::thread::sleep(Duration::from_millis(2_500));
        (told, ask(&client).map(|response| response.status()))
    });
    let (told, second) = tokio::task::spawn_blocking(|| caller.join().unwrap())
        .await
        .unwrap();
    assert_eq!(second.expect("the request is not cut"), 200, "{told:?}");
    assert_eq!(told, Some(1));
}

// Guards against a connection that the daemon closes before the time that it told has passed.
#[tokio::test]
async fn idle_connection_serves_after_the_told_time() {
    let bench = entry("header_timeout_ms = 1500").await;
    let mut stream = connect(bench.address()).await;
    for _ in 0..3 {
        stream.write_all(HEALTH.as_bytes()).await.unwrap();
        let mut answer = vec![0; 4_096];
        let length = stream.read(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..length]);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.contains("keep-alive: timeout=1\r\n"), "{answer}");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

// Guards against an answer that promises an idle time on a connection that closes after it.
#[tokio::test]
async fn answer_on_a_connection_that_closes_tells_no_time() {
    let bench = entry("").await;
    let closing = HEALTH.replace("host: a", "host: a\r\nconnection: close");
    let answer = exchange(bench.address(), closing).await;
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(!answer.contains("keep-alive"), "{answer}");
}

#[tokio::test]
async fn connection_that_never_speaks_is_closed() {
    let bench = entry("header_timeout_ms = 50").await;
    exchange(bench.address(), "").await;
}

#[tokio::test]
async fn slow_body_is_refused() {
    let bench = entry("body_timeout_ms = 50").await;
    let answer = exchange(bench.address(), post(100) + "{").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(reason(&answer), "bad_request");
}

#[tokio::test]
async fn long_body_of_unknown_length_is_refused() {
    let bench = entry("body_limit_bytes = 1024").await;
    let head = post(0).replace("content-length: 0", "transfer-encoding: chunked");
    let body = format!("800\r\n{}\r\n", "x".repeat(0x800));
    let answer = exchange(bench.address(), head + &body).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert_eq!(reason(&answer), "body_too_large");
}

#[tokio::test]
async fn two_lengths_are_refused() {
    let bench = entry("").await;
    let head = post(2).replace("host: a", "content-length: 7");
    let answer = exchange(bench.address(), head + "{}").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

#[tokio::test]
async fn connection_over_the_limit_waits_for_a_free_place() {
    let bench = entry("connections = 3").await;
    let mut first = connect(bench.address()).await;
    let mut held = vec![connect(bench.address()).await];
    first.write_all(HEALTH.as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    first.read_exact(&mut answer).await.unwrap();
    held.push(connect(bench.address()).await);
    let mut late = connect(bench.address()).await;
    late.write_all(HEALTH.as_bytes()).await.unwrap();
    let early = timeout(Duration::from_millis(200), late.read(&mut answer)).await;
    assert!(early.is_err(), "answered beyond the limit");
    drop(held);
    drop(first);
    let served = timeout(HANG, late.read_exact(&mut answer)).await;
    served.expect("the place came free").unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200");
}

// Guards against callers that hold all places with connections that they do not use.
#[tokio::test]
async fn new_connection_gets_the_place_of_an_idle_one_but_not_of_a_running_request() {
    let bench = entry("connections = 2\nheader_timeout_ms = 600000").await;
    let mut busy = connect(bench.address()).await;
    let half = post(4) + "{";
    busy.write_all(half.as_bytes()).await.unwrap();
    let mut idle = connect(bench.address()).await;
    let mut answer = [0; 12];
    idle.write_all(HEALTH.as_bytes()).await.unwrap();
    idle.read_exact(&mut answer).await.unwrap();
    for _ in 0..2 {
        let mut new = connect(bench.address()).await;
        new.write_all(HEALTH.as_bytes()).await.unwrap();
        let served = timeout(HANG, new.read_exact(&mut answer)).await;
        served.expect("the place came free").unwrap();
        assert_eq!(&answer, b"HTTP/1.1 200");
        rest(&mut idle).await;
        idle = new;
    }
    busy.write_all(b"}  ").await.unwrap();
    busy.read_exact(&mut answer)
        .await
        .expect("it has its place");
    assert_eq!(&answer, b"HTTP/1.1 400");
}

/// Opens a connection whose receive buffer is as small as the system allows.
async fn narrow(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(1024).unwrap();
    socket.connect(address).await.unwrap()
}

#[tokio::test]
async fn caller_that_does_not_read_is_given_up() {
    let lines = "write_timeout_ms = 200\nconnections = 3\nheader_timeout_ms = 600000";
    let options = Options {
        token_time: Duration::ZERO,
        ..Options::default()
    };
    let bench = Test::new().entry(lines).engine(options).start().await;
    let ask = json!({"max_tokens": 1_000_000, "model": "m", "prompt": "p", "stream": true});
    let ask = ask.to_string();
    let mut stalled = Vec::new();
    for _ in 0..2 {
        let mut stream = narrow(bench.address()).await;
        let text = post(ask.len()) + &ask;
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.readable().await.unwrap();
        stalled.push(stream);
    }
    let stopped = async {
        while bench.engines[0].counts().stopped_attempts < 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let stopped = timeout(HANG, stopped).await;
    stopped.expect("the answers are given up");
    let mut served = Vec::new();
    for _ in 0..2 {
        let mut stream = connect(bench.address()).await;
        stream.write_all(HEALTH.as_bytes()).await.unwrap();
        let answer = timeout(HANG, stream.read_exact(&mut [0; 12])).await;
        answer.expect("the places came free").unwrap();
        served.push(stream);
    }
    drop(stalled);
}

#[tokio::test]
async fn bodies_over_the_common_limit_are_refused_as_not_run() {
    let lines = "bodies_limit_bytes = 16384\nbody_limit_bytes = 16384";
    let bench = entry(lines).await;
    let mut held = connect(bench.address()).await;
    let half = "x".repeat(12_000);
    held.write_all((post(16_000) + &half).as_bytes())
        .await
        .unwrap();
    let ask = json!({"model": "m", "prompt": "x".repeat(8_000)});
    let refused = async {
        loop {
            let response = bench.post(PATH, MAPS_KEY, &[], &ask).await;
            if response.status == 503 {
                return response.json();
            }
        }
    };
    let refused = timeout(HANG, refused)
        .await
        .expect("the bodies are bounded");
    assert_eq!(refused["error"]["reason"], "overloaded");
    assert_eq!(refused["error"]["not_run"], "true");
    drop(held);
    let served = async {
        while bench.post(PATH, MAPS_KEY, &[], &ask).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let served = timeout(HANG, served).await;
    served.expect("the room came free");
}

#[tokio::test]
async fn workspace_key_opens_no_operator_path() {
    let bench = entry("").await;
    let ask = json!({"model": "m", "prompt": "secret of the other workspace"});
    let answer = bench.post(PATH, OPERATOR_KEY, &[], &ask).await;
    assert_eq!(answer.status, 401, "the operators' key is no workspace's");
    let answer = bench.post(PATH, MAPS_KEY, &[], &ask).await;
    let id = answer.headers["x-request-id"].to_str().unwrap().to_owned();
    for path in [
        "explain/", "history", "status", "table", "voters", "watch", "other",
    ] {
        let path = format!("/admin/{path}{}", if path == "explain/" { &id } else { "" });
        for key in [
            MAPS_KEY,
            support::STORES_KEY,
            "",
            "operator-ke",
            "operator-keys",
        ] {
            let answer = bench.get(&path, key).await;
            assert_eq!(answer.status, 401, "{path} {key}");
            assert!(!String::from_utf8_lossy(&answer.body).contains("maps"));
        }
    }
    let edit = json!({"anything": 1});
    assert_eq!(
        bench
            .post("/admin/edits", MAPS_KEY, &[], &edit)
            .await
            .status,
        401
    );
}

#[tokio::test]
async fn explanation_holds_neither_prompt_nor_answer() {
    let bench = entry("").await;
    let ask = json!({"max_tokens": 3, "model": "m", "prompt": "a family of four"});
    let answer = bench.post(PATH, MAPS_KEY, &[], &ask).await;
    let id = answer.headers["x-request-id"].to_str().unwrap().to_owned();
    let told = bench
        .get(&format!("/admin/explain/{id}"), OPERATOR_KEY)
        .await;
    assert_eq!(told.status, 200);
    let told = String::from_utf8_lossy(&told.body).into_owned();
    let text = answer.json()["choices"][0]["text"]
        .as_str()
        .unwrap()
        .to_owned();
    assert!(
        !told.contains("family") && !told.contains(text.trim()),
        "{told}"
    );
}

#[tokio::test]
async fn counters_name_no_workspace() {
    let bench = entry("").await;
    let ask = json!({"max_tokens": 1, "model": "m", "prompt": "p"});
    bench.post(PATH, MAPS_KEY, &[], &ask).await;
    let counters = bench.get("/metrics", "").await;
    let counters = String::from_utf8_lossy(&counters.body).into_owned();
    assert!(!counters.contains("maps") && !counters.contains("stores"));
}
