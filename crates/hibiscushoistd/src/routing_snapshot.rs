//! Local copy of the routed table, the upstreams and the weights on a host that serves callers,
//! kept up to date by polling the leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

use crate::context::Context;
use crate::gateway_room;
use coordination::fleet_log::FleetUpdate;
use coordination::host::Role;
use coordination::prefix_log;
use coordination::prefix_log::Position;
use coordination::routing_update::Freshness;
use coordination::routing_update::Request;
use coordination::routing_update::RoutingUpdate;
use coordination::upstream::Edition;
use coordination::upstream::Fleet;
use coordination::upstream_load::OwnReports;
use protocol::voter::Rejection;
use state::routing_index::RoutingIndex;
use transport::event;
use transport::event::Event;
use transport::metric;

/// Timeout of one poll; a voter answers within a round trip and one turn of its thread.
const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Least time between polls, in milliseconds: the requests in flight of other hosts change within a
/// tenth of a second.
const MIN_POLL_INTERVAL_MS: u64 = 100;
/// Least time between polls per host that serves callers, in milliseconds. All hosts together then
/// poll the leader at most 1,000 times a second, which costs it a tenth of a core.
const MIN_POLL_INTERVAL_PER_HOST_MS: u64 = 1;
/// Pause after a poll that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// State of the fleet that the leader sent last.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Upstreams of all services.
    pub fleet: Arc<Fleet>,
    /// Routed table, indexed for lookups.
    pub index: Arc<RoutingIndex>,
    /// Newest weights version of each model.
    pub weights: BTreeMap<String, u64>,
}

/// Read access to the latest snapshot and its age.
#[derive(Clone)]
pub struct Handle {
    freshness: Arc<Mutex<Freshness>>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    leader: watch::Receiver<Option<SocketAddr>>,
}

impl Handle {
    /// Returns the latest snapshot, unless the last successful poll is too long ago or no table has
    /// arrived yet.
    pub fn fresh(&self, context: &Context) -> Option<Arc<Snapshot>> {
        let freshness = *self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let snapshot = self.snapshot.borrow().clone();
        let usable = freshness.is_fresh(context.clock.now()) && snapshot.index.table().version > 0;
        usable.then_some(snapshot)
    }

    /// Returns the time since the start of the last successful poll, in milliseconds, if there was
    /// one.
    pub fn age_ms(&self, context: &Context) -> Option<u64> {
        let freshness = *self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        freshness.age_ms(context.clock.now())
    }

    /// Returns the address of the leader, if the last poll succeeded.
    pub fn leader(&self) -> Option<SocketAddr> {
        *self.leader.borrow()
    }

    /// Returns the latest snapshot, however old it is.
    pub fn latest(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Returns a receiver of the latest snapshot and all later ones.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshot.clone()
    }
}

/// Returns an updater and a handle to its snapshots, which are empty until [`Updater::run`] has
/// polled the leader. A snapshot counts as fresh for the duration `limit`.
pub fn channel(limit: Duration) -> (Updater, Handle) {
    let (snapshot_sender, snapshot) = watch::channel(Arc::default());
    let (leader_sender, leader) = watch::channel(None);
    let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    let freshness = Arc::new(Mutex::new(Freshness::new(limit)));
    let handle = Handle {
        freshness: freshness.clone(),
        snapshot,
        leader,
    };
    let updater = Updater {
        freshness,
        leader_sender,
        snapshot_sender,
    };
    (updater, handle)
}

/// What a host needs to know of its earlier polls.
struct Progress {
    own_reports: OwnReports,
    prefix_position: Position,
    /// Whether the last difference of the fleet did not fit.
    wants_whole_fleet: bool,
}

/// Polls the leader for updates and publishes them as snapshots.
pub struct Updater {
    freshness: Arc<Mutex<Freshness>>,
    leader_sender: watch::Sender<Option<SocketAddr>>,
    snapshot_sender: watch::Sender<Arc<Snapshot>>,
}

impl Updater {
    /// Polls until the task is dropped.
    pub async fn run(self, context: Arc<Context>) {
        let mut progress = Progress {
            own_reports: OwnReports::new(rand::random()),
            prefix_position: Position::default(),
            wants_whole_fleet: false,
        };
        let mut leader: Option<SocketAddr> = None;
        let mut next_voter = rand::random::<u32>() as usize;
        loop {
            let target = leader.or_else(|| {
                let voters = voters(&context);
                next_voter = next_voter.wrapping_add(1);
                voters.get(next_voter % voters.len().max(1)).copied()
            });
            let Some(target) = target else {
                tokio::time::sleep(FAILURE_PAUSE).await;
                continue;
            };
            let result = self.poll(&context, target, &mut progress).await;
            self.leader_sender
                .send_replace(result.is_ok().then_some(target));
            match result {
                Ok(()) => {
                    leader = Some(target);
                    tokio::time::sleep(poll_interval(&context)).await;
                }
                Err(hint) => {
                    if let Some(gateway) = &context.gateway {
                        gateway
                            .dispatcher()
                            .requeue_prefix_updates(context.clock.now());
                        gateway.part_monitor().requeue_evidence();
                    }
                    leader = hint.filter(|hint| *hint != target);
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Polls one voter: sends the loads and cached prefixes of this host, and applies the answer.
    ///
    /// # Errors
    ///
    /// Returns the address of the leader, if the voter does not lead and knows who does.
    async fn poll(
        &self,
        context: &Context,
        target: SocketAddr,
        progress: &mut Progress,
    ) -> Result<(), Option<SocketAddr>> {
        let pool = context.pool.as_ref().ok_or(None)?;
        let snapshot = self.snapshot_sender.borrow().clone();
        let polled_at = context.clock.now();
        let local_updates = context.gateway.as_ref().map(|gateway| {
            let mut dispatcher = gateway.dispatcher();
            (
                dispatcher.take_assignment_ids(),
                dispatcher.loads(polled_at),
                dispatcher.take_prefix_updates(polled_at),
                dispatcher.take_samples(),
                dispatcher.take_told(),
                dispatcher.silent_report(polled_at),
            )
        });
        let (assignment_ids, loads, cached_prefixes, samples, told, silent) =
            local_updates.unwrap_or_default();
        let gateway = context.gateway.as_ref();
        let part_evidence = gateway.map(|gateway| {
            let mut monitor = gateway.part_monitor();
            monitor.take_evidence(polled_at)
        });
        let allotment_report = gateway.map(|gateway| gateway.charger.report(polled_at));
        let loads_number = progress.own_reports.record(loads.clone());
        let request = Request {
            allotment_report: allotment_report.unwrap_or_default(),
            edition: match progress.wants_whole_fleet {
                false => snapshot.fleet.edition,
                true => Edition::default(),
            },
            assignment_ids,
            part_evidence: part_evidence.unwrap_or_default(),
            prefix_position: progress.prefix_position,
            host: context.settings.name.clone(),
            loads,
            loads_number,
            cached_prefixes,
            samples,
            silent,
            table_version: snapshot.index.table().version,
            told,
        };
        let client = pool.client(target, None);
        let call = client.call(POLL_TIMEOUT, |peer, call| async move {
            peer.routing_update(call, request).await
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
        let fleet = self.apply_fleet(context, &snapshot, progress, update.fleet.take())?;
        if let Some(gateway) = &context.gateway {
            let now = context.clock.now();
            let batch = std::mem::take(&mut update.allotment_batch);
            gateway
                .charger
                .apply(polled_at, poll_interval(context), batch);
            let mut versions = gateway.versions();
            versions.merge(polled_at, &update.version_ages);
            versions.record(polled_at, &update.weights);
            drop(versions);
            let verdict = update.part_verdict.take();
            gateway.part_monitor().adopt(now, verdict);
            let (sums, included) = (&update.loads, update.loads_included);
            let other_loads = progress.own_reports.others(&fleet, sums, included);
            let announcements = std::mem::take(&mut update.announcements);
            let cached_prefixes = prefix_log::entries(&fleet, update.loads.edition, announcements);
            let mut dispatcher = gateway.dispatcher();
            if let Some(other_loads) = other_loads {
                dispatcher.set_other_loads(now, other_loads);
            }
            dispatcher.record_remote_prefixes(now, cached_prefixes);
            dispatcher.set_models(update.models.clone());
            if sums.edition == fleet.edition {
                dispatcher.set_paces(now, &fleet, &update.paces);
                dispatcher.set_silent_news(now, polled_at, &fleet, &update.silent);
            }
            if progress.prefix_position.term != update.prefix_position.term {
                dispatcher.requeue_prefix_updates(now);
            }
            drop(dispatcher);
            gateway_room::call_all(gateway, now, &fleet);
        }
        progress.prefix_position = update.prefix_position;
        self.publish_changes(context, &snapshot, fleet, update);
        let mut freshness = self
            .freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        freshness.confirm(polled_at);
        Ok(())
    }

    /// Returns the newest edition of the fleet. A difference that does not fit is dropped with the
    /// rest of its update, and the next request asks for the whole fleet.
    ///
    /// # Errors
    ///
    /// Returns an error like that of a poll without an answer.
    fn apply_fleet(
        &self,
        context: &Context,
        snapshot: &Snapshot,
        progress: &mut Progress,
        update: Option<FleetUpdate>,
    ) -> Result<Arc<Fleet>, Option<SocketAddr>> {
        let fleet = match update {
            None => Ok(snapshot.fleet.clone()),
            Some(update) => update.apply(&snapshot.fleet),
        };
        progress.wants_whole_fleet = fleet.is_err();
        fleet.map_err(|error| {
            let details = slog::o!("error" => error.to_string());
            event::emit(&context.log, Event::FleetMisfit, details);
            None
        })
    }

    /// Publishes a new snapshot if the update contains a change.
    fn publish_changes(
        &self,
        context: &Context,
        snapshot: &Snapshot,
        fleet: Arc<Fleet>,
        update: RoutingUpdate,
    ) {
        let newer = |table: &Arc<_>| {
            let table: &Arc<state::routing::Table> = table;
            table.version > snapshot.index.table().version
        };
        let table = update.table.filter(newer);
        let is_newer_fleet = fleet.edition > snapshot.fleet.edition;
        if table.is_none() && !is_newer_fleet && update.weights == snapshot.weights {
            return;
        }
        if let Some(table) = &table {
            let details = slog::o!("version" => table.version, "routes" => table.routes.len());
            event::emit(&context.log, Event::RoutesApplied, details);
        }
        self.snapshot_sender.send_replace(Arc::new(Snapshot {
            fleet: match is_newer_fleet {
                false => snapshot.fleet.clone(),
                true => fleet,
            },
            index: table.map_or_else(
                || snapshot.index.clone(),
                |t| Arc::new(RoutingIndex::new(t)),
            ),
            weights: update.weights,
        }));
    }
}

/// Returns the time between polls.
fn poll_interval(context: &Context) -> Duration {
    let hosts = context.view().present(Role::Entry).count() as u64;
    Duration::from_millis(MIN_POLL_INTERVAL_MS.max(hosts * MIN_POLL_INTERVAL_PER_HOST_MS))
}

/// Returns the addresses of the voters: those in the member list, then those in the settings.
fn voters(context: &Context) -> Vec<SocketAddr> {
    let view = context.view();
    let present = view.present(Role::Voter);
    let mut voters: Vec<SocketAddr> = present.map(|m| m.record.profile.peer).collect();
    let configured = context.settings.voters.iter().map(|voter| voter.address);
    for address in configured {
        if !voters.contains(&address) {
            voters.push(address);
        }
    }
    voters
}
