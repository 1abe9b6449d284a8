//! The broker, which admits and places requests on the upstreams that it owns.
//!
//! A broker is the only owner of the cache directory, the load and the queues of its upstreams. It
//! keeps only soft state: a new owner rebuilds it from cache snapshots, load reports and the
//! requests in flight that entry hosts report to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::admission;
use crate::admission::Admission;
use crate::admission::Reason;
use crate::admission::Refusal;
use crate::admission::Rules;
use crate::engine_load::BackgroundTerms;
use crate::engine_load::BackupLimit;
use crate::engine_load::SentWork;
use crate::engine_load::Standing;
use crate::engine_load::WorkClass;
pub use crate::grant::Grant;
pub use crate::placement_request::PlacementId;
pub use crate::placement_request::PlacementRequest;
pub use crate::report::InFlightRequest;
use crate::report::LoadReport;
use crate::report::Progress;
pub use crate::report::ProgressReport;
use crate::upstream_pool::Proposal;
use crate::upstream_pool::QueuedWork;
use crate::upstream_pool::UpstreamPool;
use state::cache_directory;
use state::cache_directory::Batch;
use state::cache_directory::CacheDirectory;
use state::cache_directory::Snapshot;
use state::cache_directory::UpstreamIndex;
use state::fair_queue::Verdict;
use state::rank::Rank;
use state::table::Table;
use state::time::Instant;

/// Part of the remembered demand of urgent work that is dropped at each check for expired requests
/// while the present demand is lower, as a divisor.
const DEMAND_DECAY_DIVISOR: u64 = 64;
/// Time between two checks for expired requests, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 50;
/// Age at which a placed request counts as ended, in case the report of its end was lost, in
/// milliseconds.
const IN_FLIGHT_LIFETIME_MS: u64 = 600_000;
/// Least time between two requests for a snapshot of one upstream, and the time after which a
/// request is retried that no upstream can take, in milliseconds.
const RESYNC_INTERVAL_MS: u64 = 500;

/// An event that a broker handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request asks to be placed.
    Arrival(PlacementRequest),
    /// Limits the requests in flight on each upstream, for a backup broker, which places requests
    /// while the owner is unreachable.
    BackupLimit(BackupLimit),
    /// The cache of an upstream changed.
    Cache {
        /// The changes, in order.
        batch: Batch,
        /// Name of the upstream.
        upstream: String,
    },
    /// The caller of a request left before the request was placed.
    Cancel(PlacementId),
    /// A request that an earlier owner placed is still in flight.
    InFlight(InFlightRequest),
    /// An upstream reported its load.
    Load {
        /// The load report.
        report: LoadReport,
        /// Name of the upstream.
        upstream: String,
    },
    /// A granted request made progress or ended.
    Report(ProgressReport),
    /// Sets the share of each fleet-wide limit that this broker may use, in thousandths.
    Share(u64),
    /// An upstream sent the whole content of its cache.
    Snapshot {
        /// The content.
        snapshot: Snapshot,
        /// Name of the upstream.
        upstream: String,
    },
    /// The standing of an upstream, which says whether it may get new work, changed.
    Standing {
        /// The new standing.
        standing: Standing,
        /// Name of the upstream.
        upstream: String,
    },
    /// There is a newer table.
    Table {
        /// Names of the upstreams that this broker owns; `None` means all.
        owned: Option<BTreeSet<String>>,
        /// The table.
        table: Arc<Table>,
    },
    /// Time has passed.
    Tick,
}

/// An action that the caller of [`Broker::step`] must take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Have an upstream export blocks to the KV store.
    Export {
        /// Name of the upstream that holds the blocks.
        source: String,
        /// Name of the store.
        store: String,
        /// ID of the placement whose prompt consists of these blocks.
        placement_id: PlacementId,
    },
    /// Admit a request to an upstream.
    Grant(Box<Grant>),
    /// Refuse a request.
    Refuse(Refusal),
    /// Request the whole content of an upstream's cache.
    Resync {
        /// Name of the upstream.
        upstream: String,
    },
}

/// A placed request that has not ended; `grant` is kept to answer a repeated request for placement.
#[derive(Clone, Debug)]
struct PlacedRequest {
    request: PlacementRequest,
    grant: Option<Box<Grant>>,
    index: UpstreamIndex,
    work: SentWork,
}

/// Admits and places requests on the upstreams that it owns.
#[derive(Clone, Debug, Default)]
pub struct Broker {
    admission: Admission,
    urgent_demand: u64,
    directory: CacheDirectory,
    last_expiry: Instant,
    in_flight: HashMap<PlacementId, PlacedRequest>,
    upstreams: UpstreamPool,
    last_resyncs: BTreeMap<UpstreamIndex, Instant>,
    queued: HashSet<PlacementId>,
}

impl Broker {
    /// Returns the cache directory, for metrics and status pages.
    pub fn directory(&self) -> &CacheDirectory {
        &self.directory
    }

    /// Returns how many placed requests have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the upstreams, for metrics and status pages.
    pub fn upstreams(&self) -> &UpstreamPool {
        &self.upstreams
    }

    /// Returns how many requests of `rank` are queued.
    pub fn queued(&self, rank: Rank) -> usize {
        self.admission.len(rank)
    }

    /// Handles one event and returns the effects.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Arrival(request) => self.on_arrival(request, now, &mut effects),
            Event::BackupLimit(limit) => self.upstreams.set_backup_limit(limit),
            Event::Cache { batch, upstream } => {
                self.on_cache(batch, &upstream, now, &mut effects);
                return effects;
            }
            Event::Cancel(placement_id) => self.on_cancel(placement_id, now),
            Event::InFlight(request) => self.on_in_flight(request, now),
            Event::Load { report, upstream } => self.on_load(report, &upstream, now, &mut effects),
            Event::Report(report) => self.on_progress(report, now, &mut effects),
            Event::Share(thousandths) => self.admission.set_share(thousandths),
            Event::Snapshot { snapshot, upstream } => {
                self.on_snapshot(&snapshot, &upstream, now, &mut effects);
            }
            Event::Standing { standing, upstream } => self.on_standing(standing, &upstream, now),
            Event::Table { owned, table } => self.on_table(&table, owned.as_ref()),
            Event::Tick => self.tick(now, &mut effects),
        }
        self.dispatch(now, &mut effects);
        effects
    }

    fn on_arrival(&mut self, request: PlacementRequest, now: Instant, effects: &mut Vec<Effect>) {
        if let Some(placed) = self.in_flight.get(&request.placement_id) {
            effects.extend(placed.grant.clone().map(Effect::Grant));
            return;
        }
        let placement_id = request.placement_id;
        if self.queued.contains(&placement_id) {
            return;
        }
        if !self.upstreams.can_serve(&request) {
            let reason = match self.upstreams.lists_model(&request.model) {
                false => Reason::NotOwner,
                true => Reason::NoUpstream,
            };
            effects.push(Effect::Refuse(Refusal {
                reason,
                retry_after_ms: RESYNC_INTERVAL_MS,
                placement_id,
            }));
            return;
        }
        match self.admission.admit(request, now) {
            Ok(()) => {
                self.queued.insert(placement_id);
            }
            Err(refusal) => effects.push(Effect::Refuse(refusal)),
        }
    }

    fn on_cache(&mut self, batch: Batch, upstream: &str, now: Instant, effects: &mut Vec<Effect>) {
        let Some(index) = self.upstreams.index_of(upstream) else {
            return;
        };
        if self.upstreams.is_dead(index) {
            return;
        }
        let previous = self.directory.incarnation(index);
        let incarnation = batch.incarnation;
        let outcome = self.directory.apply_batch(index, batch, now);
        if previous.is_some_and(|previous| previous < incarnation) {
            self.upstreams.restart(index, incarnation, now);
        }
        if outcome == cache_directory::Outcome::Gap {
            self.resync(index, now, effects);
        }
    }

    fn on_cancel(&mut self, placement_id: PlacementId, now: Instant) {
        if self.queued.remove(&placement_id) {
            self.admission.cancel(placement_id);
            return;
        }
        self.finish(placement_id, now);
    }

    fn dispatch(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while !self.admission.is_empty() {
            let (first_rank, below_floor) = self.admission.next_rank(now);
            let other_rank = match first_rank {
                Rank::Background => Rank::Urgent,
                Rank::Urgent => Rank::Background,
            };
            let any_placed = self.place_next(first_rank, below_floor, now, effects)
                || self.place_next(other_rank, false, now, effects);
            if !any_placed {
                return;
            }
        }
    }

    fn finish(&mut self, placement_id: PlacementId, now: Instant) {
        if let Some(mut placed) = self.in_flight.remove(&placement_id) {
            self.upstreams
                .record_end(placed.index, &mut placed.work, now);
            self.admission.remove_usage(&placed.request);
        }
    }

    fn on_in_flight(&mut self, in_flight: InFlightRequest, now: Instant) {
        let Some(index) = self.upstreams.index_of(&in_flight.upstream) else {
            return;
        };
        let InFlightRequest {
            request, prefilled, ..
        } = in_flight;
        if self.in_flight.contains_key(&request.placement_id) {
            return;
        }
        let mut work = self
            .upstreams
            .record_sent(index, 0, request.rank, request.rank, now);
        if prefilled {
            self.upstreams.record_first_token(index, &mut work, now);
        }
        self.admission.add_usage(&request);
        let placed = PlacedRequest {
            request,
            grant: None,
            index,
            work,
        };
        self.in_flight.insert(placed.request.placement_id, placed);
    }

    fn on_load(
        &mut self,
        report: LoadReport,
        upstream: &str,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = self.upstreams.index_of(upstream) else {
            return;
        };
        let known_incarnation = self.directory.incarnation(index);
        if self.upstreams.apply_report(index, report, now) {
            self.directory.invalidate(index);
        }
        if known_incarnation.is_none() {
            self.resync(index, now, effects);
        }
    }

    fn place_next(
        &mut self,
        rank: Rank,
        below_floor: bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let priority = if below_floor { Rank::Urgent } else { rank };
        let terms = BackgroundTerms {
            below_floor,
            reserved_slots: self.upstreams.urgent_reserve(
                self.urgent_demand,
                self.admission.background_floor_percent(),
            ),
            urgent_waits: self.admission.len(Rank::Urgent) > 0,
        };
        let class = |light: bool| match rank {
            Rank::Background => WorkClass::Background(terms),
            Rank::Urgent if light => WorkClass::LightCaller,
            Rank::Urgent => WorkClass::HeavyCaller,
        };
        if !self.upstreams.any_accepts(class(true), now) {
            return false;
        }
        let mut chosen = None;
        let mut queued_work = QueuedWork::default();
        let upstreams = &self.upstreams;
        let directory = &self.directory;
        let rules = self.admission.rules();
        let queued = self.admission.take(rank, |queued, light| {
            let trade = rules.trade(&queued.request.workspace);
            let request = &queued.request;
            let proposal =
                upstreams.propose(request, priority, trade, directory, &queued_work, now);
            if !upstreams.accepts(proposal.index, class(light), now) {
                queued_work.add(proposal.index, proposal.work_us);
                return Verdict::Skip;
            }
            let work = proposal.work;
            chosen = Some(proposal);
            Verdict::Take(work)
        });
        let (Some(queued), Some(proposal)) = (queued, chosen) else {
            return false;
        };
        self.queued.remove(&queued.request.placement_id);
        self.grant(queued, proposal, now, effects);
        true
    }

    fn grant(
        &mut self,
        queued: admission::QueuedRequest,
        proposal: Proposal,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let request = queued.request;
        let index = proposal.index;
        let prefill_tokens = proposal.prefill_tokens;
        let work =
            self.upstreams
                .record_sent(index, prefill_tokens, request.rank, proposal.priority, now);
        let served = admission::expected_work(prefill_tokens, request.output_tokens);
        self.admission.record_served(request.rank, served, now);
        self.directory.add_expected(index, &request.blocks, now);
        let grant = Box::new(Grant {
            expected_us: proposal.expected_us,
            import: proposal.import,
            incarnation: self.directory.incarnation(index),
            priority: proposal.priority,
            resident_blocks: proposal.resident_blocks,
            scores: proposal.scores,
            placement_id: request.placement_id,
            upstream: self.upstreams.name(index).to_owned(),
            version: self.upstreams.version(index).map(str::to_owned),
            waited_ms: now.since(queued.queued_at),
        });
        effects.push(Effect::Grant(grant.clone()));
        let placed = PlacedRequest {
            request,
            grant: Some(grant),
            index,
            work,
        };
        self.in_flight.insert(placed.request.placement_id, placed);
    }

    fn on_progress(&mut self, report: ProgressReport, now: Instant, effects: &mut Vec<Effect>) {
        match report.progress {
            Progress::Failed => {
                if let Some(placed) = self.in_flight.get(&report.placement_id) {
                    self.directory
                        .remove_expected(placed.index, &placed.request.blocks);
                    self.upstreams.record_failure(placed.index, now);
                }
                self.finish(report.placement_id, now);
            }
            Progress::Finished => self.finish(report.placement_id, now),
            Progress::FirstToken => {
                if let Some(placed) = self.in_flight.get_mut(&report.placement_id) {
                    self.upstreams
                        .record_first_token(placed.index, &mut placed.work, now);
                    let store = self.upstreams.export_target(
                        &placed.request,
                        placed.index,
                        &self.directory,
                        now,
                    );
                    effects.extend(store.map(|store| Effect::Export {
                        source: self.upstreams.name(placed.index).to_owned(),
                        store,
                        placement_id: report.placement_id,
                    }));
                }
            }
        }
    }

    /// Requests a snapshot, unless one was requested less than `RESYNC_INTERVAL_MS` ago.
    fn resync(&mut self, index: UpstreamIndex, now: Instant, effects: &mut Vec<Effect>) {
        let requested_at = self.last_resyncs.get(&index);
        if requested_at.is_some_and(|requested_at| now.since(*requested_at) < RESYNC_INTERVAL_MS) {
            return;
        }
        self.last_resyncs.insert(index, now);
        effects.push(Effect::Resync {
            upstream: self.upstreams.name(index).to_owned(),
        });
    }

    fn on_snapshot(
        &mut self,
        snapshot: &Snapshot,
        upstream: &str,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = self.upstreams.index_of(upstream) else {
            return;
        };
        if self.upstreams.is_dead(index) {
            return;
        }
        if self.directory.apply_snapshot(index, snapshot, now) == cache_directory::Outcome::Gap {
            self.resync(index, now, effects);
        }
    }

    fn on_standing(&mut self, standing: Standing, upstream: &str, now: Instant) {
        let Some(index) = self.upstreams.index_of(upstream) else {
            return;
        };
        self.upstreams.set_standing(index, standing, now);
        if standing == Standing::Dead {
            self.directory.invalidate(index);
        }
    }

    fn on_table(&mut self, table: &Table, owned: Option<&BTreeSet<String>>) {
        self.upstreams.update(table, owned);
        self.admission.set_rules(Arc::new(Rules::from_table(table)));
        for index in self.upstreams.unlisted() {
            self.directory.invalidate(index);
        }
    }

    fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for index in self.directory.tick(now) {
            self.resync(index, now, effects);
        }
        if now.since(self.last_expiry) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.last_expiry = now;
        let demand = self.upstreams.urgent_in_flight() + self.admission.len(Rank::Urgent) as u64;
        self.urgent_demand =
            demand.max(self.urgent_demand - self.urgent_demand.div_ceil(DEMAND_DECAY_DIVISOR));
        for refusal in self.admission.expire(now) {
            self.queued.remove(&refusal.placement_id);
            effects.push(Effect::Refuse(refusal));
        }
        let is_lost =
            |placed: &PlacedRequest| now.since(placed.work.granted_at) >= IN_FLIGHT_LIFETIME_MS;
        let placement_ids: Vec<PlacementId> = self
            .in_flight
            .iter()
            .filter(|(_, placed)| is_lost(placed))
            .map(|(placement_id, _)| *placement_id)
            .collect();
        for placement_id in placement_ids {
            self.finish(placement_id, now);
        }
    }
}
