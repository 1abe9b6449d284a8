//! Routed requests from the caller's connection to the upstream's and back, in one process.

mod standin;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::settings::Settings;
use standin::Manner;
use standin::Upstream;
use transport::log;

/// Bounds every wait of the tests; nothing is measured against it.
const HANG: Duration = Duration::from_secs(30);

struct Bench {
    client: Client<HttpConnector, Full<Bytes>>,
    control: SocketAddr,
    daemon: Daemon,
    first: Upstream,
    readiness: SocketAddr,
    routed: SocketAddr,
    second: Upstream,
}

struct Answer {
    body: Result<Bytes, ()>,
    headers: hyper::HeaderMap,
    status: u16,
}

fn configuration(version: u64, key: &str) -> Value {
    let route = |prefix: &str, kind: &str, attempts: u32, service: &str| {
        json!({
            "name": prefix, "host": "h.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 10_000, "latency_goal_ms": 1_000, "priority": 0, "service": service,
            "max_attempts": attempts, "public": false, "sticky": kind == "streaming",
            "resumable": kind == "streaming", "gap_target_ms": 400,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/read/", "idempotent", 2, "desk"),
            route("/order/", "non_idempotent", 1, "desk"),
            route("/stream/", "streaming", 2, "engines"),
            route("/once/", "streaming", 1, "engines"),
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
        let first = Upstream::start("i-1", service).await;
        let second = Upstream::start("i-2", service).await;
        let list = standin::list(vec![first.clone(), second.clone()]).await;
        let text = format!(
            "[daemon]\nname = a\nfleet = test\nfailure_domain = one\nroles = broker, entry, voter\n\
             data = {}\n[entry]\nlisten = 127.0.0.1:0\naddress_lifetime_ms = 1\n\
             [gateway]\ncallers = 127.0.0.1:0\ncontrol = 127.0.0.1:0\nlist = {list}\n\
             readiness = 127.0.0.1:0\n[peer]\nlisten = 127.0.0.1:0\nkey = {}\n",
            tempfile::tempdir().unwrap().keep().display(),
            "5a".repeat(32),
        );
        let settings = Settings::parse("a.ini", text).expect("the settings are good");
        let daemon = Daemon::start(settings, log::discard()).await;
        let daemon = daemon.expect("the daemon starts");
        let bound = daemon.bound().clone();
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            control: bound.control[0],
            daemon,
            first,
            readiness: bound.readiness.unwrap(),
            routed: bound.callers.unwrap(),
            second,
        }
    }

    /// Starts a host and waits until it serves a table with the key `k1`.
    async fn serving(service: &str) -> Self {
        let bench = Self::start(service).await;
        assert_eq!(bench.replace(&configuration(1, "k1")).await.status, 200);
        bench.ready().await;
        bench
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

    fn both(&self, manner: Manner) {
        self.first.behave(manner);
        self.second.behave(manner);
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

#[tokio::test(flavor = "multi_thread")]
async fn a_long_prompt_goes_where_the_leading_host_assigns_it() {
    let bench = Bench::serving("engines").await;
    let assigned = async || {
        let metrics = Request::get(format!("http://{}/metrics", bench.daemon.address()));
        let metrics = bench.ask(metrics.body(Full::default()).unwrap()).await;
        let text = String::from_utf8(metrics.body.unwrap().to_vec()).unwrap();
        let counter = "hibiscushoist_assignments_total{outcome=\"assigned\"} ";
        let line = text.lines().find_map(|line| line.strip_prefix(counter));
        line.map_or(0, |count| count.parse().unwrap())
    };
    let before: u64 = assigned().await;
    let long = Request::post(format!("http://{}/stream/long", bench.routed))
        .header("host", "h.example")
        .header("x-request-id", "9c41d07be2a35f69")
        .header("x-deadline-ms", "8000")
        .header("x-model-id", "m")
        .header("x-token-usage", "17000,40")
        .header("x-prompt-prefix", "aa:13300,bb:3700")
        .header("authorization", "Bearer k1");
    let answer = bench.ask(long.body(Full::from("body")).unwrap()).await;
    assert_eq!(answer.status, 200);
    assert_eq!(bench.arrivals("/stream/long"), 1);
    assert_eq!(assigned().await, before + 1);
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
    bench.first.behave(Manner::Rejecting);
    for _ in 0..10 {
        let answer = bench.send("/order/x", "k1").await;
        assert_eq!(answer.body.unwrap(), "answer of i-2");
    }
    let ran = bench.second.received();
    assert_eq!(ran.iter().filter(|r| r.path == "/order/x").count(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_all_upstreams_reject_may_come_back() {
    let bench = Bench::serving("desk").await;
    bench.both(Manner::Rejecting);
    let answer = bench.send("/order/x", "k1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_outcome_is_unknown_is_not_sent_again() {
    let bench = Bench::serving("desk").await;
    for manner in [Manner::Cut, Manner::Crossed] {
        let before = bench.arrivals("/order/x");
        bench.both(manner);
        assert_eq!(bench.send("/order/x", "k1").await.status, 502, "{manner:?}");
        assert_eq!(bench.arrivals("/order/x"), before + 1, "{manner:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_broke_off_is_answered_by_the_other_upstream() {
    let bench = Bench::serving("desk").await;
    for manner in [Manner::Cut, Manner::Crossed, Manner::Failing, Manner::Mute] {
        bench.first.behave(manner);
        let answer = bench.send("/read/x", "k1").await;
        assert_eq!(answer.body.unwrap(), "answer of i-2", "{manner:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_failure_of_an_upstream_reaches_the_caller_unchanged() {
    let bench = Bench::serving("desk").await;
    bench.both(Manner::Failing);
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
    bench.both(Manner::Cut);
    let answer = bench.send("/stream/x", "k1").await;
    assert!(answer.body.is_err() || answer.status == 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_goes_on_at_the_other_upstream() {
    let bench = Bench::serving("engines").await;
    for place in 0..6 {
        bench.first.behave(Manner::Cut);
        let answer = bench.send(&format!("/stream/{place}"), "k1").await;
        let whole = standin::events(0, standin::EVENTS);
        assert_eq!(answer.body.expect("the stream ends"), whole);
    }
    let resumed = bench.second.received();
    let resumed = resumed
        .iter()
        .filter(|r| r.headers.contains_key("last-event-id"));
    let after: Vec<_> = resumed
        .map(|r| r.headers["last-event-id"].clone())
        .collect();
    assert!(after.iter().all(|after| after == "2"), "{after:?}");
    let sent = (bench.first.received().len(), bench.second.received().len());
    assert!(!after.is_empty(), "{sent:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_pauses_is_waited_for_where_it_may_not_go_on_elsewhere() {
    let bench = Bench::serving("engines").await;
    bench.both(Manner::Pausing);
    let answer = bench.send("/once/x", "k1").await;
    let whole = standin::events(0, standin::EVENTS);
    assert_eq!(answer.body.expect("the stream ends"), whole);
    assert_eq!(bench.arrivals("/once/x"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_pauses_goes_on_at_another_upstream_that_takes_it() {
    let bench = Bench::serving("engines").await;
    bench.both(Manner::Pausing);
    let answer = bench.send("/stream/x", "k1").await;
    let whole = standin::events(0, standin::EVENTS);
    assert_eq!(answer.body.expect("the stream ends"), whole);
    assert_eq!(bench.arrivals("/stream/x"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_stops_when_the_caller_leaves() {
    let bench = Bench::serving("desk").await;
    bench.both(Manner::Mute);
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
    let outcome = bench.daemon.drain(std::future::pending()).await;
    assert_eq!(outcome, coordination::drain::Outcome::Clean);
}
