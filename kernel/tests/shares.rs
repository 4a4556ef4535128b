//! Tests of shared reads: polls, answers, and the choice of the source to poll.

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::freshness::FreshnessGate;
use borageladder_kernel::name::HostName;
use borageladder_kernel::share::ANSWER_TIMEOUT;
use borageladder_kernel::share::AnswerTracker;
use borageladder_kernel::share::DIRECT_HOSTS;
use borageladder_kernel::share::PollTable;
use borageladder_kernel::share::RELAY_POLL_INTERVAL;
use borageladder_kernel::share::RELAYED_ANSWER_TIMEOUT;
use borageladder_kernel::share::STATE_POLL_INTERVAL;
use borageladder_kernel::share::SourceView;
use borageladder_kernel::share::StateSource;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn host(name: &str) -> HostName {
    name.parse().expect("a valid name")
}

#[test]
fn a_poll_is_answered_only_by_reads_that_began_after_it_was_received() {
    let mut polls = PollTable::default();
    polls.record(at(100), host("h2"), 1);
    polls.record(at(300), host("h3"), 2);
    assert_eq!(polls.take_answered_by(at(200)), [(host("h2"), 1)]);
    assert_eq!(polls.take_answered_by(at(200)), []);
    assert_eq!(polls.take_answered_by(at(300)), [(host("h3"), 2)]);
}

#[test]
fn an_answer_to_the_newest_poll_serves_the_older_ones() {
    let mut polls = PollTable::default();
    polls.record(at(100), host("h2"), 1);
    polls.record(at(300), host("h2"), 2);
    assert_eq!(polls.take_answered_by(at(400)), [(host("h2"), 2)]);
    assert_eq!(polls.take_answered_by(at(400)), []);
}

#[test]
fn a_newer_poll_does_not_delay_the_answer_to_an_older_one() {
    let mut polls = PollTable::default();
    // Each read takes longer than the interval between two polls.
    polls.record(at(100), host("h2"), 1);
    polls.record(at(300), host("h2"), 2);
    assert_eq!(polls.take_answered_by(at(200)), [(host("h2"), 1)]);
    polls.record(at(500), host("h2"), 3);
    assert_eq!(polls.take_answered_by(at(400)), [(host("h2"), 2)]);
}

#[test]
fn unanswered_polls_are_bounded_in_number() {
    let mut polls = PollTable::default();
    for number in 0..1_000 {
        polls.record(at(number), host("h2"), number);
    }
    assert_eq!(polls.take_answered_by(at(990)), []);
    assert_eq!(polls.take_answered_by(at(1_000)), [(host("h2"), 999)]);
}

#[test]
fn hosts_that_no_longer_poll_are_no_longer_subscribers() {
    let mut polls = PollTable::default();
    polls.record(at(0), host("h2"), 1);
    polls.record(at(2_000), host("h3"), 1);
    let subscribers: Vec<_> = polls.subscribers(at(4_000)).cloned().collect();
    assert_eq!(subscribers, [host("h3")]);
}

#[test]
fn a_delayed_answer_confirms_only_the_state_at_the_time_of_its_poll() {
    let mut tracker = AnswerTracker::default();
    let mut gate = FreshnessGate::new(Duration::from_secs(5));
    let number = tracker.record_poll(at(1_000));
    // The state holds as of the poll, however late the answer arrives.
    let sent = tracker.record_answer(number).expect("the poll is pending");
    gate.record_read(sent);
    assert!(gate.is_fresh(at(4_900)));
    assert!(!gate.is_fresh(at(5_000)));
}

#[test]
fn an_answer_older_than_the_last_one_is_ignored() {
    let mut tracker = AnswerTracker::default();
    let first = tracker.record_poll(at(0));
    let second = tracker.record_poll(at(700));
    assert_eq!(tracker.record_answer(second), Some(at(700)));
    assert_eq!(tracker.record_answer(first), None);
    assert_eq!(tracker.record_answer(second), None);
}

#[test]
fn a_host_without_answers_reads_the_store_itself() {
    let mut tracker = AnswerTracker::default();
    assert!(tracker.is_overdue(at(0), ANSWER_TIMEOUT));
    let number = tracker.record_poll(at(0));
    tracker.record_answer(number);
    assert!(!tracker.is_overdue(at(0) + ANSWER_TIMEOUT, ANSWER_TIMEOUT));
    assert!(tracker.is_overdue(at(1) + ANSWER_TIMEOUT, ANSWER_TIMEOUT));
}

#[test]
fn up_to_the_direct_limit_all_hosts_poll_the_reader() {
    let names = ["b2", "a1", "b1"].map(host);
    let view = SourceView {
        own: &names[0],
        hosts: DIRECT_HOSTS,
        reader: Some(&names[1]),
        reader_near: false,
        relay: Some(&names[2]),
    };
    assert_eq!(view.source(), StateSource::Reader(&names[1]));
    let many = SourceView {
        hosts: DIRECT_HOSTS + 1,
        ..view
    };
    assert_eq!(many.source(), StateSource::Relay(&names[2]));
}

#[test]
fn relays_and_hosts_in_the_data_centre_of_the_reader_poll_it_directly() {
    let names = ["b1", "a1", "b2"].map(host);
    let relay = SourceView {
        own: &names[0],
        hosts: 370,
        reader: Some(&names[1]),
        reader_near: false,
        relay: Some(&names[0]),
    };
    assert_eq!(relay.source(), StateSource::Reader(&names[1]));
    let neighbour = SourceView {
        own: &names[2],
        reader_near: true,
        ..relay
    };
    assert_eq!(neighbour.source(), StateSource::Reader(&names[1]));
}

#[test]
fn the_reader_and_a_host_without_a_known_reader_read_the_store() {
    let names = ["a1", "a2"].map(host);
    let reader = SourceView {
        own: &names[0],
        hosts: 370,
        reader: Some(&names[0]),
        reader_near: true,
        relay: Some(&names[1]),
    };
    assert_eq!(reader.source(), StateSource::Store);
    let without_reader = SourceView {
        reader: None,
        ..reader
    };
    assert_eq!(without_reader.source(), StateSource::Store);
}

/// Simulates a reader whose reads take 250 ms each, one relay, and a host that polls the relay;
/// returns the greatest age of the state that the host has.
fn max_state_age(seconds: u64) -> Duration {
    let (relay, leaf) = (host("relay"), host("leaf"));
    let mut at_reader = PollTable::default();
    let mut at_relay = PollTable::default();
    let mut relay_tracker = AnswerTracker::default();
    let mut leaf_tracker = AnswerTracker::default();
    let mut as_of = at(0);
    let mut oldest = Duration::ZERO;
    let mut read_began = at(0);
    for now in (0..seconds * 1_000).step_by(10).map(at) {
        let due = |interval: Duration| {
            let interval = u64::try_from(interval.as_micros()).expect("a short time");
            now.as_micros().is_multiple_of(interval)
        };
        if due(RELAY_POLL_INTERVAL) {
            at_reader.record(now, relay.clone(), relay_tracker.record_poll(now));
        }
        if due(STATE_POLL_INTERVAL) {
            at_relay.record(now, leaf.clone(), leaf_tracker.record_poll(now));
        }
        if due(Duration::from_millis(250)) {
            for (_, number) in at_reader.take_answered_by(read_began) {
                let polled_at = relay_tracker.record_answer(number).expect("a pending poll");
                for (_, number) in at_relay.take_answered_by(polled_at) {
                    as_of = leaf_tracker.record_answer(number).expect("a pending poll");
                }
            }
            read_began = now;
        }
        if now > at(5_000) {
            oldest = oldest.max(now.since(as_of));
        }
    }
    oldest
}

#[test]
fn a_host_behind_a_relay_does_not_read_the_store_without_failures() {
    let oldest = max_state_age(60);
    assert!(oldest < RELAYED_ANSWER_TIMEOUT, "{oldest:?}");
}
