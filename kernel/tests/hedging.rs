//! When hedges are sent, and how many.

use std::time::Duration;

use borageladder_kernel::attempt::DispatchTally;
use borageladder_kernel::attempt::RepeatLimits;
use borageladder_kernel::attempt::WorkKind;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::hedge::DELAY_WINDOW;
use borageladder_kernel::hedge::HedgeBounds;
use borageladder_kernel::hedge::HedgeCandidate;
use borageladder_kernel::hedge::HedgePlanner;
use borageladder_kernel::hedge::HedgeRefusal;
use borageladder_kernel::hedge::MIN_SAMPLES;
use borageladder_kernel::hedge::RequestClass;
use borageladder_kernel::name::ServiceName;
use borageladder_kernel::retry::RetryBounds;
use borageladder_kernel::retry::RetryBudget;
use yare::parameterized;

const SAFE: RepeatLimits = RepeatLimits {
    kind: WorkKind::Safe,
    max_runs: 2,
};

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn planner(ratio: f64) -> HedgePlanner {
    HedgePlanner::new(HedgeBounds::new(ratio, 0.95).expect("valid bounds"))
}

fn class(prompt_tokens: u32) -> RequestClass {
    RequestClass::new("letters.example", "/look/", prompt_tokens)
}

fn record(planner: &mut HedgePlanner, class: &RequestClass, count: usize, time: Duration) {
    for _ in 0..count {
        planner.record_time(ClockTime::ZERO, class, time);
    }
}

fn service() -> ServiceName {
    "casebook".parse().expect("a valid name")
}

/// Returns a request that was dispatched once.
fn late_request(service: &ServiceName, limits: RepeatLimits) -> HedgeCandidate<'_> {
    let mut dispatches = DispatchTally::default();
    dispatches.record_dispatch(limits).expect("a first run");
    HedgeCandidate {
        service,
        limits,
        dispatches,
        is_suspect: false,
    }
}

// Guards against a delay that follows a slow worker's tail, so that its requests are never hedged.
#[test]
fn one_slow_answer_in_twenty_does_not_raise_the_delay() {
    let mut planner = planner(0.1);
    record(&mut planner, &class(300), 19, millis(40));
    record(&mut planner, &class(300), 1, millis(4_000));
    assert_eq!(planner.delay(WorkKind::Safe, &class(300)), Some(millis(40)));
    record(&mut planner, &class(300), 1, millis(4_000));
    let delay = planner.delay(WorkKind::Safe, &class(300));
    assert_eq!(delay, Some(millis(4_000)), "one in ten is usual");
    record(&mut planner, &class(300), DELAY_WINDOW, millis(70));
    assert_eq!(planner.delay(WorkKind::Safe, &class(300)), Some(millis(70)));
}

// Guards against hedges after a delay that too few answers, or those of other prompts, support.
#[test]
fn a_class_without_enough_samples_has_no_delay() {
    let mut planner = planner(0.1);
    record(&mut planner, &class(300), MIN_SAMPLES - 1, millis(40));
    record(&mut planner, &class(600), MIN_SAMPLES, millis(90));
    assert_eq!(planner.delay(WorkKind::Safe, &class(300)), None);
    record(&mut planner, &class(511), 1, millis(40));
    assert_eq!(planner.delay(WorkKind::Safe, &class(256)), Some(millis(40)));
    assert_eq!(
        planner.delay(WorkKind::Safe, &class(1_023)),
        Some(millis(90))
    );
}

#[parameterized(
    unsafe_work = { 0.1, WorkKind::Unsafe, false },
    stream = { 0.1, WorkKind::Stream { resumable: false }, false },
    resumable = { 0.1, WorkKind::Stream { resumable: true }, true },
    switched_off = { 0.0, WorkKind::Safe, false },
)]
fn only_work_that_may_be_repeated_is_hedged(ratio: f64, kind: WorkKind, expected: bool) {
    let mut planner = planner(ratio);
    record(&mut planner, &class(0), MIN_SAMPLES, millis(40));
    assert_eq!(planner.delay(kind, &class(0)).is_some(), expected);
}

// Guards against hedges beyond their share of the requests, at once or after a pause.
#[test]
fn the_budget_is_the_share_of_requests_with_a_burst_of_two() {
    let mut planner = planner(0.1);
    let service = service();
    let candidate = late_request(&service, SAFE);
    let take = |planner: &mut HedgePlanner| planner.take(ClockTime::ZERO, &candidate, || true);
    assert_eq!(take(&mut planner), Err(HedgeRefusal::Budget));
    for hedges in [1, 1, 2, 2] {
        for _ in 0..hedges * 10 {
            planner.record_request(&service);
        }
        for _ in 0..hedges {
            assert_eq!(take(&mut planner), Ok(()));
        }
        assert_eq!(take(&mut planner), Err(HedgeRefusal::Budget));
    }
    for _ in 0..1_000 {
        planner.record_request(&service);
    }
    let taken: Vec<bool> = (0..3).map(|_| take(&mut planner).is_ok()).collect();
    assert_eq!(taken, [true, true, false]);
}

// Guards against hedges that are not counted as retries, or that use up a budget without being sent.
#[test]
fn a_hedge_takes_a_retry_of_the_service() {
    let bounds = RetryBounds {
        ratio: 0.0,
        headroom: 2.0,
        window: Duration::from_secs(10),
    };
    let mut retries = RetryBudget::new(bounds);
    let mut planner = planner(1.0);
    let service = service();
    let candidate = late_request(&service, SAFE);
    planner.record_request(&service);
    planner.record_request(&service);
    let now = ClockTime::ZERO;
    let mut take = |now| planner.take(now, &candidate, || retries.take(now, 1));
    assert_eq!(take(now), Ok(()));
    assert_eq!(take(now), Err(HedgeRefusal::Retries));
    assert_eq!(
        take(now + Duration::from_secs(10)),
        Ok(()),
        "the unit was kept"
    );
}

// Guards against hedges that make an overload worse.
#[test]
fn a_refusal_for_lack_of_capacity_ends_hedges_for_a_second() {
    let mut planner = planner(1.0);
    let service = service();
    planner.record_request(&service);
    let candidate = late_request(&service, SAFE);
    let refused = ClockTime::from_millis(5_000);
    planner.record_refusal(refused);
    let still = planner.permit(refused + millis(999), &candidate);
    assert_eq!(still, Err(HedgeRefusal::Overload));
    let later = planner.permit(refused + millis(1_000), &candidate);
    later.expect("a second later");
}

// Guards against a hedge beyond the runs of the route, and against one that crashes a second worker.
#[test]
fn a_suspect_or_a_request_without_a_further_run_is_not_hedged() {
    let mut planner = planner(1.0);
    let service = service();
    planner.record_request(&service);
    let suspect = HedgeCandidate {
        is_suspect: true,
        ..late_request(&service, SAFE)
    };
    let now = ClockTime::ZERO;
    assert_eq!(planner.permit(now, &suspect), Err(HedgeRefusal::Suspect));
    let once = RepeatLimits {
        max_runs: 1,
        ..SAFE
    };
    let candidate = late_request(&service, once);
    assert_eq!(planner.permit(now, &candidate), Err(HedgeRefusal::Runs));
}

#[parameterized(
    negative = { -0.1, 0.95 },
    above_one = { 1.1, 0.95 },
    not_a_number = { f64::NAN, 0.95 },
    quantile_zero = { 0.1, 0.0 },
    quantile_one = { 0.1, 1.0 },
)]
fn bounds_out_of_range_are_refused(ratio: f64, quantile: f64) {
    HedgeBounds::new(ratio, quantile).expect_err("a number out of range");
}
