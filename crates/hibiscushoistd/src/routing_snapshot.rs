//! Keeps what a host that serves callers knows of the routed table and the upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

use crate::context::Context;
use coordination::host::Role;
use coordination::prefix_log::Position;
use coordination::routing_update::Freshness;
use coordination::routing_update::Request;
use coordination::routing_update::RoutingUpdate;
use coordination::upstream::Fleet;
use protocol::voter::Rejection;
use state::routing_index::RoutingIndex;
use transport::event;
use transport::event::Event;
use transport::metric;

/// Bounds one ask; a voter answers within a round trip and a turn of its thread.
const CALL_LIMIT: Duration = Duration::from_millis(600);
/// Gives the least time between asks: what others have under way changes within a tenth of a
/// second.
const PERIOD_MS: u64 = 100;
/// Gives how much longer each host waits for every host in the fleet, in milliseconds, so that all
/// together ask the leading voter at most 1,000 times a second, which takes it a tenth of a core.
const PERIOD_PER_HOST_MS: u64 = 1;
/// Gives the pause after an ask that got no answer.
const PAUSE: Duration = Duration::from_millis(50);

/// Holds what this host knows.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Lists the upstreams.
    pub fleet: Arc<Fleet>,
    /// Holds the routed table.
    pub index: Arc<RoutingIndex>,
    /// Gives the newest weights version of each model.
    pub weights: BTreeMap<String, u64>,
}

/// Shows what this host knows.
#[derive(Clone)]
pub struct Handle {
    freshness: Arc<Mutex<Freshness>>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    leader: watch::Receiver<Option<SocketAddr>>,
}

impl Handle {
    /// Returns what this host knows, where it is young enough to rely on.
    pub fn fresh(&self, context: &Context) -> Option<Arc<Snapshot>> {
        let freshness = *self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let snapshot = self.snapshot.borrow().clone();
        let usable = freshness.is_fresh(context.clock.now()) && snapshot.index.table().version > 0;
        usable.then_some(snapshot)
    }

    /// Returns the age of what this host knows, in milliseconds.
    pub fn age_ms(&self, context: &Context) -> Option<u64> {
        let freshness = *self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        freshness.age_ms(context.clock.now())
    }

    /// Returns the voter that leads, as long as it answers this host.
    pub fn leader(&self) -> Option<SocketAddr> {
        *self.leader.borrow()
    }

    /// Returns what this host knows, however old it is.
    pub fn latest(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Returns what this host knows and its later versions.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshot.clone()
    }
}

/// Returns a handle that shows nothing until [`Keeper::run`] has asked.
pub fn channel(limit: Duration) -> (Updater, Handle) {
    let (publish, snapshot) = watch::channel(Arc::default());
    let (lead, leader) = watch::channel(None);
    let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    let freshness = Arc::new(Mutex::new(Freshness::new(limit)));
    let handle = Handle {
        freshness: freshness.clone(),
        snapshot,
        leader,
    };
    let updater = Updater {
        freshness,
        lead,
        publish,
    };
    (updater, handle)
}

/// Asks the voter that leads, again and again.
pub struct Updater {
    freshness: Arc<Mutex<Freshness>>,
    lead: watch::Sender<Option<SocketAddr>>,
    publish: watch::Sender<Arc<Snapshot>>,
}

impl Updater {
    /// Asks until the task is dropped.
    pub async fn run(self, context: Arc<Context>) {
        let mut heard = Position::default();
        let mut leader: Option<SocketAddr> = None;
        let mut turn = rand::random::<u32>() as usize;
        loop {
            let target = leader.or_else(|| {
                let voters = voters(&context);
                turn = turn.wrapping_add(1);
                voters.get(turn % voters.len().max(1)).copied()
            });
            let Some(target) = target else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            let asked = self.ask(&context, target, &mut heard).await;
            self.lead.send_replace(asked.is_ok().then_some(target));
            match asked {
                Ok(()) => {
                    leader = Some(target);
                    tokio::time::sleep(period(&context)).await;
                }
                Err(hint) => {
                    if let Some(gateway) = &context.gateway {
                        gateway
                            .dispatcher()
                            .requeue_prefix_updates(context.clock.now());
                    }
                    leader = hint.filter(|hint| *hint != target);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Asks one voter; an error names the one that leads, if the voter knew it.
    async fn ask(
        &self,
        context: &Context,
        target: SocketAddr,
        heard: &mut Position,
    ) -> Result<(), Option<SocketAddr>> {
        let pool = context.pool.as_ref().ok_or(None)?;
        let snapshot = self.publish.borrow().clone();
        let asked = context.clock.now();
        let shared = context.gateway.as_ref().map(|gateway| {
            let mut dispatcher = gateway.dispatcher();
            (
                dispatcher.take_assignment_ids(),
                dispatcher.loads(asked),
                dispatcher.take_prefix_updates(asked),
            )
        });
        let (assignment_ids, loads, cached_prefixes) = shared.unwrap_or_default();
        let ask = Request {
            edition: snapshot.fleet.edition,
            assignment_ids,
            prefix_position: *heard,
            host: context.settings.name.clone(),
            loads,
            cached_prefixes,
            table_version: snapshot.index.table().version,
        };
        let client = pool.client(target, None);
        let call = client.call(CALL_LIMIT, |peer, call| async move {
            peer.routing_update(call, ask).await
        });
        let mut update = match call.await {
            Err(error) => {
                metrics::counter!(metric::OUTLOOK_FAILURES).increment(1);
                let details = slog::o!("voter" => target.to_string(), "error" => error.to_string());
                event::emit(&context.log, Event::OutlookFailed, details);
                return Err(None);
            }
            Ok(Err(Rejection::NotLeader(leader))) => return Err(leader),
            Ok(Err(_)) => return Err(None),
            Ok(Ok(update)) => update,
        };
        if let Some(gateway) = &context.gateway {
            let now = context.clock.now();
            let loads = std::mem::take(&mut update.loads);
            let cached_prefixes = std::mem::take(&mut update.cached_prefixes);
            let mut dispatcher = gateway.dispatcher();
            dispatcher.set_other_loads(now, loads);
            dispatcher.record_remote_prefixes(now, cached_prefixes);
            if heard.term != update.prefix_position.term {
                dispatcher.requeue_prefix_updates(now);
            }
        }
        *heard = update.prefix_position;
        self.take(context, &snapshot, update);
        let mut freshness = self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        freshness.confirm(asked);
        Ok(())
    }

    fn take(&self, context: &Context, snapshot: &Snapshot, update: RoutingUpdate) {
        let newer = |table: &Arc<_>| {
            let table: &Arc<state::routing::Table> = table;
            table.version > snapshot.index.table().version
        };
        let table = update.table.filter(newer);
        let fleet = update.fleet.filter(|f| f.edition > snapshot.fleet.edition);
        if table.is_none() && fleet.is_none() && update.weights == snapshot.weights {
            return;
        }
        if let Some(table) = &table {
            let details = slog::o!("version" => table.version, "routes" => table.routes.len());
            event::emit(&context.log, Event::RoutesApplied, details);
        }
        self.publish.send_replace(Arc::new(Snapshot {
            fleet: fleet.map_or_else(|| snapshot.fleet.clone(), Arc::new),
            index: table.map_or_else(
                || snapshot.index.clone(),
                |t| Arc::new(RoutingIndex::new(t)),
            ),
            weights: update.weights,
        }));
    }
}

/// Returns the time between asks.
fn period(context: &Context) -> Duration {
    let hosts = context.view().present(Role::Entry).count() as u64;
    Duration::from_millis(PERIOD_MS.max(hosts * PERIOD_PER_HOST_MS))
}

/// Lists the voters that this host knows of.
fn voters(context: &Context) -> Vec<SocketAddr> {
    let view = context.view();
    let present = view.present(Role::Voter);
    let mut voters: Vec<SocketAddr> = present.map(|m| m.record.profile.peer).collect();
    let first = context.settings.voters.iter().map(|voter| voter.address);
    for address in first {
        if !voters.contains(&address) {
            voters.push(address);
        }
    }
    voters
}
