//! Decides whether and when a failed attempt is retried, within retry budgets.

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

/// Cost of a retry; budgets count in thousandths of a retry.
const RETRY_COST: u64 = 1_000;

/// Why an attempt failed; each reason has a counter.
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
    /// The upstream accepted no connection.
    Connect,
    /// The upstream crashed.
    Crash,
    /// The answer belongs to another attempt.
    Crossed,
    /// The connection was closed before the answer was complete.
    Cut,
    /// The answer was malformed.
    Format,
    /// Tokens of the answer were missing or repeated.
    Gap,
    /// The upstream sent nothing for too long.
    Idle,
    /// Another incarnation of the upstream, or another weights version, answered.
    Mismatch,
    /// The answer had no end mark.
    NoEnd,
    /// The upstream's weights expired before it began to answer.
    OldWeights,
    /// The upstream refused the request.
    Refused,
    /// The upstream answered with an error status.
    Status,
}

/// Why a failed attempt is not retried; each denial has a counter.
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
    /// The request has had all its attempts.
    Attempts,
    /// The deadline would pass before the next attempt.
    Deadline,
    /// The request is not idempotent and may have run.
    MayHaveRun,
    /// The retry budget of the upstream is exhausted.
    UpstreamBudget,
    /// The retry budget of the workspace is exhausted.
    WorkspaceBudget,
}

/// Limits of retries: attempts, exponential backoff and token-bucket budgets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// Largest number of attempts at one request, including the first.
    pub attempt_limit: u32,
    /// Longest backoff before the second attempt, in milliseconds; it doubles with each attempt.
    pub initial_backoff_ms: u64,
    /// Longest backoff before any attempt, in milliseconds.
    pub max_backoff_ms: u64,
    /// Retries in a full budget.
    pub burst: u64,
    /// What each first attempt adds to a budget, in thousandths of a retry.
    pub deposit_per_attempt: u64,
    /// What a budget gains per second, in thousandths of a retry.
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

/// A failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the upstream may have run the attempt.
    pub may_have_run: bool,
    /// Upstream of the attempt.
    pub upstream: String,
    /// Workspace of the request.
    pub workspace: String,
}

/// The retry budgets of workspaces and upstreams.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    policy: Policy,
    rng: ChaCha8Rng,
    upstreams: BTreeMap<String, Budget>,
    workspaces: BTreeMap<String, Budget>,
}

/// A token bucket, in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
struct Budget {
    refilled_at: Instant,
    tokens: u64,
}

impl RetryBudgets {
    /// Returns full budgets; `seed` determines the jitter.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
            workspaces: BTreeMap::new(),
        }
    }

    /// Replaces the policy; budgets above the new burst shrink to it.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Records a first attempt, which adds to the budgets.
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

    /// Returns the backoff before the next attempt, in milliseconds, and charges the budgets.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no next attempt; then no budget is charged.
    pub fn try_retry(&mut self, now: Instant, failure: &Failure) -> Result<u64, Denial> {
        let policy = self.policy;
        if failure.may_have_run && !failure.idempotent {
            return Err(Denial::MayHaveRun);
        }
        if failure.attempt >= policy.attempt_limit {
            return Err(Denial::Attempts);
        }
        let backoff_ms = self.backoff_ms(failure.attempt);
        if now + backoff_ms >= failure.deadline {
            return Err(Denial::Deadline);
        }
        let workspace = failure.workspace.clone();
        let upstream = failure.upstream.clone();
        let workspace = budget(&mut self.workspaces, workspace, now, policy);
        if workspace.tokens < RETRY_COST {
            return Err(Denial::WorkspaceBudget);
        }
        let upstream = budget(&mut self.upstreams, upstream, now, policy);
        if upstream.tokens < RETRY_COST {
            return Err(Denial::UpstreamBudget);
        }
        workspace.tokens -= RETRY_COST;
        upstream.tokens -= RETRY_COST;
        Ok(backoff_ms)
    }

    /// Returns whether the budgets of a workspace and an upstream allow a retry.
    pub fn can_retry(&self, now: Instant, workspace: &str, upstream: &str) -> bool {
        let can_pay = |budgets: &BTreeMap<String, Budget>, name: &str| {
            let budget = budgets.get(name);
            budget.is_none_or(|budget| budget.refilled(now, self.policy).tokens >= RETRY_COST)
        };
        can_pay(&self.workspaces, workspace) && can_pay(&self.upstreams, upstream)
    }

    /// Removes full budgets; a new budget starts full, so that this has no effect on retries.
    pub fn prune(&mut self, now: Instant) {
        let policy = self.policy;
        let full =
            |budget: &Budget| budget.refilled(now, policy).tokens >= policy.burst * RETRY_COST;
        self.upstreams.retain(|_, budget| !full(budget));
        self.workspaces.retain(|_, budget| !full(budget));
    }

    /// Returns a random backoff between half of the exponential one and all of it.
    fn backoff_ms(&mut self, attempt: u32) -> u64 {
        let doubled = self.policy.initial_backoff_ms << (attempt.saturating_sub(1)).min(16);
        let limit_ms = doubled.min(self.policy.max_backoff_ms);
        self.rng.random_range(limit_ms / 2..=limit_ms)
    }
}

impl Budget {
    fn deposit(&mut self, policy: Policy) {
        self.tokens = (self.tokens + policy.deposit_per_attempt).min(policy.burst * RETRY_COST);
    }

    fn refilled(mut self, now: Instant, policy: Policy) -> Self {
        let gain = now
            .since(self.refilled_at)
            .saturating_mul(policy.refill_per_s)
            / 1_000;
        if gain > 0 {
            self.tokens = self
                .tokens
                .saturating_add(gain)
                .min(policy.burst * RETRY_COST);
            self.refilled_at = now;
        }
        self
    }
}

/// Returns the budget of a name, refilled up to now; a new one is full.
fn budget(
    budgets: &mut BTreeMap<String, Budget>,
    name: String,
    now: Instant,
    policy: Policy,
) -> &mut Budget {
    let tokens = policy.burst * RETRY_COST;
    let budget = budgets.entry(name).or_insert(Budget {
        refilled_at: now,
        tokens,
    });
    *budget = budget.refilled(now, policy);
    budget.tokens = budget.tokens.min(tokens);
    budget
}
