//! Slots for hedges.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::RefusalReason;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::pace::RequestRate;
use borageladder_kernel::policy::FIRST_TOKEN_POLICY;
use borageladder_kernel::pushback::RejectionTolerance;
use yare::parameterized;

use super::harness::BrokerHarness;
use super::harness::only_grant;
use super::harness::only_refusal;
use super::harness::settings;

fn gateway_broker(workers: &[(&str, u32)]) -> BrokerHarness {
    let settings = settings().with_policy(FIRST_TOKEN_POLICY);
    BrokerHarness::new(settings, workers)
}

/// Asks for a hedge of a request that the worker has.
fn ask_hedge(harness: &mut BrokerHarness, first: &str) -> Vec<BrokerAction> {
    let ask = Ask {
        hedged_worker: Some(first.parse().expect("a valid name")),
        ..harness.ask(0, Duration::from_secs(5))
    };
    harness.send(&ask)
}

// Guards against a hedge on the worker that is slow, which would wait behind the first dispatch.
#[test]
fn a_hedge_never_goes_to_the_worker_of_the_first_dispatch() {
    let mut harness = gateway_broker(&[("engine-1", 9), ("engine-2", 1)]);
    let hedge = only_grant(&ask_hedge(&mut harness, "engine-1"));
    assert_eq!(hedge.worker.as_str(), "engine-2");
    let refusal = only_refusal(&ask_hedge(&mut harness, "engine-1"));
    assert_eq!(refusal.reason, RefusalReason::Capacity);
    harness.report(&hedge, WorkProgress::Released);
    assert_eq!(harness.running("engine-2"), 0);
    only_grant(&ask_hedge(&mut harness, "engine-1"));
}

// Guards against hedges that take slots from requests that wait, such as those for another version.
#[test]
fn a_hedge_gets_no_slot_while_a_request_waits() {
    let mut harness = gateway_broker(&[]);
    harness.set_versions(&[("engine-1", "v1"), ("engine-2", "v2"), ("engine-3", "v2")]);
    let pinned = |harness: &mut BrokerHarness| Ask {
        version: Some("v1".parse().expect("a valid name")),
        ..harness.ask(0, Duration::from_mins(1))
    };
    let ask = pinned(&mut harness);
    let running = only_grant(&harness.send(&ask));
    let ask = pinned(&mut harness);
    assert_eq!(harness.send(&ask), []);
    only_refusal(&ask_hedge(&mut harness, "engine-2"));
    let waiting = only_grant(&harness.finish(&running, 5));
    harness.finish(&waiting, 5);
    only_grant(&ask_hedge(&mut harness, "engine-2"));
}

// Guards against hedges that use up what a worker in need takes.
#[parameterized(
    named_rate = { WorkProgress::RateNamed { rate: RequestRate(9_000) } },
    brittle = { WorkProgress::ToleranceNamed { tolerance: RejectionTolerance(9) } },
    resting = { WorkProgress::Rejected { rest: Duration::from_secs(3) } },
    leaving = { WorkProgress::LeavingNamed },
    failed = { WorkProgress::Failed },
)]
fn a_hedge_does_not_go_to_a_worker_in_need(progress: WorkProgress) {
    let mut harness = gateway_broker(&[("engine-2", 9)]);
    let first = only_grant(&harness.submit(0, 60));
    harness.report(&first, WorkProgress::Dispatched);
    harness.report(&first, progress);
    only_refusal(&ask_hedge(&mut harness, "engine-1"));
}
