//! A request as handlers see it.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use gotham::state::FromState;
use gotham::state::State;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::budget::Share;
use crate::context::Shared;
use protocol::refusal::Reason;
use transport::http::Body;

/// Holds the parts of a request; the body is read later.
pub struct Request {
    /// Holds the unread body.
    pub body: Body,
    /// Holds the headers.
    pub headers: HeaderMap,
    /// Names the request in answers, logs and explanations.
    pub id: String,
    /// Holds the method.
    pub method: Method,
    /// Holds the bytes of the body within what the daemon may hold.
    pub share: Share,
    /// Holds the path and the query.
    pub uri: Uri,
}

impl Request {
    /// Takes the request out of gotham's state and gives it an identifier.
    pub fn take(state: &mut State) -> Self {
        let Shared(context) = Shared::borrow_from(state);
        let share = context.bodies.share();
        Self {
            body: Body::try_take_from(state).unwrap_or_default(),
            headers: HeaderMap::take_from(state),
            id: format!("{:016x}", rand::random::<u64>()),
            method: Method::borrow_from(state).clone(),
            share,
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

    /// Reads the whole body, at most `limit` bytes, within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns `BodyTooLarge` past the limit, `Overloaded` when the daemon holds too many bytes of
    /// bodies, and `BadRequest` for a body that breaks off or is late.
    pub async fn read(&mut self, limit: usize, timeout: Duration) -> Result<Bytes, Reason> {
        let body = std::mem::take(&mut self.body);
        let reading = self.collect(Limited::new(body, limit));
        let read = tokio::time::timeout(timeout, reading).await;
        read.unwrap_or(Err(Reason::BadRequest))
    }

    async fn collect(&mut self, mut body: Limited<Body>) -> Result<Bytes, Reason> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame =
                frame.map_err(
                    |error| match error.is::<http_body_util::LengthLimitError>() {
                        false => Reason::BadRequest,
                        true => Reason::BodyTooLarge,
                    },
                )?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !self.share.grow(data.len()) {
                return Err(Reason::Overloaded);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}
