//! Tests of which workers may get work while the store comes and goes.

use std::collections::BTreeSet;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::configuration::WorkerState;
use borageladder_kernel::freshness::FreshnessGate;
use borageladder_kernel::name::WorkerName;
use borageladder_kernel::roster::RETURN_TIME;
use borageladder_kernel::roster::UpstreamRecord;
use borageladder_kernel::roster::UpstreamRoster;
use borageladder_kernel::roster::WorkerReading;

fn name(worker: &str) -> WorkerName {
    worker.parse().expect("a valid name")
}

fn record(worker: &str, state: WorkerState) -> UpstreamRecord {
    UpstreamRecord {
        worker: name(worker),
        service: "drafter".parse().expect("a valid name"),
        datacenter: "sapporo-a".parse().expect("a valid name"),
        address: "127.0.0.1:8000".parse().expect("an address"),
        slots: 10,
        state,
    }
}

fn all(workers: &[&str]) -> WorkerReading {
    let present = workers
        .iter()
        .map(|worker| record(worker, WorkerState::Active));
    WorkerReading {
        complete: true,
        present: present.collect(),
        ..WorkerReading::default()
    }
}

fn gone(workers: &[&str]) -> WorkerReading {
    WorkerReading {
        gone: workers.iter().map(|worker| name(worker)).collect(),
        ..WorkerReading::default()
    }
}

fn usable(roster: &UpstreamRoster) -> BTreeSet<String> {
    roster
        .usable()
        .map(|record| record.worker.to_string())
        .collect()
}

fn names(workers: &[&str]) -> BTreeSet<String> {
    workers.iter().map(|worker| (*worker).to_owned()).collect()
}

#[test]
fn a_worker_that_leaves_is_not_used_from_then_on() {
    let mut roster = UpstreamRoster::default();
    assert!(roster.apply(ClockTime::ZERO, all(&["a", "b", "c"])));
    assert!(roster.apply(ClockTime::from_millis(900), gone(&["b"])));
    let draining = WorkerReading {
        present: vec![record("c", WorkerState::Draining)],
        ..WorkerReading::default()
    };
    assert!(roster.apply(ClockTime::from_millis(1_800), draining));
    assert_eq!(usable(&roster), names(&["a"]));
    assert_eq!(roster.find(&name("c")), None);
}

#[test]
fn entries_that_lapsed_while_the_store_was_away_count_until_workers_are_back() {
    let mut roster = UpstreamRoster::default();
    roster.apply(ClockTime::ZERO, all(&["a", "b"]));
    roster.store_lost();
    let back = ClockTime::from_millis(6_000);
    assert!(!roster.apply(back, all(&[])));
    assert_eq!(usable(&roster), names(&["a", "b"]));
    roster.apply(ClockTime::from_millis(7_000), all(&["a"]));
    assert_eq!(usable(&roster), names(&["a", "b"]));
    assert!(roster.apply(back + RETURN_TIME, all(&["a"])));
    assert_eq!(usable(&roster), names(&["a"]));
}

#[test]
fn a_worker_that_says_it_is_leaving_is_believed_right_after_an_outage() {
    let mut roster = UpstreamRoster::default();
    roster.apply(ClockTime::ZERO, all(&["a", "b"]));
    roster.store_lost();
    let leaving = WorkerReading {
        present: vec![record("a", WorkerState::Draining)],
        ..WorkerReading::default()
    };
    roster.apply(ClockTime::from_millis(5_000), leaving);
    assert_eq!(usable(&roster), names(&["b"]));
}

#[test]
fn a_beat_that_changes_nothing_is_no_change() {
    let mut roster = UpstreamRoster::default();
    assert!(roster.apply(ClockTime::ZERO, all(&["a"])));
    assert!(!roster.apply(ClockTime::from_millis(900), all(&["a"])));
}

#[test]
fn a_frozen_host_is_not_fresh_when_it_wakes() {
    let bound = std::time::Duration::from_secs(5);
    let mut gate = FreshnessGate::new(bound);
    gate.confirmed(ClockTime::from_millis(1_000));
    assert!(gate.is_fresh(ClockTime::from_millis(4_900)));
    assert!(!gate.is_fresh(ClockTime::from_millis(5_000)));
    // A read that began before the last one proves nothing more.
    gate.confirmed(ClockTime::from_millis(500));
    assert!(!gate.is_fresh(ClockTime::from_millis(5_000)));
    gate.confirmed(ClockTime::from_millis(4_999));
    assert!(gate.is_fresh(ClockTime::from_millis(5_000)));
}
