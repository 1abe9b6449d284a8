//! A failure detector: finds the hosts of the fleet, probes them and spreads changes by gossip.
//!
//! Each host probes one other host per period, in a round in random order. When a host does not
//! answer, other hosts probe it too; when it answers none of them, it is suspected, and declared
//! dead unless it refutes that in time. Changes are piggybacked on the probes and their answers, so
//! that the cost for each host does not depend on the number of hosts. Each message carries a
//! digest of all records; when two hosts differ in it, they exchange all their records.

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

/// Time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 100;
/// Time between two direct probes, in milliseconds.
pub const PROBE_PERIOD_MS: u64 = 1_000;
/// Time after which an unanswered probe is repeated through other hosts, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 300;
/// Time that a suspected host has to refute the suspicion, in milliseconds.
pub const SUSPICION_TIMEOUT_MS: u64 = 3_000;
/// Timeout of a call that carries a message, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 2_000;

/// Time between two full exchanges while changes are still being spread.
const BUSY_SYNC_PERIOD_MS: u64 = 10_000;
/// Number of hosts that get a message in each gossip period.
const GOSSIP_FANOUT: usize = 2;
const GOSSIP_PERIOD_MS: u64 = 200;
/// Time without any answer after which this host considers itself isolated.
const ISOLATION_TIMEOUT_MS: u64 = 5_000;
/// Time between two steps above which this process counts as paused.
const PAUSE_AFTER_MS: u64 = 2_000;
/// Number of hosts that are asked to probe a host that did not answer.
const RELAYS_PER_PROBE: usize = 3;
/// Time between two calls of dead hosts, and of seeds while other hosts are known.
const RECONNECT_PERIOD_MS: u64 = 5_000;
/// Time between two calls of the seeds while no other host is known.
const SEED_PERIOD_MS: u64 = 500;
/// Limit of the factor by which a host that seems to be slow itself lengthens its timeouts.
const MAX_TIMEOUT_MULTIPLIER: u64 = 4;
/// Time between two full exchanges while no change is being spread.
const SYNC_PERIOD_MS: u64 = 2_000;

/// The configuration of a failure detector.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this host.
    pub host: String,
    /// What this host publishes about itself.
    pub profile: Profile,
    /// Identifies this process; must grow with each start, as the time of the start does.
    pub run: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Addresses of the hosts to call while no other host is known.
    pub seeds: Vec<SocketAddr>,
}

/// The reason for a call of this host, which decides what its answer means.
#[derive(Clone, Debug)]
enum Purpose {
    /// Exchange updates or all records; a missing answer means nothing.
    Exchange,
    /// Probe `host` directly.
    Probe { host: String },
    /// Have another host probe `host`.
    Relay { host: String },
    /// Probe `host` on behalf of `caller`.
    RelayedProbe { caller: InboundCallId, host: String },
}

#[derive(Clone, Debug)]
struct OutboundCall {
    sent_at: Instant,
    purpose: Purpose,
}

/// A probe of `host` under way: direct at first, then through relays.
#[derive(Clone, Debug)]
struct Probe {
    relayed: bool,
    host: String,
    since: Instant,
    relays_left: usize,
}

/// Detects failures of hosts and keeps a record of each host.
#[derive(Clone, Debug)]
pub struct Membership {
    calls: BTreeMap<CallId, OutboundCall>,
    effects: Vec<Effect>,
    last_gossip: Instant,
    last_answer: Instant,
    isolated: bool,
    next_call: u64,
    now: Option<Instant>,
    last_probe: Instant,
    probes: Vec<Probe>,
    last_dead_call: Instant,
    rng: ChaCha8Rng,
    roster: Roster,
    probe_round: Vec<String>,
    last_seed_call: Option<Instant>,
    seeds: Vec<SocketAddr>,
    timeout_multiplier: u64,
    last_sync: Instant,
}

impl Membership {
    /// Returns a failure detector that knows only this host.
    pub fn new(options: Options) -> Self {
        let start = Instant::default();
        Self {
            calls: BTreeMap::new(),
            effects: Vec::new(),
            last_gossip: start,
            last_answer: start,
            isolated: false,
            next_call: 0,
            now: None,
            last_probe: start,
            probes: Vec::new(),
            last_dead_call: start,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            roster: Roster::new(options.host, options.profile, options.run),
            probe_round: Vec::new(),
            last_seed_call: None,
            seeds: options.seeds,
            timeout_multiplier: 1,
            last_sync: start,
        }
    }

    /// Processes `event` at `now` and returns the resulting effects.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        self.advance_clock(now);
        match event {
            Event::Answered(call, message) => self.call_answered(call, message),
            Event::Called(caller, message) => self.called(caller, message),
            Event::Drain => self
                .roster
                .update_profile(|profile| profile.draining = true),
            Event::Failed(call) => self.call_failed(call),
            Event::Leave => self.announce_leave(),
            Event::Load(load) => self.roster.update_profile(|profile| profile.load = load),
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::Tick => self.tick(),
        }
        let changes = self.roster.take_changes().into_iter().map(Effect::Changed);
        self.effects.extend(changes);
        std::mem::take(&mut self.effects)
    }

    /// Returns the digest of the records of all present hosts; equal digests mean equal records.
    pub fn digest(&self) -> u64 {
        self.roster.digest()
    }

    /// Returns this host's view of the fleet.
    pub fn view(&self) -> View {
        self.roster.view(self.isolated)
    }

    fn now(&self) -> Instant {
        self.now.unwrap_or_default()
    }

    fn advance_clock(&mut self, now: Instant) {
        let before = self.now.replace(now);
        self.roster.set_now(now);
        match before {
            None => {
                self.last_answer = now;
                self.last_gossip = now;
                self.last_probe = now;
                self.last_dead_call = now;
            }
            Some(before) if now.since(before) > PAUSE_AFTER_MS => self.resume(now.since(before)),
            Some(_) => {}
        }
    }

    /// Drops all calls and probes from before a pause of this process: their missing answers say
    /// nothing about the other hosts.
    fn resume(&mut self, gap_ms: u64) {
        self.calls.clear();
        self.probes.clear();
        self.last_answer = self.now();
        self.roster.restart_suspicions();
        self.roster.record_change(Change::Paused(gap_ms));
    }

    fn tick(&mut self) {
        if self.roster.refute() {
            self.raise_timeout_multiplier();
        }
        self.expire_calls();
        self.expire_probes();
        if !self.isolated {
            self.roster
                .expire_suspicions(SUSPICION_TIMEOUT_MS * self.timeout_multiplier.div_ceil(2));
        }
        self.check_isolation();
        self.call_seeds();
        self.call_dead_host();
        self.probe_next();
        self.gossip();
    }

    fn call_answered(&mut self, call: CallId, message: Message) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };
        self.last_answer = self.now();
        self.roster.merge(message.updates);
        let from = message.from;
        match (call.purpose, message.body) {
            (Purpose::Exchange, Body::PushPull(records)) => self.roster.merge_all(records),
            (Purpose::Exchange, _) => {}
            (Purpose::Probe { host }, Body::Ack) if host == from => self.probe_acked(&host, true),
            (Purpose::Relay { host }, Body::Ack) => self.probe_acked(&host, false),
            (Purpose::RelayedProbe { caller, host }, Body::Ack) if host == from => {
                self.answer(caller, Body::Ack);
            }
            (purpose, _) => self.handle_no_answer(purpose),
        }
        if message.digest != self.roster.digest() {
            self.sync(&from);
        }
    }

    fn called(&mut self, caller: InboundCallId, message: Message) {
        self.roster.merge(message.updates);
        let is_disputed = self.roster.get(&message.from).is_some_and(|peer| {
            peer.record.standing != Standing::Alive || peer.record.version > message.version
        });
        if is_disputed {
            // The sender gets the disputed record with the answer, and can refute it.
            self.roster.disseminate(&message.from);
        }
        match message.body {
            Body::Ack | Body::Nack => self.answer(caller, Body::Nack),
            Body::Probe => self.answer(caller, Body::Ack),
            Body::PushPull(records) => {
                self.roster.merge_all(records);
                let records = self.roster.records();
                self.answer(caller, Body::PushPull(records));
            }
            Body::Relay { address, host } => {
                let purpose = Purpose::RelayedProbe {
                    caller,
                    host: host.clone(),
                };
                self.call(address, Some(host), Body::Probe, purpose);
            }
        }
    }

    fn call_failed(&mut self, call: CallId) {
        if let Some(call) = self.calls.remove(&call) {
            self.handle_no_answer(call.purpose);
        }
    }

    fn handle_no_answer(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::Exchange => {}
            Purpose::Probe { host } | Purpose::Relay { host } => self.probe_failed(&host),
            Purpose::RelayedProbe { caller, .. } => self.answer(caller, Body::Nack),
        }
    }

    /// Tells a few hosts that this host leaves; they spread it.
    fn announce_leave(&mut self) {
        self.roster.leave();
        for host in self.sample(GOSSIP_FANOUT * 2, Peer::is_present) {
            self.send(&host, Body::Probe, Purpose::Exchange);
        }
    }

    fn probe_acked(&mut self, host: &str, direct: bool) {
        self.probes.retain(|probe| probe.host != host);
        self.timeout_multiplier = (self.timeout_multiplier - 1).max(1);
        let was_direct = self.roster.get(host).is_some_and(Peer::is_direct);
        self.roster.record_ack(host, direct);
        if was_direct && !direct {
            // Probed again next, to find out whether the direct link is cut.
            self.probe_round.push(host.to_owned());
        }
    }

    /// Handles a probe that failed on one path, directly or through one relay.
    fn probe_failed(&mut self, host: &str) {
        let Some(index) = self.probes.iter().position(|probe| probe.host == host) else {
            return;
        };
        let probe = &mut self.probes[index];
        if !probe.relayed {
            self.probe_indirectly(index);
            return;
        }
        probe.relays_left = probe.relays_left.saturating_sub(1);
        if probe.relays_left == 0 {
            self.suspect_unanswered(index);
        }
    }

    /// Asks other hosts to probe the host of a probe that got no answer.
    fn probe_indirectly(&mut self, index: usize) {
        let host = self.probes[index].host.clone();
        let Some(address) = self.roster.get(&host).map(Peer::address) else {
            self.probes.swap_remove(index);
            return;
        };
        let relays = self.sample(RELAYS_PER_PROBE, |peer| {
            let can_relay = peer.is_direct() && peer.record.standing == Standing::Alive;
            can_relay && peer.record.host != host
        });
        let now = self.now();
        let probe = &mut self.probes[index];
        probe.relayed = true;
        probe.since = now;
        probe.relays_left = relays.len();
        if relays.is_empty() {
            self.suspect_unanswered(index);
        }
        for relay in relays {
            let body = Body::Relay {
                address,
                host: host.clone(),
            };
            let purpose = Purpose::Relay { host: host.clone() };
            self.send(&relay, body, purpose);
        }
    }

    /// Ends a probe that got no answer on any path, and suspects its host.
    fn suspect_unanswered(&mut self, index: usize) {
        let host = self.probes.swap_remove(index).host;
        let standing = self.roster.get(&host).map(|peer| peer.record.standing);
        if standing == Some(Standing::Alive) {
            self.roster.set_standing(&host, Standing::Suspect);
        }
    }

    /// Lengthens the timeouts, because missing answers of several hosts suggest a fault of this
    /// one.
    fn raise_timeout_multiplier(&mut self) {
        self.timeout_multiplier = (self.timeout_multiplier + 1).min(MAX_TIMEOUT_MULTIPLIER);
    }

    /// Handles the calls that have timed out.
    fn expire_calls(&mut self) {
        let now = self.now();
        let expired = self.calls.iter();
        let expired = expired.filter(|(_, call)| now.since(call.sent_at) > CALL_TIMEOUT_MS);
        let expired: Vec<CallId> = expired.map(|(call, _)| *call).collect();
        for call in expired {
            self.call_failed(call);
        }
    }

    /// Repeats late direct probes through relays, and suspects the hosts of late indirect ones.
    fn expire_probes(&mut self) {
        let timeout = PROBE_TIMEOUT_MS * self.timeout_multiplier;
        let now = self.now();
        let is_expired = |probe: &&Probe| {
            let limit = match probe.relayed {
                false => timeout,
                true => timeout * 2,
            };
            now.since(probe.since) >= limit
        };
        let expired = self.probes.iter().filter(is_expired);
        let expired: Vec<String> = expired.map(|probe| probe.host.clone()).collect();
        for host in expired {
            let Some(index) = self.probes.iter().position(|probe| probe.host == host) else {
                continue;
            };
            match self.probes[index].relayed {
                false => self.probe_indirectly(index),
                true => {
                    self.raise_timeout_multiplier();
                    self.suspect_unanswered(index);
                }
            }
        }
    }

    /// Detects that no host answers this one, or that one does again. An isolated host declares no
    /// other host dead.
    fn check_isolation(&mut self) {
        let timed_out = self.now().since(self.last_answer) >= ISOLATION_TIMEOUT_MS;
        let isolated = timed_out && self.roster.present_count() > 0;
        if isolated == self.isolated {
            return;
        }
        self.isolated = isolated;
        self.roster.restart_suspicions();
        self.roster.record_change(match isolated {
            false => Change::Reunited,
            true => Change::Isolated,
        });
    }

    /// Calls all seeds while no other host is known, and otherwise one unknown seed per period.
    fn call_seeds(&mut self) {
        let alone = self.roster.present_count() == 0;
        let period = match alone {
            false => RECONNECT_PERIOD_MS,
            true => SEED_PERIOD_MS,
        };
        let now = self.now();
        if self.last_seed_call.is_some_and(|at| now.since(at) < period) {
            return;
        }
        self.last_seed_call = Some(now);
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
            let records = self.roster.records();
            self.call(address, None, Body::PushPull(records), Purpose::Exchange);
        }
    }

    /// Calls one dead host, so that two sides of a healed network partition find each other again.
    fn call_dead_host(&mut self) {
        if self.now().since(self.last_dead_call) < RECONNECT_PERIOD_MS {
            return;
        }
        self.last_dead_call = self.now();
        let is_dead = |peer: &Peer| peer.record.standing == Standing::Dead;
        for host in self.sample(1, is_dead) {
            let records = self.roster.records();
            self.send(&host, Body::PushPull(records), Purpose::Exchange);
        }
    }

    /// Probes the next host of the round, and one suspected host.
    fn probe_next(&mut self) {
        if self.now().since(self.last_probe) < PROBE_PERIOD_MS {
            return;
        }
        self.last_probe = self.now();
        let is_suspect = |peer: &Peer| peer.record.standing == Standing::Suspect;
        let mut hosts = self.sample(1, is_suspect);
        hosts.extend(self.next_in_round());
        for host in hosts {
            self.probe(host);
        }
    }

    /// Returns the next present host of the round; starts a new round when one is complete.
    fn next_in_round(&mut self) -> Option<String> {
        for _ in 0..2 {
            while let Some(host) = self.probe_round.pop() {
                if self.roster.get(&host).is_some_and(Peer::is_present) {
                    return Some(host);
                }
            }
            let present = self.roster.iter().filter(|peer| peer.is_present());
            self.probe_round = present.map(|peer| peer.record.host.clone()).collect();
            self.probe_round.shuffle(&mut self.rng);
        }
        None
    }

    fn probe(&mut self, host: String) {
        if self.probes.iter().any(|probe| probe.host == host) {
            return;
        }
        let is_suspect = |peer: &Peer| peer.record.standing == Standing::Suspect;
        if self.roster.get(&host).is_some_and(is_suspect) {
            // The host learns of the suspicion with the probe, and can refute it.
            self.roster.disseminate(&host);
        }
        self.probes.push(Probe {
            relayed: false,
            host: host.clone(),
            since: self.now(),
            relays_left: 0,
        });
        let purpose = Purpose::Probe { host: host.clone() };
        self.send(&host, Body::Probe, purpose);
    }

    /// Spreads changes to a few more hosts than the probes reach.
    fn gossip(&mut self) {
        if self.roster.is_fully_disseminated()
            || self.now().since(self.last_gossip) < GOSSIP_PERIOD_MS
        {
            return;
        }
        self.last_gossip = self.now();
        for host in self.sample(GOSSIP_FANOUT, |peer| peer.is_present() && peer.is_direct()) {
            self.send(&host, Body::Probe, Purpose::Exchange);
        }
    }

    /// Exchanges all records with `host`, at most once per period.
    fn sync(&mut self, host: &str) {
        let period = match self.roster.is_fully_disseminated() {
            false => BUSY_SYNC_PERIOD_MS,
            true => SYNC_PERIOD_MS,
        };
        if self.now().since(self.last_sync) < period {
            return;
        }
        self.last_sync = self.now();
        let records = self.roster.records();
        self.send(host, Body::PushPull(records), Purpose::Exchange);
    }

    fn send(&mut self, host: &str, body: Body, purpose: Purpose) {
        if let Some(address) = self.roster.get(host).map(Peer::address) {
            self.call(address, Some(host.to_owned()), body, purpose);
        }
    }

    fn call(&mut self, address: SocketAddr, host: Option<String>, body: Body, purpose: Purpose) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let sent_at = self.now();
        self.calls.insert(call, OutboundCall { sent_at, purpose });
        let message = self.message(body);
        self.effects.push(Effect::Call {
            address,
            call,
            host,
            message,
        });
    }

    fn answer(&mut self, caller: InboundCallId, body: Body) {
        let message = self.message(body);
        self.effects.push(Effect::Answer(caller, message));
    }

    fn message(&mut self, body: Body) -> Message {
        Message {
            body,
            digest: self.roster.digest(),
            from: self.roster.me().host.clone(),
            updates: self.roster.take_updates(),
            version: self.roster.me().version,
        }
    }

    /// Returns up to `count` random hosts that satisfy `accept`.
    fn sample(&mut self, count: usize, accept: impl Fn(&Peer) -> bool) -> Vec<String> {
        let accepted = self.roster.iter().filter(|peer| accept(peer));
        let accepted: Vec<&str> = accepted.map(|peer| peer.record.host.as_str()).collect();
        let chosen = accepted.sample(&mut self.rng, count);
        chosen.map(|host| (*host).to_owned()).collect()
    }
}
