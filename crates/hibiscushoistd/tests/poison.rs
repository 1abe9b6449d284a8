//! Checks that a request which crashes upstreams is held back and others are not.

mod support;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time::timeout;

use fakes::engine::Engine;
use fakes::engine::Options;
use support::Bench;
use support::MAPS_KEY;
use support::OPERATOR_KEY;
use support::Response;
use support::Test;

const OUTER_LIMIT: Duration = Duration::from_secs(60);
const PATH: &str = "/v1/completions";

async fn bench(engines: usize) -> Bench {
    let add = |test: Test, _| test.engine(Options::default());
    let bench = (0..engines).fold(Test::new(), add).start().await;
    for engine in &bench.engines {
        engine.update_faults(|f| f.poison = Some("poison".to_owned()));
    }
    bench
}

fn ask(prompt: &str) -> Value {
    json!({"max_tokens": 8, "model": "m", "prompt": prompt, "stream": true})
}

async fn post(bench: &Bench, prompt: &str) -> Response {
    let body = ask(prompt);
    let answer = bench.post(PATH, MAPS_KEY, &[], &body);
    timeout(OUTER_LIMIT, answer).await.expect("the answer ends")
}

/// Sends a request again while the host holds that no engine is back from the crashes before, which
/// it must refuse as not run.
async fn served(bench: &Bench, prompt: &str) -> Response {
    loop {
        let response = post(bench, prompt).await;
        let error = &response.json()["error"];
        if error["reason"] != "no_upstream" {
            return response;
        }
        assert_eq!(error["not_run"], "true");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn crashes(bench: &Bench) -> u64 {
    bench.engines.iter().map(|e| e.counts().crashes).sum()
}

#[tokio::test]
async fn a_request_that_crashes_upstreams_is_held_back_after_the_second() {
    let bench = bench(4).await;
    let response = post(&bench, "poison").await;
    assert_eq!(response.json()["error"]["reason"], "quarantined");
    assert_eq!(response.json()["error"]["not_run"], "unknown");
    assert_eq!(crashes(&bench), 2);
    for _ in 0..8 {
        let again = post(&bench, "poison").await;
        assert_eq!(again.status, 422);
        assert_eq!(again.json()["error"]["not_run"], "true");
        assert!(again.headers.contains_key("retry-after"));
    }
    assert_eq!(crashes(&bench), 2);
}

#[tokio::test]
async fn many_copies_at_once_take_down_at_most_two_upstreams() {
    let bench = bench(6).await;
    let copies = (0..16).map(|_| post(&bench, "poison"));
    for response in futures::future::join_all(copies).await {
        assert!(response.status >= 400, "{:?}", response.body);
    }
    assert!(crashes(&bench) <= 2, "{} crashes", crashes(&bench));
}

#[tokio::test]
async fn neighbours_in_flight_on_a_crashed_upstream_are_answered() {
    let bench = bench(3).await;
    let neighbours = (0..12).map(|i| {
        let bench = &bench;
        async move {
            let prompt = format!("cove {i}");
            let response = post(bench, &prompt).await;
            let whole = bench.engines[0].text(&prompt, 0, 8);
            assert_eq!(response.streamed(), (whole, true));
        }
    });
    let neighbours = futures::future::join_all(neighbours);
    let (poison, _) = tokio::join!(post(&bench, "poison"), neighbours);
    assert_eq!(poison.json()["error"]["reason"], "quarantined");
    assert!(crashes(&bench) <= 2, "{} crashes", crashes(&bench));
}

/// Holds a fleet of hosts that share the same engines, each host on a runtime of its own.
struct Fleet {
    engines: Vec<Engine>,
    hosts: Vec<(Bench, Runtime)>,
}

impl Fleet {
    async fn start(hosts: usize, engines: usize) -> Self {
        let mut fleet = Self {
            engines: Vec::new(),
            hosts: Vec::new(),
        };
        for _ in 0..engines {
            let engine = Engine::start(Options::default()).await.unwrap();
            engine.update_faults(|f| f.poison = Some("poison".to_owned()));
            fleet.engines.push(engine);
        }
        for i in 0..hosts {
            fleet.join(i).await;
        }
        for (bench, _) in &fleet.hosts {
            let met = met(bench, hosts);
            timeout(OUTER_LIMIT, met).await.expect("the hosts meet");
        }
        fleet
    }

    async fn join(&mut self, number: usize) {
        let seeds = self.hosts.iter().map(|(b, _)| b.daemon.peer_address());
        let seeds: Vec<_> = seeds.collect();
        let test = Test::new().host(&format!("h{number}"), &seeds);
        let add = |test: Test, engine: &Engine| test.upstream(engine.address());
        let test = self.engines.iter().fold(test, add);
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let bench = runtime.spawn(test.start()).await.unwrap();
        self.hosts.push((bench, runtime));
    }

    /// Waits until every engine takes connections again.
    async fn back(&self) {
        for engine in &self.engines {
            while TcpStream::connect(engine.address()).await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }

    fn crashes(&self) -> u64 {
        self.engines.iter().map(|e| e.counts().crashes).sum()
    }

    /// Ends the last host at once.
    fn kill(&mut self) {
        if let Some((_, runtime)) = self.hosts.pop() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        while !self.hosts.is_empty() {
            self.kill();
        }
    }
}

async fn met(bench: &Bench, hosts: usize) {
    loop {
        let status = bench.get("/admin/status", OPERATOR_KEY).await.json();
        let listed = status["hosts"].as_array().expect("a list").len();
        if listed >= hosts {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_request_resent_through_all_hosts_takes_down_at_most_two_upstreams() {
    let fleet = Fleet::start(8, 9).await;
    for _ in 0..3 {
        let all = fleet.hosts.iter().map(|(bench, _)| post(bench, "poison"));
        for response in futures::future::join_all(all).await {
            assert!(response.status >= 400, "{:?}", response.body);
        }
    }
    let crashes = fleet.crashes();
    assert!((1..=2).contains(&crashes), "{crashes} crashes");
    let whole = fleet.engines[0].text("cove", 0, 8);
    for (bench, _) in &fleet.hosts {
        assert_eq!(post(bench, "cove").await.streamed(), (whole.clone(), true));
    }
}

#[tokio::test]
async fn the_hosts_that_are_left_know_the_crashes_when_owners_are_killed() {
    const PROMPTS: u64 = 6;
    let mut fleet = Fleet::start(3, 4).await;
    let prompts: Vec<_> = (0..PROMPTS).map(|i| format!("poison {i}")).collect();
    for prompt in &prompts {
        fleet.back().await;
        let first = served(&fleet.hosts[0].0, prompt).await;
        assert_eq!(first.json()["error"]["reason"], "quarantined");
    }
    for _ in 0..2 {
        fleet.kill();
        for (bench, prompt) in fleet
            .hosts
            .iter()
            .flat_map(|h| prompts.iter().map(|p| (&h.0, p)))
        {
            let again = post(bench, prompt).await;
            assert_eq!(again.json()["error"]["reason"], "quarantined");
        }
    }
    assert_eq!(fleet.crashes(), 2 * PROMPTS);
}
