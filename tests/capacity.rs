//! Shedding of waiting requests when the capacity limits of a host are reached.

use std::time::Duration;

use borageladder::capacity::CapacityLimits;
use borageladder::capacity::has_capacity;
use borageladder::capacity::shedding_victim;
use borageladder::journal::RequestJournal;
use borageladder::journal::RequestPhase;
use borageladder::journal::RequestRecord;
use borageladder::kernel::clock::ClockTime;
use borageladder::kernel::name::RequestId;
use borageladder::kernel::name::TierRank;

const LIMITS: CapacityLimits = CapacityLimits {
    max_requests: 3,
    max_waiting_bytes: 100,
};

const fn id(sequence: u64) -> RequestId {
    RequestId {
        incarnation: 1,
        sequence,
    }
}

fn record(sequence: u64, rank: u8, deadline_secs: u64, body_bytes: usize) -> RequestRecord {
    RequestRecord {
        request: id(sequence),
        workspace: "reps".parse().expect("a valid name"),
        service: "drafter".parse().expect("a valid name"),
        model: None,
        tier: "any".parse().expect("a valid name"),
        rank: TierRank(rank),
        body_bytes,
        is_shed: false,
        rule: None,
        phase: RequestPhase::Waiting,
        placed_at: ClockTime::ZERO,
        deadline: ClockTime::ZERO + Duration::from_secs(deadline_secs),
        prompt_tokens: 0,
        answer_tokens: 0,
        worker: None,
        code: None,
        ran: None,
        retry_after: None,
        refusal: None,
        steps: Vec::new(),
    }
}

#[test]
fn the_earliest_deadline_of_the_lowest_tier_is_shed_first() {
    let mut journal = RequestJournal::default();
    journal.open(record(1, 1, 10, 10));
    journal.open(record(2, 3, 90, 10));
    journal.open(record(3, 3, 60, 10));
    assert!(!has_capacity(&journal, LIMITS, 10));
    assert_eq!(shedding_victim(&journal, TierRank(0)), Some(id(3)));
    journal.mark_shed(id(3));
    assert!(has_capacity(&journal, LIMITS, 10));
    assert_eq!(shedding_victim(&journal, TierRank(0)), Some(id(2)));
}

#[test]
fn no_request_is_shed_for_its_own_tier_or_a_lower_one() {
    let mut journal = RequestJournal::default();
    journal.open(record(1, 1, 10, 10));
    assert_eq!(shedding_victim(&journal, TierRank(1)), None);
    assert_eq!(shedding_victim(&journal, TierRank(2)), None);
}

#[test]
fn running_requests_are_not_shed_and_hold_no_waiting_bytes() {
    let mut journal = RequestJournal::default();
    journal.open(record(1, 3, 10, 100));
    assert!(!has_capacity(&journal, LIMITS, 1));
    journal.dispatched(id(1), &"drafter-1".parse().expect("a valid name"));
    assert!(has_capacity(&journal, LIMITS, 100));
    assert_eq!(shedding_victim(&journal, TierRank(0)), None);
}
