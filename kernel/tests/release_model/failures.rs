//! Releases while drivers, hosts, orders, workers and the store fail.

use std::time::Duration;

use borageladder_kernel::release::FleetReadiness;
use borageladder_kernel::release::ReleasePhase;
use borageladder_kernel::release::ReleaseStatus;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::trial::ORDER_AT;
use crate::trial::TargetFault;
use crate::trial::Trial;
use crate::trial::TrialPlan;

const SEEDS: u64 = 200;

/// The maximum number of seeds in which a good version is reverted or a bad one completed.
const MAX_WRONG: usize = 4;

const GOOD: TrialPlan = TrialPlan::new(1, 200.0, TargetFault::None);
const BAD: TrialPlan = TrialPlan::new(1, 200.0, TargetFault::Failing(0.6, Duration::ZERO));

/// The time at which a release has ended, also a late one.
const END: Duration = Duration::from_secs(17);

fn after_order(millis: u64) -> Duration {
    ORDER_AT + Duration::from_millis(millis)
}

/// Guards against a release that ends with its driver, or that a driver which resumes disturbs.
#[yare::parameterized(
    in_the_canary = { 5_000 },
    before_the_shift = { 10_800 },
    in_the_shift = { 11_400 },
)]
fn another_driver_takes_over(at: u64) {
    let mut trial = Trial::with_order(GOOD);
    trial.run_until(after_order(at));
    trial.frozen[0] = true;
    trial.run_until(after_order(at + 300));
    trial.lead(1, true);
    trial.run_until(after_order(at + 1_500));
    trial.frozen[0] = false;
    trial.run_until(END);
    assert_eq!(trial.status(), Some(ReleaseStatus::Completed));
}

/// Guards against a bad version that keeps its requests while the store is down.
#[test]
fn the_target_is_stopped_while_the_store_is_down() {
    let mut trial = Trial::with_order(TrialPlan {
        rate: 1_000.0,
        fault: TargetFault::Failing(0.6, Duration::from_secs(3)),
        ..BAD
    });
    trial.run_until(after_order(3_100));
    trial.store_up = false;
    trial.run_until(after_order(5_300));
    let target = trial.exposure.target;
    trial.run_until(after_order(9_000));
    assert_eq!(trial.exposure.target, target);
    assert_eq!(trial.status(), Some(ReleaseStatus::InProgress));
    trial.store_up = true;
    trial.run_until(after_order(10_000));
    assert_eq!(trial.status(), Some(ReleaseStatus::Reverted));
}

/// Guards against an end that an older copy of the store takes back.
#[yare::parameterized(
    of_a_good_version = { GOOD, ReleaseStatus::Completed },
    of_a_bad_version = { BAD, ReleaseStatus::Reverted },
)]
fn an_end_is_written_again_to_an_older_copy(plan: TrialPlan, status: ReleaseStatus) {
    let mut trial = Trial::with_order(plan);
    trial.run_until(after_order(1_000));
    let copy = trial.store.clone();
    trial.run_until(END);
    assert_eq!(trial.status(), Some(status));
    trial.store.restore(copy);
    assert_eq!(trial.status(), Some(ReleaseStatus::InProgress));
    trial.run_until(END + Duration::from_millis(600));
    assert_eq!(trial.status(), Some(status));
}

/// Guards against decisions for an order that was replaced, and evidence of one order that counts for
/// the next.
#[test]
fn a_replaced_order_begins_anew() {
    let mut trial = Trial::with_order(BAD);
    trial.run_until(END);
    assert_eq!(trial.status(), Some(ReleaseStatus::Reverted));
    trial.set_fault(TargetFault::None);
    trial.order("v3");
    trial.run_until(END + Duration::from_secs(3));
    assert_eq!(trial.status(), Some(ReleaseStatus::InProgress));
    trial.order("v4");
    trial.run_until(END + Duration::from_secs(16));
    assert_eq!(trial.status(), Some(ReleaseStatus::Completed));
    let state = trial.store.state.expect("a state").state;
    assert_eq!(state.order.target.as_str(), "v4");
}

/// Guards against a target that is used after its order was removed.
#[yare::parameterized(
    in_progress = { 5_000, ReleaseStatus::Reverted },
    completed = { 12_000, ReleaseStatus::Completed },
)]
fn a_removed_order_ends_its_release(at: u64, status: ReleaseStatus) {
    let mut trial = Trial::with_order(GOOD);
    trial.run_until(after_order(at));
    trial.store.order = None;
    trial.run_until(after_order(at + 1_000));
    assert_eq!(trial.status(), Some(status));
}

/// Guards against a release to workers that are not there, or beside hosts that don't know releases.
#[yare::parameterized(
    no_target_worker = { FleetReadiness { target: false, hosts: true } },
    an_older_host = { FleetReadiness { target: true, hosts: false } },
)]
fn a_release_that_cannot_advance_is_reverted_at_the_deadline(readiness: FleetReadiness) {
    let mut trial = Trial::with_order(GOOD);
    trial.run_until(after_order(3_000));
    trial.set_readiness(readiness);
    trial.run_until(after_order(4_000));
    let target = trial.exposure.target;
    trial.run_until(after_order(11_700));
    assert_eq!(trial.exposure.target, target);
    assert_eq!(trial.status(), Some(ReleaseStatus::InProgress));
    trial.run_until(after_order(12_300));
    assert_eq!(trial.status(), Some(ReleaseStatus::Reverted));
}

/// Guards against ends that change, states without their status, and exposure beyond the bounds, under
/// any mix of failures. The trial checks these at each step and write.
#[test]
fn releases_hold_their_bounds_under_random_failures() {
    let faults = [
        TargetFault::None,
        TargetFault::Failing(0.7, Duration::ZERO),
        TargetFault::Failing(0.7, Duration::from_secs(6)),
        TargetFault::Slow(0.6),
    ];
    let mut wrong = 0;
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let fault = faults[random.random_range(0..faults.len())];
        let rate = random.random_range(50.0..500.0);
        let mut trial = Trial::with_order(TrialPlan {
            lost_writes: 0.2,
            ..TrialPlan::new(seed, rate, fault)
        });
        trial.run_with_failures(&mut random, after_order(11_000));
        trial.run_until(END + Duration::from_secs(5));
        let state = trial.store.state.clone().expect("a state").state;
        assert!(state.phase.is_final(), "seed {seed}: {state:?}");
        let is_wrong = trial.is_bad() != (state.phase == ReleasePhase::Reverted);
        wrong += usize::from(is_wrong);
    }
    // Without a driver or the store until shortly before the deadline, there is little evidence.
    assert!(wrong <= MAX_WRONG, "{wrong} of {SEEDS}");
}
