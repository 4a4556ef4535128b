//! Who gives way when the bounds of a host are reached.

use std::time::Duration;

use borageladder::journal::RequestJournal;
use borageladder::journal::RequestPhase;
use borageladder::journal::RequestRecord;
use borageladder::kernel::clock::ClockTime;
use borageladder::kernel::name::RequestId;
use borageladder::kernel::name::TierRank;
use borageladder::room::RoomLimits;
use borageladder::room::has_room;
use borageladder::room::victim;

const LIMITS: RoomLimits = RoomLimits {
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
        gave_way: false,
        rule: None,
        phase: RequestPhase::Waiting,
        received: ClockTime::ZERO,
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
fn the_lowest_tier_with_the_least_time_gives_way() {
    let mut journal = RequestJournal::default();
    journal.open(record(1, 1, 10, 10));
    journal.open(record(2, 3, 90, 10));
    journal.open(record(3, 3, 60, 10));
    assert!(!has_room(&journal, LIMITS, 10));
    assert_eq!(victim(&journal, TierRank(0)), Some(id(3)));
    journal.give_way(id(3));
    assert!(has_room(&journal, LIMITS, 10));
    assert_eq!(victim(&journal, TierRank(0)), Some(id(2)));
}

#[test]
fn nothing_gives_way_to_its_own_tier_or_a_lower_one() {
    let mut journal = RequestJournal::default();
    journal.open(record(1, 1, 10, 10));
    assert_eq!(victim(&journal, TierRank(1)), None);
    assert_eq!(victim(&journal, TierRank(2)), None);
}

#[test]
fn running_requests_do_not_give_way_and_hold_no_waiting_bytes() {
    let mut journal = RequestJournal::default();
    journal.open(record(1, 3, 10, 100));
    assert!(!has_room(&journal, LIMITS, 1));
    journal.dispatched(id(1), &"drafter-1".parse().expect("a valid name"));
    assert!(has_room(&journal, LIMITS, 100));
    assert_eq!(victim(&journal, TierRank(0)), None);
}
