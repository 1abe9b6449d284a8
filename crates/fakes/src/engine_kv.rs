//! Transfers of blocks between the fake engine and the KV store.

use hyper::Method;

use crate::engine::Shared;
use crate::http_client::send;
use crate::prefix_cache::BlockKey;
use protocol::block;
use protocol::engine::Code;
use protocol::engine::Transfer;
use protocol::engine::Transferred;
use protocol::kv_store::BLOCKS_PATH;
use protocol::kv_store::StoredBlock;

/// Writes leading blocks of the transfer to the store, up to the first that is not cached.
pub(crate) async fn export(shared: &Shared, transfer: Transfer) -> Result<Transferred, Code> {
    let mut blocks = Vec::new();
    for hash in transfer.blocks {
        let stored = {
            let inner = shared.lock();
            let version = inner.state.version.clone();
            let content = inner.cache.content_hash(hash);
            content.map(|content| StoredBlock { content, version })
        };
        let Some(stored) = stored else { break };
        let body = serde_json::to_vec(&stored).map_err(|_| Code::BadRequest)?;
        let path = format!("{BLOCKS_PATH}{}", block::format(hash));
        match send(transfer.store, Method::PUT, path, body).await {
            Ok((200, _)) => blocks.push(hash),
            _ => return Err(Code::Unavailable),
        }
    }
    Ok(Transferred { blocks })
}

/// Reads leading blocks of the transfer into the cache, up to the first that the store lacks.
pub(crate) async fn import(shared: &Shared, transfer: Transfer) -> Result<Transferred, Code> {
    let mut chain: Vec<BlockKey> = Vec::new();
    for hash in transfer.blocks {
        let path = format!("{BLOCKS_PATH}{}", block::format(hash));
        let stored: StoredBlock = match send(transfer.store, Method::GET, path, Vec::new()).await {
            Err(_) => return Err(Code::Unavailable),
            Ok((200, body)) => serde_json::from_slice(&body).map_err(|_| Code::Unavailable)?,
            Ok(_) => break,
        };
        let mut inner = shared.lock();
        if stored.version != inner.state.version {
            return Err(Code::VersionMismatch);
        }
        let content = stored.content;
        chain.push(BlockKey { content, hash });
        inner.cache.store(&chain);
    }
    let blocks = chain.iter().map(|key| key.hash).collect();
    Ok(Transferred { blocks })
}
