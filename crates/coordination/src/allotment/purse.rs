//! The purse of one host: the leases that it spends, and what it tells the holder.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::allotment::LEASE_MS;
use crate::allotment::kind::Kind;
use crate::allotment::message::Batch;
use crate::allotment::message::Demand;
use crate::allotment::message::Lease;
use crate::allotment::message::Report;
use crate::allotment::message::Share;
use crate::allotment::message::Use;
use state::time::Instant;

const WHOLE: u64 = 1_000;

/// What the host holds of one workspace's allotment.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Units lent in the term before.
    earlier: u64,
    /// Units lent in this term.
    held: u64,
    returned: u64,
    shares: BTreeMap<Kind, Share>,
    wanted: BTreeMap<Kind, Demand>,
}

/// Holds the leases of one host.
#[derive(Debug)]
pub struct Purse {
    accounts: BTreeMap<String, Account>,
    /// Time at which leases of the term before end.
    earlier_until: Instant,
    /// Numbers of the draws in flight.
    in_flight: BTreeSet<u64>,
    incarnation: u64,
    /// Number of the last draw.
    last_draw: u64,
    received: u64,
    reports: u64,
    term: u64,
    /// Time at which leases of this term end unless they are renewed.
    until: Instant,
}

impl Purse {
    /// Returns an empty purse; `incarnation` tells this process from others on the same host.
    pub fn new(incarnation: u64) -> Self {
        Self {
            accounts: BTreeMap::new(),
            earlier_until: Instant::default(),
            in_flight: BTreeSet::new(),
            incarnation,
            last_draw: 0,
            received: 0,
            reports: 0,
            term: 0,
            until: Instant::default(),
        }
    }

    /// Records that a caller asks for work, and decides whether it is taken as far as the shares of
    /// a scarce allotment go. `random` is any number.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may come back, in milliseconds, spread so that those
    /// who were refused together do not come back together.
    pub fn admit(
        &mut self,
        now: Instant,
        workspace: &str,
        kind: Kind,
        units: u64,
        random: u64,
    ) -> Result<(), u64> {
        let is_valid = now < self.until;
        let account = self.account(workspace);
        let wanted = account.wanted.entry(kind).or_default();
        wanted.requests += 1;
        wanted.units += units;
        let share = account.shares.get(&kind).filter(|_| is_valid);
        match share {
            Some(share) if random % WHOLE >= u64::from(share.per_mille) => {
                Err(spread(u64::from(share.retry_after_ms), random / WHOLE))
            }
            Some(_) | None => Ok(()),
        }
    }

    /// Charges a request that is about to be sent; returns whether the purse covers it.
    pub fn charge(&mut self, now: Instant, workspace: &str, units: u64) -> bool {
        let (is_valid, is_earlier_valid) = (now < self.until, now < self.earlier_until);
        let account = self.account(workspace);
        let earlier = match is_earlier_valid {
            false => 0,
            true => account.earlier,
        };
        let held = match is_valid {
            false => 0,
            true => account.held,
        };
        let is_covered = units <= earlier + held;
        if is_covered {
            let from_earlier = units.min(earlier);
            account.earlier -= from_earlier;
            account.held -= units - from_earlier;
        }
        is_covered
    }

    /// Returns the number of the host's process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the number of a new draw.
    pub fn begin_draw(&mut self) -> u64 {
        self.last_draw += 1;
        self.in_flight.insert(self.last_draw);
        self.last_draw
    }

    /// Ends a draw, and takes the units that the holder of a term has lent with it by workspace.
    /// Units of another term go back, because reports tell only what is held of one.
    pub fn end_draw(&mut self, number: u64, lent: Option<(u64, BTreeMap<&str, u64>)>) {
        self.in_flight.remove(&number);
        let Some((term, lent)) = lent else {
            return;
        };
        let is_current = term == self.term;
        for (workspace, units) in lent.into_iter().filter(|(_, units)| *units > 0) {
            let account = self.account(workspace);
            match is_current {
                false => account.returned += units,
                true => account.held += units,
            }
        }
    }

    /// Gives units back that were charged for a request that did not run. They go to the holder.
    pub fn give_back(&mut self, workspace: &str, units: u64) {
        self.account(workspace).returned += units;
    }

    /// Returns the report that is sent to the holder. What it gives back is lost with it.
    pub fn report(&mut self, now: Instant) -> Report {
        self.reports += 1;
        let is_valid = now < self.until;
        let mut uses = BTreeMap::new();
        for (workspace, account) in &mut self.accounts {
            if !is_valid {
                account.held = 0;
                account.shares.clear();
            }
            let used = Use {
                held: account.held,
                returned: std::mem::take(&mut account.returned),
                wanted: std::mem::take(&mut account.wanted),
            };
            if used != Use::default() {
                uses.insert(workspace.clone(), used);
            }
        }
        self.accounts.retain(|_, account| account.is_used());
        let first_in_flight = self.in_flight.first();
        Report {
            drawn: first_in_flight.map_or(self.last_draw, |number| number - 1),
            incarnation: self.incarnation,
            number: self.reports,
            received: self.received,
            term: self.term,
            uses,
        }
    }

    /// Takes the leases that came in answer to a report sent at `reported_at`.
    pub fn apply(&mut self, reported_at: Instant, batch: Batch) {
        if batch.term == 0 {
            return;
        }
        if batch.term != self.term {
            self.term = batch.term;
            self.earlier_until = self.until;
            for account in self.accounts.values_mut() {
                account.earlier = std::mem::take(&mut account.held);
            }
        }
        self.received = batch.number;
        self.until = reported_at + LEASE_MS;
        for account in self.accounts.values_mut() {
            account.shares.clear();
        }
        for (workspace, lease) in batch.leases {
            self.account(&workspace).apply(lease);
        }
    }

    /// Returns the time for which the leases were not renewed, in milliseconds.
    pub fn age_ms(&self, now: Instant) -> u64 {
        (now + LEASE_MS).since(self.until)
    }

    fn account(&mut self, workspace: &str) -> &mut Account {
        self.accounts.entry(workspace.to_owned()).or_default()
    }
}

impl Account {
    fn apply(&mut self, lease: Lease) {
        let kept = lease.keep.map_or(self.held, |keep| keep.min(self.held));
        self.returned += self.held - kept;
        self.held = kept + lease.units;
        self.shares = lease.shares;
    }

    fn is_used(&self) -> bool {
        self.earlier > 0 || self.held > 0 || !self.shares.is_empty()
    }
}

/// Returns a time between the given one and half as much again.
fn spread(millis: u64, random: u64) -> u64 {
    millis + random % (millis / 2 + 1)
}
