//! Tests of what a host remembers of workers that leave, beside late, missing and older registrations.

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::configuration::WorkerState;
use borageladder_kernel::name::WorkerName;
use borageladder_kernel::roster::RosterUpdate;
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
    roster.mark_leaving(&worker());
    roster.apply(ClockTime::ZERO, update(WorkerState::Active, START));
    assert!(roster.find(&worker()).is_none());
}

// Guards against requests to a worker that started again and said that it leaves before the host read
// the registration of that start.
#[test]
fn a_statement_made_before_the_new_start_is_read_holds_for_the_new_start() {
    let mut roster = roster();
    roster.mark_leaving(&worker());
    roster.apply(ClockTime::ZERO, update(WorkerState::Active, NEXT_START));
    assert!(roster.find(&worker()).is_none());
}

// Guards against requests to a leaving worker after a registration that states no start.
#[test]
fn a_statement_holds_over_a_registration_without_a_start() {
    let mut roster = roster();
    roster.mark_leaving(&worker());
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
