//! A fake KV store, which keeps KV-cache blocks outside the engines.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::server;
use crate::server::Body;
use crate::server::Disconnect;
use crate::server::Server;
use crate::server::lock;
use protocol::block;
use protocol::kv_store::BLOCKS_PATH;
use protocol::kv_store::StoredBlock;
use state::ident::BlockHash;

type Blocks = Mutex<BTreeMap<BlockHash, StoredBlock>>;

/// A fake KV store that serves until it is dropped.
pub struct KvStore {
    blocks: Arc<Blocks>,
    server: Server,
}

impl KvStore {
    /// Starts an empty store on `address`; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let blocks = Arc::new(Blocks::default());
        let weak = Arc::downgrade(&blocks);
        let respond = Arc::new(move |request| respond(Weak::clone(&weak), request).boxed());
        let server = Server::start(address, respond).await?;
        Ok(Self { blocks, server })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Removes a block, as a store does that runs out of space.
    pub fn evict(&self, hash: BlockHash) {
        lock(&self.blocks).remove(&hash);
    }

    /// Returns the hashes of the stored blocks.
    pub fn block_hashes(&self) -> Vec<BlockHash> {
        lock(&self.blocks).keys().copied().collect()
    }

    /// Closes the listener and every connection at once; new connections are refused.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn respond(
    blocks: Weak<Blocks>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Disconnect> {
    let blocks = blocks.upgrade().ok_or(Disconnect)?;
    let hash = request.uri().path().strip_prefix(BLOCKS_PATH);
    let Some(hash) = hash.and_then(block::parse) else {
        return Ok(server::json(404, &"no such path"));
    };
    if request.method() == Method::PUT {
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(|_| Disconnect)?;
        let stored = serde_json::from_slice(&body.to_bytes()).map_err(|_| Disconnect)?;
        lock(&blocks).insert(hash, stored);
        return Ok(server::json(200, &()));
    }
    match lock(&blocks).get(&hash) {
        None => Ok(server::json(404, &"no such block")),
        Some(stored) => Ok(server::json(200, stored)),
    }
}
