//! A client of model engines over the engine contract.
//!
//! No other module of this crate sends or parses messages of that contract.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::http::HeaderMap;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::read_limit::Body;
use crate::sse;
use crate::sse::Decoder;
use crate::upstream::Connection;
use crate::upstream::EngineIdentity;
use crate::upstream::Error;
use crate::upstream::FormatError;
use crate::upstream::Limits;
use protocol::engine;
use state::ident::Incarnation;

/// Longest event that is accepted in the stream of an answer, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A client of one engine that opens a connection for each request.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    address: SocketAddr,
    limits: Limits,
}

/// A client that polls one engine over a kept connection, which is replaced after a failure.
#[derive(Debug)]
pub struct Session {
    client: Client,
    connection: Option<Connection>,
}

/// One item of the stream of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Item {
    /// The marker of a complete answer.
    End,
    /// A comment without data, sent to show that the engine is alive.
    Heartbeat,
    /// The next tokens of the answer.
    Piece(engine::Piece),
}

/// An answer with the identity of the engine that sent it.
#[derive(Clone, Debug)]
pub struct Identified<T> {
    /// Decoded body of the response.
    pub answer: T,
    /// Process and weights version of the engine.
    pub identity: EngineIdentity,
}

/// The stream of one answer; dropping it closes the connection, which cancels the answer.
#[derive(Debug)]
pub struct Stream {
    body: Body,
    connection: Connection,
    decoder: Decoder,
    decoded: VecDeque<Item>,
    identity: EngineIdentity,
}

impl Client {
    /// Returns a client of the engine at `address`, which does not connect yet.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        Self { address, limits }
    }

    /// Cancels the attempt with this id.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn cancel(
        &self,
        id: impl Into<String>,
    ) -> Result<Identified<engine::Cancelled>, Error> {
        let cancel = engine::Cancel { id: id.into() };
        self.post(engine::CANCEL_PATH, &cancel).await
    }

    /// Starts an answer, which must come from the engine identity `planned` where one is given.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange, or [`Error::Mismatch`] before any token is read.
    pub async fn complete(
        &self,
        request: &engine::Request,
        planned: Option<&EngineIdentity>,
    ) -> Result<Stream, Error> {
        let request = self.build_request(Method::POST, engine::COMPLETIONS_PATH, Some(request))?;
        let mut connection = Connection::open(self.address, self.limits).await?;
        let response = connection.send(request).await?;
        if !response.status().is_success() {
            return Err(self.read_refusal(&connection, response).await);
        }
        let identity = self.identity(response.headers())?;
        if let Some(expected) = planned.filter(|p| **p != identity) {
            return Err(Error::Mismatch {
                address: self.address,
                expected: expected.clone(),
                found: identity,
            });
        }
        Ok(Stream {
            body: response.into_body(),
            connection,
            decoder: Decoder::new(MAX_EVENT_BYTES),
            decoded: VecDeque::new(),
            identity,
        })
    }

    /// Returns the changes of the cache with numbers above `after`.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn events(&self, after: u64) -> Result<engine::Events, Error> {
        let path = format!("{}?after={after}", engine::CACHE_EVENTS_PATH);
        Ok(self.get(&path).await?.answer)
    }

    /// Lets the engine write blocks of its cache to the KV store.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn export(&self, transfer: &engine::Transfer) -> Result<engine::Transferred, Error> {
        Ok(self.post(engine::KV_EXPORT_PATH, transfer).await?.answer)
    }

    /// Lets the engine load blocks from the KV store into its cache.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn import(&self, transfer: &engine::Transfer) -> Result<engine::Transferred, Error> {
        Ok(self.post(engine::KV_IMPORT_PATH, transfer).await?.answer)
    }

    /// Returns the load that the engine reports.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn load(&self) -> Result<engine::Load, Error> {
        Ok(self.get(engine::LOAD_PATH).await?.answer)
    }

    /// Sends an order and waits until the engine has carried it out.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn order(&self, order: &engine::Order) -> Result<engine::State, Error> {
        Ok(self.post(engine::ORDERS_PATH, order).await?.answer)
    }

    /// Returns the contents of the whole cache.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn snapshot(&self) -> Result<engine::Snapshot, Error> {
        Ok(self.get(engine::CACHE_SNAPSHOT_PATH).await?.answer)
    }

    /// Returns the state of the engine: what it serves at present.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn state(&self) -> Result<engine::State, Error> {
        Ok(self.get(engine::ORDERS_PATH).await?.answer)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Identified<T>, Error> {
        let request = self.build_request(Method::GET, path, None::<&()>)?;
        self.exchange(request).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Identified<T>, Error> {
        let request = self.build_request(Method::POST, path, Some(message))?;
        self.exchange(request).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Identified<T>, Error> {
        let mut connection = Connection::open(self.address, self.limits).await?;
        self.exchange_over(&mut connection, request).await
    }

    async fn exchange_over<T: DeserializeOwned>(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Identified<T>, Error> {
        let response = connection.send(request).await?;
        if !response.status().is_success() {
            return Err(self.read_refusal(connection, response).await);
        }
        let identity = self.identity(response.headers())?;
        let bytes = connection.read_body(response.into_body()).await?;
        let answer = serde_json::from_slice(&bytes).map_err(|e| self.format_error(e))?;
        Ok(Identified { answer, identity })
    }

    fn format_error(&self, source: impl Into<FormatError>) -> Error {
        Error::Format {
            address: self.address,
            source: source.into(),
        }
    }

    /// Turns an unsuccessful response into an error, with the refusal in its body if there is one.
    async fn read_refusal(&self, connection: &Connection, response: Response<Body>) -> Error {
        let status = response.status().as_u16();
        let address = self.address;
        let body = match connection.read_body(response.into_body()).await {
            Err(error) => return error,
            Ok(body) => body,
        };
        match serde_json::from_slice(&body) {
            Err(_) => Error::Status { address, status },
            Ok(refusal) => Error::Refused { address, refusal },
        }
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        message: Option<&impl Serialize>,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let body = message.map_or(Ok(Vec::new()), serde_json::to_vec);
        let body = Full::new(Bytes::from(body.map_err(|e| self.format_error(e))?));
        let request = Request::builder().method(method).uri(path);
        let request = request.header(CONTENT_TYPE, "application/json");
        request.body(body).map_err(|e| self.format_error(e))
    }

    fn identity(&self, headers: &HeaderMap) -> Result<EngineIdentity, Error> {
        let text = |name| {
            let value = headers.get(name).and_then(|v| v.to_str().ok());
            value.ok_or_else(|| self.format_error(FormatError::Header { name }))
        };
        let name = engine::INCARNATION_HEADER;
        let incarnation = text(name)?.parse();
        let incarnation =
            incarnation.map_err(|_| self.format_error(FormatError::Header { name }))?;
        Ok(EngineIdentity {
            incarnation: Incarnation(incarnation),
            version: text(engine::WEIGHTS_VERSION_HEADER)?.to_owned(),
        })
    }
}

impl Session {
    /// Returns a session that connects at its first request.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            connection: None,
        }
    }

    /// Returns the changes of the cache with numbers above `after`.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn events(&mut self, after: u64) -> Result<engine::Events, Error> {
        self.get(&format!("{}?after={after}", engine::CACHE_EVENTS_PATH))
            .await
    }

    /// Returns the load that the engine reports.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn load(&mut self) -> Result<engine::Load, Error> {
        self.get(engine::LOAD_PATH).await
    }

    /// Returns the contents of the whole cache.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn snapshot(&mut self) -> Result<engine::Snapshot, Error> {
        self.get(engine::CACHE_SNAPSHOT_PATH).await
    }

    async fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, Error> {
        let client = self.client;
        let request = client.build_request(Method::GET, path, None::<&()>)?;
        let mut connection = match self.connection.take() {
            None => Connection::open(client.address, client.limits).await?,
            Some(connection) => connection,
        };
        let identified = client.exchange_over(&mut connection, request).await?;
        self.connection = Some(connection);
        Ok(identified.answer)
    }
}

impl Stream {
    /// Returns the next item, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails, nothing arrives in time or the stream is
    /// malformed.
    pub async fn next(&mut self) -> Result<Option<Item>, Error> {
        loop {
            if let Some(item) = self.decoded.pop_front() {
                return Ok(Some(item));
            }
            let Some(bytes) = self.connection.next_chunk(&mut self.body).await? else {
                return Ok(None);
            };
            self.decode(&bytes)?;
        }
    }

    /// Returns the process and the weights version that the answer comes from.
    pub fn identity(&self) -> &EngineIdentity {
        &self.identity
    }

    fn decode(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let address = self.connection.address();
        let format_error = |source| Error::Format { address, source };
        let mut items = Vec::new();
        let result = self.decoder.push(bytes, &mut items);
        result.map_err(|e| format_error(e.into()))?;
        for item in items {
            let item = match item {
                sse::Item::Comment => Item::Heartbeat,
                sse::Item::Data(text) if text == engine::DONE_MARKER => Item::End,
                sse::Item::Data(text) => {
                    let piece = serde_json::from_str(&text);
                    Item::Piece(piece.map_err(|e| format_error(e.into()))?)
                }
            };
            self.decoded.push_back(item);
        }
        Ok(())
    }
}
