//! Tests of retries, the retry budget and the failure rate of workers.

use std::time::Duration;

use borageladder_kernel::attempt::DispatchTally;
use borageladder_kernel::attempt::NotRunProof;
use borageladder_kernel::attempt::RepeatError;
use borageladder_kernel::attempt::RepeatLimits;
use borageladder_kernel::attempt::RunStatement;
use borageladder_kernel::attempt::WorkKind;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::failure::FailureRate;
use borageladder_kernel::retry::RetryBounds;
use borageladder_kernel::retry::RetryBudget;
use yare::parameterized;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    headroom: 56.0,
    window: Duration::from_secs(10),
};

#[parameterized(
    safe = { WorkKind::Safe, true },
    unsafe_work = { WorkKind::Unsafe, false },
    stream = { WorkKind::Stream { resumable: false }, false },
    resumable = { WorkKind::Stream { resumable: true }, true },
)]
fn only_idempotent_work_may_be_retried(kind: WorkKind, expected: bool) {
    assert_eq!(kind.retryable().is_some(), expected);
}

/// Returns the proof that a worker gives in a rejection that names the request.
fn stated_proof() -> NotRunProof {
    let statement = RunStatement {
        not_run: true,
        names_request: true,
    };
    NotRunProof::of(statement).expect("a proof")
}

/// The limits of work that runs at most once.
const ONE_RUN: RepeatLimits = RepeatLimits {
    kind: WorkKind::Unsafe,
    max_runs: 1,
};

// Guards against a permit that outlives the limits by which it was given: a request that may have run
// is sent again though its route changed meanwhile.
#[parameterized(
    unsafe_now = { WorkKind::Unsafe, 3 },
    not_resumable_now = { WorkKind::Stream { resumable: false }, 3 },
    fewer_runs = { WorkKind::Safe, 1 },
    no_runs = { WorkKind::Safe, 0 },
)]
fn a_dispatch_is_checked_against_the_limits_that_hold_then(kind: WorkKind, max_runs: u32) {
    let before = RepeatLimits {
        kind: WorkKind::Safe,
        max_runs: 3,
    };
    let now = RepeatLimits { kind, max_runs };
    let mut dispatches = DispatchTally::default();
    assert_eq!(dispatches.record_dispatch(before), Ok(()));
    assert!(dispatches.permit_retry(before).is_some());
    assert_eq!(dispatches.record_dispatch(now), Err(RepeatError));
    assert_eq!(dispatches.count(), 1);
    assert_eq!(dispatches.record_dispatch(before), Ok(()));
}

#[test]
fn the_first_dispatch_is_allowed_whatever_the_limits() {
    let none = RepeatLimits {
        kind: WorkKind::Unsafe,
        max_runs: 0,
    };
    assert_eq!(DispatchTally::default().record_dispatch(none), Ok(()));
}

#[test]
fn a_rejection_is_not_a_run() {
    let mut dispatches = DispatchTally::default();
    assert_eq!(dispatches.record_dispatch(ONE_RUN), Ok(()));
    assert!(dispatches.may_have_run());
    let permit = dispatches.permit_after_rejection(&stated_proof());
    assert!(permit.is_some());
    assert!(!dispatches.may_have_run());
}

#[test]
fn rejected_dispatches_are_limited() {
    let mut dispatches = DispatchTally::default();
    let permits = (0..10).filter(|_| {
        assert_eq!(dispatches.record_dispatch(ONE_RUN), Ok(()));
        dispatches.permit_after_rejection(&stated_proof()).is_some()
    });
    assert_eq!(permits.count(), 3);
}

#[test]
fn all_hosts_together_stay_within_the_retry_budget_in_each_window() {
    let hosts = 8;
    let mut budgets: Vec<RetryBudget> = (0..hosts).map(|_| RetryBudget::new(BOUNDS)).collect();
    let mut requests: Vec<ClockTime> = Vec::new();
    let mut retries: Vec<ClockTime> = Vec::new();
    for turn in 0..2_000 {
        let now = ClockTime::from_millis(20 * turn);
        // One host receives half of all requests, and every request fails once.
        let other = 1 + usize::try_from(turn / 2).expect("a small number") % (hosts - 1);
        let host = if turn % 2 == 0 { 0 } else { other };
        budgets[host].record_request(now);
        requests.push(now);
        if budgets[host].take(now, hosts) {
            retries.push(now);
        }
    }
    assert!(!retries.is_empty());
    for begin in (0..30_000).step_by(500).map(ClockTime::from_millis) {
        let within = |at: &&ClockTime| **at >= begin && at.since(begin) < BOUNDS.window;
        let sent = retries.iter().filter(within).count();
        let most = requests.iter().filter(within).count() / 5 + 56;
        assert!(sent <= most, "{sent} retries where {most} are allowed");
    }
}

#[test]
fn the_failure_rate_separates_frequent_from_rare_failures() {
    let (mut unreliable, mut reliable) = (FailureRate::default(), FailureRate::default());
    for number in 0..200 {
        if number % 5 < 2 {
            unreliable.record_failure();
        } else {
            unreliable.record_success();
        }
        if number % 50 == 0 {
            reliable.record_failure();
        } else {
            reliable.record_success();
        }
    }
    assert!(unreliable.thousandths() > 250);
    assert!(reliable.thousandths() < 100);
}
