//! Grants: order, slot accounting and repeated asks.

use std::time::Duration;

use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::broker::BrokerError;
use borageladder_kernel::broker::CellBroker;
use borageladder_kernel::clock::ClockTime;
use yare::parameterized;

use crate::harness::BrokerHarness;
use crate::harness::GRANT_LIFETIME;
use crate::harness::grants;
use crate::harness::only_grant;
use crate::harness::settings;

#[test]
fn an_unknown_policy_is_an_error() {
    let error = CellBroker::new(settings().with_policy("coin-toss"), ClockTime::ZERO).err();
    let name = "coin-toss".to_owned();
    assert_eq!(error, Some(BrokerError::UnknownPolicy { name }));
}

#[parameterized(
    arrival_order = { "arrival-order" },
    least_loaded = { "least-loaded" },
    predicted_finish = { "predicted-finish" },
    predicted_finish_patient = { "predicted-finish-patient" },
    prefix_hash = { "prefix-hash" },
    round_robin = { "round-robin" },
)]
fn every_policy_grants_on_idle_workers(policy: &'static str) {
    let settings = settings().with_policy(policy);
    let mut harness = BrokerHarness::new(settings, &[("a", 4), ("b", 4)]);
    let grant = only_grant(&harness.submit(0, 30));
    assert_eq!(grant.expires_in, GRANT_LIFETIME);
    assert_eq!(grant.grant.broker, 9);
}

#[test]
fn slots_are_granted_by_tier_and_then_by_deadline() {
    let mut harness = BrokerHarness::with_workers(&[("a", 1)]);
    let first = only_grant(&harness.submit(0, 60));
    for (tier, seconds) in [(2, 90), (1, 80), (1, 70), (0, 100)] {
        assert_eq!(harness.submit(tier, seconds), []);
    }
    let mut grant = first;
    let mut order = Vec::new();
    for _ in 0..4 {
        grant = only_grant(&harness.finish(&grant, 20));
        order.push(grant.request.sequence);
    }
    assert_eq!(order, [5, 4, 3, 2]);
}

#[test]
fn a_slot_is_never_granted_twice() {
    let mut harness = BrokerHarness::with_workers(&[("a", 2)]);
    let mut held = Vec::new();
    for _ in 0..10 {
        held.extend(grants(&harness.submit(0, 60)));
    }
    assert_eq!(held.len(), 2);
    assert_eq!(harness.running("a"), 2);
    harness.advance(GRANT_LIFETIME * 2);
    assert_eq!(harness.running("a"), 2, "expired grants count as used");
    assert_eq!(
        grants(&harness.report(&held[0], WorkProgress::Released)).len(),
        1
    );
    assert_eq!(harness.report(&held[0], WorkProgress::Released), []);
    assert_eq!(harness.running("a"), 2);
}

#[test]
fn a_repeated_ask_gets_the_same_grant() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let ask = harness.ask(0, Duration::from_secs(30));
    let grant = only_grant(&harness.send(&ask));
    harness.advance(Duration::from_millis(500));
    let again = only_grant(&harness.send(&ask));
    assert_eq!(again.grant, grant.grant);
    assert_eq!(again.expires_in, Duration::from_millis(1_500));
    harness.report(&grant, WorkProgress::Dispatched);
    assert_eq!(harness.send(&ask), []);
    assert_eq!(harness.running("a"), 1);
}
