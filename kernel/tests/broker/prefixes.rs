//! Work follows cached prefixes.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::CacheChange;
use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::BlockDigest;

use crate::harness::BrokerBench;
use crate::harness::grants;
use crate::harness::only_grant;
use crate::harness::only_refusal;

fn prefixed(bench: &mut BrokerBench, tier: u8) -> Ask {
    let mut ask = bench.ask(tier, Duration::from_mins(2));
    ask.prompt_tokens = 4_000;
    ask.prefix = (1..=60).map(BlockDigest).collect();
    ask
}

#[test]
fn a_cold_prefix_gets_one_request_ahead() {
    let mut bench = BrokerBench::calm(&[("a", 4), ("b", 4)]);
    let ask = prefixed(&mut bench, 0);
    let ahead = only_grant(&bench.send(&ask));
    for _ in 0..2 {
        let ask = prefixed(&mut bench, 0);
        assert_eq!(bench.send(&ask), [], "waits for the prefill");
    }
    let after = Duration::from_millis(700);
    let woken = grants(&bench.report(&ahead, WorkProgress::FirstToken { after }));
    assert_eq!(woken.len(), 2);
    assert!(woken.iter().all(|grant| grant.worker == ahead.worker));
}

#[test]
fn cache_events_move_work() {
    let mut bench = BrokerBench::calm(&[("a", 4), ("b", 4)]);
    let batch = CacheBatch {
        first: 1,
        changes: (1..=60).map(BlockDigest).map(CacheChange::Stored).collect(),
    };
    let worker = "b".parse().expect("a valid name");
    bench.handle(BrokerEvent::CacheReported { worker, batch });
    let ask = prefixed(&mut bench, 0);
    assert_eq!(only_grant(&bench.send(&ask)).worker.as_str(), "b");
}

/// Returns a broker where `a` holds the prefix and is busy, and `b` is idle.
fn busy_holder() -> (BrokerBench, Grant) {
    let mut bench = BrokerBench::calm(&[("a", 1), ("b", 1)]);
    let batch = CacheBatch {
        first: 1,
        changes: (1..=60).map(BlockDigest).map(CacheChange::Stored).collect(),
    };
    let worker = "a".parse().expect("a valid name");
    bench.handle(BrokerEvent::CacheReported { worker, batch });
    let ask = prefixed(&mut bench, 0);
    let held = only_grant(&bench.send(&ask));
    assert_eq!(held.worker.as_str(), "a");
    (bench, held)
}

#[test]
fn a_request_with_slack_waits_for_its_prefix() {
    let (mut bench, held) = busy_holder();
    let patient = prefixed(&mut bench, 3);
    assert_eq!(bench.send(&patient), []);
    let higher = only_grant(&bench.submit(0, 60));
    assert_eq!(higher.worker.as_str(), "b", "patience keeps no worker free");
    let granted = only_grant(&bench.finish(&held, 20));
    assert_eq!(granted.request, patient.request);
    assert_eq!(granted.worker.as_str(), "a");
}

#[test]
fn patience_ends_while_there_is_time_elsewhere() {
    let (mut bench, _) = busy_holder();
    let patient = prefixed(&mut bench, 3);
    assert_eq!(bench.send(&patient), []);
    let mut actions = Vec::new();
    while actions.is_empty() {
        actions = bench.pass(Duration::from_secs(1));
    }
    assert_eq!(only_grant(&actions).worker.as_str(), "b");
    assert!(
        bench.now < ClockTime::from_millis(80_000),
        "{:?}",
        bench.now
    );
}

#[test]
fn patience_delays_no_refusal() {
    let (mut bench, _) = busy_holder();
    for _ in 0..10 {
        // Twenty tokens, which take 0.4 seconds.
        let grant = only_grant(&bench.submit(3, 600));
        bench.finish(&grant, 20);
    }
    only_grant(&bench.submit(0, 600));
    let mut patient = prefixed(&mut bench, 3);
    patient.budget = Duration::from_secs(10);
    assert_eq!(bench.send(&patient), []);
    let mut actions = Vec::new();
    while actions.is_empty() {
        actions = bench.pass(Duration::from_millis(100));
    }
    assert_eq!(only_refusal(&actions).request, patient.request);
    assert!(
        bench.now < ClockTime::from_millis(10_000),
        "{:?}",
        bench.now
    );
}
