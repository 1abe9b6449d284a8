//! What a broker knows of the load of one upstream.
//!
//! Reported load lags, so the work that the broker itself sent since the report is added to it.
//! Requests that two reports in a row show beyond the broker's own were sent by others.

use crate::report::LoadReport;
use state::ident::Incarnation;
use state::rank::Rank;
use state::time::Instant;

/// Gives the rate that is assumed until an upstream reports its own, in tokens a second.
pub const DEFAULT_PREFILL_RATE: u32 = 10_000;
/// Gives the requests at once that are assumed until an upstream reports its own bound.
pub const DEFAULT_SLOTS: u32 = 16;

const BACKGROUND_WINDOW_MS: u64 = 250;
const DEFAULT_SERVICE_MS: u64 = 2_000;
const MICROS_PER_MILLI: u64 = 1_000;
const MILLIS_PER_SECOND: u64 = 1_000;
const FAILED_MS: u64 = 1_000;
const LIGHT_SLOTS_DIVISOR: u32 = 16;
const LIGHT_WINDOW_MS: u64 = 150;
const SERVICE_SAMPLES: u64 = 8;
const URGENT_WINDOW_MS: u64 = 30;

/// Tells whether an upstream may get new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// Means that the upstream is gone and its cache with it.
    Dead,
    /// Means that the upstream fails too often and is left alone for a while.
    Ejected,
    /// Means that the upstream finishes what it has and gets no more.
    Leaving,
    /// Means that the upstream takes work.
    #[default]
    Usable,
}

/// Bounds what one of several hosts that stand in for an owner may use of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackupLimit {
    /// Gives how many hosts may stand in.
    pub hosts: u32,
    /// Gives the slots that each may use.
    pub slots: u32,
}

impl BackupLimit {
    /// Returns the part of a limit that one host may use; all parts together keep to the limit
    /// where it is at least the number of hosts.
    fn part(self, limit: u32) -> u32 {
        match limit {
            0 => 0,
            _ => (limit / self.hosts.max(1)).max(1),
        }
    }
}

/// Describes work that was sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Numbers the run of the upstream, as the broker counts them.
    pub epoch: u64,
    /// Gives the time of the grant.
    pub granted: Instant,
    /// Ranks the work within the upstream.
    pub priority: Rank,
    /// Ranks the work itself.
    pub rank: Rank,
    /// Tells whether the first token arrived.
    pub started: bool,
    /// Gives the prompt tokens that the upstream has to compute.
    pub tokens: u64,
}

/// Describes the terms on which background work is taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Turn {
    /// Tells whether background is below its floor, so that this work goes before urgent work.
    pub owed: bool,
    /// Gives the slots that background leaves to urgent work.
    pub reserve: u32,
    /// Tells whether urgent work waits.
    pub yields: bool,
}

/// Classes work by how much of an upstream it may fill.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// Means background work.
    Background(Turn),
    /// Means urgent work of a caller that has much in flight.
    Heavy,
    /// Means urgent work of a caller that has little in flight.
    Light,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    inflight: u32,
    pending: u32,
    recent: u64,
    tokens: u64,
}

/// Tracks the load of one upstream.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    bound: Option<BackupLimit>,
    loads: [Load; 2],
    epoch: u64,
    excess: u32,
    failed: Option<Instant>,
    foreign: u32,
    limit: Option<u32>,
    measured: Instant,
    progress: Instant,
    sample: Option<LoadReport>,
    service_ms: Option<u64>,
}

impl EngineLoad {
    /// Bounds the requests in flight below what the upstream and the table allow.
    pub fn bound(&mut self, bound: BackupLimit) {
        self.bound = Some(bound);
    }

    /// Records that the upstream got work of `rank` with `tokens` of prompt to compute.
    pub fn begin(&mut self, tokens: u64, rank: Rank, priority: Rank, now: Instant) -> Work {
        if self.pending() == 0 {
            self.progress = now;
        }
        self.loads[rank.index()].inflight += 1;
        let load = &mut self.loads[priority.index()];
        load.pending += 1;
        load.recent += tokens;
        load.tokens += tokens;
        Work {
            epoch: self.epoch,
            granted: now,
            priority,
            rank,
            started: false,
            tokens,
        }
    }

    /// Records that `work` ended.
    pub fn end(&mut self, work: &mut Work, now: Instant) {
        self.start(work, now);
        if work.epoch != self.epoch {
            return;
        }
        let load = &mut self.loads[work.rank.index()];
        load.inflight = load.inflight.saturating_sub(1);
        let taken = now.since(work.granted);
        let mean = self.service_ms.unwrap_or(taken);
        self.service_ms = Some((mean * (SERVICE_SAMPLES - 1) + taken) / SERVICE_SAMPLES);
    }

    /// Returns the urgent requests in flight.
    pub fn urgent(&self) -> u32 {
        self.loads[Rank::Urgent.index()].inflight
    }

    /// Returns the requests in flight, of both ranks, with those that others sent.
    pub fn inflight(&self) -> u32 {
        self.own() + self.foreign
    }

    /// Sets the bound on requests in flight that the table gives.
    pub fn limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Takes in a load report.
    pub fn measure(&mut self, sample: LoadReport, now: Instant) {
        let measured = Instant(now.0.saturating_sub(sample.age_ms));
        if measured < self.measured {
            return;
        }
        self.measured = measured;
        for load in &mut self.loads {
            load.recent = 0;
        }
        let excess = sample.running.saturating_sub(self.own());
        self.foreign = excess.min(self.excess);
        self.excess = excess;
        self.sample = Some(sample);
    }

    /// Returns whether the upstream takes a further request without queueing it long.
    pub fn open(&self, class: Class, now: Instant) -> bool {
        let slots = self.slots();
        if slots == 0 {
            return false;
        }
        let light = slots / LIGHT_SLOTS_DIVISOR;
        let background = self.loads[Rank::Background.index()].inflight;
        let (usable, window) = match class {
            Class::Background(turn) if background + turn.reserve.min(slots - 1) >= slots => {
                return false;
            }
            Class::Background(turn) if turn.yields => (slots - light, URGENT_WINDOW_MS),
            Class::Background(_) => (slots, BACKGROUND_WINDOW_MS),
            Class::Heavy => (slots - light, URGENT_WINDOW_MS),
            Class::Light => (slots, LIGHT_WINDOW_MS),
        };
        let priority = match class {
            Class::Background(turn) if !turn.owed => Rank::Background,
            _ => Rank::Urgent,
        };
        let backlog = self.backlog_us(priority, now);
        self.inflight() < usable && backlog < window * MICROS_PER_MILLI
    }

    /// Returns the time that computing `tokens` takes, in microseconds.
    pub fn prefill_us(&self, tokens: u64) -> u64 {
        tokens * MILLIS_PER_SECOND * MICROS_PER_MILLI / self.rate()
    }

    /// Returns the run that the last load report names.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.sample.as_ref().map(|sample| sample.incarnation)
    }

    /// Forgets all load, because the upstream came back empty.
    pub fn reset(&mut self, now: Instant) {
        self.loads = [Load::default(); 2];
        self.epoch += 1;
        self.excess = 0;
        self.failed = None;
        self.foreign = 0;
        self.measured = now;
        self.progress = now;
        self.sample = None;
    }

    /// Returns the requests that the upstream runs at once.
    pub fn slots(&self) -> u32 {
        let reported = self.sample.as_ref().map_or(DEFAULT_SLOTS, |s| s.slots);
        let limit = self.limit.unwrap_or(u32::MAX);
        match self.bound {
            None => reported.min(limit),
            Some(bound) => bound.slots.min(reported).min(bound.part(limit)),
        }
    }

    /// Records that the first token of `work` arrived.
    pub fn start(&mut self, work: &mut Work, now: Instant) {
        if work.started || work.epoch != self.epoch {
            work.started = true;
            return;
        }
        work.started = true;
        self.progress = now;
        let load = &mut self.loads[work.priority.index()];
        load.pending = load.pending.saturating_sub(1);
        load.tokens = load.tokens.saturating_sub(work.tokens);
    }

    /// Returns the weights version that the last load report names.
    pub fn version(&self) -> Option<&str> {
        self.sample.as_ref().map(|sample| sample.version.as_str())
    }

    /// Records that the upstream failed a request, so that others are preferred for a while.
    pub fn fail(&mut self, now: Instant) {
        self.failed = Some(now);
    }

    /// Returns how long a further request of `rank` would wait to be computed, in microseconds.
    pub fn wait_us(&self, rank: Rank, now: Instant) -> u64 {
        let failed = self.failed.is_some_and(|at| now.since(at) < FAILED_MS);
        let penalty = if failed {
            FAILED_MS * MICROS_PER_MILLI
        } else {
            0
        };
        let backlog = self.backlog_us(rank, now) + penalty;
        if self.inflight() < self.slots() {
            return backlog;
        }
        let service = self.service_ms.unwrap_or(DEFAULT_SERVICE_MS) * MICROS_PER_MILLI;
        backlog + service / u64::from(self.slots().max(1))
    }

    fn backlog_us(&self, rank: Rank, now: Instant) -> u64 {
        let urgent = self.backlog(Rank::Urgent, now);
        let tokens = match rank {
            Rank::Background => urgent + self.backlog(Rank::Background, now),
            Rank::Urgent => urgent,
        };
        self.prefill_us(tokens)
    }

    fn backlog(&self, rank: Rank, now: Instant) -> u64 {
        let load = self.loads[rank.index()];
        let mean = load.tokens / u64::from(load.pending.max(1));
        let done = self.computed(now.since(self.progress)).min(mean);
        let own = load.tokens - done;
        let reported = self.sample.as_ref().map_or(0, |sample| match rank {
            Rank::Background => sample.queued_background_tokens,
            Rank::Urgent => sample.queued_urgent_tokens,
        });
        let left = (reported + load.recent).saturating_sub(self.computed(now.since(self.measured)));
        own.max(left.min(reported + load.tokens))
    }

    fn computed(&self, millis: u64) -> u64 {
        millis.saturating_mul(self.rate()) / MILLIS_PER_SECOND
    }

    fn own(&self) -> u32 {
        self.loads.iter().map(|load| load.inflight).sum()
    }

    fn pending(&self) -> u32 {
        self.loads.iter().map(|load| load.pending).sum()
    }

    fn rate(&self) -> u64 {
        let rate = self
            .sample
            .as_ref()
            .map_or(DEFAULT_PREFILL_RATE, |sample| sample.prefill_rate);
        u64::from(rate.max(1))
    }
}
