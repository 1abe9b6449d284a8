//! The short requests of a service that wait at their host while all upstreams are full.
//!
//! The pattern it answers: for some seconds more short prompts or plain requests arrive than the
//! upstreams of a service can run. Those that can meet their goal go first, the oldest of them
//! before others. Those that turned late while they waited, and callers who come back, have half of
//! the turns. A new request that would not meet its goal is rejected when it arrives, with a time
//! to come back. Requests that wait are called: by an answer that ends at this host, or by news
//! that upstreams have room.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::queue::returning::Digest;
use crate::queue::returning::Returns;
use crate::queue::ticket::Ticket;
use state::time::Instant;

/// Largest number of requests that wait at a host; more would take it too long to answer.
const WAITING_LIMIT: usize = 512;
/// Time over which answers that end are counted, in milliseconds.
const WINDOW_MS: u64 = 2_000;
/// Longest time over which the pace of a line is measured, in milliseconds.
const PACE_WINDOW_MS: u64 = 1_000;
/// Weight of the pace expected when a line begins beside the one that it shows, in milliseconds.
const PRIOR_MS: u64 = 400;
/// Number of answers that show how long upstreams hold a request at the moment.
const RECENT_ENDS: usize = 8;
/// Most that a line is expected to add to the pace of the seconds before it, as a factor.
const MAX_RISE: u64 = 2;
/// Time that an upstream is taken to hold a request while no answer has ended, in milliseconds.
const UNKNOWN_HELD_MS: u64 = 1_000;
/// Turns of which one goes to late and returning requests, while others wait.
const LATE_TURNS: u64 = 2;
/// Forecast at which a new request is rejected, against the time that it has left to meet its
/// goal, in percent. A caller who is a little late is better off than one who has to come back.
const NEW_LIMIT_PERCENT: u64 = 125;
/// Requests of a workspace at which it counts as hot, as a multiple of the mean of all that have
/// requests.
const HOT_SHARES: u64 = 2;
/// What upstreams hold for all hosts together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Supply {
    /// Number of hosts that send them requests.
    pub hosts: u32,
    /// Number of requests that they hold when they are full.
    pub places: u32,
}

/// What becomes of a request that found no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It would not be taken in time.
    Rejected {
        /// Time after which the caller should come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// It waits under this number.
    Waits(u64),
}

/// Which turns a request has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Class {
    /// It is late, or its caller was rejected before.
    Late,
    /// It can meet its goal.
    OnTime,
}

/// Place of a request in its class: rank, whether its workspace is hot, whether its caller is new,
/// when it arrived or its caller leaves, and its number. The least is taken first.
type Place = (u32, bool, bool, Instant, u64);

/// The requests of a service that wait at a host.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// Since when requests wait.
    busy_since: Option<Instant>,
    /// Requests that were sent lately, with their workspaces.
    sent: VecDeque<(Instant, Option<String>)>,
    /// Answers that ended, with the time for which the upstream held the request.
    ends: VecDeque<(Instant, u64)>,
    last_number: u64,
    returns: Returns,
    turn: u64,
    waiting: BTreeMap<u64, Ticket>,
}

impl Line {
    /// Adds a request, unless it would not be taken in time. One that has waited before is kept,
    /// since it was admitted.
    pub fn enter(
        &mut self,
        now: Instant,
        mut ticket: Ticket,
        digest: Digest,
        supply: Supply,
    ) -> Verdict {
        self.forget(now);
        ticket.is_returning |= self.returns.is_returning(now, digest);
        let is_kept = ticket.is_repeat && now < ticket.until;
        let has_room = self.waiting.len() < WAITING_LIMIT;
        if !has_room || !(is_kept || self.is_hopeful(now, &ticket, supply)) {
            return Verdict::Rejected {
                retry_after_ms: self.refuse(now, digest, supply),
            };
        }
        self.busy_since = self.busy_since.or(Some(now));
        self.last_number += 1;
        self.waiting.insert(self.last_number, ticket);
        Verdict::Waits(self.last_number)
    }

    /// Records that a request is rejected, and returns the time after which its caller should come
    /// back, in milliseconds.
    pub fn refuse(&mut self, now: Instant, digest: Digest, supply: Supply) -> u64 {
        let work_ms = 1_000_000 / self.pace(now, supply).max(1);
        self.returns.refuse(now, digest, work_ms, 1)
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, number: u64) {
        self.waiting.remove(&number);
        self.note_end_of_line();
    }

    /// Records that the answer of a request ended that an upstream held for `held_ms`.
    pub fn record_end(&mut self, now: Instant, held_ms: u64) {
        self.ends.push_back((now, held_ms));
        self.forget(now);
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant, workspace: Option<String>) {
        self.sent.push_back((now, workspace));
        self.forget(now);
    }

    /// Returns the time for which upstreams held the last requests, in milliseconds, if any ended
    /// lately.
    pub fn held_ms(&self) -> Option<u64> {
        let recent = self.ends.iter().rev().take(RECENT_ENDS);
        let recent: Vec<u64> = recent.map(|(_, held_ms)| *held_ms).collect();
        recent.iter().sum::<u64>().checked_div(recent.len() as u64)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a request waits that comes before a new one with this ticket.
    pub fn is_behind(&self, now: Instant, ticket: &Ticket) -> bool {
        !self.is_empty() && self.ahead(now, ticket, Class::OnTime) + self.late(now) > 0
    }

    /// Removes the request that is taken next, and returns its number.
    pub fn call(&mut self, now: Instant) -> Option<u64> {
        let hot = self.hot_workspaces();
        let first = |class: Class| {
            let waiting = self.waiting.iter();
            let waiting = waiting.filter(|(_, ticket)| class_of(now, ticket) == class);
            let places = waiting.map(|(number, ticket)| place(ticket, class, &hot, *number));
            places.min().map(|(_, is_hot, .., number)| (is_hot, number))
        };
        let (on_time, late) = (first(Class::OnTime), first(Class::Late));
        let is_late_due = self.turn.is_multiple_of(LATE_TURNS);
        let (_, number) = match (on_time, late) {
            (Some(on_time), Some(late)) if on_time.0 == late.0 => {
                self.turn += 1;
                match is_late_due {
                    false => on_time,
                    true => late,
                }
            }
            // Hot workspaces leave their turns to others.
            (Some(on_time), Some(late)) => on_time.min(late),
            (on_time, late) => on_time.or(late)?,
        };
        let ticket = self.waiting.remove(&number)?;
        self.record_sent(now, ticket.workspace);
        self.note_end_of_line();
        Some(number)
    }

    /// Returns whether a request would be taken in time: a new one to meet its goal, and one of a
    /// caller who comes back before the caller leaves.
    fn is_hopeful(&self, now: Instant, ticket: &Ticket, supply: Supply) -> bool {
        let class = class_of(now, ticket);
        let hot = self.hot_workspaces();
        let is_hot = |ticket: &Ticket| place(ticket, class, &hot, 0).1;
        let others = self.waiting.values();
        let others = others.filter(|other| class_of(now, other) != class);
        let others = others
            .filter(|other| is_hot(other) <= is_hot(ticket))
            .count();
        // Late requests that are no more than those ahead take a turn each, not every other one.
        let ahead = self.ahead(now, ticket, class);
        let turns = ahead + 1 + others.min((ahead + 1) * (LATE_TURNS as usize - 1));
        let wait_ms = turns as u64 * 1_000_000 / self.pace(now, supply).max(1);
        let limit_ms = match ticket.is_returning {
            false => ticket.late_at.since(now) * NEW_LIMIT_PERCENT / 100,
            true => ticket.until.since(now),
        };
        wait_ms <= limit_ms
    }

    /// Returns how many requests of a class are taken before one with this ticket.
    fn ahead(&self, now: Instant, ticket: &Ticket, class: Class) -> usize {
        let hot = self.hot_workspaces();
        let own = place(ticket, class, &hot, u64::MAX);
        let same = self.waiting.iter();
        let same = same.filter(|(_, other)| class_of(now, other) == class);
        same.filter(|(number, other)| place(other, class, &hot, **number) < own)
            .count()
    }

    /// Returns the number of late and returning requests that wait.
    fn late(&self, now: Instant) -> usize {
        let is_late = |ticket: &&Ticket| class_of(now, ticket) == Class::Late;
        self.waiting.values().filter(is_late).count()
    }

    /// Returns the answers that end at this host in 1,000 seconds while upstreams are full: those
    /// since requests wait and, before these are many, what upstreams hold at the moment ends.
    fn pace(&self, now: Instant, supply: Supply) -> u64 {
        let rate = |count: usize, window_ms: u64| count as u64 * 1_000_000 / window_ms.max(1);
        let held_ms = self.held_ms().unwrap_or(UNKNOWN_HELD_MS).max(1);
        let hosts = u64::from(supply.hosts.max(1));
        let expected = u64::from(supply.places.max(1)) * 1_000_000 / held_ms / hosts;
        let first = self.ends.front().map_or(now, |(at, _)| *at);
        let lately = match now.since(first) {
            0 => expected,
            window_ms => rate(self.ends.len(), window_ms),
        };
        let prior = expected.clamp(lately, lately * MAX_RISE);
        let Some(since) = self.busy_since else {
            return prior;
        };
        let since = since.max(now.before(PACE_WINDOW_MS));
        let window_ms = now.since(since);
        let count = self.ends.iter().filter(|(at, _)| *at > since).count() as u64;
        let measured = (count * 1_000_000 + prior * PRIOR_MS) / (window_ms + PRIOR_MS);
        // Upstreams that turn fast again show it by their last answers first.
        let first = self.ends.iter().rev().nth(RECENT_ENDS);
        let recent = first.map(|(at, _)| rate(RECENT_ENDS, now.since(*at)));
        recent.map_or(measured, |recent| recent.max(measured))
    }

    /// Returns the workspaces whose requests, those sent lately and those that wait, are far more
    /// than their share.
    fn hot_workspaces(&self) -> Vec<&str> {
        let waiting = self.waiting.values().map(|ticket| &ticket.workspace);
        let sent = self.sent.iter().map(|(_, workspace)| workspace);
        let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
        for workspace in waiting.chain(sent).flatten() {
            *counts.entry(workspace).or_default() += 1;
        }
        let (sum, workspaces) = (counts.values().sum::<u64>(), counts.len() as u64);
        let hot = counts.into_iter();
        let hot = hot.filter(|(_, count)| count * workspaces > HOT_SHARES * sum);
        hot.map(|(workspace, _)| workspace).collect()
    }

    fn note_end_of_line(&mut self) {
        if self.waiting.is_empty() {
            self.busy_since = None;
        }
    }

    fn forget(&mut self, now: Instant) {
        let is_over = |at: Instant| now.since(at) > WINDOW_MS;
        while self.ends.front().is_some_and(|(at, _)| is_over(*at)) {
            self.ends.pop_front();
        }
        while self.sent.front().is_some_and(|(at, _)| is_over(*at)) {
            self.sent.pop_front();
        }
    }
}

fn class_of(now: Instant, ticket: &Ticket) -> Class {
    match ticket.is_returning || now >= ticket.late_at {
        false => Class::OnTime,
        true => Class::Late,
    }
}

fn place(ticket: &Ticket, class: Class, hot: &[&str], number: u64) -> Place {
    let workspace = ticket.workspace.as_deref();
    let is_hot = workspace.is_some_and(|workspace| hot.contains(&workspace));
    let at = match class {
        Class::OnTime => ticket.arrived,
        Class::Late => ticket.until,
    };
    (ticket.rank, is_hot, !ticket.is_returning, at, number)
}
