//! The holder: lends the allotments of all workspaces to the hosts while its host leads.
//!
//! All that it knows is forgotten with its term. What a new holder cannot know counts as spent: its
//! buckets are empty at first, and hold no more than half of the burst until no host relies on a
//! lease of an earlier term any more.

use std::collections::BTreeMap;

use crate::allotment::LEASE_MS;
use crate::allotment::bucket::Bucket;
use crate::allotment::bucket::Change;
use crate::allotment::kind::Kind;
use crate::allotment::kind::Size;
use crate::allotment::message::Batch;
use crate::allotment::message::Demand;
use crate::allotment::message::Draw;
use crate::allotment::message::Drawing;
use crate::allotment::message::Drawn;
use crate::allotment::message::Grant;
use crate::allotment::message::Lease;
use crate::allotment::message::Report;
use crate::allotment::message::Use;
use crate::allotment::message::Want;
use state::routing::Allotment;
use state::routing::Table;
use state::time::Instant;

/// Part of the burst that hosts may hold under earlier terms, in eighths.
const EXCLUDED_EIGHTHS: u64 = 4;
/// Part of the burst that is lent at most, in eighths. Together with [`NEW_LENT_EIGHTHS`] it is the
/// part that the next holder excludes, which may follow one that led only briefly.
const LENT_EIGHTHS: u64 = 3;
/// Part of the burst that a holder lends at most while it excludes another part, in eighths.
const NEW_LENT_EIGHTHS: u64 = 1;
/// Time for which a lease covers the demand of a host, in milliseconds: as long as it lasts, so
/// that a change of the leader interrupts as little as the burst permits.
const COVER_MS: u64 = LEASE_MS;
/// The same while the allotment is scarce: unspent leases are missing elsewhere.
const SCARCE_COVER_MS: u64 = 150;
/// Time for which units that were lent with a draw are not called in, in milliseconds: some paces
/// of draws.
const AHEAD_MS: u64 = 200;
/// Least time between two reports that a rate is taken from, in milliseconds.
const MIN_ELAPSED_MS: u64 = 50;
/// Reciprocals of the weights of a new rate that is greater or less than the known one.
const RISE_DIVISOR: u64 = 4;
const FALL_DIVISOR: u64 = 32;
/// Time between two searches for hosts whose leases have ended, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 100;

/// What one host holds of one workspace's allotment, and how fast it spends it.
#[derive(Debug, Default)]
struct Account {
    /// Units lent by draws of which no report tells yet, by number of the draw.
    ahead: Vec<(u64, u64)>,
    ahead_at: Instant,
    held: u64,
    lent_last: u64,
    /// Units of small requests that callers ask this host for in a second.
    small_per_s: u64,
}

/// What is known of one host.
#[derive(Debug)]
struct Host {
    accounts: BTreeMap<String, Account>,
    /// Number of the last batch that was sent to the host.
    batch: u64,
    incarnation: u64,
    /// Number of its last report.
    report: u64,
    reported_at: Instant,
}

/// Lends the allotments of all workspaces during one term.
#[derive(Debug, Default)]
pub struct Holder {
    /// Allotments of the table of `table_version`.
    allotments: BTreeMap<String, Allotment>,
    began_at: Instant,
    buckets: BTreeMap<String, Bucket>,
    changes: Vec<(String, Change)>,
    hosts: BTreeMap<String, Host>,
    last_batch: u64,
    swept_at: Instant,
    table_version: u64,
    term: u64,
}

/// What an operator sees of one workspace's allotment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Units that are lent and not known to be spent.
    pub lent: u64,
    /// Units in the bucket.
    pub level: i64,
    /// Units that flow in within a second.
    pub rate: u64,
}

impl Holder {
    /// Takes the report of a host and lends it what it needs. The leadership in `term` and the
    /// table have to be confirmed since the report arrived.
    pub fn exchange(
        &mut self,
        now: Instant,
        term: u64,
        table: &Table,
        host: &str,
        report: &Report,
    ) -> Batch {
        self.begin(now, term);
        self.sweep(now);
        if self.table_version != table.version {
            self.table_version = table.version;
            self.allotments = table.allotments();
        }
        if self.allotments.is_empty() && self.hosts.is_empty() {
            return Batch::default();
        }
        let allotments = std::mem::take(&mut self.allotments);
        for (workspace, allotment) in &allotments {
            self.refill(now, workspace, *allotment);
        }
        let batch = self.answer(now, &allotments, host, report);
        self.allotments = allotments;
        batch
    }

    /// Takes the report of a host and lends it what it needs, after all buckets were refilled.
    fn answer(
        &mut self,
        now: Instant,
        allotments: &BTreeMap<String, Allotment>,
        host: &str,
        report: &Report,
    ) -> Batch {
        if !self.record(now, host, report) {
            return Batch::default();
        }
        for (workspace, bucket) in &mut self.buckets {
            if let Some(change) = bucket.divide(now) {
                self.changes.push((workspace.clone(), change));
            }
        }
        let leases = allotments.keys().filter_map(|workspace| {
            let lease = self.lend(now, host, workspace)?;
            Some((workspace.clone(), lease))
        });
        let leases = leases.collect();
        self.last_batch += 1;
        if let Some(host) = self.hosts.get_mut(host) {
            host.batch = self.last_batch;
        }
        Batch {
            leases,
            number: self.last_batch,
            term: self.term,
        }
    }

    /// Charges requests that their host cannot cover, and lends it units for those that follow.
    /// The leadership in `term` and the table have to be confirmed since the call arrived.
    pub fn draw(&mut self, now: Instant, term: u64, table: &Table, draw: &Draw) -> Drawing {
        self.begin(now, term);
        self.sweep(now);
        let grants = draw.wants.iter().map(|(workspace, wants)| {
            let grant = match table.allotment(workspace) {
                None => Grant {
                    ahead: 0,
                    verdicts: vec![Drawn::Charged; wants.len()],
                },
                Some(allotment) => self.grant(now, workspace, allotment, draw, wants),
            };
            (workspace.clone(), grant)
        });
        Drawing {
            grants: grants.collect(),
            term,
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        workspace: &str,
        allotment: Allotment,
        draw: &Draw,
        wants: &[Want],
    ) -> Grant {
        let is_new = self.is_new(now);
        let excluded = excluded(is_new, &allotment);
        let bucket = self.refill(now, workspace, allotment);
        let verdicts = wants
            .iter()
            .map(|want| bucket.draw(now, want.kind, want.units, excluded));
        let verdicts: Vec<Drawn> = verdicts.collect();
        let charged = wants.iter().zip(&verdicts);
        let small = charged
            .filter(|(want, verdict)| want.kind.size == Size::Small && **verdict == Drawn::Charged);
        // A single request tells no rate: units for a second one might lie idle.
        let expected = small.skip(1).map(|(want, _)| want.units).sum();
        Grant {
            ahead: self.lend_ahead(now, workspace, draw, expected),
            verdicts,
        }
    }

    /// Lends a host units for small requests that it can expect until its next draw; the part of
    /// the demand that it would get with its next report if the allotment is not scarce.
    fn lend_ahead(&mut self, now: Instant, workspace: &str, draw: &Draw, expected: u64) -> u64 {
        let limit_eighths = lent_eighths(self.is_new(now));
        let host = self.hosts.get_mut(&draw.host);
        let host = host.filter(|host| host.incarnation == draw.incarnation);
        let (Some(host), Some(bucket)) = (host, self.buckets.get_mut(workspace)) else {
            return 0;
        };
        if bucket.is_recalled(now) {
            return 0;
        }
        let limit = bucket.lend_limit(limit_eighths);
        let account = host.accounts.entry(workspace.to_owned()).or_default();
        let wanted = match bucket.shares().is_empty() {
            false => expected,
            true => account.target(bucket, limit).saturating_sub(account.held),
        };
        let room = limit.saturating_sub(bucket.lent());
        let units = wanted.max(expected).min(room).min(bucket.small_level());
        if units > 0 {
            bucket.lend(units);
            account.held += units;
            account.ahead.push((draw.number, units));
            account.ahead_at = now;
        }
        units
    }

    /// Returns which allotments have become scarce or ended being so since the last call.
    pub fn take_changes(&mut self) -> Vec<(String, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns what an operator sees of each workspace's allotment.
    pub fn summaries(&self) -> impl Iterator<Item = (&str, Summary)> {
        self.buckets.iter().map(|(workspace, bucket)| {
            let summary = Summary {
                lent: bucket.lent(),
                level: bucket.level(),
                rate: bucket.allotment().rate,
            };
            (workspace.as_str(), summary)
        })
    }

    fn begin(&mut self, now: Instant, term: u64) {
        if term == self.term {
            return;
        }
        *self = Self {
            began_at: now,
            swept_at: now,
            term,
            ..Self::default()
        };
    }

    /// Forgets the hosts whose leases have ended; what they held counts as spent.
    fn sweep(&mut self, now: Instant) {
        if now.since(self.swept_at) < SWEEP_INTERVAL_MS {
            return;
        }
        self.swept_at = now;
        let ended = |host: &Host| now.since(host.reported_at) >= LEASE_MS;
        let ended: Vec<String> = self
            .hosts
            .iter()
            .filter(|(_, host)| ended(host))
            .map(|(name, _)| name.clone())
            .collect();
        for name in ended {
            let Some(host) = self.hosts.remove(&name) else {
                continue;
            };
            for (workspace, account) in host.accounts {
                if let Some(bucket) = self.buckets.get_mut(&workspace) {
                    bucket.record_held(account.held, 0);
                    bucket.record_small(account.small_per_s, 0);
                }
            }
        }
    }

    /// Returns whether hosts may hold leases of earlier terms.
    fn is_new(&self, now: Instant) -> bool {
        now.since(self.began_at) < LEASE_MS
    }

    fn refill(&mut self, now: Instant, workspace: &str, allotment: Allotment) -> &mut Bucket {
        let excluded = excluded(self.is_new(now), &allotment);
        let began_at = self.began_at;
        let bucket = self.buckets.entry(workspace.to_owned());
        let bucket = bucket.or_insert_with(|| Bucket::new(began_at, now, allotment));
        bucket.refill(now, allotment, excluded);
        bucket
    }

    /// Takes in a report, and returns whether it is newer than all others of its process.
    fn record(&mut self, now: Instant, name: &str, report: &Report) -> bool {
        let mut host = self.hosts.remove(name).unwrap_or(Host {
            accounts: BTreeMap::new(),
            batch: 0,
            incarnation: report.incarnation,
            report: 0,
            reported_at: now,
        });
        let is_same = host.incarnation == report.incarnation;
        if is_same && report.number <= host.report {
            self.hosts.insert(name.to_owned(), host);
            return false;
        }
        let is_lost = is_same && (report.term != self.term || report.received != host.batch);
        let is_new = self.is_new(now);
        let elapsed_ms = now.since(host.reported_at);
        for workspace in report.uses.keys() {
            host.accounts.entry(workspace.clone()).or_default();
        }
        let unused = Use::default();
        for (workspace, account) in &mut host.accounts {
            let Some(bucket) = self.buckets.get_mut(workspace) else {
                continue;
            };
            let used = report.uses.get(workspace).unwrap_or(&unused);
            account
                .ahead
                .retain(|(number, _)| is_same && *number > report.drawn);
            let ahead: u64 = account.ahead.iter().map(|(_, units)| units).sum();
            let held = match report.term == self.term {
                false => ahead,
                true => used.held + ahead,
            };
            bucket.record_held(account.held, held);
            let unreceived = match is_lost {
                false => 0,
                true => account.lent_last,
            };
            let excluded = excluded(is_new, bucket.allotment());
            bucket.put_back(unreceived + used.returned, excluded);
            bucket.record_demand(&used.wanted);
            account.held = held;
            account.lent_last = 0;
            let before = account.small_per_s;
            account.record_demand(&used.wanted, elapsed_ms);
            bucket.record_small(before, account.small_per_s);
        }
        host.accounts.retain(|_, account| account.is_active());
        host.incarnation = report.incarnation;
        host.report = report.number;
        host.reported_at = now;
        self.hosts.insert(name.to_owned(), host);
        true
    }

    /// Returns how the lease of a host on one workspace changes, if it does.
    fn lend(&mut self, now: Instant, host: &str, workspace: &str) -> Option<Lease> {
        let is_new = self.is_new(now);
        let bucket = self.buckets.get_mut(workspace)?;
        let account = self.hosts.get_mut(host)?.accounts.get_mut(workspace);
        let mut lease = Lease {
            shares: bucket.shares().clone(),
            ..Lease::default()
        };
        if let Some(account) = account {
            let limit = bucket.lend_limit(lent_eighths(is_new));
            let target = match bucket.is_recalled(now) {
                false => account.target(bucket, limit),
                true => 0,
            };
            let room = limit.saturating_sub(bucket.lent());
            lease.units = target
                .saturating_sub(account.held)
                .min(room)
                .min(bucket.small_level());
            let is_idle = bucket.is_recalled(now) || now.since(account.ahead_at) >= AHEAD_MS;
            lease.keep = (is_idle && account.held > target * 2).then_some(target);
            bucket.lend(lease.units);
            account.held += lease.units;
            account.lent_last = lease.units;
        }
        (lease != Lease::default()).then_some(lease)
    }
}

impl Account {
    fn is_active(&self) -> bool {
        self.held > 0 || self.small_per_s > 0
    }

    /// Records what callers asked the host for since its last report. The rate falls slowly, so
    /// that a host with few callers keeps a lease between them.
    fn record_demand(&mut self, wanted: &BTreeMap<Kind, Demand>, elapsed_ms: u64) {
        let small = wanted.iter().filter(|(kind, _)| kind.size == Size::Small);
        let units: u64 = small.map(|(_, demand)| demand.units).sum();
        let per_s = units.saturating_mul(1_000) / elapsed_ms.max(MIN_ELAPSED_MS);
        let weight = match per_s > self.small_per_s {
            false => FALL_DIVISOR,
            true => RISE_DIVISOR,
        };
        self.small_per_s = (self.small_per_s * (weight - 1) + per_s) / weight;
    }

    /// Returns the units that the host should hold: its part of the demand for small requests.
    /// Large ones draw, because leases that cover them would lie idle at all hosts.
    fn target(&self, bucket: &Bucket, limit: u64) -> u64 {
        let cover_ms = match bucket.shares().is_empty() {
            false => SCARCE_COVER_MS,
            true => COVER_MS,
        };
        let covering = self.small_per_s.saturating_mul(cover_ms) / 1_000;
        let part = u128::from(limit) * u128::from(self.small_per_s)
            / u128::from(bucket.small_per_s().max(self.small_per_s).max(1));
        let target = covering.min(part as u64);
        let two = bucket.small_cost() * 2;
        let is_plentiful = bucket.level() * 2 > bucket.allotment().burst as i64;
        match target < two {
            false => target,
            // Less than a request covers nothing.
            true if is_plentiful && covering > 0 => two,
            true if target * 2 < two => 0,
            true => target,
        }
    }
}

fn lent_eighths(is_new: bool) -> u64 {
    match is_new {
        false => LENT_EIGHTHS,
        true => NEW_LENT_EIGHTHS,
    }
}

/// Returns the units that hosts may hold under terms before that of a new holder.
fn excluded(is_new: bool, allotment: &Allotment) -> u64 {
    match is_new {
        false => 0,
        true => allotment.burst.saturating_mul(EXCLUDED_EIGHTHS).div_ceil(8),
    }
}
