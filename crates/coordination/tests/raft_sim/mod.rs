//! Simulation of a Raft group in virtual time: network, disks and clocks follow a seeded generator.

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
use coordination::voters;
use coordination::voters::HostFolder;
use state::time::Instant;

const RESEND_INTERVAL_MS: u64 = 100;
const EXECUTE_LIMIT_MS: u64 = 60_000;
const COMPACT_INTERVAL_ENTRIES: u64 = 12;
const PERMILLE: u32 = 1_000;
const TICK_MS: u64 = 10;

/// A safety rule that the simulation breaks on purpose, to show that the checks detect it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Flaw {
    #[default]
    None,
    /// Confirms a write before it is synced.
    SkipSync,
    /// Keeps the id of a member whose disk was replaced by an empty one.
    ReuseId,
}

/// Delays and fault rates of the network and the disks; rates are in parts per thousand.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    pub max_delay_ms: u64,
    pub duplicated: u32,
    pub lost: u32,
    pub max_sync_ms: u64,
}

impl FaultRates {
    pub const LIGHT: Self = Self {
        max_delay_ms: 3,
        duplicated: 0,
        lost: 0,
        max_sync_ms: 4,
    };
    pub const HEAVY: Self = Self {
        max_delay_ms: 60,
        duplicated: 100,
        lost: 100,
        max_sync_ms: 40,
    };
}

/// Reply to a request of a client.
#[derive(Clone, Debug)]
pub enum Reply {
    Answer(Answer),
    Read(Box<StateMachine>),
    Refused,
}

/// Request of a client to one host.
#[derive(Clone, Debug)]
pub enum Request {
    Command(Command),
    Read,
}

/// A scheduled event of the simulation.
#[derive(Debug)]
enum SimEvent {
    Deliver(Envelope),
    /// Request id and reply.
    Reply(u64, Reply),
    /// Host, request id and request.
    Request(usize, u64, Request),
    /// Host, its epoch and the sequence number of the write that is synced.
    Synced(usize, u64, u64),
    Tick,
}

/// A simulated disk, which loses what is not synced in a crash.
#[derive(Debug, Default)]
pub struct Disk {
    pub identity: MemberId,
    pub synced: Recovered,
    /// Sequence number and records of each write that is not synced.
    unsynced: Vec<(u64, Vec<Record>)>,
}

/// A host with its disk; the Raft member is `None` while the host is down.
pub struct Host {
    clock_rate_permille: u64,
    compacted_index: u64,
    pub disk: Disk,
    /// Number of crashes, so that a sync from before a crash has no effect after it.
    epoch: u64,
    pub applied_index: u64,
    pub machine: StateMachine,
    pub raft: Option<Raft>,
    /// Index to apply first and request id of each read.
    pending_reads: Vec<(u64, u64)>,
    /// Term and request id of each proposal, by log index.
    pending_commands: BTreeMap<u64, (u64, u64)>,
}

/// A simulated Raft group, one member per host.
pub struct Sim {
    /// Pairs of sender and receiver whose messages are dropped.
    pub blocked: BTreeSet<(usize, usize)>,
    pub flaw: Flaw,
    pub hosts: Vec<Host>,
    last_identity: u64,
    /// The leader of each term, to check that there is only one.
    pub leaders: BTreeMap<u64, MemberId>,
    /// Whether the leader has its members follow the folders of the hosts that run.
    pub mends: bool,
    pub now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    pub replies: Vec<(u64, Reply)>,
    pub rng: ChaCha8Rng,
    sequence_number: u64,
    settings: Settings,
    pub fault_rates: FaultRates,
}

/// Returns the membership record of a host.
pub fn member(host: usize) -> Member {
    Member {
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + host as u16)),
        name: format!("h{host}"),
        votes: true,
    }
}

impl Sim {
    /// Returns a group of `voters` hosts that all vote, with an elected leader.
    pub fn new(seed: u64, voters: usize, flaw: Flaw) -> Self {
        let settings = Settings::default()
            .max_uncommitted_entries(64)
            .max_batch_bytes(300)
            .election_timeout_ms(200, 200)
            .heartbeat_interval_ms(40)
            .max_chunk_bytes(200)
            .window(3);
        Self::with_settings(seed, voters, flaw, settings)
    }

    /// Returns a group whose members have these settings.
    pub fn with_settings(seed: u64, voters: usize, flaw: Flaw, settings: Settings) -> Self {
        let mut sim = Self {
            blocked: BTreeSet::new(),
            flaw,
            events: BTreeMap::new(),
            hosts: Vec::new(),
            last_identity: 0,
            leaders: BTreeMap::new(),
            mends: true,
            now: 0,
            queue: BinaryHeap::new(),
            replies: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence_number: 0,
            settings,
            fault_rates: FaultRates::LIGHT,
        };
        (0..voters).for_each(|_| sim.add_host());
        (0..voters).for_each(|host| sim.lose_disk(host));
        sim.schedule(TICK_MS, SimEvent::Tick);
        sim.step(0, Event::Bootstrap(member(0)));
        sim.run_until(60_000, |sim| sim.has_recovered());
        sim
    }

    /// Adds a host, which starts once it gets a disk.
    pub fn add_host(&mut self) {
        let skew = self.rng.random_range(0..=2 * MAX_CLOCK_DRIFT_PERMILLE);
        self.hosts.push(Host {
            applied_index: 0,
            clock_rate_permille: 1_000 - MAX_CLOCK_DRIFT_PERMILLE + skew,
            compacted_index: 0,
            disk: Disk::default(),
            epoch: 0,
            machine: StateMachine::default(),
            raft: None,
            pending_reads: Vec::new(),
            pending_commands: BTreeMap::new(),
        });
    }

    /// Crashes a host, which loses a random part of its writes that are not synced.
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

    /// Starts a host from what its disk holds.
    pub fn start(&mut self, host: usize) {
        let seed = self.rng.random();
        let now = self.local_time(host);
        let settings = self.settings.clone();
        let host = &mut self.hosts[host];
        let recovered = host.disk.synced.clone();
        host.applied_index = recovered.snapshot.meta.position.index;
        host.compacted_index = host.applied_index;
        host.machine = match host.applied_index {
            0 => StateMachine::default(),
            _ => StateMachine::restore(&recovered.snapshot.data).expect("snapshot decodes"),
        };
        host.pending_reads.clear();
        host.pending_commands.clear();
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
        self.last_identity += 1;
        let identity = match self.flaw {
            Flaw::ReuseId if self.hosts[host].disk.identity != MemberId::default() => {
                self.hosts[host].disk.identity
            }
            _ => MemberId(self.last_identity),
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

    /// Returns whether all hosts run, exactly they are the voters, and all have applied the whole
    /// log.
    pub fn has_recovered(&self) -> bool {
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
            && self.hosts.iter().all(|host| host.applied_index == last)
    }

    /// Sends a request to a host; the reply may be lost.
    pub fn request(&mut self, host: usize, id: u64, request: Request) {
        let delay = self.random_delay();
        self.schedule(delay, SimEvent::Request(host, id, request));
    }

    /// Sends a command to the present leader again and again until it is answered.
    pub fn execute(&mut self, id: u64, command: &Command) -> Answer {
        let end = self.now + EXECUTE_LIMIT_MS;
        loop {
            assert!(self.now < end, "no answer in {EXECUTE_LIMIT_MS} ms");
            if let Some(leader) = self.leader() {
                self.request(leader, id, Request::Command(command.clone()));
            }
            self.run(RESEND_INTERVAL_MS);
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

    /// Cuts all outbound links, all inbound links or both of a host.
    pub fn cut_links(&mut self, host: usize, outbound: bool, inbound: bool) {
        for other in 0..self.hosts.len() {
            if outbound {
                self.blocked.insert((host, other));
            }
            if inbound {
                self.blocked.insert((other, host));
            }
        }
    }

    /// Runs until `done` holds, and panics after `limit` milliseconds.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !done(self) {
            assert!(self.now < end, "condition does not hold after {limit} ms");
            self.run(TICK_MS);
        }
    }

    /// Runs the simulation for `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(Reverse((at, sequence_number))) = self.queue.peek().copied()
            && at <= end
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&sequence_number) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Deliver(envelope) => {
                let found = |host: &Host| host.disk.identity == envelope.to;
                if let Some(host) = self.hosts.iter().position(found) {
                    self.step(host, Event::Message(envelope));
                }
            }
            SimEvent::Reply(id, reply) => self.replies.push((id, reply)),
            SimEvent::Request(host, id, request) => self.handle_request(host, id, request),
            SimEvent::Synced(host, epoch, sequence) => {
                if self.hosts[host].epoch == epoch {
                    self.sync(host, sequence);
                    self.step(host, Event::Persisted(sequence));
                }
            }
            SimEvent::Tick => {
                self.schedule(TICK_MS, SimEvent::Tick);
                (0..self.hosts.len()).for_each(|host| self.step(host, Event::Tick));
                if self.mends {
                    self.repair_membership();
                }
            }
        }
    }

    fn handle_request(&mut self, host: usize, id: u64, request: Request) {
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

    /// Makes the first membership change that the leader accepts, as the upkeep of voters does.
    fn repair_membership(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let Some(raft) = self.hosts[leader].raft.as_ref() else {
            return;
        };
        let running = self.hosts.iter().enumerate();
        let running = running.filter(|(_, host)| host.raft.is_some());
        let folders = running.map(|(number, host)| {
            let Member { address, name, .. } = member(number);
            HostFolder {
                address,
                identity: host.disk.identity,
                name,
            }
        });
        let folders: Vec<HostFolder> = folders.collect();
        let config = raft.config().clone();
        for step in voters::steps(&config, &folders, None) {
            let change = step.into_iter().next().expect("a step has a change");
            self.step(leader, Event::Change(Token(0), change));
            let raft = self.hosts[leader].raft.as_ref();
            if raft.is_none_or(|raft| *raft.config() != config) {
                return;
            }
        }
    }

    pub fn step(&mut self, host: usize, event: Event) {
        let now = self.local_time(host);
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
            self.carry_out(host, effect);
        }
        self.compact(host);
    }

    fn carry_out(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Accepted(token, position) => {
                let proposal = (position.term, token.0);
                self.hosts[host]
                    .pending_commands
                    .insert(position.index, proposal);
            }
            Effect::Apply(entries) => self.apply(host, &entries),
            Effect::Persist { records, sequence } => {
                self.hosts[host].disk.unsynced.push((sequence, records));
                if self.flaw == Flaw::SkipSync {
                    return self.step(host, Event::Persisted(sequence));
                }
                let sync_ms = self.rng.random_range(1..=self.fault_rates.max_sync_ms);
                let epoch = self.hosts[host].epoch;
                self.schedule(sync_ms, SimEvent::Synced(host, epoch, sequence));
            }
            Effect::Read(token, index) => {
                self.hosts[host].pending_reads.push((index, token.0));
                self.answer_reads(host);
            }
            Effect::Refused(token, _) => self.reply(token.0, Reply::Refused),
            Effect::Restore(snapshot) => {
                let host = &mut self.hosts[host];
                host.machine = StateMachine::restore(&snapshot.data).expect("snapshot decodes");
                host.applied_index = snapshot.meta.position.index;
                host.compacted_index = host.applied_index;
                host.pending_commands.clear();
            }
            Effect::Send(envelope) => self.send(host, envelope),
        }
    }

    fn apply(&mut self, host: usize, entries: &[Entry]) {
        for entry in entries {
            let known = &mut self.hosts[host];
            assert_eq!(
                known.applied_index + 1,
                entry.position.index,
                "gap in the applied entries"
            );
            known.applied_index = entry.position.index;
            let proposal = known.pending_commands.remove(&entry.position.index);
            let Payload::Command(bytes) = &entry.payload else {
                continue;
            };
            let command = Command::decode(bytes).expect("command decodes");
            let answer = known.machine.apply(entry.log_time_ms, &command);
            if let Some((term, id)) = proposal
                && term == entry.position.term
            {
                self.reply(id, Reply::Answer(answer));
            }
        }
        self.answer_reads(host);
    }

    fn answer_reads(&mut self, host: usize) {
        let known = &mut self.hosts[host];
        let applied_index = known.applied_index;
        let machine = known.machine.clone();
        let ready = known
            .pending_reads
            .extract_if(.., |(index, _)| *index <= applied_index);
        for (_, id) in ready.collect::<Vec<_>>() {
            self.reply(id, Reply::Read(Box::new(machine.clone())));
        }
    }

    fn compact(&mut self, host: usize) {
        let known = &mut self.hosts[host];
        if known.raft.is_none()
            || known.applied_index < known.compacted_index + COMPACT_INTERVAL_ENTRIES
        {
            return;
        }
        known.compacted_index = known.applied_index;
        let data: Arc<[u8]> = known.machine.snapshot().expect("state encodes").into();
        let index = known.applied_index;
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
            let delay = self.random_delay();
            self.schedule(delay, SimEvent::Deliver(envelope.clone()));
        }
    }

    fn reply(&mut self, id: u64, reply: Reply) {
        if self.rng.random_range(0..PERMILLE) >= self.fault_rates.lost {
            let delay = self.random_delay();
            self.schedule(delay, SimEvent::Reply(id, reply));
        }
    }

    fn random_delay(&mut self) -> u64 {
        self.rng.random_range(1..=self.fault_rates.max_delay_ms)
    }

    fn schedule(&mut self, after: u64, event: SimEvent) {
        self.sequence_number += 1;
        self.queue
            .push(Reverse((self.now + after, self.sequence_number)));
        self.events.insert(self.sequence_number, event);
    }

    fn local_time(&self, host: usize) -> Instant {
        Instant(self.now * self.hosts[host].clock_rate_permille / 1_000)
    }
}
