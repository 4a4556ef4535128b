//! Refusals: which request is refused, when and for which reason.

use std::time::Duration;

use borageladder_kernel::ask::RefusalReason;
use borageladder_kernel::clock::ClockTime;

use crate::harness::BrokerHarness;
use crate::harness::only_grant;
use crate::harness::only_refusal;
use crate::harness::request;
use crate::harness::settings;

#[test]
fn the_limit_on_waiting_requests_sheds_the_lowest_tier() {
    let mut harness = BrokerHarness::new(settings().with_max_waiting(2), &[("a", 1)]);
    only_grant(&harness.submit(0, 60));
    assert_eq!(harness.submit(3, 90), []);
    assert_eq!(harness.submit(1, 80), []);
    let refusal = only_refusal(&harness.submit(0, 60));
    assert_eq!(
        (refusal.request, refusal.reason),
        (request(2), RefusalReason::Capacity)
    );
    assert!(refusal.retry_after >= Duration::from_secs(1));
    let refusal = only_refusal(&harness.submit(2, 90));
    assert_eq!(
        refusal.request,
        request(5),
        "the new ask has the lowest tier"
    );
}

#[test]
fn an_unreachable_deadline_is_refused_immediately() {
    let mut harness = BrokerHarness::with_workers(&[("a", 1)]);
    let refusal = only_refusal(&harness.submit(0, 0));
    assert_eq!(refusal.reason, RefusalReason::Deadline);
}

#[test]
fn the_wait_counts_towards_the_deadline() {
    let mut harness = BrokerHarness::with_workers(&[("a", 1)]);
    only_grant(&harness.submit(0, 600));
    let mut actions = Vec::new();
    while actions.is_empty() {
        actions = harness.submit(1, 20);
    }
    let refusal = only_refusal(&actions);
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    assert!(harness.broker.waiting().count() > 5);
    assert_eq!(
        harness.submit(0, 20),
        [],
        "a higher tier does not wait for a lower one"
    );
}

#[test]
fn a_waiting_request_is_refused_when_it_can_no_longer_finish() {
    let mut harness = BrokerHarness::with_workers(&[("a", 1)]);
    for _ in 0..10 {
        // Twenty tokens, which take two seconds.
        let grant = only_grant(&harness.submit(0, 600));
        harness.finish(&grant, 100);
    }
    only_grant(&harness.submit(0, 600));
    assert_eq!(harness.submit(0, 3), []);
    let wake = harness.broker.next_wake().expect("something is due");
    assert!(wake < ClockTime::from_millis(3_000));
    let mut actions = Vec::new();
    while actions.is_empty() {
        actions = harness.advance(Duration::from_millis(10));
    }
    assert_eq!(only_refusal(&actions).reason, RefusalReason::Deadline);
    assert!(
        harness.now <= ClockTime::from_millis(1_000),
        "{:?}",
        harness.now
    );
}

#[test]
fn requests_of_a_lane_without_workers_are_refused() {
    let mut harness = BrokerHarness::with_workers(&[("a", 1)]);
    only_grant(&harness.submit(0, 60));
    assert_eq!(harness.submit(0, 60), []);
    let refusal = only_refusal(&harness.set_workers(&[]));
    assert_eq!(refusal.reason, RefusalReason::NoWorker);
    assert_eq!(
        only_refusal(&harness.submit(0, 60)).reason,
        RefusalReason::NoWorker
    );
    assert_eq!(harness.running("a"), 1);
}

// Guards against a request that waits beyond the end of its host, since its broker knows only the deadline
// that the ask had at first.
#[test]
fn a_repeated_ask_with_less_time_moves_the_deadline_forward() {
    let mut harness = BrokerHarness::with_workers(&[("drafter-1", 1)]);
    let running = only_grant(&harness.submit(0, 60));
    let mut ask = harness.ask(0, Duration::from_secs(30));
    assert_eq!(harness.send(&ask), []);
    let next = harness.submit(0, 30);
    assert_eq!(next, []);
    ask.budget = Duration::from_secs(10);
    assert_eq!(harness.send(&ask), []);
    // One with more time changes nothing.
    ask.budget = Duration::from_secs(30);
    assert_eq!(harness.send(&ask), []);
    let actions = harness.advance(Duration::from_secs(10));
    let refusal = only_refusal(&actions);
    assert_eq!(
        (refusal.request, refusal.reason),
        (ask.request, RefusalReason::Deadline)
    );
    // The other request still waits.
    let granted = only_grant(&harness.finish(&running, 5));
    assert_ne!(granted.request, ask.request);
}
