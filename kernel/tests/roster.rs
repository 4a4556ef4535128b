//! Tests of which workers may get new requests, also during and after outages of the store.

use std::collections::BTreeSet;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::configuration::WorkerState;
use borageladder_kernel::departure::HealthCheck;
use borageladder_kernel::departure::HealthOutcome;
use borageladder_kernel::departure::WorkerStanding;
use borageladder_kernel::freshness::FreshnessGate;
use borageladder_kernel::name::WorkerName;
use borageladder_kernel::roster::REREGISTRATION_TIME;
use borageladder_kernel::roster::RosterUpdate;
use borageladder_kernel::roster::UpstreamRecord;
use borageladder_kernel::roster::UpstreamRoster;

fn name(worker: &str) -> WorkerName {
    worker.parse().expect("a valid name")
}

fn record(worker: &str, state: WorkerState) -> UpstreamRecord {
    UpstreamRecord {
        worker: name(worker),
        service: "drafter".parse().expect("a valid name"),
        datacenter: "sapporo-a".parse().expect("a valid name"),
        address: "127.0.0.1:8000".parse().expect("an address"),
        version: None,
        slots: 10,
        state,
        started_ms: None,
    }
}

fn complete_update(workers: &[&str]) -> RosterUpdate {
    let present = workers
        .iter()
        .map(|worker| record(worker, WorkerState::Active));
    RosterUpdate {
        complete: true,
        present: present.collect(),
        ..RosterUpdate::default()
    }
}

fn removal_update(workers: &[&str]) -> RosterUpdate {
    RosterUpdate {
        removed: workers.iter().map(|worker| name(worker)).collect(),
        ..RosterUpdate::default()
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
fn a_removed_or_draining_worker_is_not_used() {
    let mut roster = UpstreamRoster::default();
    assert!(roster.apply(ClockTime::ZERO, complete_update(&["a", "b", "c"])));
    assert!(roster.apply(ClockTime::from_millis(900), removal_update(&["b"])));
    let draining = RosterUpdate {
        present: vec![record("c", WorkerState::Draining)],
        ..RosterUpdate::default()
    };
    assert!(roster.apply(ClockTime::from_millis(1_800), draining));
    assert_eq!(usable(&roster), names(&["a"]));
    assert_eq!(roster.find(&name("c")), None);
}

#[test]
fn workers_that_expired_during_an_outage_stay_valid_until_workers_can_register_again() {
    let mut roster = UpstreamRoster::default();
    roster.apply(ClockTime::ZERO, complete_update(&["a", "b"]));
    roster.store_unavailable();
    let recovered_at = ClockTime::from_millis(6_000);
    assert!(!roster.apply(recovered_at, complete_update(&[])));
    assert_eq!(usable(&roster), names(&["a", "b"]));
    roster.apply(ClockTime::from_millis(7_000), complete_update(&["a"]));
    assert_eq!(usable(&roster), names(&["a", "b"]));
    assert!(roster.apply(recovered_at + REREGISTRATION_TIME, complete_update(&["a"])));
    assert_eq!(usable(&roster), names(&["a"]));
}

#[test]
fn a_draining_worker_is_not_used_right_after_an_outage() {
    let mut roster = UpstreamRoster::default();
    roster.apply(ClockTime::ZERO, complete_update(&["a", "b"]));
    roster.store_unavailable();
    let draining = RosterUpdate {
        present: vec![record("a", WorkerState::Draining)],
        ..RosterUpdate::default()
    };
    roster.apply(ClockTime::from_millis(5_000), draining);
    assert_eq!(usable(&roster), names(&["b"]));
}

#[test]
fn a_read_without_changes_is_not_reported_as_a_change() {
    let mut roster = UpstreamRoster::default();
    assert!(roster.apply(ClockTime::ZERO, complete_update(&["a"])));
    assert!(!roster.apply(ClockTime::from_millis(900), complete_update(&["a"])));
}

#[test]
fn a_suspended_host_is_not_fresh_when_it_resumes() {
    let bound = std::time::Duration::from_secs(5);
    let mut gate = FreshnessGate::new(bound);
    gate.record_read(ClockTime::from_millis(1_000));
    assert!(gate.is_fresh(ClockTime::from_millis(4_900)));
    assert!(!gate.is_fresh(ClockTime::from_millis(5_000)));
    // A read that began before the last recorded one does not extend the freshness.
    gate.record_read(ClockTime::from_millis(500));
    assert!(!gate.is_fresh(ClockTime::from_millis(5_000)));
    gate.record_read(ClockTime::from_millis(4_999));
    assert!(gate.is_fresh(ClockTime::from_millis(5_000)));
}

// Guards against new work for a worker that left while one host could not read the store: that host
// keeps the worker for a while, and others that know better must not take it over.
#[test]
fn a_worker_that_is_kept_only_after_an_outage_is_not_passed_on_to_other_hosts() {
    let at = ClockTime::from_millis;
    let mut cut_off = UpstreamRoster::default();
    let mut connected = UpstreamRoster::default();
    for roster in [&mut cut_off, &mut connected] {
        roster.apply(at(0), complete_update(&["w1", "w2"]));
    }
    cut_off.store_unavailable();
    // While one host is turned away by the store, w2 drains and leaves.
    let draining = RosterUpdate {
        present: vec![record("w2", WorkerState::Draining)],
        ..RosterUpdate::default()
    };
    connected.apply(at(1_000), draining);
    connected.apply(at(4_000), removal_update(&["w2"]));
    cut_off.apply(at(5_000), complete_update(&["w1"]));
    assert_eq!(usable(&cut_off), names(&["w1", "w2"]));

    let passed_on = RosterUpdate {
        complete: true,
        present: cut_off.registered().cloned().collect(),
        ..RosterUpdate::default()
    };
    connected.apply(at(5_100), passed_on);
    assert_eq!(usable(&connected), names(&["w1"]));
}

// Guards against new requests for a worker that said that it leaves while its registration does not,
// also after an outage of the store, and against one that gets none after it has started again.
#[test]
fn a_worker_that_said_that_it_leaves_gets_requests_only_after_a_confirmed_new_start() {
    let mut roster = UpstreamRoster::default();
    let started = |started_ms| UpstreamRecord {
        started_ms,
        ..record("w1", WorkerState::Active)
    };
    let present = |started_ms| RosterUpdate {
        complete: true,
        present: vec![started(started_ms)],
        ..RosterUpdate::default()
    };
    let now = ClockTime::ZERO;
    roster.apply(now, present(Some(1)));
    let worker = started(None).worker;
    assert!(roster.mark_leaving(now, &worker, Some(now)));
    assert!(!roster.mark_leaving(now, &worker, Some(now)));
    roster.apply(now, present(Some(1)));
    assert_eq!(roster.usable().count(), 0);
    roster.apply(
        now,
        RosterUpdate {
            complete: true,
            ..RosterUpdate::default()
        },
    );
    roster.apply(now, present(Some(1)));
    assert!(roster.find(&worker).is_none());
    let restart = present(Some(2));
    assert_eq!(roster.restarted(&restart), [&worker]);
    roster.apply(now, restart);
    // The answer may have been one of the new start.
    assert!(roster.find(&worker).is_none());
    let check = HealthCheck {
        worker: worker.clone(),
        started_ms: Some(2),
        sent_at: now,
    };
    assert!(roster.settle(now, &check, HealthOutcome::Sound));
    assert!(roster.find(&worker).is_some());
    assert_eq!(roster.standing(&worker), Some(WorkerStanding::Serving));
}

// Guards against a worker that is kept for good because its registration is missing after an outage and
// the workers have not changed since.
#[test]
fn a_missing_worker_is_removed_by_an_unchanged_read_after_the_grace_period() {
    let at = ClockTime::from_millis;
    let mut roster = UpstreamRoster::default();
    roster.apply(at(0), complete_update(&["a", "b"]));
    roster.store_unavailable();
    roster.apply(at(1_000), complete_update(&["a"]));
    assert!(!roster.record_unchanged(at(2_000)));
    assert_eq!(usable(&roster), names(&["a", "b"]));
    assert!(roster.record_unchanged(at(1_000) + REREGISTRATION_TIME));
    assert_eq!(usable(&roster), names(&["a"]));
}

// Guards against a grace period that begins long after the outage, at the next change of the workers.
#[test]
fn an_unchanged_read_ends_an_outage() {
    let at = ClockTime::from_millis;
    let mut roster = UpstreamRoster::default();
    roster.apply(at(0), complete_update(&["a", "b"]));
    roster.store_unavailable();
    roster.record_unchanged(at(1_000));
    roster.apply(at(60_000), complete_update(&["a"]));
    assert_eq!(usable(&roster), names(&["a"]));
}
