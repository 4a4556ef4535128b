//! Tests of what a host remembers of workers that leave, beside late, missing and older registrations.

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::configuration::WorkerState;
use borageladder_kernel::departure::HealthCheck;
use borageladder_kernel::departure::HealthOutcome;
use borageladder_kernel::departure::MAX_RECORDS;
use borageladder_kernel::departure::WorkerStanding;
use borageladder_kernel::name::WorkerName;
use borageladder_kernel::pushback::RestTable;
use borageladder_kernel::roster::RosterUpdate;
use borageladder_kernel::roster::StoreEra;
use borageladder_kernel::roster::UpstreamRecord;
use borageladder_kernel::roster::UpstreamRoster;

const START: Option<u64> = Some(1_786_000_000_000);
const NEXT_START: Option<u64> = Some(1_786_000_060_000);

fn worker() -> WorkerName {
    "w1".parse().expect("a valid name")
}

fn update(state: WorkerState, started_ms: Option<u64>) -> RosterUpdate {
    let record = UpstreamRecord {
        worker: worker(),
        service: "drafter".parse().expect("a valid name"),
        datacenter: "sapporo-a".parse().expect("a valid name"),
        address: "127.0.0.1:8000".parse().expect("an address"),
        version: None,
        slots: 10,
        state,
        started_ms,
    };
    RosterUpdate {
        present: vec![record],
        ..RosterUpdate::default()
    }
}

fn removal() -> RosterUpdate {
    RosterUpdate {
        removed: [worker()].into(),
        ..RosterUpdate::default()
    }
}

/// Returns a roster that holds the worker as active under its first start.
fn roster() -> UpstreamRoster {
    let mut roster = UpstreamRoster::default();
    roster.apply(ClockTime::ZERO, update(WorkerState::Active, START));
    roster
}

// Guards against requests to a worker that said that it leaves while its registration was missing.
#[test]
fn a_statement_made_while_the_registration_is_missing_holds_when_it_is_back() {
    let mut roster = roster();
    roster.apply(ClockTime::ZERO, removal());
    roster.mark_leaving(ClockTime::ZERO, &worker(), Some(ClockTime::ZERO));
    roster.apply(ClockTime::ZERO, update(WorkerState::Active, START));
    assert!(roster.find(&worker()).is_none());
}

// Guards against requests to a worker that started again and said that it leaves before the host read
// the registration of that start.
#[test]
fn a_statement_made_before_the_new_start_is_read_holds_for_the_new_start() {
    let mut roster = roster();
    roster.mark_leaving(ClockTime::ZERO, &worker(), Some(ClockTime::ZERO));
    roster.apply(ClockTime::ZERO, update(WorkerState::Active, NEXT_START));
    assert!(roster.find(&worker()).is_none());
}

// Guards against requests to a leaving worker after a registration that states no start.
#[test]
fn a_statement_holds_over_a_registration_without_a_start() {
    let mut roster = roster();
    roster.mark_leaving(ClockTime::ZERO, &worker(), Some(ClockTime::ZERO));
    roster.apply(ClockTime::ZERO, update(WorkerState::Active, None));
    assert!(roster.find(&worker()).is_none());
}

// Guards against requests to a draining worker after an older registration of the same start, from an
// older copy of the store or a write that was carried out late.
#[test]
fn a_draining_worker_is_not_ready_again_before_its_next_start() {
    let mut roster = roster();
    roster.apply(ClockTime::ZERO, update(WorkerState::Draining, START));
    roster.apply(ClockTime::ZERO, update(WorkerState::Active, START));
    assert!(roster.find(&worker()).is_none());
}

// Guards against the same if the registration was removed in between.
#[test]
fn a_draining_worker_that_was_removed_is_not_ready_again_before_its_next_start() {
    let mut roster = roster();
    roster.apply(ClockTime::ZERO, update(WorkerState::Draining, START));
    roster.apply(ClockTime::ZERO, removal());
    roster.apply(ClockTime::ZERO, update(WorkerState::Active, START));
    assert!(roster.find(&worker()).is_none());
}

/// Returns a roster whose worker said that it leaves, and then registered a later start.
fn roster_after_restart() -> UpstreamRoster {
    let mut roster = roster();
    roster.mark_leaving(ClockTime::ZERO, &worker(), Some(ClockTime::ZERO));
    roster.apply(ClockTime::ZERO, update(WorkerState::Active, NEXT_START));
    roster
}

fn check(started_ms: Option<u64>, sent_ms: u64) -> HealthCheck {
    HealthCheck {
        worker: worker(),
        started_ms,
        sent_at: ClockTime::from_millis(sent_ms),
    }
}

#[test]
fn a_health_check_decides_whether_the_present_start_is_leaving() {
    let now = ClockTime::from_millis(10);
    let mut sound = roster_after_restart();
    assert_eq!(sound.unconfirmed().count(), 1);
    assert!(sound.settle(now, &check(NEXT_START, 5), HealthOutcome::Sound));
    assert!(sound.find(&worker()).is_some());

    let mut leaving = roster_after_restart();
    assert!(!leaving.settle(now, &check(NEXT_START, 5), HealthOutcome::Leaving));
    assert_eq!(leaving.standing(&worker()), Some(WorkerStanding::Leaving));
    assert_eq!(leaving.unconfirmed().count(), 0);

    let mut undecided = roster_after_restart();
    assert!(!undecided.settle(now, &check(NEXT_START, 5), HealthOutcome::Undecided));
    assert_eq!(undecided.unconfirmed().count(), 1);
}

// Guards against a worker that is used again because of a check from before it said that it leaves, or of
// another start.
#[test]
fn a_health_check_decides_nothing_about_later_statements_and_starts() {
    let at = ClockTime::from_millis;
    let mut roster = roster_after_restart();
    roster.mark_leaving(at(6), &worker(), None);
    assert!(!roster.settle(at(10), &check(NEXT_START, 5), HealthOutcome::Sound));
    assert!(!roster.settle(at(10), &check(START, 9), HealthOutcome::Sound));
    assert!(roster.find(&worker()).is_none());
}

// Guards against a sound worker that gets nothing because an answer of its earlier start arrives late.
#[test]
fn a_statement_on_a_connection_from_before_the_start_leaves_the_worker_unconfirmed() {
    let at = ClockTime::from_millis;
    let mut roster = roster();
    roster.apply(at(100), update(WorkerState::Active, NEXT_START));
    roster.mark_leaving(at(101), &worker(), Some(at(99)));
    assert_eq!(
        roster.standing(&worker()),
        Some(WorkerStanding::Unconfirmed)
    );
    roster.mark_leaving(at(102), &worker(), Some(at(100)));
    assert_eq!(roster.standing(&worker()), Some(WorkerStanding::Leaving));
}

#[test]
fn a_later_start_of_a_draining_worker_is_used_at_once() {
    let mut roster = roster();
    let now = ClockTime::ZERO;
    roster.apply(now, update(WorkerState::Draining, START));
    roster.apply(now, removal());
    roster.apply(now, update(WorkerState::Active, NEXT_START));
    assert!(roster.find(&worker()).is_some());
}

#[test]
fn a_worker_that_registers_again_after_it_lapsed_is_used_at_once() {
    let mut roster = roster();
    let now = ClockTime::ZERO;
    roster.apply(now, removal());
    assert!(roster.find(&worker()).is_none());
    roster.apply(now, update(WorkerState::Active, START));
    assert!(roster.find(&worker()).is_some());
}

// Guards against statements that are forgotten because many other workers left.
#[test]
fn a_statement_is_kept_beside_those_of_many_other_workers() {
    let mut roster = roster();
    let now = ClockTime::from_millis;
    roster.mark_leaving(now(0), &worker(), Some(now(0)));
    roster.apply(now(0), removal());
    for number in 0..2_000 {
        let other: WorkerName = format!("other-{number}").parse().expect("a valid name");
        roster.mark_leaving(now(1 + number), &other, None);
    }
    roster.apply(now(3_000), update(WorkerState::Active, START));
    assert!(roster.find(&worker()).is_none());
}

// Guards against records that grow without bound, and against one of a registered worker that gives way.
#[test]
fn the_oldest_records_of_workers_without_registration_give_way() {
    let mut roster = roster();
    let at = ClockTime::from_millis;
    let other = |number: u64| -> WorkerName {
        let name = format!("other-{number}");
        name.parse().expect("a valid name")
    };
    roster.mark_leaving(at(0), &worker(), Some(at(0)));
    for number in 0..MAX_RECORDS as u64 {
        roster.mark_leaving(at(1 + number), &other(number), None);
    }
    assert!(roster.find(&worker()).is_none());
    assert!(roster.mark_leaving(at(20_000), &other(0), None));
    assert!(!roster.mark_leaving(at(20_000), &other(2), None));
}

// Guards against what a worker said of itself, such as a rest, that stays in force for its next start
// because its registration was removed in between.
#[test]
fn a_start_after_a_removal_counts_as_a_restart() {
    let mut roster = roster();
    let now = ClockTime::ZERO;
    roster.apply(now, removal());
    assert_eq!(
        roster.restarted(&update(WorkerState::Active, START)),
        Vec::<&WorkerName>::new()
    );
    let next = update(WorkerState::Active, NEXT_START);
    assert_eq!(roster.restarted(&next), [&worker()]);
}

// Guards against a worker that says in a health check that it leaves, and is asked again and again, because
// it was checked for another reason.
#[test]
fn a_health_check_that_states_the_leaving_counts_for_a_worker_in_service() {
    let mut roster = roster();
    let now = ClockTime::from_millis(10);
    assert!(!roster.settle(now, &check(START, 5), HealthOutcome::Leaving));
    assert_eq!(roster.standing(&worker()), Some(WorkerStanding::Leaving));
    assert!(!roster.settle(now, &check(START, 9), HealthOutcome::Sound));
    assert_eq!(roster.standing(&worker()), Some(WorkerStanding::Leaving));
}

// Guards against a short rest of a start that is prolonged by a long one of the start before.
#[test]
fn a_rest_of_the_present_start_replaces_an_unconfirmed_one() {
    let at = ClockTime::from_millis;
    let mut rests = RestTable::default();
    rests.record(at(0), &worker(), Duration::from_mins(1));
    rests.mark_unconfirmed(&worker());
    rests.record(at(100), &worker(), Duration::from_secs(2));
    assert_eq!(rests.remaining(at(100), &worker()), Duration::from_secs(2));
    assert!(!rests.is_unconfirmed(at(100), &worker()));
    rests.record(at(200), &worker(), Duration::from_secs(1));
    assert_eq!(
        rests.remaining(at(200), &worker()),
        Duration::from_millis(1_900)
    );
}

// Guards against a sound start that gets nothing for as long as its health check fails for another reason.
#[test]
fn an_unhealthy_worker_that_does_not_say_that_it_leaves_is_no_longer_taken_for_leaving() {
    let now = ClockTime::from_millis(10);
    let mut stated = roster_after_restart();
    assert!(stated.settle(now, &check(NEXT_START, 5), HealthOutcome::Unhealthy));

    let mut removed = roster();
    removed.apply(ClockTime::ZERO, removal());
    let copied = RosterUpdate {
        era: StoreEra(1),
        ..update(WorkerState::Active, START)
    };
    removed.apply(ClockTime::ZERO, copied);
    assert!(!removed.settle(now, &check(START, 5), HealthOutcome::Unhealthy));
    assert_eq!(removed.unconfirmed().count(), 1);
    assert!(removed.settle(now, &check(START, 5), HealthOutcome::Sound));
}
