//! The ledger of calls that may run at most once.
//!
//! An attempt is recorded before its first byte leaves, its outcome afterwards. A settled record
//! keeps the answer for repeats until [`Limits::answer_window`] or [`Limits::answers`] ends that;
//! its identity then stays known, and repeats stay refused, until [`Limits::promise_window`] ends.
//! Times are those of the replicated log, which may gain on real time by no more than
//! the promise window's margin of one fiftieth.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::Digest;

const BUCKETS: u64 = 64;
const HOUR: u64 = 3_600_000;
const MARGIN: u64 = 50;
const SEEN: usize = 16;

/// Fences one attempt at a call; a later attempt has a greater number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt(pub u64);

/// Answers an [`Intent`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// Refuses a repeat whose call ran or may have run and whose answer is no longer held.
    Expired,
    /// Refuses a new call because the ledger holds as many records as it may.
    Full,
    /// Refuses a key that stands for another body.
    Mismatch,
    /// Returns the stored answer of the call.
    Replay(Response),
    /// Lets the asker send the call, once, under this attempt.
    Run(Attempt),
    /// Tells that another asker is sending the call; a later asking needs an owner of its own.
    Running(Attempt),
    /// Refuses a copy of an asking that had an answer; the call has not run, ask under a new owner.
    Stale,
    /// Tells that the call may have run; it is never run again.
    Unknown,
}

/// Asks to send a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Intent {
    /// Identifies the method, path and body.
    pub digest: Digest,
    /// Gives how long the asker may take, in milliseconds, before the outcome counts as unknown.
    pub hold: u64,
    /// Names the call.
    pub key: Key,
    /// Names this asking, so that one resent after a lost answer gets the same attempt.
    pub owner: u128,
}

/// Names a call within its workspace.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Holds the caller's idempotency key.
    pub idempotency: String,
    /// Names the workspace.
    pub workspace: String,
}

/// Bounds what a ledger holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Gives the most answers held.
    pub answers: usize,
    /// Gives how long an answer is held, in milliseconds.
    pub answer_window: u64,
    /// Gives the most bytes of answers held.
    pub bytes: usize,
    /// Gives how long a repeat is sure not to run again, in milliseconds.
    pub promise_window: u64,
    /// Gives the most records held, those without an answer included.
    pub records: usize,
    /// Gives the most bytes of one answer.
    pub response: usize,
}

/// Tells how an attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Reports an answer of the service.
    Done(Response),
    /// Reports that no byte can have left, or that the service said it did not run the call.
    NotRun,
    /// Reports that the call may have run.
    Unknown,
}

/// Reports the outcome of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Names the attempt.
    pub attempt: Attempt,
    /// Names the call.
    pub key: Key,
    /// Tells how it ended.
    pub outcome: Outcome,
}

/// Holds the answer of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Response {
    /// Holds the body.
    pub body: Vec<u8>,
    /// Holds the media type of the body.
    pub content_type: String,
    /// Holds the HTTP status.
    pub status: u16,
}

/// Answers a [`Report`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Settlement {
    /// Confirms that the outcome is recorded.
    Recorded,
    /// Refuses an outcome of an attempt that is not the newest or was settled otherwise.
    Stale,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Bucket {
    ids: BTreeSet<u128>,
    until: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Seen {
    attempt: Attempt,
    owner: u128,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Phase {
    Running { deadline: u64 },
    Settled { at: u64, outcome: Outcome },
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Record {
    attempt: Attempt,
    digest: Digest,
    owner: u128,
    phase: Phase,
    seen: Vec<Seen>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Settled {
    at: u64,
    id: u128,
}

/// Records which calls were sent and how they ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    attempts: u64,
    bytes: usize,
    limits: Limits,
    open: BTreeSet<(u64, u128)>,
    records: BTreeMap<u128, Record>,
    retired: VecDeque<Bucket>,
    retired_len: usize,
    settled: VecDeque<Settled>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            answers: 100_000,
            answer_window: 24 * HOUR,
            bytes: 32 * 1024 * 1024,
            promise_window: 48 * HOUR,
            records: 1_000_000,
            response: 64 * 1024,
        }
    }
}

impl Key {
    fn id(&self) -> u128 {
        let digest = Digest::of(&[self.workspace.as_bytes(), self.idempotency.as_bytes()]);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest.0[..16]);
        u128::from_le_bytes(bytes)
    }
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(limits: Limits) -> Self {
        Self {
            attempts: 0,
            bytes: 0,
            limits,
            open: BTreeSet::new(),
            records: BTreeMap::new(),
            retired: VecDeque::new(),
            retired_len: 0,
            settled: VecDeque::new(),
        }
    }

    /// Records `intent` at the log's time `now`, or tells what became of the call earlier.
    pub fn begin(&mut self, now: u64, intent: &Intent) -> Decision {
        self.expire(now);
        let id = intent.key.id();
        if self.retired.iter().any(|bucket| bucket.ids.contains(&id)) {
            return Decision::Expired;
        }
        if !self.records.contains_key(&id) && self.len() >= self.limits.records {
            return Decision::Full;
        }
        let Some(record) = self.records.get_mut(&id) else {
            return self.run(now, id, intent);
        };
        if record.digest != intent.digest {
            return Decision::Mismatch;
        }
        match &record.phase {
            Phase::Running { .. } if record.owner == intent.owner => Decision::Run(record.attempt),
            Phase::Running { .. } => {
                record.see(intent.owner);
                Decision::Running(record.attempt)
            }
            Phase::Settled { outcome, .. } => match outcome {
                Outcome::Done(response) => Decision::Replay(response.clone()),
                Outcome::NotRun => self.run_again(now, id, intent),
                Outcome::Unknown => Decision::Unknown,
            },
        }
    }

    /// Ends attempts and windows that are over at the log's time `now`.
    pub fn expire(&mut self, now: u64) {
        while let Some((deadline, id)) = self.open.first().copied()
            && deadline <= now
        {
            self.settle(now, id, Outcome::Unknown);
        }
        while let Some(front) = self.settled.front()
            && (now.saturating_sub(front.at) >= self.limits.answer_window || self.crowded())
        {
            self.retire();
        }
        while self.retired.front().is_some_and(|b| b.until <= now) {
            let bucket = self.retired.pop_front();
            self.retired_len -= bucket.map_or(0, |b| b.ids.len());
        }
    }

    /// Records the outcome of an attempt at the log's time `now`.
    pub fn finish(&mut self, now: u64, report: &Report) -> Settlement {
        self.expire(now);
        let id = report.key.id();
        let Some(record) = self.records.get(&id) else {
            return Settlement::Stale;
        };
        if record.attempt != report.attempt {
            return record.settled_earlier(report);
        }
        match &record.phase {
            Phase::Settled { outcome, .. } if *outcome == report.outcome => Settlement::Recorded,
            Phase::Running { .. }
            | Phase::Settled {
                outcome: Outcome::Unknown,
                ..
            } => {
                self.settle(now, id, report.outcome.clone());
                self.expire(now);
                Settlement::Recorded
            }
            Phase::Settled { .. } => Settlement::Stale,
        }
    }

    /// Returns whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many records are held, those without an answer included.
    pub fn len(&self) -> usize {
        self.records.len() + self.retired_len
    }

    /// Returns how many attempts have no outcome yet.
    pub fn running(&self) -> usize {
        self.open.len()
    }

    fn crowded(&self) -> bool {
        self.settled.len() > self.limits.answers || self.bytes > self.limits.bytes
    }

    fn retire(&mut self) {
        let Some(Settled { at, id }) = self.settled.pop_front() else {
            return;
        };
        let current = |record: &Record| match record.phase {
            Phase::Running { .. } => false,
            Phase::Settled { at: settled, .. } => settled == at,
        };
        if !self.records.get(&id).is_some_and(current) {
            return;
        }
        let Some(record) = self.records.remove(&id) else {
            return;
        };
        self.bytes -= record.size();
        if !record.is_not_run() {
            self.remember(at, id);
        }
    }

    fn remember(&mut self, at: u64, id: u128) {
        let width = (self.limits.promise_window / BUCKETS).max(1);
        let margin = self.limits.promise_window / MARGIN;
        let until = (at / width + 1) * width + self.limits.promise_window + margin;
        self.retired_len += 1;
        match self.retired.back_mut() {
            Some(bucket) if bucket.until >= until => {
                bucket.ids.insert(id);
            }
            _ => self.retired.push_back(Bucket {
                ids: BTreeSet::from([id]),
                until,
            }),
        }
    }

    fn run(&mut self, now: u64, id: u128, intent: &Intent) -> Decision {
        self.attempts += 1;
        let attempt = Attempt(self.attempts);
        let deadline = now.saturating_add(intent.hold);
        let seen = self.records.remove(&id).map(Record::into_seen);
        let record = Record {
            attempt,
            digest: intent.digest,
            owner: intent.owner,
            phase: Phase::Running { deadline },
            seen: seen.unwrap_or_default(),
        };
        self.records.insert(id, record);
        self.open.insert((deadline, id));
        Decision::Run(attempt)
    }

    fn run_again(&mut self, now: u64, id: u128, intent: &Intent) -> Decision {
        let record = self.records.get(&id);
        let late =
            |r: &Record| r.owner == intent.owner || r.seen.iter().any(|e| e.owner == intent.owner);
        if record.is_some_and(late) {
            return Decision::Stale;
        }
        self.run(now, id, intent)
    }

    fn settle(&mut self, now: u64, id: u128, outcome: Outcome) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if let Phase::Running { deadline } = record.phase {
            self.open.remove(&(deadline, id));
        }
        self.bytes -= record.size();
        record.phase = Phase::Settled { at: now, outcome };
        self.bytes += record.size();
        if record.size() > self.limits.response {
            self.bytes -= record.size();
            self.records.remove(&id);
            self.remember(now, id);
        } else {
            self.settled.push_back(Settled { at: now, id });
        }
    }
}

impl Record {
    fn into_seen(mut self) -> Vec<Seen> {
        self.see(self.owner);
        self.seen
    }

    /// Remembers an asking that was answered while this attempt was the newest.
    fn see(&mut self, owner: u128) {
        if self.seen.iter().any(|seen| seen.owner == owner) {
            return;
        }
        if self.seen.len() == SEEN {
            self.seen.remove(0);
        }
        self.seen.push(Seen {
            attempt: self.attempt,
            owner,
        });
    }

    /// Confirms a late copy of a report that an earlier attempt did not run.
    fn settled_earlier(&self, report: &Report) -> Settlement {
        let known = self.seen.iter().any(|e| e.attempt == report.attempt);
        match report.outcome {
            Outcome::NotRun if known => Settlement::Recorded,
            Outcome::Done(_) | Outcome::NotRun | Outcome::Unknown => Settlement::Stale,
        }
    }

    fn is_not_run(&self) -> bool {
        matches!(
            &self.phase,
            Phase::Settled {
                outcome: Outcome::NotRun,
                ..
            }
        )
    }

    fn size(&self) -> usize {
        match &self.phase {
            Phase::Settled {
                outcome: Outcome::Done(response),
                ..
            } => response.body.len() + response.content_type.len(),
            Phase::Running { .. } | Phase::Settled { .. } => 0,
        }
    }
}
