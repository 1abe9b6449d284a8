//! Routed requests through a real daemon to fake upstreams and back, all in one process.

mod routed_upstream;

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

use crate::routed_upstream::Mode;
use crate::routed_upstream::Upstream;
use coordination::drain;
use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::settings::Settings;
use transport::log;

/// Limit of every wait; generous, because no test checks how fast something happens.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const CALLERS: &str = "callers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n";
const CONTROL: &str = "control = 127.0.0.1:0\n";
const GATEWAY: &str = "[gateway]\n";
const SHORT_LIFETIME: &str = "address_lifetime_ms = 1\n";

/// A host under test with two fake upstreams of one service.
struct Setup {
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

/// A host with a runtime of its own, whose tasks and sockets all end when it is dropped.
struct Leader(Option<Runtime>);

impl Leader {
    async fn start(sections: String) -> (Self, Daemon) {
        let runtime = Builder::new_multi_thread().enable_all().build().unwrap();
        let daemon = async move { start_host("a", "broker, entry, voter", &sections, &[]).await };
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

/// Starts two upstreams of a service and their list, and returns them with the list's address.
async fn start_upstreams(service: &str) -> (Upstream, Upstream, SocketAddr) {
    let first = Upstream::start("i-1", service).await;
    let second = Upstream::start("i-2", service).await;
    let list = routed_upstream::start_list(vec![first.clone(), second.clone()]).await;
    (first, second, list)
}

/// Starts a host; `sections` holds lines of the sections `[entry]` and `[gateway]`.
async fn start_host(name: &str, roles: &str, sections: &str, seeds: &[SocketAddr]) -> Daemon {
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
    let timed_route = |prefix: &str, kind: &str, attempts: u32, service: &str, timeout_ms: u64| {
        json!({
            "name": prefix, "host": "h.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "latency_goal_ms": 1_000, "priority": 0, "service": service,
            "max_attempts": attempts, "public": false, "sticky": kind == "streaming",
            "resumable": kind == "streaming", "gap_target_ms": 400,
        })
    };
    let route = |prefix: &str, kind: &str, attempts: u32, service: &str| {
        timed_route(prefix, kind, attempts, service, 10_000)
    };
    json!({
        "version": version,
        "routes": [
            route("/read/", "idempotent", 2, "desk"),
            route("/order/", "non_idempotent", 1, "desk"),
            route("/stream/", "streaming", 2, "engines"),
            route("/once/", "streaming", 1, "engines"),
            timed_route("/endless/", "streaming", 1, "engines", 3_600_000),
        ],
        "services": [
            {"name": "desk", "health_path": "/health", "max_conns": 10},
            {"name": "engines", "health_path": "/health", "max_conns": 10, "engine": {}},
        ],
        "limits": {},
        "tenants": [{"name": "w1", "api_keys": [key], "isolated": true}],
    })
}

impl Setup {
    /// Starts a host with all roles, but no table yet.
    async fn start(service: &str) -> Self {
        Self::with_lifetime(service, SHORT_LIFETIME).await
    }

    /// Starts such a host; `lifetime` sets how long callers keep using its address.
    async fn with_lifetime(service: &str, lifetime: &str) -> Self {
        let (first, second, list) = start_upstreams(service).await;
        let sections = format!("{lifetime}{GATEWAY}{CALLERS}{CONTROL}list = {list}\n");
        let daemon = start_host("a", "broker, entry, voter", &sections, &[]).await;
        Self::new(daemon.bound().control[0], daemon, first, second)
    }

    /// Starts a leader, and as the host under test one without a voter; waits until it is ready.
    async fn start_beside_leader(service: &str) -> Self {
        let (first, second, list) = start_upstreams(service).await;
        let (runtime, leader) = Leader::start(format!("{GATEWAY}{CONTROL}list = {list}\n")).await;
        let sections = format!("{GATEWAY}{CALLERS}freshness_ms = 3600000\n");
        let daemon = start_host("b", "entry", &sections, &[leader.peer_address()]).await;
        let setup = Self {
            leader: Some(runtime),
            ..Self::new(leader.bound().control[0], daemon, first, second)
        };
        setup.apply_table().await;
        setup
    }

    fn new(control: SocketAddr, daemon: Daemon, first: Upstream, second: Upstream) -> Self {
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

    /// Starts a host with all roles and a table with the key `k1`, and waits until it is ready.
    async fn start_ready(service: &str) -> Self {
        let setup = Self::start(service).await;
        setup.apply_table().await;
        setup
    }

    async fn apply_table(&self) {
        assert_eq!(self.replace(&configuration(1, "k1")).await.status, 200);
        self.wait_until_ready().await;
    }

    /// Sends a request with a long prompt, whose first part counts as a shared prefix.
    async fn send_long(&self, path: &str) -> Answer {
        let mut long = self.request(path, "k1");
        let headers = long.headers_mut();
        headers.insert("x-token-usage", HeaderValue::from_static("17000,40"));
        let parts = HeaderValue::from_static("aa:13300,bb:3700");
        headers.insert("x-prompt-prefix", parts);
        self.call(long).await
    }

    /// Returns the counter of calls to the leader for an engine that had this outcome.
    async fn assignments(&self, outcome: &str) -> u64 {
        let metrics = Request::get(format!("http://{}/metrics", self.status));
        let metrics = self.call(metrics.body(Full::default()).unwrap()).await;
        let text = String::from_utf8(metrics.body.unwrap().to_vec()).unwrap();
        let counter = format!("hibiscushoist_assignments_total{{outcome=\"{outcome}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&counter));
        line.map_or(0, |count| count.parse().unwrap())
    }

    async fn wait_until_ready(&self) {
        self.wait_until(async || {
            let request =
                Request::get(format!("http://{}/hibiscushoist/readiness", self.readiness));
            let ready = self.call(request.body(Full::default()).unwrap()).await;
            let probe = self.send("/stream/probe", "wrong-key").await;
            ready.status == 200 && probe.status == 401 && self.listed().await
        })
        .await;
    }

    /// Returns whether the host knows the upstreams; without any, it refuses a request at once.
    async fn listed(&self) -> bool {
        let path = match self.first.received().is_empty() {
            true => "/read/listed",
            false => return true,
        };
        let desk = self.send(path, "k1").await.status == 200;
        desk || self.send("/stream/listed", "k1").await.status == 200
    }

    async fn wait_until(&self, condition: impl AsyncFn() -> bool) {
        let wait = async {
            while !condition().await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WAIT_LIMIT, wait)
            .await
            .expect("the condition holds in time");
    }

    async fn call(&self, request: Request<Full<Bytes>>) -> Answer {
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
        self.call(self.request(path, key)).await
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
        self.call(request.body(Full::from(body)).unwrap()).await
    }

    async fn replace(&self, configuration: &Value) -> Answer {
        self.control("config/replace", configuration.to_string())
            .await
    }

    async fn read(&self) -> Answer {
        let path = format!("http://{}/hibiscushoist/config/get", self.control);
        self.call(Request::get(path).body(Full::default()).unwrap())
            .await
    }

    fn set_both(&self, mode: Mode) {
        self.first.set_mode(mode);
        self.second.set_mode(mode);
    }

    /// Returns both orders of the upstreams, since requests prefer the one with an open connection.
    fn pairs(&self) -> [(&Upstream, &Upstream, &str); 2] {
        [
            (&self.first, &self.second, "i-2"),
            (&self.second, &self.first, "i-1"),
        ]
    }

    /// Returns the number of requests for `path` that arrived at either upstream.
    fn arrivals(&self, path: &str) -> usize {
        let received = self
            .first
            .received()
            .into_iter()
            .chain(self.second.received());
        received.filter(|received| received.path == path).count()
    }
}

/// Without a table, a host must not deny keys or paths that may be valid: 503, not 401 or 404.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_table_is_not_ready_and_answers_503() {
    let setup = Setup::start("desk").await;
    assert_eq!(setup.send("/read/x", "k1").await.status, 503);
    let request = Request::get(format!(
        "http://{}/hibiscushoist/readiness",
        setup.readiness
    ));
    let ready = setup.call(request.body(Full::default()).unwrap()).await;
    assert_eq!(ready.status, 503);
    assert_eq!(setup.read().await.status, 503);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_the_upstream_with_only_the_gateway_headers_changed() {
    let setup = Setup::start_ready("desk").await;
    let answer = setup.send("/read/x?y=1", "k1").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["x-server-stamp"], "stamp");
    let all = setup
        .first
        .received()
        .into_iter()
        .chain(setup.second.received());
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

/// Checks counters that all hosts of the process share: no other test here may send long prompts.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_prompt_is_assigned_by_the_leader_and_placed_locally_without_one() {
    let setup = Setup::start_ready("engines").await;
    let before = setup.assignments("assigned").await;
    assert_eq!(setup.send_long("/stream/long").await.status, 200);
    assert_eq!(setup.arrivals("/stream/long"), 1);
    assert_eq!(setup.assignments("assigned").await, before + 1);

    let mut setup = Setup::start_beside_leader("engines").await;
    assert_eq!(setup.send_long("/stream/long").await.status, 200);
    assert_eq!(setup.assignments("assigned").await, before + 2);
    drop(setup.leader.take());
    for _ in 0..5 {
        assert_eq!(setup.send_long("/stream/alone").await.status, 200);
    }
    assert_eq!(setup.arrivals("/stream/alone"), 5);
    assert_eq!(setup.assignments("assigned").await, before + 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_key_and_an_unknown_path_are_refused() {
    let setup = Setup::start_ready("desk").await;
    assert_eq!(setup.send("/read/x", "k2").await.status, 401);
    assert_eq!(setup.send("/none/x", "k1").await.status, 404);
    assert_eq!(setup.arrivals("/none/x"), 0);
}

/// A rejected request did not run, so even one that is not idempotent is sent to another upstream.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_rejected_by_one_upstream_runs_once_at_the_other() {
    let setup = Setup::start_ready("desk").await;
    for (bad, working, id) in setup.pairs() {
        bad.set_mode(Mode::Rejecting);
        working.set_mode(Mode::Working);
        let path = format!("/order/{id}");
        for _ in 0..10 {
            let answer = setup.send(&path, "k1").await;
            assert_eq!(answer.body.unwrap(), format!("answer of {id}"));
        }
        let ran = working.received();
        assert_eq!(ran.iter().filter(|r| r.path == path).count(), 10);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_rejected_by_all_upstreams_gets_a_retry_after() {
    let setup = Setup::start_ready("desk").await;
    setup.set_both(Mode::Rejecting);
    let answer = setup.send("/order/x", "k1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

/// The upstream may have run the request before the failure; a retry could run it twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_with_an_unknown_outcome_is_not_retried() {
    let setup = Setup::start_ready("desk").await;
    for mode in [Mode::Cut, Mode::Crossed] {
        let before = setup.arrivals("/order/x");
        setup.set_both(mode);
        assert_eq!(setup.send("/order/x", "k1").await.status, 502, "{mode:?}");
        assert_eq!(setup.arrivals("/order/x"), before + 1, "{mode:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_idempotent_request_is_retried_at_the_other_upstream() {
    let setup = Setup::start_ready("desk").await;
    for (bad, working, id) in setup.pairs() {
        working.set_mode(Mode::Working);
        for mode in [Mode::Cut, Mode::Crossed, Mode::Failing, Mode::Hanging] {
            bad.set_mode(mode);
            let answer = setup.send("/read/x", "k1").await;
            let expected = format!("answer of {id}");
            assert_eq!(answer.body.unwrap(), expected, "{mode:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_error_of_an_upstream_reaches_the_caller_unchanged() {
    let setup = Setup::start_ready("desk").await;
    setup.set_both(Mode::Failing);
    let answer = setup.send("/order/x", "k1").await;
    assert_eq!(
        (answer.status, answer.body.unwrap()),
        (500, Bytes::from("failure"))
    );
    assert_eq!(answer.headers["x-server-stamp"], "stamp");
}

/// A caller that sees a regular end would take part of an answer for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_does_not_look_complete() {
    let setup = Setup::start_ready("engines").await;
    setup.set_both(Mode::Cut);
    let answer = setup.send("/stream/x", "k1").await;
    assert!(answer.body.is_err() || answer.status == 502);
}

/// Events must neither be lost nor repeated where one upstream takes over from the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_at_the_other_upstream() {
    let setup = Setup::start_ready("engines").await;
    let (first, second) = (&setup.first, &setup.second);
    for (cut, working, id) in setup.pairs() {
        cut.set_mode(Mode::Cut);
        working.set_mode(Mode::Working);
        for index in 0..6 {
            let answer = setup.send(&format!("/stream/{id}/{index}"), "k1").await;
            let whole = routed_upstream::events(0, routed_upstream::EVENTS);
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

/// A stalled upstream may still answer; breaking off without an alternative would lose the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_that_cannot_be_resumed_is_waited_for() {
    let setup = Setup::start_ready("engines").await;
    setup.set_both(Mode::Stalling);
    let answer = setup.send("/once/x", "k1").await;
    let whole = routed_upstream::events(0, routed_upstream::EVENTS);
    assert_eq!(answer.body.expect("the stream ends"), whole);
    assert_eq!(setup.arrivals("/once/x"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_is_resumed_at_another_upstream() {
    let setup = Setup::start_ready("engines").await;
    setup.set_both(Mode::Stalling);
    let answer = setup.send("/stream/x", "k1").await;
    let whole = routed_upstream::events(0, routed_upstream::EVENTS);
    assert_eq!(answer.body.expect("the stream ends"), whole);
    assert_eq!(setup.arrivals("/stream/x"), 2);
}

/// Otherwise upstreams would go on computing answers that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_cancelled_at_the_upstream_when_the_caller_disconnects() {
    let setup = Setup::start_ready("desk").await;
    setup.set_both(Mode::Hanging);
    let leaving = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = leaving.request(setup.request("/order/x", "k1"));
    let timed_out = tokio::time::timeout(Duration::from_millis(300), request).await;
    assert!(timed_out.is_err());
    drop(leaving);
    setup
        .wait_until(async || setup.first.cancelled() + setup.second.cancelled() == 1)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_highest_table_version_wins_and_reads_back_as_sent() {
    let setup = Setup::start_ready("desk").await;
    let newest = configuration(5, "k5");
    assert_eq!(setup.replace(&newest).await.status, 200);
    assert_eq!(setup.replace(&configuration(3, "k3")).await.status, 200);
    assert_eq!(setup.replace(&configuration(5, "other")).await.status, 200);
    let cut = &newest.to_string()[..200];
    assert_eq!(
        setup.control("config/replace", cut.to_owned()).await.status,
        400
    );
    let read = setup.read().await.body.unwrap();
    assert_eq!(serde_json::from_slice::<Value>(&read).unwrap(), newest);
    setup
        .wait_until(async || setup.send("/read/x", "k1").await.status == 401)
        .await;
    assert_eq!(setup.send("/read/x", "k5").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_reload_to_the_newest_weights_version() {
    let setup = Setup::start_ready("engines").await;
    let named = json!({"model": "m", "version": 2}).to_string();
    assert_eq!(setup.control("version-put", named).await.status, 200);
    setup
        .wait_until(async || !setup.first.orders().is_empty() && !setup.second.orders().is_empty())
        .await;
    for upstream in [&setup.first, &setup.second] {
        let [order] = &upstream.orders()[..] else {
            panic!("{:?}", upstream.orders());
        };
        assert_eq!(
            (&order["version"], &order["expected"]),
            (&json!(2), &json!(0))
        );
        assert_eq!(order["holder"], "a");
    }
    setup
        .wait_until(async || {
            setup.send("/stream/x", "k1").await;
            let all = setup
                .first
                .received()
                .into_iter()
                .chain(setup.second.received());
            all.into_iter().any(|r| {
                r.headers["x-expect-version"] == "2" && r.headers["x-cache-salt"] == "w2-w1"
            })
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_requests_in_flight_drains_cleanly() {
    let mut setup = Setup::start_ready("desk").await;
    let answer = setup.send("/read/x", "k1").await;
    assert_eq!(answer.status, 200);
    let mut daemon = setup.daemon.take().unwrap();
    let outcome = daemon.drain(std::future::pending()).await;
    assert_eq!(outcome, drain::Outcome::Clean);
}

/// Long streams that begin during a drain would keep the host from ending, or be cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_host_refuses_streams_that_could_outlast_it() {
    let mut setup = Setup::with_lifetime("engines", "address_lifetime_ms = 600000\n").await;
    setup.apply_table().await;
    let mut daemon = setup.daemon.take().unwrap();
    let endless = async || {
        let mut request = setup.request("/endless/x", "k1");
        let headers = request.headers_mut();
        headers.insert("x-deadline-ms", HeaderValue::from_static("3600000"));
        setup.call(request).await
    };
    assert_eq!(endless().await.status, 200);
    let (force, force_requested) = oneshot::channel();
    let drained =
        tokio::spawn(async move { daemon.drain(async { drop(force_requested.await) }).await });
    setup
        .wait_until(async || endless().await.status == 503)
        .await;
    let refused = endless().await;
    assert!(refused.headers.contains_key("retry-after"));
    let short = setup.send("/stream/x", "k1").await;
    let whole = routed_upstream::events(0, routed_upstream::EVENTS);
    assert_eq!(short.body.expect("the stream ends"), whole);
    force.send(()).unwrap();
    assert_eq!(drained.await.unwrap(), drain::Outcome::Forced);
}
