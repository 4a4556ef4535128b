//! The rate limit on log lines, at exact times.

use std::time::Duration;

use borageladder::event::LogEvent;
use borageladder::log_budget::BURST_LINES;
use borageladder::log_budget::LINES_PER_SECOND;
use borageladder::log_budget::LineBudget;

fn to_float(lines: usize) -> f64 {
    f64::from(u32::try_from(lines).expect("a small number"))
}

fn admitted(budget: &mut LineBudget, now: Duration, event: LogEvent, lines: usize) -> usize {
    (0..lines).filter(|_| budget.admits(now, event)).count()
}

#[test]
fn lines_that_explain_a_failure_are_dropped_last() {
    let mut budget = LineBudget::default();
    let ordinary = admitted(&mut budget, Duration::ZERO, LogEvent::RequestSent, 10_000);
    let failures = admitted(
        &mut budget,
        Duration::ZERO,
        LogEvent::RequestRefused,
        10_000,
    );
    assert_eq!(ordinary, 1_000);
    assert_eq!(failures, 1_000);
    assert!(to_float(ordinary + failures) <= BURST_LINES);
}

#[test]
fn dropped_lines_are_counted_by_event_once() {
    let mut budget = LineBudget::default();
    admitted(&mut budget, Duration::ZERO, LogEvent::RequestSent, 1_500);
    let dropped = budget.take_dropped();
    assert_eq!(dropped.len(), 1);
    assert_eq!(dropped[&LogEvent::RequestSent], 500);
    assert!(budget.take_dropped().is_empty());
}

#[test]
fn the_sustained_rate_is_not_exceeded() {
    let mut budget = LineBudget::default();
    let mut lines = 0;
    for second in 0..60 {
        let now = Duration::from_secs(second);
        lines += admitted(&mut budget, now, LogEvent::WorkerFailed, 5_000);
    }
    assert!(to_float(lines) <= LINES_PER_SECOND.mul_add(60.0, BURST_LINES));
    assert!(to_float(lines) >= LINES_PER_SECOND * 59.0);
}

#[test]
fn a_clock_that_does_not_advance_refills_nothing() {
    let mut budget = LineBudget::default();
    let now = Duration::from_secs(7);
    admitted(&mut budget, now, LogEvent::WorkerFailed, 10_000);
    assert!(!budget.admits(Duration::from_secs(3), LogEvent::WorkerFailed));
    assert!(!budget.admits(now, LogEvent::WorkerFailed));
}
