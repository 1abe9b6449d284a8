//! The upstreams of a broker: what the table says of them, their standing and their load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::admission;
use crate::engine_load::BackupLimit;
use crate::engine_load::EngineLoad;
use crate::engine_load::SentWork;
use crate::engine_load::Standing;
use crate::engine_load::WorkClass;
use crate::grant::Import;
use crate::grant::MAX_SCORES;
use crate::grant::Score;
use crate::placement;
use crate::placement::Candidate;
use crate::placement::RatedRequest;
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

/// Smallest part of the slots that is reserved for urgent work, in percent.
const MIN_RESERVE_PERCENT: u64 = 25;
const PERCENT: u64 = 100;
/// Slots reserved for urgent work, in percent of its recent demand.
const RESERVE_OF_DEMAND_PERCENT: u64 = 130;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Role {
    #[default]
    Engine,
    Store,
}

/// The cache from which the most leading blocks of a prompt can be imported, and how many.
#[derive(Clone, Copy, Debug, Default)]
struct ImportSource {
    blocks: u32,
    index: Option<UpstreamIndex>,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    load: EngineLoad,
    failure_domain: String,
    incarnation: Option<Incarnation>,
    listed: bool,
    model: String,
    name: String,
    role: Role,
    name_hash: u64,
    enabled: bool,
    standing: Standing,
    weight: u64,
}

/// The upstream proposed for a request, with the figures on which the choice rests.
#[derive(Clone, Debug, Default)]
pub struct Proposal {
    /// Expected time to first token, in microseconds.
    pub expected_us: u64,
    /// Where to import blocks from, if a cache other than that of the upstream holds the most.
    pub import: Option<Import>,
    /// Rank of the request at the upstream.
    pub priority: Rank,
    /// Number of leading blocks of the prompt that the upstream is assumed to hold.
    pub resident_blocks: u32,
    /// Scores of the best upstreams, cheapest first.
    pub scores: Vec<Score>,
    /// Index of the upstream in the pool and in the cache directory.
    pub index: UpstreamIndex,
    /// Prompt tokens that the upstream has to prefill.
    pub prefill_tokens: u64,
    /// Expected work of the request, in prefill tokens.
    pub work: u64,
    /// Time to import and prefill the prompt, in microseconds.
    pub work_us: u64,
}

/// The work of queued requests that would rather wait for a full upstream than go to another one,
/// by upstream.
#[derive(Clone, Debug, Default)]
pub struct QueuedWork {
    work_us: Vec<u64>,
}

/// The upstreams of a broker.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPool {
    backup_limit: Option<BackupLimit>,
    indices: BTreeMap<String, UpstreamIndex>,
    upstreams: Vec<Upstream>,
}

impl QueuedWork {
    /// Adds the work of a request that waits for the upstream.
    pub fn add(&mut self, index: UpstreamIndex, work_us: u64) {
        let at = usize::from(index.0);
        if self.work_us.len() <= at {
            self.work_us.resize(at + 1, 0);
        }
        self.work_us[at] += work_us;
    }

    /// Returns the time that the requests which wait for the upstream will take there, in
    /// microseconds.
    pub fn work_us_on(&self, index: UpstreamIndex) -> u64 {
        self.work_us.get(usize::from(index.0)).copied().unwrap_or(0)
    }
}

impl Upstream {
    fn can_serve(&self, request: &PlacementRequest) -> bool {
        let version = request.version.as_deref();
        self.role == Role::Engine
            && self.is_usable()
            && self.model == request.model
            && !request.excluded.contains(&self.name)
            && (version.is_none() || version == self.load.version())
    }

    fn can_export(&self, model: &str) -> bool {
        self.listed && self.standing != Standing::Dead && self.has_model(model)
    }

    fn has_model(&self, model: &str) -> bool {
        self.model == model || (self.role == Role::Store && self.model.is_empty())
    }

    fn accepts_work(&self) -> bool {
        self.role == Role::Engine && self.is_usable()
    }

    fn is_usable(&self) -> bool {
        self.listed && self.enabled && self.standing == Standing::Usable
    }

    fn update(&mut self, row: &Row) {
        self.failure_domain = row.text(Column::Domain).unwrap_or_default().to_owned();
        self.listed = true;
        self.model = row.text(Column::Model).unwrap_or_default().to_owned();
        self.role = match row.text(Column::Type) {
            Some("kv_store") => Role::Store,
            _ => Role::Engine,
        };
        self.enabled = row.text(Column::Standing).is_none_or(|s| s == "serving");
        self.weight = row
            .number(Column::Weight)
            .unwrap_or(placement::DEFAULT_WEIGHT);
        self.enabled &= self.weight > 0;
        let limit = row.number(Column::Limit);
        let limit = limit.map(|limit| u32::try_from(limit).unwrap_or(u32::MAX));
        self.load.set_table_limit(limit);
    }
}

impl UpstreamPool {
    /// Returns whether any upstream accepts a request of `class` now.
    pub fn any_accepts(&self, class: WorkClass, now: Instant) -> bool {
        let accepts = |u: &Upstream| u.accepts_work() && u.load.accepts(class, now);
        self.upstreams.iter().any(accepts)
    }

    /// Records that work of `rank` was sent to an upstream.
    pub fn record_sent(
        &mut self,
        index: UpstreamIndex,
        tokens: u64,
        rank: Rank,
        priority: Rank,
        now: Instant,
    ) -> SentWork {
        let load = &mut self.at_mut(index).load;
        load.record_sent(tokens, rank, priority, now)
    }

    /// Limits the requests in flight on each upstream, for a backup broker.
    pub fn set_backup_limit(&mut self, backup_limit: BackupLimit) {
        self.backup_limit = Some(backup_limit);
        for upstream in &mut self.upstreams {
            upstream.load.set_backup_limit(backup_limit);
        }
    }

    /// Records that work ended.
    pub fn record_end(&mut self, index: UpstreamIndex, work: &mut SentWork, now: Instant) {
        self.at_mut(index).load.record_end(work, now);
    }

    /// Records that an upstream failed a request.
    pub fn record_failure(&mut self, index: UpstreamIndex, now: Instant) {
        self.at_mut(index).load.record_failure(now);
    }

    /// Returns the upstreams that are no longer in the table.
    pub fn unlisted(&self) -> Vec<UpstreamIndex> {
        let is_unlisted = |index: &&UpstreamIndex| !self.at(**index).listed;
        self.indices.values().filter(is_unlisted).copied().collect()
    }

    /// Returns whether the upstream is known to be dead.
    pub fn is_dead(&self, index: UpstreamIndex) -> bool {
        self.at(index).standing == Standing::Dead
    }

    /// Applies a load report, and returns whether it shows that the upstream restarted.
    pub fn apply_report(&mut self, index: UpstreamIndex, report: LoadReport, now: Instant) -> bool {
        let upstream = self.at_mut(index);
        if upstream.incarnation.is_some_and(|i| report.incarnation < i) {
            return false;
        }
        let restarted = upstream.incarnation.is_some_and(|i| i < report.incarnation);
        if restarted {
            upstream.load.reset(now);
        }
        upstream.incarnation = Some(report.incarnation);
        upstream.load.apply_report(report, now);
        restarted
    }

    /// Returns the name of an upstream.
    pub fn name(&self, index: UpstreamIndex) -> &str {
        &self.at(index).name
    }

    /// Returns whether an upstream accepts a request of `class` now.
    pub fn accepts(&self, index: UpstreamIndex, class: WorkClass, now: Instant) -> bool {
        let upstream = self.upstreams.get(usize::from(index.0));
        upstream.is_some_and(|upstream| upstream.load.accepts(class, now))
    }

    /// Returns the number of slots that each upstream should reserve for urgent work.
    ///
    /// `urgent_demand` is the number of slots that urgent work needed lately on all upstreams.
    /// Background work keeps at least `floor_percent` of the slots.
    pub fn urgent_reserve(&self, urgent_demand: u64, floor_percent: u64) -> u32 {
        let engines = self.upstreams.iter().filter(|u| u.accepts_work());
        let slots: u64 = engines.map(|u| u64::from(u.load.slots())).sum();
        let count = self.upstreams.iter().filter(|u| u.accepts_work()).count() as u64;
        let needed = (urgent_demand * RESERVE_OF_DEMAND_PERCENT / PERCENT)
            .max(slots * MIN_RESERVE_PERCENT / PERCENT);
        let max_reserve = slots * (PERCENT - floor_percent.min(PERCENT)) / PERCENT;
        needed.min(max_reserve).div_ceil(count.max(1)) as u32
    }

    /// Proposes the best upstream for a request.
    pub fn propose(
        &self,
        request: &PlacementRequest,
        priority: Rank,
        trade: u64,
        directory: &CacheDirectory,
        queued_work: &QueuedWork,
        now: Instant,
    ) -> Proposal {
        let cached_prefixes = directory.cached_prefixes(&request.blocks, now);
        let resident_blocks_on = |index: UpstreamIndex| cached_prefixes.cached_or_expected(index);
        let mut sources: Vec<(Option<&str>, ImportSource)> = Vec::new();
        let mut ratings = Vec::new();
        for (index, upstream) in self
            .iter()
            .filter(|(_, upstream)| upstream.can_serve(request))
        {
            let version = upstream.load.version();
            let known = sources.iter().find(|(found, _)| *found == version);
            let source = known.map(|(_, source)| *source).unwrap_or_else(|| {
                let source = self.import_source(request, version, directory, &cached_prefixes, now);
                sources.push((version, source));
                source
            });
            let rated_request = RatedRequest {
                blocks: request.blocks.len() as u32,
                importable_blocks: source.blocks,
                trade,
            };
            let has_gap = directory.has_gap(index);
            let mut candidate = candidate(
                upstream,
                request,
                priority,
                resident_blocks_on(index),
                has_gap,
                now,
            );
            candidate.wait_us += queued_work.work_us_on(index);
            ratings.push(placement::rate(rated_request, index, &candidate));
        }
        let first_block = request.blocks.first().copied().unwrap_or_default();
        placement::sort(&mut ratings, |index| {
            tie_break(first_block, self.at(index).name_hash)
        });
        let Some(best) = ratings.first() else {
            return Proposal::default();
        };
        let prefill_tokens =
            u64::from(best.uncached_blocks * request.block_tokens + request.tail_tokens());
        let version = self.at(best.index).load.version();
        let source = sources.into_iter().find(|(found, _)| *found == version);
        let source = source.map(|(_, source)| source).unwrap_or_default();
        let import = source
            .index
            .filter(|index| source.blocks > 0 && *index != best.index);
        Proposal {
            expected_us: best.expected_us,
            import: import.map(|index| Import {
                blocks: source.blocks,
                source: self.name(index).to_owned(),
            }),
            priority,
            resident_blocks: resident_blocks_on(best.index),
            scores: ratings
                .iter()
                .take(MAX_SCORES)
                .map(|r| self.score(r, resident_blocks_on(r.index)))
                .collect(),
            index: best.index,
            prefill_tokens,
            work: admission::expected_work(prefill_tokens, request.output_tokens),
            work_us: best.work_us,
        }
    }

    /// Drops the load of an upstream that restarted.
    pub fn restart(&mut self, index: UpstreamIndex, incarnation: Incarnation, now: Instant) {
        let upstream = self.at_mut(index);
        if upstream.incarnation.is_none_or(|known| known < incarnation) {
            upstream.incarnation = Some(incarnation);
            upstream.load.reset(now);
        }
    }

    /// Returns whether the table lists an engine of the model, usable or not.
    pub fn lists_model(&self, model: &str) -> bool {
        let listed = |u: &Upstream| u.role == Role::Engine && u.listed && u.model == model;
        self.upstreams.iter().any(listed)
    }

    /// Returns whether any upstream can serve the request.
    pub fn can_serve(&self, request: &PlacementRequest) -> bool {
        self.upstreams
            .iter()
            .any(|upstream| upstream.can_serve(request))
    }

    /// Returns the index of an upstream.
    pub fn index_of(&self, name: &str) -> Option<UpstreamIndex> {
        self.indices.get(name).copied()
    }

    /// Sets whether an upstream may get new work.
    pub fn set_standing(&mut self, index: UpstreamIndex, standing: Standing, now: Instant) {
        let upstream = self.at_mut(index);
        upstream.standing = standing;
        if standing == Standing::Dead {
            upstream.load.reset(now);
        }
    }

    /// Records that the first token of work arrived.
    pub fn record_first_token(&mut self, index: UpstreamIndex, work: &mut SentWork, now: Instant) {
        self.at_mut(index).load.record_first_token(work, now);
    }

    /// Returns the KV store to which `source` should export the blocks of the prompt, if a
    /// usable store lacks some of them.
    pub fn export_target(
        &self,
        request: &PlacementRequest,
        source: UpstreamIndex,
        directory: &CacheDirectory,
        now: Instant,
    ) -> Option<String> {
        let version = self.at(source).load.version()?;
        let can_import =
            |u: &Upstream| u.role == Role::Store && u.is_usable() && u.has_model(&request.model);
        let (index, store) = self.iter().find(|(_, u)| can_import(u))?;
        let stored = stored_blocks(request, version, index, directory, now);
        ((stored as usize) < request.blocks.len()).then(|| store.name.clone())
    }

    /// Updates the upstreams from a new table. `owned` limits them to those of this broker; `None`
    /// means all.
    pub fn update(&mut self, table: &Table, owned: Option<&BTreeSet<String>>) {
        for upstream in &mut self.upstreams {
            upstream.listed = false;
        }
        for (name, row) in table.sheet(Sheet::Upstreams) {
            let routed = matches!(row.text(Column::Type), Some("engine" | "kv_store"));
            if routed && owned.is_none_or(|owned| owned.contains(name)) {
                let index = self.index_or_insert(name);
                let backup_limit = self.backup_limit;
                let upstream = self.at_mut(index);
                upstream.update(row);
                if let Some(backup_limit) = backup_limit {
                    upstream.load.set_backup_limit(backup_limit);
                }
            }
        }
    }

    /// Returns the number of urgent requests in flight on all upstreams.
    pub fn urgent_in_flight(&self) -> u64 {
        let urgent = self
            .upstreams
            .iter()
            .map(|u| u64::from(u.load.urgent_in_flight()));
        urgent.sum()
    }

    /// Returns the weights version of an upstream, if it is known.
    pub fn version(&self, index: UpstreamIndex) -> Option<&str> {
        self.at(index).load.version()
    }

    fn index_or_insert(&mut self, name: &str) -> UpstreamIndex {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = UpstreamIndex(u16::try_from(self.upstreams.len()).unwrap_or(u16::MAX));
        let name_hash = BlockHash::root(name, "", "").0 as u64;
        self.upstreams.push(Upstream {
            name: name.to_owned(),
            name_hash,
            ..Upstream::default()
        });
        self.indices.insert(name.to_owned(), index);
        index
    }

    fn at(&self, index: UpstreamIndex) -> &Upstream {
        &self.upstreams[usize::from(index.0)]
    }

    fn at_mut(&mut self, index: UpstreamIndex) -> &mut Upstream {
        &mut self.upstreams[usize::from(index.0)]
    }

    /// Returns the cache that certainly holds the most leading blocks computed with `version`.
    ///
    /// The directory lists the blocks of an engine without a version, as an engine serves only one.
    /// A store holds blocks of all versions, so the directory lists them by their hash with the
    /// version.
    fn import_source(
        &self,
        request: &PlacementRequest,
        version: Option<&str>,
        directory: &CacheDirectory,
        cached_prefixes: &CachedPrefixes,
        now: Instant,
    ) -> ImportSource {
        let Some(version) = version else {
            return ImportSource::default();
        };
        let mut best = ImportSource::default();
        for (index, upstream) in self.iter() {
            if !upstream.can_export(&request.model) || directory.has_gap(index) {
                continue;
            }
            let blocks = match upstream.role {
                Role::Engine if directory.version(index) != Some(version) => 0,
                Role::Engine => cached_prefixes.cached(index),
                Role::Store => stored_blocks(request, version, index, directory, now),
            };
            if blocks >= best.blocks {
                let index = Some(index);
                best = ImportSource { blocks, index };
            }
        }
        best
    }

    fn iter(&self) -> impl Iterator<Item = (UpstreamIndex, &Upstream)> {
        let indexed = self.upstreams.iter().enumerate();
        indexed.map(|(at, upstream)| (UpstreamIndex(at as u16), upstream))
    }

    fn score(&self, rating: &Rating, resident_blocks: u32) -> Score {
        Score {
            cost_us: rating.cost_us,
            expected_us: rating.expected_us,
            resident_blocks,
            upstream: self.name(rating.index).to_owned(),
        }
    }
}

fn candidate(
    upstream: &Upstream,
    request: &PlacementRequest,
    priority: Rank,
    resident_blocks: u32,
    has_gap: bool,
    now: Instant,
) -> Candidate {
    Candidate {
        block_us: upstream.load.prefill_us(u64::from(request.block_tokens)),
        has_gap,
        remote: upstream.failure_domain != request.domain,
        resident_blocks,
        tail_us: upstream.load.prefill_us(u64::from(request.tail_tokens())),
        wait_us: upstream.load.wait_us(priority, now),
        weight: upstream.weight,
    }
}

fn stored_blocks(
    request: &PlacementRequest,
    version: &str,
    index: UpstreamIndex,
    directory: &CacheDirectory,
    now: Instant,
) -> u32 {
    let versioned: Vec<BlockHash> = request
        .blocks
        .iter()
        .map(|b| b.with_version(version))
        .collect();
    directory.cached_prefixes(&versioned, now).cached(index)
}

/// Breaks ties between upstreams by rendezvous hashing of the first block of the prompt.
fn tie_break(first_block: BlockHash, name_hash: u64) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (first_block.0 as u64 ^ name_hash).wrapping_mul(MULTIPLIER);
    (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER)
}
