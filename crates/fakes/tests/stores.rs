//! Checks the contracts of the fake stores and of the platform's host list, with their faults.

mod common;

use common::PROMPT;
use common::limits;
use common::load_order;
use common::read_answer;
use common::refusal_code;
use common::request;
use common::start_engine;
use tokio::time::Duration;

use fakes::kv_store::KvStore;
use fakes::platform::Platform;
use fakes::weight_store::WeightStore;
use protocol::engine;
use protocol::engine::Code;
use protocol::platform;

#[tokio::test]
async fn exported_blocks_save_prefill_on_an_engine_with_the_same_weights() {
    let store = KvStore::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let (_first, source) = start_engine(|_| {}).await;
    let (second, target) = start_engine(|_| {}).await;
    let request = request("w", PROMPT);
    read_answer(&source, &request).await;
    let transfer = engine::Transfer {
        blocks: request.cache.blocks.clone(),
        salt: "w".to_owned(),
        store: store.address(),
    };
    let moved = engine::Transferred {
        blocks: transfer.blocks.clone(),
    };
    assert_eq!(source.export(&transfer).await.unwrap(), moved);
    assert_eq!(target.import(&transfer).await.unwrap(), moved);
    read_answer(&target, &request).await;
    assert_eq!(second.counts().prefilled_blocks, 0);
}

#[tokio::test]
async fn transfers_report_another_version_a_lost_block_and_a_stopped_store() {
    let store = KvStore::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let (_first, source) = start_engine(|_| {}).await;
    let request = request("w", PROMPT);
    read_answer(&source, &request).await;
    let blocks = request.cache.blocks.clone();
    let transfer = engine::Transfer {
        blocks: blocks.clone(),
        salt: "w".to_owned(),
        store: store.address(),
    };
    source.export(&transfer).await.unwrap();
    let (_other, other) = start_engine(|o| o.version = "v2".to_owned()).await;
    assert_eq!(
        refusal_code(other.import(&transfer).await),
        Code::VersionMismatch
    );
    store.evict(blocks[1]);
    let (_second, target) = start_engine(|_| {}).await;
    let moved = target.import(&transfer).await.unwrap();
    assert_eq!(moved.blocks, blocks[..1]);
    store.stop();
    while tokio::net::TcpStream::connect(store.address())
        .await
        .is_ok()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        refusal_code(target.import(&transfer).await),
        Code::Unavailable
    );
    assert_eq!(
        refusal_code(source.export(&transfer).await),
        Code::Unavailable
    );
}

/// Guards against a leak between workspaces: the second caller sends the hashes of imported blocks
/// with another salt.
#[tokio::test]
async fn an_imported_block_is_not_shared_with_another_workspace() {
    let store = KvStore::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let (engine, client) = start_engine(|_| {}).await;
    let own = request("w", PROMPT);
    read_answer(&client, &own).await;
    let transfer = engine::Transfer {
        blocks: own.cache.blocks.clone(),
        salt: "w".to_owned(),
        store: store.address(),
    };
    client.export(&transfer).await.unwrap();
    client.import(&transfer).await.unwrap();
    let mut other_workspace = own.clone();
    other_workspace.cache.salt = "x".to_owned();
    read_answer(&client, &other_workspace).await;
    assert_eq!(engine.counts().prefilled_blocks, 4);
}

/// An engine that kept the failed load pending would refuse requests and orders from then on.
#[tokio::test]
async fn a_failed_load_leaves_the_old_weights_in_service() {
    let time = Duration::from_millis(20);
    let weights = WeightStore::start(([127, 0, 0, 1], 0).into(), time, 2)
        .await
        .unwrap();
    let address = weights.address();
    let (_engine, client) = start_engine(|o| o.weight_store = Some(address)).await;
    assert_eq!(
        client.order(&load_order(1, "v2")).await.unwrap().version,
        "v2"
    );
    assert_eq!(weights.max_concurrent_loads(), 1);
    weights.stop();
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        refusal_code(client.order(&load_order(2, "v3")).await),
        Code::Unavailable
    );
    let state = client.state().await.unwrap();
    assert_eq!((state.version.as_str(), state.loading), ("v2", None));
}

#[tokio::test]
async fn the_host_list_shows_a_change_after_the_lag_as_a_new_edition() {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let host = [127, 0, 0, 9].into();
    let fetch_list = || transport::platform::fetch_hosts(platform.address(), limits());
    platform.set_host(host, Some(platform::Standing::Live));
    assert_eq!(fetch_list().await.unwrap().edition, 1);
    platform.set_lag(Duration::from_secs(60));
    platform.set_host(host, Some(platform::Standing::Leaving));
    let late = fetch_list().await.unwrap();
    assert_eq!(
        (late.edition, late.standing(host)),
        (1, Some(platform::Standing::Live))
    );
    platform.set_lag(Duration::ZERO);
    let now = fetch_list().await.unwrap();
    assert_eq!(
        (now.edition, now.standing(host)),
        (2, Some(platform::Standing::Leaving))
    );
}
