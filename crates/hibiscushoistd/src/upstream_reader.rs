//! Reads the platform's list of upstreams, page by page.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use thiserror::Error;

use crate::context::Context;
use coordination::upstream;
use coordination::upstream::ListedUpstream;
use platform::header;
use platform::path;
use platform::upstream_list;
use transport::clock::wall_millis;
use transport::connection_pool::Body;
use transport::connection_pool::ConnectionPool;
use transport::connection_pool::Limits;

/// Timeout of one call to the platform or an engine; they answer within milliseconds.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time limits of the connections to the platform and to engines: opening one takes milliseconds,
/// and engines close idle ones after a few seconds.
pub const CONNECTION_LIMITS: Limits = Limits {
    connect_timeout: Duration::from_millis(300),
    max_idle: Duration::from_millis(2_000),
};
/// Time limit of one read of the list, in milliseconds; each of its pages is answered within
/// milliseconds.
const READ_LIMIT_MS: u64 = 2_000;
/// Largest number of pages of the list, against one that does not end.
const PAGES_LIMIT: usize = 64;

/// Reason why the list could not be read.
#[derive(Debug, Error)]
pub enum Error {
    /// A page could not be decoded.
    #[error("{0}")]
    Decode(#[from] serde_json::Error),
    /// The list goes on for too long.
    #[error("no end within {READ_LIMIT_MS} ms and {PAGES_LIMIT} pages")]
    Endless,
    /// A page got no answer.
    #[error("no answer")]
    Unanswered,
}

/// The list, as it was read.
pub struct List {
    /// Error of the first malformed entry.
    pub error: Option<String>,
    /// Number of malformed entries, which are left out.
    pub malformed: usize,
    /// The upstreams, one entry for each ID.
    pub upstreams: Vec<ListedUpstream>,
}

/// Reads the whole list at `address`.
///
/// # Errors
///
/// Returns an error if a page is missing or malformed, or if the list does not end.
pub async fn read(
    context: Arc<Context>,
    connection_pool: ConnectionPool,
    address: SocketAddr,
) -> Result<List, Error> {
    let mut list = List {
        error: None,
        malformed: 0,
        upstreams: Vec::new(),
    };
    let mut next: Option<String> = None;
    let began = context.clock.now();
    for _ in 0..PAGES_LIMIT {
        if context.clock.now().since(began) > READ_LIMIT_MS {
            return Err(Error::Endless);
        }
        let path = match &next {
            None => path::UPSTREAM_LIST.to_owned(),
            Some(page) => format!("{}?page_token={page}", path::UPSTREAM_LIST),
        };
        let answer = get(connection_pool.clone(), address, path, None).await;
        let page = upstream_list::decode(&answer.ok_or(Error::Unanswered)?)?;
        list.upstreams.extend(page.upstreams);
        list.malformed += page.malformed;
        list.error = list.error.or(page.error);
        next = page.next;
        if next.is_none() {
            list.upstreams = upstream::distinct(list.upstreams, wall_millis());
            return Ok(list);
        }
    }
    Err(Error::Endless)
}

/// Returns the body of a successful answer; `expect` is the ID of the upstream that must answer.
pub async fn get(
    connection_pool: ConnectionPool,
    address: SocketAddr,
    path: String,
    expect: Option<String>,
) -> Option<Bytes> {
    let mut request = Request::get(path).header("host", address.to_string());
    if let Some(id) = expect {
        request = request.header(header::EXPECT_UPSTREAM, id);
    }
    let request = request.body(Body::default()).ok()?;
    let answer = connection_pool
        .exchange(address, request, CONNECTION_LIMITS, CALL_TIMEOUT)
        .await;
    let response = answer
        .ok()
        .filter(|response| response.status().is_success())?;
    Some(response.into_body())
}
