//! Checks that cached blocks move to the engine that a request is sent to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coordination::broker::Grant;
use coordination::broker::PlacementId;
use coordination::broker::PlacementRequest;
use coordination::grant::Import;
use fakes::engine::Engine;
use fakes::engine::Options;
use fakes::kv_store::KvStore;
use hibiscushoistd::import;
use protocol::engine;
use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::ident::BlockHash;
use state::rank::Rank;
use state::row;
use state::sheet::Sheet;
use state::table::Table;
use transport::engine::Client;
use transport::upstream::Limits;

const PROMPT: &str = "0123456789abcdef0123456789ABCDEF";

struct Bench {
    ask: PlacementRequest,
    source: Engine,
    store: KvStore,
    table: Table,
    target: Engine,
}

fn add(table: &mut Table, name: &str, kind: &str, address: SocketAddr) {
    let cells = BTreeMap::from([
        (Column::Address, address.to_string()),
        (Column::Type, kind.to_owned()),
    ]);
    let edit = Edit {
        action: Action::Add(cells),
        author: "test".to_owned(),
        if_revision: 0,
        key: name.to_owned(),
        name: row::Name {
            row: name.to_owned(),
            sheet: Sheet::Upstreams,
        },
    };
    table.apply(&edit).unwrap();
}

impl Bench {
    async fn start() -> Self {
        let options = Options {
            block_bytes: 16,
            ..Options::default()
        };
        let source = Engine::start(options.clone()).await.unwrap();
        let target = Engine::start(options).await.unwrap();
        let store = KvStore::start(([127, 0, 0, 1], 0).into()).await.unwrap();
        let mut table = Table::default();
        add(&mut table, "s", "engine", source.address());
        add(&mut table, "k", "kv_store", store.address());
        let ask = PlacementRequest {
            blocks: BlockHash::root("w", "m", "").chain(PROMPT.as_bytes(), 16),
            workspace: "w".to_owned(),
            ..PlacementRequest::default()
        };
        let bench = Self {
            ask,
            source,
            store,
            table,
            target,
        };
        bench.complete(&bench.source).await;
        bench
    }

    async fn complete(&self, engine: &Engine) {
        let blocks = self.ask.blocks.iter().map(|block| block.with_version("v1"));
        let request = engine::Request {
            cache: engine::Cache {
                block_bytes: 16,
                blocks: blocks.collect(),
                salt: "w".to_owned(),
            },
            id: "a".to_owned(),
            max_tokens: 1,
            model: "m".to_owned(),
            priority: 0,
            prompt: PROMPT.to_owned(),
            resume: None,
            rest: serde_json::Map::new(),
        };
        let client = Client::new(engine.address(), Limits::default());
        let mut stream = client.complete(&request, None).await.unwrap();
        while stream.next().await.unwrap().is_some() {}
    }

    async fn import(&self, source: &str) {
        let grant = Grant {
            expected_us: 0,
            import: Some(Import {
                blocks: 2,
                source: source.to_owned(),
            }),
            incarnation: None,
            priority: Rank::Urgent,
            resident_blocks: 0,
            scores: Vec::new(),
            placement_id: PlacementId::default(),
            upstream: "t".to_owned(),
            version: Some("v1".to_owned()),
            waited_ms: 0,
        };
        import::run(&self.table, &self.ask, &grant, self.target.address()).await;
    }
}

#[tokio::test]
async fn blocks_of_another_engine_come_by_way_of_the_store() {
    let bench = Bench::start().await;
    bench.import("s").await;
    bench.complete(&bench.target).await;
    assert_eq!(bench.target.counts().prefilled_blocks, 0);
}

#[tokio::test]
async fn blocks_of_the_store_come_from_there() {
    let bench = Bench::start().await;
    let blocks = bench
        .ask
        .blocks
        .iter()
        .map(|block| block.with_version("v1"));
    let transfer = engine::Transfer {
        blocks: blocks.collect(),
        salt: "w".to_owned(),
        store: bench.store.address(),
    };
    let source = Client::new(bench.source.address(), Limits::default());
    source.export(&transfer).await.unwrap();
    bench.source.crash();
    bench.import("k").await;
    bench.complete(&bench.target).await;
    assert_eq!(bench.target.counts().prefilled_blocks, 0);
}

#[tokio::test]
async fn without_the_store_the_engine_computes_the_blocks() {
    let bench = Bench::start().await;
    bench.store.stop();
    bench.import("s").await;
    bench.complete(&bench.target).await;
    assert_eq!(bench.target.counts().prefilled_blocks, 2);
}
