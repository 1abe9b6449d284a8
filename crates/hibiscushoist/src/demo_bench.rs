//! The daemon, the stand-ins and the calls of the demonstration.

use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use crate::client;
use crate::client::Client;
use crate::credential::Credential;
use crate::edit;
use crate::error::Error;
use fakes::engine;
use fakes::engine::Engine;
use fakes::service::Service;
use hibiscushoistd::auth;
use hibiscushoistd::daemon::Daemon;
use hibiscushoistd::settings::Settings;
use protocol::header;
use protocol::operator::Explanation;
use protocol::operator::Status;
use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::edit::Receipt;
use state::row;
use state::sheet::Sheet;
use transport::log;

const MODEL: &str = "m";
const OPERATOR_KEY: &str = "operator-key";
const STATUS_PAUSE: Duration = Duration::from_millis(20);
const VERSION: &str = "v1";

/// Holds a whole response of the daemon.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Holds the body.
    pub body: String,
    /// Names the request.
    pub id: String,
}

impl Reply {
    /// Returns the joined text of a streamed answer, or what stands there instead of its end mark.
    pub fn text(&self) -> String {
        let data = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        let (pieces, last): (Vec<&str>, Vec<&str>) = data.partition(|d| *d != "[DONE]");
        if last.len() != 1 {
            return format!("an answer without its end mark: {}", self.body);
        }
        pieces.into_iter().map(piece).collect()
    }
}

/// Holds the daemon and its stand-ins.
pub struct Bench {
    admin: Client,
    daemon: Daemon,
    /// Holds the stand-in engines.
    pub engines: Vec<Engine>,
    folder: PathBuf,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Holds the stand-in for a plain service.
    pub service: Service,
}

impl Bench {
    /// Starts everything in this process and fills the table.
    ///
    /// # Errors
    ///
    /// Returns which part could not start.
    pub async fn start(engines: usize, block: usize) -> Result<Self, Report<Error>> {
        let name = format!("hibiscushoist-demo-{:016x}", rand::random::<u64>());
        let folder = env::temp_dir().join(name);
        let daemon = Daemon::start(settings(&folder)?, log::discard()).await;
        let daemon = daemon.change_context(Error::DemoStart)?;
        let credential = Credential::new(OPERATOR_KEY)?;
        let service = Service::start("127.0.0.1:0".parse().expect("the address is good")).await;
        let mut bench = Self {
            admin: Client::new(vec![daemon.address()], credential),
            daemon,
            engines: Vec::new(),
            folder,
            http: legacy::Client::builder(TokioExecutor::new()).build(client::connector()),
            service: service.change_context(Error::DemoStart)?,
        };
        bench.fill(block).await?;
        for index in 1..=engines {
            bench.start_engine(index, block).await?;
        }
        bench.hear_engines().await?;
        Ok(bench)
    }

    /// Asks for a streamed answer of `max_tokens` to `prompt`.
    ///
    /// # Errors
    ///
    /// Returns what the connection met.
    pub async fn complete(
        &self,
        workspace: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Reply, Report<Error>> {
        let ask = json!({
            "max_tokens": max_tokens,
            "model": MODEL,
            "prompt": prompt,
            "stream": true,
        });
        let request = self.request("/v1/completions", workspace);
        self.send(request, &ask).await
    }

    /// Ends the daemon and removes its folder.
    pub async fn end(mut self) {
        self.daemon.end().await;
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Returns how the daemon decided the request `id`.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not know it.
    pub async fn explain(&self, id: &str) -> Result<Explanation, Report<Error>> {
        self.admin.get(&format!("/admin/explain/{id}")).await
    }

    /// Marks an upstream as leaving.
    ///
    /// # Errors
    ///
    /// Returns the daemon's refusal.
    pub async fn leave(&self, upstream: &str) -> Result<Receipt, Report<Error>> {
        let listing: protocol::operator::TableView = self.admin.get("/admin/table").await?;
        let mut rows = listing.rows.iter();
        let row = rows.find(|row| row.sheet == Sheet::Upstreams && row.row == upstream);
        let revision = row.map(|row| row.revision).unwrap_or_default();
        let cells = BTreeMap::from([(Column::Standing, Some("leaving".to_owned()))]);
        self.edit(Sheet::Upstreams, upstream, revision, Action::Set(cells))
            .await
    }

    /// Sends an order under an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns what the connection met.
    pub async fn order(&self, key: &str) -> Result<Reply, Report<Error>> {
        let request = self.request("/v1/services/bookings/orders", "maps");
        let request = request.header(header::IDEMPOTENCY_KEY, key);
        self.send(request, &json!({"boat": 2, "spot": "cove"}))
            .await
    }

    /// Returns how many blocks the engines have computed.
    pub fn prefilled(&self) -> u64 {
        let counts = self.engines.iter().map(Engine::counts);
        counts.map(|counts| counts.prefilled_blocks).sum()
    }

    async fn add(
        &self,
        sheet: Sheet,
        row: &str,
        cells: &[(Column, String)],
    ) -> Result<(), Report<Error>> {
        let cells = cells.iter().cloned().collect();
        self.edit(sheet, row, 0, Action::Add(cells)).await?;
        Ok(())
    }

    async fn edit(
        &self,
        sheet: Sheet,
        row: &str,
        if_revision: u64,
        action: Action,
    ) -> Result<Receipt, Report<Error>> {
        let edit = Edit {
            action,
            author: "demo".to_owned(),
            if_revision,
            key: edit::key(),
            name: row::Name {
                row: row.to_owned(),
                sheet,
            },
        };
        edit::send(&self.admin, &edit).await
    }

    async fn fill(&self, block: usize) -> Result<(), Report<Error>> {
        for workspace in ["maps", "stores"] {
            let key = (Column::KeyHash, auth::hash(workspace));
            self.add(Sheet::Workspaces, workspace, &[key]).await?;
        }
        let model = [
            (Column::BlockBytes, block.to_string()),
            (Column::Version, VERSION.to_owned()),
        ];
        self.add(Sheet::Models, MODEL, &model).await?;
        let service = [
            (Column::Address, self.service.address().to_string()),
            (Column::Service, "bookings".to_owned()),
            (Column::Type, "service".to_owned()),
        ];
        self.add(Sheet::Upstreams, "bookings-1", &service).await
    }

    /// Waits until the daemon has heard from each engine.
    async fn hear_engines(&self) -> Result<(), Report<Error>> {
        loop {
            let status: Status = self.admin.get("/admin/status").await?;
            let heard = status.upstreams.iter().filter(|u| u.incarnation.is_some());
            if heard.count() == self.engines.len() {
                return Ok(());
            }
            tokio::time::sleep(STATUS_PAUSE).await;
        }
    }

    fn request(&self, path: &str, key: &str) -> hyper::http::request::Builder {
        let uri = format!("http://{}{path}", self.daemon.address());
        Request::post(uri).header("authorization", format!("Bearer {key}"))
    }

    async fn send(
        &self,
        request: hyper::http::request::Builder,
        body: &Value,
    ) -> Result<Reply, Report<Error>> {
        let server = self.daemon.address();
        let lost = || Error::Unreachable {
            servers: server.to_string(),
        };
        let request = request.body(Full::from(body.to_string()));
        let request = request.change_context_lazy(lost)?;
        let response = self.http.request(request).await;
        let response = response.change_context_lazy(lost)?;
        let id = response.headers().get(header::REQUEST_ID);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let id = id.to_owned();
        let body = response.into_body().collect().await;
        let body = body.change_context_lazy(lost)?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(Reply { body, id })
    }

    async fn start_engine(&mut self, index: usize, block: usize) -> Result<(), Report<Error>> {
        let options = engine::Options {
            block_bytes: block as u64,
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            ..engine::Options::default()
        };
        let engine = Engine::start(options).await;
        let engine = engine.change_context(Error::DemoStart)?;
        let row = [
            (Column::Address, engine.address().to_string()),
            (Column::Model, MODEL.to_owned()),
            (Column::Type, "engine".to_owned()),
        ];
        self.engines.push(engine);
        self.add(Sheet::Upstreams, &format!("u{index}"), &row).await
    }
}

fn piece(data: &str) -> String {
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    match value["choices"][0]["text"].as_str() {
        None => data.to_owned(),
        Some(text) => text.to_owned(),
    }
}

fn settings(folder: &std::path::Path) -> Result<Settings, Report<Error>> {
    let text = format!(
        "[daemon]\nname = demo\nfleet = demo\nfailure_domain = one\n\
         roles = broker, entry, voter\ndata = {}\n\
         [entry]\nlisten = 127.0.0.1:0\naddress_lifetime_ms = 1\n\
         [operator]\nkey_hash = {}\n",
        folder.display(),
        auth::hash(OPERATOR_KEY),
    );
    Settings::parse("demo.ini", text).change_context(Error::DemoStart)
}
