//! Tests of the experiments: accounting of requests, reproducibility and effects of the faults.

use std::time::Duration;

use borageladder_kernel::ask::RefusalReason;
use borageladder_kernel::policy::DEFAULT_POLICY;
use borageladder_standin::experiment;
use borageladder_standin::experiment::ExperimentError;
use borageladder_standin::experiment::ExperimentResult;
use borageladder_standin::experiment::ExperimentSpec;
use borageladder_standin::experiment::FaultKind;
use borageladder_standin::experiment::MAX_WAITING;
use borageladder_standin::trace::DeploymentKind;
use yare::parameterized;

fn spec(fault: FaultKind) -> ExperimentSpec {
    ExperimentSpec {
        deployment: DeploymentKind::Sargam,
        scale: 1.0,
        fault,
        policy: DEFAULT_POLICY,
        seed: 3,
        length: Duration::from_secs(40),
        max_waiting: MAX_WAITING,
    }
}

fn run(fault: FaultKind) -> ExperimentResult {
    experiment::run(&spec(fault)).expect("the policy is registered")
}

fn offered(result: &ExperimentResult) -> u64 {
    result.tiers.iter().map(|tier| tier.offered).sum()
}

fn in_time(result: &ExperimentResult) -> u64 {
    result.tiers.iter().map(|tier| tier.in_time).sum()
}

/// [`FaultKind::CrashingRequest`] is left out, because crashing requests do not count as offered.
#[parameterized(
    calm = { FaultKind::Calm },
    burst = { FaultKind::Burst },
    straggler = { FaultKind::Straggler },
    worker_death = { FaultKind::WorkerDeath },
    late_reports = { FaultKind::LateReports },
    cache_gaps = { FaultKind::CacheGaps },
    broker_death = { FaultKind::BrokerDeath },
    host_death = { FaultKind::HostDeath },
)]
fn every_request_ends_once(fault: FaultKind) {
    let result = run(fault);
    let refused: u64 = result.refused.iter().map(|count| count.requests).sum();
    let ended = in_time(&result) + refused + result.late + result.lost;
    assert_eq!(ended, offered(&result));
    assert_eq!(result.dispatched_twice, 0);
}

#[test]
fn equal_specifications_give_equal_results() {
    assert_eq!(run(FaultKind::WorkerDeath), run(FaultKind::WorkerDeath));
}

#[test]
fn parallel_runs_return_results_in_the_order_of_the_specs() {
    let specs = FaultKind::ALL.map(spec);
    let results = experiment::run_all(&specs, 4).expect("the policy is registered");
    let order: Vec<FaultKind> = results.iter().map(|result| result.spec.fault).collect();
    assert_eq!(order, FaultKind::ALL);
    assert_eq!(results[0], run(FaultKind::Calm));
}

#[test]
fn a_crashing_request_is_refused_after_two_workers() {
    let result = run(FaultKind::CrashingRequest);
    assert_eq!(result.crashed_workers, 2);
    let quarantined = result
        .refused
        .iter()
        .any(|count| count.reason == RefusalReason::Quarantined);
    assert!(quarantined);
}

#[test]
fn a_host_failure_loses_only_the_requests_of_its_entry() {
    let result = run(FaultKind::HostDeath);
    assert!(result.lost > 0);
    assert!(10 * result.lost < offered(&result));
}

#[test]
fn an_unknown_policy_is_an_error() {
    let mut spec = spec(FaultKind::Calm);
    spec.policy = "coin-toss";
    let result = experiment::run(&spec);
    assert!(matches!(result, Err(ExperimentError::Broker(_))));
}

#[test]
fn a_full_queue_sheds_the_lowest_tier_first() {
    let mut spec = spec(FaultKind::Burst);
    spec.scale = 2.0;
    spec.max_waiting = 20;
    let result = experiment::run(&spec).expect("the policy is registered");
    let shed = result
        .refused
        .iter()
        .find(|count| count.reason == RefusalReason::Capacity);
    assert!(shed.is_some_and(|count| count.requests > 10), "{result:#?}");
    assert_eq!(result.higher_tier_sheds, 0);
}

#[test]
fn higher_tier_sheds_are_counted_for_a_policy_without_tiers() {
    let mut spec = spec(FaultKind::Burst);
    spec.scale = 4.0;
    spec.max_waiting = 20;
    spec.policy = "arrival-order";
    let result = experiment::run(&spec).expect("the policy is registered");
    assert!(result.higher_tier_sheds > 0, "{result:#?}");
}
