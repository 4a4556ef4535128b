//! Late work: which requests wait after their latency target, when they start and when not.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::Grant;
use borageladder_kernel::broker::LateCounts;

use crate::harness::BrokerHarness;
use crate::harness::only_grant;
use crate::harness::only_refusal;
use crate::harness::settings;
use crate::load_run::GAP_TARGET;
use crate::load_run::LoadOutcome;
use crate::load_run::LoadPhase;
use crate::load_run::LoadRun;
use crate::load_run::TARGET;

/// A gap target with which callers wait for 16 seconds.
const PATIENT: Duration = Duration::from_secs(2);

fn burst(millis: std::ops::Range<u64>, per_second: u64, gap_target: Duration) -> LoadPhase {
    LoadPhase {
        workspace: "union",
        millis,
        per_second,
        budget: Duration::from_secs(12),
        gap_target,
    }
}

/// Returns the outcomes of a load without and with late work, and what became of late requests that
/// waited, all summed over three seeds.
fn compare(slots: u32, phases: &[LoadPhase]) -> (LoadOutcome, LoadOutcome, LateCounts) {
    let mut sums = [LoadOutcome::default(); 2];
    let mut counts = LateCounts::default();
    for seed in 0..3 {
        for (sum, late_work) in sums.iter_mut().zip([false, true]) {
            let workers = [("a", slots / 2), ("b", slots / 2)];
            let mut run = LoadRun::new(settings().with_late_work(late_work), &workers, seed);
            run.add(phases);
            *sum += run.finish("union");
            let taken = run.harness.broker.take_late_counts();
            counts.started += taken.started;
            counts.refused += taken.refused;
        }
    }
    let [before, after] = sums;
    assert_eq!((before.late, after.useless), (0, 0));
    (before, after, counts)
}

// Guards against slots that are idle after a burst whose requests were refused.
#[test]
fn a_burst_of_twice_the_capacity_followed_by_idle_slots_is_answered_late() {
    let (before, after, counts) = compare(40, &[burst(0..2_000, 80, GAP_TARGET)]);
    assert!(after.late >= 20, "{after:?}");
    assert!(after.in_time * 100 >= before.in_time * 99, "{after:?}");
    assert!(after.held_refused < before.held_refused, "{after:?}");
    assert!(counts.refused <= 55, "{counts:?}");
}

// Guards against late requests of patient callers that are held beyond what idle slots can do.
#[test]
fn a_burst_of_four_times_the_capacity_holds_no_patient_request_in_vain() {
    let (before, after, counts) = compare(40, &[burst(0..1_000, 160, PATIENT)]);
    assert!(after.late > before.in_time, "{after:?}");
    assert_eq!((after.held_refused, counts.refused), (0, 0));
}

// Guards against an overload without end in which every late request is held and then refused.
#[test]
fn an_overload_of_three_times_the_capacity_holds_few_late_requests() {
    let (before, after, counts) = compare(40, &[burst(0..60_000, 120, GAP_TARGET)]);
    assert!(after.in_time >= before.in_time, "{after:?}");
    assert!(after.held_refused * 4 < before.held_refused, "{after:?}");
    let requests = 3 * 60 * 120;
    assert!(counts.refused * 100 < requests, "{counts:?}");
}

// Guards against late work that occupies the slots that requests in time need.
#[test]
fn at_nine_tenths_of_the_capacity_late_work_displaces_few_requests_in_time() {
    let (before, after, _) = compare(40, &[burst(0..60_000, 35, PATIENT)]);
    assert!(after.in_time * 100 >= before.in_time * 99, "{after:?}");
    assert!(after.held_refused <= before.held_refused, "{after:?}");
    let (before, after, _) = compare(4, &[burst(0..60_000, 3, PATIENT)]);
    assert!(after.in_time * 100 >= before.in_time * 95, "{after:?}");
    let value = |outcome: LoadOutcome| 3 * outcome.in_time + outcome.late;
    assert!(value(after) >= value(before), "{after:?}");
}

/// A broker with late work and one worker whose slots all run a request for three seconds.
fn busy_lane(slots: u32) -> (BrokerHarness, Vec<Grant>) {
    let settings = settings().with_late_work(true);
    let mut harness = LoadRun::new(settings, &[("a", slots)], 1).harness;
    let mut running = Vec::new();
    for _ in 0..slots {
        let long = Ask {
            hinted_tokens: Some(600),
            ..ask(&mut harness, 12)
        };
        running.push(only_grant(&harness.send(&long)));
    }
    (harness, running)
}

/// A request for an answer of about a second.
fn ask(harness: &mut BrokerHarness, seconds: u64) -> Ask {
    Ask {
        first_token_target: Some(TARGET),
        token_gap_target: Some(GAP_TARGET),
        max_answer_tokens: 0,
        hinted_tokens: Some(200),
        ..harness.ask(0, Duration::from_secs(seconds))
    }
}

fn patient_ask(harness: &mut BrokerHarness) -> Ask {
    Ask {
        token_gap_target: Some(PATIENT),
        ..ask(harness, 20)
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Guards against the order by deadline, in which a late request makes the next one late.
#[test]
fn a_late_request_starts_after_one_that_can_be_in_time_whatever_tier_and_deadline() {
    let (mut harness, running) = busy_lane(1);
    let late = patient_ask(&mut harness);
    assert_eq!(harness.send(&late), []);
    assert_eq!(harness.broker.late_waiting(), 1);
    assert_eq!(harness.advance(millis(2_600)), []);
    let mut in_time = ask(&mut harness, 60);
    in_time.tier.0 = 3;
    assert_eq!(harness.send(&in_time), []);
    assert_eq!(harness.advance(millis(300)), []);
    let second = only_grant(&harness.finish(&running[0], 5));
    assert_eq!(second.request, in_time.request);
    assert_eq!(harness.advance(millis(1_000)), []);
    assert_eq!(harness.finish(&second, 5), [], "the slot is the reserve");
    let third = only_grant(&harness.advance(millis(3_000)));
    assert_eq!(third.request, late.request);
    let counts = LateCounts {
        started: 1,
        refused: 0,
    };
    assert_eq!(harness.broker.take_late_counts(), counts);
}

// Guards against requests that are held although they can't start before their caller gives up.
#[test]
fn a_request_predicted_to_start_after_the_patience_of_its_caller_is_refused_at_once() {
    let (mut harness, _) = busy_lane(1);
    let stream = ask(&mut harness, 12);
    let refusal = only_refusal(&harness.send(&stream));
    assert!(refusal.retry_after >= Duration::from_secs(1));
    let plain = |ask: Ask| Ask {
        model: None,
        token_gap_target: None,
        ..ask
    };
    let short = plain(ask(&mut harness, 3));
    only_refusal(&harness.send(&short));
    let long = plain(ask(&mut harness, 12));
    assert_eq!(harness.send(&long), [], "only its deadline bounds its wait");
}

// Guards against refusals of requests that have waited for their latency target in vain.
#[test]
fn a_waiting_request_that_misses_its_latency_target_moves_to_the_late_class() {
    let (mut harness, running) = busy_lane(10);
    assert_eq!(harness.advance(millis(2_600)), []);
    let second = ask(&mut harness, 12);
    assert_eq!(harness.send(&second), []);
    assert_eq!(harness.broker.late_waiting(), 0);
    assert_eq!(harness.advance(TARGET + millis(1)), []);
    assert_eq!(harness.broker.late_waiting(), 1);
    assert_eq!(harness.advance(millis(400)), []);
    for grant in &running[..3] {
        assert_eq!(harness.finish(grant, 5), []);
    }
    let late = only_grant(&harness.finish(&running[3], 5));
    assert_eq!(late.request, second.request);
}

// Guards against late work in the slot that the next request needs while many arrive.
#[test]
fn late_work_leaves_a_reserve_of_slots_while_requests_arrive_at_a_high_rate() {
    let (mut harness, running) = busy_lane(10);
    let late = patient_ask(&mut harness);
    assert_eq!(harness.send(&late), []);
    assert_eq!(harness.broker.late_waiting(), 1);
    assert_eq!(harness.finish(&running[0], 5), []);
    let next = ask(&mut harness, 12);
    assert_eq!(only_grant(&harness.send(&next)).request, next.request);
    for grant in &running[1..6] {
        assert_eq!(harness.finish(grant, 5), []);
    }
    let grant = only_grant(&harness.finish(&running[6], 5));
    assert_eq!(grant.request, late.request);
}
