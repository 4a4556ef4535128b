//! Tests of one host that reads the store for many.

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::freshness::FreshnessGate;
use borageladder_kernel::name::HostName;
use borageladder_kernel::share::ANSWER_TIMEOUT;
use borageladder_kernel::share::AnswerWatch;
use borageladder_kernel::share::DIRECT_HOSTS;
use borageladder_kernel::share::QUESTION_INTERVAL;
use borageladder_kernel::share::QuestionTable;
use borageladder_kernel::share::RELAY_INTERVAL;
use borageladder_kernel::share::RELAYED_ANSWER_TIMEOUT;
use borageladder_kernel::share::SourceView;
use borageladder_kernel::share::StateSource;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn host(name: &str) -> HostName {
    name.parse().expect("a valid name")
}

#[test]
fn a_question_is_answered_only_by_reads_that_began_after_it_came() {
    let mut questions = QuestionTable::default();
    questions.ask(at(100), host("h2"), 1);
    questions.ask(at(300), host("h3"), 2);
    assert_eq!(questions.answered_by(at(200)), [(host("h2"), 1)]);
    assert_eq!(questions.answered_by(at(200)), []);
    assert_eq!(questions.answered_by(at(300)), [(host("h3"), 2)]);
}

#[test]
fn a_newer_question_is_answered_with_the_older_ones() {
    let mut questions = QuestionTable::default();
    questions.ask(at(100), host("h2"), 1);
    questions.ask(at(300), host("h2"), 2);
    assert_eq!(questions.answered_by(at(400)), [(host("h2"), 2)]);
    assert_eq!(questions.answered_by(at(400)), []);
}

#[test]
fn a_newer_question_does_not_put_off_the_answer_to_an_older_one() {
    let mut questions = QuestionTable::default();
    // Each read takes longer than the time until the next question.
    questions.ask(at(100), host("h2"), 1);
    questions.ask(at(300), host("h2"), 2);
    assert_eq!(questions.answered_by(at(200)), [(host("h2"), 1)]);
    questions.ask(at(500), host("h2"), 3);
    assert_eq!(questions.answered_by(at(400)), [(host("h2"), 2)]);
}

#[test]
fn questions_that_are_never_answered_take_little_memory() {
    let mut questions = QuestionTable::default();
    for number in 0..1_000 {
        questions.ask(at(number), host("h2"), number);
    }
    assert_eq!(questions.answered_by(at(990)), []);
    assert_eq!(questions.answered_by(at(1_000)), [(host("h2"), 999)]);
}

#[test]
fn hosts_that_no_longer_ask_are_no_longer_told() {
    let mut questions = QuestionTable::default();
    questions.ask(at(0), host("h2"), 1);
    questions.ask(at(2_000), host("h3"), 1);
    let followers: Vec<_> = questions.followers(at(4_000)).cloned().collect();
    assert_eq!(followers, [host("h3")]);
}

#[test]
fn an_answer_that_was_held_up_proves_only_what_held_when_it_was_asked() {
    let mut watch = AnswerWatch::default();
    let mut gate = FreshnessGate::new(Duration::from_secs(5));
    let number = watch.ask(at(1_000));
    // The reader froze for three seconds before its answer left.
    let asked = watch.answered(number).expect("the question is open");
    gate.confirmed(asked);
    assert!(gate.is_fresh(at(4_900)));
    assert!(!gate.is_fresh(at(5_000)));
}

#[test]
fn an_older_answer_than_the_last_one_proves_nothing() {
    let mut watch = AnswerWatch::default();
    let first = watch.ask(at(0));
    let second = watch.ask(at(700));
    assert_eq!(watch.answered(second), Some(at(700)));
    assert_eq!(watch.answered(first), None);
    assert_eq!(watch.answered(second), None);
}

#[test]
fn a_host_without_answers_reads_by_itself() {
    let mut watch = AnswerWatch::default();
    assert!(watch.is_overdue(at(0), ANSWER_TIMEOUT));
    let number = watch.ask(at(0));
    watch.answered(number);
    assert!(!watch.is_overdue(at(0) + ANSWER_TIMEOUT, ANSWER_TIMEOUT));
    assert!(watch.is_overdue(at(1) + ANSWER_TIMEOUT, ANSWER_TIMEOUT));
}

#[test]
fn a_few_hosts_all_ask_the_reader() {
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
fn relays_and_the_neighbours_of_the_reader_ask_it_themselves() {
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
fn the_reader_and_a_host_that_knows_of_none_read_the_store() {
    let names = ["a1", "a2"].map(host);
    let reader = SourceView {
        own: &names[0],
        hosts: 370,
        reader: Some(&names[0]),
        reader_near: true,
        relay: Some(&names[1]),
    };
    assert_eq!(reader.source(), StateSource::Store);
    let lonely = SourceView {
        reader: None,
        ..reader
    };
    assert_eq!(lonely.source(), StateSource::Store);
}

/// Plays a reader that reads for 250 ms each, one relay and a host that asks the relay; returns the
/// greatest age of what the host knows.
fn oldest_answer(seconds: u64) -> Duration {
    let (relay, leaf) = (host("relay"), host("leaf"));
    let mut at_reader = QuestionTable::default();
    let mut at_relay = QuestionTable::default();
    let mut relay_watch = AnswerWatch::default();
    let mut leaf_watch = AnswerWatch::default();
    let mut confirmed = at(0);
    let mut oldest = Duration::ZERO;
    let mut read_began = at(0);
    for now in (0..seconds * 1_000).step_by(10).map(at) {
        let due = |interval: Duration| {
            let interval = u64::try_from(interval.as_micros()).expect("a short time");
            now.as_micros().is_multiple_of(interval)
        };
        if due(RELAY_INTERVAL) {
            at_reader.ask(now, relay.clone(), relay_watch.ask(now));
        }
        if due(QUESTION_INTERVAL) {
            at_relay.ask(now, leaf.clone(), leaf_watch.ask(now));
        }
        if due(Duration::from_millis(250)) {
            for (_, number) in at_reader.answered_by(read_began) {
                let asked = relay_watch.answered(number).expect("an open question");
                for (_, number) in at_relay.answered_by(asked) {
                    confirmed = leaf_watch.answered(number).expect("an open question");
                }
            }
            read_began = now;
        }
        if now > at(5_000) {
            oldest = oldest.max(now.since(confirmed));
        }
    }
    oldest
}

#[test]
fn a_host_behind_a_relay_does_not_read_by_itself_while_all_is_well() {
    let oldest = oldest_answer(60);
    assert!(oldest < RELAYED_ANSWER_TIMEOUT, "{oldest:?}");
}
