//! Workers that turn requests away for want of room.

use std::time::Duration;

use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::pushback::RejectionTolerance;

use crate::harness::BrokerHarness;
use crate::harness::grants;
use crate::harness::only_grant;
use crate::harness::only_refusal;

/// A rejection without a rest.
const REJECTED: WorkProgress = WorkProgress::Rejected {
    rest: Duration::ZERO,
};

// Guards against a worker that looks free because it turns requests away, and gets more for that.
#[test]
fn a_worker_that_turned_a_request_away_gets_none_for_a_while() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let grant = only_grant(&harness.submit(0, 60));
    harness.report(&grant, REJECTED);
    assert_eq!(harness.running("a"), 0);
    assert_eq!(harness.submit(0, 60), []);
    assert_eq!(harness.advance(Duration::from_millis(99)), []);
    let second = only_grant(&harness.advance(Duration::from_millis(1)));
    harness.report(&second, REJECTED);
    assert_eq!(harness.submit(0, 60), []);
    assert_eq!(harness.advance(Duration::from_millis(199)), []);
    assert_eq!(harness.advance(Duration::from_millis(1)).len(), 1);
}

// Guards against a burst to a worker that has just turned requests away.
#[test]
fn a_worker_with_rejections_gets_one_more_at_once_with_each_answer() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let first = only_grant(&harness.submit(0, 60));
    let second = only_grant(&harness.submit(0, 60));
    harness.report(&second, REJECTED);
    for _ in 0..6 {
        harness.submit(0, 60);
    }
    assert_eq!(harness.advance(Duration::from_millis(100)), []);
    let third = only_grant(&harness.finish(&first, 20));
    let granted = grants(&harness.finish(&third, 20));
    assert_eq!(granted.len(), 2);
    let mut more = Vec::new();
    for grant in &granted {
        more.extend(grants(&harness.finish(grant, 20)));
    }
    assert_eq!(harness.running("a"), 3);
}

// Guards against a worker that is held back for good because its answers to earlier requests were
// taken for new ones, or the other way round.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_the_hold() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let first = only_grant(&harness.submit(0, 60));
    let second = only_grant(&harness.submit(0, 60));
    harness.report(&second, REJECTED);
    harness.finish(&first, 20);
    assert_eq!(harness.submit(0, 60), []);
    assert_eq!(harness.advance(Duration::from_millis(99)), []);
    assert_eq!(harness.advance(Duration::from_millis(1)).len(), 1);
}

// Guards against more rejections at once than a brittle worker tolerates, and against a second burst
// before a second has passed.
#[test]
fn a_brittle_worker_has_no_more_unanswered_requests_than_it_may_reject() {
    let mut harness = BrokerHarness::with_workers(&[("a", 8)]);
    let first = only_grant(&harness.submit(0, 60));
    let tolerance = RejectionTolerance(3);
    harness.report(&first, WorkProgress::ToleranceNamed { tolerance });
    let mut granted = Vec::new();
    for _ in 0..10 {
        granted.extend(grants(&harness.submit(0, 60)));
    }
    assert_eq!(granted.len(), 2);
    let after = Duration::from_millis(50);
    let more = harness.report(&first, WorkProgress::FirstToken { after });
    assert_eq!(grants(&more).len(), 1);
    granted.extend(grants(&more));
    for grant in &granted {
        harness.report(grant, REJECTED);
    }
    harness.finish(&first, 20);
    assert_eq!(harness.advance(Duration::from_millis(999)), []);
    assert_eq!(harness.advance(Duration::from_millis(1)).len(), 1);
}

// Guards against a worker that stays slow for good because it was brittle once.
#[test]
fn a_tolerance_that_is_not_named_again_is_forgotten() {
    let mut harness = BrokerHarness::with_workers(&[("a", 8)]);
    let first = only_grant(&harness.submit(0, 60));
    let tolerance = RejectionTolerance(1);
    harness.report(&first, WorkProgress::ToleranceNamed { tolerance });
    assert_eq!(harness.submit(0, 60), []);
    assert_eq!(harness.advance(Duration::from_millis(9_999)), []);
    assert_eq!(harness.advance(Duration::from_millis(1)).len(), 1);
    assert_eq!(harness.submit(0, 60).len(), 1);
}

// Guards against requests during a rest, and against a rest that ends early by a shorter wish.
#[test]
fn a_worker_gets_nothing_during_the_longest_rest_that_it_asked_for() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let first = only_grant(&harness.submit(0, 60));
    let second = only_grant(&harness.submit(0, 60));
    let rest = Duration::from_secs(3);
    harness.report(&first, WorkProgress::Rejected { rest });
    let rest = Duration::from_secs(1);
    harness.report(&second, WorkProgress::Rejected { rest });
    assert_eq!(harness.submit(0, 60), []);
    assert_eq!(harness.advance(Duration::from_millis(2_999)), []);
    assert_eq!(harness.advance(Duration::from_millis(1)).len(), 1);
}

// Guards against callers that wait for a worker at rest longer than their answer is worth.
#[test]
fn a_request_is_refused_at_once_if_all_workers_rest_past_its_deadline() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let grant = only_grant(&harness.submit(0, 60));
    let rest = Duration::from_mins(2);
    harness.report(&grant, WorkProgress::Rejected { rest });
    harness.advance(Duration::from_millis(100));
    let refusal = only_refusal(&harness.submit(0, 10));
    assert!(refusal.retry_after > Duration::from_mins(1), "{refusal:?}");
}

// Guards against grants on a worker that said that it leaves, and against one that gets none after it
// was taken from the list and put back.
#[test]
fn a_worker_that_said_that_it_leaves_gets_nothing_until_it_comes_back() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4), ("b", 4)]);
    let grant = loop {
        let grant = only_grant(&harness.submit(0, 60));
        if grant.worker.as_str() == "a" {
            break grant;
        }
        harness.finish(&grant, 20);
    };
    harness.report(&grant, WorkProgress::LeavingNamed);
    for _ in 0..4 {
        assert_eq!(only_grant(&harness.submit(0, 60)).worker.as_str(), "b");
    }
    assert_eq!(harness.submit(0, 60), []);
    harness.set_workers(&[("b", 4)]);
    assert_eq!(harness.set_workers(&[("a", 4), ("b", 4)]).len(), 1);
}

// Guards against a sound worker that no broker grants any more, because a host reported late what an
// earlier start had said.
#[test]
fn a_worker_that_starts_again_gets_requests_although_its_earlier_start_is_reported_as_leaving() {
    let mut harness = BrokerHarness::with_workers(&[("a", 1)]);
    let grant = only_grant(&harness.submit(0, 60));
    harness.set_workers(&[]);
    harness.set_workers(&[("a", 1)]);
    harness.report(&grant, WorkProgress::LeavingNamed);
    harness.finish(&grant, 20);
    assert_eq!(grants(&harness.submit(0, 60)), []);
    harness.advance(Duration::from_secs(10));
    assert_eq!(only_grant(&harness.submit(0, 60)).worker.as_str(), "a");
}
