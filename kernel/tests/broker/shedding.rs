//! Refusals: which request, when and why.

use std::time::Duration;

use borageladder_kernel::ask::RefusalReason;
use borageladder_kernel::clock::ClockTime;

use crate::harness::BrokerBench;
use crate::harness::only_grant;
use crate::harness::only_refusal;
use crate::harness::request;
use crate::harness::settings;

#[test]
fn the_bound_on_waiting_sheds_the_lowest_tier() {
    let mut bench = BrokerBench::new(settings().with_max_waiting(2), &[("a", 1)]);
    only_grant(&bench.submit(0, 60));
    assert_eq!(bench.submit(3, 90), []);
    assert_eq!(bench.submit(1, 80), []);
    let refusal = only_refusal(&bench.submit(0, 60));
    assert_eq!(
        (refusal.request, refusal.reason),
        (request(2), RefusalReason::Capacity)
    );
    assert!(refusal.retry_after >= Duration::from_secs(1));
    let refusal = only_refusal(&bench.submit(2, 90));
    assert_eq!(
        refusal.request,
        request(5),
        "the lowest tier is the one that asks"
    );
}

#[test]
fn a_hopeless_deadline_is_refused_at_once() {
    let mut bench = BrokerBench::calm(&[("a", 1)]);
    let refusal = only_refusal(&bench.submit(0, 0));
    assert_eq!(refusal.reason, RefusalReason::Deadline);
}

#[test]
fn the_wait_counts_towards_the_deadline() {
    let mut bench = BrokerBench::calm(&[("a", 1)]);
    only_grant(&bench.submit(0, 600));
    let mut actions = Vec::new();
    while actions.is_empty() {
        actions = bench.submit(1, 20);
    }
    let refusal = only_refusal(&actions);
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    assert!(bench.broker.waiting().count() > 5);
    assert_eq!(
        bench.submit(0, 20),
        [],
        "a higher tier does not wait for it"
    );
}

#[test]
fn a_waiting_request_is_refused_when_it_can_no_longer_finish() {
    let mut bench = BrokerBench::calm(&[("a", 1)]);
    for _ in 0..10 {
        // Twenty tokens, which take two seconds.
        let grant = only_grant(&bench.submit(0, 600));
        bench.finish(&grant, 100);
    }
    only_grant(&bench.submit(0, 600));
    assert_eq!(bench.submit(0, 3), []);
    let wake = bench.broker.next_wake().expect("something is due");
    assert!(wake < ClockTime::from_millis(3_000));
    let mut actions = Vec::new();
    while actions.is_empty() {
        actions = bench.pass(Duration::from_millis(10));
    }
    assert_eq!(only_refusal(&actions).reason, RefusalReason::Deadline);
    assert!(
        bench.now <= ClockTime::from_millis(1_000),
        "{:?}",
        bench.now
    );
}

#[test]
fn a_lane_without_workers_is_refused() {
    let mut bench = BrokerBench::calm(&[("a", 1)]);
    only_grant(&bench.submit(0, 60));
    assert_eq!(bench.submit(0, 60), []);
    let refusal = only_refusal(&bench.set_workers(&[]));
    assert_eq!(refusal.reason, RefusalReason::NoWorker);
    assert_eq!(
        only_refusal(&bench.submit(0, 60)).reason,
        RefusalReason::NoWorker
    );
    assert_eq!(bench.running("a"), 1);
}
