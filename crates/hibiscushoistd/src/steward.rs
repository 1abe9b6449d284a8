//! Looks after the upstreams of routed services, on the host whose voter leads: reads the
//! platform's list, has engines reload, and publishes what hosts need to know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Request;
use hyper::header::CONTENT_TYPE;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::context::Context;
use crate::upstream_reader;
use crate::upstream_reader::CALL_TIMEOUT;
use crate::upstream_reader::CONNECTION_LIMITS;
use crate::upstream_reader::List;
use crate::voter_call::Reading;
use coordination::fleet_log::FleetLog;
use coordination::reload::Effect;
use coordination::reload::Event;
use coordination::reload::Order;
use coordination::reload::Outcome;
use coordination::reload::Policy;
use coordination::reload::Reload;
use coordination::reload::Report;
use coordination::upstream::ListedUpstream;
use coordination::upstream::Standing;
use coordination::upstream::Upstream;
use coordination::upstream_load::LoadAggregator;
use coordination::version_history::VersionHistory;
use platform::engine;
use platform::header;
use platform::path;
use state::naming;
use state::time::Instant;
use transport::clock::wall_millis;
use transport::connection_pool::Body;
use transport::connection_pool::ConnectionPool;
use transport::event;
use transport::metric;

/// Gives the time between two reads of the list, which itself lags by most of a second.
const LIST_PERIOD_MS: u64 = 400;
const RING_MESSAGES: usize = 1_024;
/// Gives the time between two looks at the reload and at what is published, in milliseconds.
const TICK_MS: u64 = 100;

/// Tells what a call of this duty has brought.
enum Message {
    /// Brings what an engine reported or answered.
    Engine(Event),
    /// Brings the list of upstreams, read in this term.
    List(u64, Result<List, upstream_reader::Error>),
}

struct Steward {
    context: Arc<Context>,
    messages: mpsc::Sender<Message>,
    connection_pool: ConnectionPool,
    list: SocketAddr,
    /// Whether a read of the list is under way.
    lists: bool,
    /// Number of malformed entries in the list, when it was read last.
    malformed: usize,
    publish: watch::Sender<Arc<FleetLog>>,
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
    publish: watch::Sender<Arc<FleetLog>>,
    tally: Arc<Mutex<LoadAggregator>>,
    versions: Arc<Mutex<VersionHistory>>,
) {
    let (messages, mut arrived) = mpsc::channel(RING_MESSAGES);
    let mut steward = Steward {
        context,
        messages,
        connection_pool: ConnectionPool::default(),
        list,
        lists: false,
        malformed: 0,
        publish,
        reload: Reload::new(Policy::default()),
        seen: Vec::new(),
        tally,
        term: None,
        versions,
    };
    let (mut list_due, mut tick_due) = (Instant::default(), Instant::default());
    loop {
        let now = steward.context.clock.now();
        let wait = Duration::from_millis(tick_due.since(now).min(TICK_MS));
        let mut batch = Vec::new();
        tokio::select! {
            Some(message) = arrived.recv() => batch.push(message),
            () = tokio::time::sleep(wait) => {}
        }
        // Everything that has arrived is taken at once: each turn reads the replicated state, and
        // engines may answer faster than that.
        while batch.len() < RING_MESSAGES
            && let Ok(message) = arrived.try_recv()
        {
            batch.push(message);
        }
        steward.record_versions();
        let Some(reading) = steward.lead().await else {
            steward.take_unled(batch);
            tick_due = steward.context.clock.now() + TICK_MS;
            continue;
        };
        let newest_versions = reading.routed.weights_versions.clone();
        steward.step(Event::NewestVersions(newest_versions));
        for message in batch {
            steward.take(message);
        }
        let now = steward.context.clock.now();
        if now >= list_due && !steward.lists {
            list_due = now + LIST_PERIOD_MS;
            steward.read_list(reading.term);
        }
        if now >= tick_due {
            tick_due = now + TICK_MS;
            let loads = steward.tally().total().clone();
            steward.step(Event::Loads(loads));
            steward.step(Event::Tick);
        }
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

    /// Begins a read of the list. A slow platform must not keep engines from their orders.
    fn read_list(&mut self, term: u64) {
        self.lists = true;
        let call = upstream_reader::read(
            self.context.clone(),
            self.connection_pool.clone(),
            self.list,
        );
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let list = call.await;
            let _ = messages.send(Message::List(term, list)).await;
        });
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Engine(event) => self.step(event),
            Message::List(term, list) => {
                self.lists = false;
                match list {
                    Err(error) => self.list_failed(error.to_string()),
                    Ok(list) if self.term == Some(term) => {
                        self.note_malformed(list.malformed, list.error.unwrap_or_default());
                        self.seen.clone_from(&list.upstreams);
                        self.step(Event::Listed(list.upstreams));
                    }
                    Ok(_) => {}
                }
            }
        }
    }

    /// Takes what arrives while this host does not lead: nothing but the end of a read counts.
    fn take_unled(&mut self, batch: Vec<Message>) {
        let ends = |message: &Message| matches!(message, Message::List(..));
        self.lists &= !batch.iter().any(ends);
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
        let messages = self.messages.clone();
        let call = upstream_reader::get(
            self.connection_pool.clone(),
            address,
            path::ENGINE_REPORT.to_owned(),
            Some(id.clone()),
        );
        let context = self.context.clone();
        tokio::spawn(async move {
            let answer = call.await;
            let report = answer.and_then(|bytes| decode_report(&context, &id, &bytes));
            let event = Event::Reported(id, report);
            let _ = messages.send(Message::Engine(event)).await;
        });
    }

    fn order(&self, order: Order) {
        let (Some(address), Some(term)) = (self.address(&order.id), self.term) else {
            return;
        };
        let context = self.context.clone();
        let messages = self.messages.clone();
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
            let event = Event::Answered(order.id, outcome);
            let _ = messages.send(Message::Engine(event)).await;
        });
    }

    /// Publishes the upstreams where something about them has changed.
    fn show(&mut self) {
        let Some(term) = self.term.filter(|_| !self.seen.is_empty()) else {
            return;
        };
        let upstreams: Vec<Upstream> = self.seen.iter().map(|seen| self.shown(seen)).collect();
        let now = self.context.clock.now();
        let versions = self.versions();
        let min_weights = versions.min_versions(now, versions.begin_margin_ms());
        drop(versions);
        let published = self.publish.borrow().clone();
        let Some(newer) = published.publish(term, upstreams, min_weights) else {
            return;
        };
        let fleet = newer.fleet();
        let details = slog::o!(
            "upstreams" => fleet.upstreams.len(),
            "edition" => fleet.edition.number,
        );
        event::emit(&self.context.log, event::Event::FleetChanged, details);
        self.publish.send_replace(Arc::new(newer));
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
        .exchange(address, request, CONNECTION_LIMITS, CALL_TIMEOUT)
        .await
    {
        Err(error) if error.not_sent() => Outcome::Refused,
        Err(_) => Outcome::Unknown,
        Ok(response) => engine::order_outcome(response.status().as_u16()),
    }
}
