//! Tests of leases and of snapshots of the replicated state machine.

use coordination::lease::Answer;
use coordination::lease::Grant;
use coordination::lease::Leases;
use coordination::lease::MAX_CLOCK_DRIFT_PERMILLE;
use coordination::lease::Request;
use coordination::state_machine;
use coordination::state_machine::Command;
use coordination::state_machine::StateMachine;
use state::edit::Action;
use state::edit::Edit;
use state::ident::Digest;
use state::ledger::Attempt;
use state::ledger::CallKey;
use state::ledger::Decision;
use state::ledger::Intent;
use state::row::Name;
use state::sheet::Sheet;
use state::time::Instant;

fn ask(holder: &str, duration_ms: u64) -> Request {
    Request {
        duration_ms,
        holder: holder.to_owned(),
        name: "orders".to_owned(),
    }
}

/// Guards against two holders of one lease, and against a fencing token that is used again.
#[test]
fn lease_has_one_holder_and_each_new_holder_a_greater_fencing_token() {
    let mut leases = Leases::default();
    let grant = |fence| {
        Answer::Granted(Grant {
            duration_ms: 1_000,
            fence,
        })
    };
    let held = Answer::Held {
        fence: 1,
        holder: "a".to_owned(),
    };
    assert_eq!(leases.request(0, &ask("a", 1_000)), grant(1));
    assert_eq!(leases.request(500, &ask("a", 1_000)), grant(1));
    assert_eq!(leases.request(1_499, &ask("b", 1_000)), held);
    assert_eq!(leases.request(1_500, &ask("b", 1_000)), grant(2));
    assert_eq!(
        leases.request(1_500, &ask("a", 0)),
        Answer::Held {
            fence: 2,
            holder: "b".to_owned(),
        }
    );
    assert_eq!(leases.request(1_501, &ask("b", 0)), Answer::Released);
    assert_eq!(leases.request(1_502, &ask("a", 1_000)), grant(3));
}

/// Guards against an overlap of two holders when the holder's clock is slow and the leader's clock,
/// which sets the log time, is fast.
#[test]
fn holder_stops_before_the_lease_expires_at_the_limits_of_clock_drift() {
    let grant = Grant {
        duration_ms: 10_000,
        fence: 1,
    };
    let local_ms = grant.expires_at(Instant(0)).0 as f64;
    let drift = MAX_CLOCK_DRIFT_PERMILLE as f64 / 1_000.0;
    let stops = local_ms / (1.0 - drift);
    let expires = 10_000.0 / (1.0 + drift);
    assert!(
        stops <= expires,
        "holder stops at {stops}, lease expires at {expires}"
    );
}

/// Guards against a resent command that takes effect again on a voter restored from a snapshot.
#[test]
fn snapshot_keeps_the_answers_that_suppress_duplicates() {
    let edit = Command::Edit(Edit {
        action: Action::Add([].into()),
        author: "ana".to_owned(),
        if_revision: 0,
        key: "k".to_owned(),
        name: Name {
            row: "r".to_owned(),
            sheet: Sheet::Models,
        },
    });
    let begin = |intent_id| {
        Command::Begin(Intent {
            digest: Digest::of(&[b"body"]),
            timeout_ms: 1_000,
            key: CallKey {
                idempotency: "k".to_owned(),
                workspace: "w".to_owned(),
            },
            intent_id,
        })
    };
    let mut machine = StateMachine::default();
    let first = machine.apply(1, &edit);
    machine.apply(2, &begin(1));
    let bytes = machine.snapshot().expect("state encodes");
    let mut restored = StateMachine::restore(&bytes).expect("snapshot decodes");
    assert_eq!(restored, machine);
    assert_eq!(restored.apply(3, &edit), first);
    let waits = state_machine::Answer::Begin(Decision::Running(Attempt(1)));
    assert_eq!(restored.apply(4, &begin(2)), waits);
    assert_eq!(restored.apply(1, &begin(2)), waits);
    assert_eq!(restored.log_time_ms(), 4);
}
