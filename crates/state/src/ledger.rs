//! The ledger of calls that may run at most once.
//!
//! An attempt is recorded before its first byte is sent, and its outcome afterwards. The answer is
//! kept for repeats until [`Limits::answer_window_ms`] has passed, or until [`Limits::max_answers`]
//! or [`Limits::max_bytes`] is exceeded. From then on only the id of the call is kept, and repeats
//! are refused, until [`Limits::dedup_window_ms`] has passed. Times are those of the replicated
//! log, which may run ahead of real time by no more than the margin of that window, one fiftieth.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::Digest;

/// Number of buckets over which the ids of one deduplication window are spread; a bucket expires
/// as a whole.
const BUCKETS_PER_WINDOW: u64 = 64;
const HOUR_MS: u64 = 3_600_000;
/// Part of the deduplication window that is added to it, because the log's time may run ahead of
/// real time.
const CLOCK_MARGIN_DIVISOR: u64 = 50;
/// Most answered intents that one record remembers.
const MAX_ANSWERED_INTENTS: usize = 16;

/// Fencing token of one attempt at a call; a later attempt has a greater one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt(pub u64);

/// Answer to an [`Intent`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// Refused: the call ran or may have run, and its answer is no longer kept.
    Expired,
    /// Refused: the ledger holds as many records as it may, and the call is new.
    Full,
    /// Refused: the key was used for another request.
    Mismatch,
    /// The call ran, and this is its stored answer.
    Replay(Response),
    /// The requester may send the call, once, under this attempt.
    Run(Attempt),
    /// Another requester is sending the call; a later request needs a new intent id.
    Running(Attempt),
    /// Refused: the intent is a late copy of one that was answered before. The call has not run;
    /// it may be requested again with a new intent id.
    Stale,
    /// The call may have run; it is never run again.
    Unknown,
}

/// Request to send a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Intent {
    /// Digest of the method, path and body.
    pub digest: Digest,
    /// Time that the requester may take before the outcome counts as unknown, in milliseconds.
    pub timeout_ms: u64,
    /// Key of the call.
    pub key: CallKey,
    /// Identifies this request, so that a copy sent after a lost answer gets the same attempt.
    pub intent_id: u128,
}

/// Identifies a call.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallKey {
    /// The caller's idempotency key, unique within the workspace.
    pub idempotency: String,
    /// Name of the workspace.
    pub workspace: String,
}

/// Limits on what a ledger keeps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Most answers that are kept.
    pub max_answers: usize,
    /// Time for which an answer is kept, in milliseconds.
    pub answer_window_ms: u64,
    /// Most bytes of all kept answers together.
    pub max_bytes: usize,
    /// Time for which a repeat is guaranteed not to run again, in milliseconds.
    pub dedup_window_ms: u64,
    /// Most records that are kept, those without an answer included.
    pub max_records: usize,
    /// Most bytes of one answer; a longer one is not kept.
    pub max_answer_bytes: usize,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The service answered.
    Done(Response),
    /// No byte was sent, or the service said that it did not run the call.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Report of the outcome of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The attempt.
    pub attempt: Attempt,
    /// Key of the call.
    pub key: CallKey,
    /// How it ended.
    pub outcome: Outcome,
}

/// Answer of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Response {
    /// The body.
    pub body: Vec<u8>,
    /// Media type of the body.
    pub content_type: String,
    /// HTTP status.
    pub status: u16,
}

/// Answer to a [`Report`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Settlement {
    /// The outcome is recorded.
    Recorded,
    /// Refused: the attempt is not the newest, or has another outcome already.
    Stale,
}

/// Ids of calls whose answers are no longer kept and whose repeats are refused until a time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RetiredBucket {
    ids: BTreeSet<u128>,
    until: u64,
}

/// An intent that was answered, and the newest attempt at that time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct AnsweredIntent {
    attempt: Attempt,
    intent_id: u128,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Phase {
    Running { deadline: u64 },
    Settled { at: u64, outcome: Outcome },
}

/// State of one call, as of its newest attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Record {
    attempt: Attempt,
    digest: Digest,
    intent_id: u128,
    phase: Phase,
    answered_intents: Vec<AnsweredIntent>,
}

/// Entry of the list of settled records, oldest first; outdated if the record was settled again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct SettledEntry {
    at: u64,
    id: u128,
}

/// Records which calls were sent and how they ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    attempts: u64,
    /// Bytes of all kept answers.
    bytes: usize,
    limits: Limits,
    /// Running attempts by deadline.
    deadlines: BTreeSet<(u64, u128)>,
    records: BTreeMap<u128, Record>,
    /// Ids without records, in order of expiry.
    retired: VecDeque<RetiredBucket>,
    retired_len: usize,
    /// Settled records, oldest first.
    settled: VecDeque<SettledEntry>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_answers: 100_000,
            answer_window_ms: 24 * HOUR_MS,
            max_bytes: 32 * 1024 * 1024,
            dedup_window_ms: 48 * HOUR_MS,
            max_records: 1_000_000,
            max_answer_bytes: 64 * 1024,
        }
    }
}

impl CallKey {
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
            deadlines: BTreeSet::new(),
            records: BTreeMap::new(),
            retired: VecDeque::new(),
            retired_len: 0,
            settled: VecDeque::new(),
        }
    }

    /// Starts an attempt for `intent` at the log's time `now`, or returns the outcome of an earlier
    /// one.
    pub fn begin(&mut self, now: u64, intent: &Intent) -> Decision {
        self.expire(now);
        let id = intent.key.id();
        if self.retired.iter().any(|bucket| bucket.ids.contains(&id)) {
            return Decision::Expired;
        }
        if !self.records.contains_key(&id) && self.len() >= self.limits.max_records {
            return Decision::Full;
        }
        let Some(record) = self.records.get_mut(&id) else {
            return self.start_attempt(now, id, intent);
        };
        if record.digest != intent.digest {
            return Decision::Mismatch;
        }
        match &record.phase {
            Phase::Running { .. } if record.intent_id == intent.intent_id => {
                Decision::Run(record.attempt)
            }
            Phase::Running { .. } => {
                record.record_answered_intent(intent.intent_id);
                Decision::Running(record.attempt)
            }
            Phase::Settled { outcome, .. } => match outcome {
                Outcome::Done(response) => Decision::Replay(response.clone()),
                Outcome::NotRun => self.start_again(now, id, intent),
                Outcome::Unknown => Decision::Unknown,
            },
        }
    }

    /// Settles attempts whose deadline has passed as unknown, and drops answers and ids whose
    /// window has passed, at the log's time `now`.
    pub fn expire(&mut self, now: u64) {
        while let Some((deadline, id)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.settle(now, id, Outcome::Unknown);
        }
        while let Some(front) = self.settled.front()
            && (now.saturating_sub(front.at) >= self.limits.answer_window_ms
                || self.is_over_answer_limits())
        {
            self.drop_oldest_answer();
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

    /// Returns whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many records are kept, those without an answer included.
    pub fn len(&self) -> usize {
        self.records.len() + self.retired_len
    }

    /// Returns how many attempts have no outcome yet.
    pub fn running(&self) -> usize {
        self.deadlines.len()
    }

    fn is_over_answer_limits(&self) -> bool {
        self.settled.len() > self.limits.max_answers || self.bytes > self.limits.max_bytes
    }

    /// Drops the record that was settled first; its id is kept if the call ran or may have run.
    fn drop_oldest_answer(&mut self) {
        let Some(SettledEntry { at, id }) = self.settled.pop_front() else {
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
            self.retain_id(at, id);
        }
    }

    /// Keeps the id of a call settled at `at`, so that repeats are refused.
    fn retain_id(&mut self, at: u64, id: u128) {
        let width = (self.limits.dedup_window_ms / BUCKETS_PER_WINDOW).max(1);
        let margin = self.limits.dedup_window_ms / CLOCK_MARGIN_DIVISOR;
        let until = (at / width + 1) * width + self.limits.dedup_window_ms + margin;
        self.retired_len += 1;
        match self.retired.back_mut() {
            Some(bucket) if bucket.until >= until => {
                bucket.ids.insert(id);
            }
            _ => self.retired.push_back(RetiredBucket {
                ids: BTreeSet::from([id]),
                until,
            }),
        }
    }

    fn start_attempt(&mut self, now: u64, id: u128, intent: &Intent) -> Decision {
        self.attempts += 1;
        let attempt = Attempt(self.attempts);
        let deadline = now.saturating_add(intent.timeout_ms);
        let answered_intents = self.records.remove(&id).map(Record::into_answered_intents);
        let record = Record {
            attempt,
            digest: intent.digest,
            intent_id: intent.intent_id,
            phase: Phase::Running { deadline },
            answered_intents: answered_intents.unwrap_or_default(),
        };
        self.records.insert(id, record);
        self.deadlines.insert((deadline, id));
        Decision::Run(attempt)
    }

    /// Starts another attempt after one that did not run the call, unless `intent` is a late copy.
    fn start_again(&mut self, now: u64, id: u128, intent: &Intent) -> Decision {
        let record = self.records.get(&id);
        let late = |r: &Record| {
            r.intent_id == intent.intent_id
                || r.answered_intents
                    .iter()
                    .any(|e| e.intent_id == intent.intent_id)
        };
        if record.is_some_and(late) {
            return Decision::Stale;
        }
        self.start_attempt(now, id, intent)
    }

    fn settle(&mut self, now: u64, id: u128, outcome: Outcome) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if let Phase::Running { deadline } = record.phase {
            self.deadlines.remove(&(deadline, id));
        }
        self.bytes -= record.size();
        record.phase = Phase::Settled { at: now, outcome };
        self.bytes += record.size();
        if record.size() > self.limits.max_answer_bytes {
            self.bytes -= record.size();
            self.records.remove(&id);
            self.retain_id(now, id);
        } else {
            self.settled.push_back(SettledEntry { at: now, id });
        }
    }
}

impl Record {
    fn into_answered_intents(mut self) -> Vec<AnsweredIntent> {
        self.record_answered_intent(self.intent_id);
        self.answered_intents
    }

    /// Remembers that an intent was answered while this attempt was the newest.
    fn record_answered_intent(&mut self, intent_id: u128) {
        if self
            .answered_intents
            .iter()
            .any(|intent| intent.intent_id == intent_id)
        {
            return;
        }
        if self.answered_intents.len() == MAX_ANSWERED_INTENTS {
            self.answered_intents.remove(0);
        }
        self.answered_intents.push(AnsweredIntent {
            attempt: self.attempt,
            intent_id,
        });
    }

    /// Confirms a late copy of a report that an earlier attempt did not run the call.
    fn settled_earlier(&self, report: &Report) -> Settlement {
        let known = self
            .answered_intents
            .iter()
            .any(|e| e.attempt == report.attempt);
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
