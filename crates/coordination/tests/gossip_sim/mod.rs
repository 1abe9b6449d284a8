//! A seeded schedule of hosts, links and faults for the tests of the failure detector.

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

/// Tells how a host fares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostState {
    /// Runs and answers.
    Runs,
    /// Stands still and keeps its state.
    Frozen,
    /// Refuses connections.
    Killed,
}

struct Slot {
    detector: Membership,
    fate: HostState,
    runs: u64,
}

enum Delivery {
    Answer {
        call: CallId,
        message: Message,
        from: usize,
    },
    Ask {
        call: CallId,
        from: usize,
        message: Message,
    },
    Fail(CallId),
    Tick,
}

/// Runs a fleet in virtual time.
pub struct Fleet {
    asked: BTreeMap<u64, (usize, CallId)>,
    pub bytes: u64,
    pub changes: Vec<(u64, usize, Change)>,
    cuts: BTreeSet<(usize, usize)>,
    domains: usize,
    pub messages: u64,
    now: u64,
    queue: BTreeMap<(u64, u64), (usize, Delivery)>,
    rng: ChaCha8Rng,
    seed: u64,
    sequence: u64,
    slots: Vec<Slot>,
}

impl Fleet {
    /// Starts `hosts` hosts in three failure domains, the first three being the seeds of all.
    pub fn start(hosts: usize, seed: u64) -> Self {
        let mut fleet = Self {
            asked: BTreeMap::new(),
            bytes: 0,
            changes: Vec::new(),
            cuts: BTreeSet::new(),
            domains: 3,
            messages: 0,
            now: 1_000,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            sequence: 0,
            slots: Vec::new(),
        };
        for place in 0..hosts {
            let detector = fleet.detector(place, 1);
            fleet.slots.push(Slot {
                detector,
                fate: HostState::Runs,
                runs: 1,
            });
            let offset = fleet.rng.random_range(0..TICK_MS);
            fleet.schedule(offset, place, Delivery::Tick);
        }
        fleet
    }

    fn detector(&self, place: usize, run: u64) -> Membership {
        Membership::new(Options {
            host: name(place),
            profile: profile(place, self.domains),
            run,
            seed: self
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(place as u64 * 7 + run),
            seeds: (0..3).map(address).collect(),
        })
    }

    /// Returns the view of the host at a place.
    pub fn view(&self, place: usize) -> View {
        self.slots[place].detector.view()
    }

    /// Returns what the host at `observer` holds the host at `place` to be.
    pub fn standing(&self, observer: usize, place: usize) -> Option<Standing> {
        let view = self.view(observer);
        view.get(name(place)).map(|member| member.record.standing)
    }

    /// Returns whether every running host holds exactly the running hosts to be present and
    /// suspects none.
    pub fn has_converged(&self) -> bool {
        let running: Vec<usize> = self.running();
        let digest = |place: &usize| self.slots[*place].detector.digest();
        let first = digest(&running[0]);
        if !running.iter().all(|place| digest(place) == first) {
            return false;
        }
        let view = self.view(running[0]);
        let present = view.hosts.iter();
        let present = present.filter(|m| m.record.standing.is_present());
        let present: Vec<&str> = present.map(|m| m.record.host.as_str()).collect();
        let expected: Vec<String> = running.iter().copied().map(name).collect();
        present == expected && view.count(Standing::Suspect) == 0
    }

    /// Lists the places of the running hosts.
    pub fn running(&self) -> Vec<usize> {
        let places = 0..self.slots.len();
        places
            .filter(|p| self.slots[*p].fate == HostState::Runs)
            .collect()
    }

    /// Changes how a host fares.
    pub fn set_state(&mut self, place: usize, fate: HostState) {
        self.slots[place].fate = fate;
    }

    /// Starts a new process on a host, which knows nothing.
    pub fn restart(&mut self, place: usize) {
        let runs = self.slots[place].runs + 1;
        self.slots[place] = Slot {
            detector: self.detector(place, runs),
            fate: HostState::Runs,
            runs,
        };
    }

    /// Starts a process on a host whose clock lies behind that of its earlier run.
    pub fn restart_with_old_clock(&mut self, place: usize) {
        self.slots[place].detector = self.detector(place, 0);
        self.slots[place].fate = HostState::Runs;
    }

    /// Drops what goes from one host to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Drops what goes between two sets of hosts.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))) {
            self.cut(a, b);
            self.cut(b, a);
        }
    }

    /// Mends all links.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Hands an event to a host.
    pub fn deliver_event(&mut self, place: usize, event: Event) {
        let effects = self.slots[place].detector.step(Instant(self.now), event);
        self.apply(place, effects);
    }

    /// Hands a message of another host to a host and drops the answer.
    pub fn deliver_message(&mut self, place: usize, message: Message) {
        self.sequence += 1;
        self.asked.insert(self.sequence, (place, CallId(u64::MAX)));
        self.deliver_event(place, Event::Called(InboundCallId(self.sequence), message));
    }

    /// Lets `millis` pass.
    pub fn run(&mut self, millis: u64) {
        let until = self.now + millis;
        while let Some((&(at, sequence), _)) = self.queue.first_key_value() {
            if at > until {
                break;
            }
            let (place, delivery) = self.queue.remove(&(at, sequence)).unwrap();
            self.now = at;
            self.deliver(place, delivery);
        }
        self.now = until;
    }

    /// Lets time pass until `done` holds, at most `limit` milliseconds; returns how long it took.
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

    fn schedule(&mut self, delay: u64, place: usize, delivery: Delivery) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, (place, delivery));
    }

    fn deliver(&mut self, place: usize, delivery: Delivery) {
        if let Delivery::Tick = delivery {
            self.schedule(TICK_MS, place, Delivery::Tick);
        }
        if self.slots[place].fate != HostState::Runs {
            if let (Delivery::Ask { call, from, .. }, HostState::Killed) =
                (delivery, self.slots[place].fate)
                && !self.cuts.contains(&(place, from))
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
                if !self.cuts.contains(&(from, place)) {
                    self.deliver_event(place, Event::Answered(call, message));
                }
            }
            Delivery::Ask {
                call,
                from,
                message,
            } => {
                self.sequence += 1;
                self.asked.insert(self.sequence, (from, call));
                self.deliver_event(place, Event::Called(InboundCallId(self.sequence), message));
            }
            Delivery::Fail(call) => self.deliver_event(place, Event::Failed(call)),
            Delivery::Tick => self.deliver_event(place, Event::Tick),
        }
    }

    fn apply(&mut self, place: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer(InboundCallId(asked), message) => {
                    self.count(&message);
                    let (to, call) = self.asked.remove(&asked).unwrap();
                    let delay = self.rng.random_range(LATENCY_MS);
                    let from = place;
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
                    let to = (0..self.slots.len()).find(|p| address(*p) == to).unwrap();
                    let delay = self.rng.random_range(LATENCY_MS);
                    if !self.cuts.contains(&(place, to)) {
                        let from = place;
                        self.schedule(
                            delay,
                            to,
                            Delivery::Ask {
                                call,
                                from,
                                message,
                            },
                        );
                    }
                }
                Effect::Changed(change) => self.changes.push((self.now, place, change)),
            }
        }
    }

    fn count(&mut self, message: &Message) {
        self.messages += 1;
        self.bytes += postcard::to_stdvec(message).unwrap().len() as u64;
    }
}
