//! The records of all hosts, and the rules by which a newer record replaces an older one.
//!
//! Each host writes its own record. Other hosts only change the standing in it, when a probe fails.
//! A host that learns that others suspect it, or take it for dead, refutes this by a record with a
//! greater version.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::dissemination::DisseminationQueue;
use crate::dissemination::MAX_UPDATES_PER_MESSAGE;
use crate::gossip::Change;
use crate::host::Profile;
use crate::host::Record;
use crate::host::Standing;
use crate::host::Version;
use crate::view::Member;
use crate::view::View;
use state::time::Instant;

/// Time for which the record of a dead host, or of one that left, is kept.
const FORGET_AFTER_MS: u64 = 24 * 3_600_000;
/// Number of successive indirect answers after which the direct link to a host counts as cut.
const INDIRECT_ACKS_UNTIL_CUT: u32 = 2;

/// The state of another host, as this host sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Number of successive probes that the host answered only through other hosts.
    pub indirect_acks: u32,
    /// Most recent record of the host.
    pub record: Record,
    /// Time since which the host has its present standing.
    pub since: Instant,
}

impl Peer {
    /// Returns the address at which the host answers other daemons.
    pub fn address(&self) -> SocketAddr {
        self.record.profile.peer
    }

    /// Returns whether the host answers this one directly.
    pub fn is_direct(&self) -> bool {
        self.indirect_acks < INDIRECT_ACKS_UNTIL_CUT
    }

    /// Returns whether the host is alive or suspected.
    pub fn is_present(&self) -> bool {
        self.record.standing.is_present()
    }
}

/// The records of this host and of all others.
#[derive(Clone, Debug)]
pub struct Roster {
    changes: Vec<Change>,
    digest: u64,
    me: Record,
    now: Instant,
    disputed_version: Option<Version>,
    peers: BTreeMap<String, Peer>,
    queue: DisseminationQueue,
}

impl Roster {
    /// Returns a roster that contains only this host; `run` identifies its process.
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
        let mut queue = DisseminationQueue::default();
        queue.add(&me.host);
        Self {
            changes: Vec::new(),
            digest: me.digest(),
            me,
            now: Instant::default(),
            disputed_version: None,
            peers: BTreeMap::new(),
            queue,
        }
    }

    /// Sets the time of the changes that follow.
    pub fn set_now(&mut self, now: Instant) {
        self.now = now;
    }

    /// Returns the record of this host.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Returns another host by its name.
    pub fn get(&self, host: &str) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// Iterates over the other hosts, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the number of other hosts that are alive or suspected.
    pub fn present_count(&self) -> usize {
        self.iter().filter(|peer| peer.is_present()).count()
    }

    /// Returns the digest of the records of all present hosts; equal digests mean equal records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all records, that of this host included.
    pub fn records(&self) -> Vec<Record> {
        let peers = self.iter().map(|peer| peer.record.clone());
        peers.chain([self.me.clone()]).collect()
    }

    /// Returns whether no record is left to spread.
    pub fn is_fully_disseminated(&self) -> bool {
        self.queue.is_empty()
    }

    /// Spreads the record of `host` again from the start.
    pub fn disseminate(&mut self, host: &str) {
        self.queue.add(host);
    }

    /// Returns the records to piggyback on the next message, and counts them as sent.
    pub fn take_updates(&mut self) -> Vec<Record> {
        let hosts = self.queue.take_next(self.peers.len() + 1);
        let record = |host: String| match self.peers.get(&host) {
            Some(peer) => Some(peer.record.clone()),
            None => (host == self.me.host).then(|| self.me.clone()),
        };
        hosts.into_iter().filter_map(record).collect()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Adds a change to those that [`Roster::take_changes`] returns.
    pub fn record_change(&mut self, change: Change) {
        self.changes.push(change);
    }

    /// Returns this host's view of the fleet; `isolated` tells whether no other host answers it.
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

    /// Replaces each record by a given one that supersedes it.
    pub fn merge(&mut self, records: impl IntoIterator<Item = Record>) {
        for record in records {
            self.merge_record(record);
        }
    }

    /// Merges all records of another host.
    ///
    /// When more of them are new than fit into one message, none is spread further: other hosts can
    /// get them from the same host.
    pub fn merge_all(&mut self, records: Vec<Record>) {
        let before = self.queue.clone();
        self.merge(records);
        if self.queue.len() > before.len() + MAX_UPDATES_PER_MESSAGE {
            self.queue = before;
        }
    }

    /// Changes the standing of `host` as this host sees it.
    pub fn set_standing(&mut self, host: &str, standing: Standing) {
        if let Some(peer) = self.peers.get(host) {
            let mut record = peer.record.clone();
            record.standing = standing;
            self.merge_record(record);
        }
    }

    /// Records that `host` answered a probe, directly or only through another host.
    pub fn record_ack(&mut self, host: &str, direct: bool) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let was_direct = peer.is_direct();
        peer.indirect_acks = match direct {
            false => peer.indirect_acks.saturating_add(1),
            true => 0,
        };
        match (was_direct, peer.is_direct()) {
            (false, true) => self.record_change(Change::LinkMended(host.to_owned())),
            (true, false) => self.record_change(Change::LinkCut(host.to_owned())),
            _ => {}
        }
    }

    /// Restarts the timeout of every suspicion.
    pub fn restart_suspicions(&mut self) {
        for peer in self.peers.values_mut() {
            if peer.record.standing == Standing::Suspect {
                peer.since = self.now;
            }
        }
    }

    /// Declares every host dead that has been suspected for `timeout_ms` milliseconds, and removes
    /// hosts that have been gone for a day.
    pub fn expire_suspicions(&mut self, timeout_ms: u64) {
        let now = self.now;
        let dead: Vec<String> = self
            .iter()
            .filter(|peer| peer.record.standing == Standing::Suspect)
            .filter(|peer| now.since(peer.since) >= timeout_ms)
            .map(|peer| peer.record.host.clone())
            .collect();
        for host in dead {
            self.set_standing(&host, Standing::Dead);
        }
        self.peers
            .retain(|_, peer| peer.is_present() || now.since(peer.since) < FORGET_AFTER_MS);
    }

    /// Changes the profile of this host and gives its record a greater version.
    pub fn update_profile(&mut self, change: impl FnOnce(&mut Profile)) {
        let mut profile = self.me.profile.clone();
        change(&mut profile);
        if profile != self.me.profile {
            let version = self.next_version(self.me.version);
            self.set_own_record(profile, version, self.me.standing);
        }
    }

    /// Marks this host as having left the fleet.
    pub fn leave(&mut self) {
        let version = self.next_version(self.me.version);
        self.set_own_record(self.me.profile.clone(), version, Standing::Left);
    }

    /// Refutes records of other hosts that supersede this host's own, by a record with a greater
    /// version; returns whether there were any.
    pub fn refute(&mut self) -> bool {
        let Some(version) = self.disputed_version.take() else {
            return false;
        };
        if self.me.standing == Standing::Left || version < self.me.version {
            return false;
        }
        let version = self.next_version(version);
        self.set_own_record(self.me.profile.clone(), version, Standing::Alive);
        true
    }

    /// Returns a version greater than `seen`. The run grows too if `seen` is of a greater run than
    /// this process, because the clock went back between two starts or another process uses the
    /// name of this host.
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

    fn set_own_record(&mut self, profile: Profile, version: Version, standing: Standing) {
        self.digest ^= self.me.digest();
        self.me.profile = profile;
        self.me.standing = standing;
        self.me.version = version;
        self.digest ^= self.me.digest();
        self.queue.add(&self.me.host);
    }

    /// Takes a record that is new or supersedes the present one of the same host.
    fn merge_record(&mut self, record: Record) {
        if record.host == self.me.host {
            self.check_own_record(&record);
            return;
        }
        match self.peers.get(&record.host) {
            None => self.insert(record),
            Some(known) if record.supersedes(&known.record) => self.replace(record),
            Some(_) => {}
        }
    }

    /// Notices a record by which others dispute the one of this host; see [`Roster::refute`].
    fn check_own_record(&mut self, record: &Record) {
        if !record.supersedes(&self.me) {
            return;
        }
        let other_address = record.profile.peer != self.me.profile.peer;
        if other_address && record.standing == Standing::Alive {
            self.record_change(Change::NameTaken(record.profile.peer));
        }
        self.disputed_version = Some(
            self.disputed_version
                .unwrap_or_default()
                .max(record.version),
        );
    }

    fn insert(&mut self, record: Record) {
        let host = record.host.clone();
        if record.standing.is_present() {
            self.digest ^= record.digest();
            self.record_change(Change::Joined(host.clone()));
        }
        self.queue.add(&host);
        let peer = Peer {
            indirect_acks: 0,
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
            peer.indirect_acks = 0;
        }
        for entry in [&before, &record] {
            if entry.standing.is_present() {
                self.digest ^= entry.digest();
            }
        }
        self.queue.add(&record.host);
        self.changes.extend(changes_between(&before, &record));
    }
}

fn changes_between(before: &Record, after: &Record) -> Vec<Change> {
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
