//! Simulation of a fleet of failure detectors in virtual time; delays follow a seeded generator.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::address;
use crate::common::name;
use crate::common::profile;
use coordination::gossip::CallId;
use coordination::gossip::Change;
use coordination::gossip::Effect;
use coordination::gossip::Event;
use coordination::gossip::InboundCallId;
use coordination::gossip::Message;
use coordination::host::Standing;
use coordination::membership::Membership;
use coordination::membership::Options;
use coordination::membership::TICK_MS;
use coordination::view::View;
use state::time::Instant;

const LATENCY_MS: std::ops::RangeInclusive<u64> = 1..=3;

/// State of a simulated host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostState {
    /// Runs and answers calls.
    Runs,
    /// Does nothing until it runs again, and keeps its memory; calls to it get no answer.
    Frozen,
    /// Has no process; calls to it fail at once.
    Killed,
}

/// A host with its failure detector.
struct SimHost {
    detector: Membership,
    state: HostState,
    /// Number of the present run, which grows with each restart.
    runs: u64,
}

/// What is delivered to a host at a scheduled time.
enum Delivery {
    Answer {
        call: CallId,
        message: Message,
        from: usize,
    },
    Call {
        call: CallId,
        from: usize,
        message: Message,
    },
    Fail(CallId),
    Tick,
}

/// A simulated fleet.
pub struct Fleet {
    /// Calling host and its id of the call, by inbound call.
    inbound_calls: BTreeMap<u64, (usize, CallId)>,
    /// Size of all messages sent, in bytes.
    pub bytes: u64,
    /// Time, observing host and change of each change of a view.
    pub changes: Vec<(u64, usize, Change)>,
    /// Pairs of sender and receiver whose messages are dropped.
    cut_links: BTreeSet<(usize, usize)>,
    domains: usize,
    pub messages: u64,
    now: u64,
    queue: BTreeMap<(u64, u64), (usize, Delivery)>,
    rng: ChaCha8Rng,
    seed: u64,
    sequence: u64,
    hosts: Vec<SimHost>,
}

impl Fleet {
    /// Starts `hosts` hosts in three failure domains; the first three hosts are the seeds of all.
    pub fn start(hosts: usize, seed: u64) -> Self {
        let mut fleet = Self {
            inbound_calls: BTreeMap::new(),
            bytes: 0,
            changes: Vec::new(),
            cut_links: BTreeSet::new(),
            domains: 3,
            messages: 0,
            now: 1_000,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            sequence: 0,
            hosts: Vec::new(),
        };
        for index in 0..hosts {
            let detector = fleet.detector(index, 1);
            fleet.hosts.push(SimHost {
                detector,
                state: HostState::Runs,
                runs: 1,
            });
            let offset = fleet.rng.random_range(0..TICK_MS);
            fleet.schedule(offset, index, Delivery::Tick);
        }
        fleet
    }

    fn detector(&self, index: usize, run: u64) -> Membership {
        Membership::new(Options {
            host: name(index),
            profile: profile(index, self.domains),
            run,
            seed: self
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(index as u64 * 7 + run),
            seeds: (0..3).map(address).collect(),
        })
    }

    /// Returns the view that the host at `index` has of the fleet.
    pub fn view(&self, index: usize) -> View {
        self.hosts[index].detector.view()
    }

    /// Returns the standing of the host at `index` in the view of the host at `observer`.
    pub fn standing(&self, observer: usize, index: usize) -> Option<Standing> {
        let view = self.view(observer);
        view.get(name(index)).map(|member| member.record.standing)
    }

    /// Returns whether in every running host's view exactly the running hosts are present and none
    /// is suspected.
    pub fn has_converged(&self) -> bool {
        let running: Vec<usize> = self.running();
        let digest = |index: &usize| self.hosts[*index].detector.digest();
        let first = digest(&running[0]);
        if !running.iter().all(|index| digest(index) == first) {
            return false;
        }
        let view = self.view(running[0]);
        let present = view.hosts.iter();
        let present = present.filter(|m| m.record.standing.is_present());
        let present: Vec<&str> = present.map(|m| m.record.host.as_str()).collect();
        let expected: Vec<String> = running.iter().copied().map(name).collect();
        present == expected && view.count(Standing::Suspect) == 0
    }

    /// Returns the indices of the running hosts.
    pub fn running(&self) -> Vec<usize> {
        let indices = 0..self.hosts.len();
        indices
            .filter(|i| self.hosts[*i].state == HostState::Runs)
            .collect()
    }

    /// Sets the state of a host.
    pub fn set_state(&mut self, index: usize, state: HostState) {
        self.hosts[index].state = state;
    }

    /// Starts a new process on a host, with empty memory.
    pub fn restart(&mut self, index: usize) {
        let runs = self.hosts[index].runs + 1;
        self.hosts[index] = SimHost {
            detector: self.detector(index, runs),
            state: HostState::Runs,
            runs,
        };
    }

    /// Starts a new process on a host whose clock is behind that of the earlier run.
    pub fn restart_with_old_clock(&mut self, index: usize) {
        self.hosts[index].detector = self.detector(index, 0);
        self.hosts[index].state = HostState::Runs;
    }

    /// Drops all messages from one host to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    /// Drops all messages between two sets of hosts.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for (a, b) in left
            .iter()
            .flat_map(|a| right.iter().map(move |b| (*a, *b)))
        {
            self.cut(a, b);
            self.cut(b, a);
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Delivers an event to a host.
    pub fn deliver_event(&mut self, index: usize, event: Event) {
        let effects = self.hosts[index].detector.step(Instant(self.now), event);
        self.apply(index, effects);
    }

    /// Delivers a call of another host to a host; the answer reaches no pending call.
    pub fn deliver_message(&mut self, index: usize, message: Message) {
        self.sequence += 1;
        self.inbound_calls
            .insert(self.sequence, (index, CallId(u64::MAX)));
        self.deliver_event(index, Event::Called(InboundCallId(self.sequence), message));
    }

    /// Runs the simulation for `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let until = self.now + millis;
        while let Some((&(at, sequence), _)) = self.queue.first_key_value() {
            if at > until {
                break;
            }
            let (index, delivery) = self.queue.remove(&(at, sequence)).unwrap();
            self.now = at;
            self.deliver(index, delivery);
        }
        self.now = until;
    }

    /// Runs until `done` holds, for at most `limit` milliseconds, and returns how long it took.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(TICK_MS);
        }
        Some(self.now - start)
    }

    fn schedule(&mut self, delay: u64, index: usize, delivery: Delivery) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, (index, delivery));
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        if let Delivery::Tick = delivery {
            self.schedule(TICK_MS, index, Delivery::Tick);
        }
        if self.hosts[index].state != HostState::Runs {
            if let (Delivery::Call { call, from, .. }, HostState::Killed) =
                (delivery, self.hosts[index].state)
                && !self.cut_links.contains(&(index, from))
            {
                self.schedule(1, from, Delivery::Fail(call));
            }
            return;
        }
        match delivery {
            Delivery::Answer {
                call,
                message,
                from,
            } => {
                if !self.cut_links.contains(&(from, index)) {
                    self.deliver_event(index, Event::Answered(call, message));
                }
            }
            Delivery::Call {
                call,
                from,
                message,
            } => {
                self.sequence += 1;
                self.inbound_calls.insert(self.sequence, (from, call));
                self.deliver_event(index, Event::Called(InboundCallId(self.sequence), message));
            }
            Delivery::Fail(call) => self.deliver_event(index, Event::Failed(call)),
            Delivery::Tick => self.deliver_event(index, Event::Tick),
        }
    }

    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer(InboundCallId(inbound), message) => {
                    self.count(&message);
                    let (to, call) = self.inbound_calls.remove(&inbound).unwrap();
                    let delay = self.rng.random_range(LATENCY_MS);
                    let from = index;
                    self.schedule(
                        delay,
                        to,
                        Delivery::Answer {
                            call,
                            message,
                            from,
                        },
                    );
                }
                Effect::Call {
                    address: to,
                    call,
                    message,
                    ..
                } => {
                    self.count(&message);
                    let to = (0..self.hosts.len()).find(|i| address(*i) == to).unwrap();
                    let delay = self.rng.random_range(LATENCY_MS);
                    if !self.cut_links.contains(&(index, to)) {
                        let from = index;
                        self.schedule(
                            delay,
                            to,
                            Delivery::Call {
                                call,
                                from,
                                message,
                            },
                        );
                    }
                }
                Effect::Changed(change) => self.changes.push((self.now, index, change)),
            }
        }
    }

    fn count(&mut self, message: &Message) {
        self.messages += 1;
        self.bytes += postcard::to_stdvec(message).unwrap().len() as u64;
    }
}
