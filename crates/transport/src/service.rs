//! Speaks the contract of a plain service; the only module that does.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::CONTENT_TYPE;

use crate::upstream::Connection;
use crate::upstream::Error;
use crate::upstream::FormatError;
use crate::upstream::Limits;
use protocol::service;

/// Describes one call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Numbers the attempt.
    pub attempt: u64,
    /// Holds the body.
    pub body: Bytes,
    /// Holds the type of the body.
    pub content_type: String,
    /// Holds the method.
    pub method: String,
    /// Names the order.
    pub order: String,
    /// Holds the path and the query.
    pub path: String,
}

/// Holds the answer of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Holds the body.
    pub body: Bytes,
    /// Holds the type of the body.
    pub content_type: String,
    /// Tells whether the service said that the call had no effect.
    pub not_run: bool,
    /// Holds the status.
    pub status: u16,
}

/// Holds a connection over which no byte of the call has left yet.
#[derive(Debug)]
pub struct PreparedCall {
    connection: Connection,
    request: Request<Full<Bytes>>,
}

impl PreparedCall {
    /// Connects to the service at `address` and prepares `call`.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection is made in time or the call can't be written; no byte
    /// left in either case.
    pub async fn open(address: SocketAddr, call: Call, limits: Limits) -> Result<Self, Error> {
        let request = Request::builder()
            .method(call.method.as_str())
            .uri(call.path)
            .header(CONTENT_TYPE, call.content_type)
            .header(service::ATTEMPT_HEADER, call.attempt)
            .header(service::ORDER_ID_HEADER, call.order)
            .body(Full::new(call.body));
        let request = request.map_err(|source| Error::Format {
            address,
            source: FormatError::Request(source),
        })?;
        let connection = Connection::open(address, limits).await?;
        Ok(Self {
            connection,
            request,
        })
    }

    /// Sends the call and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when no whole answer arrives in time; the call may have run then.
    pub async fn send(mut self) -> Result<Answer, Error> {
        let response = self.connection.send(self.request).await?;
        let (head, body) = response.into_parts();
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        Ok(Answer {
            body: self.connection.read_body(body).await?,
            content_type: text(CONTENT_TYPE.as_str()),
            not_run: text(service::NOT_RUN_HEADER) == service::NOT_RUN_TRUE,
            status: head.status.as_u16(),
        })
    }
}
