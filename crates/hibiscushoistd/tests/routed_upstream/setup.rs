//! A host under test in front of two fake upstreams of one service.

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
use slog::Logger;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use super::Mode;
use super::Upstream;
use super::raw;
use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::settings::Settings;
use transport::log;

/// Limit of every wait; generous, because no test checks how fast something happens.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const CALLERS: &str = "callers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n";
const CONTROL: &str = "control = 127.0.0.1:0\n";
const GATEWAY: &str = "[gateway]\n";
pub const SHORT_LIFETIME: &str = "address_lifetime_ms = 1\n";

/// A host under test with two fake upstreams of one service.
pub struct Setup {
    pub client: Client<HttpConnector, Full<Bytes>>,
    pub control: SocketAddr,
    pub daemon: Option<Daemon>,
    pub first: Upstream,
    pub leader: Option<Leader>,
    /// Address at which other daemons reach the first one.
    pub peer: SocketAddr,
    pub readiness: SocketAddr,
    pub routed: SocketAddr,
    pub second: Upstream,
    pub status: SocketAddr,
}

/// A host with a runtime of its own, whose tasks and sockets all end when it is dropped.
pub struct Leader(Option<Runtime>);

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

pub struct Answer {
    pub body: Result<Bytes, ()>,
    pub headers: hyper::HeaderMap,
    pub status: u16,
}

/// Starts two upstreams of a service and their list, and returns them with the list's address.
async fn start_upstreams(service: &str) -> (Upstream, Upstream, SocketAddr) {
    let first = Upstream::start("i-1", service).await;
    let second = Upstream::start("i-2", service).await;
    let list = super::start_list(vec![first.clone(), second.clone()]).await;
    (first, second, list)
}

/// Starts a host; `sections` holds lines of the sections `[entry]` and `[gateway]`.
async fn start_host(name: &str, roles: &str, sections: &str, seeds: &[SocketAddr]) -> Daemon {
    start_logged_host(name, roles, sections, seeds, log::discard()).await
}

/// Starts a host with this logger.
async fn start_logged_host(
    name: &str,
    roles: &str,
    sections: &str,
    seeds: &[SocketAddr],
    log: Logger,
) -> Daemon {
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
    let daemon = Daemon::start(settings, log).await;
    daemon.expect("the daemon starts")
}

/// Returns a table with the key `key` and one route of each kind.
pub fn configuration(version: u64, key: &str) -> Value {
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
    let mut unresumable = route("/unresumable/", "streaming", 1, "engines");
    unresumable["resumable"] = json!(false);
    json!({
        "version": version,
        "routes": [
            route("/read/", "idempotent", 2, "desk"),
            route("/order/", "non_idempotent", 1, "desk"),
            route("/stream/", "streaming", 2, "engines"),
            route("/once/", "streaming", 1, "engines"),
            unresumable,
            timed_route("/endless/", "streaming", 1, "engines", 3_600_000),
            timed_route("/long-order/", "non_idempotent", 1, "desk", 3_600_000),
            timed_route("/long-read/", "idempotent", 2, "desk", 3_600_000),
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
    pub async fn start(service: &str) -> Self {
        Self::with_lifetime(service, SHORT_LIFETIME).await
    }

    /// Starts such a host; `lifetime` sets how long callers keep using its address.
    pub async fn with_lifetime(service: &str, lifetime: &str) -> Self {
        Self::with_settings(service, lifetime, "").await
    }

    /// Starts such a host; `gateway` holds lines of the section `[gateway]`.
    pub async fn with_settings(service: &str, lifetime: &str, gateway: &str) -> Self {
        let (first, second, list) = start_upstreams(service).await;
        Self::with_list(lifetime, gateway, list, first, second).await
    }

    /// Starts such a host, which reads the list of upstreams at `list`.
    pub async fn with_list(
        lifetime: &str,
        gateway: &str,
        list: SocketAddr,
        first: Upstream,
        second: Upstream,
    ) -> Self {
        let sections = format!("{lifetime}{GATEWAY}{gateway}{CALLERS}{CONTROL}list = {list}\n");
        let daemon = start_host("a", "broker, entry, voter", &sections, &[]).await;
        Self::new(daemon.bound().control[0], daemon, first, second)
    }

    /// Starts a leader, and as the host under test one without a voter; waits until it is ready.
    pub async fn start_beside_leader(service: &str) -> Self {
        let (first, second, list) = start_upstreams(service).await;
        let (runtime, leader) = Leader::start(format!("{GATEWAY}{CONTROL}list = {list}\n")).await;
        let sections = format!("{GATEWAY}{CALLERS}freshness_ms = 3600000\n");
        let daemon = start_host("b", "entry", &sections, &[leader.peer_address()]).await;
        let setup = Self {
            leader: Some(runtime),
            peer: leader.peer_address(),
            ..Self::new(leader.bound().control[0], daemon, first, second)
        };
        setup.apply_table().await;
        setup
    }

    /// Starts another host without a voter, and returns it with its address for callers.
    pub async fn start_another(&self, name: &str) -> (Daemon, SocketAddr) {
        let sections = format!("{GATEWAY}{CALLERS}freshness_ms = 3600000\n");
        let daemon = start_host(name, "entry", &sections, &[self.peer]).await;
        let routed = daemon.bound().callers.unwrap();
        (daemon, routed)
    }

    /// Starts a host in front of `raw` and, where wanted, a second upstream of the same service;
    /// waits until the host is ready.
    pub async fn start_with_raw(raw: &raw::Upstream, service: &str, with_second: bool) -> Self {
        Self::start_logged_with_raw(raw, service, with_second, log::discard()).await
    }

    /// Starts such a host with this logger.
    pub async fn start_logged_with_raw(
        raw: &raw::Upstream,
        service: &str,
        with_second: bool,
        log: Logger,
    ) -> Self {
        let first = Upstream::start("i-1", service).await;
        let second = Upstream::start("i-2", service).await;
        let (listed, beside) = (raw.clone(), second.clone());
        let list = super::start_entry_list(move || {
            let beside = with_second.then(|| beside.list_entry());
            beside.into_iter().chain([listed.list_entry()]).collect()
        });
        Self::start_with_list(list.await, first, second, log).await
    }

    /// Starts a host with the list of upstreams at this address; waits until the host is ready.
    pub async fn start_with_list(
        list: SocketAddr,
        first: Upstream,
        second: Upstream,
        log: Logger,
    ) -> Self {
        let sections = format!("{SHORT_LIFETIME}{GATEWAY}{CALLERS}{CONTROL}list = {list}\n");
        let daemon = start_logged_host("a", "broker, entry, voter", &sections, &[], log).await;
        let setup = Self::new(daemon.bound().control[0], daemon, first, second);
        setup.apply_table().await;
        setup
    }

    fn new(control: SocketAddr, daemon: Daemon, first: Upstream, second: Upstream) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            control,
            first,
            leader: None,
            peer: daemon.peer_address(),
            readiness: daemon.bound().readiness.unwrap(),
            routed: daemon.bound().callers.unwrap(),
            second,
            status: daemon.address(),
            daemon: Some(daemon),
        }
    }

    /// Starts a host with all roles and a table with the key `k1`, and waits until it is ready.
    pub async fn start_ready(service: &str) -> Self {
        let setup = Self::start(service).await;
        setup.apply_table().await;
        setup
    }

    pub async fn apply_table(&self) {
        assert_eq!(self.replace(&configuration(1, "k1")).await.status, 200);
        self.wait_until_ready().await;
    }

    /// Sends a request with a long prompt, whose first part counts as a shared prefix.
    pub async fn send_long(&self, path: &str) -> Answer {
        let mut long = self.request(path, "k1");
        let headers = long.headers_mut();
        headers.insert("x-token-usage", HeaderValue::from_static("17000,40"));
        let parts = HeaderValue::from_static("aa:13300,bb:3700");
        headers.insert("x-prompt-prefix", parts);
        self.call(long).await
    }

    /// Returns the counter of calls to the leader for an engine that had this outcome.
    pub async fn assignments(&self, outcome: &str) -> u64 {
        let metrics = Request::get(format!("http://{}/metrics", self.status));
        let metrics = self.call(metrics.body(Full::default()).unwrap()).await;
        let text = String::from_utf8(metrics.body.unwrap().to_vec()).unwrap();
        let counter = format!("hibiscushoist_assignments_total{{outcome=\"{outcome}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&counter));
        line.map_or(0, |count| count.parse().unwrap())
    }

    pub async fn wait_until_ready(&self) {
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
    pub async fn listed(&self) -> bool {
        let path = match self.first.received().is_empty() {
            true => "/read/listed",
            false => return true,
        };
        let desk = self.send(path, "k1").await.status == 200;
        desk || self.send("/stream/listed", "k1").await.status == 200
    }

    pub async fn wait_until(&self, condition: impl AsyncFn() -> bool) {
        let wait = async {
            while !condition().await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WAIT_LIMIT, wait)
            .await
            .expect("the condition holds in time");
    }

    pub async fn call(&self, request: Request<Full<Bytes>>) -> Answer {
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

    pub async fn send(&self, path: &str, key: &str) -> Answer {
        self.call(self.request(path, key)).await
    }

    pub fn request(&self, path: &str, key: &str) -> Request<Full<Bytes>> {
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

    pub async fn control(&self, path: &str, body: String) -> Answer {
        let request = Request::post(format!("http://{}/hibiscushoist/{path}", self.control));
        self.call(request.body(Full::from(body)).unwrap()).await
    }

    pub async fn replace(&self, configuration: &Value) -> Answer {
        self.control("config/replace", configuration.to_string())
            .await
    }

    pub async fn read(&self) -> Answer {
        let path = format!("http://{}/hibiscushoist/config/get", self.control);
        self.call(Request::get(path).body(Full::default()).unwrap())
            .await
    }

    pub fn set_both(&self, mode: Mode) {
        self.first.set_mode(mode);
        self.second.set_mode(mode);
    }

    /// Returns both orders of the upstreams, since requests prefer the one with an open connection.
    pub fn pairs(&self) -> [(&Upstream, &Upstream, &str); 2] {
        [
            (&self.first, &self.second, "i-2"),
            (&self.second, &self.first, "i-1"),
        ]
    }

    /// Returns the number of requests for `path` that arrived at either upstream.
    pub fn arrivals(&self, path: &str) -> usize {
        let received = self
            .first
            .received()
            .into_iter()
            .chain(self.second.received());
        received.filter(|received| received.path == path).count()
    }
}
