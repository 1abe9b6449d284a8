//! Admission control: which request is served next, and which is refused early.
//!
//! Urgent work goes before background work, which is guaranteed a share of the work served. Within
//! a rank, service is fair by workspace, then by caller, in tokens of expected work.

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

/// Share of the work that background work is guaranteed if the table sets none, in percent.
pub const DEFAULT_FLOOR_PERCENT: u64 = 20;

/// Upper limit on the queued requests of one caller: a thirty-second of `QUEUE_LIMIT`.
const CALLER_QUEUE_LIMIT: usize = 256;
/// Work of decoding one token, in prefill tokens. Each decoded token takes part in a whole step of
/// the engine, while prefill computes many tokens in one step.
const DECODE_TOKEN_WORK: u64 = 4;
/// Shortest time after which a refused caller is told to retry, in milliseconds: a few steps of the
/// engines in docs/MEASUREMENTS.md.
const MIN_RETRY_AFTER_MS: u64 = 100;
/// Most requests in flight with which a caller counts as light: one that is being answered and the
/// one that follows it.
const LIGHT_CALLER_MAX_IN_FLIGHT: u64 = 2;
const MILLIS_PER_SECOND: u64 = 1_000;
/// Upper limit on the share that background work is guaranteed, in percent, whatever the table
/// sets: urgent work gets at least as much.
const MAX_FLOOR_PERCENT: u64 = 50;
/// Part of its deadline that a request may spend in the queue, as divisors for background and
/// urgent work. docs/design/load.md explains why a flood of urgent work is refused at a tenth.
const MAX_WAIT_DIVISORS: [u64; 2] = [2, 10];
/// Upper limit on the queued requests of one rank, so that a flood does not fill the memory. The
/// peak load of the fleet in docs/CAPACITY.md reaches it in five seconds.
const QUEUE_LIMIT: usize = 8_192;
/// Time for which a workspace may save up its rate, in milliseconds, to allow a burst at the start
/// of a job.
const RATE_BURST_MS: u64 = 2_000;
/// How far a queue is searched for a request that an engine can take, in requests, so that the cost
/// of a search does not grow with the queue.
const SEARCH_LIMITS: SearchLimits = SearchLimits {
    total: 48,
    per_caller: 8,
};
/// The whole of a limit, in the unit of shares, which are thousandths.
const FULL_SHARE: u64 = 1_000;
/// Length of a window over which served work is summed, in milliseconds.
const SERVICE_WINDOW_MS: u64 = 250;
/// Number of windows from which the service rate of a rank is computed: two seconds in all, so that
/// the rate follows a burst.
const SERVICE_WINDOWS: usize = 8;

/// The reason why a request was refused.
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
    /// The caller already has too many requests in flight.
    CallerLimit,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The kind of work already has too many requests in flight.
    KindLimit,
    /// No upstream can take the request.
    NoUpstream,
    /// The broker owns no upstream of the model.
    NotOwner,
    /// The queue is full.
    Overloaded,
    /// The workspace has used up its token rate for now.
    RateLimit,
    /// The workspace already has too many requests in flight.
    WorkspaceLimit,
}

/// The refusal of a request, which did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("request refused: {reason}; retry in {retry_after_ms} ms")]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: u64,
    /// ID of the placement.
    pub placement_id: PlacementId,
}

/// The rules of the table for a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkspaceRules {
    /// Upper limit on the requests in flight of one caller.
    pub caller_limit: Option<u64>,
    /// Upper limit on the requests in flight.
    pub limit: Option<u64>,
    /// Upper limit on the tokens of prompts and answers per second.
    pub rate: Option<u64>,
    /// Preference for a high cache hit rate over a short time to first token, from 0 to 100.
    pub trade: u64,
    /// Weight of the workspace against others in fair queueing.
    pub weight: u64,
}

impl Default for WorkspaceRules {
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

/// The rules of the table for a kind of work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KindRules {
    /// Share of the work that the kind is guaranteed under overload, in percent.
    pub floor: Option<u64>,
    /// Upper limit on the requests in flight.
    pub limit: Option<u64>,
    /// Rank of the kind.
    pub rank: Rank,
}

/// The rules of admission that the table sets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rules {
    /// Rules by kind of work.
    pub kinds: BTreeMap<String, KindRules>,
    /// Rules by workspace.
    pub workspaces: BTreeMap<String, WorkspaceRules>,
}

impl Rules {
    /// Reads the rules from a table.
    pub fn from_table(table: &Table) -> Self {
        let kinds = table.sheet(Sheet::Kinds).map(|(name, row)| {
            let kind = KindRules {
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
            let default = WorkspaceRules::default();
            let workspace = WorkspaceRules {
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

    /// Returns the preference of a workspace for a high cache hit rate over a short time to first
    /// token, from 0 to 100.
    pub fn trade(&self, workspace: &str) -> u64 {
        self.workspace(workspace).trade
    }

    /// Returns the rules of a workspace, or the defaults if the table has none.
    pub fn workspace(&self, name: &str) -> WorkspaceRules {
        self.workspaces.get(name).copied().unwrap_or_default()
    }
}

/// A request that waits in a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub request: PlacementRequest,
    /// Time at which it was queued.
    pub queued_at: Instant,
}

/// What the requests of a workspace use: in flight in all and by caller, and its token rate.
#[derive(Clone, Debug, Default)]
struct Usage {
    callers: BTreeMap<String, u64>,
    rate_credit: u64,
    in_flight: u64,
    refilled_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServedWork {
    requests: u64,
    work: u64,
}

/// Decides which request is served next and which is refused.
#[derive(Clone, Debug)]
pub struct Admission {
    busy_since: [Option<Instant>; 2],
    kinds: BTreeMap<String, u64>,
    queues: [FairQueue<QueuedRequest>; 2],
    rules: Arc<Rules>,
    served_windows: VecDeque<[ServedWork; 2]>,
    current_window: u64,
    share: u64,
    usage: BTreeMap<String, Usage>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            busy_since: [None; 2],
            kinds: BTreeMap::new(),
            queues: [FairQueue::default(), FairQueue::default()],
            rules: Arc::default(),
            served_windows: VecDeque::from([[ServedWork::default(); 2]]),
            current_window: 0,
            share: FULL_SHARE,
            usage: BTreeMap::new(),
        }
    }
}

impl Admission {
    /// Adds `request` to the queue of its rank.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is over a limit, does not fit into the queue, or would wait
    /// too long for its deadline.
    pub fn admit(&mut self, request: PlacementRequest, now: Instant) -> Result<(), Refusal> {
        let refuse = |reason, retry_after_ms: u64| Refusal {
            reason,
            retry_after_ms: retry_after_ms.max(MIN_RETRY_AFTER_MS),
            placement_id: request.placement_id,
        };
        let flow = flow_key(&request);
        let rules = self.rules.workspace(&request.workspace);
        if let Some(reason) = self.exceeded_limit(&request, rules) {
            return Err(refuse(reason, MILLIS_PER_SECOND));
        }
        let queue = &self.queues[request.rank.index()];
        let fair_share = QUEUE_LIMIT / (2 * (queue.callers() + 1));
        let of_caller = queue.len_of_caller(&flow);
        let over_fair_share = queue.len() >= QUEUE_LIMIT / 2 && of_caller >= fair_share;
        if of_caller >= CALLER_QUEUE_LIMIT || queue.len() >= QUEUE_LIMIT || over_fair_share {
            return Err(refuse(Reason::Overloaded, self.wait_ms(&request, now)));
        }
        let wait = self.wait_ms(&request, now);
        let max_wait = request.deadline_ms / MAX_WAIT_DIVISORS[request.rank.index()];
        if wait >= max_wait {
            return Err(refuse(Reason::Deadline, wait - max_wait));
        }
        if let Some(wait) = self.charge_rate(&request, rules, now) {
            return Err(refuse(Reason::RateLimit, wait));
        }
        self.add_usage(&request);
        let rank = request.rank.index();
        let queued = QueuedRequest {
            request,
            queued_at: now,
        };
        self.busy_since[rank].get_or_insert(now);
        self.queues[rank].push(&flow, queued, rules.weight);
        Ok(())
    }

    /// Removes a queued request whose caller left, and returns whether there was one.
    pub fn cancel(&mut self, placement_id: PlacementId) -> bool {
        let mut found = false;
        for rank in 0..self.queues.len() {
            for queued in
                self.queues[rank].remove(|queued| queued.request.placement_id == placement_id)
            {
                self.remove_usage(&queued.request);
                found = true;
            }
        }
        found
    }

    /// Counts a request against the limits of its workspace, caller and kind, such as one that was
    /// placed elsewhere or before a restart.
    pub fn add_usage(&mut self, request: &PlacementRequest) {
        let usage = self.usage.entry(request.workspace.clone()).or_default();
        usage.in_flight += 1;
        *usage.callers.entry(request.caller.clone()).or_default() += 1;
        *self.kinds.entry(request.kind.clone()).or_default() += 1;
    }

    /// Removes and refuses the queued requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        for rank in 0..self.queues.len() {
            let is_late =
                |queued: &QueuedRequest| now.since(queued.queued_at) >= queued.request.deadline_ms;
            for queued in self.queues[rank].remove(is_late) {
                self.remove_usage(&queued.request);
                refusals.push(Refusal {
                    reason: Reason::Deadline,
                    retry_after_ms: self.wait_ms(&queued.request, now).max(MIN_RETRY_AFTER_MS),
                    placement_id: queued.request.placement_id,
                });
            }
            self.queues[rank].remove_idle();
        }
        refusals
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(FairQueue::is_empty)
    }

    /// Returns how many requests of `rank` are queued.
    pub fn len(&self, rank: Rank) -> usize {
        self.queues[rank.index()].len()
    }

    /// Returns the rank to serve first, and whether it is background work that got less than its
    /// guaranteed share.
    pub fn next_rank(&mut self, now: Instant) -> (Rank, bool) {
        self.advance_window(now);
        for (busy_since, queue) in self.busy_since.iter_mut().zip(&self.queues) {
            if queue.is_empty() {
                *busy_since = None;
            }
        }
        let is_waiting = |rank: Rank| !self.queues[rank.index()].is_empty();
        if !is_waiting(Rank::Urgent) {
            return (Rank::Background, false);
        }
        let [background, urgent] = self.recent_totals().map(|served| served.work);
        let floor = self.background_floor_percent();
        let below_floor = background * 100 < (background + urgent) * floor;
        match is_waiting(Rank::Background) && below_floor {
            true => (Rank::Background, true),
            false => (Rank::Urgent, false),
        }
    }

    /// Stops counting a request that ended against the limits.
    pub fn remove_usage(&mut self, request: &PlacementRequest) {
        if let Some(kind) = self.kinds.get_mut(&request.kind) {
            *kind = kind.saturating_sub(1);
        }
        let Some(usage) = self.usage.get_mut(&request.workspace) else {
            return;
        };
        usage.in_flight = usage.in_flight.saturating_sub(1);
        if let Some(caller) = usage.callers.get_mut(&request.caller) {
            *caller -= 1;
            if *caller == 0 {
                usage.callers.remove(&request.caller);
            }
        }
    }

    /// Sets the rules of a new table.
    pub fn set_rules(&mut self, rules: Arc<Rules>) {
        self.rules = rules;
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> Arc<Rules> {
        Arc::clone(&self.rules)
    }

    /// Records work that was sent to an upstream.
    pub fn record_served(&mut self, rank: Rank, work: u64, now: Instant) {
        self.advance_window(now);
        if let Some(window) = self.served_windows.back_mut() {
            window[rank.index()].requests += 1;
            window[rank.index()].work += work;
        }
    }

    /// Sets the share of each fleet-wide limit that this broker may use, in thousandths.
    pub fn set_share(&mut self, thousandths: u64) {
        self.share = thousandths.min(FULL_SHARE);
    }

    /// Visits the requests of `rank` in order of service and removes the first that `decide` takes.
    ///
    /// The second argument of `decide` says whether the caller has few requests in flight.
    pub fn take(
        &mut self,
        rank: Rank,
        mut decide: impl FnMut(&QueuedRequest, bool) -> Verdict,
    ) -> Option<QueuedRequest> {
        let usage = &self.usage;
        self.queues[rank.index()].take(SEARCH_LIMITS, |queued| {
            let usage = usage.get(&queued.request.workspace);
            let caller = usage.and_then(|usage| usage.callers.get(&queued.request.caller));
            decide(
                queued,
                caller.is_none_or(|count| *count <= LIGHT_CALLER_MAX_IN_FLIGHT),
            )
        })
    }

    /// Returns the share of the work that background work is guaranteed, in percent.
    pub fn background_floor_percent(&self) -> u64 {
        let is_background = |kind: &&KindRules| kind.rank == Rank::Background;
        let background_kinds = self.rules.kinds.values().filter(is_background);
        let floors: Vec<u64> = background_kinds.filter_map(|kind| kind.floor).collect();
        match floors.is_empty() {
            true => DEFAULT_FLOOR_PERCENT,
            false => floors.iter().sum::<u64>().min(MAX_FLOOR_PERCENT),
        }
    }

    fn exceeded_limit(&self, request: &PlacementRequest, rules: WorkspaceRules) -> Option<Reason> {
        let is_over =
            |used: u64, limit: Option<u64>| limit.is_some_and(|l| used >= self.own_share(l));
        let kind = self
            .rules
            .kinds
            .get(&request.kind)
            .and_then(|kind| kind.limit);
        let used = self.kinds.get(&request.kind).copied().unwrap_or(0);
        if is_over(used, kind) {
            return Some(Reason::KindLimit);
        }
        let usage = self.usage.get(&request.workspace);
        let caller = usage.and_then(|usage| usage.callers.get(&request.caller));
        if is_over(caller.copied().unwrap_or(0), rules.caller_limit) {
            return Some(Reason::CallerLimit);
        }
        let in_flight = usage.map_or(0, |usage| usage.in_flight);
        is_over(in_flight, rules.limit).then_some(Reason::WorkspaceLimit)
    }

    /// Charges the request to the token rate of its workspace, or returns the time until it fits.
    fn charge_rate(
        &mut self,
        request: &PlacementRequest,
        rules: WorkspaceRules,
        now: Instant,
    ) -> Option<u64> {
        let rate = self.own_share(rules.rate?);
        let usage = self.usage.entry(request.workspace.clone()).or_default();
        let max_credit = (rate * RATE_BURST_MS / MILLIS_PER_SECOND).max(1);
        let passed = usage.refilled_at.map_or(RATE_BURST_MS, |at| now.since(at));
        let refill = passed.saturating_mul(rate) / MILLIS_PER_SECOND;
        if refill > 0 {
            usage.rate_credit = (usage.rate_credit + refill).min(max_credit);
            usage.refilled_at = Some(now);
        }
        let need =
            (u64::from(request.prompt_tokens) + u64::from(request.output_tokens)).min(max_credit);
        if usage.rate_credit < need {
            let missing = need - usage.rate_credit;
            return Some(missing * MILLIS_PER_SECOND / rate.max(1));
        }
        usage.rate_credit -= need;
        None
    }

    fn own_share(&self, limit: u64) -> u64 {
        match limit {
            0 => 0,
            _ => (limit * self.share / FULL_SHARE).max(1),
        }
    }

    fn recent_totals(&self) -> [ServedWork; 2] {
        let mut sums = [ServedWork::default(); 2];
        for window in &self.served_windows {
            for (sum, served) in sums.iter_mut().zip(window) {
                sum.requests += served.requests;
                sum.work += served.work;
            }
        }
        sums
    }

    fn advance_window(&mut self, now: Instant) {
        let window = now.0 / SERVICE_WINDOW_MS;
        let passed = window
            .saturating_sub(self.current_window)
            .min(SERVICE_WINDOWS as u64);
        self.current_window = window;
        for _ in 0..passed {
            self.served_windows.push_back([ServedWork::default(); 2]);
        }
        while self.served_windows.len() > SERVICE_WINDOWS {
            self.served_windows.pop_front();
        }
    }

    /// Returns how long a request would wait, estimated from the recent service rate of its rank.
    ///
    /// The rate is used only once the queue has been busy for all the time over which it is
    /// computed; until then the estimate is 0.
    fn wait_ms(&self, request: &PlacementRequest, now: Instant) -> u64 {
        let rank = request.rank.index();
        let queue = &self.queues[rank];
        let span_ms = SERVICE_WINDOW_MS * SERVICE_WINDOWS as u64;
        let busy = self.busy_since[rank].is_some_and(|since| now.since(since) >= span_ms);
        if queue.is_empty() || !busy {
            return 0;
        }
        let of_caller = queue.len_of_caller(&flow_key(request));
        let ahead = queue.len().min((of_caller + 1) * (queue.callers() + 1));
        ahead as u64 * span_ms / self.recent_totals()[rank].requests.max(1)
    }
}

/// Returns the expected work of a request, in prefill tokens.
pub fn expected_work(uncached_tokens: u64, output_tokens: u32) -> u64 {
    uncached_tokens + u64::from(output_tokens) * DECODE_TOKEN_WORK
}

/// Returns the flow of a request in the fair queue.
pub fn flow_key(request: &PlacementRequest) -> FlowKey {
    FlowKey {
        caller: request.caller.clone(),
        workspace: request.workspace.clone(),
    }
}
