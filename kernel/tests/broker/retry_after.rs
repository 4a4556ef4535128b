//! Retry-after times of callers that are refused in a burst.

use std::collections::BTreeSet;
use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::TierRank;
use borageladder_kernel::retry_after::MIN_RETRY_AFTER;
use borageladder_kernel::retry_after::RetryAfterRequest;
use borageladder_kernel::retry_after::RetryAfterSchedule;

/// The time until the deadline of each request in the burst.
const REMAINING: Duration = Duration::from_secs(12);

fn refused(tier: u8) -> RetryAfterRequest {
    RetryAfterRequest {
        tier: TierRank(tier),
        earliest: Duration::from_millis(40),
        remaining: REMAINING,
        work: Duration::from_millis(200),
        slots: 100,
    }
}

#[test]
fn callers_refused_together_get_different_retry_after_times() {
    let mut schedule = RetryAfterSchedule::default();
    let mut times = BTreeSet::new();
    for _ in 0..40 {
        let wait = schedule.book(ClockTime::ZERO, &refused(0));
        assert!(
            (MIN_RETRY_AFTER..=REMAINING / 3).contains(&wait),
            "{wait:?}"
        );
        times.insert(wait);
    }
    assert_eq!(times.len(), 40);
}

#[test]
fn every_retry_after_time_leaves_time_for_the_retry() {
    let mut schedule = RetryAfterSchedule::default();
    for _ in 0..10_000 {
        let wait = schedule.book(ClockTime::ZERO, &refused(0));
        assert!(wait <= REMAINING / 3);
    }
    let short_deadline = RetryAfterRequest {
        remaining: Duration::from_secs(2),
        ..refused(0)
    };
    assert_eq!(
        schedule.book(ClockTime::ZERO, &short_deadline),
        MIN_RETRY_AFTER
    );
}

#[test]
fn after_a_burst_the_retry_after_time_is_short_again() {
    let mut schedule = RetryAfterSchedule::default();
    for _ in 0..1_000 {
        schedule.book(ClockTime::ZERO, &refused(0));
    }
    let later = ClockTime::ZERO + Duration::from_secs(10);
    assert_eq!(schedule.book(later, &refused(0)), MIN_RETRY_AFTER);
}

#[test]
fn a_burst_of_lower_tiers_does_not_delay_retries_of_a_higher_one() {
    let mut schedule = RetryAfterSchedule::default();
    for _ in 0..1_000 {
        schedule.book(ClockTime::ZERO, &refused(2));
    }
    assert_eq!(schedule.book(ClockTime::ZERO, &refused(1)), MIN_RETRY_AFTER);
}
