//! Checks the performance bounds of the default policy in simulated experiments with a fixed seed.

use std::sync::LazyLock;
use std::time::Duration;

use borageladder::kernel::policy::DEFAULT_POLICY;
use borageladder_standin::experiment;
use borageladder_standin::experiment::BASELINES;
use borageladder_standin::experiment::BoundCheck;
use borageladder_standin::experiment::ExperimentSpec;
use borageladder_standin::experiment::FaultKind;
use borageladder_standin::experiment::MAX_WAITING;
use borageladder_standin::trace::DeploymentKind;
use yare::parameterized;

/// The seed of the checked experiments.
const SEED: u64 = 1;

/// The simulated duration of the checked traces.
const LENGTH: Duration = Duration::from_mins(4);

/// The maximum number of experiments that run at once.
const THREADS: usize = 6;

/// The checked bounds, which all tests of this file share because the experiments are expensive.
static CHECKS: LazyLock<Vec<BoundCheck>> = LazyLock::new(|| {
    let results = experiment::run_all(&specs(), THREADS).expect("all policies are registered");
    experiment::check_bounds(&results, DEFAULT_POLICY)
});

fn specs() -> Vec<ExperimentSpec> {
    let mut specs = Vec::new();
    for deployment in DeploymentKind::ALL {
        for scale in [1.0, 2.0] {
            let spec = |policy, fault| ExperimentSpec {
                deployment,
                scale,
                fault,
                policy,
                seed: SEED,
                length: LENGTH,
                max_waiting: MAX_WAITING,
            };
            specs.extend(BASELINES.map(|policy| spec(policy, FaultKind::Calm)));
            specs.extend(FaultKind::ALL.map(|fault| spec(DEFAULT_POLICY, fault)));
        }
    }
    specs
}

/// Asserts that bounds exist whose names contain all `parts`, and that all of these bounds are met.
fn assert_held(parts: &[&str]) {
    let named = |check: &&BoundCheck| parts.iter().all(|part| check.name.contains(part));
    let checks: Vec<&BoundCheck> = CHECKS.iter().filter(named).collect();
    assert!(!checks.is_empty(), "no bound is named {parts:?}");
    let missed: Vec<&&BoundCheck> = checks.iter().filter(|check| !check.held()).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}

#[parameterized(
    quill_1x = { "quill 1x calm" },
    quill_2x = { "quill 2x calm" },
    sargam_1x = { "sargam 1x calm" },
    sargam_2x = { "sargam 2x calm" },
)]
fn first_tier_is_served(run: &str) {
    assert_held(&[run, "first tier's goodput"]);
}

#[parameterized(
    burst = { FaultKind::Burst },
    straggler = { FaultKind::Straggler },
    worker_death = { FaultKind::WorkerDeath },
    late_reports = { FaultKind::LateReports },
    cache_gaps = { FaultKind::CacheGaps },
    crashing_request = { FaultKind::CrashingRequest },
    broker_death = { FaultKind::BrokerDeath },
    host_death = { FaultKind::HostDeath },
)]
fn first_tier_is_served_under(fault: FaultKind) {
    assert_held(&[fault.name(), "first tier's goodput"]);
}

#[parameterized(
    quill_1x = { "quill 1x calm: goodput of tier" },
    quill_2x = { "quill 2x calm: goodput of all tiers in tokens" },
    sargam_1x = { "sargam 1x calm: goodput of tier" },
    sargam_2x = { "sargam 2x calm: goodput of all tiers in tokens" },
)]
fn goodput_is_not_below_the_best_baseline(bound: &str) {
    assert_held(&[bound]);
}

#[parameterized(
    quill_1x = { "quill 1x calm" },
    quill_2x = { "quill 2x calm" },
    sargam_1x = { "sargam 1x calm" },
    sargam_2x = { "sargam 2x calm" },
)]
fn wasted_prefill_is_half_of_the_best_plain_baseline(run: &str) {
    assert_held(&[run, "best plain baseline"]);
}

#[parameterized(
    quill_1x = { "quill 1x calm" },
    quill_2x = { "quill 2x calm" },
    sargam_1x = { "sargam 1x calm" },
    sargam_2x = { "sargam 2x calm" },
)]
fn wasted_prefill_is_not_above_prefix_hashing(run: &str) {
    assert_held(&[run, "prefix hashing"]);
}

#[test]
fn no_request_is_dispatched_twice() {
    assert_held(&["requests dispatched twice"]);
}

#[test]
fn no_higher_tier_is_shed_while_a_lower_one_waits() {
    assert_held(&["higher-tier sheds"]);
}
