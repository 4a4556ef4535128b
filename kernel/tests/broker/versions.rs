//! Asks for a slot on a worker of one version, for a stream that began there.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::RefusalReason;
use borageladder_kernel::ask::WorkProgress;

use super::harness::BrokerHarness;
use super::harness::grants;
use super::harness::only_grant;
use super::harness::only_refusal;

/// Returns an ask of the lowest tier that only a worker of the version may serve.
fn ask(harness: &mut BrokerHarness, version: &str) -> Ask {
    Ask {
        version: Some(version.parse().expect("a valid name")),
        ..harness.ask(0, Duration::from_secs(30))
    }
}

// Guards against a slot on a worker of another version, at once or once one is free.
#[test]
fn an_ask_for_a_version_is_granted_only_on_its_workers() {
    let mut harness = BrokerHarness::with_workers(&[]);
    harness.set_versions(&[("a", "v1"), ("b", "v2"), ("c", "v2")]);
    let first = ask(&mut harness, "v1");
    let first = only_grant(&harness.send(&first));
    assert_eq!(first.worker.as_str(), "a");
    let second = ask(&mut harness, "v1");
    assert_eq!(harness.send(&second), [], "the slots of v2 stay free");
    let freed = harness.report(&first, WorkProgress::Stopped);
    assert_eq!(only_grant(&freed).worker.as_str(), "a");
}

// Guards against a stream that waits behind every new request for a slot of its version.
#[test]
fn an_ask_for_a_version_takes_its_turn_among_the_others() {
    let mut harness = BrokerHarness::with_workers(&[]);
    harness.set_versions(&[("a", "v1")]);
    let running = only_grant(&harness.submit(0, 30));
    let versioned = ask(&mut harness, "v1");
    assert_eq!(harness.send(&versioned), []);
    assert_eq!(harness.submit(0, 30), []);
    let freed = harness.report(&running, WorkProgress::Stopped);
    assert_eq!(only_grant(&freed).request, versioned.request);
}

// Guards against a stream that waits for a version whose last worker has left.
#[test]
fn an_ask_for_a_version_without_workers_is_refused() {
    let mut harness = BrokerHarness::with_workers(&[]);
    harness.set_versions(&[("a", "v1"), ("b", "v2")]);
    let held = ask(&mut harness, "v1");
    assert_eq!(grants(&harness.send(&held)).len(), 1);
    let waiting = ask(&mut harness, "v1");
    assert_eq!(harness.send(&waiting), []);
    let refusal = only_refusal(&harness.set_versions(&[("b", "v2")]));
    assert_eq!(refusal.request, waiting.request);
    assert_eq!(refusal.reason, RefusalReason::NoWorker);
    let late = ask(&mut harness, "v1");
    assert_eq!(
        only_refusal(&harness.send(&late)).reason,
        RefusalReason::NoWorker
    );
}

// Guards against a worker that came back under its name and is taken for its former version.
#[test]
fn a_worker_that_came_back_with_another_version_serves_that_version_only() {
    let mut harness = BrokerHarness::with_workers(&[]);
    harness.set_versions(&[("a", "v1")]);
    harness.set_versions(&[("a", "v2")]);
    let old = ask(&mut harness, "v1");
    assert_eq!(
        only_refusal(&harness.send(&old)).reason,
        RefusalReason::NoWorker
    );
    let new = ask(&mut harness, "v2");
    assert_eq!(only_grant(&harness.send(&new)).worker.as_str(), "a");
}
