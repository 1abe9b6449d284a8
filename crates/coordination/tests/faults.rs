//! Holds the fault tables: a row a fault, with what must come of it.

mod raft_sim;

use std::collections::BTreeMap;

use crate::raft_sim::FaultRates;
use crate::raft_sim::Flaw;
use crate::raft_sim::Reply;
use crate::raft_sim::Request;
use crate::raft_sim::Sim;
use coordination::quorum::MemberId;
use coordination::raft::Effect;
use coordination::raft::Event;
use coordination::raft::Role;
use coordination::raft_entry::Position;
use coordination::raft_message::Body;
use coordination::raft_message::Envelope;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;
use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::edit::Receipt;
use state::ident::Digest;
use state::ledger::Attempt;
use state::ledger::CallKey;
use state::ledger::Decision;
use state::ledger::Intent;
use state::ledger::Outcome;
use state::ledger::Report;
use state::ledger::Response;
use state::ledger::Settlement;
use state::row::Name;
use state::sheet::Sheet;
use state::time::Instant;

const EDITS: u64 = 40;
const ELECTION_LIMIT: u64 = 2_000;
const HOLD: u64 = 2_000;
const REPAIR_LIMIT: u64 = 10_000;
const SEEDS: u64 = 20;

/// Tells what must come of a fault: each row's edits are kept in any case.
#[derive(Debug)]
enum Expected {
    /// The group accepts an edit within this time, while the fault lasts.
    Serves(u64),
    /// The group accepts no edit while the fault lasts, and does within this time afterwards.
    Waits(u64),
}

struct Row {
    expected: Expected,
    fault: fn(&mut Sim),
    name: &'static str,
    repair: fn(&mut Sim),
}

fn leader(sim: &Sim) -> usize {
    sim.leader().expect("a voter leads")
}

fn follower(sim: &Sim) -> usize {
    (leader(sim) + 1) % sim.hosts.len()
}

fn start_all(sim: &mut Sim) {
    sim.blocked.clear();
    for host in 0..sim.hosts.len() {
        if sim.hosts[host].raft.is_none() {
            sim.start(host);
        }
    }
}

const ROWS: &[Row] = &[
    Row {
        expected: Expected::Serves(ELECTION_LIMIT),
        fault: |sim| sim.crash(leader(sim)),
        name: "the leader crashes",
        repair: start_all,
    },
    Row {
        expected: Expected::Serves(ELECTION_LIMIT),
        fault: |sim| sim.crash(follower(sim)),
        name: "a follower crashes",
        repair: start_all,
    },
    Row {
        expected: Expected::Serves(ELECTION_LIMIT),
        fault: |sim| sim.cut(leader(sim), true, true),
        name: "the leader is cut off",
        repair: start_all,
    },
    Row {
        expected: Expected::Serves(ELECTION_LIMIT),
        fault: |sim| sim.cut(leader(sim), true, false),
        name: "the leader is not heard",
        repair: start_all,
    },
    Row {
        expected: Expected::Serves(ELECTION_LIMIT),
        fault: |sim| sim.cut(leader(sim), false, true),
        name: "the leader does not hear",
        repair: start_all,
    },
    Row {
        expected: Expected::Serves(ELECTION_LIMIT),
        fault: |sim| sim.cut(follower(sim), false, true),
        name: "a follower does not hear and must not depose the leader",
        repair: start_all,
    },
    Row {
        expected: Expected::Waits(ELECTION_LIMIT),
        fault: |sim| {
            sim.crash(follower(sim));
            sim.crash(leader(sim));
        },
        name: "two of three crash",
        repair: start_all,
    },
    Row {
        expected: Expected::Waits(ELECTION_LIMIT),
        fault: |sim| (0..3).for_each(|host| sim.crash(host)),
        name: "all crash at once",
        repair: start_all,
    },
    Row {
        expected: Expected::Serves(ELECTION_LIMIT),
        fault: |sim| sim.lose_disk(leader(sim)),
        name: "the leader's disk is lost and replaced by an empty one",
        repair: start_all,
    },
    Row {
        expected: Expected::Serves(ELECTION_LIMIT),
        fault: |sim| {
            sim.lose_disk(follower(sim));
            sim.until(REPAIR_LIMIT, Sim::whole);
            sim.lose_disk(leader(sim));
        },
        name: "a second disk is lost right after the repair of the first",
        repair: start_all,
    },
    Row {
        expected: Expected::Serves(ELECTION_LIMIT),
        fault: |sim| {
            sim.lose_disk(follower(sim));
            sim.until(REPAIR_LIMIT, Sim::whole);
            sim.crash(leader(sim));
        },
        name: "the leader crashes right after the repair of a lost disk",
        repair: start_all,
    },
    Row {
        expected: Expected::Serves(REPAIR_LIMIT),
        fault: |sim| sim.fault_rates = FaultRates::STORM,
        name: "messages are lost, late and doubled, and disks are slow",
        repair: |sim| sim.fault_rates = FaultRates::CALM,
    },
];

fn edit(number: u64) -> Command {
    let action = match number {
        0 => Action::Add(BTreeMap::from([(Column::Rank, "urgent".to_owned())])),
        _ => {
            let weight = Some(number.to_string());
            Action::Set(BTreeMap::from([(Column::Weight, weight)]))
        }
    };
    Command::Edit(Edit {
        action,
        author: "ana".to_owned(),
        if_revision: number,
        key: number.to_string(),
        name: Name {
            row: "r".to_owned(),
            sheet: Sheet::Kinds,
        },
    })
}

fn accepted(revision: u64) -> Answer {
    Answer::Edit(Ok(Receipt { revision }))
}

fn group(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 3, Flaw::None);
    for number in 0..EDITS {
        assert_eq!(sim.ask(number + 1, &edit(number)), accepted(number + 1));
    }
    sim
}

#[test]
fn faults_of_the_group_have_their_stated_outcome() {
    for row in ROWS {
        for seed in 0..SEEDS {
            let mut sim = group(seed);
            (row.fault)(&mut sim);
            let began = sim.now;
            let limit = match row.expected {
                Expected::Serves(limit) => limit,
                Expected::Waits(limit) => {
                    sim.run(ELECTION_LIMIT);
                    let leads = |host: &raft_sim::Host| {
                        let raft = host.raft.as_ref();
                        raft.is_some_and(|raft| raft.role() == Role::Leader)
                    };
                    assert!(!sim.hosts.iter().any(leads), "{}: seed {seed}", row.name);
                    (row.repair)(&mut sim);
                    limit + ELECTION_LIMIT
                }
            };
            assert_eq!(sim.ask(100, &edit(EDITS)), accepted(EDITS + 1));
            let took = sim.now - began;
            assert!(took <= limit, "{}: seed {seed}: {took} ms", row.name);
            (row.repair)(&mut sim);
            sim.until(REPAIR_LIMIT, Sim::whole);
            let resent = sim.ask(101, &edit(EDITS - 1));
            assert_eq!(resent, accepted(EDITS), "{}: seed {seed}", row.name);
            for host in &sim.hosts {
                assert_eq!(host.machine.table().revision(), EDITS + 1, "{}", row.name);
                assert_eq!(host.machine, sim.hosts[0].machine, "{}", row.name);
            }
        }
    }
}

#[test]
fn leader_that_is_cut_off_answers_no_read_once_another_can_lead() {
    for seed in 0..SEEDS {
        let mut sim = group(seed);
        let old = leader(&sim);
        sim.cut(old, true, true);
        sim.until(ELECTION_LIMIT, |sim| sim.leader().is_some_and(|l| l != old));
        for id in 200..210 {
            sim.request(old, id, Request::Read);
            sim.run(20);
        }
        let read = |(_, reply): &(u64, Reply)| matches!(reply, Reply::Read(_));
        assert!(!sim.replies.iter().any(read), "seed {seed}");
    }
}

/// Names the step after which an entry host crashes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Accept,
    Begin,
    Send,
    Finish,
}

fn begin(intent_id: u128) -> Command {
    Command::Begin(Intent {
        digest: Digest::of(&[b"book"]),
        timeout_ms: HOLD,
        key: CallKey {
            idempotency: "k".to_owned(),
            workspace: "w".to_owned(),
        },
        intent_id,
    })
}

fn booked() -> Response {
    Response {
        body: b"booked".to_vec(),
        content_type: "text/plain".to_owned(),
        status: 201,
    }
}

#[test]
fn crash_of_an_entry_host_has_its_stated_outcome_at_every_step() {
    let rows = [
        (Step::Accept, Decision::Run(Attempt(1)), 0),
        (Step::Begin, Decision::Unknown, 0),
        (Step::Send, Decision::Unknown, 1),
        (Step::Finish, Decision::Replay(booked()), 1),
    ];
    for (crash, expected, runs) in rows {
        let mut sim = Sim::new(1, 3, Flaw::None);
        let mut ran = 0;
        if crash >= Step::Begin {
            let run = Answer::Begin(Decision::Run(Attempt(1)));
            assert_eq!(sim.ask(1, &begin(1)), run);
        }
        if crash >= Step::Send {
            ran += 1;
        }
        if crash >= Step::Finish {
            let report = Command::Finish(Report {
                attempt: Attempt(1),
                key: CallKey {
                    idempotency: "k".to_owned(),
                    workspace: "w".to_owned(),
                },
                outcome: Outcome::Done(booked()),
            });
            let recorded = Answer::Finish(Settlement::Recorded);
            assert_eq!(sim.ask(2, &report), recorded);
        }
        sim.crash(leader(&sim));
        sim.run(2 * HOLD);
        let repeat = sim.ask(3, &begin(2));
        assert_eq!(repeat, Answer::Begin(expected), "{crash:?}");
        assert_eq!(ran, runs, "{crash:?}");
    }
}

#[test]
fn voter_that_hears_its_leader_grants_no_vote() {
    let mut sim = group(1);
    let (from, to) = (follower(&sim) + 1, follower(&sim));
    let from = sim.hosts[from % 3].disk.identity;
    let raft = sim.hosts[to].raft.as_mut().expect("voter runs");
    let term = raft.term();
    for body in [
        Body::PreVote {
            last: raft.last_position(),
        },
        Body::Vote {
            last: raft.last_position(),
        },
    ] {
        let envelope = Envelope {
            body,
            from,
            group: raft.config().group,
            term: term + 1,
            to: raft.identity(),
        };
        let effects = raft.step(Instant(0), Event::Message(envelope));
        let granted = |effect: &Effect| match effect {
            Effect::Send(envelope) => matches!(
                envelope.body,
                Body::PreVoteReply { granted: true } | Body::VoteReply { granted: true }
            ),
            _ => false,
        };
        assert!(!effects.iter().any(granted));
        assert_eq!(raft.term(), term);
    }
}

#[test]
fn message_to_another_identity_on_the_same_host_is_dropped() {
    let mut sim = group(1);
    let host = follower(&sim);
    let old = sim.hosts[host].disk.identity;
    sim.lose_disk(host);
    let raft = sim.hosts[host].raft.as_mut().expect("voter runs");
    let envelope = Envelope {
        body: Body::Vote {
            last: Position { term: 9, index: 99 },
        },
        from: MemberId(1),
        group: MemberId(1),
        term: 9,
        to: old,
    };
    let effects = raft.step(Instant(10_000), Event::Message(envelope));
    assert!(effects.is_empty(), "{effects:?}");
}
