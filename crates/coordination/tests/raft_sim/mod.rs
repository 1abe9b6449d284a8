//! Runs a group of voters in virtual time under a seeded schedule of faults.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod check;
pub mod client;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coordination::lease::MAX_CLOCK_DRIFT_PERMILLE;
use coordination::quorum::Change;
use coordination::quorum::Member;
use coordination::quorum::MemberId;
use coordination::raft::Effect;
use coordination::raft::Event;
use coordination::raft::Raft;
use coordination::raft::Role;
use coordination::raft_entry::Entry;
use coordination::raft_entry::Payload;
use coordination::raft_entry::Record;
use coordination::raft_entry::Recovered;
use coordination::raft_message::Envelope;
use coordination::raft_message::Token;
use coordination::raft_settings::Settings;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;
use coordination::state_machine::StateMachine;
use state::time::Instant;

const ASK_AGAIN: u64 = 100;
const ASK_LIMIT: u64 = 60_000;
const COMPACT_EVERY: u64 = 12;
const PERMILLE: u32 = 1_000;
const TICK: u64 = 10;

/// Breaks one safety rule on purpose.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Flaw {
    #[default]
    None,
    SkipSync,
    TrustName,
}

/// Bounds the faults of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    pub delay: u64,
    pub duplicated: u32,
    pub lost: u32,
    pub sync: u64,
}

impl FaultRates {
    pub const CALM: Self = Self {
        delay: 3,
        duplicated: 0,
        lost: 0,
        sync: 4,
    };
    pub const STORM: Self = Self {
        delay: 60,
        duplicated: 100,
        lost: 100,
        sync: 40,
    };
}

/// Tells a client what became of its request.
#[derive(Clone, Debug)]
pub enum Reply {
    Answer(Answer),
    Read(Box<StateMachine>),
    Refused,
}

#[derive(Clone, Debug)]
pub enum Request {
    Command(Command),
    Read,
}

#[derive(Debug)]
enum Happening {
    Deliver(Envelope),
    Reply(u64, Reply),
    Request(usize, u64, Request),
    Synced(usize, u64, u64),
    Tick,
}

#[derive(Debug, Default)]
pub struct Disk {
    pub identity: MemberId,
    pub synced: Recovered,
    unsynced: Vec<(u64, Vec<Record>)>,
}

pub struct Host {
    clock_permille: u64,
    compacted: u64,
    pub disk: Disk,
    epoch: u64,
    pub applied: u64,
    pub machine: StateMachine,
    pub raft: Option<Raft>,
    reads: Vec<(u64, u64)>,
    waiting: BTreeMap<u64, (u64, u64)>,
}

pub struct Sim {
    pub blocked: BTreeSet<(usize, usize)>,
    pub flaw: Flaw,
    pub hosts: Vec<Host>,
    identities: u64,
    pub leaders: BTreeMap<u64, MemberId>,
    pub now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    pub replies: Vec<(u64, Reply)>,
    pub rng: ChaCha8Rng,
    serial: u64,
    pub fault_rates: FaultRates,
}

pub fn member(host: usize) -> Member {
    Member {
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + host as u16)),
        name: format!("h{host}"),
        votes: true,
    }
}

impl Sim {
    /// Returns a group of `voters` hosts, all of them voters, with a leader.
    pub fn new(seed: u64, voters: usize, flaw: Flaw) -> Self {
        let mut sim = Self {
            blocked: BTreeSet::new(),
            flaw,
            happenings: BTreeMap::new(),
            hosts: Vec::new(),
            identities: 0,
            leaders: BTreeMap::new(),
            now: 0,
            queue: BinaryHeap::new(),
            replies: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            serial: 0,
            fault_rates: FaultRates::CALM,
        };
        for _ in 0..voters {
            let skew = sim.rng.random_range(0..=2 * MAX_CLOCK_DRIFT_PERMILLE);
            sim.hosts.push(Host {
                applied: 0,
                clock_permille: 1_000 - MAX_CLOCK_DRIFT_PERMILLE + skew,
                compacted: 0,
                disk: Disk::default(),
                epoch: 0,
                machine: StateMachine::default(),
                raft: None,
                reads: Vec::new(),
                waiting: BTreeMap::new(),
            });
        }
        (0..voters).for_each(|host| sim.lose_disk(host));
        sim.schedule(TICK, Happening::Tick);
        sim.step(0, Event::Bootstrap(member(0)));
        sim.until(60_000, |sim| sim.whole());
        sim
    }

    /// Stops a host and drops a random part of what it had not synced.
    pub fn crash(&mut self, host: usize) {
        let unsynced = std::mem::take(&mut self.hosts[host].disk.unsynced);
        let kept = self.rng.random_range(0..=unsynced.len());
        let host = &mut self.hosts[host];
        host.epoch += 1;
        host.raft = None;
        for record in unsynced.into_iter().take(kept).flat_map(|(_, r)| r) {
            host.disk.synced.apply(record);
        }
    }

    /// Starts a host from its disk.
    pub fn start(&mut self, host: usize) {
        let seed = self.rng.random();
        let now = self.clock(host);
        let host = &mut self.hosts[host];
        let settings = Settings::default()
            .max_uncommitted_entries(64)
            .max_batch_bytes(300)
            .election_timeout_ms(200, 200)
            .heartbeat_interval_ms(40)
            .max_chunk_bytes(200)
            .window(3);
        let recovered = host.disk.synced.clone();
        host.applied = recovered.snapshot.meta.position.index;
        host.compacted = host.applied;
        host.machine = match host.applied {
            0 => StateMachine::default(),
            _ => StateMachine::restore(&recovered.snapshot.data).expect("snapshot decodes"),
        };
        host.reads.clear();
        host.waiting.clear();
        host.raft = Some(Raft::new(
            host.disk.identity,
            settings,
            seed,
            now,
            recovered,
        ));
    }

    /// Replaces a host's disk by an empty one and starts it.
    pub fn lose_disk(&mut self, host: usize) {
        self.crash(host);
        self.identities += 1;
        let identity = match self.flaw {
            Flaw::TrustName if self.hosts[host].disk.identity != MemberId::default() => {
                self.hosts[host].disk.identity
            }
            _ => MemberId(self.identities),
        };
        self.hosts[host].disk = Disk {
            identity,
            ..Disk::default()
        };
        self.start(host);
    }

    /// Returns the host that leads in the newest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &usize| {
            let raft = self.hosts[*host].raft.as_ref();
            raft.is_some_and(|raft| raft.role() == Role::Leader)
        };
        let term = |host: &usize| self.hosts[*host].raft.as_ref().map(Raft::term);
        (0..self.hosts.len()).filter(leads).max_by_key(term)
    }

    /// Returns whether all hosts run and are the voters, no one else is, and all have applied
    /// the same.
    pub fn whole(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let running = self.hosts.iter().filter_map(|host| host.raft.as_ref());
        let mut own: Vec<MemberId> = running.map(Raft::identity).collect();
        own.sort();
        let Some(raft) = self.hosts[leader].raft.as_ref() else {
            return false;
        };
        let last = raft.last_position().index;
        own.len() == self.hosts.len()
            && raft.config().members.len() == own.len()
            && raft.config().voters().eq(own)
            && self.hosts.iter().all(|host| host.applied == last)
    }

    /// Hands a request to a host; the reply may get lost.
    pub fn request(&mut self, host: usize, id: u64, request: Request) {
        let delay = self.delay();
        self.schedule(delay, Happening::Request(host, id, request));
    }

    /// Sends a command to whoever leads until it is answered.
    pub fn ask(&mut self, id: u64, command: &Command) -> Answer {
        let end = self.now + ASK_LIMIT;
        loop {
            assert!(self.now < end, "no answer in {ASK_LIMIT} ms");
            if let Some(leader) = self.leader() {
                self.request(leader, id, Request::Command(command.clone()));
            }
            self.run(ASK_AGAIN);
            let replies = std::mem::take(&mut self.replies);
            let answer = replies.into_iter().find_map(|reply| match reply {
                (found, Reply::Answer(answer)) if found == id => Some(answer),
                _ => None,
            });
            if let Some(answer) = answer {
                return answer;
            }
        }
    }

    /// Cuts the links from and to a host.
    pub fn cut(&mut self, host: usize, sends: bool, receives: bool) {
        for other in 0..self.hosts.len() {
            if sends {
                self.blocked.insert((host, other));
            }
            if receives {
                self.blocked.insert((other, host));
            }
        }
    }

    /// Runs until `done` holds.
    pub fn until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !done(self) {
            assert!(self.now < end, "nothing came of it in {limit} ms");
            self.run(TICK);
        }
    }

    /// Runs for a while.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(Reverse((at, serial))) = self.queue.peek().copied()
            && at <= end
        {
            self.queue.pop();
            self.now = at;
            if let Some(happening) = self.happenings.remove(&serial) {
                self.happen(happening);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Deliver(envelope) => {
                let found = |host: &Host| host.disk.identity == envelope.to;
                if let Some(host) = self.hosts.iter().position(found) {
                    self.step(host, Event::Message(envelope));
                }
            }
            Happening::Reply(id, reply) => self.replies.push((id, reply)),
            Happening::Request(host, id, request) => self.serve(host, id, request),
            Happening::Synced(host, epoch, sequence) => {
                if self.hosts[host].epoch == epoch {
                    self.sync(host, sequence);
                    self.step(host, Event::Persisted(sequence));
                }
            }
            Happening::Tick => {
                self.schedule(TICK, Happening::Tick);
                (0..self.hosts.len()).for_each(|host| self.step(host, Event::Tick));
                self.operate();
            }
        }
    }

    fn serve(&mut self, host: usize, id: u64, request: Request) {
        if self.hosts[host].raft.is_none() {
            return;
        }
        match request {
            Request::Command(command) => {
                let bytes = command.encode().expect("command encodes");
                self.step(host, Event::Propose(vec![(Token(id), bytes.into())]));
            }
            Request::Read => self.step(host, Event::Read(Token(id))),
        }
    }

    /// Does what an operator does after a loss: adds who is new, promotes it, removes who is gone.
    fn operate(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let Some(raft) = self.hosts[leader].raft.as_ref() else {
            return;
        };
        let members = &raft.config().members;
        let mut changes = Vec::new();
        for (host, known) in self.hosts.iter().enumerate() {
            match members.get(&known.disk.identity) {
                None => changes.push(Change::Add(known.disk.identity, member(host))),
                Some(member) if !member.votes => {
                    changes.push(Change::Promote(known.disk.identity));
                }
                Some(_) => {}
            }
        }
        if changes.is_empty() {
            let own = |id: &MemberId| self.hosts.iter().any(|host| host.disk.identity == *id);
            let gone = members.keys().find(|id| !own(id));
            changes.extend(gone.map(|id| Change::Remove(*id)));
        }
        if let Some(change) = changes.into_iter().next() {
            self.step(leader, Event::Change(Token(0), change));
        }
    }

    fn step(&mut self, host: usize, event: Event) {
        let now = self.clock(host);
        let Some(raft) = self.hosts[host].raft.as_mut() else {
            return;
        };
        let effects = raft.step(now, event);
        if raft.role() == Role::Leader {
            let (term, identity) = (raft.term(), raft.identity());
            let first = *self.leaders.entry(term).or_insert(identity);
            assert_eq!(first, identity, "two leaders in term {term}");
        }
        for effect in effects {
            self.effect(host, effect);
        }
        self.compact(host);
    }

    fn effect(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Accepted(token, position) => {
                let waiting = (position.term, token.0);
                self.hosts[host].waiting.insert(position.index, waiting);
            }
            Effect::Apply(entries) => self.apply(host, &entries),
            Effect::Persist { records, sequence } => {
                self.hosts[host].disk.unsynced.push((sequence, records));
                if self.flaw == Flaw::SkipSync {
                    return self.step(host, Event::Persisted(sequence));
                }
                let slow = self.rng.random_range(1..=self.fault_rates.sync);
                let epoch = self.hosts[host].epoch;
                self.schedule(slow, Happening::Synced(host, epoch, sequence));
            }
            Effect::Read(token, index) => {
                self.hosts[host].reads.push((index, token.0));
                self.answer_reads(host);
            }
            Effect::Refused(token, _) => self.reply(token.0, Reply::Refused),
            Effect::Restore(snapshot) => {
                let host = &mut self.hosts[host];
                host.machine = StateMachine::restore(&snapshot.data).expect("snapshot decodes");
                host.applied = snapshot.meta.position.index;
                host.compacted = host.applied;
                host.waiting.clear();
            }
            Effect::Send(envelope) => self.send(host, envelope),
        }
    }

    fn apply(&mut self, host: usize, entries: &[Entry]) {
        for entry in entries {
            let known = &mut self.hosts[host];
            assert_eq!(known.applied + 1, entry.position.index, "gap");
            known.applied = entry.position.index;
            let waiting = known.waiting.remove(&entry.position.index);
            let Payload::Command(bytes) = &entry.payload else {
                continue;
            };
            let command = Command::decode(bytes).expect("command decodes");
            let answer = known.machine.apply(entry.log_time_ms, &command);
            if let Some((term, id)) = waiting
                && term == entry.position.term
            {
                self.reply(id, Reply::Answer(answer));
            }
        }
        self.answer_reads(host);
    }

    fn answer_reads(&mut self, host: usize) {
        let known = &mut self.hosts[host];
        let applied = known.applied;
        let machine = known.machine.clone();
        let ready = known.reads.extract_if(.., |(index, _)| *index <= applied);
        for (_, id) in ready.collect::<Vec<_>>() {
            self.reply(id, Reply::Read(Box::new(machine.clone())));
        }
    }

    fn compact(&mut self, host: usize) {
        let known = &mut self.hosts[host];
        if known.raft.is_none() || known.applied < known.compacted + COMPACT_EVERY {
            return;
        }
        known.compacted = known.applied;
        let data: Arc<[u8]> = known.machine.snapshot().expect("state encodes").into();
        let index = known.applied;
        self.step(host, Event::Compact { data, index });
    }

    fn sync(&mut self, host: usize, sequence: u64) {
        let disk = &mut self.hosts[host].disk;
        let done = disk
            .unsynced
            .extract_if(.., |(number, _)| *number <= sequence);
        for record in done.collect::<Vec<_>>().into_iter().flat_map(|(_, r)| r) {
            disk.synced.apply(record);
        }
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        let found = |host: &Host| host.disk.identity == envelope.to;
        let Some(to) = self.hosts.iter().position(found) else {
            return;
        };
        let copies = match self.rng.random_range(0..PERMILLE) {
            roll if roll < self.fault_rates.lost => 0,
            roll if roll < self.fault_rates.lost + self.fault_rates.duplicated => 2,
            _ => 1,
        };
        if self.blocked.contains(&(from, to)) {
            return;
        }
        for _ in 0..copies {
            let delay = self.delay();
            self.schedule(delay, Happening::Deliver(envelope.clone()));
        }
    }

    fn reply(&mut self, id: u64, reply: Reply) {
        if self.rng.random_range(0..PERMILLE) >= self.fault_rates.lost {
            let delay = self.delay();
            self.schedule(delay, Happening::Reply(id, reply));
        }
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..=self.fault_rates.delay)
    }

    fn schedule(&mut self, after: u64, happening: Happening) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.happenings.insert(self.serial, happening);
    }

    fn clock(&self, host: usize) -> Instant {
        Instant(self.now * self.hosts[host].clock_permille / 1_000)
    }
}
