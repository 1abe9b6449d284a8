//! How fast engines take the prompts of a line.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::queue::ticket::Ticket;
use state::time::Instant;

/// Time over which the work of engines is summed, in milliseconds, and the least of it for which
/// the line must have been critical: an engine begins several prompts in it, and a burst lasts
/// longer.
const WINDOW_MS: u64 = 2_000;
const MIN_WINDOW_MS: u64 = 1_000;
/// Least time between two samples of the backlog, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 20;
/// Least share of what engines could do if they worked on nothing else that is expected of them, in
/// percent: a moment in which none took a prompt says little of the next seconds.
const MIN_SHARE_PERCENT: u64 = 10;

/// Part of what engines do that a critical line gives to the prompts whose callers leave first, as
/// a divisor; the newest get the rest.
const DUE_DIVISOR: u64 = 2;

/// The engines that work for a line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Engines {
    /// Time that their work in flight takes, summed over all, in milliseconds.
    pub backlog_ms: u64,
    /// Number of engines.
    pub count: usize,
}

/// What engines are expected to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outlook {
    engines: Engines,
    /// Work in a second that they do for the prompts whose callers leave first, in milliseconds.
    ms_per_s: u64,
}

impl Outlook {
    /// Returns when an engine takes a prompt before which others with `ahead_ms` of work are taken,
    /// in milliseconds. Engines take prompts up to a backlog of the goal.
    pub fn taken_in_ms(&self, ahead_ms: u64, ticket: &Ticket) -> u64 {
        let goal_ms = ticket.goal_ms;
        let room_ms = self.engines.count as u64 * goal_ms.saturating_sub(ticket.work_ms);
        let room_ms = room_ms.saturating_sub(self.engines.backlog_ms);
        ahead_ms.saturating_sub(room_ms).saturating_mul(1_000) / self.ms_per_s.max(1)
    }
}

/// A prompt that an engine took.
#[derive(Clone, Debug)]
struct Taken {
    at: Instant,
    work_ms: u64,
    workspace: Option<String>,
}

/// How fast the prompts of a line are taken.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    backlogs: VecDeque<(Instant, u64)>,
    /// Work done in a busy window against what the engines could do, in percent.
    share_percent: Option<u64>,
    taken: VecDeque<Taken>,
    critical_since: Option<Instant>,
}

impl Pace {
    /// Records that an engine takes a prompt.
    pub fn record_taken(&mut self, now: Instant, ticket: &Ticket) {
        self.taken.push_back(Taken {
            at: now,
            work_ms: ticket.work_ms,
            workspace: ticket.workspace.clone().filter(|_| ticket.is_patient),
        });
        self.forget(now);
    }

    /// Records whether the line is critical: engines then get all that they have time for.
    pub fn record_critical(&mut self, now: Instant, is_critical: bool) {
        self.critical_since = is_critical.then(|| self.critical_since.unwrap_or(now));
    }

    /// Returns whether no prompt was taken lately.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.forget(now);
        self.taken.is_empty()
    }

    /// Returns what to expect of `engines`. A line that has been critical for a while shows how
    /// much they do; until then, it is what the last such line showed.
    pub fn outlook(&mut self, now: Instant, engines: Engines) -> Outlook {
        self.forget(now);
        let sampled_at = self.backlogs.back().map(|(at, _)| *at);
        if sampled_at.is_none_or(|at| now.since(at) >= SAMPLE_INTERVAL_MS) {
            self.backlogs.push_back((now, engines.backlog_ms));
        }
        let whole = engines.count as u64 * 1_000;
        if let Some(percent) = self.measured_percent(now, engines) {
            self.share_percent = Some(percent.clamp(MIN_SHARE_PERCENT, 100));
        }
        Outlook {
            engines,
            ms_per_s: whole * self.share_percent.unwrap_or(100) / 100 / DUE_DIVISOR,
        }
    }

    /// Returns the work done lately in percent of what `engines` could do, if that shows.
    fn measured_percent(&self, now: Instant, engines: Engines) -> Option<u64> {
        let since = self.critical_since?.max(now.before(WINDOW_MS));
        let window_ms = now.since(since);
        if window_ms < MIN_WINDOW_MS {
            return None;
        }
        let (_, backlog_ms) = self.backlogs.iter().find(|(at, _)| *at >= since)?;
        let lately = self.taken.iter().filter(|taken| taken.at >= since);
        let taken_ms: u64 = lately.map(|taken| taken.work_ms).sum();
        let done_ms = (backlog_ms + taken_ms).saturating_sub(engines.backlog_ms);
        let whole_ms = engines.count as u64 * window_ms;
        (done_ms * 100).checked_div(whole_ms)
    }

    /// Returns the work of patient prompts taken lately, by workspace, in milliseconds.
    pub fn taken_by_workspace(&self) -> impl Iterator<Item = (&str, u64)> {
        let mut work: BTreeMap<&str, u64> = BTreeMap::new();
        for taken in &self.taken {
            if let Some(workspace) = &taken.workspace {
                *work.entry(workspace).or_default() += taken.work_ms;
            }
        }
        work.into_iter()
    }

    fn forget(&mut self, now: Instant) {
        while let Some(first) = self.taken.front()
            && now.since(first.at) > WINDOW_MS
        {
            self.taken.pop_front();
        }
        while let Some((at, _)) = self.backlogs.front()
            && now.since(*at) > WINDOW_MS
        {
            self.backlogs.pop_front();
        }
    }
}
