//! Token bucket of one workspace, with the leases that are lent from it.
//!
//! The units in the bucket and those that are lent and not known to be spent are never more than
//! the burst together. What is spent in a window is therefore at most the burst and what flows in.

use std::collections::BTreeMap;

use crate::allotment::kind::Kind;
use crate::allotment::kind::Size;
use crate::allotment::message::Demand;
use crate::allotment::message::Drawn;
use crate::allotment::message::Share;
use crate::allotment::share;
use crate::allotment::till::MAX_WAIT_MS;
use state::routing::Allotment;
use state::time::Instant;

/// Length of a window over which demand is summed, in milliseconds. In a large fleet some hosts
/// report only in every second one; the rate is smoothed over several.
const WINDOW_MS: u64 = 250;
/// Time within which what is in the bucket may be spent on top of the rate, in milliseconds.
const SPEND_MS: u64 = 500;
/// Time for which hosts hand their leases back, so that a request can be covered which needs almost
/// the whole burst, in milliseconds.
const RECALL_MS: u64 = 500;
/// Time for which the largest request that drew counts as usual, in milliseconds.
const LARGEST_MS: u64 = 10_000;
/// Demand below which a kind is forgotten, in units a second.
const LEAST_DEMAND: u64 = 1;
/// Time without refusals after which an allotment counts as no longer scarce, in milliseconds.
const RELIEF_MS: u64 = 2_000;
/// Longest time after which an uncovered request may be asked for again, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 8_000;
/// Least such time of large requests, in milliseconds: leases that are called in for them come back
/// with the second report from then.
const LEAST_LARGE_WAIT_MS: u64 = 200;
/// Least such time of small requests, in milliseconds.
const LEAST_SMALL_WAIT_MS: u64 = 100;
const MILLI: i64 = 1_000;

/// Demand of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// What was asked for in the current window.
    window: Demand,
    /// What is asked for in a second.
    per_second: Demand,
}

/// Part of the bucket that is saved for a large request while the allotment is scarce: small ones,
/// which need little at a time, would never let it fill up.
#[derive(Clone, Copy, Debug, Default)]
struct Reserve {
    /// Units that the largest request needs which was refused of late.
    needed: u64,
    /// Part of the inflow that is saved, in thousandths.
    per_mille: i64,
    saved_milli: i64,
}

/// What an operator is told when an allotment becomes scarce or ends being so.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// Units that callers ask for in a second.
    pub demand: u64,
    /// Whether the allotment is scarce from now on.
    pub is_scarce: bool,
    /// Units that are left in the bucket.
    pub level: i64,
    /// Units that flow in within a second.
    pub rate: u64,
}

/// The bucket of one workspace.
#[derive(Debug)]
pub struct Bucket {
    allotment: Allotment,
    flows: BTreeMap<Kind, Flow>,
    is_scarce: bool,
    /// Largest request that drew of late, and when it did.
    largest: (u64, Instant),
    last_short_at: Instant,
    lent: u64,
    level_milli: i64,
    /// Units of small requests whose hosts were told to ask for them again.
    owed_milli: i64,
    recalled_until: Instant,
    refilled_at: Instant,
    reserve: Reserve,
    shares: BTreeMap<Kind, Share>,
    /// Units of small requests that callers ask all hosts for in a second, as the hosts are
    /// counted.
    small_per_s: u64,
    window_began: Instant,
}

impl Bucket {
    /// Returns a bucket that was empty at `emptied_at`.
    pub fn new(emptied_at: Instant, now: Instant, allotment: Allotment) -> Self {
        Self {
            allotment,
            flows: BTreeMap::new(),
            is_scarce: false,
            largest: (0, now),
            last_short_at: now,
            lent: 0,
            level_milli: 0,
            owed_milli: 0,
            recalled_until: Instant::default(),
            refilled_at: emptied_at,
            reserve: Reserve::default(),
            shares: BTreeMap::new(),
            small_per_s: 0,
            window_began: now,
        }
    }

    /// Adds what has flown in since the last call. Up to `excluded` units of the burst may be held
    /// by hosts under earlier terms.
    pub fn refill(&mut self, now: Instant, allotment: Allotment, excluded: u64) {
        self.allotment = allotment;
        let inflow = now.since(self.refilled_at).saturating_mul(allotment.rate);
        self.refilled_at = self.refilled_at.max(now);
        let inflow = i64::try_from(inflow).unwrap_or(i64::MAX);
        let level = self.level_milli.saturating_add(inflow);
        self.level_milli = level.min(self.room_milli(excluded));
        self.owed_milli = self.owed_milli.saturating_sub(inflow).max(0);
        self.reserve.save(inflow, self.level_milli);
    }

    /// Returns the units that are lent and not known to be spent.
    pub fn lent(&self) -> u64 {
        self.lent
    }

    /// Returns the units in the bucket; less than 0 after a request that cost more than the burst.
    pub fn level(&self) -> i64 {
        self.level_milli.div_euclid(MILLI)
    }

    /// Returns the units that small requests may use.
    pub fn small_level(&self) -> u64 {
        let spare = self.level_milli - self.reserve.saved_milli;
        spare.div_euclid(MILLI).max(0).unsigned_abs()
    }

    /// Returns the allotment as of the last refill.
    pub fn allotment(&self) -> &Allotment {
        &self.allotment
    }

    /// Returns the shares of the kinds of which not all requests are taken.
    pub fn shares(&self) -> &BTreeMap<Kind, Share> {
        &self.shares
    }

    /// Returns whether hosts should hand back what they hold.
    pub fn is_recalled(&self, now: Instant) -> bool {
        now < self.recalled_until
    }

    /// Moves units from the bucket to a lease.
    pub fn lend(&mut self, units: u64) {
        self.level_milli -= milli(units);
        self.lent += units;
    }

    /// Returns the most units that may be lent at a time if that is `eighths` of the burst: not so
    /// many that a large request of the usual size finds too few.
    pub fn lend_limit(&self, eighths: u64) -> u64 {
        let burst = self.allotment.burst;
        let part = burst.saturating_mul(eighths) / 8;
        part.min(burst.saturating_sub(self.largest.0))
    }

    /// Replaces the demand for small requests that one host is counted with.
    pub fn record_small(&mut self, before: u64, after: u64) {
        self.small_per_s = (self.small_per_s + after).saturating_sub(before);
    }

    /// Returns the units of small requests that callers ask all hosts for in a second.
    pub fn small_per_s(&self) -> u64 {
        self.small_per_s
    }

    /// Replaces the units that a host was known to hold by those that it holds. The difference is
    /// spent or given back.
    pub fn record_held(&mut self, known: u64, held: u64) {
        self.lent = self.lent.saturating_sub(known) + held;
    }

    /// Puts units back that were not used; those that do not fit are lost.
    pub fn put_back(&mut self, units: u64, excluded: u64) {
        let level = self.level_milli.saturating_add(milli(units));
        self.level_milli = level.min(self.room_milli(excluded).max(self.level_milli));
    }

    /// Records what callers asked for.
    pub fn record_demand(&mut self, wanted: &BTreeMap<Kind, Demand>) {
        for (kind, demand) in wanted {
            let window = &mut self.flows.entry(*kind).or_default().window;
            window.requests += demand.requests;
            window.units += demand.units;
        }
    }

    /// Decides at the end of each window how much of each kind is taken, and returns whether the
    /// allotment has become scarce or ended being so.
    pub fn divide(&mut self, now: Instant) -> Option<Change> {
        let elapsed_ms = now.since(self.window_began);
        if elapsed_ms < WINDOW_MS {
            return None;
        }
        self.window_began = now;
        for flow in self.flows.values_mut() {
            flow.close_window(elapsed_ms);
        }
        self.flows
            .retain(|_, flow| flow.per_second.units >= LEAST_DEMAND);
        let demands: BTreeMap<Kind, u64> = self
            .flows
            .iter()
            .map(|(kind, flow)| (*kind, flow.per_second.units))
            .collect();
        let demand = demands.values().sum();
        let spare = self.level().max(0).unsigned_abs() * 1_000 / SPEND_MS;
        let budget = self.allotment.rate.saturating_add(spare);
        self.shares = share::shares(budget, &demands);
        self.reserve = match self.shares.is_empty() {
            false => self.reserve.with_part(large_per_mille(budget, &demands)),
            true => Reserve::default(),
        };
        if !self.shares.is_empty() {
            self.last_short_at = now;
        }
        let is_scarce = now.since(self.last_short_at) < RELIEF_MS
            && (self.is_scarce || !self.shares.is_empty());
        let has_changed = std::mem::replace(&mut self.is_scarce, is_scarce) != is_scarce;
        has_changed.then(|| Change {
            demand,
            is_scarce,
            level: self.level(),
            rate: self.allotment.rate,
        })
    }

    /// Charges a request that a host cannot cover.
    ///
    /// A request that costs more than the burst is taken from a full bucket, as a debt.
    pub fn draw(&mut self, now: Instant, kind: Kind, units: u64, excluded: u64) -> Drawn {
        let size = kind.size;
        if size == Size::Large {
            self.record_large(now, units);
        }
        let needed = milli(units);
        let is_full = self.lent == 0 && self.level_milli >= self.room_milli(excluded);
        let is_over = units > self.allotment.burst && excluded == 0;
        let is_covered = match size {
            Size::Large => self.level_milli >= needed,
            Size::Small => self.small_level() >= units,
        };
        if is_covered || is_over && is_full {
            self.level_milli -= needed;
            if size == Size::Large {
                self.reserve.spend(needed);
            }
            return Drawn::Charged;
        }
        if size == Size::Large {
            self.reserve.needed = self.reserve.needed.max(units);
        }
        if needed > self.room_milli(excluded) {
            self.recalled_until = now + RECALL_MS;
        }
        Drawn::Refused {
            retry_after_ms: self.wait_ms(kind, needed),
        }
    }

    /// Returns the time after which a request may be asked for again. Small ones are told times one
    /// after the other, as the inflow covers them; those that would wait for longer than hosts let
    /// requests wait come back when the backlog of their kind lets them.
    fn wait_ms(&mut self, kind: Kind, needed: i64) -> u64 {
        let missing = needed.min(milli(self.allotment.burst)) - self.level_milli;
        let (missing, per_mille, least) = match kind.size {
            Size::Large => (missing, 1_000, LEAST_LARGE_WAIT_MS),
            Size::Small => {
                let missing = missing + self.reserve.saved_milli + self.owed_milli;
                let per_mille = 1_000 - self.reserve.per_mille;
                (missing, per_mille, LEAST_SMALL_WAIT_MS)
            }
        };
        let rate = i64::try_from(self.allotment.rate).unwrap_or(i64::MAX);
        let inflow = rate.saturating_mul(per_mille).max(1);
        let wait_ms = missing.max(0).saturating_mul(1_000) / inflow;
        let wait_ms = wait_ms.unsigned_abs().clamp(least, MAX_RETRY_AFTER_MS);
        match (kind.size, self.shares.get(&kind)) {
            (Size::Small, _) if wait_ms <= MAX_WAIT_MS => self.owed_milli += needed,
            (_, Some(share)) if wait_ms > MAX_WAIT_MS => {
                return wait_ms.max(u64::from(share.retry_after_ms));
            }
            (_, Some(_) | None) => {}
        }
        wait_ms
    }

    /// Returns the mean cost of small requests.
    pub fn small_cost(&self) -> u64 {
        let small = self.flows.iter().filter(|(k, _)| k.size == Size::Small);
        let (requests, units) = small.fold((0, 0), |(requests, units), (_, flow)| {
            let per_second = flow.per_second;
            (requests + per_second.requests, units + per_second.units)
        });
        units / requests.max(1)
    }

    fn record_large(&mut self, now: Instant, units: u64) {
        let (largest, at) = self.largest;
        if units >= largest || now.since(at) > LARGEST_MS {
            self.largest = (units, now);
        }
    }

    fn room_milli(&self, excluded: u64) -> i64 {
        let taken = self.lent.saturating_add(excluded);
        milli(self.allotment.burst).saturating_sub(milli(taken))
    }
}

impl Flow {
    /// Ends a window: half of the new rate is that of the window.
    fn close_window(&mut self, elapsed_ms: u64) {
        let rate = |sum: u64| sum.saturating_mul(1_000) / elapsed_ms.max(1);
        let window = std::mem::take(&mut self.window);
        self.per_second = Demand {
            requests: (self.per_second.requests + rate(window.requests)) / 2,
            units: (self.per_second.units + rate(window.units)) / 2,
        };
    }
}

impl Reserve {
    /// Saves its part of the inflow, of which `level_milli` is left.
    fn save(&mut self, inflow_milli: i64, level_milli: i64) {
        let part = inflow_milli.saturating_mul(self.per_mille) / 1_000;
        let most = milli(self.needed).min(level_milli.max(0));
        self.saved_milli = self.saved_milli.saturating_add(part).min(most);
    }

    fn spend(&mut self, units_milli: i64) {
        self.saved_milli = (self.saved_milli - units_milli).max(0);
    }

    fn with_part(self, per_mille: i64) -> Self {
        Self { per_mille, ..self }
    }
}

/// Returns the part of the budget that goes to large requests, in thousandths.
fn large_per_mille(budget: u64, demands: &BTreeMap<Kind, u64>) -> i64 {
    let parts = share::divide(budget, demands);
    let large = parts.iter().filter(|(kind, _)| kind.size == Size::Large);
    let large: u64 = large.map(|(_, part)| part).sum();
    (large * 1_000 / budget.max(1)) as i64
}

fn milli(units: u64) -> i64 {
    i64::try_from(units.saturating_mul(1_000)).unwrap_or(i64::MAX)
}
