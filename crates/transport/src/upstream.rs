//! Connections to engines, plain services and the platform's list, without a pool.
//!
//! A connection carries one exchange at a time and none is kept idle in a pool, so a failure
//! before [`Connection::send`] proves that the upstream received nothing of the request.

use std::error;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Duration;
use tokio::time::timeout;

use crate::read_limit::Allowance;
use crate::read_limit::Body;
use crate::read_limit::MAX_HEAD_BYTES;
use crate::read_limit::ReadLimitStream;
use crate::sse;
use crate::whole_body;
use protocol::engine;
use protocol::refusal::NotRun;
use state::ident::Incarnation;

/// Limits on the times and sizes of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Size limit of a body that is read as a whole, in bytes.
    pub body_limit: usize,
    /// Time limit for connecting.
    pub connect_timeout: Duration,
    /// Time limit from the request to the head of the response, and for a body that is read as a
    /// whole.
    pub head_timeout: Duration,
    /// Longest time without a byte in a body that is read in chunks.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_limit: 16 << 20,
            connect_timeout: Duration::from_millis(1_000),
            head_timeout: Duration::from_millis(10_000),
            idle_timeout: Duration::from_millis(5_000),
        }
    }
}

/// The reason why an exchange failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The body of the response is too long.
    #[error("upstream {address} sent more than {limit} bytes")]
    BodyTooLong {
        /// Address of the upstream.
        address: SocketAddr,
        /// Size limit, in bytes.
        limit: usize,
    },
    /// No connection was made, so no byte of the request was sent.
    #[error("cannot connect to upstream {address}: {source}")]
    Connect {
        /// Address of the upstream.
        address: SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// No connection was made in time, so no byte of the request was sent.
    #[error("cannot connect to upstream {address} within {limit:?}")]
    ConnectTimeout {
        /// Address of the upstream.
        address: SocketAddr,
        /// Time limit that was exceeded.
        limit: Duration,
    },
    /// The connection failed after the request may have been sent.
    #[error("connection to upstream {address} failed: {source}")]
    Disconnected {
        /// Address of the upstream.
        address: SocketAddr,
        /// Cause of the failure.
        source: Box<dyn error::Error + Send + Sync>,
    },
    /// The response does not follow the contract, or the request cannot be encoded.
    #[error("exchange with upstream {address} violates the contract: {source}")]
    Format {
        /// Address of the upstream.
        address: SocketAddr,
        /// Cause of the failure.
        source: FormatError,
    },
    /// The upstream sent nothing for too long.
    #[error("upstream {address} sent nothing for {limit:?}")]
    InactivityTimeout {
        /// Address of the upstream.
        address: SocketAddr,
        /// Time limit that was exceeded.
        limit: Duration,
    },
    /// The engine has restarted or serves another weights version than the attempt was planned for.
    #[error("upstream {address} identifies itself as {found:?} instead of {expected:?}")]
    Mismatch {
        /// Address of the upstream.
        address: SocketAddr,
        /// Identity that the attempt was planned for.
        expected: EngineIdentity,
        /// Identity in the response.
        found: EngineIdentity,
    },
    /// The engine refused the request, which had no effect.
    #[error("upstream {address} refused the request: {}", refusal.code)]
    Refused {
        /// Address of the upstream.
        address: SocketAddr,
        /// Refusal in the body of the response.
        refusal: engine::Refusal,
    },
    /// The status reports a failure and the body holds no valid refusal.
    #[error("upstream {address} answered with status {status}")]
    Status {
        /// Address of the upstream.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
    },
}

/// The part of an exchange that violates the contract.
#[derive(Debug, Error)]
pub enum FormatError {
    /// The event stream is malformed.
    #[error(transparent)]
    Events(#[from] sse::Error),
    /// A header is missing or malformed.
    #[error("header `{name}` is missing or malformed")]
    Header {
        /// Name of the header.
        name: &'static str,
    },
    /// A body is not valid JSON for the message.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The request cannot be encoded as HTTP.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
}

/// The process of an engine and the weights that it serves.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EngineIdentity {
    /// Incarnation, which is new for each process of the engine.
    pub incarnation: Incarnation,
    /// Version of the weights.
    pub version: String,
}

impl Error {
    /// Returns whether the request is known to have had no effect.
    pub fn not_run(&self) -> NotRun {
        match self {
            Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::Refused { .. } => {
                NotRun::True
            }
            Self::BodyTooLong { .. }
            | Self::Disconnected { .. }
            | Self::Format { .. }
            | Self::InactivityTimeout { .. }
            | Self::Mismatch { .. }
            | Self::Status { .. } => NotRun::Unknown,
        }
    }
}

/// A connection for one exchange at a time; dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    allowance: Allowance,
    limits: Limits,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Connects to `address` without sending a byte.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection is made in time.
    pub async fn open(address: SocketAddr, limits: Limits) -> Result<Self, Error> {
        let limit = limits.connect_timeout;
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Err(_) => return Err(Error::ConnectTimeout { address, limit }),
            Ok(Err(source)) => return Err(Error::Connect { address, source }),
            Ok(Ok(stream)) => stream,
        };
        let failed = |source| Error::Connect { address, source };
        stream.set_nodelay(true).map_err(failed)?;
        let allowance = Allowance::default();
        let stream = ReadLimitStream::new(stream, allowance.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|e| failed(std::io::Error::other(e)))?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address,
            allowance,
            limits,
            sender,
            task,
        })
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the limits that apply to each exchange.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Sends `request` and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or no head arrives in time. The request may have
    /// had its effect then.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Body>, Error> {
        let (address, limit) = (self.address, self.limits.head_timeout);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        self.allowance.renew();
        match timeout(limit, self.sender.send_request(request)).await {
            Err(_) => Err(Error::InactivityTimeout { address, limit }),
            Ok(Err(source)) => Err(self.disconnected(source)),
            Ok(Ok(response)) => Ok(response.map(|body| Body::new(body, self.allowance.clone()))),
        }
    }

    /// Returns the next bytes of a body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or nothing arrives in time.
    pub async fn next_chunk(&self, body: &mut Body) -> Result<Option<Bytes>, Error> {
        let (address, limit) = (self.address, self.limits.idle_timeout);
        loop {
            let frame = match timeout(limit, body.frame()).await {
                Err(_) => return Err(Error::InactivityTimeout { address, limit }),
                Ok(None) => return Ok(None),
                Ok(Some(Err(source))) => return Err(self.disconnected(source)),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    /// Reads and returns a whole body.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails, or the body is too long or not complete in time.
    pub async fn read_body(&self, body: Body) -> Result<Bytes, Error> {
        let (address, limit) = (self.address, self.limits.head_timeout);
        let read = whole_body::collect_limited(body, self.limits.body_limit);
        match timeout(limit, read).await {
            Err(_) => Err(Error::InactivityTimeout { address, limit }),
            Ok(Err(whole_body::Error::Broken(source))) => {
                Err(Error::Disconnected { address, source })
            }
            Ok(Err(whole_body::Error::TooLong)) => {
                let limit = self.limits.body_limit;
                Err(Error::BodyTooLong { address, limit })
            }
            Ok(Ok(body)) => Ok(body),
        }
    }

    fn disconnected(&self, source: hyper::Error) -> Error {
        Error::Disconnected {
            address: self.address,
            source: source.into(),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
