//! Routed requests from the caller's connection to the upstream's and back, in one process.

mod fakes;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

use coordination::drain;
use fakes::Behavior;
use fakes::Upstream;
use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::settings::Settings;
use transport::log;

/// Bounds every wait of the tests; nothing is measured against it.
const HANG: Duration = Duration::from_secs(30);
const CALLERS: &str = "callers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n";
const CONTROL: &str = "control = 127.0.0.1:0\n";
const GATEWAY: &str = "[gateway]\n";
const SHORT: &str = "address_lifetime_ms = 1\n";

struct Bench {
    client: Client<HttpConnector, Full<Bytes>>,
    control: SocketAddr,
    daemon: Option<Daemon>,
    first: Upstream,
    leader: Option<Leader>,
    readiness: SocketAddr,
    routed: SocketAddr,
    second: Upstream,
    status: SocketAddr,
}

/// Holds a host with a runtime of its own, all of whose tasks and sockets end when it is dropped.
struct Leader(Option<Runtime>);

impl Leader {
    async fn start(sections: String) -> (Self, Daemon) {
        let runtime = Builder::new_multi_thread().enable_all().build().unwrap();
        let daemon = async move { host("a", "broker, entry, voter", &sections, &[]).await };
        let daemon = runtime.spawn(daemon).await.expect("the daemon starts");
        (Self(Some(runtime)), daemon)
    }
}

impl Drop for Leader {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

struct Answer {
    body: Result<Bytes, ()>,
    headers: hyper::HeaderMap,
    status: u16,
}

/// Starts two upstreams of a service, and returns the address of their list beside them.
async fn upstreams(service: &str) -> (Upstream, Upstream, SocketAddr) {
    let first = Upstream::start("i-1", service).await;
    let second = Upstream::start("i-2", service).await;
    let list = fakes::list(vec![first.clone(), second.clone()]).await;
    (first, second, list)
}

/// Starts a host with some lines of the sections `[entry]` and `[gateway]`.
async fn host(name: &str, roles: &str, sections: &str, seeds: &[SocketAddr]) -> Daemon {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let seeds = match seeds.is_empty() {
        false => format!("seeds = {}\n", seeds.join(", ")),
        true => String::new(),
    };
    let text = format!(
        "[daemon]\nname = {name}\nfleet = test\nfailure_domain = one\nroles = {roles}\n\
         data = {}\n[entry]\nlisten = 127.0.0.1:0\n\
         {sections}[peer]\nlisten = 127.0.0.1:0\nkey = {}\n{seeds}",
        tempfile::tempdir().unwrap().keep().display(),
        "5a".repeat(32),
    );
    let settings = Settings::parse(format!("{name}.ini"), text).expect("the settings are good");
    let daemon = Daemon::start(settings, log::discard()).await;
    daemon.expect("the daemon starts")
}

fn configuration(version: u64, key: &str) -> Value {
    let lasting = |prefix: &str, kind: &str, attempts: u32, service: &str, timeout_ms: u64| {
        json!({
            "name": prefix, "host": "h.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "latency_goal_ms": 1_000, "priority": 0, "service": service,
            "max_attempts": attempts, "public": false, "sticky": kind == "streaming",
            "resumable": kind == "streaming", "gap_target_ms": 400,
        })
    };
    let route = |prefix: &str, kind: &str, attempts: u32, service: &str| {
        lasting(prefix, kind, attempts, service, 10_000)
    };
    json!({
        "version": version,
        "routes": [
            route("/read/", "idempotent", 2, "desk"),
            route("/order/", "non_idempotent", 1, "desk"),
            route("/stream/", "streaming", 2, "engines"),
            route("/once/", "streaming", 1, "engines"),
            lasting("/endless/", "streaming", 1, "engines", 3_600_000),
        ],
        "services": [
            {"name": "desk", "health_path": "/health", "max_conns": 10},
            {"name": "engines", "health_path": "/health", "max_conns": 10, "engine": {}},
        ],
        "limits": {},
        "tenants": [{"name": "w1", "api_keys": [key], "isolated": true}],
    })
}

impl Bench {
    /// Starts a host with every role, two upstreams of one service and their list.
    async fn start(service: &str) -> Self {
        Self::named_for(service, SHORT).await
    }

    /// Starts such a host with a setting for how long callers hold its address.
    async fn named_for(service: &str, lifetime: &str) -> Self {
        let (first, second, list) = upstreams(service).await;
        let sections = format!("{lifetime}{GATEWAY}{CALLERS}{CONTROL}list = {list}\n");
        let daemon = host("a", "broker, entry, voter", &sections, &[]).await;
        Self::of(daemon.bound().control[0], daemon, first, second)
    }

    /// Starts a host that leads and one without a disk that takes callers, and waits until that
    /// one serves a table with the key `k1`.
    async fn serving_beside_a_leader(service: &str) -> Self {
        let (first, second, list) = upstreams(service).await;
        let (runtime, leader) = Leader::start(format!("{GATEWAY}{CONTROL}list = {list}\n")).await;
        let sections = format!("{GATEWAY}{CALLERS}freshness_ms = 3600000\n");
        let daemon = host("b", "entry", &sections, &[leader.peer_address()]).await;
        let bench = Self {
            leader: Some(runtime),
            ..Self::of(leader.bound().control[0], daemon, first, second)
        };
        bench.serve().await;
        bench
    }

    fn of(control: SocketAddr, daemon: Daemon, first: Upstream, second: Upstream) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            control,
            first,
            leader: None,
            readiness: daemon.bound().readiness.unwrap(),
            routed: daemon.bound().callers.unwrap(),
            second,
            status: daemon.address(),
            daemon: Some(daemon),
        }
    }

    /// Starts a host and waits until it serves a table with the key `k1`.
    async fn serving(service: &str) -> Self {
        let bench = Self::start(service).await;
        bench.serve().await;
        bench
    }

    async fn serve(&self) {
        assert_eq!(self.replace(&configuration(1, "k1")).await.status, 200);
        self.ready().await;
    }

    /// Sends a request with a long prompt that others share.
    async fn send_long(&self, path: &str) -> Answer {
        let mut long = self.request(path, "k1");
        let headers = long.headers_mut();
        headers.insert("x-token-usage", HeaderValue::from_static("17000,40"));
        let parts = HeaderValue::from_static("aa:13300,bb:3700");
        headers.insert("x-prompt-prefix", parts);
        self.ask(long).await
    }

    /// Counts the asks for the engine of a long prompt that ended so.
    async fn assignments(&self, outcome: &str) -> u64 {
        let metrics = Request::get(format!("http://{}/metrics", self.status));
        let metrics = self.ask(metrics.body(Full::default()).unwrap()).await;
        let text = String::from_utf8(metrics.body.unwrap().to_vec()).unwrap();
        let counter = format!("hibiscushoist_assignments_total{{outcome=\"{outcome}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&counter));
        line.map_or(0, |count| count.parse().unwrap())
    }

    async fn ready(&self) {
        self.until(async || {
            let request =
                Request::get(format!("http://{}/hibiscushoist/readiness", self.readiness));
            let ready = self.ask(request.body(Full::default()).unwrap()).await;
            let probe = self.send("/stream/probe", "wrong-key").await;
            ready.status == 200 && probe.status == 401 && self.listed().await
        })
        .await;
    }

    /// Returns whether the host has heard of the upstreams; an unlisted service refuses at once.
    async fn listed(&self) -> bool {
        let path = match self.first.received().is_empty() {
            true => "/read/listed",
            false => return true,
        };
        let desk = self.send(path, "k1").await.status == 200;
        desk || self.send("/stream/listed", "k1").await.status == 200
    }

    async fn until(&self, condition: impl AsyncFn() -> bool) {
        let wait = async {
            while !condition().await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(HANG, wait)
            .await
            .expect("it happens in time");
    }

    async fn ask(&self, request: Request<Full<Bytes>>) -> Answer {
        let response = self.client.request(request).await;
        let response = response.expect("the host answers");
        let (head, body) = response.into_parts();
        Answer {
            body: body
                .collect()
                .await
                .map(|body| body.to_bytes())
                .map_err(drop),
            headers: head.headers,
            status: head.status.as_u16(),
        }
    }

    async fn send(&self, path: &str, key: &str) -> Answer {
        self.ask(self.request(path, key)).await
    }

    fn request(&self, path: &str, key: &str) -> Request<Full<Bytes>> {
        let request = Request::post(format!("http://{}{path}", self.routed));
        request
            .header("host", "h.example")
            .header("x-request-id", "9c41d07be2a35f68")
            .header("x-deadline-ms", "8000")
            .header("x-model-id", "m")
            .header("x-token-usage", "100,10")
            .header("x-prompt-prefix", "aa:60,bb:40")
            .header("x-cache-salt", "not-mine")
            .header("authorization", format!("Bearer {key}"))
            .body(Full::from("body"))
            .unwrap()
    }

    async fn control(&self, path: &str, body: String) -> Answer {
        let request = Request::post(format!("http://{}/hibiscushoist/{path}", self.control));
        self.ask(request.body(Full::from(body)).unwrap()).await
    }

    async fn replace(&self, configuration: &Value) -> Answer {
        self.control("config/replace", configuration.to_string())
            .await
    }

    async fn read(&self) -> Answer {
        let path = format!("http://{}/hibiscushoist/config/get", self.control);
        self.ask(Request::get(path).body(Full::default()).unwrap())
            .await
    }

    fn both(&self, behavior: Behavior) {
        self.first.set_behavior(behavior);
        self.second.set_behavior(behavior);
    }

    /// Returns each upstream beside the other one and its name, since requests stay with the one to
    /// which a connection is open.
    fn in_turn(&self) -> [(&Upstream, &Upstream, &str); 2] {
        [
            (&self.first, &self.second, "i-2"),
            (&self.second, &self.first, "i-1"),
        ]
    }

    /// Counts the arrivals at `path`.
    fn arrivals(&self, path: &str) -> usize {
        let received = self
            .first
            .received()
            .into_iter()
            .chain(self.second.received());
        received.filter(|received| received.path == path).count()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_table_is_not_ready_and_denies_nothing() {
    let bench = Bench::start("desk").await;
    assert_eq!(bench.send("/read/x", "k1").await.status, 503);
    let request = Request::get(format!(
        "http://{}/hibiscushoist/readiness",
        bench.readiness
    ));
    let ready = bench.ask(request.body(Full::default()).unwrap()).await;
    assert_eq!(ready.status, 503);
    assert_eq!(bench.read().await.status, 503);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_on_as_it_came_but_for_what_the_system_sets() {
    let bench = Bench::serving("desk").await;
    let answer = bench.send("/read/x?y=1", "k1").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["x-server-stamp"], "stamp");
    let all = bench
        .first
        .received()
        .into_iter()
        .chain(bench.second.received());
    let received = all.filter(|r| r.path == "/read/x").last().unwrap();
    assert_eq!(received.body, "body");
    assert_eq!(received.headers["x-tenant-id"], "w1");
    assert!(!received.headers.contains_key("authorization"));
    assert!(!received.headers.contains_key("x-cache-salt"));
    let left: u64 = received.headers["x-deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 8_000);
}

/// Looks at counters, which all hosts of a process share; no other test of this file may send long
/// prompts.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_prompt_goes_where_the_leading_host_assigns_it_while_there_is_one() {
    let bench = Bench::serving("engines").await;
    let before = bench.assignments("assigned").await;
    assert_eq!(bench.send_long("/stream/long").await.status, 200);
    assert_eq!(bench.arrivals("/stream/long"), 1);
    assert_eq!(bench.assignments("assigned").await, before + 1);

    let mut bench = Bench::serving_beside_a_leader("engines").await;
    assert_eq!(bench.send_long("/stream/long").await.status, 200);
    assert_eq!(bench.assignments("assigned").await, before + 2);
    drop(bench.leader.take());
    for _ in 0..5 {
        assert_eq!(bench.send_long("/stream/alone").await.status, 200);
    }
    assert_eq!(bench.arrivals("/stream/alone"), 5);
    assert_eq!(bench.assignments("assigned").await, before + 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_key_and_an_unknown_path_are_refused() {
    let bench = Bench::serving("desk").await;
    assert_eq!(bench.send("/read/x", "k2").await.status, 401);
    assert_eq!(bench.send("/none/x", "k1").await.status, 404);
    assert_eq!(bench.arrivals("/none/x"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_one_upstream_rejects_runs_at_the_other_once() {
    let bench = Bench::serving("desk").await;
    for (bad, sound, id) in bench.in_turn() {
        bad.set_behavior(Behavior::Rejecting);
        sound.set_behavior(Behavior::Working);
        let path = format!("/order/{id}");
        for _ in 0..10 {
            let answer = bench.send(&path, "k1").await;
            assert_eq!(answer.body.unwrap(), format!("answer of {id}"));
        }
        let ran = sound.received();
        assert_eq!(ran.iter().filter(|r| r.path == path).count(), 10);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_all_upstreams_reject_may_come_back() {
    let bench = Bench::serving("desk").await;
    bench.both(Behavior::Rejecting);
    let answer = bench.send("/order/x", "k1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_outcome_is_unknown_is_not_sent_again() {
    let bench = Bench::serving("desk").await;
    for behavior in [Behavior::Cut, Behavior::Crossed] {
        let before = bench.arrivals("/order/x");
        bench.both(behavior);
        assert_eq!(
            bench.send("/order/x", "k1").await.status,
            502,
            "{behavior:?}"
        );
        assert_eq!(bench.arrivals("/order/x"), before + 1, "{behavior:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_broke_off_is_answered_by_the_other_upstream() {
    let bench = Bench::serving("desk").await;
    for (bad, sound, id) in bench.in_turn() {
        sound.set_behavior(Behavior::Working);
        for behavior in [
            Behavior::Cut,
            Behavior::Crossed,
            Behavior::Failing,
            Behavior::Hanging,
        ] {
            bad.set_behavior(behavior);
            let answer = bench.send("/read/x", "k1").await;
            let expected = format!("answer of {id}");
            assert_eq!(answer.body.unwrap(), expected, "{behavior:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_failure_of_an_upstream_reaches_the_caller_unchanged() {
    let bench = Bench::serving("desk").await;
    bench.both(Behavior::Failing);
    let answer = bench.send("/order/x", "k1").await;
    assert_eq!(
        (answer.status, answer.body.unwrap()),
        (500, Bytes::from("failure"))
    );
    assert_eq!(answer.headers["x-server-stamp"], "stamp");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_does_not_look_complete() {
    let bench = Bench::serving("engines").await;
    bench.both(Behavior::Cut);
    let answer = bench.send("/stream/x", "k1").await;
    assert!(answer.body.is_err() || answer.status == 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_goes_on_at_the_other_upstream() {
    let bench = Bench::serving("engines").await;
    let (first, second) = (&bench.first, &bench.second);
    for (cut, sound, id) in bench.in_turn() {
        cut.set_behavior(Behavior::Cut);
        sound.set_behavior(Behavior::Working);
        for place in 0..6 {
            let answer = bench.send(&format!("/stream/{id}/{place}"), "k1").await;
            let whole = fakes::events(0, fakes::EVENTS);
            assert_eq!(answer.body.expect("the stream ends"), whole);
        }
    }
    let received = first.received().into_iter().chain(second.received());
    let resumed = received.filter(|r| r.headers.contains_key("last-event-id"));
    let after: Vec<_> = resumed
        .map(|r| r.headers["last-event-id"].clone())
        .collect();
    assert!(after.iter().all(|after| after == "2"), "{after:?}");
    let sent = (first.received().len(), second.received().len());
    assert!(!after.is_empty(), "{sent:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_pauses_is_waited_for_where_it_may_not_go_on_elsewhere() {
    let bench = Bench::serving("engines").await;
    bench.both(Behavior::Pausing);
    let answer = bench.send("/once/x", "k1").await;
    let whole = fakes::events(0, fakes::EVENTS);
    assert_eq!(answer.body.expect("the stream ends"), whole);
    assert_eq!(bench.arrivals("/once/x"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_pauses_goes_on_at_another_upstream_that_takes_it() {
    let bench = Bench::serving("engines").await;
    bench.both(Behavior::Pausing);
    let answer = bench.send("/stream/x", "k1").await;
    let whole = fakes::events(0, fakes::EVENTS);
    assert_eq!(answer.body.expect("the stream ends"), whole);
    assert_eq!(bench.arrivals("/stream/x"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_stops_when_the_caller_leaves() {
    let bench = Bench::serving("desk").await;
    bench.both(Behavior::Hanging);
    let leaving = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = leaving.request(bench.request("/order/x", "k1"));
    let gone = tokio::time::timeout(Duration::from_millis(300), request).await;
    assert!(gone.is_err());
    drop(leaving);
    bench
        .until(async || bench.first.dropped() + bench.second.dropped() == 1)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_highest_table_holds_and_reads_back_as_it_was_sent() {
    let bench = Bench::serving("desk").await;
    let newest = configuration(5, "k5");
    assert_eq!(bench.replace(&newest).await.status, 200);
    assert_eq!(bench.replace(&configuration(3, "k3")).await.status, 200);
    assert_eq!(bench.replace(&configuration(5, "other")).await.status, 200);
    let cut = &newest.to_string()[..200];
    assert_eq!(
        bench.control("config/replace", cut.to_owned()).await.status,
        400
    );
    let read = bench.read().await.body.unwrap();
    assert_eq!(serde_json::from_slice::<Value>(&read).unwrap(), newest);
    bench
        .until(async || bench.send("/read/x", "k1").await.status == 401)
        .await;
    assert_eq!(bench.send("/read/x", "k5").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_are_brought_to_the_weights_that_were_named() {
    let bench = Bench::serving("engines").await;
    let named = json!({"model": "m", "version": 2}).to_string();
    assert_eq!(bench.control("version-put", named).await.status, 200);
    bench
        .until(async || !bench.first.orders().is_empty() && !bench.second.orders().is_empty())
        .await;
    for upstream in [&bench.first, &bench.second] {
        let [order] = &upstream.orders()[..] else {
            panic!("{:?}", upstream.orders());
        };
        assert_eq!(
            (&order["version"], &order["expected"]),
            (&json!(2), &json!(0))
        );
        assert_eq!(order["holder"], "a");
    }
    bench
        .until(async || {
            bench.send("/stream/x", "k1").await;
            let all = bench
                .first
                .received()
                .into_iter()
                .chain(bench.second.received());
            all.into_iter().any(|r| {
                r.headers["x-expect-version"] == "2" && r.headers["x-cache-salt"] == "w2-w1"
            })
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_drains_ends_what_it_has_begun() {
    let mut bench = Bench::serving("desk").await;
    let answer = bench.send("/read/x", "k1").await;
    assert_eq!(answer.status, 200);
    let mut daemon = bench.daemon.take().unwrap();
    let outcome = daemon.drain(std::future::pending()).await;
    assert_eq!(outcome, drain::Outcome::Clean);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_drains_begins_no_stream_that_may_outlast_it() {
    let mut bench = Bench::named_for("engines", "address_lifetime_ms = 600000\n").await;
    bench.serve().await;
    let mut daemon = bench.daemon.take().unwrap();
    let endless = async || {
        let mut request = bench.request("/endless/x", "k1");
        let headers = request.headers_mut();
        headers.insert("x-deadline-ms", HeaderValue::from_static("3600000"));
        bench.ask(request).await
    };
    assert_eq!(endless().await.status, 200);
    let (forced, again) = oneshot::channel();
    let drained = tokio::spawn(async move { daemon.drain(async { drop(again.await) }).await });
    bench.until(async || endless().await.status == 503).await;
    let refused = endless().await;
    assert!(refused.headers.contains_key("retry-after"));
    let short = bench.send("/stream/x", "k1").await;
    let whole = fakes::events(0, fakes::EVENTS);
    assert_eq!(short.body.expect("the stream ends"), whole);
    forced.send(()).unwrap();
    assert_eq!(drained.await.unwrap(), drain::Outcome::Forced);
}
