//! Which hosts the fleet has, found out by probes and spread by gossip.
//!
//! Each host probes one other in each period, in a shuffled round. A host that does not answer is
//! asked through others; one that answers nobody is suspected, and dead when it does not object in
//! time. What changed travels with the probes and their answers, so that the cost for each host
//! does not depend on how many there are. A digest of all reports shows when two hosts disagree;
//! then they exchange everything.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::gossip::Body;
use crate::gossip::CallId;
use crate::gossip::Change;
use crate::gossip::Effect;
use crate::gossip::Event;
use crate::gossip::InboundCallId;
use crate::gossip::Message;
use crate::host::Profile;
use crate::host::Standing;
use crate::roster::Peer;
use crate::roster::Roster;
use crate::view::View;
use state::time::Instant;

/// Gives the time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 100;
/// Gives the time between two probes, in milliseconds.
pub const PROBE_PERIOD_MS: u64 = 1_000;
/// Gives the time that a probe may take before others are asked, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 300;
/// Gives the time that a suspected host has to object, in milliseconds.
pub const SUSPICION_TIMEOUT_MS: u64 = 3_000;
/// Bounds how long a call that carries a message may take, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 2_000;

const BUSY_SYNC_PERIOD_MS: u64 = 10_000;
const FANOUT: usize = 2;
const GOSSIP_PERIOD_MS: u64 = 200;
const ISOLATION_MS: u64 = 5_000;
const PAUSE_MS: u64 = 2_000;
const RELAYS: usize = 3;
const REVIVE_PERIOD_MS: u64 = 5_000;
const SEED_PERIOD_MS: u64 = 500;
const SLOWEST: u64 = 4;
const SYNC_PERIOD_MS: u64 = 2_000;

/// Sets up a failure detector.
#[derive(Clone, Debug)]
pub struct Options {
    /// Names this host.
    pub host: String,
    /// Holds what this host says of itself.
    pub profile: Profile,
    /// Grows with each start of this host's process; the time of the start will do.
    pub run: u64,
    /// Holds the seed of all random choices.
    pub seed: u64,
    /// Lists the addresses to ask first.
    pub seeds: Vec<SocketAddr>,
}

#[derive(Clone, Debug)]
enum Pending {
    Exchange,
    Probe { host: String },
    Relay { host: String },
    Relayed { asked: InboundCallId, host: String },
}

#[derive(Clone, Debug)]
struct Sent {
    at: Instant,
    pending: Pending,
}

#[derive(Clone, Debug)]
struct Probe {
    asked_others: bool,
    host: String,
    since: Instant,
    waits: usize,
}

/// Detects failures of hosts and keeps the reports about them.
#[derive(Clone, Debug)]
pub struct Membership {
    calls: BTreeMap<CallId, Sent>,
    effects: Vec<Effect>,
    gossiped: Instant,
    heard: Instant,
    isolated: bool,
    next_call: u64,
    now: Option<Instant>,
    probed: Instant,
    probes: Vec<Probe>,
    revived: Instant,
    rng: ChaCha8Rng,
    roster: Roster,
    round: Vec<String>,
    seeded: Option<Instant>,
    seeds: Vec<SocketAddr>,
    slowness: u64,
    synced: Instant,
}

impl Membership {
    /// Returns a failure detector that knows only this host.
    pub fn new(options: Options) -> Self {
        let start = Instant::default();
        Self {
            calls: BTreeMap::new(),
            effects: Vec::new(),
            gossiped: start,
            heard: start,
            isolated: false,
            next_call: 0,
            now: None,
            probed: start,
            probes: Vec::new(),
            revived: start,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            roster: Roster::new(options.host, options.profile, options.run),
            round: Vec::new(),
            seeded: None,
            seeds: options.seeds,
            slowness: 1,
            synced: start,
        }
    }

    /// Takes `event` at `now` and returns what to do.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.pass_time(now);
        match event {
            Event::Answered(call, message) => self.answered(call, message),
            Event::Called(asked, message) => self.asked(asked, message),
            Event::Drain => self.roster.restate(|profile| profile.draining = true),
            Event::Failed(call) => self.failed(call),
            Event::Leave => self.leave(),
            Event::Load(load) => self.roster.restate(|profile| profile.load = load),
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::Tick => self.tick(),
        }
        let changes = self.roster.changes().into_iter().map(Effect::Changed);
        self.effects.extend(changes);
        std::mem::take(&mut self.effects)
    }

    /// Sums up all reports about hosts that are present; equal sums mean equal reports.
    pub fn digest(&self) -> u64 {
        self.roster.digest()
    }

    /// Returns what this host knows of the fleet.
    pub fn view(&self) -> View {
        self.roster.view(self.isolated)
    }

    fn now(&self) -> Instant {
        self.now.unwrap_or_default()
    }

    fn pass_time(&mut self, now: Instant) {
        let before = self.now.replace(now);
        self.roster.set_now(now);
        match before {
            None => {
                self.heard = now;
                self.gossiped = now;
                self.probed = now;
                self.revived = now;
            }
            Some(before) if now.since(before) > PAUSE_MS => self.resume(now.since(before)),
            Some(_) => {}
        }
    }

    /// Forgets all that was under way while this host stood still.
    fn resume(&mut self, gap: u64) {
        self.calls.clear();
        self.probes.clear();
        self.heard = self.now();
        self.roster.restart_suspicions();
        self.roster.note(Change::Paused(gap));
    }

    fn tick(&mut self) {
        if self.roster.object() {
            self.slow_down();
        }
        self.expire_calls();
        self.expire_probes();
        if !self.isolated {
            self.roster
                .expire(SUSPICION_TIMEOUT_MS * self.slowness.div_ceil(2));
        }
        self.notice_isolation();
        self.seek();
        self.revive();
        self.probe_next();
        self.gossip();
    }

    fn answered(&mut self, call: CallId, message: Message) {
        let Some(sent) = self.calls.remove(&call) else {
            return;
        };
        self.heard = self.now();
        self.roster.merge(message.updates);
        let from = message.from;
        match (sent.pending, message.body) {
            (Pending::Exchange, Body::PushPull(records)) => self.roster.merge_all(records),
            (Pending::Exchange, _) => {}
            (Pending::Probe { host }, Body::Ack) if host == from => self.acked(&host, true),
            (Pending::Relay { host }, Body::Ack) => self.acked(&host, false),
            (Pending::Relayed { asked, host }, Body::Ack) if host == from => {
                self.answer(asked, Body::Ack);
            }
            (pending, _) => self.unanswered(pending),
        }
        if message.digest != self.roster.digest() {
            self.sync(&from);
        }
    }

    fn asked(&mut self, asked: InboundCallId, message: Message) {
        self.roster.merge(message.updates);
        let disputed = self.roster.get(&message.from).is_some_and(|peer| {
            peer.record.standing != Standing::Alive || peer.record.version > message.version
        });
        if disputed {
            self.roster.spread(&message.from);
        }
        match message.body {
            Body::Ack | Body::Nack => self.answer(asked, Body::Nack),
            Body::Probe => self.answer(asked, Body::Ack),
            Body::PushPull(records) => {
                self.roster.merge_all(records);
                let all = self.roster.all();
                self.answer(asked, Body::PushPull(all));
            }
            Body::Relay { address, host } => {
                let pending = Pending::Relayed {
                    asked,
                    host: host.clone(),
                };
                self.ask(address, Some(host), Body::Probe, pending);
            }
        }
    }

    fn failed(&mut self, call: CallId) {
        if let Some(sent) = self.calls.remove(&call) {
            self.unanswered(sent.pending);
        }
    }

    fn unanswered(&mut self, pending: Pending) {
        match pending {
            Pending::Exchange => {}
            Pending::Probe { host } | Pending::Relay { host } => self.missed(&host),
            Pending::Relayed { asked, .. } => self.answer(asked, Body::Nack),
        }
    }

    fn leave(&mut self) {
        self.roster.leave();
        for host in self.sample(FANOUT * 2, Peer::is_present) {
            self.send(&host, Body::Probe, Pending::Exchange);
        }
    }

    fn acked(&mut self, host: &str, direct: bool) {
        self.probes.retain(|probe| probe.host != host);
        self.slowness = (self.slowness - 1).max(1);
        let before = self.roster.get(host).is_some_and(Peer::is_direct);
        self.roster.link(host, direct);
        if before && !direct {
            self.round.push(host.to_owned());
        }
    }

    /// Notes that one of the ways to a probed host gave no answer.
    fn missed(&mut self, host: &str) {
        let Some(place) = self.probes.iter().position(|probe| probe.host == host) else {
            return;
        };
        let probe = &mut self.probes[place];
        if !probe.asked_others {
            self.ask_others(place);
            return;
        }
        probe.waits = probe.waits.saturating_sub(1);
        if probe.waits == 0 {
            self.give_up(place);
        }
    }

    fn ask_others(&mut self, place: usize) {
        let host = self.probes[place].host.clone();
        let Some(address) = self.roster.get(&host).map(Peer::address) else {
            self.probes.swap_remove(place);
            return;
        };
        let relays = self.sample(RELAYS, |peer| {
            let helps = peer.is_direct() && peer.record.standing == Standing::Alive;
            helps && peer.record.host != host
        });
        let now = self.now();
        let probe = &mut self.probes[place];
        probe.asked_others = true;
        probe.since = now;
        probe.waits = relays.len();
        if relays.is_empty() {
            self.give_up(place);
        }
        for relay in relays {
            let body = Body::Relay {
                address,
                host: host.clone(),
            };
            let pending = Pending::Relay { host: host.clone() };
            self.send(&relay, body, pending);
        }
    }

    fn give_up(&mut self, place: usize) {
        let host = self.probes.swap_remove(place).host;
        let standing = self.roster.get(&host).map(|peer| peer.record.standing);
        if standing == Some(Standing::Alive) {
            self.roster.declare(&host, Standing::Suspect);
        }
    }

    /// Allows more time, because missing answers of several hosts hint at a fault of this one.
    fn slow_down(&mut self) {
        self.slowness = (self.slowness + 1).min(SLOWEST);
    }

    fn expire_calls(&mut self) {
        let now = self.now();
        let late = self.calls.iter();
        let late = late.filter(|(_, sent)| now.since(sent.at) > CALL_TIMEOUT_MS);
        let late: Vec<CallId> = late.map(|(call, _)| *call).collect();
        for call in late {
            self.failed(call);
        }
    }

    fn expire_probes(&mut self) {
        let timeout = PROBE_TIMEOUT_MS * self.slowness;
        let now = self.now();
        let is_late = |probe: &&Probe| {
            let limit = match probe.asked_others {
                false => timeout,
                true => timeout * 2,
            };
            now.since(probe.since) >= limit
        };
        let late = self.probes.iter().filter(is_late);
        let late: Vec<String> = late.map(|probe| probe.host.clone()).collect();
        for host in late {
            let Some(place) = self.probes.iter().position(|probe| probe.host == host) else {
                continue;
            };
            match self.probes[place].asked_others {
                false => self.ask_others(place),
                true => {
                    self.slow_down();
                    self.give_up(place);
                }
            }
        }
    }

    fn notice_isolation(&mut self) {
        let quiet = self.now().since(self.heard) >= ISOLATION_MS;
        let isolated = quiet && self.roster.present() > 0;
        if isolated == self.isolated {
            return;
        }
        self.isolated = isolated;
        self.roster.restart_suspicions();
        self.roster.note(match isolated {
            false => Change::Reunited,
            true => Change::Isolated,
        });
    }

    /// Asks the seeds while this host knows nobody, and now and then one that is not known.
    fn seek(&mut self) {
        let alone = self.roster.present() == 0;
        let period = match alone {
            false => REVIVE_PERIOD_MS,
            true => SEED_PERIOD_MS,
        };
        let now = self.now();
        if self.seeded.is_some_and(|at| now.since(at) < period) {
            return;
        }
        self.seeded = Some(now);
        let mut known: Vec<SocketAddr> = vec![self.roster.me().profile.peer];
        let present = self.roster.iter().filter(|peer| peer.is_present());
        known.extend(present.map(Peer::address));
        let seeds = self.seeds.iter().copied();
        let mut unknown: Vec<SocketAddr> = seeds.filter(|a| !known.contains(a)).collect();
        if !alone {
            unknown.shuffle(&mut self.rng);
            unknown.truncate(1);
        }
        for address in unknown {
            let all = self.roster.all();
            self.ask(address, None, Body::PushPull(all), Pending::Exchange);
        }
    }

    /// Asks one host that is held to be dead, so that two sides of a healed cut meet again.
    fn revive(&mut self) {
        if self.now().since(self.revived) < REVIVE_PERIOD_MS {
            return;
        }
        self.revived = self.now();
        let dead = |peer: &Peer| peer.record.standing == Standing::Dead;
        for host in self.sample(1, dead) {
            let all = self.roster.all();
            self.send(&host, Body::PushPull(all), Pending::Exchange);
        }
    }

    fn probe_next(&mut self) {
        if self.now().since(self.probed) < PROBE_PERIOD_MS {
            return;
        }
        self.probed = self.now();
        let suspect = |peer: &Peer| peer.record.standing == Standing::Suspect;
        let mut hosts = self.sample(1, suspect);
        hosts.extend(self.next_in_round());
        for host in hosts {
            self.probe(host);
        }
    }

    fn next_in_round(&mut self) -> Option<String> {
        for _ in 0..2 {
            while let Some(host) = self.round.pop() {
                if self.roster.get(&host).is_some_and(Peer::is_present) {
                    return Some(host);
                }
            }
            let present = self.roster.iter().filter(|peer| peer.is_present());
            self.round = present.map(|peer| peer.record.host.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    fn probe(&mut self, host: String) {
        if self.probes.iter().any(|probe| probe.host == host) {
            return;
        }
        let suspect = |peer: &Peer| peer.record.standing == Standing::Suspect;
        if self.roster.get(&host).is_some_and(suspect) {
            self.roster.spread(&host);
        }
        self.probes.push(Probe {
            asked_others: false,
            host: host.clone(),
            since: self.now(),
            waits: 0,
        });
        let pending = Pending::Probe { host: host.clone() };
        self.send(&host, Body::Probe, pending);
    }

    /// Spreads what is new to a few more hosts than the probes reach.
    fn gossip(&mut self) {
        if self.roster.is_quiet() || self.now().since(self.gossiped) < GOSSIP_PERIOD_MS {
            return;
        }
        self.gossiped = self.now();
        for host in self.sample(FANOUT, |peer| peer.is_present() && peer.is_direct()) {
            self.send(&host, Body::Probe, Pending::Exchange);
        }
    }

    fn sync(&mut self, host: &str) {
        let period = match self.roster.is_quiet() {
            false => BUSY_SYNC_PERIOD_MS,
            true => SYNC_PERIOD_MS,
        };
        if self.now().since(self.synced) < period {
            return;
        }
        self.synced = self.now();
        let all = self.roster.all();
        self.send(host, Body::PushPull(all), Pending::Exchange);
    }

    fn send(&mut self, host: &str, body: Body, pending: Pending) {
        if let Some(address) = self.roster.get(host).map(Peer::address) {
            self.ask(address, Some(host.to_owned()), body, pending);
        }
    }

    fn ask(&mut self, address: SocketAddr, host: Option<String>, body: Body, pending: Pending) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let at = self.now();
        self.calls.insert(call, Sent { at, pending });
        let message = self.message(body);
        self.effects.push(Effect::Call {
            address,
            call,
            host,
            message,
        });
    }

    fn answer(&mut self, asked: InboundCallId, body: Body) {
        let message = self.message(body);
        self.effects.push(Effect::Answer(asked, message));
    }

    fn message(&mut self, body: Body) -> Message {
        Message {
            body,
            digest: self.roster.digest(),
            from: self.roster.me().host.clone(),
            updates: self.roster.updates(),
            version: self.roster.me().version,
        }
    }

    fn sample(&mut self, count: usize, accept: impl Fn(&Peer) -> bool) -> Vec<String> {
        let accepted = self.roster.iter().filter(|peer| accept(peer));
        let accepted: Vec<&str> = accepted.map(|peer| peer.record.host.as_str()).collect();
        let chosen = accepted.sample(&mut self.rng, count);
        chosen.map(|host| (*host).to_owned()).collect()
    }
}
