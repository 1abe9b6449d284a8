//! Keeps a request that crashes upstreams from crashing more than two of the fleet.
//!
//! Each digest has one owner among the daemons, the first of [`owners`], which is asked before any
//! run. Without a success, runs and crashes of a digest together never exceed [`CRASHES`]. A digest
//! that was in flight at a crash is a suspect: it runs again with no other suspect on its
//! upstream, is cleared by its first success and is held back after its second crash.

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
pub const CRASHES: usize = 2;

/// Bounds times and sizes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Policy {
    /// Gives how long a digest is held back after its second crash, in milliseconds.
    pub hold: u64,
    /// Gives how long a run counts without being renewed, in milliseconds.
    pub lease: u64,
    /// Gives how long a crash or a success is remembered, in milliseconds.
    pub memory: u64,
    /// Bounds the digests that are remembered.
    pub records: usize,
    /// Gives the pause after which an asker that must wait asks again, in milliseconds.
    pub wait: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            hold: 600_000,
            lease: 15_000,
            memory: 900_000,
            records: 50_000,
            wait: 20,
        }
    }
}

/// Names one run of a digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ticket(pub u128);

/// Answers whether a digest may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// Means that it is held back for this many milliseconds more.
    Held(u64),
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
    Enter(Digest, Ticket),
    /// Asks to be the only suspect on the upstream of that name.
    Isolate(String, Ticket),
    /// Tells how a run ended.
    Leave(Digest, Ticket, Outcome),
    /// Frees the upstream of that name for other suspects.
    Release(String, Ticket),
    /// Prolongs a run.
    Renew(Digest, Ticket),
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
    ticket: Ticket,
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
        record.until = now + policy.memory;
        if record.crashes >= CRASHES {
            record.held.get_or_insert(now + policy.hold);
        }
    }

    /// Answers a call.
    pub fn answer(&mut self, now: Instant, call: Call) -> Answer {
        match call {
            Call::Adopt(digest, crashes) => self.adopt(now, digest, crashes),
            Call::Enter(digest, ticket) => {
                return Answer::Verdict(self.enter(now, digest, ticket));
            }
            Call::Isolate(upstream, ticket) => {
                return Answer::Isolated(self.isolate(now, upstream, ticket));
            }
            Call::Leave(digest, ticket, outcome) => {
                return Answer::Left(self.leave(now, digest, ticket, outcome));
            }
            Call::Release(upstream, ticket) => self.release(&upstream, ticket),
            Call::Renew(digest, ticket) => {
                self.renew(now, digest, ticket);
            }
        }
        Answer::Done
    }

    /// Answers whether `digest` may run; a permission counts as a run under `ticket`.
    pub fn enter(&mut self, now: Instant, digest: Digest, ticket: Ticket) -> Verdict {
        let policy = self.policy;
        let record = self.record(now, digest);
        if let Some(until) = record.held {
            return Verdict::Held(until.since(now));
        }
        let lease = Lease {
            ticket,
            until: now + policy.lease,
        };
        if let Some(run) = record.runs.iter_mut().find(|run| run.ticket == ticket) {
            *run = lease;
            return record.verdict();
        }
        let room = record.proven || record.crashes + record.runs.len() < CRASHES;
        if !room {
            return Verdict::Wait(policy.wait);
        }
        if !record.proven {
            record.runs.push(lease);
        }
        record.verdict()
    }

    /// Returns whether the suspect of `ticket` may run on `upstream`, which it then holds for the
    /// time of a lease; asking again prolongs that.
    pub fn isolate(&mut self, now: Instant, upstream: impl Into<String>, ticket: Ticket) -> bool {
        let until = now + self.policy.lease;
        let lease = self
            .alone
            .entry(upstream.into())
            .or_insert(Lease { ticket, until: now });
        if lease.ticket != ticket && now < lease.until {
            return false;
        }
        *lease = Lease { ticket, until };
        true
    }

    /// Ends the run of `ticket` and returns how many crashes the digest has now.
    pub fn leave(
        &mut self,
        now: Instant,
        digest: Digest,
        ticket: Ticket,
        outcome: Outcome,
    ) -> usize {
        let policy = self.policy;
        let record = self.record(now, digest);
        record.runs.retain(|run| run.ticket != ticket);
        match outcome {
            Outcome::Crashed => {
                record.crashes += 1;
                record.proven = false;
                record.until = now + policy.memory;
                if record.crashes >= CRASHES {
                    record.held = Some(now + policy.hold);
                }
            }
            Outcome::Stopped => {}
            Outcome::Whole if record.held.is_none() => {
                record.crashes = 0;
                record.proven = true;
                record.until = now + policy.memory;
            }
            Outcome::Whole => {}
        }
        record.crashes
    }

    /// Counts the digests that are held back.
    pub fn held(&self) -> usize {
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

    /// Frees `upstream` for other suspects, if the suspect of `ticket` holds it.
    pub fn release(&mut self, upstream: &str, ticket: Ticket) {
        if self.alone.get(upstream).is_some_and(|l| l.ticket == ticket) {
            self.alone.remove(upstream);
        }
    }

    /// Prolongs the run of `ticket` and returns whether it still counted.
    pub fn renew(&mut self, now: Instant, digest: Digest, ticket: Ticket) -> bool {
        let until = now + self.policy.lease;
        let record = self.record(now, digest);
        let run = record.runs.iter_mut().find(|run| run.ticket == ticket);
        let known = run.is_some() || record.proven;
        if let Some(run) = run {
            run.until = until;
        }
        known
    }

    fn record(&mut self, now: Instant, digest: Digest) -> &mut Record {
        let full = self.records.len() >= self.policy.records;
        if full && !self.records.contains_key(&digest) {
            self.prune(now);
            self.drop_proven();
        }
        let record = self.records.entry(digest).or_default();
        record.expire(now);
        record
    }

    fn drop_proven(&mut self) {
        if self.records.len() >= self.policy.records {
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
pub fn owners(view: &View, digest: Digest) -> Vec<&Member> {
    let mut hosts: Vec<&Member> = shard::brokers(view).collect();
    let score = |member: &&Member| Reverse(rendezvous::score(&digest.0, &member.record.host));
    hosts.sort_by_key(score);
    hosts
}
