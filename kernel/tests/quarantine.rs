//! Crash counts by the content of requests, and their reports to hosts that missed them.

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::WorkerName;
use borageladder_kernel::quarantine::CRASH_MERGE_TIME;
use borageladder_kernel::quarantine::CrashRegister;
use borageladder_kernel::quarantine::MAX_REPORTED_DIGESTS;
use borageladder_kernel::quarantine::QUARANTINE_TIME;
use borageladder_kernel::quarantine::QuarantineVerdict;

fn worker(name: &str) -> WorkerName {
    name.parse().expect("a valid name")
}

#[test]
fn a_host_that_missed_the_counts_gets_them_for_their_remaining_time() {
    let mut register = CrashRegister::default();
    for name in ["engine-1", "engine-2"] {
        register.record_crash(7, &worker(name), ClockTime::ZERO);
    }
    let later = ClockTime::from_millis(400_000);
    let mut started = CrashRegister::default();
    for count in register.counts(later) {
        assert!(started.merge(&count, ClockTime::ZERO));
    }
    // A further host gets the same remaining time from the second one.
    let mut last = CrashRegister::default();
    for count in started.counts(ClockTime::ZERO) {
        last.merge(&count, ClockTime::ZERO);
    }
    let verdict = last.verdict(7, ClockTime::ZERO);
    let QuarantineVerdict::Refused { retry_after } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(retry_after + Duration::from_secs(400), QUARANTINE_TIME);
}

#[test]
fn a_crash_counts_once_for_all_equal_requests_that_it_ended() {
    let mut first = CrashRegister::default();
    let mut second = CrashRegister::default();
    let now = ClockTime::ZERO;
    let count = first.record_crash(7, &worker("engine-1"), now);
    assert_eq!(first.record_crash(7, &worker("engine-1"), now), None);
    second.merge(&count.expect("a new crash"), now);
    assert_eq!(second.record_crash(7, &worker("engine-1"), now), None);
    assert_eq!(second.crashes(7, now), 1);
    let restarted = now + CRASH_MERGE_TIME;
    let again = second.record_crash(7, &worker("engine-1"), restarted);
    assert_eq!(again.expect("another crash").crashes, 2);
    let other = first.record_crash(7, &worker("engine-2"), now);
    assert_eq!(other.expect("another crash").crashes, 2);
}

#[test]
fn expired_counts_are_not_reported_and_the_rest_are_bounded() {
    let mut register = CrashRegister::default();
    let (one, two) = (worker("engine-1"), worker("engine-2"));
    register.record_crash(0, &one, ClockTime::ZERO);
    let now = ClockTime::ZERO + QUARANTINE_TIME;
    assert!(register.counts(now).is_empty());
    for digest in 1..200 {
        register.record_crash(digest, &one, now);
    }
    register.record_crash(7, &two, now);
    let counts = register.counts(now);
    assert_eq!(counts.len(), MAX_REPORTED_DIGESTS);
    assert_eq!((counts[0].digest, counts[0].crashes), (7, 2));
}
