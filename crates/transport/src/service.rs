//! A client of plain services over the service contract.
//!
//! No other module of this crate sends or parses messages of that contract.

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

/// One attempt to call a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Fencing token of the attempt, sent in a header.
    pub attempt: u64,
    /// Body of the request.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: String,
    /// HTTP method.
    pub method: String,
    /// Id under which the ledger records the order, the same in each attempt.
    pub order_id: String,
    /// Path and query of the URI.
    pub path: String,
}

/// The answer of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Body of the response.
    pub body: Bytes,
    /// Content type of the body, empty where the header is missing.
    pub content_type: String,
    /// Whether the service states that the call had no effect.
    pub not_run: bool,
    /// HTTP status code.
    pub status: u16,
}

/// A call with an open connection, of which no byte has been sent yet.
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
    /// Returns an error when no connection is made in time or the call cannot be encoded. No byte
    /// was sent in either case.
    pub async fn open(address: SocketAddr, call: Call, limits: Limits) -> Result<Self, Error> {
        let request = Request::builder()
            .method(call.method.as_str())
            .uri(call.path)
            .header(CONTENT_TYPE, call.content_type)
            .header(service::ATTEMPT_HEADER, call.attempt)
            .header(service::ORDER_ID_HEADER, call.order_id)
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
    /// Returns an error when no complete answer arrives in time. The call may have run then.
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
