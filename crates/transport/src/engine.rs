//! Speaks the contract of a model engine; the only module that does.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::HeaderMap;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::sse;
use crate::sse::Decoder;
use crate::upstream::Connection;
use crate::upstream::EngineIdentity;
use crate::upstream::Error;
use crate::upstream::FormatError;
use crate::upstream::Limits;
use protocol::engine;
use state::ident::Incarnation;

/// Bounds one event of a stream, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Reaches one engine.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    address: SocketAddr,
    limits: Limits,
}

/// Asks one engine again and again over one connection, which is replaced when it fails.
#[derive(Debug)]
pub struct Session {
    client: Client,
    connection: Option<Connection>,
}

/// Holds what a stream tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Item {
    /// Holds the end mark.
    End,
    /// Shows that the engine lives.
    Heartbeat,
    /// Holds tokens.
    Piece(engine::Piece),
}

/// Holds an answer with the signature of the engine that gave it.
#[derive(Clone, Debug)]
pub struct Identified<T> {
    /// Holds the answer.
    pub answer: T,
    /// Names the run and the weights.
    pub identity: EngineIdentity,
}

/// Reads the pieces of one answer; dropping it closes the connection and so cancels the answer.
#[derive(Debug)]
pub struct Stream {
    body: Incoming,
    connection: Connection,
    decoder: Decoder,
    ready: VecDeque<Item>,
    identity: EngineIdentity,
}

impl Client {
    /// Returns a client for the engine at `address`.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        Self { address, limits }
    }

    /// Stops the attempt of that name.
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

    /// Starts an answer, where `planned` names the run and the weights it must come from.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange, or a mismatch before any piece is read.
    pub async fn complete(
        &self,
        request: &engine::Request,
        planned: Option<&EngineIdentity>,
    ) -> Result<Stream, Error> {
        let request = self.request(Method::POST, engine::COMPLETIONS_PATH, Some(request))?;
        let mut connection = Connection::open(self.address, self.limits).await?;
        let response = connection.send(request).await?;
        if !response.status().is_success() {
            return Err(self.refusal(&connection, response).await);
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
            decoder: Decoder::new(EVENT_LIMIT),
            ready: VecDeque::new(),
            identity,
        })
    }

    /// Reads the changes of the cache after number `after`.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn events(&self, after: u64) -> Result<engine::Events, Error> {
        let path = format!("{}?after={after}", engine::CACHE_EVENTS_PATH);
        Ok(self.get(&path).await?.answer)
    }

    /// Has blocks written to the kept-KV store.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn export(&self, transfer: &engine::Transfer) -> Result<engine::Transferred, Error> {
        Ok(self.post(engine::KV_EXPORT_PATH, transfer).await?.answer)
    }

    /// Has blocks read from the kept-KV store.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn import(&self, transfer: &engine::Transfer) -> Result<engine::Transferred, Error> {
        Ok(self.post(engine::KV_IMPORT_PATH, transfer).await?.answer)
    }

    /// Reads the report of the load.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn load(&self) -> Result<engine::Load, Error> {
        Ok(self.get(engine::LOAD_PATH).await?.answer)
    }

    /// Gives an order and waits until it is carried out.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn order(&self, order: &engine::Order) -> Result<engine::State, Error> {
        Ok(self.post(engine::ORDERS_PATH, order).await?.answer)
    }

    /// Reads the whole cache.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn snapshot(&self) -> Result<engine::Snapshot, Error> {
        Ok(self.get(engine::CACHE_SNAPSHOT_PATH).await?.answer)
    }

    /// Reads what the engine serves.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn state(&self) -> Result<engine::State, Error> {
        Ok(self.get(engine::ORDERS_PATH).await?.answer)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Identified<T>, Error> {
        let request = self.request(Method::GET, path, None::<&()>)?;
        self.exchange(request).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Identified<T>, Error> {
        let request = self.request(Method::POST, path, Some(message))?;
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
            return Err(self.refusal(connection, response).await);
        }
        let identity = self.identity(response.headers())?;
        let bytes = connection.read_body(response.into_body()).await?;
        let answer = serde_json::from_slice(&bytes).map_err(|e| self.format(e))?;
        Ok(Identified { answer, identity })
    }

    fn format(&self, source: impl Into<FormatError>) -> Error {
        Error::Format {
            address: self.address,
            source: source.into(),
        }
    }

    async fn refusal(&self, connection: &Connection, response: Response<Incoming>) -> Error {
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

    fn request(
        &self,
        method: Method,
        path: &str,
        message: Option<&impl Serialize>,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let body = message.map_or(Ok(Vec::new()), serde_json::to_vec);
        let body = Full::new(Bytes::from(body.map_err(|e| self.format(e))?));
        let request = Request::builder().method(method).uri(path);
        let request = request.header(CONTENT_TYPE, "application/json");
        request.body(body).map_err(|e| self.format(e))
    }

    fn identity(&self, headers: &HeaderMap) -> Result<EngineIdentity, Error> {
        let text = |name| {
            let value = headers.get(name).and_then(|v| v.to_str().ok());
            value.ok_or_else(|| self.format(FormatError::Header { name }))
        };
        let name = engine::INCARNATION_HEADER;
        let number = text(name)?.parse();
        let number = number.map_err(|_| self.format(FormatError::Header { name }))?;
        Ok(EngineIdentity {
            incarnation: Incarnation(number),
            version: text(engine::WEIGHTS_VERSION_HEADER)?.to_owned(),
        })
    }
}

impl Session {
    /// Returns a session that connects when it is first used.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            connection: None,
        }
    }

    /// Reads the changes of the cache after number `after`.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn events(&mut self, after: u64) -> Result<engine::Events, Error> {
        self.get(&format!("{}?after={after}", engine::CACHE_EVENTS_PATH))
            .await
    }

    /// Reads the report of the load.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn load(&mut self) -> Result<engine::Load, Error> {
        self.get(engine::LOAD_PATH).await
    }

    /// Reads the whole cache.
    ///
    /// # Errors
    ///
    /// Returns the error of the exchange.
    pub async fn snapshot(&mut self) -> Result<engine::Snapshot, Error> {
        self.get(engine::CACHE_SNAPSHOT_PATH).await
    }

    async fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, Error> {
        let client = self.client;
        let request = client.request(Method::GET, path, None::<&()>)?;
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
    /// Returns the next item, or `None` where the body is over.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream is cut, falls silent or is not in the format.
    pub async fn next(&mut self) -> Result<Option<Item>, Error> {
        loop {
            if let Some(item) = self.ready.pop_front() {
                return Ok(Some(item));
            }
            let Some(bytes) = self.connection.next_chunk(&mut self.body).await? else {
                return Ok(None);
            };
            self.read(&bytes)?;
        }
    }

    /// Returns the run and the weights that the answer comes from.
    pub fn identity(&self) -> &EngineIdentity {
        &self.identity
    }

    fn read(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let address = self.connection.address();
        let format = |source| Error::Format { address, source };
        let mut items = Vec::new();
        let read = self.decoder.push(bytes, &mut items);
        read.map_err(|e| format(e.into()))?;
        for item in items {
            let item = match item {
                sse::Item::Comment => Item::Heartbeat,
                sse::Item::Data(text) if text == engine::DONE_MARKER => Item::End,
                sse::Item::Data(text) => {
                    let piece = serde_json::from_str(&text);
                    Item::Piece(piece.map_err(|e| format(e.into()))?)
                }
            };
            self.ready.push_back(item);
        }
        Ok(())
    }
}
