//! Tests of the adaptive concurrency limit of a worker.

use std::time::Duration;

use borageladder_kernel::ask::LoadReport;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::limit::GapSignal;
use borageladder_kernel::limit::LimitMode;
use borageladder_kernel::limit::WorkerLimit;

fn signal(limit: &WorkerLimit, gap_micros: u64) -> GapSignal {
    GapSignal {
        running: limit.slots(),
        gap_micros,
        lowest_gap_micros: 20_000,
    }
}

#[test]
fn good_answers_raise_the_limit_of_a_full_worker_slowly_up_to_its_ceiling() {
    let mut limit = WorkerLimit::new(LimitMode::Adaptive, 18);
    let first = limit.slots();
    limit.observe_answer(ClockTime::ZERO, signal(&limit, 30_000));
    assert_eq!(limit.slots(), first, "one answer is not enough");
    for _ in 0..200 {
        limit.observe_answer(ClockTime::ZERO, signal(&limit, 30_000));
    }
    assert_eq!(limit.slots(), 18);
}

#[test]
fn the_limit_of_a_worker_with_free_slots_does_not_rise() {
    let mut limit = WorkerLimit::new(LimitMode::Adaptive, 100);
    let first = limit.slots();
    for _ in 0..200 {
        let signal = GapSignal {
            running: 1,
            ..signal(&limit, 30_000)
        };
        limit.observe_answer(ClockTime::ZERO, signal);
    }
    assert_eq!(limit.slots(), first);
}

#[test]
fn overload_decreases_the_limit_once_per_interval() {
    let mut limit = WorkerLimit::new(LimitMode::Adaptive, 10);
    let now = ClockTime::from_millis(1);
    limit.observe_answer(now, signal(&limit, 900_000));
    assert_eq!(limit.slots(), 8);
    limit.observe_answer(now, signal(&limit, 900_000));
    assert_eq!(limit.slots(), 8);
    limit.observe_first_token(
        now + Duration::from_secs(2),
        Duration::from_secs(9),
        Duration::from_secs(1),
    );
    assert_eq!(limit.slots(), 6);
}

#[test]
fn load_reports_only_lower_the_limit() {
    let mut limit = WorkerLimit::new(LimitMode::Adaptive, 10);
    let queued = LoadReport {
        waiting: 3,
        ..LoadReport::default()
    };
    limit.observe_load(ClockTime::ZERO, queued);
    assert_eq!(limit.slots(), 8);
    let idle = LoadReport::default();
    limit.observe_load(ClockTime::from_millis(60_000), idle);
    assert_eq!(limit.slots(), 8);
}
