//! Looks after the upstreams of routed services, on the host whose voter leads: reads the
//! platform's list, has engines reload, and publishes what hosts need to know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::context::Context;
use crate::voter_call::Reading;
use coordination::reload::Effect;
use coordination::reload::Event;
use coordination::reload::Order;
use coordination::reload::Outcome;
use coordination::reload::Policy;
use coordination::reload::Reload;
use coordination::reload::Report;
use coordination::upstream;
use coordination::upstream::Edition;
use coordination::upstream::Fleet;
use coordination::upstream::ListedUpstream;
use coordination::upstream::Standing;
use coordination::upstream::Upstream;
use coordination::upstream_load::LoadAggregator;
use coordination::version_history::VersionHistory;
use platform::engine;
use platform::header;
use platform::path;
use platform::upstream_list;
use state::naming;
use state::time::Instant;
use transport::clock::wall_millis;
use transport::connection_pool::Body;
use transport::connection_pool::ConnectionPool;
use transport::connection_pool::Limits;
use transport::event;
use transport::metric;

/// Bounds one call to the platform or an engine; they answer within milliseconds.
const CALL_LIMIT: Duration = Duration::from_millis(600);
/// Gives the time between two reads of the list, which itself lags by most of a second.
const LIST_PERIOD_MS: u64 = 400;
/// Bounds one read of the list, whose thirty or so pages are each answered within milliseconds.
const LIST_LIMIT_MS: u64 = 2_000;
/// Bounds the pages of one read of the list, against a list that never ends.
const PAGES: usize = 64;
const RING_EVENTS: usize = 1_024;
const TICK: Duration = Duration::from_millis(100);

/// Bounds the connections to the platform and to engines: opening one takes milliseconds, and
/// engines close idle ones after a few seconds.
const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_millis(300),
    max_idle: Duration::from_millis(2_000),
};

struct Steward {
    context: Arc<Context>,
    events: mpsc::Sender<Event>,
    connection_pool: ConnectionPool,
    list: SocketAddr,
    /// Number of malformed entries in the list, when it was read last.
    malformed: usize,
    number: u64,
    publish: watch::Sender<Arc<Fleet>>,
    reload: Reload,
    seen: Vec<ListedUpstream>,
    tally: Arc<Mutex<LoadAggregator>>,
    term: Option<u64>,
    versions: Arc<Mutex<VersionHistory>>,
}

/// Looks after upstreams whenever this host's voter leads, until the task is dropped.
pub async fn run(
    context: Arc<Context>,
    list: SocketAddr,
    publish: watch::Sender<Arc<Fleet>>,
    tally: Arc<Mutex<LoadAggregator>>,
    versions: Arc<Mutex<VersionHistory>>,
) {
    let (events, mut arrived) = mpsc::channel(RING_EVENTS);
    let mut steward = Steward {
        context,
        events,
        connection_pool: ConnectionPool::default(),
        list,
        malformed: 0,
        number: 0,
        publish,
        reload: Reload::new(Policy::default()),
        seen: Vec::new(),
        tally,
        term: None,
        versions,
    };
    let mut list_due = Instant::default();
    loop {
        let event = tokio::select! {
            Some(event) = arrived.recv() => event,
            () = tokio::time::sleep(TICK) => Event::Tick,
        };
        steward.record_versions();
        let Some(reading) = steward.lead().await else {
            continue;
        };
        let newest_versions = reading.routed.weights_versions.clone();
        steward.step(Event::NewestVersions(newest_versions));
        let now = steward.context.clock.now();
        if now >= list_due {
            list_due = now + LIST_PERIOD_MS;
            steward.read_list().await;
        }
        let loads = steward.tally().total().clone();
        steward.step(Event::Loads(loads));
        steward.step(event);
        steward.show();
    }
}

impl Steward {
    /// Returns the state where this host leads, and notes when it begins or ends to.
    async fn lead(&mut self) -> Option<Reading> {
        let Ok(reading) = self.context.voter.read_here().await else {
            self.term = None;
            return None;
        };
        if self.term != Some(reading.term) {
            self.term = Some(reading.term);
            self.number = 0;
            self.seen.clear();
            self.step(Event::LeadershipGained);
        }
        Some(reading)
    }

    /// Records the weights versions that this host's voter has applied, whether it leads or not.
    fn record_versions(&self) {
        let now = self.context.clock.now();
        if let Some(status) = self.context.voter.status() {
            let time = naming::Time {
                log_time_ms: status.log_time_ms,
                unix_ms: wall_millis(),
            };
            self.versions().record_namings(now, time, &status.namings);
        }
    }

    fn versions(&self) -> MutexGuard<'_, VersionHistory> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tally(&self) -> MutexGuard<'_, LoadAggregator> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn read_list(&mut self) {
        let mut seen = Vec::new();
        let mut next: Option<String> = None;
        let began = self.context.clock.now();
        let mut malformed = 0;
        let mut malformed_error = None;
        for _ in 0..PAGES {
            if self.context.clock.now().since(began) > LIST_LIMIT_MS {
                return self.list_failed(format!("no end within {LIST_LIMIT_MS} ms"));
            }
            let path = match &next {
                None => path::UPSTREAM_LIST.to_owned(),
                Some(page) => format!("{}?page_token={page}", path::UPSTREAM_LIST),
            };
            let answer = self.get(self.list, path, None).await;
            let page = match answer.map(|bytes| upstream_list::decode(&bytes)) {
                Some(Ok(page)) => page,
                Some(Err(error)) => return self.list_failed(error.to_string()),
                None => return self.list_failed("no answer".to_owned()),
            };
            seen.extend(page.upstreams);
            malformed += page.malformed;
            malformed_error = malformed_error.or(page.error);
            next = page.next;
            if next.is_none() {
                self.note_malformed(malformed, malformed_error.unwrap_or_default());
                let seen = upstream::distinct(seen, wall_millis());
                self.seen = seen.clone();
                self.step(Event::Listed(seen));
                return;
            }
        }
        self.list_failed(format!("no end within {PAGES} pages"));
    }

    /// Records how many entries of the list are malformed, and logs it when the number changes.
    fn note_malformed(&mut self, entries: usize, error: String) {
        metrics::gauge!(metric::LIST_MALFORMED_ENTRIES).set(entries as f64);
        if self.malformed != entries {
            self.malformed = entries;
            let details = slog::o!("entries" => entries, "error" => error);
            event::emit(&self.context.log, event::Event::ListMalformed, details);
        }
    }

    fn list_failed(&self, error: String) {
        metrics::counter!(metric::LIST_FAILURES).increment(1);
        event::emit(
            &self.context.log,
            event::Event::ListFailed,
            slog::o!("error" => error),
        );
    }

    fn step(&mut self, event: Event) {
        let now = self.context.clock.now();
        for effect in self.reload.step(now, event) {
            match effect {
                Effect::Done {
                    id,
                    took_ms,
                    version,
                } => {
                    let details =
                        slog::o!("upstream" => id, "version" => version, "took_ms" => took_ms);
                    event::emit(&self.context.log, event::Event::ReloadDone, details);
                }
                Effect::Order(order) => self.order(order),
                Effect::Read(id) => self.read(id),
                Effect::Withdrawn {
                    behind,
                    id,
                    running,
                } => {
                    let details =
                        slog::o!("upstream" => id, "behind" => behind, "running" => running);
                    event::emit(&self.context.log, event::Event::ReloadWaiting, details);
                }
            }
        }
    }

    fn address(&self, id: &str) -> Option<SocketAddr> {
        let seen = self.seen.iter().find(|seen| seen.id == id);
        seen.map(|seen| seen.address)
    }

    fn read(&self, id: String) {
        let Some(address) = self.address(&id) else {
            return;
        };
        let events = self.events.clone();
        let call = get(
            self.connection_pool.clone(),
            address,
            path::ENGINE_REPORT.to_owned(),
            Some(id.clone()),
        );
        let context = self.context.clone();
        tokio::spawn(async move {
            let answer = call.await;
            let report = answer.and_then(|bytes| decode_report(&context, &id, &bytes));
            let _ = events.send(Event::Reported(id, report)).await;
        });
    }

    fn order(&self, order: Order) {
        let (Some(address), Some(term)) = (self.address(&order.id), self.term) else {
            return;
        };
        let context = self.context.clone();
        let events = self.events.clone();
        let connection_pool = self.connection_pool.clone();
        tokio::spawn(async move {
            let outcome = give(&context, &connection_pool, address, &order, term).await;
            metrics::counter!(metric::RELOADS, "outcome" => <&str>::from(outcome)).increment(1);
            let details = slog::o!(
                "upstream" => order.id.clone(),
                "model" => order.model.clone(),
                "version" => order.version,
                "orders" => order.expected_orders,
                "fence" => term,
                "outcome" => <&str>::from(outcome),
            );
            event::emit(&context.log, event::Event::ReloadOrdered, details);
            let _ = events.send(Event::Answered(order.id, outcome)).await;
        });
    }

    async fn get(
        &self,
        address: SocketAddr,
        path: String,
        expect: Option<String>,
    ) -> Option<Bytes> {
        get(self.connection_pool.clone(), address, path, expect).await
    }

    /// Publishes the upstreams where something about them has changed.
    fn show(&mut self) {
        let Some(term) = self.term.filter(|_| !self.seen.is_empty()) else {
            return;
        };
        let upstreams: Vec<Upstream> = self.seen.iter().map(|seen| self.shown(seen)).collect();
        let shown = self.publish.borrow().clone();
        let now = self.context.clock.now();
        let versions = self.versions();
        let min_weights = versions.min_versions(now, versions.begin_margin_ms());
        drop(versions);
        let same = shown.upstreams == upstreams && shown.min_weights == min_weights;
        if shown.edition.term == term && same {
            return;
        }
        self.number += 1;
        let edition = Edition {
            term,
            number: self.number,
        };
        let details = slog::o!("upstreams" => upstreams.len(), "edition" => self.number);
        event::emit(&self.context.log, event::Event::FleetChanged, details);
        self.publish.send_replace(Arc::new(Fleet {
            edition,
            min_weights,
            upstreams,
        }));
    }

    fn shown(&self, seen: &ListedUpstream) -> Upstream {
        let standing = match (seen.leaving, self.reload.is_loading(&seen.id)) {
            (true, _) => Standing::Leaving,
            (false, true) => Standing::Loading,
            (false, false) => Standing::Ready,
        };
        let mut weights = seen.weights.clone();
        if let Some(known) = self.reload.weights(&seen.id) {
            weights.extend(known.clone());
        }
        Upstream {
            address: seen.address,
            domain: seen.domain.clone(),
            id: seen.id.clone(),
            service: seen.service.clone(),
            slots: seen.slots,
            standing,
            started: seen.started,
            weights,
        }
    }
}

/// Decodes the report of an engine; one that cannot be decoded is logged and counts as missing.
fn decode_report(context: &Context, id: &str, bytes: &[u8]) -> Option<Report> {
    let report = engine::decode_report(bytes);
    if let Err(error) = &report {
        let details = slog::o!("upstream" => id.to_owned(), "error" => error.to_string());
        event::emit(&context.log, event::Event::ReportMalformed, details);
    }
    report.ok()
}

/// Gives an order, unless this host no longer leads.
async fn give(
    context: &Context,
    connection_pool: &ConnectionPool,
    address: SocketAddr,
    order: &Order,
    term: u64,
) -> Outcome {
    let reading = context.voter.read_here().await;
    if !reading.is_ok_and(|reading| reading.term == term) {
        return Outcome::Refused;
    }
    let Ok(body) = engine::encode_order(order, &context.settings.name, term) else {
        return Outcome::Refused;
    };
    let request = Request::post(path::ENGINE_ORDER)
        .header(CONTENT_TYPE, "application/json")
        .header(header::EXPECT_UPSTREAM, &order.id)
        .header("host", address.to_string())
        .body(Body::from(body));
    let Ok(request) = request else {
        return Outcome::Refused;
    };
    match connection_pool
        .exchange(address, request, LIMITS, CALL_LIMIT)
        .await
    {
        Err(error) if error.not_sent() => Outcome::Refused,
        Err(_) => Outcome::Unknown,
        Ok(response) => engine::order_outcome(response.status().as_u16()),
    }
}

async fn get(
    connection_pool: ConnectionPool,
    address: SocketAddr,
    path: String,
    expect: Option<String>,
) -> Option<Bytes> {
    let mut request = Request::get(path).header("host", address.to_string());
    if let Some(id) = expect {
        request = request.header(header::EXPECT_UPSTREAM, id);
    }
    let request = request.body(Body::default()).ok()?;
    let answer = connection_pool
        .exchange(address, request, LIMITS, CALL_LIMIT)
        .await;
    let response = answer
        .ok()
        .filter(|response| response.status().is_success())?;
    Some(response.into_body())
}
