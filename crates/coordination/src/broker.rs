//! The broker: one owner of the cache directory, load and admission of its upstreams.
//!
//! All its state is soft. A new owner rebuilds it from cache snapshots, load reports and what the
//! entries report again.

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
use crate::engine_load::BackupLimit;
use crate::engine_load::Class;
use crate::engine_load::Standing;
use crate::engine_load::Turn;
use crate::engine_load::Work;
pub use crate::grant::Grant;
pub use crate::placement_request::PlacementId;
pub use crate::placement_request::PlacementRequest;
use crate::pool::Pool;
use crate::pool::Promised;
use crate::pool::Proposal;
pub use crate::report::InFlightRequest;
use crate::report::LoadReport;
use crate::report::Progress;
pub use crate::report::ProgressReport;
use state::cache_directory;
use state::cache_directory::Batch;
use state::cache_directory::CacheDirectory;
use state::cache_directory::Snapshot;
use state::cache_directory::UpstreamIndex;
use state::fair_queue::Verdict;
use state::rank::Rank;
use state::table::Table;
use state::time::Instant;

const BUSY_DECAY: u64 = 64;
const EXPIRY_MS: u64 = 50;
const HELD_LIFETIME_MS: u64 = 600_000;
const RESYNC_MS: u64 = 500;

/// Tells a broker what happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Asks for a place.
    Arrival(PlacementRequest),
    /// Bounds the requests in flight on each upstream, for a broker that stands in for an owner.
    BackupLimit(BackupLimit),
    /// Brings changes of an upstream's cache.
    Cache {
        /// Holds the changes.
        batch: Batch,
        /// Names the upstream.
        upstream: String,
    },
    /// Means that the caller of a request left before it was placed.
    Cancel(PlacementId),
    /// Reports a request again that an earlier owner placed.
    InFlight(InFlightRequest),
    /// Brings a load report.
    Load {
        /// Holds the report.
        report: LoadReport,
        /// Names the upstream.
        upstream: String,
    },
    /// Reports on a granted request.
    Report(ProgressReport),
    /// Sets the part of each fleet-wide limit that this broker may use, in thousandths.
    Share(u64),
    /// Brings the whole content of an upstream's cache.
    Snapshot {
        /// Holds the content.
        snapshot: Snapshot,
        /// Names the upstream.
        upstream: String,
    },
    /// Tells whether an upstream may get new work.
    Standing {
        /// Holds the verdict.
        standing: Standing,
        /// Names the upstream.
        upstream: String,
    },
    /// Brings a newer table.
    Table {
        /// Names the upstreams that this broker owns; all of them where it is `None`.
        owned: Option<BTreeSet<String>>,
        /// Holds the table.
        table: Arc<Table>,
    },
    /// Means that time has passed.
    Tick,
}

/// Tells the owner of a broker what to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Asks an upstream to copy blocks to the kept-KV store.
    Export {
        /// Names the upstream that holds the blocks.
        source: String,
        /// Names the store.
        store: String,
        /// Identifies the placement whose prompt holds them.
        placement_id: PlacementId,
    },
    /// Gives a request its place.
    Grant(Box<Grant>),
    /// Refuses a request.
    Refuse(Refusal),
    /// Asks an upstream for the whole content of its cache.
    Resync {
        /// Names the upstream.
        upstream: String,
    },
}

#[derive(Clone, Debug)]
struct Placed {
    ask: PlacementRequest,
    grant: Option<Box<Grant>>,
    slot: UpstreamIndex,
    work: Work,
}

/// Places requests on the upstreams that it owns.
#[derive(Clone, Debug, Default)]
pub struct Broker {
    admission: Admission,
    busy: u64,
    directory: CacheDirectory,
    expired: Instant,
    held: HashMap<PlacementId, Placed>,
    pool: Pool,
    resyncs: BTreeMap<UpstreamIndex, Instant>,
    waiting: HashSet<PlacementId>,
}

impl Broker {
    /// Returns the directory, for measures and the operators' view.
    pub fn directory(&self) -> &CacheDirectory {
        &self.directory
    }

    /// Returns how many placed requests have not ended.
    pub fn in_flight(&self) -> usize {
        self.held.len()
    }

    /// Returns the upstreams, for measures and the operators' view.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns how many requests of `rank` wait.
    pub fn queued(&self, rank: Rank) -> usize {
        self.admission.len(rank)
    }

    /// Takes in one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Arrival(ask) => self.ask(ask, now, &mut effects),
            Event::BackupLimit(bound) => self.pool.bound(bound),
            Event::Cache { batch, upstream } => {
                self.cache(batch, &upstream, now, &mut effects);
                return effects;
            }
            Event::Cancel(placement_id) => self.cancel(placement_id, now),
            Event::InFlight(held) => self.hold_again(held, now),
            Event::Load { report, upstream } => self.load(report, &upstream, now, &mut effects),
            Event::Report(report) => self.report(report, now, &mut effects),
            Event::Share(thousandths) => self.admission.share(thousandths),
            Event::Snapshot { snapshot, upstream } => {
                self.snapshot(&snapshot, &upstream, now, &mut effects);
            }
            Event::Standing { standing, upstream } => self.stand(standing, &upstream, now),
            Event::Table { owned, table } => self.table(&table, owned.as_ref()),
            Event::Tick => self.tick(now, &mut effects),
        }
        self.dispatch(now, &mut effects);
        effects
    }

    fn ask(&mut self, ask: PlacementRequest, now: Instant, effects: &mut Vec<Effect>) {
        if let Some(held) = self.held.get(&ask.placement_id) {
            effects.extend(held.grant.clone().map(Effect::Grant));
            return;
        }
        let placement_id = ask.placement_id;
        if self.waiting.contains(&placement_id) {
            return;
        }
        if !self.pool.serves(&ask) {
            let reason = match self.pool.lists(&ask.model) {
                false => Reason::NotOwner,
                true => Reason::NoUpstream,
            };
            effects.push(Effect::Refuse(Refusal {
                reason,
                retry_after_ms: RESYNC_MS,
                placement_id,
            }));
            return;
        }
        match self.admission.admit(ask, now) {
            Ok(()) => {
                self.waiting.insert(placement_id);
            }
            Err(refusal) => effects.push(Effect::Refuse(refusal)),
        }
    }

    fn cache(&mut self, batch: Batch, upstream: &str, now: Instant, effects: &mut Vec<Effect>) {
        let Some(slot) = self.pool.slot(upstream) else {
            return;
        };
        if self.pool.is_dead(slot) {
            return;
        }
        let before = self.directory.incarnation(slot);
        let incarnation = batch.incarnation;
        let outcome = self.directory.apply_batch(slot, batch, now);
        if before.is_some_and(|before| before < incarnation) {
            self.pool.restart(slot, incarnation, now);
        }
        if outcome == cache_directory::Outcome::Gap {
            self.resync(slot, now, effects);
        }
    }

    fn cancel(&mut self, placement_id: PlacementId, now: Instant) {
        if self.waiting.remove(&placement_id) {
            self.admission.cancel(placement_id);
            return;
        }
        self.finish(placement_id, now);
    }

    fn dispatch(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while !self.admission.is_empty() {
            let (first, owed) = self.admission.next(now);
            let other = match first {
                Rank::Background => Rank::Urgent,
                Rank::Urgent => Rank::Background,
            };
            let placed =
                self.place(first, owed, now, effects) || self.place(other, false, now, effects);
            if !placed {
                return;
            }
        }
    }

    fn finish(&mut self, placement_id: PlacementId, now: Instant) {
        if let Some(mut held) = self.held.remove(&placement_id) {
            self.pool.end(held.slot, &mut held.work, now);
            self.admission.release(&held.ask);
        }
    }

    fn hold_again(&mut self, held: InFlightRequest, now: Instant) {
        let Some(slot) = self.pool.slot(&held.upstream) else {
            return;
        };
        let InFlightRequest {
            request: ask,
            prefilled,
            ..
        } = held;
        if self.held.contains_key(&ask.placement_id) {
            return;
        }
        let mut work = self.pool.begin(slot, 0, ask.rank, ask.rank, now);
        if prefilled {
            self.pool.start(slot, &mut work, now);
        }
        self.admission.count(&ask);
        let held = Placed {
            ask,
            grant: None,
            slot,
            work,
        };
        self.held.insert(held.ask.placement_id, held);
    }

    fn load(
        &mut self,
        sample: LoadReport,
        upstream: &str,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(slot) = self.pool.slot(upstream) else {
            return;
        };
        let known = self.directory.incarnation(slot);
        if self.pool.measure(slot, sample, now) {
            self.directory.invalidate(slot);
        }
        if known.is_none() {
            self.resync(slot, now, effects);
        }
    }

    fn place(&mut self, rank: Rank, owed: bool, now: Instant, effects: &mut Vec<Effect>) -> bool {
        let priority = if owed { Rank::Urgent } else { rank };
        let turn = Turn {
            owed,
            reserve: self.pool.reserve(self.busy, self.admission.floor_percent()),
            yields: self.admission.len(Rank::Urgent) > 0,
        };
        let class = |light: bool| match rank {
            Rank::Background => Class::Background(turn),
            Rank::Urgent if light => Class::Light,
            Rank::Urgent => Class::Heavy,
        };
        if !self.pool.any_open(class(true), now) {
            return false;
        }
        let mut chosen = None;
        let mut promised = Promised::default();
        let pool = &self.pool;
        let directory = &self.directory;
        let rules = self.admission.rules();
        let waiting = self.admission.take(rank, |waiting, light| {
            let trade = rules.trade(&waiting.ask.workspace);
            let ask = &waiting.ask;
            let proposal = pool.propose(ask, priority, trade, directory, &promised, now);
            if !pool.open(proposal.slot, class(light), now) {
                promised.add(proposal.slot, proposal.work_us);
                return Verdict::Skip;
            }
            let work = proposal.work;
            chosen = Some(proposal);
            Verdict::Take(work)
        });
        let (Some(waiting), Some(proposal)) = (waiting, chosen) else {
            return false;
        };
        self.waiting.remove(&waiting.ask.placement_id);
        self.hold(waiting, proposal, now, effects);
        true
    }

    fn hold(
        &mut self,
        waiting: admission::Waiting,
        proposal: Proposal,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let ask = waiting.ask;
        let slot = proposal.slot;
        let tokens = proposal.tokens;
        let work = self
            .pool
            .begin(slot, tokens, ask.rank, proposal.priority, now);
        let served = admission::work(tokens, ask.output_tokens);
        self.admission.serve(ask.rank, served, now);
        self.directory.add_expected(slot, &ask.blocks, now);
        let grant = Box::new(Grant {
            expected_us: proposal.expected_us,
            import: proposal.import,
            incarnation: self.directory.incarnation(slot),
            priority: proposal.priority,
            resident_blocks: proposal.resident,
            scores: proposal.scores,
            placement_id: ask.placement_id,
            upstream: self.pool.name(slot).to_owned(),
            version: self.pool.version(slot).map(str::to_owned),
            waited_ms: now.since(waiting.since),
        });
        effects.push(Effect::Grant(grant.clone()));
        let held = Placed {
            ask,
            grant: Some(grant),
            slot,
            work,
        };
        self.held.insert(held.ask.placement_id, held);
    }

    fn report(&mut self, report: ProgressReport, now: Instant, effects: &mut Vec<Effect>) {
        match report.progress {
            Progress::Failed => {
                if let Some(held) = self.held.get(&report.placement_id) {
                    self.directory.remove_expected(held.slot, &held.ask.blocks);
                    self.pool.fail(held.slot, now);
                }
                self.finish(report.placement_id, now);
            }
            Progress::Finished => self.finish(report.placement_id, now),
            Progress::FirstToken => {
                if let Some(held) = self.held.get_mut(&report.placement_id) {
                    self.pool.start(held.slot, &mut held.work, now);
                    let store = self.pool.store(&held.ask, held.slot, &self.directory, now);
                    effects.extend(store.map(|store| Effect::Export {
                        source: self.pool.name(held.slot).to_owned(),
                        store,
                        placement_id: report.placement_id,
                    }));
                }
            }
        }
    }

    /// Asks for a snapshot, unless one was asked for a moment ago.
    fn resync(&mut self, slot: UpstreamIndex, now: Instant, effects: &mut Vec<Effect>) {
        let asked = self.resyncs.get(&slot);
        if asked.is_some_and(|asked| now.since(*asked) < RESYNC_MS) {
            return;
        }
        self.resyncs.insert(slot, now);
        effects.push(Effect::Resync {
            upstream: self.pool.name(slot).to_owned(),
        });
    }

    fn snapshot(
        &mut self,
        snapshot: &Snapshot,
        upstream: &str,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(slot) = self.pool.slot(upstream) else {
            return;
        };
        if self.pool.is_dead(slot) {
            return;
        }
        if self.directory.apply_snapshot(slot, snapshot, now) == cache_directory::Outcome::Gap {
            self.resync(slot, now, effects);
        }
    }

    fn stand(&mut self, standing: Standing, upstream: &str, now: Instant) {
        let Some(slot) = self.pool.slot(upstream) else {
            return;
        };
        self.pool.stand(slot, standing, now);
        if standing == Standing::Dead {
            self.directory.invalidate(slot);
        }
    }

    fn table(&mut self, table: &Table, owned: Option<&BTreeSet<String>>) {
        self.pool.update(table, owned);
        self.admission.rule(Arc::new(Rules::read(table)));
        for slot in self.pool.gone() {
            self.directory.invalidate(slot);
        }
    }

    fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for slot in self.directory.tick(now) {
            self.resync(slot, now, effects);
        }
        if now.since(self.expired) < EXPIRY_MS {
            return;
        }
        self.expired = now;
        let busy = self.pool.urgent() + self.admission.len(Rank::Urgent) as u64;
        self.busy = busy.max(self.busy - self.busy.div_ceil(BUSY_DECAY));
        for refusal in self.admission.expire(now) {
            self.waiting.remove(&refusal.placement_id);
            effects.push(Effect::Refuse(refusal));
        }
        let lost = |held: &Placed| now.since(held.work.granted) >= HELD_LIFETIME_MS;
        let placement_ids: Vec<PlacementId> = self
            .held
            .iter()
            .filter(|(_, held)| lost(held))
            .map(|(placement_id, _)| *placement_id)
            .collect();
        for placement_id in placement_ids {
            self.finish(placement_id, now);
        }
    }
}
