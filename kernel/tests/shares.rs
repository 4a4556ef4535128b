//! Tests of one host that reads the store for many.

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::freshness::FreshnessGate;
use borageladder_kernel::name::HostName;
use borageladder_kernel::share::ANSWER_TIMEOUT;
use borageladder_kernel::share::AnswerWatch;
use borageladder_kernel::share::QuestionTable;

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
    let answered: Vec<_> = questions.answered_by(at(200)).collect();
    assert_eq!(answered, [(host("h2"), 1)]);
    let answered: Vec<_> = questions.answered_by(at(200)).collect();
    assert_eq!(answered, []);
    let answered: Vec<_> = questions.answered_by(at(300)).collect();
    assert_eq!(answered, [(host("h3"), 2)]);
}

#[test]
fn a_newer_question_takes_the_place_of_an_older_one() {
    let mut questions = QuestionTable::default();
    questions.ask(at(100), host("h2"), 1);
    questions.ask(at(300), host("h2"), 2);
    assert_eq!(questions.answered_by(at(200)).count(), 0);
    let answered: Vec<_> = questions.answered_by(at(400)).collect();
    assert_eq!(answered, [(host("h2"), 2)]);
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
    let mut gate = FreshnessGate::new(std::time::Duration::from_secs(5));
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
    assert!(watch.is_overdue(at(0)));
    let number = watch.ask(at(0));
    watch.answered(number);
    assert!(!watch.is_overdue(at(0) + ANSWER_TIMEOUT));
    assert!(watch.is_overdue(at(1) + ANSWER_TIMEOUT));
}
