//! Checks that each denial of a retry is reached, and what a retry costs.

use strum::IntoEnumIterator;

use coordination::retry::Denial;
use coordination::retry::Failure;
use coordination::retry::Policy;
use coordination::retry::RetryBudgets;
use state::time::Instant;

const NOW: Instant = Instant(1_000);
const SEED: u64 = 7;

fn failure() -> Failure {
    Failure {
        attempt: 1,
        deadline: NOW + 10_000,
        idempotent: true,
        may_have_run: true,
        upstream: "u".to_owned(),
        workspace: "w".to_owned(),
    }
}

fn spent(workspaces: usize, upstreams: usize) -> RetryBudgets {
    let mut retries = RetryBudgets::new(Policy::default(), SEED);
    for i in 0..20 {
        let other = Failure {
            upstream: format!("u{}", i % upstreams),
            workspace: format!("w{}", i % workspaces),
            ..failure()
        };
        retries.try_retry(NOW, &other).unwrap();
    }
    retries
}

#[test]
fn each_denial_is_reached() {
    for denial in Denial::iter() {
        let policy = Policy::default();
        let mut failure = failure();
        let mut retries = RetryBudgets::new(policy, SEED);
        match denial {
            Denial::Attempts => failure.attempt = policy.attempt_limit,
            Denial::Deadline => failure.deadline = NOW + policy.initial_backoff_ms / 2,
            Denial::MayHaveRun => failure.idempotent = false,
            Denial::UpstreamBudget => {
                retries = spent(20, 1);
                failure.upstream = "u0".to_owned();
            }
            Denial::WorkspaceBudget => {
                retries = spent(1, 20);
                failure.workspace = "w0".to_owned();
            }
        }
        assert_eq!(retries.try_retry(NOW, &failure), Err(denial));
    }
}

#[test]
fn a_request_that_cannot_have_run_is_made_again_even_when_it_must_run_once() {
    let mut retries = RetryBudgets::new(Policy::default(), SEED);
    let unsent = Failure {
        idempotent: false,
        may_have_run: false,
        ..failure()
    };
    assert!(retries.try_retry(NOW, &unsent).is_ok());
}

#[test]
fn a_denial_charges_nothing() {
    let mut retries = spent(20, 1);
    for _ in 0..100 {
        let other = Failure {
            upstream: "u0".to_owned(),
            ..failure()
        };
        assert_eq!(retries.try_retry(NOW, &other), Err(Denial::UpstreamBudget));
    }
    assert!(retries.try_retry(NOW, &failure()).is_ok());
}

#[test]
fn successes_and_time_earn_budget_again() {
    let mut retries = spent(1, 20);
    let other = Failure {
        workspace: "w0".to_owned(),
        ..failure()
    };
    assert!(retries.try_retry(NOW, &other).is_err());
    for _ in 0..10 {
        retries.record_first_attempt(NOW, "w0", "u");
    }
    assert!(retries.try_retry(NOW, &other).is_ok());
    assert!(retries.try_retry(NOW, &other).is_err());
    assert!(retries.try_retry(NOW + 2_000, &other).is_ok());
}

#[test]
fn a_failing_upstream_adds_at_most_a_tenth_to_its_load_in_the_long_run() {
    let mut retries = RetryBudgets::new(Policy::default(), SEED);
    let mut made = 0;
    for _ in 0..10_000 {
        retries.record_first_attempt(NOW, "w", "u");
        made += u64::from(retries.try_retry(NOW, &failure()).is_ok());
    }
    assert_eq!(made, 1_000 + Policy::default().burst - 1);
}

#[test]
fn pauses_double_to_their_bound_and_vary() {
    let policy = Policy {
        attempt_limit: 12,
        burst: 1_000,
        ..Policy::default()
    };
    let mut retries = RetryBudgets::new(policy, SEED);
    for attempt in 1..11 {
        let limit = (policy.initial_backoff_ms << (attempt - 1)).min(policy.max_backoff_ms);
        let failure = Failure {
            attempt,
            ..failure()
        };
        let pauses: Vec<_> = (0..20)
            .map(|_| retries.try_retry(NOW, &failure).unwrap())
            .collect();
        assert!(pauses.iter().all(|p| (limit / 2..=limit).contains(p)));
        assert!(pauses.iter().any(|p| *p != pauses[0]));
    }
}

#[test]
fn full_budgets_are_forgotten_without_effect() {
    let mut retries = spent(1, 20);
    retries.prune(NOW);
    let other = Failure {
        workspace: "w0".to_owned(),
        ..failure()
    };
    assert_eq!(retries.try_retry(NOW, &other), Err(Denial::WorkspaceBudget));
}

#[test]
fn a_retry_is_afforded_exactly_while_it_would_be_made() {
    let mut retries = RetryBudgets::new(Policy::default(), SEED);
    for _ in 0..Policy::default().burst {
        assert!(retries.can_retry(NOW, "w", "u"));
        retries.try_retry(NOW, &failure()).unwrap();
    }
    assert!(!retries.can_retry(NOW, "w", "u"));
    assert!(retries.try_retry(NOW, &failure()).is_err());
    assert!(retries.can_retry(NOW, "other", "other"));
}
