//! Tests of the connection pool with upstreams that keep, close and refuse connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use assert_matches::assert_matches;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use transport::connection_pool::Body;
use transport::connection_pool::ConnectionPool;
use transport::connection_pool::Error;
use transport::connection_pool::Limits;

const LIMIT: Duration = Duration::from_secs(20);
const LIMITS: Limits = Limits {
    connect_timeout: LIMIT,
    max_idle: LIMIT,
};
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts an upstream that sends `answer` for each request and counts its connections.
///
/// It closes a connection after the first answer if `closes` is set.
async fn upstream(answer: &'static [u8], closes: bool) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let opened = Arc::new(AtomicU32::new(0));
    let count = opened.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve(stream, answer, closes));
        }
    });
    (address, opened)
}

/// Answers the requests of one connection, each of which ends at an empty line.
async fn serve(mut stream: TcpStream, answer: &'static [u8], closes: bool) {
    let mut request = Vec::new();
    let mut bytes = [0; 1_024];
    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
        request.extend_from_slice(&bytes[..count]);
        if request.ends_with(b"\r\n\r\n") {
            request.clear();
            let _ = stream.write_all(answer).await;
            if closes {
                return;
            }
        }
    }
}

fn request() -> Request<Body> {
    let request = Request::get("/x").header("host", "u");
    request.body(Body::default()).unwrap()
}

async fn exchange(
    pool: &ConnectionPool,
    address: SocketAddr,
    limits: Limits,
) -> Result<u16, Error> {
    let answer = pool.exchange(address, request(), limits, LIMIT).await;
    answer.map(|response| response.status().as_u16())
}

#[tokio::test]
async fn a_connection_is_reused() {
    let (address, opened) = upstream(ANSWER, false).await;
    let pool = ConnectionPool::default();
    for _ in 0..5 {
        assert_matches!(exchange(&pool, address, LIMITS).await, Ok(200));
    }
    assert_eq!(opened.load(Ordering::SeqCst), 1);
}

/// An upstream may close an idle connection just when a request is sent over it. Callers that
/// cannot repeat a request therefore limit the idle time of the connections that they reuse.
#[tokio::test]
async fn a_connection_that_was_idle_for_too_long_is_not_reused() {
    let (address, opened) = upstream(ANSWER, false).await;
    let pool = ConnectionPool::default();
    let limits = Limits {
        max_idle: Duration::ZERO,
        ..LIMITS
    };
    for _ in 0..3 {
        assert_matches!(exchange(&pool, address, limits).await, Ok(200));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(opened.load(Ordering::SeqCst), 3);
}

#[tokio::test]
async fn a_connection_is_listed_as_idle_until_it_is_too_old_or_closed() {
    let (address, _) = upstream(ANSWER, false).await;
    let pool = ConnectionPool::default();
    assert_eq!(pool.idle_addresses(LIMITS), []);
    assert_matches!(exchange(&pool, address, LIMITS).await, Ok(200));
    assert_eq!(pool.idle_addresses(LIMITS), [address]);
    let limits = Limits {
        max_idle: Duration::ZERO,
        ..LIMITS
    };
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert_eq!(pool.idle_addresses(limits), []);
    pool.retain(&[]);
    assert_eq!(pool.idle_addresses(LIMITS), []);
}

#[tokio::test]
async fn a_connection_to_a_removed_upstream_is_closed() {
    let (address, opened) = upstream(ANSWER, false).await;
    let pool = ConnectionPool::default();
    assert_matches!(exchange(&pool, address, LIMITS).await, Ok(200));
    pool.retain(&[]);
    assert_matches!(exchange(&pool, address, LIMITS).await, Ok(200));
    assert_eq!(opened.load(Ordering::SeqCst), 2);
}

/// Answers of many upstreams must not leave as many idle connections.
#[tokio::test]
async fn the_connection_that_is_idle_for_longest_is_closed_for_one_beyond_the_limit() {
    let (oldest, oldest_opened) = upstream(ANSWER, false).await;
    let (older, older_opened) = upstream(ANSWER, false).await;
    let (newest, newest_opened) = upstream(ANSWER, false).await;
    let pool = ConnectionPool::new(2);
    for address in [oldest, older, newest] {
        assert_matches!(exchange(&pool, address, LIMITS).await, Ok(200));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!pool.idle_addresses(LIMITS).contains(&oldest));
    for address in [newest, older, oldest] {
        assert_matches!(exchange(&pool, address, LIMITS).await, Ok(200));
    }
    let opened = [oldest_opened, older_opened, newest_opened].map(|o| o.load(Ordering::SeqCst));
    assert_eq!(opened, [2, 1, 1]);
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let failure = exchange(&ConnectionPool::default(), address, LIMITS).await;
    assert!(failure.is_err_and(|error| error.not_sent()));
}

/// The upstream may have run the request, so the failure must not look like one before sending.
#[tokio::test]
async fn a_connection_that_closes_without_an_answer_is_reported_as_disconnected() {
    let (address, _) = upstream(b"", true).await;
    let failure = exchange(&ConnectionPool::default(), address, LIMITS).await;
    assert_matches!(failure, Err(Error::Disconnected { .. }));
}

/// The upstream announces nine bytes and closes the connection after two.
#[tokio::test]
async fn a_truncated_answer_is_an_error() {
    let (address, _) = upstream(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok", true).await;
    let failure = exchange(&ConnectionPool::default(), address, LIMITS).await;
    assert_matches!(failure, Err(Error::Disconnected { .. }));
}
