//! The load of one engine, as its broker tracks it.
//!
//! Load reports lag, so the broker adds the work that it has sent since the last report. Requests
//! beyond the broker's own that two reports in a row show were sent by other hosts.

use crate::report::LoadReport;
use state::ident::Incarnation;
use state::rank::Rank;
use state::time::Instant;

/// Prefill rate that is assumed until an engine reports its own, in tokens per second.
pub const DEFAULT_PREFILL_RATE: u32 = 10_000;
/// Number of requests that an engine is assumed to run at once until it reports its own limit.
pub const DEFAULT_SLOTS: u32 = 16;

/// Prefill backlog up to which an engine takes background work, in milliseconds.
const MAX_BACKGROUND_BACKLOG_MS: u64 = 250;
/// Service time that is assumed until the first request ends, in milliseconds.
const DEFAULT_SERVICE_TIME_MS: u64 = 2_000;
const MICROS_PER_MILLI: u64 = 1_000;
const MILLIS_PER_SECOND: u64 = 1_000;
/// Time for which an engine is penalized after it failed a request, and the wait that is added
/// meanwhile, in milliseconds.
const FAILURE_PENALTY_MS: u64 = 1_000;
/// One slot in this many is kept for callers that have few requests in flight.
const LIGHT_SLOTS_DIVISOR: u32 = 16;
/// Prefill backlog up to which an engine takes urgent work of a light caller, in milliseconds.
const MAX_LIGHT_BACKLOG_MS: u64 = 150;
/// Number of samples over which the moving average of the service time extends.
const SERVICE_TIME_SAMPLES: u64 = 8;
/// Prefill backlog up to which an engine takes other urgent work, in milliseconds.
const MAX_URGENT_BACKLOG_MS: u64 = 30;

/// Whether an upstream may get new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// The upstream is gone, and its cache with it.
    Dead,
    /// The upstream fails too often and gets no work for a while.
    Ejected,
    /// The upstream finishes the work that it has and gets no more.
    Leaving,
    /// The upstream takes work.
    #[default]
    Usable,
}

/// Limits what each of several backup brokers, which place requests while the owner of an upstream
/// is unreachable, may use of that upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackupLimit {
    /// Number of hosts that may act as a backup.
    pub hosts: u32,
    /// Slots that each of them may use.
    pub slots: u32,
}

impl BackupLimit {
    /// Returns the part of `limit` that one host may use. All parts together stay within the limit
    /// if it is at least the number of hosts.
    fn share_of(self, limit: u32) -> u32 {
        match limit {
            0 => 0,
            _ => (limit / self.hosts.max(1)).max(1),
        }
    }
}

/// Work that was sent to an engine and has not ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentWork {
    /// Number of resets of the load before this work was sent; a later reset drops the work.
    pub epoch: u64,
    /// Time of the grant.
    pub granted_at: Instant,
    /// Rank of the work at the engine, which may be above its own rank.
    pub priority: Rank,
    /// Rank of the work itself.
    pub rank: Rank,
    /// Whether the first token arrived, so that the prefill is over.
    pub prefilled: bool,
    /// Prompt tokens that the engine has to prefill.
    pub prefill_tokens: u64,
}

/// The conditions under which background work is taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BackgroundTerms {
    /// Whether background work is below its guaranteed share, so that it goes before urgent work.
    pub below_floor: bool,
    /// Slots that background work must leave free for urgent work.
    pub reserved_slots: u32,
    /// Whether urgent work is queued at the broker.
    pub urgent_waits: bool,
}

/// Classes of work, which differ in how much of an engine they may fill.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkClass {
    /// Background work.
    Background(BackgroundTerms),
    /// Urgent work of a caller that has many requests in flight.
    HeavyCaller,
    /// Urgent work of a caller that has few requests in flight.
    LightCaller,
}

/// The work of one rank that this broker sent.
///
/// `in_flight` counts requests by their own rank, the other fields by their rank at the engine.
#[derive(Clone, Copy, Debug, Default)]
struct RankLoad {
    in_flight: u32,
    pending_prefills: u32,
    tokens_since_report: u64,
    pending_tokens: u64,
}

/// Tracks the load of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    backup_limit: Option<BackupLimit>,
    loads: [RankLoad; 2],
    epoch: u64,
    /// Requests that the last report showed beyond those that this broker sent.
    reported_excess: u32,
    failed_at: Option<Instant>,
    /// The smaller excess of the last two reports: requests that other hosts sent.
    other_hosts_in_flight: u32,
    table_limit: Option<u32>,
    /// Time at which the engine measured the last report.
    measured_at: Instant,
    /// Time since which the engine computes the present prefill: that of the last first token, or
    /// of the last work that was sent while no prefill was pending.
    progress_at: Instant,
    report: Option<LoadReport>,
    mean_service_time_ms: Option<u64>,
}

impl EngineLoad {
    /// Sets the limit for a backup broker, which may be below what the engine and the table allow.
    pub fn set_backup_limit(&mut self, limit: BackupLimit) {
        self.backup_limit = Some(limit);
    }

    /// Records that work of `rank` with `prefill_tokens` to prefill was sent to the engine.
    pub fn record_sent(
        &mut self,
        prefill_tokens: u64,
        rank: Rank,
        priority: Rank,
        now: Instant,
    ) -> SentWork {
        if self.pending_prefills() == 0 {
            self.progress_at = now;
        }
        self.loads[rank.index()].in_flight += 1;
        let load = &mut self.loads[priority.index()];
        load.pending_prefills += 1;
        load.tokens_since_report += prefill_tokens;
        load.pending_tokens += prefill_tokens;
        SentWork {
            epoch: self.epoch,
            granted_at: now,
            priority,
            rank,
            prefilled: false,
            prefill_tokens,
        }
    }

    /// Records that `work` ended.
    pub fn record_end(&mut self, work: &mut SentWork, now: Instant) {
        self.record_first_token(work, now);
        if work.epoch != self.epoch {
            return;
        }
        let load = &mut self.loads[work.rank.index()];
        load.in_flight = load.in_flight.saturating_sub(1);
        let taken = now.since(work.granted_at);
        let mean = self.mean_service_time_ms.unwrap_or(taken);
        self.mean_service_time_ms =
            Some((mean * (SERVICE_TIME_SAMPLES - 1) + taken) / SERVICE_TIME_SAMPLES);
    }

    /// Returns the number of urgent requests in flight.
    pub fn urgent_in_flight(&self) -> u32 {
        self.loads[Rank::Urgent.index()].in_flight
    }

    /// Returns the number of requests in flight of both ranks, with those of other hosts.
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight() + self.other_hosts_in_flight
    }

    /// Sets the limit on requests in flight from the table.
    pub fn set_table_limit(&mut self, limit: Option<u32>) {
        self.table_limit = limit;
    }

    /// Applies a load report, unless a newer one was applied before.
    pub fn apply_report(&mut self, report: LoadReport, now: Instant) {
        let measured_at = Instant(now.0.saturating_sub(report.age_ms));
        if measured_at < self.measured_at {
            return;
        }
        self.measured_at = measured_at;
        for load in &mut self.loads {
            load.tokens_since_report = 0;
        }
        let reported_excess = report.running.saturating_sub(self.own_in_flight());
        self.other_hosts_in_flight = reported_excess.min(self.reported_excess);
        self.reported_excess = reported_excess;
        self.report = Some(report);
    }

    /// Returns whether the engine can take another request of `class` without queueing it for long.
    pub fn accepts(&self, class: WorkClass, now: Instant) -> bool {
        let slots = self.slots();
        if slots == 0 {
            return false;
        }
        let light_slots = slots / LIGHT_SLOTS_DIVISOR;
        let background = self.loads[Rank::Background.index()].in_flight;
        let (usable_slots, max_backlog_ms) = match class {
            WorkClass::Background(terms)
                if background + terms.reserved_slots.min(slots - 1) >= slots =>
            {
                return false;
            }
            WorkClass::Background(terms) if terms.urgent_waits => {
                (slots - light_slots, MAX_URGENT_BACKLOG_MS)
            }
            WorkClass::Background(_) => (slots, MAX_BACKGROUND_BACKLOG_MS),
            WorkClass::HeavyCaller => (slots - light_slots, MAX_URGENT_BACKLOG_MS),
            WorkClass::LightCaller => (slots, MAX_LIGHT_BACKLOG_MS),
        };
        let priority = match class {
            WorkClass::Background(terms) if !terms.below_floor => Rank::Background,
            _ => Rank::Urgent,
        };
        let backlog = self.backlog_us(priority, now);
        self.in_flight() < usable_slots && backlog < max_backlog_ms * MICROS_PER_MILLI
    }

    /// Returns the time to prefill `tokens`, in microseconds.
    pub fn prefill_us(&self, tokens: u64) -> u64 {
        tokens * MILLIS_PER_SECOND * MICROS_PER_MILLI / self.prefill_rate()
    }

    /// Returns the incarnation of the engine from the last load report.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.report.as_ref().map(|report| report.incarnation)
    }

    /// Drops all load, because the engine restarted or died and lost its work.
    pub fn reset(&mut self, now: Instant) {
        self.loads = [RankLoad::default(); 2];
        self.epoch += 1;
        self.reported_excess = 0;
        self.failed_at = None;
        self.other_hosts_in_flight = 0;
        self.measured_at = now;
        self.progress_at = now;
        self.report = None;
    }

    /// Returns the number of requests that the broker may have in flight on the engine.
    pub fn slots(&self) -> u32 {
        let reported = self.report.as_ref().map_or(DEFAULT_SLOTS, |s| s.slots);
        let limit = self.table_limit.unwrap_or(u32::MAX);
        match self.backup_limit {
            None => reported.min(limit),
            Some(backup) => backup.slots.min(reported).min(backup.share_of(limit)),
        }
    }

    /// Records that the first token of `work` arrived, which ends its prefill.
    pub fn record_first_token(&mut self, work: &mut SentWork, now: Instant) {
        if work.prefilled || work.epoch != self.epoch {
            work.prefilled = true;
            return;
        }
        work.prefilled = true;
        self.progress_at = now;
        let load = &mut self.loads[work.priority.index()];
        load.pending_prefills = load.pending_prefills.saturating_sub(1);
        load.pending_tokens = load.pending_tokens.saturating_sub(work.prefill_tokens);
    }

    /// Returns the weights version from the last load report.
    pub fn version(&self) -> Option<&str> {
        self.report.as_ref().map(|report| report.version.as_str())
    }

    /// Records that the engine failed a request, so that others are preferred for a while.
    pub fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Returns how long another request of `rank` would wait for its prefill, in microseconds.
    pub fn wait_us(&self, rank: Rank, now: Instant) -> u64 {
        let failed = self
            .failed_at
            .is_some_and(|at| now.since(at) < FAILURE_PENALTY_MS);
        let penalty = if failed {
            FAILURE_PENALTY_MS * MICROS_PER_MILLI
        } else {
            0
        };
        let backlog = self.backlog_us(rank, now) + penalty;
        if self.in_flight() < self.slots() {
            return backlog;
        }
        let service_time_us =
            self.mean_service_time_ms.unwrap_or(DEFAULT_SERVICE_TIME_MS) * MICROS_PER_MILLI;
        backlog + service_time_us / u64::from(self.slots().max(1))
    }

    fn backlog_us(&self, rank: Rank, now: Instant) -> u64 {
        let urgent = self.backlog_tokens(Rank::Urgent, now);
        let tokens = match rank {
            Rank::Background => urgent + self.backlog_tokens(Rank::Background, now),
            Rank::Urgent => urgent,
        };
        self.prefill_us(tokens)
    }

    fn backlog_tokens(&self, rank: Rank, now: Instant) -> u64 {
        let load = self.loads[rank.index()];
        let mean = load.pending_tokens / u64::from(load.pending_prefills.max(1));
        let done = self
            .tokens_prefilled_in(now.since(self.progress_at))
            .min(mean);
        let own = load.pending_tokens - done;
        let reported = self.report.as_ref().map_or(0, |report| match rank {
            Rank::Background => report.queued_background_tokens,
            Rank::Urgent => report.queued_urgent_tokens,
        });
        let left = (reported + load.tokens_since_report)
            .saturating_sub(self.tokens_prefilled_in(now.since(self.measured_at)));
        own.max(left.min(reported + load.pending_tokens))
    }

    fn tokens_prefilled_in(&self, millis: u64) -> u64 {
        millis.saturating_mul(self.prefill_rate()) / MILLIS_PER_SECOND
    }

    fn own_in_flight(&self) -> u32 {
        self.loads.iter().map(|load| load.in_flight).sum()
    }

    fn pending_prefills(&self) -> u32 {
        self.loads.iter().map(|load| load.pending_prefills).sum()
    }

    fn prefill_rate(&self) -> u64 {
        let rate = self
            .report
            .as_ref()
            .map_or(DEFAULT_PREFILL_RATE, |report| report.prefill_rate);
        u64::from(rate.max(1))
    }
}
