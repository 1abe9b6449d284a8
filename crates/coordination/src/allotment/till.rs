//! The till of one host: charges requests from the purse, and draws for those that it does not
//! cover.
//!
//! Requests that wait for a draw stand in one line for each workspace. A line has at most one draw
//! in flight, which carries all of its requests, so the number of draws is bounded by time and not
//! by requests. While a bucket is known to be empty its line draws nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::allotment::kind::Kind;
use crate::allotment::kind::Size;
use crate::allotment::message::Batch;
use crate::allotment::message::Draw;
use crate::allotment::message::Drawing;
use crate::allotment::message::Drawn;
use crate::allotment::message::Want;
use crate::allotment::purse::Purse;
use state::time::Instant;

/// Draws that a line may make one right after the other; beyond them it makes one in each pace.
const DRAWS_AT_ONCE: u64 = 3;
/// Pause before a leader is asked again that did not answer, in milliseconds.
const PAUSE_MS: u64 = 50;
/// Draws for which a large request waits without an answer.
const MAX_UNANSWERED: u32 = 3;
/// Longest wait for units that a request lacks, in milliseconds; its caller would need longer to
/// come back. Also the longest time for which a refusal is taken as the answer to further requests.
pub const MAX_WAIT_MS: u64 = 250;
/// Least time between two draws of a line, in milliseconds.
const MIN_PACE_MS: u64 = 100;
/// Most requests that one draw carries.
const MAX_WANTS: usize = 256;
/// Time for which a leader that did not answer is not asked again for small requests, in
/// milliseconds: one that is busy would have to answer those of all hosts first.
const SILENCE_MS: u64 = 250;

/// How a charge stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Charge {
    /// The request is charged.
    Covered,
    /// The request waits for a draw under this number.
    Queued(u64),
    /// The allotment does not cover the request.
    Refused {
        /// Time after which the caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The purse does not cover the request, and no holder answered.
    Unanswered,
}

/// What the holder refused last of one size.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    retry_after_ms: u64,
    units: u64,
    until: Instant,
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    has_left: bool,
    has_waited: bool,
    id: u64,
    unanswered: u32,
    want: Want,
}

/// The requests of one workspace that wait.
#[derive(Debug, Default)]
struct Line {
    /// Draws that may be made at `counted_at`, in milliseconds of the pace each.
    allowance_ms: u64,
    counted_at: Instant,
    paused_until: Instant,
    refusals: BTreeMap<Size, Refusal>,
    /// Number of the draw in flight and the requests that it carries, in its order.
    sent: Option<(u64, Vec<Waiter>)>,
    waiting: Vec<Waiter>,
}

/// Charges the requests of one host.
#[derive(Debug)]
pub struct Till {
    host: String,
    last_id: u64,
    lines: BTreeMap<String, Line>,
    pace_ms: u64,
    purse: Purse,
    silent_until: Instant,
}

impl Till {
    /// Returns a till with an empty purse; `incarnation` tells this process from others on `host`.
    pub fn new(host: impl Into<String>, incarnation: u64) -> Self {
        Self {
            host: host.into(),
            last_id: 0,
            lines: BTreeMap::new(),
            pace_ms: MIN_PACE_MS,
            purse: Purse::new(incarnation),
            silent_until: Instant::default(),
        }
    }

    /// Returns the purse.
    pub fn purse(&mut self) -> &mut Purse {
        &mut self.purse
    }

    /// Sets the time between two draws of a workspace, in milliseconds.
    pub fn set_pace(&mut self, pace_ms: u64) {
        self.pace_ms = pace_ms.max(MIN_PACE_MS);
    }

    /// Charges a request that is about to be sent.
    pub fn charge(&mut self, now: Instant, workspace: &str, kind: Kind, units: u64) -> Charge {
        if self.purse.charge(now, workspace, units) {
            return Charge::Covered;
        }
        if kind.size == Size::Small && now < self.silent_until {
            return Charge::Unanswered;
        }
        let line = self.lines.entry(workspace.to_owned()).or_default();
        let want = Want { kind, units };
        let refusal = line.refusal(now, want);
        match refusal.map(|refusal| refusal.retry_after_ms) {
            Some(retry_after_ms) if retry_after_ms > MAX_WAIT_MS => {
                return Charge::Refused { retry_after_ms };
            }
            Some(_) | None => self.last_id += 1,
        }
        line.waiting.push(Waiter {
            has_left: false,
            has_waited: refusal.is_some(),
            id: self.last_id,
            unanswered: 0,
            want,
        });
        Charge::Queued(self.last_id)
    }

    /// Forgets a request whose caller has left. What a draw that carries it brings goes back.
    pub fn forget(&mut self, id: u64) {
        for line in self.lines.values_mut() {
            line.waiting.retain(|waiter| waiter.id != id);
            let sent = line.sent.iter_mut().flat_map(|(_, waiters)| waiters);
            for waiter in sent.filter(|waiter| waiter.id == id) {
                waiter.has_left = true;
            }
        }
    }

    /// Returns the next draw to send, if one is due: one call for all lines that are.
    pub fn draw(&mut self, now: Instant) -> Option<Draw> {
        let pace_ms = self.pace_ms;
        let due = self.lines.iter_mut().filter_map(|(workspace, line)| {
            let waiters = line.take_due(now, pace_ms)?;
            Some((workspace, line, waiters))
        });
        let mut due = due.peekable();
        due.peek()?;
        let number = self.purse.begin_draw();
        let mut wants = BTreeMap::new();
        for (workspace, line, waiters) in due {
            let carried = waiters.iter().map(|waiter| waiter.want).collect();
            wants.insert(workspace.clone(), carried);
            line.sent = Some((number, waiters));
        }
        Some(Draw {
            host: self.host.clone(),
            incarnation: self.purse.incarnation(),
            number,
            wants,
        })
    }

    /// Returns when the next draw may be due, unless another call changes that.
    pub fn draw_at(&self, now: Instant) -> Option<Instant> {
        let lines = self.lines.values();
        lines
            .filter_map(|line| line.due_at(now, self.pace_ms))
            .min()
    }

    /// Takes the answer to a draw, `None` if there was none in time, and returns the outcomes of
    /// requests that waited.
    pub fn settle(
        &mut self,
        now: Instant,
        number: u64,
        drawing: Option<Drawing>,
    ) -> Vec<(u64, Charge)> {
        let ahead = drawing.as_ref().map(|drawing| {
            let grants = drawing.grants.iter();
            let ahead = grants.map(|(workspace, grant)| (workspace.as_str(), grant.ahead));
            (drawing.term, ahead.collect())
        });
        self.purse.end_draw(number, ahead);
        if drawing.is_none() {
            self.silent_until = now + SILENCE_MS;
        }
        let mut outcomes = Vec::new();
        for (workspace, line) in &mut self.lines {
            let Some((_, sent)) = line.sent.take_if(|(sent, _)| *sent == number) else {
                continue;
            };
            if drawing.is_none() {
                line.paused_until = now + PAUSE_MS;
            }
            let grant = drawing.as_ref().map(|d| d.grants.get(workspace));
            let verdicts = grant.map(|g| g.map_or(&[] as &[Drawn], |g| &g.verdicts));
            for (position, mut waiter) in sent.into_iter().enumerate() {
                let verdict = verdicts.map(|v| v.get(position).copied());
                match line.judge(now, &mut waiter, verdict.flatten()) {
                    Some(Charge::Covered) if waiter.has_left => {
                        self.purse.give_back(workspace, waiter.want.units);
                    }
                    _ if waiter.has_left => {}
                    None => line.waiting.push(waiter),
                    Some(Charge::Covered) => outcomes.push((waiter.id, Charge::Covered)),
                    Some(_) if self.purse.charge(now, workspace, waiter.want.units) => {
                        outcomes.push((waiter.id, Charge::Covered));
                    }
                    Some(outcome) => outcomes.push((waiter.id, outcome)),
                }
            }
        }
        outcomes.extend(self.serve(now));
        outcomes
    }

    /// Takes the leases that came in answer to a report sent at `reported_at`, and returns the
    /// outcomes of requests that waited.
    pub fn apply(
        &mut self,
        now: Instant,
        reported_at: Instant,
        batch: Batch,
    ) -> Vec<(u64, Charge)> {
        self.purse.apply(reported_at, batch);
        self.serve(now)
    }

    /// Charges waiting requests from the purse in their order, and dismisses small ones while the
    /// leader is not asked for them.
    fn serve(&mut self, now: Instant) -> Vec<(u64, Charge)> {
        let is_silent = now < self.silent_until;
        let mut outcomes = Vec::new();
        for (workspace, line) in &mut self.lines {
            sort(&mut line.waiting);
            line.waiting.retain(|waiter| {
                let outcome = match self.purse.charge(now, workspace, waiter.want.units) {
                    false if is_silent && waiter.want.kind.size == Size::Small => {
                        Charge::Unanswered
                    }
                    false => return true,
                    true => Charge::Covered,
                };
                outcomes.push((waiter.id, outcome));
                false
            });
        }
        let pace_ms = self.pace_ms;
        self.lines.retain(|_, line| !line.is_idle(now, pace_ms));
        outcomes
    }
}

impl Line {
    /// Returns the refusal that also answers this want.
    fn refusal(&self, now: Instant, want: Want) -> Option<Refusal> {
        let refusal = self.refusals.get(&want.kind.size).copied();
        refusal.filter(|refusal| now < refusal.until && want.units >= refusal.units)
    }

    /// Returns how a request ends that a draw carried, or `None` if it goes on waiting. Without a
    /// verdict the draw was not answered.
    fn judge(
        &mut self,
        now: Instant,
        waiter: &mut Waiter,
        verdict: Option<Drawn>,
    ) -> Option<Charge> {
        let want = waiter.want;
        match verdict {
            None => {
                waiter.unanswered += 1;
                let is_last = want.kind.size == Size::Small || waiter.unanswered == MAX_UNANSWERED;
                is_last.then_some(Charge::Unanswered)
            }
            Some(Drawn::Charged) => Some(Charge::Covered),
            Some(Drawn::Refused { retry_after_ms }) => {
                self.record_refusal(now, want, retry_after_ms);
                let is_last = std::mem::replace(&mut waiter.has_waited, true);
                (is_last || retry_after_ms > MAX_WAIT_MS)
                    .then_some(Charge::Refused { retry_after_ms })
            }
        }
    }

    fn record_refusal(&mut self, now: Instant, want: Want, retry_after_ms: u64) {
        let refusal = Refusal {
            retry_after_ms,
            units: want.units,
            until: now + retry_after_ms.min(MAX_WAIT_MS),
        };
        let known = self.refusals.entry(want.kind.size).or_insert(refusal);
        if now >= known.until || refusal.units <= known.units {
            *known = refusal;
        }
    }

    /// Takes the requests that a draw carries now.
    fn take_due(&mut self, now: Instant, pace_ms: u64) -> Option<Vec<Waiter>> {
        if self.due_at(now, pace_ms)? > now {
            return None;
        }
        self.allowance_ms = self.allowance(now, pace_ms) - pace_ms;
        self.counted_at = now;
        let waiting = std::mem::take(&mut self.waiting);
        let is_blocked = |waiter: &Waiter| self.refusal(now, waiter.want).is_some();
        let (blocked, mut due): (Vec<Waiter>, Vec<Waiter>) =
            waiting.into_iter().partition(is_blocked);
        sort(&mut due);
        self.waiting = blocked;
        self.waiting.extend(due.split_off(due.len().min(MAX_WANTS)));
        Some(due)
    }

    /// Returns when the next draw is due, unless one is in flight or nothing waits.
    fn due_at(&self, now: Instant, pace_ms: u64) -> Option<Instant> {
        if self.sent.is_some() {
            return None;
        }
        let free_at = self.waiting.iter().map(|waiter| {
            let refusal = self.refusal(now, waiter.want);
            refusal.map_or(now, |refusal| refusal.until)
        });
        let missing_ms = pace_ms.saturating_sub(self.allowance(now, pace_ms));
        let free_at = free_at.min()?.max(self.paused_until);
        Some(free_at.max(now + missing_ms))
    }

    fn allowance(&self, now: Instant, pace_ms: u64) -> u64 {
        let allowance_ms = self.allowance_ms + now.since(self.counted_at);
        allowance_ms.min(pace_ms * DRAWS_AT_ONCE)
    }

    fn is_idle(&self, now: Instant, pace_ms: u64) -> bool {
        let has_refusal = self.refusals.values().any(|refusal| now < refusal.until);
        let is_paced = self.allowance(now, pace_ms) < pace_ms * DRAWS_AT_ONCE;
        self.sent.is_none() && self.waiting.is_empty() && !has_refusal && !is_paced
    }
}

/// Sorts by kind and arrival, but the first request of each kind goes before all others, so that
/// none is starved.
fn sort(waiting: &mut [Waiter]) {
    waiting.sort_by_key(|waiter| (waiter.want.kind.order(), waiter.id));
    let mut seen = BTreeSet::new();
    let first = waiting
        .iter()
        .filter(|waiter| seen.insert(waiter.want.kind));
    let first: BTreeSet<u64> = first.map(|waiter| waiter.id).collect();
    waiting.sort_by_key(|waiter| !first.contains(&waiter.id));
}
