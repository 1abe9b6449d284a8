//! Tests of the denials of retries, the retry budgets and the backoff.

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

fn exhausted(workspaces: usize, upstreams: usize) -> RetryBudgets {
    let mut budgets = RetryBudgets::new(Policy::default(), SEED);
    for i in 0..20 {
        let other = Failure {
            upstream: format!("u{}", i % upstreams),
            workspace: format!("w{}", i % workspaces),
            ..failure()
        };
        budgets.try_retry(NOW, &other).unwrap();
    }
    budgets
}

#[test]
fn each_denial_is_reached() {
    for denial in Denial::iter() {
        let policy = Policy::default();
        let mut failure = failure();
        let mut budgets = RetryBudgets::new(policy, SEED);
        match denial {
            Denial::Attempts => failure.attempt = policy.attempt_limit,
            Denial::Deadline => failure.deadline = NOW + policy.initial_backoff_ms / 2,
            Denial::MayHaveRun => failure.idempotent = false,
            Denial::UpstreamBudget => {
                budgets = exhausted(20, 1);
                failure.upstream = "u0".to_owned();
            }
            Denial::WorkspaceBudget => {
                budgets = exhausted(1, 20);
                failure.workspace = "w0".to_owned();
            }
        }
        assert_eq!(budgets.try_retry(NOW, &failure), Err(denial));
    }
}

#[test]
fn a_request_that_cannot_have_run_is_retried_even_if_it_is_not_idempotent() {
    let mut budgets = RetryBudgets::new(Policy::default(), SEED);
    let unsent = Failure {
        idempotent: false,
        may_have_run: false,
        ..failure()
    };
    assert!(budgets.try_retry(NOW, &unsent).is_ok());
}

#[test]
fn a_denial_charges_nothing() {
    let mut budgets = exhausted(20, 1);
    for _ in 0..100 {
        let other = Failure {
            upstream: "u0".to_owned(),
            ..failure()
        };
        assert_eq!(budgets.try_retry(NOW, &other), Err(Denial::UpstreamBudget));
    }
    assert!(budgets.try_retry(NOW, &failure()).is_ok());
}

#[test]
fn first_attempts_and_time_refill_a_budget() {
    let mut budgets = exhausted(1, 20);
    let other = Failure {
        workspace: "w0".to_owned(),
        ..failure()
    };
    assert!(budgets.try_retry(NOW, &other).is_err());
    for _ in 0..10 {
        budgets.record_first_attempt(NOW, "w0", "u");
    }
    assert!(budgets.try_retry(NOW, &other).is_ok());
    assert!(budgets.try_retry(NOW, &other).is_err());
    assert!(budgets.try_retry(NOW + 2_000, &other).is_ok());
}

#[test]
fn retries_add_at_most_a_tenth_to_the_load_of_a_failing_upstream() {
    let mut budgets = RetryBudgets::new(Policy::default(), SEED);
    let mut made = 0;
    for _ in 0..10_000 {
        budgets.record_first_attempt(NOW, "w", "u");
        made += u64::from(budgets.try_retry(NOW, &failure()).is_ok());
    }
    assert_eq!(made, 1_000 + Policy::default().burst - 1);
}

#[test]
fn backoff_doubles_up_to_its_limit_with_jitter() {
    let policy = Policy {
        attempt_limit: 12,
        burst: 1_000,
        ..Policy::default()
    };
    let mut budgets = RetryBudgets::new(policy, SEED);
    for attempt in 1..11 {
        let limit = (policy.initial_backoff_ms << (attempt - 1)).min(policy.max_backoff_ms);
        let failure = Failure {
            attempt,
            ..failure()
        };
        let backoffs: Vec<_> = (0..20)
            .map(|_| budgets.try_retry(NOW, &failure).unwrap())
            .collect();
        assert!(backoffs.iter().all(|p| (limit / 2..=limit).contains(p)));
        assert!(backoffs.iter().any(|p| *p != backoffs[0]));
    }
}

#[test]
fn pruning_does_not_refill_a_budget() {
    let mut budgets = exhausted(1, 20);
    budgets.prune(NOW);
    let other = Failure {
        workspace: "w0".to_owned(),
        ..failure()
    };
    assert_eq!(budgets.try_retry(NOW, &other), Err(Denial::WorkspaceBudget));
}

#[test]
fn can_retry_agrees_with_try_retry() {
    let mut budgets = RetryBudgets::new(Policy::default(), SEED);
    for _ in 0..Policy::default().burst {
        assert!(budgets.can_retry(NOW, "w", "u"));
        budgets.try_retry(NOW, &failure()).unwrap();
    }
    assert!(!budgets.can_retry(NOW, "w", "u"));
    assert!(budgets.try_retry(NOW, &failure()).is_err());
    assert!(budgets.can_retry(NOW, "other", "other"));
}
