//! The timeouts and delays of the rollout, checked at their exact bounds.

use std::collections::BTreeSet;
use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::configuration::ConfigVersion;
use borageladder_kernel::membership::HEARTBEAT_TIMEOUT;
use borageladder_kernel::name::DatacenterName;
use borageladder_kernel::name::HostName;
use borageladder_kernel::rollout::CHANGE_DEADLINE;
use borageladder_kernel::rollout::ChangeProgress;
use borageladder_kernel::rollout::FRESHNESS_BOUND;
use borageladder_kernel::rollout::HostReport;
use borageladder_kernel::rollout::Rollout;
use borageladder_kernel::rollout::RolloutAction;
use borageladder_kernel::rollout::RolloutTimes;
use borageladder_kernel::rollout::UnconfirmedMember;

const STEP: Duration = Duration::from_millis(100);

fn datacenter_name(name: &str) -> DatacenterName {
    DatacenterName::try_from(name).expect("a valid name")
}

fn host(name: &str) -> HostName {
    HostName::try_from(name).expect("a valid name")
}

fn start() -> Rollout {
    Rollout::new(
        datacenter_name("d1"),
        RolloutTimes::default(),
        ClockTime::ZERO,
    )
}

fn report(datacenter: &str, version: u64, echo: Option<ClockTime>) -> HostReport {
    HostReport {
        datacenter: datacenter_name(datacenter),
        applied: ConfigVersion(version),
        known: ConfigVersion(version),
        confirmed: ConfigVersion(0),
        fresh: true,
        echo,
        stopping: false,
    }
}

fn seconds(count: u64) -> ClockTime {
    ClockTime::from_millis(count * 1_000)
}

fn before(time: Duration) -> Duration {
    time.saturating_sub(Duration::from_micros(1))
}

/// Returns the rollout state of a host that shares its data centre with host `b`, after both have
/// run for ten seconds at version 1.
fn pair() -> (Rollout, ClockTime) {
    let mut rollout = start();
    let mut now = ClockTime::ZERO;
    rollout.configuration_received(
        now,
        ConfigVersion(1),
        [datacenter_name("d1")].into(),
        BTreeSet::new(),
    );
    while now < seconds(10) {
        now = now + STEP;
        rollout.heartbeat_received(now, &host("b"), report("d1", 1, Some(now)));
        rollout.tick(now);
    }
    (rollout, now)
}

#[test]
fn freshness_counts_from_the_query_and_ends_at_the_exact_bound() {
    let mut rollout = start();
    let (sent, answered) = (seconds(1), seconds(2));
    rollout.tick(sent);
    rollout.table_read(answered, sent, ConfigVersion(0));
    assert!(rollout.may_take_work(sent + before(FRESHNESS_BOUND)));
    assert!(!rollout.may_take_work(sent + FRESHNESS_BOUND));
}

#[test]
fn an_echo_from_the_future_does_not_verify_a_version() {
    let mut rollout = start();
    rollout.heartbeat_received(seconds(1), &host("b"), report("d1", 0, Some(seconds(2))));
    assert!(!rollout.may_take_work(seconds(1)));
    assert!(!rollout.may_take_work(seconds(2)));
}

#[test]
fn a_host_that_is_not_fresh_does_not_verify_a_version() {
    let mut rollout = start();
    let mut stale = report("d1", 0, Some(seconds(1)));
    stale.fresh = false;
    rollout.heartbeat_received(seconds(1), &host("b"), stale);
    assert!(!rollout.may_take_work(seconds(1)));
}

#[test]
fn a_host_takes_no_work_until_it_has_applied_a_newer_version() {
    let (mut rollout, now) = pair();
    assert!(rollout.may_take_work(now));
    let actions = rollout.heartbeat_received(now, &host("b"), report("d1", 2, Some(now)));
    assert!(!rollout.may_take_work(now));
    let expected = [RolloutAction::Announce, RolloutAction::FetchFrom(host("b"))];
    assert_eq!(actions, expected);
    let (newer, _) =
        rollout.configuration_received(now, ConfigVersion(2), BTreeSet::new(), BTreeSet::new());
    assert!(newer && rollout.may_take_work(now));
    let (newer, _) =
        rollout.configuration_received(now, ConfigVersion(1), BTreeSet::new(), BTreeSet::new());
    assert!(!newer);
    assert_eq!(rollout.applied(), ConfigVersion(2));
}

#[test]
fn an_unanswered_fetch_is_sent_to_other_sources() {
    let (mut rollout, now) = pair();
    rollout.heartbeat_received(now, &host("c"), report("d1", 2, Some(now)));
    rollout.heartbeat_received(now, &host("b"), report("d1", 2, Some(now)));
    let mut fetches = Vec::new();
    for step in 1..=15 {
        let actions = rollout.tick(now + STEP * step);
        fetches.extend(
            actions
                .into_iter()
                .filter(|action| *action != RolloutAction::Announce),
        );
    }
    let expected = [
        RolloutAction::FetchFromTable,
        RolloutAction::FetchFrom(host("b")),
        RolloutAction::FetchFrom(host("c")),
    ];
    assert_eq!(fetches, expected);
}

/// Makes a change, calls `deliver` in every step, and returns the time until the change is reported
/// and its progress at that time.
fn change(
    rollout: &mut Rollout,
    now: ClockTime,
    required: &[&str],
    mut deliver: impl FnMut(&mut Rollout, ClockTime) -> Vec<RolloutAction>,
) -> (Duration, ChangeProgress) {
    let version = ConfigVersion(2);
    let required = required.iter().map(|name| datacenter_name(name)).collect();
    rollout.table_read(now, now, ConfigVersion(1));
    rollout.configuration_received(now, version, required, BTreeSet::new());
    let mut actions = rollout.track_change(now, now, version);
    let mut time = now;
    while time.since(now) <= CHANGE_DEADLINE {
        if let Some(progress) = reported(actions) {
            return (time.since(now), progress);
        }
        time = time + STEP;
        actions = deliver(rollout, time);
        actions.extend(rollout.table_read(time, time, version));
        actions.extend(rollout.tick(time));
    }
    panic!("nothing was reported within the deadline");
}

fn reported(actions: Vec<RolloutAction>) -> Option<ChangeProgress> {
    actions.into_iter().find_map(|action| match action {
        RolloutAction::Report { progress, .. } => Some(progress),
        _ => None,
    })
}

#[test]
fn a_change_is_accepted_after_the_acceptance_delay() {
    let (mut rollout, now) = pair();
    let (after, progress) = change(&mut rollout, now, &["d1"], |rollout, time| {
        rollout.heartbeat_received(time, &host("b"), report("d1", 2, Some(time)))
    });
    assert_eq!(progress, ChangeProgress::Accepted);
    assert_eq!(after, STEP + HEARTBEAT_TIMEOUT);
}

#[test]
fn one_host_that_falls_silent_delays_a_change_and_does_not_stop_it() {
    let (mut rollout, now) = pair();
    let (after, progress) = change(&mut rollout, now, &["d1"], |_, _| Vec::new());
    assert_eq!(progress, ChangeProgress::Accepted);
    assert_eq!(after, HEARTBEAT_TIMEOUT * 2);
}

#[test]
fn a_live_host_that_has_not_applied_the_version_is_reported() {
    let (mut rollout, now) = pair();
    let (after, progress) = change(&mut rollout, now, &["d1"], |rollout, time| {
        rollout.heartbeat_received(time, &host("b"), report("d1", 1, Some(time)))
    });
    let unconfirmed = vec![
        UnconfirmedMember::Datacenter(datacenter_name("d1")),
        UnconfirmedMember::Host {
            datacenter: datacenter_name("d1"),
            host: host("b"),
        },
    ];
    assert_eq!(progress, ChangeProgress::Recorded { unconfirmed });
    assert_eq!(after, CHANGE_DEADLINE);
}

#[test]
fn two_hosts_that_fall_silent_keep_a_change_recorded() {
    let (mut rollout, now) = pair();
    rollout.heartbeat_received(now, &host("c"), report("d1", 1, Some(now)));
    let (_, progress) = change(&mut rollout, now, &["d1"], |_, _| Vec::new());
    assert!(matches!(progress, ChangeProgress::Recorded { .. }));
}

#[test]
fn stopping_hosts_do_not_keep_a_change_recorded() {
    let (mut rollout, now) = pair();
    for name in ["b", "c", "d"] {
        let mut last = report("d1", 1, Some(now));
        last.stopping = true;
        rollout.heartbeat_received(now, &host(name), last);
    }
    let (_, progress) = change(&mut rollout, now, &["d1"], |_, _| Vec::new());
    assert_eq!(progress, ChangeProgress::Accepted);
}

#[test]
fn a_silent_data_centre_is_reported() {
    let (mut rollout, now) = pair();
    let (after, progress) = change(&mut rollout, now, &["d1", "d2"], |rollout, time| {
        rollout.heartbeat_received(time, &host("b"), report("d1", 2, Some(time)))
    });
    let unconfirmed = vec![UnconfirmedMember::Datacenter(datacenter_name("d2"))];
    assert_eq!(progress, ChangeProgress::Recorded { unconfirmed });
    assert_eq!(after, CHANGE_DEADLINE);
}

#[test]
fn a_data_centre_that_is_declared_gone_is_not_waited_for() {
    let (mut rollout, now) = pair();
    let version = ConfigVersion(2);
    rollout.heartbeat_received(now, &host("x"), report("d2", 1, Some(now)));
    rollout.configuration_received(
        now,
        version,
        [datacenter_name("d1")].into(),
        [datacenter_name("d2")].into(),
    );
    rollout.track_change(now, now, version);
    let mut progress = None;
    for step in 1..=30 {
        let time = now + STEP * step;
        let mut actions = rollout.heartbeat_received(time, &host("b"), report("d1", 2, Some(time)));
        actions.extend(rollout.tick(time));
        progress = progress.or(reported(actions));
    }
    assert_eq!(progress, Some(ChangeProgress::Accepted));
}
