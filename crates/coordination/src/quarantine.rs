//! Keeps a request that crashes upstreams from crashing more than two of the fleet.
//!
//! Each digest of a request's content has one owner among the daemons, the first of
//! [`ranked_owners`], which is asked before every run. Until a run succeeds, runs in flight and
//! crashes of a digest together never exceed [`MAX_CRASHES`]. A digest that was in flight when its
//! upstream crashed is a suspect: its next run shares its upstream with no other suspect, its first
//! success clears it, and its second crash quarantines it.

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

/// Upper limit on the upstreams that one digest may crash.
pub const MAX_CRASHES: usize = 2;

/// The time and size limits of a quarantine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// Time for which a digest is quarantined after its second crash, in milliseconds.
    pub quarantine_ms: u64,
    /// Time after which a run that is not renewed no longer counts, in milliseconds.
    pub lease_ms: u64,
    /// Time for which a crash or a success is remembered, in milliseconds.
    pub memory_ms: u64,
    /// Upper limit on the digests that are remembered.
    pub max_records: usize,
    /// Time after which a request that must wait asks again, in milliseconds.
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

/// Identifies one run of a digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunId(pub u128);

/// The decision whether a digest may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// It is quarantined for this many more milliseconds.
    Quarantined(u64),
    /// It may run on any upstream.
    Run,
    /// It may run on an upstream on which no other suspect runs.
    RunAlone,
    /// It must wait this many milliseconds and ask again.
    Wait(u64),
}

/// How a run ended.
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
    /// The upstream crashed while the request was in flight on it.
    Crashed,
    /// The run ended early, so that it shows neither a crash nor a success.
    Stopped,
    /// The whole answer arrived.
    Whole,
}

/// A call to the owner of a digest, or of an upstream, from another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Call {
    /// Reports the crashes of a digest so far to a host that may own it next.
    Adopt(Digest, usize),
    /// Asks whether a digest may run.
    Enter(Digest, RunId),
    /// Asks to run as the only suspect on the upstream of that name.
    Isolate(String, RunId),
    /// Reports how a run ended.
    Leave(Digest, RunId, Outcome),
    /// Frees the upstream of that name for other suspects.
    Release(String, RunId),
    /// Renews the lease of a run.
    Renew(Digest, RunId),
}

/// The answer to a [`Call`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// Confirms a call that needs no other answer.
    Done,
    /// Answers [`Call::Isolate`]: whether the suspect may run there.
    Isolated(bool),
    /// Answers [`Call::Leave`] with the crashes so far.
    Left(usize),
    /// Answers [`Call::Enter`].
    Verdict(Verdict),
}

/// Tracks the runs and crashes of the digests that this host owns, and which upstreams suspects
/// run on.
#[derive(Clone, Debug)]
pub struct Quarantine {
    isolations: BTreeMap<String, Lease>,
    policy: Policy,
    records: HashMap<Digest, Record>,
}

/// The time until which a run counts, or has its upstream to itself.
#[derive(Clone, Copy, Debug)]
struct Lease {
    run_id: RunId,
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: usize,
    quarantined_until: Option<Instant>,
    /// Whether a run succeeded since the last crash.
    proven: bool,
    runs: Vec<Lease>,
    remembered_until: Instant,
}

impl Quarantine {
    /// Returns a quarantine that tracks no digests yet.
    pub fn new(policy: Policy) -> Self {
        Self {
            isolations: BTreeMap::new(),
            policy,
            records: HashMap::new(),
        }
    }

    /// Records the crashes that an earlier owner of `digest` counted.
    pub fn adopt(&mut self, now: Instant, digest: Digest, crashes: usize) {
        let policy = self.policy;
        let record = self.record(now, digest);
        record.crashes = record.crashes.max(crashes);
        record.proven = false;
        record.remembered_until = now + policy.memory_ms;
        if record.crashes >= MAX_CRASHES {
            record
                .quarantined_until
                .get_or_insert(now + policy.quarantine_ms);
        }
    }

    /// Handles a call and returns the answer.
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

    /// Decides whether `digest` may run. A permitted run is counted under `run_id` until it ends or
    /// its lease expires.
    pub fn enter(&mut self, now: Instant, digest: Digest, run_id: RunId) -> Verdict {
        let policy = self.policy;
        let record = self.record(now, digest);
        if let Some(until) = record.quarantined_until {
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
        let may_run = record.proven || record.crashes + record.runs.len() < MAX_CRASHES;
        if !may_run {
            return Verdict::Wait(policy.retry_ms);
        }
        if !record.proven {
            record.runs.push(lease);
        }
        record.verdict()
    }

    /// Returns whether the suspect run `run_id` may run on `upstream`. It then has the upstream to
    /// itself, among suspects, until its lease expires; asking again renews the lease.
    pub fn isolate(&mut self, now: Instant, upstream: impl Into<String>, run_id: RunId) -> bool {
        let until = now + self.policy.lease_ms;
        let lease = self
            .isolations
            .entry(upstream.into())
            .or_insert(Lease { run_id, until: now });
        if lease.run_id != run_id && now < lease.until {
            return false;
        }
        *lease = Lease { run_id, until };
        true
    }

    /// Ends the run `run_id` and returns how many crashes the digest has now.
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
                record.remembered_until = now + policy.memory_ms;
                if record.crashes >= MAX_CRASHES {
                    record.quarantined_until = Some(now + policy.quarantine_ms);
                }
            }
            Outcome::Stopped => {}
            Outcome::Whole if record.quarantined_until.is_none() => {
                record.crashes = 0;
                record.proven = true;
                record.remembered_until = now + policy.memory_ms;
            }
            Outcome::Whole => {}
        }
        record.crashes
    }

    /// Returns how many digests are quarantined.
    pub fn quarantined_count(&self) -> usize {
        self.records
            .values()
            .filter(|r| r.quarantined_until.is_some())
            .count()
    }

    /// Returns how many digests are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no digest is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops expired leases, and the records of digests that have nothing left to remember.
    pub fn prune(&mut self, now: Instant) {
        self.isolations.retain(|_, lease| now < lease.until);
        for record in self.records.values_mut() {
            record.expire(now);
        }
        self.records.retain(|_, record| !record.is_obsolete());
    }

    /// Frees `upstream` for other suspects, if the run `run_id` has it to itself.
    pub fn release(&mut self, upstream: &str, run_id: RunId) {
        if self
            .isolations
            .get(upstream)
            .is_some_and(|l| l.run_id == run_id)
        {
            self.isolations.remove(upstream);
        }
    }

    /// Renews the lease of the run `run_id` and returns whether it still counts; a run of a digest
    /// that has succeeded always does.
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

    /// Returns the record of `digest`. Where there are too many, it makes room by dropping obsolete
    /// records, then those of digests that succeeded.
    fn record(&mut self, now: Instant, digest: Digest) -> &mut Record {
        let full = self.records.len() >= self.policy.max_records;
        if full && !self.records.contains_key(&digest) {
            self.prune(now);
            self.evict_proven();
        }
        let record = self.records.entry(digest).or_default();
        record.expire(now);
        record
    }

    fn evict_proven(&mut self) {
        if self.records.len() >= self.policy.max_records {
            self.records.retain(|_, record| !record.proven);
        }
    }
}

impl Record {
    fn expire(&mut self, now: Instant) {
        self.runs.retain(|run| now < run.until);
        if self.quarantined_until.is_some_and(|until| now >= until) {
            *self = Self::default();
        }
        if self.quarantined_until.is_none() && now >= self.remembered_until {
            self.crashes = 0;
            self.proven = false;
        }
    }

    fn is_obsolete(&self) -> bool {
        self.crashes == 0
            && self.quarantined_until.is_none()
            && !self.proven
            && self.runs.is_empty()
    }

    fn verdict(&self) -> Verdict {
        match self.crashes {
            0 => Verdict::Run,
            _ => Verdict::RunAlone,
        }
    }
}

/// Returns the hosts that may own `digest`, the owner first, ranked by rendezvous hashing; hosts
/// with equal views get the same order.
pub fn ranked_owners(view: &View, digest: Digest) -> Vec<&Member> {
    let mut hosts: Vec<&Member> = shard::brokers(view).collect();
    let score = |member: &&Member| Reverse(rendezvous::score(&digest.0, &member.record.host));
    hosts.sort_by_key(score);
    hosts
}
