//! A daemon with stand-ins, driven over HTTP.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use fakes::engine;
use fakes::engine::Engine;
use hibiscushoistd::auth;
use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::settings::Settings;
use transport::log;

pub const MAPS_KEY: &str = "maps-key";
pub const OPERATOR_KEY: &str = "operator-key";
pub const STORES_KEY: &str = "stores-key";

/// Collects what a test starts with.
pub struct Test {
    engines: Vec<engine::Options>,
    entry: String,
    name: String,
    peer: String,
    upstreams: Vec<SocketAddr>,
}

impl Test {
    pub fn new() -> Self {
        Self {
            engines: Vec::new(),
            entry: String::new(),
            name: "a".to_owned(),
            peer: String::new(),
            upstreams: Vec::new(),
        }
    }

    /// Names the host and lets it meet the hosts at `seeds`.
    pub fn host(mut self, name: &str, seeds: &[SocketAddr]) -> Self {
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let key = "5a".repeat(32);
        let seeds = match seeds.is_empty() {
            false => format!("seeds = {}\n", seeds.join(", ")),
            true => String::new(),
        };
        self.name = name.to_owned();
        self.peer = format!("[peer]\nlisten = 127.0.0.1:0\nkey = {key}\n{seeds}");
        self
    }

    /// Lets the daemon read the platform's list at `address`.
    pub fn platform(mut self, address: SocketAddr) -> Self {
        self.peer
            .push_str(&format!("[platform]\naddress = {address}\n"));
        self
    }

    /// Adds a row for an engine that runs already, named `u1` and on.
    pub fn upstream(mut self, address: SocketAddr) -> Self {
        self.upstreams.push(address);
        self
    }

    /// Adds a stand-in engine, named `u1` and on.
    pub fn engine(mut self, options: engine::Options) -> Self {
        self.engines.push(options);
        self
    }

    /// Adds a line to the section of the entry role.
    pub fn entry(mut self, line: &str) -> Self {
        self.entry.push_str(line);
        self.entry.push('\n');
        self
    }

    /// Starts the daemon and the stand-ins, and fills the table.
    pub async fn start(self) -> Bench {
        let text = format!(
            "[daemon]\nname = {}\nfleet = test\nfailure_domain = one\nroles = broker, entry\n\
             [entry]\nlisten = 127.0.0.1:0\naddress_lifetime_ms = 1\n{}\
             [operator]\nkey_hash = {}\n{}",
            self.name,
            self.entry,
            auth::hash(OPERATOR_KEY),
            self.peer,
        );
        let settings = Settings::parse("a.ini", text).expect("the settings are good");
        let daemon = Daemon::start(settings, log::discard()).await;
        let mut bench = Bench {
            client: Client::builder(TokioExecutor::new()).build_http(),
            daemon: daemon.expect("the daemon starts"),
            engines: Vec::new(),
        };
        for (name, key) in [("maps", MAPS_KEY), ("stores", STORES_KEY)] {
            let cells = json!({"key_hash": auth::hash(key)});
            bench.add("workspaces", name, cells).await;
        }
        let cells = json!({"block_bytes": "64", "version": "v1"});
        bench.add("models", "m", cells).await;
        for (i, address) in self.upstreams.into_iter().enumerate() {
            bench.add_engine(&format!("u{}", i + 1), address).await;
        }
        for options in self.engines {
            bench.start_engine(options).await;
        }
        bench
    }
}

/// Holds a running daemon and its stand-ins.
pub struct Bench {
    client: Client<HttpConnector, Full<Bytes>>,
    pub daemon: Daemon,
    pub engines: Vec<Engine>,
}

/// Holds a whole response.
#[derive(Debug)]
pub struct Response {
    pub body: Bytes,
    pub headers: HeaderMap,
    pub status: u16,
}

impl Response {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    /// Returns the joined text of a streamed answer, and whether its end mark arrived.
    pub fn streamed(&self) -> (String, bool) {
        let (text, ended) = self.streamed_or_cut();
        assert!(ended, "{:?}", self.body);
        (text, ended)
    }

    /// Returns the joined text of a streamed answer that may be cut, and whether it is whole.
    pub fn streamed_or_cut(&self) -> (String, bool) {
        let body = String::from_utf8_lossy(&self.body);
        let mut text = String::new();
        let mut ended = false;
        for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if data == "[DONE]" {
                ended = true;
                continue;
            }
            let piece: Value = serde_json::from_str(data).expect("the piece is JSON");
            text += piece["choices"][0]["text"].as_str().unwrap_or_default();
        }
        (text, ended)
    }
}

impl Bench {
    /// Adds a row to the table.
    pub async fn add(&self, sheet: &str, row: &str, cells: Value) {
        let edit = json!({
            "action": {"add": cells},
            "author": "test",
            "if_revision": 0,
            "key": format!("add-{sheet}-{row}"),
            "name": {"row": row, "sheet": sheet},
        });
        let response = self.edit(&edit).await;
        assert_eq!(response.status, 200, "{:?}", response.body);
    }

    /// Sends an edit as the operator.
    pub async fn edit(&self, edit: &Value) -> Response {
        let path = "/admin/edits";
        self.post(path, OPERATOR_KEY, &[], edit).await
    }

    /// Asks for a path.
    pub async fn get(&self, path: &str, key: &str) -> Response {
        let request = Request::get(self.uri(path))
            .header("authorization", format!("Bearer {key}"))
            .body(Full::default())
            .expect("the request is good");
        self.send(request).await
    }

    /// Sends JSON to a path and returns the response before its body has come.
    pub async fn open(
        &self,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> hyper::Response<Incoming> {
        let mut request = Request::post(self.uri(path));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .header("authorization", format!("Bearer {key}"))
            .body(Full::from(body.to_string()))
            .expect("the request is good");
        let response = self.client.request(request).await;
        response.expect("the daemon answers")
    }

    /// Sends JSON to a path.
    pub async fn post(
        &self,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Response {
        whole(self.open(path, key, headers, body).await).await
    }

    /// Starts another stand-in engine and adds its row.
    pub async fn start_engine(&mut self, options: engine::Options) {
        let engine = Engine::start(options).await.expect("the engine starts");
        let row = format!("u{}", self.engines.len() + 1);
        self.add_engine(&row, engine.address()).await;
        self.engines.push(engine);
    }

    /// Adds the row of an engine that runs already.
    pub async fn add_engine(&self, row: &str, address: SocketAddr) {
        let cells = BTreeMap::from([
            ("address", address.to_string()),
            ("model", "m".to_owned()),
            ("type", "engine".to_owned()),
        ]);
        self.add("upstreams", row, json!(cells)).await;
    }

    /// Waits until the daemon has read the load of every stand-in engine.
    pub async fn ready(&self) {
        loop {
            let status = self.get("/admin/status", OPERATOR_KEY).await.json();
            let upstreams = status["upstreams"].as_array().expect("a list").clone();
            if upstreams.iter().all(|u| u["incarnation"].is_u64()) {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    /// Returns the address of the daemon.
    pub fn address(&self) -> SocketAddr {
        self.daemon.address()
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Response {
        let response = self.client.request(request).await;
        whole(response.expect("the daemon answers")).await
    }

    fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.daemon.address())
    }
}

/// Reads the whole body of a response.
pub async fn whole(response: hyper::Response<Incoming>) -> Response {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("the body is whole");
    Response {
        body: body.to_bytes(),
        headers: parts.headers,
        status: parts.status.as_u16(),
    }
}
