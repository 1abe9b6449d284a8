//! Tests of brokers that place requests for the entries of a fleet.

mod processes;

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use processes::Fleet;
use processes::WORKSPACE_KEY;
use serde_json::json;

use fakes::engine;
use fakes::engine::Engine;
use hibiscushoistd::auth;

const BLOCK: usize = 64;
const ENGINES: usize = 3;
const HOSTS: usize = 8;
const POLL: Duration = Duration::from_millis(20);

struct Bench {
    engines: Vec<Engine>,
    fleet: Fleet,
}

impl Bench {
    async fn start() -> Self {
        let bench = Self::without_upstreams().await;
        bench.add(0..ENGINES).await;
        bench
    }

    async fn without_upstreams() -> Self {
        let fleet = Fleet::start(HOSTS).await;
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            let started = Engine::start(engine::Options::default()).await;
            engines.push(started.unwrap());
        }
        let key = json!({"key_hash": auth::hash(WORKSPACE_KEY)});
        fleet.add("workspaces", "maps", key).await;
        let model = json!({"block_bytes": BLOCK.to_string(), "version": "v1"});
        fleet.add("models", "m", model).await;
        Self { engines, fleet }
    }

    /// Adds engines to the table and waits until each host has it.
    async fn add(&self, places: Range<usize>) {
        for place in places {
            let address = self.engines[place].address().to_string();
            let cells = json!({"address": address, "model": "m", "type": "engine"});
            let row = format!("u{place}");
            self.fleet.add("upstreams", &row, cells).await;
        }
        self.fleet.until_spread().await;
    }

    /// Sends a prompt to an entry and returns the place of the engine that ran it.
    async fn run(&self, entry: SocketAddr, prompt: &str) -> Option<usize> {
        let before = self.started();
        let body = json!({"max_tokens": 2, "model": "m", "prompt": prompt});
        let request = Request::post(format!("http://{entry}/v1/completions"))
            .header("authorization", format!("Bearer {WORKSPACE_KEY}"))
            .header("x-deadline-ms", "30000")
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap();
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        assert_eq!(status, 200, "{body:?}");
        let after = self.started();
        (0..after.len()).find(|place| after[*place] > before[*place])
    }

    fn started(&self) -> Vec<u64> {
        let engines = self.engines.iter();
        engines
            .map(|engine| engine.counts().started_prompts)
            .collect()
    }

    fn prefilled(&self) -> u64 {
        let engines = self.engines.iter();
        engines.map(|engine| engine.counts().prefilled_blocks).sum()
    }

    /// Waits until exactly one host follows the engines, and returns its place.
    async fn owner(&self) -> usize {
        let start = Instant::now();
        loop {
            let mut owners = Vec::new();
            for place in self.fleet.running() {
                let metrics = self.fleet.text(place, "/metrics", "").await;
                let owned = metrics.unwrap_or_default();
                if owned
                    .lines()
                    .any(|line| line == format!("hibiscushoist_owned_upstreams {ENGINES}"))
                {
                    owners.push(place);
                }
            }
            if let [owner] = owners[..] {
                return owner;
            }
            assert!(start.elapsed() < processes::LIMIT, "owners: {owners:?}");
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until a host asks `owner` for places on every engine.
    async fn until_asked_by(&self, place: usize, owner: usize) {
        let owner = &self.fleet.hosts[owner].name;
        let start = Instant::now();
        loop {
            let status = self.fleet.get(place, "/admin/status").await;
            let upstreams = status.unwrap_or_default()["upstreams"].clone();
            let upstreams = upstreams.as_array().cloned().unwrap_or_default();
            let owned = upstreams.iter().filter(|u| u["owner"] == **owner);
            if owned.count() == ENGINES {
                return;
            }
            assert!(start.elapsed() < processes::LIMIT, "{upstreams:?}");
            tokio::time::sleep(POLL).await;
        }
    }
}

fn prompt(blocks: usize) -> String {
    let numbered = |number| format!("{number:>width$}", width = BLOCK);
    (0..blocks).map(numbered).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_nested_prefix_sticks_to_the_upstream_that_holds_it_whatever_the_entry() {
    let bench = Bench::start().await;
    bench.owner().await;
    let first = bench.run(bench.fleet.hosts[0].entry, &prompt(8)).await;
    let computed = bench.prefilled();
    for (blocks, host) in [(6, 1), (8, 2), (10, 1), (12, 0), (12, 2)] {
        let entry = bench.fleet.hosts[host].entry;
        assert_eq!(bench.run(entry, &prompt(blocks)).await, first);
    }
    assert_eq!(bench.prefilled() - computed, 4, "blocks beyond those held");
}

// Guards against prompts whose blocks no engine keeps, since their placement names no weights.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_placed_without_its_owner_is_kept_by_the_engine() {
    let mut bench = Bench::start().await;
    let owner = bench.owner().await;
    let entry = (0..HOSTS).find(|place| *place != owner).unwrap();
    bench.fleet.kill(owner);
    let before = bench.prefilled();
    let address = bench.fleet.hosts[entry].entry;
    assert!(bench.run(address, &prompt(8)).await.is_some());
    let log = bench.fleet.log(entry);
    assert!(log.contains("owner_away"), "{log}");
    assert_eq!(bench.prefilled() - before, 8, "blocks kept");
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_serve_on_while_the_owner_is_away_and_another_takes_over() {
    let mut bench = Bench::without_upstreams().await;
    // With one engine at first, a choice made without knowing the caches would fall elsewhere.
    bench.add(0..1).await;
    let entry = bench.fleet.hosts[0].entry;
    assert_eq!(bench.run(entry, &prompt(8)).await, Some(0));
    bench.add(1..ENGINES).await;
    let owner = bench.owner().await;
    let others = (0..HOSTS).filter(|place| *place != owner);
    let entries: Vec<usize> = others.take(2).collect();
    bench.fleet.kill(owner);
    for place in &entries {
        let entry = bench.fleet.hosts[*place].entry;
        assert!(bench.run(entry, &prompt(3)).await.is_some());
    }
    let logs: String = entries
        .iter()
        .map(|place| bench.fleet.log(*place))
        .collect();
    assert!(logs.contains("owner_away"), "{logs}");
    let owner = bench.owner().await;
    bench.until_asked_by(entries[1], owner).await;
    let computed = bench.prefilled();
    let entry = bench.fleet.hosts[entries[1]].entry;
    assert_eq!(bench.run(entry, &prompt(8)).await, Some(0));
    assert_eq!(bench.prefilled(), computed, "no block is computed again");
}
