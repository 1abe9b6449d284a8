//! Tables of faults of a Raft group, each with the outcome that must follow.

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
/// Time within which the group must have a leader again.
const ELECTION_MS: u64 = 2_000;
const CALL_TIMEOUT_MS: u64 = 2_000;
const REPAIR_LIMIT_MS: u64 = 10_000;
const SEEDS: u64 = 20;

/// Outcome that must follow a fault; accepted edits are kept in any case.
#[derive(Debug)]
enum Expected {
    /// The group accepts an edit within this many milliseconds, while the fault lasts.
    Serves(u64),
    /// The group accepts no edit while the fault lasts, and accepts one within this many
    /// milliseconds after the repair.
    Waits(u64),
}

/// A fault, its repair and the outcome in between.
struct FaultCase {
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

const FAULT_CASES: &[FaultCase] = &[
    FaultCase {
        expected: Expected::Serves(ELECTION_MS),
        fault: |sim| sim.crash(leader(sim)),
        name: "the leader crashes",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Serves(ELECTION_MS),
        fault: |sim| sim.crash(follower(sim)),
        name: "a follower crashes",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Serves(ELECTION_MS),
        fault: |sim| sim.cut_links(leader(sim), true, true),
        name: "the leader is cut off",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Serves(ELECTION_MS),
        fault: |sim| sim.cut_links(leader(sim), true, false),
        name: "the leader cannot send",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Serves(ELECTION_MS),
        fault: |sim| sim.cut_links(leader(sim), false, true),
        name: "the leader cannot receive",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Serves(ELECTION_MS),
        fault: |sim| sim.cut_links(follower(sim), false, true),
        name: "a follower cannot receive and must not depose the leader",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Waits(ELECTION_MS),
        fault: |sim| {
            sim.crash(follower(sim));
            sim.crash(leader(sim));
        },
        name: "two of three crash",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Waits(ELECTION_MS),
        fault: |sim| (0..3).for_each(|host| sim.crash(host)),
        name: "all crash at once",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Serves(ELECTION_MS),
        fault: |sim| sim.lose_disk(leader(sim)),
        name: "the leader's disk is lost and replaced by an empty one",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Serves(ELECTION_MS),
        fault: |sim| {
            sim.lose_disk(follower(sim));
            sim.run_until(REPAIR_LIMIT_MS, Sim::has_recovered);
            sim.lose_disk(leader(sim));
        },
        name: "a second disk is lost right after the repair of the first",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Serves(ELECTION_MS),
        fault: |sim| {
            sim.lose_disk(follower(sim));
            sim.run_until(REPAIR_LIMIT_MS, Sim::has_recovered);
            sim.crash(leader(sim));
        },
        name: "the leader crashes right after the repair of a lost disk",
        repair: start_all,
    },
    FaultCase {
        expected: Expected::Serves(REPAIR_LIMIT_MS),
        fault: |sim| sim.fault_rates = FaultRates::HEAVY,
        name: "messages are lost, late and duplicated, and disks are slow",
        repair: |sim| sim.fault_rates = FaultRates::LIGHT,
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

/// Returns a group of three voters that has accepted all edits.
fn group_with_edits(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 3, Flaw::None);
    for number in 0..EDITS {
        assert_eq!(sim.execute(number + 1, &edit(number)), accepted(number + 1));
    }
    sim
}

/// Guards against a group that stops serving under a tolerable fault, elects a leader without a
/// majority, loses an accepted edit, or ends with members that differ.
#[test]
fn group_serves_or_waits_as_stated_and_keeps_accepted_edits_under_each_fault() {
    for row in FAULT_CASES {
        for seed in 0..SEEDS {
            let mut sim = group_with_edits(seed);
            (row.fault)(&mut sim);
            let start = sim.now;
            let limit = match row.expected {
                Expected::Serves(limit) => limit,
                Expected::Waits(limit) => {
                    sim.run(ELECTION_MS);
                    let leads = |host: &raft_sim::Host| {
                        let raft = host.raft.as_ref();
                        raft.is_some_and(|raft| raft.role() == Role::Leader)
                    };
                    assert!(!sim.hosts.iter().any(leads), "{}: seed {seed}", row.name);
                    (row.repair)(&mut sim);
                    limit + ELECTION_MS
                }
            };
            assert_eq!(sim.execute(100, &edit(EDITS)), accepted(EDITS + 1));
            let took_ms = sim.now - start;
            assert!(took_ms <= limit, "{}: seed {seed}: {took_ms} ms", row.name);
            (row.repair)(&mut sim);
            sim.run_until(REPAIR_LIMIT_MS, Sim::has_recovered);
            let resent = sim.execute(101, &edit(EDITS - 1));
            assert_eq!(resent, accepted(EDITS), "{}: seed {seed}", row.name);
            for host in &sim.hosts {
                assert_eq!(host.machine.table().revision(), EDITS + 1, "{}", row.name);
                assert_eq!(host.machine, sim.hosts[0].machine, "{}", row.name);
            }
        }
    }
}

/// Guards against stale reads: a leader without links must let its lease end before the others can
/// elect a new leader.
#[test]
fn isolated_leader_answers_no_read_once_another_leads() {
    for seed in 0..SEEDS {
        let mut sim = group_with_edits(seed);
        let old = leader(&sim);
        sim.cut_links(old, true, true);
        sim.run_until(ELECTION_MS, |sim| sim.leader().is_some_and(|l| l != old));
        for id in 200..210 {
            sim.request(old, id, Request::Read);
            sim.run(20);
        }
        let read = |(_, reply): &(u64, Reply)| matches!(reply, Reply::Read(_));
        assert!(!sim.replies.iter().any(read), "seed {seed}");
    }
}

/// The step of a call after which the entry host crashes.
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
        timeout_ms: CALL_TIMEOUT_MS,
        key: CallKey {
            idempotency: "k".to_owned(),
            workspace: "w".to_owned(),
        },
        intent_id,
    })
}

fn stored_response() -> Response {
    Response {
        body: b"booked".to_vec(),
        content_type: "text/plain".to_owned(),
        status: 201,
    }
}

/// Guards against a call that is sent twice: a repeat after a crash may run only if the first
/// attempt had not begun, and replays the stored response once that is recorded.
#[test]
fn repeat_after_a_crash_of_the_entry_host_runs_no_call_twice() {
    let rows = [
        (Step::Accept, Decision::Run(Attempt(1)), 0),
        (Step::Begin, Decision::Unknown, 0),
        (Step::Send, Decision::Unknown, 1),
        (Step::Finish, Decision::Replay(stored_response()), 1),
    ];
    for (crash, expected, runs) in rows {
        let mut sim = Sim::new(1, 3, Flaw::None);
        let mut send_count = 0;
        if crash >= Step::Begin {
            let run = Answer::Begin(Decision::Run(Attempt(1)));
            assert_eq!(sim.execute(1, &begin(1)), run);
        }
        if crash >= Step::Send {
            send_count += 1;
        }
        if crash >= Step::Finish {
            let report = Command::Finish(Report {
                attempt: Attempt(1),
                key: CallKey {
                    idempotency: "k".to_owned(),
                    workspace: "w".to_owned(),
                },
                outcome: Outcome::Done(stored_response()),
            });
            let recorded = Answer::Finish(Settlement::Recorded);
            assert_eq!(sim.execute(2, &report), recorded);
        }
        sim.crash(leader(&sim));
        sim.run(2 * CALL_TIMEOUT_MS);
        let repeat = sim.execute(3, &begin(2));
        assert_eq!(repeat, Answer::Begin(expected), "{crash:?}");
        assert_eq!(send_count, runs, "{crash:?}");
    }
}

/// Guards against a follower that deposes a working leader because only its own link is broken.
#[test]
fn voter_in_contact_with_its_leader_grants_no_vote() {
    let mut sim = group_with_edits(1);
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

/// Guards against a member with an empty disk that acts on messages for the member that its host
/// ran before, whose votes and entries it does not have.
#[test]
fn message_to_another_member_id_on_the_same_host_is_dropped() {
    let mut sim = group_with_edits(1);
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
