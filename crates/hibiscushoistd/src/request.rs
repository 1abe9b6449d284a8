//! A request as handlers see it.

use std::time::Duration;

use bytes::Bytes;
use gotham::state::FromState;
use gotham::state::State;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::body::Body as _;

use crate::bodies::Arriving;
use crate::bodies::Bodies;
use crate::budget::Share;
use crate::context::Shared;
use protocol::refusal::Reason;
use transport::http::Body;

/// Memory that a map of headers takes for each field, in bytes: its entry with the name, its place
/// in the index and the allocation of an uncommon name, as received and once more as forwarded.
const FIELD_BYTES: usize = 2 * 160;

/// Most bytes of a segment of a body that arrives. Equal segments take each other's place in the
/// heap, and none is moved before the body is whole.
const SEGMENT_BYTES: usize = 64 << 10;

/// Holds the parts of a request; the body is read later.
pub struct Request {
    /// Bounds the bytes of all bodies.
    pub bodies: Bodies,
    /// Holds the unread body.
    pub body: Body,
    /// Holds the headers.
    pub headers: HeaderMap,
    /// Names the request in answers, logs and explanations.
    pub id: String,
    /// Holds the method.
    pub method: Method,
    /// Holds the bytes of the request within what the daemon may hold.
    pub share: Share,
    /// Holds the path and the query.
    pub uri: Uri,
}

impl Request {
    /// Takes the request out of gotham's state and gives it an identifier.
    pub fn take(state: &mut State) -> Self {
        let Shared(context) = Shared::borrow_from(state);
        let bodies = context.bodies.clone();
        Self {
            share: bodies.share(),
            bodies,
            body: Body::try_take_from(state).unwrap_or_default(),
            headers: HeaderMap::take_from(state),
            id: format!("{:016x}", rand::random::<u64>()),
            method: Method::borrow_from(state).clone(),
            uri: Uri::borrow_from(state).clone(),
        }
    }

    /// Returns the header `name` as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the last part of the path.
    pub fn last_segment(&self) -> &str {
        self.uri.path().rsplit('/').next().unwrap_or_default()
    }

    /// Returns the number under `name` in the query.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_text(name)?.parse().ok()
    }

    /// Returns the text under `name` in the query, as it was sent.
    pub fn query_text(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        let mut values = pairs.filter_map(|pair| pair.split_once('='));
        let (_, value) = values.find(|(key, _)| *key == name)?;
        Some(value)
    }

    /// Takes the memory of the header beyond `limit` bytes off what the daemon may hold.
    ///
    /// # Errors
    ///
    /// Returns `Overloaded` when the daemon holds too many bytes of requests.
    pub async fn hold_header(&mut self, limit: usize) -> Result<(), Reason> {
        let extra = field_bytes(&self.headers).saturating_sub(limit);
        let mut arriving = self.bodies.arriving(0);
        match extra == 0 || arriving.grow(&mut self.share, extra).await {
            false => Err(Reason::Overloaded),
            true => Ok(()),
        }
    }

    /// Reads the whole body, at most `limit` bytes, within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns `BodyTooLarge` past the limit, `Overloaded` when the daemon holds too many bytes of
    /// bodies, and `BadRequest` for a body that breaks off or is late.
    pub async fn read(&mut self, limit: usize, timeout: Duration) -> Result<Bytes, Reason> {
        let body = std::mem::take(&mut self.body);
        if body.size_hint().lower() > limit as u64 {
            return Err(Reason::BodyTooLarge);
        }
        let mut arriving = self.bodies.arriving(self.share.held_bytes());
        let yields = arriving.yields();
        let reading = collect(body, limit, &mut arriving, &mut self.share);
        tokio::select! {
            read = tokio::time::timeout(timeout, reading) => {
                read.unwrap_or(Err(Reason::BadRequest))
            }
            () = yields.notified() => Err(Reason::Overloaded),
        }
    }
}

/// Returns about how much memory the fields of a request take beside the bytes that were read.
fn field_bytes(headers: &HeaderMap) -> usize {
    headers.len() * FIELD_BYTES
}

/// Reads a body, whose memory is taken from `share` as it grows.
async fn collect(
    body: Body,
    limit: usize,
    arriving: &mut Arriving,
    share: &mut Share,
) -> Result<Bytes, Reason> {
    let length = body.size_hint().exact().map(|length| length as usize);
    let most = length.unwrap_or(limit);
    share.expect(share.held_bytes() + length.unwrap_or_default());
    let mut body = Limited::new(body, limit);
    let mut segments = Segments::default();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(
                |error| match error.is::<http_body_util::LengthLimitError>() {
                    false => Reason::BadRequest,
                    true => Reason::BodyTooLarge,
                },
            )?;
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        let count = data.len();
        while !data.is_empty() {
            if segments.room() == 0 {
                let left = most.saturating_sub(segments.len());
                let bytes = left.clamp(1, SEGMENT_BYTES);
                if !arriving.grow(share, bytes).await {
                    return Err(Reason::Overloaded);
                }
                segments.add(bytes);
            }
            let part = data.split_to(data.len().min(segments.room()));
            segments.last.extend_from_slice(&part);
        }
        arriving.record(count);
    }
    Ok(segments.join())
}

/// A body that arrives.
#[derive(Default)]
struct Segments {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
}

impl Segments {
    fn add(&mut self, bytes: usize) {
        let full = std::mem::replace(&mut self.last, Vec::with_capacity(bytes));
        if !full.is_empty() {
            self.full.push(full);
        }
    }

    /// Returns the whole body; each segment is freed as it is copied.
    fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.into();
        }
        let mut whole = Vec::with_capacity(self.len());
        for segment in self.full {
            whole.extend_from_slice(&segment);
        }
        whole.extend_from_slice(&self.last);
        whole.into()
    }

    fn len(&self) -> usize {
        self.full.iter().map(Vec::len).sum::<usize>() + self.last.len()
    }

    fn room(&self) -> usize {
        self.last.capacity() - self.last.len()
    }
}
