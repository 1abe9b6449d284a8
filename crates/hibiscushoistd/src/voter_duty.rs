//! The duty of a voter: a thread that steps the replicated log and applies what is committed.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::sync::watch;

use crate::voter_call::Call;
use crate::voter_call::Reading;
use crate::voter_call::Reply;
use crate::voter_call::Status;
use crate::voter_disk::Job;
use crate::voter_disk::Writer;
use crate::voter_route::Routes;
use coordination::quorum::Change;
use coordination::quorum::Config;
use coordination::raft;
use coordination::raft::Effect;
use coordination::raft::Raft;
use coordination::raft::Refusal;
use coordination::raft::Role;
use coordination::raft_entry::Entry;
use coordination::raft_entry::Payload;
use coordination::raft_message::Token;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;
use coordination::state_machine::StateMachine;
use protocol::operator;
use protocol::operator::History;
use protocol::voter::Rejection;
use protocol::voter::TableUpdate;
use state::naming;
use state::table::Table;
use transport::channel;
use transport::clock::Clock;
use transport::clock::wall_millis;
use transport::event;
use transport::event::Event;
use transport::metric;

const BATCH: usize = 1_024;
const COMPACT_BYTES: usize = 4 << 20;
const COMPACT_ENTRIES: u64 = 8_192;
const IDLE: Duration = Duration::from_millis(100);

enum Waiter {
    Change(Reply<()>),
    Command(Reply<Answer>),
    Read(Reply<Reading>),
}

/// Holds what the duty works with.
pub struct Duty {
    calls: channel::Receiver<Call>,
    clock: Clock,
    disk: Writer,
    due: Waiting,
    log: Logger,
    machine: StateMachine,
    raft: Option<Raft>,
    routes: Routes,
    status: watch::Sender<Status>,
    tables: channel::Sender<Arc<Table>>,
}

#[derive(Default)]
struct Waiting {
    applied: u64,
    bytes: usize,
    commands: BTreeMap<u64, (u64, Waiter)>,
    compacted: u64,
    next: u64,
    offered: u64,
    reads: BTreeMap<(u64, Token), Waiter>,
    synced: u64,
    tokens: HashMap<Token, Waiter>,
}

/// Collects what the duty needs from outside.
pub struct Parts {
    /// Brings the calls.
    pub calls: channel::Receiver<Call>,
    /// Reads the clock.
    pub clock: Clock,
    /// Takes the writes.
    pub disk: Writer,
    /// Receives events.
    pub log: Logger,
    /// Holds the member, as the disk gave it back.
    pub raft: Raft,
    /// Reaches the other members.
    pub routes: Routes,
    /// Shows the voter.
    pub status: watch::Sender<Status>,
    /// Takes the tables that are in force.
    pub tables: channel::Sender<Arc<Table>>,
}

impl Duty {
    /// Returns the duty with the state of its newest snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error when the snapshot does not decode.
    pub fn new(parts: Parts) -> Result<Self, coordination::state_machine::Error> {
        let snapshot = parts.raft.snapshot();
        let applied = snapshot.meta.position.index;
        let machine = match snapshot.data.is_empty() {
            false => StateMachine::restore(&snapshot.data)?,
            true => StateMachine::default(),
        };
        Ok(Self {
            calls: parts.calls,
            clock: parts.clock,
            disk: parts.disk,
            due: Waiting {
                applied,
                compacted: applied,
                ..Waiting::default()
            },
            log: parts.log,
            machine,
            raft: Some(parts.raft),
            routes: parts.routes,
            status: parts.status,
            tables: parts.tables,
        })
    }

    /// Serves calls until nobody can make one any more.
    pub fn run(mut self) {
        self.show();
        loop {
            let due = self.raft.as_ref().map(Raft::next_tick);
            let wait = due.map_or(IDLE, |due| {
                Duration::from_millis(due.since(self.clock.now()))
            });
            match self.calls.receive(wait.min(IDLE)) {
                Err(channel::ReceiveError::Closed) => return,
                Err(channel::ReceiveError::Timeout) => {}
                Ok(first) => self.take(first),
            }
            self.written();
            if self
                .raft
                .as_ref()
                .is_some_and(|r| r.next_tick() <= self.clock.now())
            {
                self.step(raft::Event::Tick);
            }
            self.offer();
            self.show();
        }
    }

    /// Takes a call and those that wait behind it; commands go into one batch.
    fn take(&mut self, first: Call) {
        let mut batch = Vec::new();
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(call) = next {
            taken += 1;
            match call {
                Call::Propose(command, reply) => self.enlist(&command, reply, &mut batch),
                call => self.serve(call),
            }
            next = match taken < BATCH {
                false => None,
                true => self.calls.try_receive(),
            };
        }
        if !batch.is_empty() {
            self.step(raft::Event::Propose(batch));
        }
    }

    fn enlist(
        &mut self,
        command: &Command,
        reply: Reply<Answer>,
        batch: &mut Vec<(Token, Arc<[u8]>)>,
    ) {
        match command.encode_stamped(wall_millis()) {
            Err(_) => drop(reply.send(Err(Rejection::Change))),
            Ok(bytes) => {
                let token = self.wait_for(Waiter::Command(reply));
                batch.push((token, bytes.into()));
            }
        }
    }

    fn serve(&mut self, call: Call) {
        match call {
            Call::Bootstrap(member) => self.step(raft::Event::Bootstrap(member)),
            Call::Change(change, reply) => self.change(change, reply),
            Call::History(after, reply) => drop(reply.send(Ok(self.history(after)))),
            Call::Packet(packet) => {
                for envelope in packet.envelopes {
                    self.routes.learn(envelope.from, packet.address);
                    self.step(raft::Event::Message(envelope));
                }
            }
            Call::Propose(command, reply) => {
                let mut batch = Vec::new();
                self.enlist(&command, reply, &mut batch);
                self.step(raft::Event::Propose(batch));
            }
            Call::Read(reply) => {
                let token = self.wait_for(Waiter::Read(reply));
                self.step(raft::Event::Read(token));
            }
            Call::Spread(after, reply) => drop(reply.send(Ok(self.spread(after)))),
            Call::Written => {}
        }
    }

    fn change(&mut self, change: Change, reply: Reply<()>) {
        let token = self.wait_for(Waiter::Change(reply));
        self.step(raft::Event::Change(token, change));
    }

    fn written(&mut self) {
        let synced = self.disk.progress.synced();
        if self.disk.progress.failed() && self.raft.is_some() {
            self.end();
        } else if synced > self.due.synced {
            self.due.synced = synced;
            self.step(raft::Event::Persisted(synced));
        }
    }

    fn wait_for(&mut self, waiter: Waiter) -> Token {
        self.due.next += 1;
        let token = Token(self.due.next);
        self.due.tokens.insert(token, waiter);
        token
    }

    fn step(&mut self, event: raft::Event) {
        let Some(raft) = &mut self.raft else {
            for (_, waiter) in self.due.tokens.drain() {
                waiter.refuse(Rejection::Ended);
            }
            return;
        };
        for effect in raft.step(self.clock.now(), event) {
            self.effect(effect);
        }
        self.compact();
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Accepted(token, position) => {
                if let Some(waiter) = self.due.tokens.remove(&token) {
                    let waiting = (position.term, waiter);
                    self.due.commands.insert(position.index, waiting);
                }
            }
            Effect::Apply(entries) => self.apply(&entries),
            Effect::Persist { records, sequence } => {
                let job = Job { records, sequence };
                if !self.disk.write(&job) {
                    self.end();
                }
            }
            Effect::Read(token, index) => {
                if let Some(waiter) = self.due.tokens.remove(&token) {
                    self.due.reads.insert((index, token), waiter);
                }
                self.answer_reads();
            }
            Effect::Refused(token, refusal) => {
                let rejection = self.rejection(refusal);
                if let Some(waiter) = self.due.tokens.remove(&token) {
                    waiter.refuse(rejection);
                }
            }
            Effect::Restore(snapshot) => {
                match StateMachine::restore(&snapshot.data) {
                    Err(_) => return self.end(),
                    Ok(machine) => self.machine = machine,
                }
                self.due.applied = snapshot.meta.position.index;
                self.due.compacted = self.due.applied;
                self.due.bytes = 0;
                let later = self.due.commands.split_off(&(self.due.applied + 1));
                for (_, (_, waiter)) in std::mem::replace(&mut self.due.commands, later) {
                    waiter.refuse(Rejection::Unknown);
                }
                self.answer_reads();
            }
            Effect::Send(envelope) => self.routes.send(envelope),
        }
    }

    fn apply(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.due.applied = entry.position.index;
            self.due.bytes += entry.size();
            let waiting = self.due.commands.remove(&entry.position.index);
            let answer = match &entry.payload {
                Payload::Command(bytes) => self.execute(entry.log_time_ms, bytes),
                Payload::Config(_) | Payload::NoOp => None,
            };
            if let Some((term, waiter)) = waiting {
                match term == entry.position.term {
                    false => waiter.refuse(Rejection::Lost),
                    true => waiter.answer(answer),
                }
            }
        }
        self.answer_reads();
    }

    fn execute(&mut self, at: u64, bytes: &Arc<[u8]>) -> Option<Answer> {
        let (command, unix_ms) = Command::decode_stamped(bytes).ok()?;
        let time = naming::Time {
            log_time_ms: at,
            unix_ms,
        };
        Some(self.machine.apply_stamped(time, &command))
    }

    fn answer_reads(&mut self) {
        let reading = Reading {
            log_time_ms: self.machine.log_time_ms(),
            namings: self.machine.namings().clone(),
            routed: self.machine.routed().clone(),
            table: self.machine.table().clone(),
            term: self.raft.as_ref().map_or(0, Raft::term),
        };
        let later = self.due.reads.split_off(&(self.due.applied + 1, Token(0)));
        for (_, waiter) in std::mem::replace(&mut self.due.reads, later) {
            if let Waiter::Read(reply) = waiter {
                let _ = reply.send(Ok(reading.clone()));
            }
        }
    }

    fn compact(&mut self) {
        let entries = self.due.applied - self.due.compacted;
        if entries < COMPACT_ENTRIES && self.due.bytes < COMPACT_BYTES || entries == 0 {
            return;
        }
        let Ok(data) = self.machine.snapshot() else {
            return;
        };
        self.due.bytes = 0;
        self.due.compacted = self.due.applied;
        let index = self.due.applied;
        let data = data.into();
        self.step(raft::Event::Compact { data, index });
    }

    /// Stops taking part, since nothing can be promised without the disk.
    fn end(&mut self) {
        self.raft = None;
        let commands = std::mem::take(&mut self.due.commands);
        let commands = commands.into_values().map(|(_, waiter)| waiter);
        let reads = std::mem::take(&mut self.due.reads).into_values();
        commands
            .chain(reads)
            .for_each(|w| w.refuse(Rejection::Unknown));
        for (_, waiter) in self.due.tokens.drain() {
            waiter.refuse(Rejection::Ended);
        }
    }

    fn history(&self, after: u64) -> History {
        let changes = self.machine.history().changes();
        let changes: Vec<operator::Change> = changes
            .filter(|change| change.revision > after)
            .map(|change| operator::Change {
                edit: change.edit.clone(),
                revision: change.revision,
            })
            .collect();
        let revision = self.machine.table().revision();
        let oldest = changes
            .first()
            .map_or(revision, |change| change.revision - 1);
        History {
            changes,
            cut: oldest > after,
            revision,
        }
    }

    /// Hands the table on, unless the keeper is busy; then it is tried again.
    fn offer(&mut self) {
        let table = self.machine.table();
        if table.revision() > self.due.offered && self.tables.send(table.clone()).is_ok() {
            self.due.offered = table.revision();
        }
    }

    fn rejection(&self, refusal: Refusal) -> Rejection {
        match refusal {
            Refusal::Backlog => Rejection::Backlog,
            Refusal::Change(_) => Rejection::Change,
            Refusal::NotLeader(_) => Rejection::NotLeader(self.status.borrow().leader),
        }
    }

    fn show(&mut self) {
        let Some(raft) = &self.raft else {
            self.status
                .send_if_modified(|status| std::mem::take(status).works);
            return;
        };
        let config = raft.config();
        let leads = raft.role() == Role::Leader;
        let leader = raft.leader().and_then(|id| config.members.get(&id));
        let new = Status {
            committed: raft.commit_index(),
            config: config.clone(),
            identity: raft.identity(),
            leader: leader.filter(|_| !leads).map(|member| member.address),
            leader_name: leader.map(|member| member.name.clone()),
            leads,
            log_time_ms: self.machine.log_time_ms(),
            matched: raft.matched(),
            namings: self.machine.namings().clone(),
            silences: raft.silences(),
            term: raft.term(),
            works: true,
        };
        metrics::gauge!(metric::LOG_COMMITTED).set(new.committed as f64);
        metrics::gauge!(metric::LOG_TERM).set(new.term as f64);
        let old = self.status.send_replace(new.clone());
        if new.config != old.config {
            for (identity, member) in &new.config.members {
                self.routes.learn(*identity, member.address);
            }
            let details = slog::o!("members" => described(&new.config));
            event::emit(&self.log, Event::VotersChanged, details);
        }
        let silent = new.silences.iter();
        for (id, silence_ms) in silent.filter(|(id, _)| !old.silences.contains_key(id)) {
            let host = new.config.members.get(id).map(|member| member.name.clone());
            let details = slog::o!("host" => host, "silence_ms" => *silence_ms);
            event::emit(&self.log, Event::VoterSilent, details);
        }
        let event = match (old.leads, leads) {
            (false, true) => Event::LeadershipGained,
            (true, false) => Event::LeadershipLost,
            (false, false) | (true, true) => return,
        };
        event::emit(&self.log, event, slog::o!("term" => new.term));
    }

    fn spread(&self, after: u64) -> TableUpdate {
        let table = self.machine.table();
        let history = self.history(after);
        match table.revision() > after {
            false => TableUpdate::UpToDate,
            true if history.cut => TableUpdate::WholeTable(table.clone()),
            true => TableUpdate::Edits(history.changes.into_iter().map(|c| c.edit).collect()),
        }
    }
}

impl Waiter {
    fn answer(self, answer: Option<Answer>) {
        match (self, answer) {
            (Self::Change(reply), _) => drop(reply.send(Ok(()))),
            (Self::Command(reply), Some(answer)) => drop(reply.send(Ok(answer))),
            (waiter, _) => waiter.refuse(Rejection::Unknown),
        }
    }

    fn refuse(self, rejection: Rejection) {
        match self {
            Self::Change(reply) => drop(reply.send(Err(rejection))),
            Self::Command(reply) => drop(reply.send(Err(rejection))),
            Self::Read(reply) => drop(reply.send(Err(rejection))),
        }
    }
}

fn described(config: &Config) -> String {
    let member = |member: &coordination::quorum::Member| match member.votes {
        false => format!("{} (learner)", member.name),
        true => member.name.clone(),
    };
    let members: Vec<String> = config.members.values().map(member).collect();
    members.join(", ")
}
