//! Admission: who is served next, and who is refused early.
//!
//! Urgent work goes before background work, which keeps a floor of the work served. Inside a rank,
//! service is fair by workspace, then by caller, in tokens of expected work.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;
use thiserror::Error;

use crate::placement_request::PlacementId;
use crate::placement_request::PlacementRequest;
use state::column::Column;
use state::fair_queue::FairQueue;
use state::fair_queue::FlowKey;
use state::fair_queue::SearchLimits;
use state::fair_queue::Verdict;
use state::rank::Rank;
use state::sheet::Sheet;
use state::table::Table;
use state::time::Instant;

/// Gives the share of work that background keeps where the table names none, in percent.
pub const DEFAULT_FLOOR_PERCENT: u64 = 20;

/// Bounds the requests of one caller that wait, in requests; a thirty-second of `QUEUE_LIMIT`.
const CALLER_QUEUE: usize = 256;
/// Gives the work of a token of an answer, in tokens of a prompt; it is a part of a whole step of
/// the engine, where prompts are read many tokens at a time.
const DECODE_COST: u64 = 4;
/// Gives the least time after which a refused caller is asked to return, in milliseconds; a few
/// steps of the engines of docs/MEASUREMENTS.md.
const LEAST_RETRY_MS: u64 = 100;
/// Bounds the requests in flight of a caller that counts as light, in requests: one that is
/// answered and one that follows it.
const LIGHT_INFLIGHT: u64 = 2;
const MILLIS_PER_SECOND: u64 = 1_000;
/// Bounds the share of work that background keeps, in percent, whatever the table names: urgent
/// work has at least as much.
const MOST_FLOOR_PERCENT: u64 = 50;
/// Gives the share of its deadline that a request may wait, as divisors for background and urgent
/// work; docs/design/load.md tells why an urgent flood is refused at a tenth.
const PATIENCE_DIVISORS: [u64; 2] = [2, 10];
/// Bounds the requests of one rank that wait, in requests, so that a flood does not fill the
/// memory: what docs/CAPACITY.md states as the peak of the fleet fills it in five seconds.
const QUEUE_LIMIT: usize = 8_192;
/// Gives the time for which a workspace may save up its rate, in milliseconds; a burst at the start
/// of a job.
const RATE_BURST_MS: u64 = 2_000;
/// Bounds how far a queue is searched for a request that an engine can take, in requests, so that
/// the cost of a search does not grow with the queue.
const REACH: SearchLimits = SearchLimits {
    total: 48,
    per_caller: 8,
};
/// Counts the units of the whole share of a limit; shares are given in thousandths.
const SHARE_UNIT: u64 = 1_000;
/// Gives the time over which work is counted together, in milliseconds.
const WINDOW_MS: u64 = 250;
/// Counts the windows from which the pace of a rank is taken; two seconds in all, so that it
/// follows a burst.
const WINDOWS: usize = 8;

/// Tells why a request got no place.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Means that the caller already has too many requests in flight.
    CallerLimit,
    /// Means that the deadline has passed or cannot be met.
    Deadline,
    /// Means that the kind of work already has too many requests in flight.
    KindLimit,
    /// Means that no upstream can take the request.
    NoUpstream,
    /// Means that the broker owns no upstream of the model.
    NotOwner,
    /// Means that the queue is full.
    Overloaded,
    /// Means that the workspace used its tokens for now.
    RateLimit,
    /// Means that the workspace already has too many requests in flight.
    WorkspaceLimit,
}

/// Refuses a place; the request did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("no place: {reason}; try again in {retry_after_ms} ms")]
pub struct Refusal {
    /// Tells why.
    pub reason: Reason,
    /// Gives the time after which to try again, in milliseconds.
    pub retry_after_ms: u64,
    /// Identifies the placement.
    pub placement_id: PlacementId,
}

/// Holds what the table says of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Bounds the requests in flight of one caller.
    pub caller_limit: Option<u64>,
    /// Bounds the requests in flight.
    pub limit: Option<u64>,
    /// Bounds the tokens of work in a second.
    pub rate: Option<u64>,
    /// Says how far hit rate goes before first-token time, from 0 to 100.
    pub trade: u64,
    /// Weighs the workspace against others.
    pub weight: u64,
}

impl Default for Workspace {
    fn default() -> Self {
        Self {
            caller_limit: None,
            limit: None,
            rate: None,
            trade: crate::placement::DEFAULT_TRADE,
            weight: crate::placement::DEFAULT_WEIGHT,
        }
    }
}

/// Holds what the table says of a kind of work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Kind {
    /// Gives the share of work that the kind keeps in a flood, in percent.
    pub floor: Option<u64>,
    /// Bounds the requests in flight.
    pub limit: Option<u64>,
    /// Ranks the kind.
    pub rank: Rank,
}

/// Holds the rules of the table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rules {
    /// Holds the kinds of work.
    pub kinds: BTreeMap<String, Kind>,
    /// Holds the workspaces.
    pub workspaces: BTreeMap<String, Workspace>,
}

impl Rules {
    /// Reads the rules from a table.
    pub fn read(table: &Table) -> Self {
        let kinds = table.sheet(Sheet::Kinds).map(|(name, row)| {
            let kind = Kind {
                floor: row.number(Column::Floor),
                limit: row.number(Column::Limit),
                rank: row
                    .text(Column::Rank)
                    .and_then(|r| r.parse().ok())
                    .unwrap_or_default(),
            };
            (name.to_owned(), kind)
        });
        let workspaces = table.sheet(Sheet::Workspaces).map(|(name, row)| {
            let default = Workspace::default();
            let workspace = Workspace {
                caller_limit: row.number(Column::CallerLimit),
                limit: row.number(Column::Limit),
                rate: row.number(Column::Rate),
                trade: row.number(Column::Trade).unwrap_or(default.trade),
                weight: row.number(Column::Weight).unwrap_or(default.weight),
            };
            (name.to_owned(), workspace)
        });
        Self {
            kinds: kinds.collect(),
            workspaces: workspaces.collect(),
        }
    }

    /// Returns how far hit rate goes before first-token time for a workspace, from 0 to 100.
    pub fn trade(&self, workspace: &str) -> u64 {
        self.workspace(workspace).trade
    }

    /// Returns the rules of a workspace.
    pub fn workspace(&self, name: &str) -> Workspace {
        self.workspaces.get(name).copied().unwrap_or_default()
    }
}

/// Holds a request that waits for a place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Holds the ask.
    pub ask: PlacementRequest,
    /// Gives the time at which it arrived.
    pub since: Instant,
}

#[derive(Clone, Debug, Default)]
struct Usage {
    callers: BTreeMap<String, u64>,
    credit: u64,
    inflight: u64,
    refilled: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    requests: u64,
    work: u64,
}

/// Decides who is served next and who is refused.
#[derive(Clone, Debug)]
pub struct Admission {
    busy: [Option<Instant>; 2],
    kinds: BTreeMap<String, u64>,
    queues: [FairQueue<Waiting>; 2],
    rules: Arc<Rules>,
    served: VecDeque<[Served; 2]>,
    served_at: u64,
    share: u64,
    usage: BTreeMap<String, Usage>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            busy: [None; 2],
            kinds: BTreeMap::new(),
            queues: [FairQueue::default(), FairQueue::default()],
            rules: Arc::default(),
            served: VecDeque::from([[Served::default(); 2]]),
            served_at: 0,
            share: SHARE_UNIT,
            usage: BTreeMap::new(),
        }
    }
}

impl Admission {
    /// Takes `ask` into its queue.
    ///
    /// # Errors
    ///
    /// Refuses what is over a limit, what does not fit the queue, and what could not be served
    /// before its deadline.
    pub fn admit(&mut self, ask: PlacementRequest, now: Instant) -> Result<(), Refusal> {
        let refuse = |reason, retry_after_ms: u64| Refusal {
            reason,
            retry_after_ms: retry_after_ms.max(LEAST_RETRY_MS),
            placement_id: ask.placement_id,
        };
        let place = place(&ask);
        let rules = self.rules.workspace(&ask.workspace);
        if let Some(reason) = self.over_limit(&ask, rules) {
            return Err(refuse(reason, MILLIS_PER_SECOND));
        }
        let queue = &self.queues[ask.rank.index()];
        let fair = QUEUE_LIMIT / (2 * (queue.callers() + 1));
        let mine = queue.len_of_caller(&place);
        let crowded = queue.len() >= QUEUE_LIMIT / 2 && mine >= fair;
        if mine >= CALLER_QUEUE || queue.len() >= QUEUE_LIMIT || crowded {
            return Err(refuse(Reason::Overloaded, self.wait_ms(&ask, now)));
        }
        let wait = self.wait_ms(&ask, now);
        let patience = ask.deadline_ms / PATIENCE_DIVISORS[ask.rank.index()];
        if wait >= patience {
            return Err(refuse(Reason::Deadline, wait - patience));
        }
        if let Some(wait) = self.over_rate(&ask, rules, now) {
            return Err(refuse(Reason::RateLimit, wait));
        }
        self.count(&ask);
        let rank = ask.rank.index();
        let waiting = Waiting { ask, since: now };
        self.busy[rank].get_or_insert(now);
        self.queues[rank].push(&place, waiting, rules.weight);
        Ok(())
    }

    /// Removes a waiting request whose caller left, and returns whether it was there.
    pub fn cancel(&mut self, placement_id: PlacementId) -> bool {
        let mut found = false;
        for rank in 0..self.queues.len() {
            for waiting in
                self.queues[rank].remove(|waiting| waiting.ask.placement_id == placement_id)
            {
                self.release(&waiting.ask);
                found = true;
            }
        }
        found
    }

    /// Counts a request that was placed elsewhere or before a restart.
    pub fn count(&mut self, ask: &PlacementRequest) {
        let usage = self.usage.entry(ask.workspace.clone()).or_default();
        usage.inflight += 1;
        *usage.callers.entry(ask.caller.clone()).or_default() += 1;
        *self.kinds.entry(ask.kind.clone()).or_default() += 1;
    }

    /// Refuses the waiting requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        for rank in 0..self.queues.len() {
            let late = |waiting: &Waiting| now.since(waiting.since) >= waiting.ask.deadline_ms;
            for waiting in self.queues[rank].remove(late) {
                self.release(&waiting.ask);
                refusals.push(Refusal {
                    reason: Reason::Deadline,
                    retry_after_ms: self.wait_ms(&waiting.ask, now).max(LEAST_RETRY_MS),
                    placement_id: waiting.ask.placement_id,
                });
            }
            self.queues[rank].remove_idle();
        }
        refusals
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(FairQueue::is_empty)
    }

    /// Returns how many requests of `rank` wait.
    pub fn len(&self, rank: Rank) -> usize {
        self.queues[rank.index()].len()
    }

    /// Returns the rank to serve first, and whether the other is owed work.
    pub fn next(&mut self, now: Instant) -> (Rank, bool) {
        self.roll(now);
        for (busy, queue) in self.busy.iter_mut().zip(&self.queues) {
            if queue.is_empty() {
                *busy = None;
            }
        }
        let waits = |rank: Rank| !self.queues[rank.index()].is_empty();
        if !waits(Rank::Urgent) {
            return (Rank::Background, false);
        }
        let [background, urgent] = self.recent().map(|served| served.work);
        let floor = self.floor_percent();
        let owed = background * 100 < (background + urgent) * floor;
        match waits(Rank::Background) && owed {
            true => (Rank::Background, true),
            false => (Rank::Urgent, false),
        }
    }

    /// Ends the use of limits by a request that is over.
    pub fn release(&mut self, ask: &PlacementRequest) {
        if let Some(kind) = self.kinds.get_mut(&ask.kind) {
            *kind = kind.saturating_sub(1);
        }
        let Some(usage) = self.usage.get_mut(&ask.workspace) else {
            return;
        };
        usage.inflight = usage.inflight.saturating_sub(1);
        if let Some(caller) = usage.callers.get_mut(&ask.caller) {
            *caller -= 1;
            if *caller == 0 {
                usage.callers.remove(&ask.caller);
            }
        }
    }

    /// Takes over the rules of a new table.
    pub fn rule(&mut self, rules: Arc<Rules>) {
        self.rules = rules;
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> Arc<Rules> {
        Arc::clone(&self.rules)
    }

    /// Records work that was sent to an upstream.
    pub fn serve(&mut self, rank: Rank, work: u64, now: Instant) {
        self.roll(now);
        if let Some(window) = self.served.back_mut() {
            window[rank.index()].requests += 1;
            window[rank.index()].work += work;
        }
    }

    /// Sets the part of each fleet-wide limit that this broker may use, in thousandths.
    pub fn share(&mut self, thousandths: u64) {
        self.share = thousandths.min(SHARE_UNIT);
    }

    /// Looks at the requests of `rank` in order of service and takes the first that `judge` takes.
    ///
    /// `judge` also learns whether the caller has little in flight.
    pub fn take(
        &mut self,
        rank: Rank,
        mut judge: impl FnMut(&Waiting, bool) -> Verdict,
    ) -> Option<Waiting> {
        let usage = &self.usage;
        self.queues[rank.index()].take(REACH, |waiting| {
            let usage = usage.get(&waiting.ask.workspace);
            let caller = usage.and_then(|usage| usage.callers.get(&waiting.ask.caller));
            judge(waiting, caller.is_none_or(|count| *count <= LIGHT_INFLIGHT))
        })
    }

    /// Returns the share of work that background keeps, in percent.
    pub fn floor_percent(&self) -> u64 {
        let background = |kind: &&Kind| kind.rank == Rank::Background;
        let named = self.rules.kinds.values().filter(background);
        let floors: Vec<u64> = named.filter_map(|kind| kind.floor).collect();
        match floors.is_empty() {
            true => DEFAULT_FLOOR_PERCENT,
            false => floors.iter().sum::<u64>().min(MOST_FLOOR_PERCENT),
        }
    }

    fn over_limit(&self, ask: &PlacementRequest, rules: Workspace) -> Option<Reason> {
        let over = |used: u64, limit: Option<u64>| limit.is_some_and(|l| used >= self.part(l));
        let kind = self.rules.kinds.get(&ask.kind).and_then(|kind| kind.limit);
        let used = self.kinds.get(&ask.kind).copied().unwrap_or(0);
        if over(used, kind) {
            return Some(Reason::KindLimit);
        }
        let usage = self.usage.get(&ask.workspace);
        let caller = usage.and_then(|usage| usage.callers.get(&ask.caller));
        if over(caller.copied().unwrap_or(0), rules.caller_limit) {
            return Some(Reason::CallerLimit);
        }
        let inflight = usage.map_or(0, |usage| usage.inflight);
        over(inflight, rules.limit).then_some(Reason::WorkspaceLimit)
    }

    /// Charges the request to the workspace's rate, or returns the time until it fits.
    fn over_rate(&mut self, ask: &PlacementRequest, rules: Workspace, now: Instant) -> Option<u64> {
        let rate = self.part(rules.rate?);
        let usage = self.usage.entry(ask.workspace.clone()).or_default();
        let most = (rate * RATE_BURST_MS / MILLIS_PER_SECOND).max(1);
        let passed = usage.refilled.map_or(RATE_BURST_MS, |at| now.since(at));
        let refill = passed.saturating_mul(rate) / MILLIS_PER_SECOND;
        if refill > 0 {
            usage.credit = (usage.credit + refill).min(most);
            usage.refilled = Some(now);
        }
        let need = (u64::from(ask.prompt_tokens) + u64::from(ask.output_tokens)).min(most);
        if usage.credit < need {
            let missing = need - usage.credit;
            return Some(missing * MILLIS_PER_SECOND / rate.max(1));
        }
        usage.credit -= need;
        None
    }

    fn part(&self, limit: u64) -> u64 {
        match limit {
            0 => 0,
            _ => (limit * self.share / SHARE_UNIT).max(1),
        }
    }

    fn recent(&self) -> [Served; 2] {
        let mut sums = [Served::default(); 2];
        for window in &self.served {
            for (sum, served) in sums.iter_mut().zip(window) {
                sum.requests += served.requests;
                sum.work += served.work;
            }
        }
        sums
    }

    fn roll(&mut self, now: Instant) {
        let window = now.0 / WINDOW_MS;
        let passed = window.saturating_sub(self.served_at).min(WINDOWS as u64);
        self.served_at = window;
        for _ in 0..passed {
            self.served.push_back([Served::default(); 2]);
        }
        while self.served.len() > WINDOWS {
            self.served.pop_front();
        }
    }

    /// Returns how long a request would wait, from the pace at which its rank was served lately.
    ///
    /// The pace counts only once the queue has been busy for all the time it is taken over.
    fn wait_ms(&self, ask: &PlacementRequest, now: Instant) -> u64 {
        let rank = ask.rank.index();
        let queue = &self.queues[rank];
        let paced = WINDOW_MS * WINDOWS as u64;
        let busy = self.busy[rank].is_some_and(|since| now.since(since) >= paced);
        if queue.is_empty() || !busy {
            return 0;
        }
        let mine = queue.len_of_caller(&place(ask));
        let ahead = queue.len().min((mine + 1) * (queue.callers() + 1));
        ahead as u64 * paced / self.recent()[rank].requests.max(1)
    }
}

/// Returns the expected work of a request, in tokens of prompt.
pub fn work(uncached_tokens: u64, output_tokens: u32) -> u64 {
    uncached_tokens + u64::from(output_tokens) * DECODE_COST
}

/// Returns the place of a request in its queue.
pub fn place(ask: &PlacementRequest) -> FlowKey {
    FlowKey {
        caller: ask.caller.clone(),
        workspace: ask.workspace.clone(),
    }
}
