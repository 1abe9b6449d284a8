//! The way to the owners of upstreams, on this host or another, and what they granted.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use tokio::sync::watch;

use crate::pool::Pool;
use coordination::admission::Refusal;
use coordination::broker::Grant;
use coordination::broker::InFlightRequest;
use coordination::broker::PlacementId;
use coordination::broker::PlacementRequest;
use coordination::broker::ProgressReport;
use coordination::report::Progress;
use coordination::shard;
use coordination::view::View;
use state::table::Table;
use transport::event;
use transport::event::Event;
use transport::metric;
use transport::peer;

/// Gives the time that an answer may take beyond the deadline of its ask.
const GRACE: Duration = Duration::from_millis(500);
/// Gives how long an owner that did not answer is not asked again.
const PASSED_OVER: Duration = Duration::from_millis(1_000);
/// Gives the time between signs of life that are asked of an owner while it is waited for.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Bounds the wait for such a sign.
const PROBE_LIMIT: Duration = Duration::from_millis(500);
const REPORT_LIMIT: Duration = Duration::from_secs(2);

/// Names one of the two brokers of a host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Part {
    /// Means the broker of the upstreams that this host owns.
    Own,
    /// Means the one that places a few requests anywhere while their owner is away.
    StandIn,
}

/// Tells which broker grants or granted a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner {
    /// Means a broker of this host.
    Here(Part),
    /// Means the broker of the host of that name.
    Host(String),
}

/// Lists what the brokers of this host must hear after owners changed.
#[derive(Debug, Default)]
pub struct Moved {
    /// Lists requests on upstreams that this host owns now.
    pub held: Vec<InFlightRequest>,
    /// Lists reports that free the places of requests at the brokers that no longer hold them.
    pub released: Vec<(Part, ProgressReport)>,
}

struct Placed {
    held: InFlightRequest,
    owner: Owner,
}

struct Shared {
    away: AtomicBool,
    log: Logger,
    placed: Mutex<HashMap<PlacementId, Placed>>,
    pool: Option<Pool>,
    silent: Mutex<HashMap<String, Instant>>,
    table: watch::Receiver<Arc<Table>>,
    view: watch::Receiver<Arc<View>>,
}

/// Knows the owners of upstreams and the requests that they placed for this host.
#[derive(Clone)]
pub struct Owners {
    shared: Arc<Shared>,
}

impl Owners {
    /// Returns the way to the owners that `table` and `view` name, over the connections of `pool`.
    pub fn new(
        table: watch::Receiver<Arc<Table>>,
        view: watch::Receiver<Arc<View>>,
        pool: Option<Pool>,
        log: Logger,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                away: AtomicBool::new(false),
                log,
                placed: Mutex::default(),
                pool,
                silent: Mutex::default(),
                table,
                view,
            }),
        }
    }

    /// Returns the owner that should place a request.
    pub fn of(&self, ask: &PlacementRequest) -> Owner {
        let table = self.shared.table.borrow().clone();
        let view = self.shared.view.borrow().clone();
        let root = ask.blocks.first().copied().unwrap_or_default();
        let shard = shard::of_prompt(root, shard::count(&table));
        owner(&view, shard)
    }

    /// Asks the broker of `host` for a place, or returns nothing where it could not be asked.
    pub async fn place(
        &self,
        host: &str,
        ask: &PlacementRequest,
    ) -> Option<Result<Box<Grant>, Refusal>> {
        if self.is_passed_over(host) {
            return None;
        }
        let answer = self.ask(host, ask).await;
        match answer {
            None => self.pass_over(host),
            Some(_) => self.shared.away.store(false, Ordering::Relaxed),
        }
        answer
    }

    async fn ask(&self, host: &str, ask: &PlacementRequest) -> Option<Result<Box<Grant>, Refusal>> {
        let client = self.client(host)?;
        let limit = Duration::from_millis(ask.deadline_ms) + GRACE;
        let ask = ask.clone();
        let call = client.call(limit, |peer, context| async move {
            peer.place(context, ask).await
        });
        tokio::select! {
            answer = call => answer.ok(),
            () = silence(&client) => None,
        }
    }

    /// Remembers a grant until its request ends.
    pub fn remember(&self, request: PlacementRequest, grant: &Grant, owner: Owner) {
        let held = InFlightRequest {
            request,
            prefilled: false,
            upstream: grant.upstream.clone(),
        };
        let placed = Placed { held, owner };
        self.placed().insert(grant.placement_id, placed);
    }

    /// Passes a report to the owner on another host, or returns the broker of this host.
    pub fn settle(&self, report: ProgressReport) -> Option<Part> {
        let owner = {
            let mut placed = self.placed();
            let entry = placed.get_mut(&report.placement_id)?;
            let owner = entry.owner.clone();
            match report.progress {
                Progress::FirstToken => entry.held.prefilled = true,
                Progress::Failed | Progress::Finished => {
                    placed.remove(&report.placement_id);
                }
            }
            owner
        };
        match owner {
            Owner::Here(part) => Some(part),
            Owner::Host(host) => {
                self.tell(host, report);
                None
            }
        }
    }

    /// Reports requests to owners that changed and returns what the brokers of this host must hear.
    pub fn moved(&self) -> Moved {
        let table = self.shared.table.borrow().clone();
        let view = self.shared.view.borrow().clone();
        let shards = shard::count(&table);
        let mut moved = Moved::default();
        for (placement_id, placed) in self.placed().iter_mut() {
            let shard = shard::of_upstream(&placed.held.upstream, shards);
            let now = owner(&view, shard);
            if now == placed.owner || now == Owner::Here(Part::StandIn) {
                continue;
            }
            let progress = Progress::Finished;
            let report = ProgressReport {
                progress,
                placement_id: *placement_id,
            };
            match std::mem::replace(&mut placed.owner, now.clone()) {
                Owner::Here(part) => moved.released.push((part, report)),
                Owner::Host(host) => self.tell(host, report),
            }
            match now {
                Owner::Here(_) => moved.held.push(placed.held.clone()),
                Owner::Host(host) => self.hold(host, placed.held.clone()),
            }
        }
        moved
    }

    /// Returns the table in force, and later ones.
    pub fn table(&self) -> watch::Receiver<Arc<Table>> {
        self.shared.table.clone()
    }

    /// Returns what this host knows of the fleet, and its later versions.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.shared.view.clone()
    }

    fn client(&self, host: &str) -> Option<peer::Client> {
        let view = self.shared.view.borrow().clone();
        let address = view.get(host)?.record.profile.peer;
        let pool = self.shared.pool.as_ref()?;
        Some(pool.client(address, Some(host.to_owned())))
    }

    fn hold(&self, host: String, held: InFlightRequest) {
        let Some(client) = self.client(&host) else {
            return;
        };
        tokio::spawn(async move {
            let call = client.call(REPORT_LIMIT, |peer, context| async move {
                peer.report_in_flight(context, held).await
            });
            let _ = call.await;
        });
    }

    /// Records that an owner could not be asked; logs it once until one answers again.
    pub fn lost(&self, owner: &Owner) {
        metrics::counter!(metric::OWNER_AWAY).increment(1);
        if !self.shared.away.swap(true, Ordering::Relaxed) {
            let host = match owner {
                Owner::Here(_) => "",
                Owner::Host(host) => host,
            };
            let details = slog::o!("host" => host.to_owned());
            event::emit(&self.shared.log, Event::OwnerAway, details);
        }
    }

    fn is_passed_over(&self, host: &str) -> bool {
        let silent = self.silent();
        silent
            .get(host)
            .is_some_and(|until| Instant::now() < *until)
    }

    fn pass_over(&self, host: &str) {
        let until = Instant::now() + PASSED_OVER;
        self.silent().insert(host.to_owned(), until);
    }

    fn silent(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        let silent = self.shared.silent.lock();
        silent.unwrap_or_else(PoisonError::into_inner)
    }

    fn placed(&self) -> MutexGuard<'_, HashMap<PlacementId, Placed>> {
        let placed = self.shared.placed.lock();
        placed.unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self, host: String, report: ProgressReport) {
        let Some(client) = self.client(&host) else {
            return;
        };
        tokio::spawn(async move {
            let call = client.call(REPORT_LIMIT, |peer, context| async move {
                peer.report_progress(context, report).await
            });
            let _ = call.await;
        });
    }
}

/// Returns once the host at the other end of `client` gives no sign of life.
async fn silence(client: &peer::Client) {
    loop {
        tokio::time::sleep(PROBE_PAUSE).await;
        let probe = client.call(PROBE_LIMIT, |peer, context| async move {
            peer.ping(context).await
        });
        let answered = tokio::time::timeout(PROBE_LIMIT, probe).await;
        if !matches!(answered, Ok(Ok(()))) {
            return;
        }
    }
}

fn owner(view: &View, shard: shard::Shard) -> Owner {
    match shard::owner(view, shard) {
        None => Owner::Here(Part::StandIn),
        Some(member) if member.record.host == view.me => Owner::Here(Part::Own),
        Some(member) => Owner::Host(member.record.host.clone()),
    }
}
