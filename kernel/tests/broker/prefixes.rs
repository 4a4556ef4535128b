//! Assignment of requests to the workers that have their prefix cached.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::CacheEvent;
use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::BlockDigest;

use crate::harness::BrokerHarness;
use crate::harness::grants;
use crate::harness::only_grant;
use crate::harness::only_refusal;

fn prefixed(harness: &mut BrokerHarness, tier: u8) -> Ask {
    let mut ask = harness.ask(tier, Duration::from_mins(2));
    ask.prompt_tokens = 4_000;
    ask.prefix = (1..=60).map(BlockDigest).collect();
    ask
}

#[test]
fn only_one_request_prefills_an_uncached_prefix() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4), ("b", 4)]);
    let ask = prefixed(&mut harness, 0);
    let first = only_grant(&harness.send(&ask));
    for _ in 0..2 {
        let ask = prefixed(&mut harness, 0);
        assert_eq!(harness.send(&ask), [], "waits for the prefill");
    }
    let after = Duration::from_millis(700);
    let woken = grants(&harness.report(&first, WorkProgress::FirstToken { after }));
    assert_eq!(woken.len(), 2);
    assert!(woken.iter().all(|grant| grant.worker == first.worker));
}

#[test]
fn requests_go_to_the_worker_that_reported_their_prefix_as_cached() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4), ("b", 4)]);
    let batch = CacheBatch {
        first: 1,
        events: (1..=60).map(BlockDigest).map(CacheEvent::Stored).collect(),
    };
    let worker = "b".parse().expect("a valid name");
    harness.handle(BrokerEvent::CacheReported { worker, batch });
    let ask = prefixed(&mut harness, 0);
    assert_eq!(only_grant(&harness.send(&ask)).worker.as_str(), "b");
}

/// Returns a broker where `a` has the prefix cached and is busy, and `b` is idle, with the grant on
/// `a`.
fn busy_holder() -> (BrokerHarness, Grant) {
    let mut harness = BrokerHarness::with_workers(&[("a", 1), ("b", 1)]);
    let batch = CacheBatch {
        first: 1,
        events: (1..=60).map(BlockDigest).map(CacheEvent::Stored).collect(),
    };
    let worker = "a".parse().expect("a valid name");
    harness.handle(BrokerEvent::CacheReported { worker, batch });
    let ask = prefixed(&mut harness, 0);
    let held = only_grant(&harness.send(&ask));
    assert_eq!(held.worker.as_str(), "a");
    (harness, held)
}

#[test]
fn a_request_with_slack_waits_for_its_prefix() {
    let (mut harness, held) = busy_holder();
    let deferred = prefixed(&mut harness, 3);
    assert_eq!(harness.send(&deferred), []);
    let higher = only_grant(&harness.submit(0, 60));
    assert_eq!(
        higher.worker.as_str(),
        "b",
        "a deferred request keeps no worker free"
    );
    let granted = only_grant(&harness.finish(&held, 20));
    assert_eq!(granted.request, deferred.request);
    assert_eq!(granted.worker.as_str(), "a");
}

#[test]
fn a_deferral_ends_while_another_worker_can_still_finish_in_time() {
    let (mut harness, _) = busy_holder();
    let deferred = prefixed(&mut harness, 3);
    assert_eq!(harness.send(&deferred), []);
    let mut actions = Vec::new();
    while actions.is_empty() {
        actions = harness.advance(Duration::from_secs(1));
    }
    assert_eq!(only_grant(&actions).worker.as_str(), "b");
    assert!(
        harness.now < ClockTime::from_millis(80_000),
        "{:?}",
        harness.now
    );
}

#[test]
fn a_deferral_does_not_delay_a_refusal() {
    let (mut harness, _) = busy_holder();
    for _ in 0..10 {
        // Twenty tokens, which take 0.4 seconds.
        let grant = only_grant(&harness.submit(3, 600));
        harness.finish(&grant, 20);
    }
    only_grant(&harness.submit(0, 600));
    let mut deferred = prefixed(&mut harness, 3);
    deferred.budget = Duration::from_secs(10);
    assert_eq!(harness.send(&deferred), []);
    let mut actions = Vec::new();
    while actions.is_empty() {
        actions = harness.advance(Duration::from_millis(100));
    }
    assert_eq!(only_refusal(&actions).request, deferred.request);
    assert!(
        harness.now < ClockTime::from_millis(10_000),
        "{:?}",
        harness.now
    );
}
