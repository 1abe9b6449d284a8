//! What callers saw, added up by workspace and rank.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::caller::End;
use crate::caller::Outcome;
use state::rank::Rank;

const LONGEST_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Names a group of requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Group {
    /// Ranks the requests.
    pub rank: Rank,
    /// Gives the position of the workspace.
    pub workspace: usize,
}

/// Adds up the requests of one group.
#[derive(Clone, Debug)]
pub struct Sum {
    /// Counts the answers lost after their request was sent.
    pub broken: u64,
    /// Counts the prompt tokens that engines had cached, where the answers tell.
    pub cached_tokens: u64,
    /// Counts the answers that ended without their end mark.
    pub cut: u64,
    /// Counts the answers that came whole.
    pub done: u64,
    /// Holds the times to the first token, in microseconds.
    pub first_us: Histogram<u64>,
    /// Holds the times between tokens, in microseconds.
    pub gap_us: Histogram<u64>,
    /// Counts the whole answers whose first token met the target.
    pub good: u64,
    /// Counts the tokens of good answers.
    pub good_tokens: u64,
    /// Counts the prompt tokens, where the answers tell.
    pub prompt_tokens: u64,
    /// Counts the refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Counts the requests.
    pub sent: u64,
    /// Counts the tokens of all answers.
    pub tokens: u64,
    /// Counts the requests that no address took.
    pub unreachable: u64,
}

impl Default for Sum {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_max(LONGEST_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
        };
        Self {
            broken: 0,
            cached_tokens: 0,
            cut: 0,
            done: 0,
            first_us: histogram(),
            gap_us: histogram(),
            good: 0,
            good_tokens: 0,
            prompt_tokens: 0,
            refused: BTreeMap::new(),
            sent: 0,
            tokens: 0,
            unreachable: 0,
        }
    }
}

impl Sum {
    /// Adds one request whose first token should come within `target_us`.
    pub fn record(&mut self, outcome: &Outcome, target_us: u64) {
        self.sent += 1;
        self.tokens += outcome.tokens;
        if let Some(micros) = outcome.first_us {
            self.first_us.saturating_record(micros);
        }
        for micros in &outcome.gaps_us {
            self.gap_us.saturating_record(*micros);
        }
        if let (Some(cached), Some(prompt)) = (outcome.cached_tokens, outcome.prompt_tokens) {
            self.cached_tokens += cached;
            self.prompt_tokens += prompt;
        }
        match outcome.end {
            End::Broken => self.broken += 1,
            End::Cut => self.cut += 1,
            End::Done => self.finish(outcome, target_us),
            End::Refused(reason) => *self.refused.entry(reason.to_string()).or_default() += 1,
            End::Unreachable => self.unreachable += 1,
        }
    }

    /// Adds the requests of another group.
    pub fn merge(&mut self, other: &Self) {
        self.broken += other.broken;
        self.cached_tokens += other.cached_tokens;
        self.cut += other.cut;
        self.done += other.done;
        self.good += other.good;
        self.good_tokens += other.good_tokens;
        self.prompt_tokens += other.prompt_tokens;
        self.sent += other.sent;
        self.tokens += other.tokens;
        self.unreachable += other.unreachable;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason.clone()).or_default() += count;
        }
        for (own, other) in [
            (&mut self.first_us, &other.first_us),
            (&mut self.gap_us, &other.gap_us),
        ] {
            own.add(other).expect("the bounds are equal");
        }
    }

    fn finish(&mut self, outcome: &Outcome, target_us: u64) {
        self.done += 1;
        if outcome.first_us.is_some_and(|micros| micros <= target_us) {
            self.good += 1;
            self.good_tokens += outcome.tokens;
        }
    }
}

/// Adds up the requests of all groups.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Holds the groups.
    pub groups: BTreeMap<Group, Sum>,
}

impl Tally {
    /// Adds one request to its group.
    pub fn record(&mut self, group: Group, outcome: &Outcome, target_us: u64) {
        let sum = self.groups.entry(group).or_default();
        sum.record(outcome, target_us);
    }

    /// Returns the sum over the groups that `choose` picks.
    pub fn total(&self, choose: impl Fn(&Group) -> bool) -> Sum {
        let mut total = Sum::default();
        for (_, sum) in self.groups.iter().filter(|(group, _)| choose(group)) {
            total.merge(sum);
        }
        total
    }
}
