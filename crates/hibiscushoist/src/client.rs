//! Requests to a daemon with short answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::header;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error as ThisError;
use tokio::time::timeout;

use crate::credential::Credential;
use crate::error::Error;
use protocol::operator;
use protocol::refusal;

const ANSWER_LIMIT_BYTES: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests to the first of its servers that answers.
#[derive(Clone, Debug)]
pub struct Client {
    credential: Credential,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    servers: Vec<SocketAddr>,
}

/// Tells why one server gave no answer.
#[derive(Debug, ThisError)]
pub enum Silence {
    /// Reports a body that broke off or is too long.
    #[error("{server}: the answer broke off or is too long")]
    Body {
        /// Names the server.
        server: SocketAddr,
    },
    /// Reports a connection that was refused or lost.
    #[error("{server}: {cause}")]
    Connection {
        /// Tells what the connection met.
        cause: legacy::Error,
        /// Names the server.
        server: SocketAddr,
    },
    /// Reports a server that took too long.
    #[error("{server}: no answer within {} s", TIMEOUT.as_secs())]
    Timeout {
        /// Names the server.
        server: SocketAddr,
    },
}

struct Reply {
    body: Bytes,
    server: SocketAddr,
    status: u16,
}

impl Client {
    /// Returns a client for `servers`, which it tries in order.
    pub fn new(servers: Vec<SocketAddr>, credential: Credential) -> Self {
        Self {
            credential,
            http: legacy::Client::builder(TokioExecutor::new()).build(connector()),
            servers,
        }
    }

    /// Returns the servers.
    pub fn servers(&self) -> &[SocketAddr] {
        &self.servers
    }

    /// Gets `path` from the first server that answers.
    ///
    /// # Errors
    ///
    /// Returns an error when no server answers or the answer is a failure.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Report<Error>> {
        let mut unreachable = Report::new(self.unreachable());
        for server in &self.servers {
            match self.send(*server, Method::GET, path, Bytes::new()).await {
                Ok(reply) => return reply.read(path),
                Err(silence) => unreachable = unreachable.attach(silence.to_string()),
            }
        }
        Err(unreachable)
    }

    /// Posts `body` to `path` on `server`.
    ///
    /// # Errors
    ///
    /// Returns an error when the server does not answer or the answer is a failure.
    pub async fn post<T: DeserializeOwned>(
        &self,
        server: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Report<Error>> {
        let body = serde_json::to_vec(body).change_context(Error::Runtime)?;
        let reply = self.send(server, Method::POST, path, body.into()).await;
        reply.change_context_lazy(|| self.unreachable())?.read(path)
    }

    fn unreachable(&self) -> Error {
        let names = self.servers.iter().map(SocketAddr::to_string);
        let servers = names.collect::<Vec<_>>().join(", ");
        Error::Unreachable { servers }
    }

    async fn send(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, Silence> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{server}{path}"))
            .header(header::AUTHORIZATION, self.credential.header())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("paths are checked before they are sent");
        match timeout(TIMEOUT, self.exchange(server, request)).await {
            Ok(reply) => reply,
            Err(_) => Err(Silence::Timeout { server }),
        }
    }

    async fn exchange(
        &self,
        server: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Silence> {
        let response = self.http.request(request).await;
        let response = response.map_err(|cause| Silence::Connection { cause, server })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|_| Silence::Body { server })?.to_bytes();
        Ok(Reply {
            body,
            server,
            status,
        })
    }
}

impl Reply {
    fn read<T: DeserializeOwned>(self, path: &str) -> Result<T, Report<Error>> {
        if (200..300).contains(&self.status) {
            let server = self.server;
            let path = path.to_owned();
            return serde_json::from_slice(&self.body)
                .change_context_lazy(|| Error::Answer { path, server });
        }
        if let Ok(body) = serde_json::from_slice::<operator::FailureBody>(&self.body) {
            return Err(Error::Failed(body.error).into());
        }
        if let Ok(body) = serde_json::from_slice::<refusal::RefusalBody>(&self.body) {
            return Err(Error::Refused(body.error).into());
        }
        Err(Error::Status {
            path: path.to_owned(),
            server: self.server,
            status: self.status,
        }
        .into())
    }
}

/// Returns a connector that gives up soon and sends small packets at once.
pub fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}
