//! One exchange with an upstream over a connection of its own.
//!
//! A connection carries a single exchange at a time and none is kept idle, so a failure before
//! [`Connection::send`] proves that the upstream saw nothing.

use std::error;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
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

use crate::sse;
use protocol::engine;
use protocol::refusal::NotRun;
use state::ident::Incarnation;

/// Bounds the times and sizes of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bounds a body that is read whole, in bytes.
    pub body_limit: usize,
    /// Bounds the time to connect.
    pub connect_timeout: Duration,
    /// Bounds the time from the request to the head of the response.
    pub head_timeout: Duration,
    /// Bounds the time without a byte in the body of the response.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_limit: 64 << 20,
            connect_timeout: Duration::from_millis(1_000),
            head_timeout: Duration::from_millis(10_000),
            idle_timeout: Duration::from_millis(5_000),
        }
    }
}

/// Tells why an exchange failed.
#[derive(Debug, Error)]
pub enum Error {
    /// Reports a body that is too long.
    #[error("upstream {address} sent more than {limit} bytes")]
    BodyTooLong {
        /// Names the upstream.
        address: SocketAddr,
        /// Gives the bound, in bytes.
        limit: usize,
    },
    /// Reports that no connection was made; no byte of the request left.
    #[error("upstream {address} can't be reached: {source}")]
    Connect {
        /// Names the upstream.
        address: SocketAddr,
        /// Gives the cause.
        source: std::io::Error,
    },
    /// Reports that no connection was made in time; no byte of the request left.
    #[error("upstream {address} took no connection within {limit:?}")]
    ConnectTimeout {
        /// Names the upstream.
        address: SocketAddr,
        /// Gives the bound.
        limit: Duration,
    },
    /// Reports a connection that was cut after the request may have left.
    #[error("upstream {address} cut the connection: {source}")]
    Disconnected {
        /// Names the upstream.
        address: SocketAddr,
        /// Gives the cause.
        source: Box<dyn error::Error + Send + Sync>,
    },
    /// Reports an answer that is not in the contract's format.
    #[error("upstream {address} sent what the contract does not allow: {source}")]
    Format {
        /// Names the upstream.
        address: SocketAddr,
        /// Gives the cause.
        source: FormatError,
    },
    /// Reports an upstream that sent nothing for too long.
    #[error("upstream {address} sent nothing for {limit:?}")]
    Idle {
        /// Names the upstream.
        address: SocketAddr,
        /// Gives the bound.
        limit: Duration,
    },
    /// Reports another run or weights version than the attempt was planned for.
    #[error("upstream {address} is {found:?}, not {expected:?}")]
    Mismatch {
        /// Names the upstream.
        address: SocketAddr,
        /// Tells what was planned for.
        expected: EngineIdentity,
        /// Tells what answered.
        found: EngineIdentity,
    },
    /// Reports a refusal of the engine, which had no effect.
    #[error("upstream {address} refused: {}", refusal.code)]
    Refused {
        /// Names the upstream.
        address: SocketAddr,
        /// Holds the refusal.
        refusal: engine::Refusal,
    },
    /// Reports a status without a refusal that can be read.
    #[error("upstream {address} answered with status {status}")]
    Status {
        /// Names the upstream.
        address: SocketAddr,
        /// Holds the status.
        status: u16,
    },
}

/// Tells what in an answer is not in the contract's format.
#[derive(Debug, Error)]
pub enum FormatError {
    /// Reports a stream of events that can't be read.
    #[error(transparent)]
    Events(#[from] sse::Error),
    /// Reports a missing or malformed header.
    #[error("header `{name}` is missing or malformed")]
    Header {
        /// Names the header.
        name: &'static str,
    },
    /// Reports JSON that can't be read.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Reports a request that can't be written as HTTP.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
}

/// Names the run of an engine and the weights that it serves.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EngineIdentity {
    /// Names the run.
    pub incarnation: Incarnation,
    /// Names the weights version.
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
            | Self::Idle { .. }
            | Self::Mismatch { .. }
            | Self::Status { .. } => NotRun::Unknown,
        }
    }
}

/// Holds a connection for one exchange; dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
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
        let connect = |source| Error::Connect { address, source };
        stream.set_nodelay(true).map_err(connect)?;
        let io = TokioIo::new(stream);
        let shaken = http1::handshake(io).await;
        let (sender, connection) = shaken.map_err(|e| connect(std::io::Error::other(e)))?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address,
            limits,
            sender,
            task,
        })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bounds.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Sends `request` and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is cut or no head arrives in time; the request may
    /// have had its effect then.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let (address, limit) = (self.address, self.limits.head_timeout);
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        match timeout(limit, self.sender.send_request(request)).await {
            Err(_) => Err(Error::Idle { address, limit }),
            Ok(Err(source)) => Err(self.cut(source)),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Reads the next bytes of a body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is cut or nothing arrives in time.
    pub async fn next_chunk(&self, body: &mut Incoming) -> Result<Option<Bytes>, Error> {
        let (address, limit) = (self.address, self.limits.idle_timeout);
        loop {
            let frame = match timeout(limit, body.frame()).await {
                Err(_) => return Err(Error::Idle { address, limit }),
                Ok(None) => return Ok(None),
                Ok(Some(Err(source))) => return Err(self.cut(source)),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is cut, too long or not complete in time.
    pub async fn read_body(&self, body: Incoming) -> Result<Bytes, Error> {
        let (address, limit) = (self.address, self.limits.head_timeout);
        let read = Limited::new(body, self.limits.body_limit).collect();
        match timeout(limit, read).await {
            Err(_) => Err(Error::Idle { address, limit }),
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(source)) if source.is::<http_body_util::LengthLimitError>() => {
                let limit = self.limits.body_limit;
                Err(Error::BodyTooLong { address, limit })
            }
            Ok(Err(source)) => Err(Error::Disconnected { address, source }),
        }
    }

    fn cut(&self, source: hyper::Error) -> Error {
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
