//! Decides whether a failed attempt is made again, and when.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use state::time::Instant;

/// Counts budget in thousandths of an attempt.
const ATTEMPT: u64 = 1_000;

/// Tells why an attempt failed; each reason has a counter.
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
    /// Means that the upstream took no connection.
    Connect,
    /// Means that the upstream crashed.
    Crash,
    /// Means that an answer named another attempt.
    Crossed,
    /// Means that the connection was cut.
    Cut,
    /// Means that an answer was not in the contract's format.
    Format,
    /// Means that tokens were missing or repeated.
    Gap,
    /// Means that the upstream sent nothing for too long.
    Idle,
    /// Means that another run or weights version answered.
    Mismatch,
    /// Means that an answer had no end mark.
    NoEnd,
    /// Means that the upstream refused the request.
    Refused,
    /// Means that the upstream answered with an error.
    Status,
}

/// Tells why a failed attempt is not made again; each denial has a counter.
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
pub enum Denial {
    /// Means that the request was tried often enough.
    Attempts,
    /// Means that the deadline would pass before the next attempt.
    Deadline,
    /// Means that the request may have run and must not run twice.
    MayHaveRun,
    /// Means that the upstream's budget is spent.
    UpstreamBudget,
    /// Means that the workspace's budget is spent.
    WorkspaceBudget,
}

/// Bounds retries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// Bounds the attempts at one request, the first included.
    pub attempt_limit: u32,
    /// Bounds the pause before the second attempt, in milliseconds; it doubles from there.
    pub initial_backoff_ms: u64,
    /// Bounds every pause, in milliseconds.
    pub max_backoff_ms: u64,
    /// Gives how many retries a budget holds when nothing has failed for long.
    pub burst: u64,
    /// Gives how much each first attempt adds to a budget, in thousandths of a retry.
    pub deposit_per_attempt: u64,
    /// Gives how much a budget gains each second, in thousandths of a retry.
    pub refill_per_s: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            attempt_limit: 8,
            initial_backoff_ms: 20,
            max_backoff_ms: 1_000,
            burst: 20,
            deposit_per_attempt: 100,
            refill_per_s: 500,
        }
    }
}

/// Describes a failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Numbers the attempt from 1.
    pub attempt: u32,
    /// Gives the time after which an answer is worth nothing.
    pub deadline: Instant,
    /// Tells whether the request may run more than once.
    pub idempotent: bool,
    /// Tells whether the attempt may have had an effect.
    pub may_have_run: bool,
    /// Names the upstream.
    pub upstream: String,
    /// Names the workspace.
    pub workspace: String,
}

/// Keeps the budgets of workspaces and upstreams.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    policy: Policy,
    rng: ChaCha8Rng,
    upstreams: BTreeMap<String, Budget>,
    workspaces: BTreeMap<String, Budget>,
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    at: Instant,
    left: u64,
}

impl RetryBudgets {
    /// Returns full budgets; `seed` fixes the jitter.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
            workspaces: BTreeMap::new(),
        }
    }

    /// Bounds retries by another policy from now on; budgets shrink where they hold more.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Counts a first attempt, which earns budget.
    pub fn record_first_attempt(
        &mut self,
        now: Instant,
        workspace: impl Into<String>,
        upstream: impl Into<String>,
    ) {
        let policy = self.policy;
        budget(&mut self.workspaces, workspace.into(), now, policy).deposit(policy);
        budget(&mut self.upstreams, upstream.into(), now, policy).deposit(policy);
    }

    /// Returns the pause before the next attempt, in milliseconds, and charges the budgets.
    ///
    /// # Errors
    ///
    /// Returns why there is no next attempt; no budget is charged then.
    pub fn try_retry(&mut self, now: Instant, failure: &Failure) -> Result<u64, Denial> {
        let policy = self.policy;
        if failure.may_have_run && !failure.idempotent {
            return Err(Denial::MayHaveRun);
        }
        if failure.attempt >= policy.attempt_limit {
            return Err(Denial::Attempts);
        }
        let pause = self.pause(failure.attempt);
        if now + pause >= failure.deadline {
            return Err(Denial::Deadline);
        }
        let workspace = failure.workspace.clone();
        let upstream = failure.upstream.clone();
        let workspace = budget(&mut self.workspaces, workspace, now, policy);
        if workspace.left < ATTEMPT {
            return Err(Denial::WorkspaceBudget);
        }
        let upstream = budget(&mut self.upstreams, upstream, now, policy);
        if upstream.left < ATTEMPT {
            return Err(Denial::UpstreamBudget);
        }
        workspace.left -= ATTEMPT;
        upstream.left -= ATTEMPT;
        Ok(pause)
    }

    /// Returns whether the budgets of a workspace and an upstream hold a retry.
    pub fn can_retry(&self, now: Instant, workspace: &str, upstream: &str) -> bool {
        let holds = |budgets: &BTreeMap<String, Budget>, name: &str| {
            let budget = budgets.get(name);
            budget.is_none_or(|budget| budget.refilled(now, self.policy).left >= ATTEMPT)
        };
        holds(&self.workspaces, workspace) && holds(&self.upstreams, upstream)
    }

    /// Forgets the budgets that are full, which costs nothing.
    pub fn prune(&mut self, now: Instant) {
        let policy = self.policy;
        let full = |budget: &Budget| budget.refilled(now, policy).left >= policy.burst * ATTEMPT;
        self.upstreams.retain(|_, budget| !full(budget));
        self.workspaces.retain(|_, budget| !full(budget));
    }

    fn pause(&mut self, attempt: u32) -> u64 {
        let doubled = self.policy.initial_backoff_ms << (attempt.saturating_sub(1)).min(16);
        let limit = doubled.min(self.policy.max_backoff_ms);
        self.rng.random_range(limit / 2..=limit)
    }
}

impl Budget {
    fn deposit(&mut self, policy: Policy) {
        self.left = (self.left + policy.deposit_per_attempt).min(policy.burst * ATTEMPT);
    }

    fn refilled(mut self, now: Instant, policy: Policy) -> Self {
        let gain = now.since(self.at).saturating_mul(policy.refill_per_s) / 1_000;
        if gain > 0 {
            self.left = self.left.saturating_add(gain).min(policy.burst * ATTEMPT);
            self.at = now;
        }
        self
    }
}

fn budget(
    budgets: &mut BTreeMap<String, Budget>,
    name: String,
    now: Instant,
    policy: Policy,
) -> &mut Budget {
    let left = policy.burst * ATTEMPT;
    let budget = budgets.entry(name).or_insert(Budget { at: now, left });
    *budget = budget.refilled(now, policy);
    budget.left = budget.left.min(left);
    budget
}
