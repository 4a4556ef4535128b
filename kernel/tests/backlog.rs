//! The unread bytes of answers: when reading stops, and when a caller is cut off.

use borageladder_kernel::backlog::AnswerBacklog;
use borageladder_kernel::backlog::BacklogStep;
use borageladder_kernel::backlog::MAX_BACKLOG_BYTES;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::memory::BodyBudget;
use borageladder_kernel::memory::BodyClaim;
use borageladder_kernel::memory::BodyLedger;
use borageladder_kernel::memory::ClaimAnswer;
use borageladder_kernel::name::TierRank;

const fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn claim(bytes: u64) -> BodyClaim {
    BodyClaim {
        workspace: None,
        tier: TierRank(0),
        bytes,
    }
}

// Guards against a worker that is read no further because of a few bytes that its caller has not taken.
#[test]
fn reading_goes_on_until_the_backlog_is_full() {
    let mut backlog = AnswerBacklog::default();
    backlog.add(at(0), MAX_BACKLOG_BYTES - 1, true);
    assert_eq!(backlog.step(at(60_000)), BacklogStep::Read);
    backlog.add(at(60_000), 1, true);
    assert_eq!(backlog.step(at(60_000)), BacklogStep::Wait(at(65_000)));
}

// Guards against a caller that is cut off although it takes bytes, and against one that never is.
#[test]
fn a_caller_is_cut_off_only_after_it_took_nothing_for_the_stall_time() {
    let mut backlog = AnswerBacklog::default();
    backlog.add(at(0), 2 * MAX_BACKLOG_BYTES, true);
    for second in 1..60 {
        backlog.take(at(second * 1_000), 1, true);
        let limit = at(second * 1_000 + 5_000);
        assert_eq!(
            backlog.step(at(second * 1_000 + 900)),
            BacklogStep::Wait(limit)
        );
    }
    assert_eq!(backlog.step(at(63_999)), BacklogStep::Wait(at(64_000)));
    assert_eq!(backlog.step(at(64_000)), BacklogStep::CutOff);
}

// Guards against a host without memory that buffers, or that stops answers altogether.
#[test]
fn a_host_without_memory_reads_one_chunk_at_a_time() {
    let mut backlog = AnswerBacklog::default();
    backlog.add(at(0), 100, false);
    assert_eq!(backlog.step(at(0)), BacklogStep::Wait(at(5_000)));
    backlog.take(at(1_000), 100, false);
    assert_eq!(backlog.step(at(1_000)), BacklogStep::Read);
}

// Guards against a complete answer that is cut off before its deadline, and against one held forever.
#[test]
fn a_complete_answer_waits_for_its_caller_until_the_deadline_and_while_it_is_taken() {
    let mut backlog = AnswerBacklog::default();
    backlog.add(at(0), 100, true);
    let deadline = at(90_000);
    let step = |backlog: &AnswerBacklog, now| backlog.ending_step(now, deadline);
    assert_eq!(step(&backlog, at(0)), BacklogStep::Wait(deadline));
    assert_eq!(step(&backlog, deadline), BacklogStep::CutOff);
    backlog.take(at(80_000), 1, true);
    assert_eq!(step(&backlog, deadline), BacklogStep::Wait(at(140_000)));
    assert_eq!(step(&backlog, at(140_000)), BacklogStep::CutOff);
}

// Guards against answers that take the memory of request bodies.
#[test]
fn answers_take_a_quarter_of_the_budget_and_nothing_while_a_body_waits() {
    let budget = BodyBudget {
        total: 1_000_000,
        long: 750_000,
    };
    let mut ledger = BodyLedger::new(budget);
    assert!(ledger.resize_answer(0, 250_000).is_some());
    assert_eq!(ledger.resize_answer(0, 1), None, "a quarter is taken");
    assert_eq!(ledger.held(), 250_000);
    assert_eq!(ledger.claim(&claim(100_000)), ClaimAnswer::Granted);
    assert_eq!(
        ledger.claim(&claim(750_000)),
        ClaimAnswer::Waiting(first_waiting())
    );
    assert_eq!(ledger.resize_answer(250_000, 200_000), Some(Vec::new()));
    assert_eq!(ledger.resize_answer(200_000, 200_001), None, "a body waits");
    ledger.release(&claim(100_000));
    assert_eq!(ledger.resize_answer(200_000, 0), Some(Vec::new()));
    assert_eq!(ledger.held(), 750_000);
}

/// Returns the number that a ledger gives to its first waiting claim.
fn first_waiting() -> borageladder_kernel::memory::ClaimNumber {
    let mut ledger = BodyLedger::new(BodyBudget { total: 2, long: 2 });
    ledger.claim(&claim(2));
    let ClaimAnswer::Waiting(number) = ledger.claim(&claim(1)) else {
        panic!("the ledger is full");
    };
    number
}
