//! Keeps a request that crashes upstreams from crashing more than two of the fleet.
//!
//! Each digest of a request's content has one owner among the daemons, the first of
//! [`ranked_owners`], which is asked before every run. Until a run succeeds, runs in flight and
//! crashes of a digest together never exceed [`MAX_CRASHES`]. A digest that was in flight at a crash
//! is a suspect: its next run shares its upstream with no other suspect, its first success clears
//! it, and its second crash quarantines it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::rendezvous;
use crate::shard;
use crate::view::Member;
use crate::view::View;
use state::ident::Digest;
use state::time::Instant;

/// Bounds the upstreams that one digest may crash.
pub const MAX_CRASHES: usize = 2;

/// Bounds times and sizes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// Gives how long a digest is held back after its second crash, in milliseconds.
    pub quarantine_ms: u64,
    /// Gives how long a run counts without being renewed, in milliseconds.
    pub lease_ms: u64,
    /// Gives how long a crash or a success is remembered, in milliseconds.
    pub memory_ms: u64,
    /// Bounds the digests that are remembered.
    pub max_records: usize,
    /// Gives the pause after which an asker that must wait asks again, in milliseconds.
    pub retry_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            quarantine_ms: 600_000,
            lease_ms: 15_000,
            memory_ms: 900_000,
            max_records: 50_000,
            retry_ms: 20,
        }
    }
}

/// Names one run of a digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunId(pub u128);

/// Answers whether a digest may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// Means that it is held back for this many milliseconds more.
    Quarantined(u64),
    /// Means that it may run on any upstream.
    Run,
    /// Means that it may run where no other suspect runs.
    RunAlone,
    /// Means that it must wait this many milliseconds and ask again.
    Wait(u64),
}

/// Tells how a run ended.
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
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Means that the upstream crashed while the request was in flight on it.
    Crashed,
    /// Means that the run ended early and proves nothing.
    Stopped,
    /// Means that the whole answer came.
    Whole,
}

/// Asks an owner on behalf of another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Call {
    /// Tells of a digest and its crashes so far.
    Adopt(Digest, usize),
    /// Asks whether a digest may run.
    Enter(Digest, RunId),
    /// Asks to be the only suspect on the upstream of that name.
    Isolate(String, RunId),
    /// Tells how a run ended.
    Leave(Digest, RunId, Outcome),
    /// Frees the upstream of that name for other suspects.
    Release(String, RunId),
    /// Prolongs a run.
    Renew(Digest, RunId),
}

/// Answers a [`Call`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// Confirms what was told.
    Done,
    /// Answers [`Call::Isolate`].
    Isolated(bool),
    /// Answers [`Call::Leave`] with the crashes so far.
    Left(usize),
    /// Answers [`Call::Enter`].
    Verdict(Verdict),
}

/// Remembers digests on behalf of the fleet.
#[derive(Clone, Debug)]
pub struct Quarantine {
    alone: BTreeMap<String, Lease>,
    policy: Policy,
    records: HashMap<Digest, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    run_id: RunId,
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: usize,
    held: Option<Instant>,
    proven: bool,
    runs: Vec<Lease>,
    until: Instant,
}

impl Quarantine {
    /// Returns a memory without digests.
    pub fn new(policy: Policy) -> Self {
        Self {
            alone: BTreeMap::new(),
            policy,
            records: HashMap::new(),
        }
    }

    /// Takes note of a crash that another owner was told of.
    pub fn adopt(&mut self, now: Instant, digest: Digest, crashes: usize) {
        let policy = self.policy;
        let record = self.record(now, digest);
        record.crashes = record.crashes.max(crashes);
        record.proven = false;
        record.until = now + policy.memory_ms;
        if record.crashes >= MAX_CRASHES {
            record.held.get_or_insert(now + policy.quarantine_ms);
        }
    }

    /// Answers a call.
    pub fn answer(&mut self, now: Instant, call: Call) -> Answer {
        match call {
            Call::Adopt(digest, crashes) => self.adopt(now, digest, crashes),
            Call::Enter(digest, run_id) => {
                return Answer::Verdict(self.enter(now, digest, run_id));
            }
            Call::Isolate(upstream, run_id) => {
                return Answer::Isolated(self.isolate(now, upstream, run_id));
            }
            Call::Leave(digest, run_id, outcome) => {
                return Answer::Left(self.leave(now, digest, run_id, outcome));
            }
            Call::Release(upstream, run_id) => self.release(&upstream, run_id),
            Call::Renew(digest, run_id) => {
                self.renew(now, digest, run_id);
            }
        }
        Answer::Done
    }

    /// Answers whether `digest` may run; a permission counts as a run under `run_id`.
    pub fn enter(&mut self, now: Instant, digest: Digest, run_id: RunId) -> Verdict {
        let policy = self.policy;
        let record = self.record(now, digest);
        if let Some(until) = record.held {
            return Verdict::Quarantined(until.since(now));
        }
        let lease = Lease {
            run_id,
            until: now + policy.lease_ms,
        };
        if let Some(run) = record.runs.iter_mut().find(|run| run.run_id == run_id) {
            *run = lease;
            return record.verdict();
        }
        let room = record.proven || record.crashes + record.runs.len() < MAX_CRASHES;
        if !room {
            return Verdict::Wait(policy.retry_ms);
        }
        if !record.proven {
            record.runs.push(lease);
        }
        record.verdict()
    }

    /// Returns whether the suspect of `run_id` may run on `upstream`, which it then holds for the
    /// time of a lease; asking again prolongs that.
    pub fn isolate(&mut self, now: Instant, upstream: impl Into<String>, run_id: RunId) -> bool {
        let until = now + self.policy.lease_ms;
        let lease = self
            .alone
            .entry(upstream.into())
            .or_insert(Lease { run_id, until: now });
        if lease.run_id != run_id && now < lease.until {
            return false;
        }
        *lease = Lease { run_id, until };
        true
    }

    /// Ends the run of `run_id` and returns how many crashes the digest has now.
    pub fn leave(
        &mut self,
        now: Instant,
        digest: Digest,
        run_id: RunId,
        outcome: Outcome,
    ) -> usize {
        let policy = self.policy;
        let record = self.record(now, digest);
        record.runs.retain(|run| run.run_id != run_id);
        match outcome {
            Outcome::Crashed => {
                record.crashes += 1;
                record.proven = false;
                record.until = now + policy.memory_ms;
                if record.crashes >= MAX_CRASHES {
                    record.held = Some(now + policy.quarantine_ms);
                }
            }
            Outcome::Stopped => {}
            Outcome::Whole if record.held.is_none() => {
                record.crashes = 0;
                record.proven = true;
                record.until = now + policy.memory_ms;
            }
            Outcome::Whole => {}
        }
        record.crashes
    }

    /// Counts the digests that are held back.
    pub fn quarantined_count(&self) -> usize {
        self.records.values().filter(|r| r.held.is_some()).count()
    }

    /// Counts the digests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no digest is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets what is over.
    pub fn prune(&mut self, now: Instant) {
        self.alone.retain(|_, lease| now < lease.until);
        for record in self.records.values_mut() {
            record.expire(now);
        }
        self.records.retain(|_, record| !record.is_blank());
    }

    /// Frees `upstream` for other suspects, if the suspect of `run_id` holds it.
    pub fn release(&mut self, upstream: &str, run_id: RunId) {
        if self.alone.get(upstream).is_some_and(|l| l.run_id == run_id) {
            self.alone.remove(upstream);
        }
    }

    /// Prolongs the run of `run_id` and returns whether it still counted.
    pub fn renew(&mut self, now: Instant, digest: Digest, run_id: RunId) -> bool {
        let until = now + self.policy.lease_ms;
        let record = self.record(now, digest);
        let run = record.runs.iter_mut().find(|run| run.run_id == run_id);
        let known = run.is_some() || record.proven;
        if let Some(run) = run {
            run.until = until;
        }
        known
    }

    fn record(&mut self, now: Instant, digest: Digest) -> &mut Record {
        let full = self.records.len() >= self.policy.max_records;
        if full && !self.records.contains_key(&digest) {
            self.prune(now);
            self.drop_proven();
        }
        let record = self.records.entry(digest).or_default();
        record.expire(now);
        record
    }

    fn drop_proven(&mut self) {
        if self.records.len() >= self.policy.max_records {
            self.records.retain(|_, record| !record.proven);
        }
    }
}

impl Record {
    fn expire(&mut self, now: Instant) {
        self.runs.retain(|run| now < run.until);
        if self.held.is_some_and(|until| now >= until) {
            *self = Self::default();
        }
        if self.held.is_none() && now >= self.until {
            self.crashes = 0;
            self.proven = false;
        }
    }

    fn is_blank(&self) -> bool {
        self.crashes == 0 && self.held.is_none() && !self.proven && self.runs.is_empty()
    }

    fn verdict(&self) -> Verdict {
        match self.crashes {
            0 => Verdict::Run,
            _ => Verdict::RunAlone,
        }
    }
}

/// Ranks the hosts that may own `digest`, the owner first; equal views give equal ranks.
pub fn ranked_owners(view: &View, digest: Digest) -> Vec<&Member> {
    let mut hosts: Vec<&Member> = shard::brokers(view).collect();
    let score = |member: &&Member| Reverse(rendezvous::score(&digest.0, &member.record.host));
    hosts.sort_by_key(score);
    hosts
}
