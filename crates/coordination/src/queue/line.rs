//! The long prompts of a service that wait at the leading host until an engine has room.
//!
//! In a burst there are more long prompts than engines can begin. If every host asked again and
//! again, the leading host would answer many times as many questions as there are prompts.
//!
//! Among patient requests the newest that is on time goes first, as long as all that wait still
//! begin before their callers leave. A line that cannot hold that is critical: it takes in turn the
//! newest prompt and the one whose caller leaves first. In that order alone, all prompts of a burst
//! and those after it would be late; with the newest first alone, none that is late would ever
//! begin. What would not begin is rejected, from the workspace that asks for far more than its
//! share before others.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::queue::pace::Engines;
use crate::queue::pace::Outlook;
use crate::queue::pace::Pace;
use crate::queue::ticket::Ticket;
use state::time::Instant;

/// Largest number of prompts that wait; more could not begin before their callers give up.
const WAITING_LIMIT: usize = 1_024;
/// Time to spare under which no newer prompt may overtake, in milliseconds: several times that of
/// one pass over the line.
const MIN_SLACK_MS: u64 = 100;
/// Forecast at which a prompt is rejected, against the time that its caller has left, in percent.
/// It may be off by a tenth; what was admitted is not rejected for each small change of it, and a
/// caller who came back hardly ever.
const NEW_LIMIT_PERCENT: u64 = 110;
const ADMITTED_LIMIT_PERCENT: u64 = 130;
const RETURNING_LIMIT_PERCENT: u64 = 160;
/// Work of a workspace at which it counts as hot, as a multiple of the mean of all that have work.
const HOT_SHARES: u64 = 2;

/// A prompt that waits.
#[derive(Debug)]
struct Waiting<T> {
    held_until: Instant,
    item: T,
    /// Whether it was found before that it begins in time.
    is_admitted: bool,
    ticket: Ticket,
}

/// Whether a prompt may take an engine on which a newer one could not begin in time after it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// It can wait for an engine with time to spare.
    Calm,
    /// It may be too late for its caller otherwise.
    Due,
    /// Its workspace is hot, so that it leaves room for others.
    Yielding,
}

/// Place of a prompt; the least comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Place {
    /// Not patient: the newest first.
    AtOnce(Reverse<Instant>),
    /// The caller was refused before.
    Back(Instant),
    /// The newest first.
    Fresh(Reverse<Instant>),
    /// The one whose caller leaves first.
    Leaving(Instant),
}

impl Place {
    fn new(now: Instant, ticket: &Ticket, may_overtake: bool) -> Self {
        let is_on_time = may_overtake && now < ticket.late_at;
        match (ticket.is_patient, ticket.is_returning, is_on_time) {
            (false, _, _) => Self::AtOnce(Reverse(ticket.arrived)),
            (true, true, _) => Self::Back(ticket.until),
            (true, false, true) => Self::Fresh(Reverse(ticket.arrived)),
            (true, false, false) => Self::Leaving(ticket.until),
        }
    }
}

/// The prompts that wait, with what is needed to answer them.
#[derive(Debug)]
pub struct Line<T> {
    /// Whether a critical line takes the newest prompt next.
    is_newest_due: bool,
    last_number: u64,
    pace: Pace,
    waiting: BTreeMap<u64, Waiting<T>>,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Self {
            is_newest_due: false,
            last_number: 0,
            pace: Pace::default(),
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> Line<T> {
    /// Adds a prompt, which leaves the line at `held_until` without a verdict.
    ///
    /// # Errors
    ///
    /// Returns the item if the line is full.
    pub fn push(&mut self, ticket: Ticket, held_until: Instant, item: T) -> Result<(), T> {
        if self.waiting.len() >= WAITING_LIMIT {
            return Err(item);
        }
        self.last_number += 1;
        let waiting = Waiting {
            held_until,
            item,
            is_admitted: ticket.is_repeat,
            ticket,
        };
        self.waiting.insert(self.last_number, waiting);
        Ok(())
    }

    /// Records that an engine takes a prompt that did not wait.
    pub fn record_taken(&mut self, now: Instant, ticket: &Ticket) {
        self.pace.record_taken(now, ticket);
    }

    /// Returns how urgent a prompt is that has just arrived.
    pub fn urgency(&self, ticket: &Ticket) -> Urgency {
        let is_hot = ticket.is_patient
            && ticket
                .workspace
                .as_deref()
                .is_some_and(|workspace| self.hot_workspaces().contains(&workspace));
        match (is_hot, ticket.is_patient && ticket.is_returning) {
            (false, false) => Urgency::Calm,
            (false, true) => Urgency::Due,
            (true, _) => Urgency::Yielding,
        }
    }

    /// Returns whether a prompt waits that comes before one with this ticket.
    pub fn is_behind(&self, now: Instant, ticket: &Ticket) -> bool {
        let place = |ticket: &Ticket| (ticket.rank, Place::new(now, ticket, true));
        let mut tickets = self.waiting.values().map(|waiting| &waiting.ticket);
        tickets.any(|other| place(other) < place(ticket))
    }

    /// Returns whether no prompt waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether no prompt waits and none was taken lately.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.is_empty() && self.pace.is_idle(now)
    }

    /// Returns the number of prompts that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the time for which the oldest prompt has waited, in milliseconds.
    pub fn oldest_ms(&self, now: Instant) -> u64 {
        let waits = self.waiting.values().map(|w| now.since(w.ticket.arrived));
        waits.max().unwrap_or_default()
    }

    /// Removes and returns the prompts that are not held any longer.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let expired = self
            .waiting
            .extract_if(.., |_, waiting| now >= waiting.held_until);
        expired.map(|(_, waiting)| waiting.item).collect()
    }

    /// Offers the prompts to `try_take` in their order, while `engines` work for this line, and
    /// removes and returns those that it takes with what it returned. Stops after `max_failures` in
    /// a row, since one prompt may need more room than those behind it, but a line that is blocked
    /// must not cost a look at all of it.
    pub fn serve<R>(
        &mut self,
        now: Instant,
        engines: Engines,
        max_failures: usize,
        mut try_take: impl FnMut(&T, Urgency) -> Option<R>,
    ) -> Vec<(T, R)> {
        let mut failures = 0;
        let mut taken = Vec::new();
        let outlook = self.pace.outlook(now, engines);
        let may_overtake = !self.is_critical(now, outlook);
        self.pace.record_critical(now, !may_overtake);
        let order = self.order(now, may_overtake);
        let mut newest = match may_overtake {
            true => Vec::new(),
            false => self.order(now, true),
        };
        newest.retain(|(number, is_hot)| {
            let ticket = &self.waiting[number].ticket;
            ticket.is_patient && !ticket.is_returning && !is_hot && now < ticket.late_at
        });
        let mut newest = newest.into_iter().peekable();
        let mut order = order.into_iter().peekable();
        while failures < max_failures {
            let takes_newest = self.is_newest_due && newest.peek().is_some();
            let next = match takes_newest {
                false => order.next(),
                true => newest.next(),
            };
            let Some((number, is_hot)) = next else {
                break;
            };
            let Some(waiting) = self.waiting.get(&number) else {
                continue;
            };
            let is_due = !may_overtake || waiting.ticket.is_returning;
            let urgency = match (is_hot, is_due && !takes_newest) {
                (false, false) => Urgency::Calm,
                (false, true) => Urgency::Due,
                (true, _) => Urgency::Yielding,
            };
            let Some(result) = try_take(&waiting.item, urgency) else {
                failures += 1;
                // Others would take the room that this one waits for.
                if !may_overtake && !is_hot {
                    break;
                }
                continue;
            };
            failures = 0;
            self.is_newest_due = !takes_newest;
            if let Some(waiting) = self.waiting.remove(&number) {
                self.pace.record_taken(now, &waiting.ticket);
                taken.push((waiting.item, result));
            }
        }
        taken
    }

    /// Removes and returns the patient prompts that would not begin before their callers leave,
    /// while `engines` work for this line.
    pub fn reject(&mut self, now: Instant, engines: Engines) -> Vec<T> {
        let outlook = self.pace.outlook(now, engines);
        let mut ahead_ms = 0;
        let mut rejected = Vec::new();
        for (number, _) in self.order(now, false) {
            let Some(waiting) = self.waiting.get_mut(&number) else {
                continue;
            };
            let ticket = &waiting.ticket;
            let limit_percent = match (ticket.is_returning, waiting.is_admitted) {
                (false, false) => NEW_LIMIT_PERCENT,
                (false, true) => ADMITTED_LIMIT_PERCENT,
                (true, _) => RETURNING_LIMIT_PERCENT,
            };
            let limit_ms = ticket.until.since(now) * limit_percent / 100;
            if ticket.is_patient && outlook.taken_in_ms(ahead_ms, ticket) > limit_ms {
                rejected.extend(self.waiting.remove(&number));
            } else {
                ahead_ms += ticket.work_ms;
                waiting.is_admitted = true;
            }
        }
        rejected.into_iter().map(|waiting| waiting.item).collect()
    }

    /// Returns whether a patient prompt of a workspace that is not hot would begin too late if one
    /// more overtook it.
    fn is_critical(&self, now: Instant, outlook: Outlook) -> bool {
        let mut ahead_ms = 0;
        let order = self.order(now, false).into_iter();
        let mut others = order.filter(|(_, is_hot)| !is_hot);
        others.any(|(number, _)| {
            let ticket = &self.waiting[&number].ticket;
            let taken_in_ms = outlook.taken_in_ms(ahead_ms, ticket);
            ahead_ms += ticket.work_ms;
            ticket.is_patient && taken_in_ms + MIN_SLACK_MS > ticket.until.since(now)
        })
    }

    /// Removes and returns all prompts.
    pub fn drain(&mut self) -> Vec<T> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|waiting| waiting.item).collect()
    }

    /// Returns the numbers of the prompts in the order in which they are served, and whether their
    /// workspaces are hot.
    fn order(&self, now: Instant, may_overtake: bool) -> Vec<(u64, bool)> {
        let hot = self.hot_workspaces();
        let place = |(number, waiting): (&u64, &Waiting<T>)| {
            let ticket = &waiting.ticket;
            let workspace = ticket.workspace.as_deref().filter(|_| ticket.is_patient);
            let is_hot = workspace.is_some_and(|workspace| hot.contains(&workspace));
            let place = Place::new(now, ticket, may_overtake);
            (ticket.rank, is_hot, place, *number)
        };
        let mut places: Vec<_> = self.waiting.iter().map(place).collect();
        places.sort_unstable();
        let order = places.into_iter();
        order
            .map(|(_, is_hot, _, number)| (number, is_hot))
            .collect()
    }

    /// Returns the workspaces whose patient prompts, those taken lately and those that wait, are
    /// far more than their share.
    fn hot_workspaces(&self) -> Vec<&str> {
        let mut work: BTreeMap<&str, u64> = self.pace.taken_by_workspace().collect();
        for Waiting { ticket, .. } in self.waiting.values() {
            if let Some(workspace) = ticket.workspace.as_deref().filter(|_| ticket.is_patient) {
                *work.entry(workspace).or_default() += ticket.work_ms;
            }
        }
        let sum_ms: u64 = work.values().sum();
        let count = work.len() as u64;
        let hot = work.into_iter();
        let hot = hot.filter(|(_, work_ms)| work_ms * count > HOT_SHARES * sum_ms);
        hot.map(|(workspace, _)| workspace).collect()
    }
}
