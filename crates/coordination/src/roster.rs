//! The reports about all hosts, and which of two reports holds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::gossip::Change;
use crate::host::Profile;
use crate::host::Record;
use crate::host::Standing;
use crate::host::Version;
use crate::rumor::Rumors;
use crate::rumor::UPDATES_PER_MESSAGE;
use crate::view::Member;
use crate::view::View;
use state::time::Instant;

const FORGET_MS: u64 = 24 * 3_600_000;
const LINK_MISSES: u32 = 2;

/// Holds what is known of another host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Counts the probes that only reached the host through others.
    pub misses: u32,
    /// Holds the report in force.
    pub record: Record,
    /// Tells since when the host has its standing.
    pub since: Instant,
}

impl Peer {
    /// Returns the address for other daemons.
    pub fn address(&self) -> SocketAddr {
        self.record.profile.peer
    }

    /// Returns whether the host answers this one directly.
    pub fn is_direct(&self) -> bool {
        self.misses < LINK_MISSES
    }

    /// Returns whether the host may still be there.
    pub fn is_present(&self) -> bool {
        self.record.standing.is_present()
    }
}

/// Holds the reports about all hosts.
#[derive(Clone, Debug)]
pub struct Roster {
    changes: Vec<Change>,
    digest: u64,
    me: Record,
    now: Instant,
    objection: Option<Version>,
    peers: BTreeMap<String, Peer>,
    rumors: Rumors,
}

impl Roster {
    /// Returns the reports of a host that knows only itself.
    pub fn new(host: String, profile: Profile, run: u64) -> Self {
        let version = Version {
            run,
            incarnation: 0,
        };
        let me = Record {
            host,
            profile,
            standing: Standing::Alive,
            version,
        };
        let mut rumors = Rumors::default();
        rumors.add(&me.host);
        Self {
            changes: Vec::new(),
            digest: me.digest(),
            me,
            now: Instant::default(),
            objection: None,
            peers: BTreeMap::new(),
            rumors,
        }
    }

    /// Sets the time at which later changes happen.
    pub fn set_now(&mut self, now: Instant) {
        self.now = now;
    }

    /// Returns the report of this host.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Returns what is known of another host.
    pub fn get(&self, host: &str) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// Iterates over the other hosts in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Counts the other hosts that may be there.
    pub fn present(&self) -> usize {
        self.iter().filter(|peer| peer.is_present()).count()
    }

    /// Sums up all reports about hosts that are present.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all reports.
    pub fn all(&self) -> Vec<Record> {
        let peers = self.iter().map(|peer| peer.record.clone());
        peers.chain([self.me.clone()]).collect()
    }

    /// Returns whether nothing is left to spread.
    pub fn is_quiet(&self) -> bool {
        self.rumors.is_empty()
    }

    /// Starts to spread the report about `host` anew.
    pub fn spread(&mut self, host: &str) {
        self.rumors.add(host);
    }

    /// Returns the reports to send along with one message.
    pub fn updates(&mut self) -> Vec<Record> {
        let hosts = self.rumors.next(self.peers.len() + 1);
        let report = |host: String| match self.peers.get(&host) {
            Some(peer) => Some(peer.record.clone()),
            None => (host == self.me.host).then(|| self.me.clone()),
        };
        hosts.into_iter().filter_map(report).collect()
    }

    /// Returns what changed since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Adds a change to those to be returned.
    pub fn note(&mut self, change: Change) {
        self.changes.push(change);
    }

    /// Returns what this host knows of the fleet.
    pub fn view(&self, isolated: bool) -> View {
        let me = Member {
            reachable: true,
            record: self.me.clone(),
        };
        let peers = self.iter().map(|peer| Member {
            reachable: peer.is_direct() && peer.record.standing == Standing::Alive,
            record: peer.record.clone(),
        });
        let mut hosts: Vec<Member> = peers.chain([me]).collect();
        hosts.sort_by(|a, b| a.record.host.cmp(&b.record.host));
        View {
            hosts,
            isolated,
            me: self.me.host.clone(),
        }
    }

    /// Takes reports that hold against those known.
    pub fn merge(&mut self, records: impl IntoIterator<Item = Record>) {
        for record in records {
            self.take(record);
        }
    }

    /// Takes all reports of another host.
    ///
    /// Many at once are not spread further: they come from a host that others can ask as well.
    pub fn merge_all(&mut self, records: Vec<Record>) {
        let before = self.rumors.clone();
        self.merge(records);
        if self.rumors.len() > before.len() + UPDATES_PER_MESSAGE {
            self.rumors = before;
        }
    }

    /// Holds `host` to be of `standing`.
    pub fn declare(&mut self, host: &str, standing: Standing) {
        if let Some(peer) = self.peers.get(host) {
            let mut record = peer.record.clone();
            record.standing = standing;
            self.take(record);
        }
    }

    /// Notes how `host` answered: directly or only through others.
    pub fn link(&mut self, host: &str, direct: bool) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let before = peer.is_direct();
        peer.misses = match direct {
            false => peer.misses.saturating_add(1),
            true => 0,
        };
        match (before, peer.is_direct()) {
            (false, true) => self.note(Change::LinkMended(host.to_owned())),
            (true, false) => self.note(Change::LinkCut(host.to_owned())),
            _ => {}
        }
    }

    /// Starts the time of every suspicion anew.
    pub fn restart_suspicions(&mut self) {
        for peer in self.peers.values_mut() {
            if peer.record.standing == Standing::Suspect {
                peer.since = self.now;
            }
        }
    }

    /// Holds every host to be dead that has been suspected for `limit` milliseconds.
    pub fn expire(&mut self, limit: u64) {
        let now = self.now;
        let dead: Vec<String> = self
            .iter()
            .filter(|peer| peer.record.standing == Standing::Suspect)
            .filter(|peer| now.since(peer.since) >= limit)
            .map(|peer| peer.record.host.clone())
            .collect();
        for host in dead {
            self.declare(&host, Standing::Dead);
        }
        self.peers
            .retain(|_, peer| peer.is_present() || now.since(peer.since) < FORGET_MS);
    }

    /// Changes what this host says of itself.
    pub fn restate(&mut self, change: impl FnOnce(&mut Profile)) {
        let mut profile = self.me.profile.clone();
        change(&mut profile);
        if profile != self.me.profile {
            let version = self.next_version(self.me.version);
            self.reissue(profile, version, self.me.standing);
        }
    }

    /// Makes this host say that it ends.
    pub fn leave(&mut self) {
        let version = self.next_version(self.me.version);
        self.reissue(self.me.profile.clone(), version, Standing::Left);
    }

    /// Objects to reports that hold against this host's own; returns whether there were any.
    pub fn object(&mut self) -> bool {
        let Some(version) = self.objection.take() else {
            return false;
        };
        if self.me.standing == Standing::Left || version < self.me.version {
            return false;
        }
        let version = self.next_version(version);
        self.reissue(self.me.profile.clone(), version, Standing::Alive);
        true
    }

    fn next_version(&self, seen: Version) -> Version {
        match seen.run > self.me.version.run {
            false => Version {
                run: seen.run,
                incarnation: seen.incarnation + 1,
            },
            true => Version {
                run: seen.run + 1,
                incarnation: 0,
            },
        }
    }

    fn reissue(&mut self, profile: Profile, version: Version, standing: Standing) {
        self.digest ^= self.me.digest();
        self.me.profile = profile;
        self.me.standing = standing;
        self.me.version = version;
        self.digest ^= self.me.digest();
        self.rumors.add(&self.me.host);
    }

    fn take(&mut self, record: Record) {
        if record.host == self.me.host {
            self.take_own(&record);
            return;
        }
        match self.peers.get(&record.host) {
            None => self.admit(record),
            Some(known) if record.supersedes(&known.record) => self.replace(record),
            Some(_) => {}
        }
    }

    fn take_own(&mut self, record: &Record) {
        if !record.supersedes(&self.me) {
            return;
        }
        let elsewhere = record.profile.peer != self.me.profile.peer;
        if elsewhere && record.standing == Standing::Alive {
            self.note(Change::NameTaken(record.profile.peer));
        }
        self.objection = Some(self.objection.unwrap_or_default().max(record.version));
    }

    fn admit(&mut self, record: Record) {
        let host = record.host.clone();
        if record.standing.is_present() {
            self.digest ^= record.digest();
            self.note(Change::Joined(host.clone()));
        }
        self.rumors.add(&host);
        let peer = Peer {
            misses: 0,
            record,
            since: self.now,
        };
        self.peers.insert(host, peer);
    }

    fn replace(&mut self, record: Record) {
        let Some(peer) = self.peers.get_mut(&record.host) else {
            return;
        };
        let before = std::mem::replace(&mut peer.record, record.clone());
        if before.standing != record.standing {
            peer.since = self.now;
        }
        if !before.standing.is_present() {
            peer.misses = 0;
        }
        for side in [&before, &record] {
            if side.standing.is_present() {
                self.digest ^= side.digest();
            }
        }
        self.rumors.add(&record.host);
        self.changes.extend(differences(&before, &record));
    }
}

fn differences(before: &Record, after: &Record) -> Vec<Change> {
    let host = || after.host.clone();
    let mut changes = Vec::new();
    match (before.standing, after.standing) {
        (from, to) if from == to => {}
        (_, Standing::Dead) => changes.push(Change::Died(host())),
        (_, Standing::Left) => changes.push(Change::Left(host())),
        (Standing::Dead | Standing::Left, _) => changes.push(Change::Joined(host())),
        (_, Standing::Alive) => changes.push(Change::Cleared(host())),
        (_, Standing::Suspect) => changes.push(Change::Suspected(host())),
    }
    if before.version.run != after.version.run && after.standing.is_present() {
        changes.push(Change::Restarted(host()));
    }
    if !before.profile.draining && after.profile.draining {
        changes.push(Change::Draining(host()));
    }
    if before.profile.load != after.profile.load {
        changes.push(Change::LoadChanged(host()));
    }
    changes
}
