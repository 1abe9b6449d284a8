//! A fake model engine whose answers depend only on model, weights version and prompt.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;

use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::Duration;
use tokio::time::Instant;

use crate::engine_kv;
use crate::engine_stream;
use crate::http_client::send;
use crate::prefix_cache::PrefixCache;
use crate::server;
use crate::server::Body;
use crate::server::Disconnect;
use crate::server::Server;
use crate::slots::Slots;
use protocol::engine;
use protocol::engine::Action;
use protocol::engine::Code;
use protocol::weight_store;
use state::ident::BlockHash;
use state::ident::Digest;
use state::ident::Incarnation;

const BYTES_PER_TOKEN: u64 = 4;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Limit of cache events in one response.
const MAX_EVENTS_PER_RESPONSE: usize = 10_000;
/// Time that a request for events waits when there are no new ones, and time between two checks
/// of a load order whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Settings of a fake engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 picks a free one.
    pub address: SocketAddr,
    /// Limit of tokens in an answer, even when the request allows more.
    pub max_answer_tokens: u64,
    /// Length of the prompt that each block covers, in bytes.
    pub block_bytes: u64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Whether orders with a stale fencing token are refused.
    pub checks_fence: bool,
    /// Limit of cache events that are kept for readers.
    pub max_events: usize,
    /// Time between heartbeats while a stream has no tokens to send.
    pub heartbeat: Duration,
    /// Time to load weights when there is no weight store.
    pub load_time: Duration,
    /// Name of the model that the engine serves.
    pub model: String,
    /// Prefill time of one block.
    pub prefill_time: Duration,
    /// Limit of requests that wait for a slot.
    pub queue_limit: usize,
    /// Time from a crash until the engine serves again.
    pub restart_time: Duration,
    /// Limit of requests that run at once.
    pub slots: usize,
    /// Decode time of one token.
    pub token_time: Duration,
    /// Version of the weights that the engine starts with.
    pub version: String,
    /// Address of the weight store from which weights are loaded, if any.
    pub weight_store: Option<SocketAddr>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_answer_tokens: u64::MAX,
            block_bytes: 64,
            cache_blocks: 1_000,
            checks_fence: true,
            max_events: 10_000,
            heartbeat: Duration::from_millis(20),
            load_time: Duration::from_millis(50),
            model: "m".to_owned(),
            prefill_time: Duration::from_millis(1),
            queue_limit: 1_000,
            restart_time: Duration::from_millis(50),
            slots: 8,
            token_time: Duration::from_millis(1),
            version: "v1".to_owned(),
            weight_store: None,
        }
    }
}

/// Faults that a fake engine injects.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Offset at which the next stream is disconnected, once.
    pub disconnect_at: Option<u64>,
    /// Delay until cache events become visible to readers.
    pub event_delay: Duration,
    /// Age of the load reports that the engine returns.
    pub load_report_delay: Duration,
    /// Leaves out every cache event whose number is a multiple of this; zero leaves out none.
    pub drop_every_nth_event: u64,
    /// Whether answers lack the piece with the finish reason and the end marker.
    pub omit_end: bool,
    /// Text that crashes the engine when it starts to run a prompt containing it.
    pub poison: Option<String>,
    /// Offset whose token the next stream sends twice, once.
    pub repeat_at: Option<u64>,
    /// Offset at which the next stream stalls for good without a disconnect, once.
    pub stall_at: Option<u64>,
    /// Offset whose token the next stream leaves out, once.
    pub skip_at: Option<u64>,
    /// Whether each piece carries the id of another attempt.
    pub wrong_id: bool,
}

/// Counters of a fake engine since its start; crashes do not reset them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Crashes, requested by a test or caused by a poison prompt.
    pub crashes: u64,
    /// Prompt blocks that were computed rather than found in the cache.
    pub prefilled_blocks: u64,
    /// Prompts that got a slot.
    pub started_prompts: u64,
    /// Attempts whose stream was dropped early, after a cancel or by a closed connection.
    pub stopped_attempts: u64,
}

pub(crate) struct Inner {
    pub(crate) cache: PrefixCache,
    pub(crate) counts: Counts,
    pub(crate) faults: Faults,
    pub(crate) last_request: Option<engine::Request>,
    pub(crate) pending_prefill: PendingPrefill,
    /// Senders that cancel a waiting or running attempt, by its id.
    pub(crate) cancel_senders: HashMap<String, watch::Sender<bool>>,
    pub(crate) state: engine::State,
    /// Reports from the one that is served now to the newest.
    load_reports: VecDeque<LoadReport>,
}

/// Prompt blocks that are not yet computed, by priority.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PendingPrefill {
    background: u64,
    urgent: u64,
}

impl PendingPrefill {
    /// Returns the count for `priority`; zero is urgent and all others are background.
    pub(crate) fn at_priority(&mut self, priority: u8) -> &mut u64 {
        match priority {
            0 => &mut self.urgent,
            _ => &mut self.background,
        }
    }
}

struct LoadReport {
    at: Instant,
    load: engine::Load,
}

/// What the handlers of all connections share.
pub(crate) struct Shared {
    frozen: watch::Sender<bool>,
    inner: Mutex<Inner>,
    pub(crate) options: Options,
    server: Mutex<Option<Arc<Server>>>,
    pub(crate) slots: Slots,
}

/// A fake engine that serves until it is dropped.
pub struct Engine {
    server: Arc<Server>,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine with an empty cache.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(options: Options) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(options));
        let weak = Arc::downgrade(&shared);
        let respond = Arc::new(move |request| respond(Weak::clone(&weak), request).boxed());
        let server = Arc::new(Server::start(shared.options.address, respond).await?);
        *server::lock(&shared.server) = Some(Arc::clone(&server));
        Ok(Self { server, shared })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Disconnects every client, clears the cache and all orders, and restarts as a new
    /// incarnation.
    pub fn crash(&self) {
        Arc::clone(&self.shared).crash();
    }

    /// Changes the faults that the engine injects.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut inner = self.shared.lock();
        change(&mut inner.faults);
        let every = inner.faults.drop_every_nth_event;
        inner.cache.drop_every_nth_event(every);
    }

    /// Pauses all work and responses of the engine, or resumes them.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.frozen.send_replace(frozen);
    }

    /// Returns the current incarnation, which grows by one with each crash.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.lock().state.incarnation
    }

    /// Returns the last completion request that the engine received.
    pub fn last_request(&self) -> Option<engine::Request> {
        self.shared.lock().last_request.clone()
    }

    /// Returns how many connections were accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.server.accepted_connections()
    }

    /// Stops all reads and writes on the open connections, without closing them; connections
    /// that are accepted later work.
    pub fn stall_connections(&self) {
        self.server.stall_connections();
    }

    /// Returns the state that the engine reports: model, version, role and orders.
    pub fn state(&self) -> engine::State {
        self.shared.lock().state.clone()
    }

    /// Returns the text that the engine answers to `prompt`, from token `first` to before `end`.
    pub fn text(&self, prompt: &str, first: u64, end: u64) -> String {
        let state = self.state();
        answer_text(&state.model, &state.version, prompt, first, end)
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        server::lock(&self.shared.server).take();
        self.server.stop();
    }
}

/// Returns the text that every fake engine with this model and version answers to `prompt`, from
/// token `first` to before `end`.
pub fn answer_text(model: &str, version: &str, prompt: &str, first: u64, end: u64) -> String {
    let digest = Digest::of(&[model.as_bytes(), version.as_bytes(), prompt.as_bytes()]);
    (first..end).map(|i| format!("w{digest}-{i} ")).collect()
}

impl Shared {
    fn new(options: Options) -> Self {
        let state = engine::State {
            incarnation: Incarnation(1),
            model: options.model.clone(),
            role: "mixed".to_owned(),
            version: options.version.clone(),
            ..engine::State::default()
        };
        let inner = Inner {
            cache: PrefixCache::new(options.cache_blocks, options.max_events),
            counts: Counts::default(),
            faults: Faults::default(),
            last_request: None,
            pending_prefill: PendingPrefill::default(),
            load_reports: VecDeque::new(),
            cancel_senders: HashMap::new(),
            state,
        };
        let slots = Slots::new(options.slots);
        Self {
            frozen: watch::Sender::new(false),
            inner: Mutex::new(inner),
            options,
            server: Mutex::default(),
            slots,
        }
    }

    /// Waits while the engine is frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        server::lock(&self.inner)
    }

    pub(crate) fn crash(self: Arc<Self>) {
        let Some(server) = server::lock(&self.server).clone() else {
            return;
        };
        server.stop();
        {
            let mut inner = self.lock();
            inner.counts.crashes += 1;
            inner.cache = PrefixCache::new(self.options.cache_blocks, self.options.max_events);
            let every = inner.faults.drop_every_nth_event;
            inner.cache.drop_every_nth_event(every);
            inner.state.incarnation.0 += 1;
            inner.state.fence = 0;
            inner.state.loading = None;
            inner.state.order = None;
            inner.load_reports.clear();
        }
        tokio::spawn(async move {
            tokio::time::sleep(self.options.restart_time).await;
            let alive = server::lock(&self.server).is_some();
            while alive && server.restart().await.is_err() {
                tokio::time::sleep(self.options.restart_time).await;
            }
        });
    }

    /// Adds the headers with the incarnation and the weights version.
    pub(crate) fn add_identity_headers(&self, mut response: Response<Body>) -> Response<Body> {
        let inner = self.lock();
        let incarnation = inner.state.incarnation.0.into();
        let headers = response.headers_mut();
        headers.insert(engine::INCARNATION_HEADER, incarnation);
        if let Ok(version) = inner.state.version.parse() {
            headers.insert(engine::WEIGHTS_VERSION_HEADER, version);
        }
        response
    }

    /// Records the current load, and drops reports that `load_report_delay` no longer needs.
    pub(crate) fn record_load(&self) {
        let (running, waiting) = (self.slots.running(), self.slots.waiting());
        let mut inner = self.lock();
        let load = engine::Load {
            age_ms: 0,
            block_bytes: self.options.block_bytes,
            blocks_capacity: self.options.cache_blocks as u64,
            blocks_used: inner.cache.len() as u64,
            incarnation: inner.state.incarnation,
            model: inner.state.model.clone(),
            prefill_rate: self.prefill_rate(),
            queued_background_tokens: inner.pending_prefill.background * self.block_tokens(),
            queued_urgent_tokens: inner.pending_prefill.urgent * self.block_tokens(),
            running: running as u64,
            serving: inner.state.loading.is_none(),
            slots: self.options.slots as u64,
            version: inner.state.version.clone(),
            waiting: waiting as u64,
        };
        let at = Instant::now();
        inner.load_reports.push_back(LoadReport { at, load });
        let lag = inner.faults.load_report_delay;
        let old_enough = |r: &LoadReport| r.at.elapsed() >= lag;
        while inner.load_reports.len() > 1 && old_enough(&inner.load_reports[1]) {
            inner.load_reports.pop_front();
        }
    }

    fn block_tokens(&self) -> u64 {
        self.options.block_bytes / BYTES_PER_TOKEN
    }

    fn prefill_rate(&self) -> u64 {
        let micros = self.options.prefill_time.as_micros().max(1);
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        self.block_tokens() * MICROS_PER_SECOND / micros
    }

    fn load(&self) -> engine::Load {
        self.record_load();
        let inner = self.lock();
        let lag = inner.faults.load_report_delay;
        let age_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        let load = inner.load_reports[0].load.clone();
        engine::Load { age_ms, ..load }
    }

    fn cancel(&self, cancel: &engine::Cancel) -> engine::Cancelled {
        let inner = self.lock();
        let sender = inner.cancel_senders.get(&cancel.id);
        let found = sender.is_some_and(|sender| sender.send(true).is_ok());
        engine::Cancelled { found }
    }

    async fn events(&self, query: &str) -> engine::Events {
        let after = query_number(query, "after").unwrap_or(0);
        let delay = self.lock().faults.event_delay;
        if self.lock().cache.newest_seq(delay) <= after {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let inner = self.lock();
        engine::Events {
            events: inner.cache.events(after, delay, MAX_EVENTS_PER_RESPONSE),
            incarnation: inner.state.incarnation,
            newest: inner.cache.newest_seq(delay),
            version: inner.state.version.clone(),
        }
    }

    fn snapshot(&self) -> engine::Snapshot {
        let inner = self.lock();
        engine::Snapshot {
            blocks: inner.cache.snapshot(),
            incarnation: inner.state.incarnation,
            seq: inner.cache.seq(),
            version: inner.state.version.clone(),
        }
    }

    async fn order(
        self: Arc<Self>,
        order: engine::Order,
    ) -> Result<engine::State, engine::Refusal> {
        let incarnation = self.accept_order(&order)?;
        if let Action::Load {
            adapter,
            model,
            version,
        } = order.action
        {
            while self.slots.running() > 0 || self.slots.waiting() > 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            let fetched = self.fetch_weights(&model, &version).await;
            self.wait_while_frozen().await;
            let mut inner = self.lock();
            if inner.state.incarnation != incarnation {
                return Err(refusal(Code::Unavailable));
            }
            inner.state.loading = None;
            fetched?;
            inner.cache.clear();
            inner.state.adapter = adapter;
            inner.state.model = model;
            inner.state.version = version;
        }
        Ok(self.lock().state.clone())
    }

    async fn fetch_weights(&self, model: &str, version: &str) -> Result<(), engine::Refusal> {
        let Some(store) = self.options.weight_store else {
            tokio::time::sleep(self.options.load_time).await;
            return Ok(());
        };
        let path = format!("{}{model}/{version}", weight_store::WEIGHTS_PATH);
        match send(store, Method::GET, path, Vec::new()).await {
            Ok((200, _)) => Ok(()),
            _ => Err(refusal(Code::Unavailable)),
        }
    }

    fn accept_order(&self, order: &engine::Order) -> Result<Incarnation, engine::Refusal> {
        let mut inner = self.lock();
        let state = &mut inner.state;
        if self.options.checks_fence && order.fence < state.fence {
            return Err(engine::Refusal {
                code: Code::StaleFence,
                fence: Some(state.fence),
            });
        }
        if state.loading.is_some() {
            return Err(refusal(Code::Loading));
        }
        state.fence = state.fence.max(order.fence);
        state.order = Some(order.id.clone());
        match &order.action {
            Action::Load { version, .. } => state.loading = Some(version.clone()),
            Action::Role(role) => state.role.clone_from(role),
        }
        Ok(state.incarnation)
    }

    /// Returns the content hashes of the blocks of `prompt`, computed by the engine itself.
    pub(crate) fn content_hashes(&self, salt: &str, prompt: &str) -> Vec<BlockHash> {
        let inner = self.lock();
        let root = BlockHash::root(salt, &inner.state.model, &inner.state.version);
        let size = usize::try_from(self.options.block_bytes).unwrap_or(usize::MAX);
        root.chain(prompt.as_bytes(), size)
    }
}

async fn respond(
    shared: Weak<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Disconnect> {
    let shared = shared.upgrade().ok_or(Disconnect)?;
    shared.wait_while_frozen().await;
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or("").to_owned();
    let response = match (request.method(), path.as_str()) {
        (&Method::GET, engine::CACHE_EVENTS_PATH) => {
            server::json(200, &shared.events(&query).await)
        }
        (&Method::GET, engine::LOAD_PATH) => server::json(200, &shared.load()),
        (&Method::GET, engine::ORDERS_PATH) => {
            let state = shared.lock().state.clone();
            server::json(200, &state)
        }
        (&Method::GET, engine::CACHE_SNAPSHOT_PATH) => server::json(200, &shared.snapshot()),
        (&Method::POST, engine::CANCEL_PATH) => match read_json(request).await? {
            Some(cancel) => server::json(200, &shared.cancel(&cancel)),
            None => refusal_response(refusal(Code::BadRequest)),
        },
        (&Method::POST, engine::COMPLETIONS_PATH) => match read_json(request).await? {
            Some(request) => match engine_stream::open(&shared, request) {
                Ok(response) => response,
                Err(code) => refusal_response(refusal(code)),
            },
            None => refusal_response(refusal(Code::BadRequest)),
        },
        (&Method::POST, engine::KV_EXPORT_PATH) => match read_json(request).await? {
            Some(transfer) => transfer_response(engine_kv::export(&shared, transfer).await),
            None => refusal_response(refusal(Code::BadRequest)),
        },
        (&Method::POST, engine::KV_IMPORT_PATH) => match read_json(request).await? {
            Some(transfer) => transfer_response(engine_kv::import(&shared, transfer).await),
            None => refusal_response(refusal(Code::BadRequest)),
        },
        (&Method::POST, engine::ORDERS_PATH) => match read_json(request).await? {
            Some(order) => match tokio::spawn(Arc::clone(&shared).order(order)).await {
                Ok(Ok(state)) => server::json(200, &state),
                Ok(Err(refusal)) => refusal_response(refusal),
                Err(_) => return Err(Disconnect),
            },
            None => refusal_response(refusal(Code::BadRequest)),
        },
        _ => refusal_response(refusal(Code::UnknownPath)),
    };
    shared.wait_while_frozen().await;
    Ok(shared.add_identity_headers(response))
}

fn transfer_response(result: Result<engine::Transferred, Code>) -> Response<Body> {
    match result {
        Err(code) => refusal_response(refusal(code)),
        Ok(transferred) => server::json(200, &transferred),
    }
}

fn refusal(code: Code) -> engine::Refusal {
    engine::Refusal { code, fence: None }
}

fn refusal_response(refusal: engine::Refusal) -> Response<Body> {
    server::json(refusal.code.status(), &refusal)
}

async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Option<T>, Disconnect> {
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| Disconnect)?;
    Ok(serde_json::from_slice(&body.to_bytes()).ok())
}

fn query_number(query: &str, key: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(k, _)| *k == key)?.1.parse().ok()
}
