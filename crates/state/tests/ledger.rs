//! The ledger: calls run at most once, whatever is repeated, delayed or lost.

use assert_matches::assert_matches;

use state::ident::Digest;
use state::ledger::Attempt;
use state::ledger::CallKey;
use state::ledger::Decision;
use state::ledger::Intent;
use state::ledger::Ledger;
use state::ledger::Limits;
use state::ledger::Outcome;
use state::ledger::Report;
use state::ledger::Response;
use state::ledger::Settlement;

const TIMEOUT_MS: u64 = 1_000;
const LIMITS: Limits = Limits {
    max_answers: 3,
    answer_window_ms: 10_000,
    max_bytes: 1_000,
    dedup_window_ms: 100_000,
    max_records: 5,
    max_answer_bytes: 400,
};

fn intent(key: &str, intent_id: u128) -> Intent {
    Intent {
        digest: Digest::of(&[b"body"]),
        timeout_ms: TIMEOUT_MS,
        key: call_key(key),
        intent_id,
    }
}

fn call_key(key: &str) -> CallKey {
    CallKey {
        idempotency: key.to_owned(),
        workspace: "w".to_owned(),
    }
}

fn report(key: &str, attempt: u64, outcome: Outcome) -> Report {
    Report {
        attempt: Attempt(attempt),
        key: call_key(key),
        outcome,
    }
}

fn response(bytes: usize) -> Response {
    Response {
        body: vec![7; bytes],
        content_type: "application/json".to_owned(),
        status: 201,
    }
}

#[test]
fn the_answer_of_a_completed_call_is_replayed() {
    let mut ledger = Ledger::new(LIMITS);
    let decision = ledger.begin(0, &intent("a", 1));
    assert_eq!(decision, Decision::Run(Attempt(1)));
    let done = report("a", 1, Outcome::Done(response(5)));
    assert_eq!(ledger.finish(10, &done), Settlement::Recorded);
    assert_eq!(ledger.finish(20, &done), Settlement::Recorded);
    let decision = ledger.begin(30, &intent("a", 2));
    assert_eq!(decision, Decision::Replay(response(5)));
}

#[test]
fn a_copy_of_an_intent_gets_the_same_attempt_and_another_intent_waits() {
    let mut ledger = Ledger::new(LIMITS);
    assert_eq!(ledger.begin(0, &intent("a", 1)), Decision::Run(Attempt(1)));
    assert_eq!(ledger.begin(1, &intent("a", 1)), Decision::Run(Attempt(1)));
    assert_eq!(
        ledger.begin(2, &intent("a", 2)),
        Decision::Running(Attempt(1))
    );
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    let mut other = intent("a", 2);
    other.digest = Digest::of(&[b"other"]);
    assert_eq!(ledger.begin(1, &other), Decision::Mismatch);
}

#[test]
fn equal_keys_of_two_workspaces_are_two_calls() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    let mut other = intent("a", 2);
    other.key.workspace = "v".to_owned();
    assert_eq!(ledger.begin(1, &other), Decision::Run(Attempt(2)));
}

#[test]
fn a_call_that_did_not_run_gets_a_greater_attempt() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    ledger.finish(1, &report("a", 1, Outcome::NotRun));
    assert_eq!(ledger.begin(2, &intent("a", 2)), Decision::Run(Attempt(2)));
    let late = report("a", 1, Outcome::Done(response(1)));
    assert_eq!(ledger.finish(3, &late), Settlement::Stale);
}

#[test]
fn an_abandoned_attempt_becomes_unknown_and_never_runs_again() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    let decision = ledger.begin(TIMEOUT_MS - 1, &intent("a", 2));
    assert_eq!(decision, Decision::Running(Attempt(1)));
    assert_eq!(ledger.begin(TIMEOUT_MS, &intent("a", 2)), Decision::Unknown);
    assert_eq!(ledger.begin(TIMEOUT_MS, &intent("a", 1)), Decision::Unknown);
}

#[test]
fn a_late_answer_replaces_an_unknown_outcome() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    ledger.expire(TIMEOUT_MS);
    let done = report("a", 1, Outcome::Done(response(3)));
    assert_eq!(ledger.finish(TIMEOUT_MS + 5, &done), Settlement::Recorded);
    let decision = ledger.begin(TIMEOUT_MS + 6, &intent("a", 2));
    assert_eq!(decision, Decision::Replay(response(3)));
    let unknown = report("a", 1, Outcome::Unknown);
    assert_eq!(ledger.finish(TIMEOUT_MS + 7, &unknown), Settlement::Stale);
}

// The id of the call is kept for the deduplication window, its margin of one fiftieth and the rest
// of its bucket: until 103_562 ms here.
#[test]
fn a_repeat_after_the_answer_window_is_refused_until_the_dedup_window_ends() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    ledger.finish(0, &report("a", 1, Outcome::Done(response(3))));
    let repeat = intent("a", 2);
    assert_matches!(ledger.begin(9_999, &repeat), Decision::Replay(_));
    assert_eq!(ledger.begin(10_000, &repeat), Decision::Expired);
    assert_eq!(ledger.begin(102_000, &repeat), Decision::Expired);
    assert_matches!(ledger.begin(104_000, &repeat), Decision::Run(_));
}

#[test]
fn too_many_answers_drop_the_oldest_but_no_call_runs_again() {
    let mut ledger = Ledger::new(LIMITS);
    for (number, key) in ["a", "b", "c", "d"].into_iter().enumerate() {
        ledger.begin(0, &intent(key, 1));
        let attempt = number as u64 + 1;
        ledger.finish(0, &report(key, attempt, Outcome::Done(response(3))));
    }
    assert_eq!(ledger.begin(1, &intent("a", 2)), Decision::Expired);
    assert_matches!(ledger.begin(1, &intent("b", 2)), Decision::Replay(_));
}

#[test]
fn a_full_ledger_refuses_only_new_calls() {
    let mut ledger = Ledger::new(LIMITS);
    for key in ["a", "b", "c", "d", "e"] {
        assert_matches!(ledger.begin(0, &intent(key, 1)), Decision::Run(_));
    }
    assert_eq!(ledger.begin(1, &intent("f", 1)), Decision::Full);
    assert_eq!(
        ledger.begin(1, &intent("a", 2)),
        Decision::Running(Attempt(1))
    );
}

#[test]
fn an_oversized_answer_is_not_kept_and_its_call_never_runs_again() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    let done = report("a", 1, Outcome::Done(response(500)));
    assert_eq!(ledger.finish(1, &done), Settlement::Recorded);
    assert_eq!(ledger.begin(2, &intent("a", 2)), Decision::Expired);
}

#[test]
fn a_call_that_did_not_run_is_forgotten_after_the_answer_window() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    ledger.finish(0, &report("a", 1, Outcome::NotRun));
    ledger.expire(10_000);
    assert!(ledger.is_empty());
}

// The network may deliver a copy of an intent after its attempt was reported as not run. Its sender
// no longer waits for the answer, so an attempt for it would end as unknown, and the call could
// never run.
#[test]
fn a_late_copy_of_an_answered_intent_starts_no_attempt() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    ledger.finish(1, &report("a", 1, Outcome::NotRun));
    assert_eq!(ledger.begin(2, &intent("a", 1)), Decision::Stale);
    ledger.begin(3, &intent("a", 2));
    ledger.finish(4, &report("a", 2, Outcome::NotRun));
    assert_eq!(ledger.begin(5, &intent("a", 1)), Decision::Stale);
    assert_eq!(ledger.begin(6, &intent("a", 3)), Decision::Run(Attempt(3)));
}

// The copy of a report arrives while a later attempt is running; refusing it would tell its sender
// that the report was never recorded.
#[test]
fn a_late_copy_of_a_report_gets_its_first_answer() {
    let mut ledger = Ledger::new(LIMITS);
    let not_run = report("a", 1, Outcome::NotRun);
    ledger.begin(0, &intent("a", 1));
    assert_eq!(ledger.finish(1, &not_run), Settlement::Recorded);
    ledger.begin(2, &intent("a", 2));
    assert_eq!(ledger.finish(3, &not_run), Settlement::Recorded);
    assert_eq!(
        ledger.begin(4, &intent("a", 3)),
        Decision::Running(Attempt(2))
    );
}

// As for an intent that got an attempt: one that was answered with `Running` is not waited for any
// more when its copy arrives.
#[test]
fn a_late_copy_of_an_intent_that_had_to_wait_starts_no_attempt() {
    let mut ledger = Ledger::new(LIMITS);
    ledger.begin(0, &intent("a", 1));
    let decision = ledger.begin(1, &intent("a", 2));
    assert_eq!(decision, Decision::Running(Attempt(1)));
    ledger.finish(2, &report("a", 1, Outcome::NotRun));
    assert_eq!(ledger.begin(3, &intent("a", 2)), Decision::Stale);
    assert_eq!(ledger.begin(4, &intent("a", 3)), Decision::Run(Attempt(2)));
}
