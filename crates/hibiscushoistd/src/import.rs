//! Moves cached blocks to the engine that is about to need them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use coordination::broker::Grant;
use coordination::broker::PlacementRequest;
use protocol::engine;
use state::column::Column;
use state::sheet::Sheet;
use state::table::Table;
use transport::engine::Client;
use transport::metric;
use transport::upstream::Limits;

/// Bounds the time after which the engine computes the blocks itself.
const LIMIT: Duration = Duration::from_millis(2_000);
const LIMITS: Limits = Limits {
    body_limit: 1 << 20,
    connect_timeout: Duration::from_millis(500),
    head_timeout: LIMIT,
    idle_timeout: LIMIT,
};
const STORE: &str = "kv_store";

/// Has the engine at `target` import the blocks that `grant` names, by way of a store where another
/// engine holds them. Without success the engine computes them.
pub async fn run(table: &Table, ask: &PlacementRequest, grant: &Grant, target: SocketAddr) {
    let (Some(import), Some(version)) = (&grant.import, &grant.version) else {
        return;
    };
    let Some(source) = table.get(Sheet::Upstreams, import.source.as_str()) else {
        return;
    };
    let is_store = source.text(Column::Type) == Some(STORE);
    let store = match is_store {
        false => store(table),
        true => source.address(Column::Address),
    };
    let (Some(store), Some(address)) = (store, source.address(Column::Address)) else {
        return;
    };
    let names = ask.blocks.iter().map(|block| block.with_version(version));
    let transfer = engine::Transfer {
        blocks: names.take(import.blocks as usize).collect(),
        salt: ask.workspace.clone(),
        store,
    };
    let moving = async {
        if !is_store {
            Client::new(address, LIMITS).export(&transfer).await?;
        }
        Client::new(target, LIMITS).import(&transfer).await
    };
    let outcome = match timeout(LIMIT, moving).await {
        Err(_) => "late",
        Ok(Err(_)) => "failed",
        Ok(Ok(moved)) if moved.blocks.len() < transfer.blocks.len() => "partial",
        Ok(Ok(_)) => "whole",
    };
    metrics::counter!(metric::IMPORTS, "outcome" => outcome).increment(1);
}

fn store(table: &Table) -> Option<SocketAddr> {
    let rows = table.sheet(Sheet::Upstreams).map(|(_, row)| row);
    let mut stores = rows.filter(|row| row.text(Column::Type) == Some(STORE));
    stores.find_map(|row| row.address(Column::Address))
}
