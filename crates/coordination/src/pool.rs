//! The upstreams of a broker: their rows of the table, their standing and their load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::admission;
use crate::engine_load::BackupLimit;
use crate::engine_load::Class;
use crate::engine_load::EngineLoad;
use crate::engine_load::Standing;
use crate::engine_load::Work;
use crate::grant::Import;
use crate::grant::MAX_SCORES;
use crate::grant::Score;
use crate::placement;
use crate::placement::Candidate;
use crate::placement::Demand;
use crate::placement::Rating;
use crate::placement_request::PlacementRequest;
use crate::report::LoadReport;
use state::cache_directory::CacheDirectory;
use state::cache_directory::CachedPrefixes;
use state::cache_directory::UpstreamIndex;
use state::column::Column;
use state::ident::BlockHash;
use state::ident::Incarnation;
use state::rank::Rank;
use state::row::Row;
use state::sheet::Sheet;
use state::table::Table;
use state::time::Instant;

const LEAST_RESERVE: u64 = 25;
const PERCENT: u64 = 100;
const RESERVE_PERCENT: u64 = 130;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Role {
    #[default]
    Engine,
    Store,
}

#[derive(Clone, Copy, Debug, Default)]
struct Source {
    blocks: u32,
    slot: Option<UpstreamIndex>,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    capacity: EngineLoad,
    domain: String,
    incarnation: Option<Incarnation>,
    listed: bool,
    model: String,
    name: String,
    role: Role,
    seed: u64,
    serving: bool,
    standing: Standing,
    weight: u64,
}

/// Proposes a place for a request.
#[derive(Clone, Debug, Default)]
pub struct Proposal {
    /// Gives the expected time to the first token, in microseconds.
    pub expected_us: u64,
    /// Names where to import from.
    pub import: Option<Import>,
    /// Ranks the request within the upstream.
    pub priority: Rank,
    /// Gives the leading blocks that the upstream is thought to hold.
    pub resident: u32,
    /// Lists the best upstreams, cheapest first.
    pub scores: Vec<Score>,
    /// Names the upstream.
    pub slot: UpstreamIndex,
    /// Gives the prompt tokens that the upstream has to compute.
    pub tokens: u64,
    /// Gives the expected work, in tokens of prompt.
    pub work: u64,
    /// Gives the time that bringing in and computing the prompt takes, in microseconds.
    pub work_us: u64,
}

/// Sums the work of waiting requests that would rather wait for an upstream than go elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Promised {
    us: Vec<u64>,
}

/// Holds the upstreams of a broker.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    bound: Option<BackupLimit>,
    slots: BTreeMap<String, UpstreamIndex>,
    upstreams: Vec<Upstream>,
}

impl Promised {
    /// Adds the work of a request that waits for the upstream.
    pub fn add(&mut self, slot: UpstreamIndex, us: u64) {
        let at = usize::from(slot.0);
        if self.us.len() <= at {
            self.us.resize(at + 1, 0);
        }
        self.us[at] += us;
    }

    /// Returns the time that the upstream will take for what waits for it, in microseconds.
    pub fn at(&self, slot: UpstreamIndex) -> u64 {
        self.us.get(usize::from(slot.0)).copied().unwrap_or(0)
    }
}

impl Upstream {
    fn fits(&self, ask: &PlacementRequest) -> bool {
        let version = ask.version.as_deref();
        self.role == Role::Engine
            && self.usable()
            && self.model == ask.model
            && !ask.excluded.contains(&self.name)
            && (version.is_none() || version == self.capacity.version())
    }

    fn lends(&self, model: &str) -> bool {
        self.listed && self.standing != Standing::Dead && self.holds_model(model)
    }

    fn holds_model(&self, model: &str) -> bool {
        self.model == model || (self.role == Role::Store && self.model.is_empty())
    }

    fn takes_work(&self) -> bool {
        self.role == Role::Engine && self.usable()
    }

    fn usable(&self) -> bool {
        self.listed && self.serving && self.standing == Standing::Usable
    }

    fn update(&mut self, row: &Row) {
        self.domain = row.text(Column::Domain).unwrap_or_default().to_owned();
        self.listed = true;
        self.model = row.text(Column::Model).unwrap_or_default().to_owned();
        self.role = match row.text(Column::Type) {
            Some("kv_store") => Role::Store,
            _ => Role::Engine,
        };
        self.serving = row.text(Column::Standing).is_none_or(|s| s == "serving");
        self.weight = row
            .number(Column::Weight)
            .unwrap_or(placement::DEFAULT_WEIGHT);
        self.serving &= self.weight > 0;
        let limit = row.number(Column::Limit);
        let limit = limit.map(|limit| u32::try_from(limit).unwrap_or(u32::MAX));
        self.capacity.limit(limit);
    }
}

impl Pool {
    /// Returns whether any upstream takes work of the class at once.
    pub fn any_open(&self, class: Class, now: Instant) -> bool {
        let open = |u: &Upstream| u.takes_work() && u.capacity.open(class, now);
        self.upstreams.iter().any(open)
    }

    /// Records work of `rank` that was sent to an upstream.
    pub fn begin(
        &mut self,
        slot: UpstreamIndex,
        tokens: u64,
        rank: Rank,
        priority: Rank,
        now: Instant,
    ) -> Work {
        let capacity = &mut self.at_mut(slot).capacity;
        capacity.begin(tokens, rank, priority, now)
    }

    /// Bounds the requests in flight on each upstream, for one of several that share it.
    pub fn bound(&mut self, bound: BackupLimit) {
        self.bound = Some(bound);
        for upstream in &mut self.upstreams {
            upstream.capacity.bound(bound);
        }
    }

    /// Records the end of work.
    pub fn end(&mut self, slot: UpstreamIndex, work: &mut Work, now: Instant) {
        self.at_mut(slot).capacity.end(work, now);
    }

    /// Records that an upstream failed a request.
    pub fn fail(&mut self, slot: UpstreamIndex, now: Instant) {
        self.at_mut(slot).capacity.fail(now);
    }

    /// Returns the upstreams that the table no longer lists.
    pub fn gone(&self) -> Vec<UpstreamIndex> {
        let unlisted = |slot: &&UpstreamIndex| !self.at(**slot).listed;
        self.slots.values().filter(unlisted).copied().collect()
    }

    /// Returns whether the upstream is known to be dead.
    pub fn is_dead(&self, slot: UpstreamIndex) -> bool {
        self.at(slot).standing == Standing::Dead
    }

    /// Takes in a load report and returns whether it opens a new run of the upstream.
    pub fn measure(&mut self, slot: UpstreamIndex, sample: LoadReport, now: Instant) -> bool {
        let upstream = self.at_mut(slot);
        if upstream.incarnation.is_some_and(|i| sample.incarnation < i) {
            return false;
        }
        let renewed = upstream.incarnation.is_some_and(|i| i < sample.incarnation);
        if renewed {
            upstream.capacity.reset(now);
        }
        upstream.incarnation = Some(sample.incarnation);
        upstream.capacity.measure(sample, now);
        renewed
    }

    /// Returns the name of an upstream.
    pub fn name(&self, slot: UpstreamIndex) -> &str {
        &self.at(slot).name
    }

    /// Returns whether an upstream takes work of the class at once.
    pub fn open(&self, slot: UpstreamIndex, class: Class, now: Instant) -> bool {
        let upstream = self.upstreams.get(usize::from(slot.0));
        upstream.is_some_and(|upstream| upstream.capacity.open(class, now))
    }

    /// Returns the slots that an upstream should keep for urgent work.
    ///
    /// Urgent work kept `busy` slots busy over all upstreams lately; background keeps `floor`
    /// percent of the slots.
    pub fn reserve(&self, busy: u64, floor: u64) -> u32 {
        let engines = self.upstreams.iter().filter(|u| u.takes_work());
        let slots: u64 = engines.map(|u| u64::from(u.capacity.slots())).sum();
        let count = self.upstreams.iter().filter(|u| u.takes_work()).count() as u64;
        let needed = (busy * RESERVE_PERCENT / PERCENT).max(slots * LEAST_RESERVE / PERCENT);
        let most = slots * (PERCENT - floor.min(PERCENT)) / PERCENT;
        needed.min(most).div_ceil(count.max(1)) as u32
    }

    /// Proposes the best place for a request.
    pub fn propose(
        &self,
        ask: &PlacementRequest,
        priority: Rank,
        trade: u64,
        directory: &CacheDirectory,
        promised: &Promised,
        now: Instant,
    ) -> Proposal {
        let residency = directory.cached_prefixes(&ask.blocks, now);
        let depth = |slot: UpstreamIndex| residency.cached_or_expected(slot);
        let mut deepest: Vec<(Option<&str>, Source)> = Vec::new();
        let mut ratings = Vec::new();
        for (slot, upstream) in self.iter().filter(|(_, upstream)| upstream.fits(ask)) {
            let version = upstream.capacity.version();
            let known = deepest.iter().find(|(found, _)| *found == version);
            let source = known.map(|(_, source)| *source).unwrap_or_else(|| {
                let source = self.deepest(ask, version, directory, &residency, now);
                deepest.push((version, source));
                source
            });
            let demand = Demand {
                blocks: ask.blocks.len() as u32,
                held: source.blocks,
                trade,
            };
            let doubtful = directory.has_gap(slot);
            let mut candidate = candidate(upstream, ask, priority, depth(slot), doubtful, now);
            candidate.wait_us += promised.at(slot);
            ratings.push(placement::rate(demand, slot, &candidate));
        }
        let root = ask.blocks.first().copied().unwrap_or_default();
        placement::sort(&mut ratings, |slot| tie(root, self.at(slot).seed));
        let Some(best) = ratings.first() else {
            return Proposal::default();
        };
        let tokens = u64::from(best.uncached * ask.block_tokens + ask.tail_tokens());
        let version = self.at(best.slot).capacity.version();
        let source = deepest.into_iter().find(|(found, _)| *found == version);
        let source = source.map(|(_, source)| source).unwrap_or_default();
        let import = source
            .slot
            .filter(|slot| source.blocks > 0 && *slot != best.slot);
        Proposal {
            expected_us: best.expected_us,
            import: import.map(|slot| Import {
                blocks: source.blocks,
                source: self.name(slot).to_owned(),
            }),
            priority,
            resident: depth(best.slot),
            scores: ratings
                .iter()
                .take(MAX_SCORES)
                .map(|r| self.score(r, depth(r.slot)))
                .collect(),
            slot: best.slot,
            tokens,
            work: admission::work(tokens, ask.output_tokens),
            work_us: best.work_us,
        }
    }

    /// Forgets the load of an upstream that started anew.
    pub fn restart(&mut self, slot: UpstreamIndex, incarnation: Incarnation, now: Instant) {
        let upstream = self.at_mut(slot);
        if upstream.incarnation.is_none_or(|known| known < incarnation) {
            upstream.incarnation = Some(incarnation);
            upstream.capacity.reset(now);
        }
    }

    /// Returns whether any upstream of the model is listed, usable or not.
    pub fn lists(&self, model: &str) -> bool {
        let listed = |u: &Upstream| u.role == Role::Engine && u.listed && u.model == model;
        self.upstreams.iter().any(listed)
    }

    /// Returns whether any upstream could serve the request.
    pub fn serves(&self, ask: &PlacementRequest) -> bool {
        self.upstreams.iter().any(|upstream| upstream.fits(ask))
    }

    /// Returns the slot of an upstream.
    pub fn slot(&self, name: &str) -> Option<UpstreamIndex> {
        self.slots.get(name).copied()
    }

    /// Takes in whether an upstream may get new work.
    pub fn stand(&mut self, slot: UpstreamIndex, standing: Standing, now: Instant) {
        let upstream = self.at_mut(slot);
        upstream.standing = standing;
        if standing == Standing::Dead {
            upstream.capacity.reset(now);
        }
    }

    /// Records the first token of work.
    pub fn start(&mut self, slot: UpstreamIndex, work: &mut Work, now: Instant) {
        self.at_mut(slot).capacity.start(work, now);
    }

    /// Returns the kept-KV store that should get a copy of the prompt's blocks from the upstream
    /// at `source`, if one lacks them.
    pub fn store(
        &self,
        ask: &PlacementRequest,
        source: UpstreamIndex,
        directory: &CacheDirectory,
        now: Instant,
    ) -> Option<String> {
        let version = self.at(source).capacity.version()?;
        let wants = |u: &Upstream| u.role == Role::Store && u.usable() && u.holds_model(&ask.model);
        let (slot, store) = self.iter().find(|(_, u)| wants(u))?;
        let held = stored(ask, version, slot, directory, now);
        ((held as usize) < ask.blocks.len()).then(|| store.name.clone())
    }

    /// Takes over the upstreams of a table.
    pub fn update(&mut self, table: &Table, owned: Option<&BTreeSet<String>>) {
        for upstream in &mut self.upstreams {
            upstream.listed = false;
        }
        for (name, row) in table.sheet(Sheet::Upstreams) {
            let routed = matches!(row.text(Column::Type), Some("engine" | "kv_store"));
            if routed && owned.is_none_or(|owned| owned.contains(name)) {
                let slot = self.admit(name);
                let bound = self.bound;
                let upstream = self.at_mut(slot);
                upstream.update(row);
                if let Some(bound) = bound {
                    upstream.capacity.bound(bound);
                }
            }
        }
    }

    /// Returns the urgent requests in flight on all upstreams.
    pub fn urgent(&self) -> u64 {
        let urgent = self
            .upstreams
            .iter()
            .map(|u| u64::from(u.capacity.urgent()));
        urgent.sum()
    }

    /// Returns the weights version of an upstream, where it is known.
    pub fn version(&self, slot: UpstreamIndex) -> Option<&str> {
        self.at(slot).capacity.version()
    }

    fn admit(&mut self, name: &str) -> UpstreamIndex {
        if let Some(slot) = self.slots.get(name) {
            return *slot;
        }
        let slot = UpstreamIndex(u16::try_from(self.upstreams.len()).unwrap_or(u16::MAX));
        let seed = BlockHash::root(name, "", "").0 as u64;
        self.upstreams.push(Upstream {
            name: name.to_owned(),
            seed,
            ..Upstream::default()
        });
        self.slots.insert(name.to_owned(), slot);
        slot
    }

    fn at(&self, slot: UpstreamIndex) -> &Upstream {
        &self.upstreams[usize::from(slot.0)]
    }

    fn at_mut(&mut self, slot: UpstreamIndex) -> &mut Upstream {
        &mut self.upstreams[usize::from(slot.0)]
    }

    /// Returns the cache of one weights version that surely holds the most leading blocks.
    ///
    /// Engines are listed by blocks without a version, as each serves one; a store holds blocks of
    /// all versions and so lists them by their names under a version.
    fn deepest(
        &self,
        ask: &PlacementRequest,
        version: Option<&str>,
        directory: &CacheDirectory,
        residency: &CachedPrefixes,
        now: Instant,
    ) -> Source {
        let Some(version) = version else {
            return Source::default();
        };
        let mut best = Source::default();
        for (slot, upstream) in self.iter() {
            if !upstream.lends(&ask.model) || directory.has_gap(slot) {
                continue;
            }
            let blocks = match upstream.role {
                Role::Engine if directory.version(slot) != Some(version) => 0,
                Role::Engine => residency.cached(slot),
                Role::Store => stored(ask, version, slot, directory, now),
            };
            if blocks >= best.blocks {
                let slot = Some(slot);
                best = Source { blocks, slot };
            }
        }
        best
    }

    fn iter(&self) -> impl Iterator<Item = (UpstreamIndex, &Upstream)> {
        let numbered = self.upstreams.iter().enumerate();
        numbered.map(|(at, upstream)| (UpstreamIndex(at as u16), upstream))
    }

    fn score(&self, rating: &Rating, resident_blocks: u32) -> Score {
        Score {
            cost_us: rating.cost_us,
            expected_us: rating.expected_us,
            resident_blocks,
            upstream: self.name(rating.slot).to_owned(),
        }
    }
}

fn candidate(
    upstream: &Upstream,
    ask: &PlacementRequest,
    priority: Rank,
    resident: u32,
    doubtful: bool,
    now: Instant,
) -> Candidate {
    Candidate {
        block_us: upstream.capacity.prefill_us(u64::from(ask.block_tokens)),
        doubtful,
        remote: upstream.domain != ask.domain,
        resident,
        tail_us: upstream.capacity.prefill_us(u64::from(ask.tail_tokens())),
        wait_us: upstream.capacity.wait_us(priority, now),
        weight: upstream.weight,
    }
}

fn stored(
    ask: &PlacementRequest,
    version: &str,
    slot: UpstreamIndex,
    directory: &CacheDirectory,
    now: Instant,
) -> u32 {
    let named: Vec<BlockHash> = ask.blocks.iter().map(|b| b.under(version)).collect();
    directory.cached_prefixes(&named, now).cached(slot)
}

/// Orders even upstreams by rendezvous hashing of the prompt's first block.
fn tie(root: BlockHash, seed: u64) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (root.0 as u64 ^ seed).wrapping_mul(MULTIPLIER);
    (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER)
}
