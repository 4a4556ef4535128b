//! Fair shares: which workspace's requests are served and refused while requests wait.

use std::ops::Range;
use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::RunningWork;
use borageladder_kernel::ask::WorkspaceWork;
use borageladder_kernel::broker::BrokerSettings;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::GrantId;
use borageladder_kernel::name::TierRank;

use crate::harness::BrokerHarness;
use crate::harness::host;
use crate::harness::only_grant;
use crate::harness::only_refusal;
use crate::harness::request;
use crate::harness::settings;
use crate::load_run::GAP_TARGET;
use crate::load_run::LoadPhase;
use crate::load_run::LoadRun;

fn fair() -> BrokerSettings {
    settings().with_fair_shares(true)
}

fn load(workspace: &'static str, millis: Range<u64>, per_second: u64) -> LoadPhase {
    LoadPhase {
        workspace,
        millis,
        per_second,
        budget: Duration::from_secs(12),
        gap_target: GAP_TARGET,
    }
}

fn run(settings: BrokerSettings, phases: &[LoadPhase]) -> LoadRun {
    let mut run = LoadRun::new(settings, &[("x", 20), ("y", 20)], 5);
    run.add(phases);
    run
}

fn ask(harness: &mut BrokerHarness, workspace: &str, seconds: u64) -> Ask {
    Ask {
        workspace: workspace.parse().expect("a valid name"),
        ..harness.ask(0, Duration::from_secs(seconds))
    }
}

fn submit(harness: &mut BrokerHarness, workspace: &str, seconds: u64) -> Vec<BrokerAction> {
    let ask = ask(harness, workspace, seconds);
    harness.send(&ask)
}

/// Returns the workspaces and budgets in seconds of the requests that get the only slot next.
fn served(harness: &mut BrokerHarness, mut running: Grant, count: usize) -> Vec<(String, u64)> {
    let waiting = harness.broker.waiting();
    let waiting: Vec<Ask> = waiting.map(|view| view.ask.clone()).collect();
    let mut served = Vec::new();
    for _ in 0..count {
        running = only_grant(&harness.finish(&running, 5));
        let mut asks = waiting.iter();
        let ask = asks.find(|ask| ask.request == running.request);
        let ask = ask.expect("it waited");
        served.push((ask.workspace.to_string(), ask.budget.as_secs()));
    }
    served
}

// Guards against an order by deadline alone, in which the first workspace is served to its end.
#[test]
fn workspaces_take_turns_and_the_earliest_deadline_of_each_goes_first() {
    let mut harness = BrokerHarness::new(fair(), &[("w", 1)]);
    let running = only_grant(&submit(&mut harness, "c", 60));
    for (workspace, seconds) in [("a", 90), ("a", 80), ("a", 70), ("b", 600), ("b", 500)] {
        assert_eq!(submit(&mut harness, workspace, seconds), []);
    }
    let order = [("a", 70), ("b", 500), ("a", 80), ("b", 600), ("a", 90)];
    let order = order.map(|(workspace, seconds)| (workspace.to_owned(), seconds));
    assert_eq!(served(&mut harness, running, 5), order);
}

// Guards against predictions in another order than that in which requests are served.
#[test]
fn a_workspace_with_many_waiting_requests_is_predicted_to_wait_longer_than_another() {
    let mut harness = BrokerHarness::new(fair(), &[("w", 1)]);
    only_grant(&submit(&mut harness, "a", 600));
    let mut actions = Vec::new();
    while actions.is_empty() {
        actions = submit(&mut harness, "a", 20);
    }
    only_refusal(&actions);
    assert!(harness.broker.waiting().count() > 5);
    assert_eq!(submit(&mut harness, "b", 5), []);
    let [a, b] = ["a", "b"].map(|workspace| ask(&mut harness, workspace, 900));
    let finish = |ask: &Ask| harness.broker.predicted_finish(harness.now, ask);
    let (a, b) = (finish(&a).expect("served"), finish(&b).expect("served"));
    assert!(a > b + Duration::from_secs(8), "{a:?} {b:?}");
    let usage = harness.broker.take_workspace_usage();
    assert_eq!(usage.len(), 1, "{usage:?}");
    assert_eq!(
        (usage[0].workspace.as_str(), usage[0].counts.refused),
        ("a", 1)
    );
}

// Guards against shedding the requests of workspaces that are within their shares.
#[test]
fn the_limit_on_waiting_requests_sheds_the_workspace_most_above_its_share() {
    let mut harness = BrokerHarness::new(fair().with_max_waiting(4), &[("w", 1)]);
    only_grant(&submit(&mut harness, "a", 60));
    for _ in 0..4 {
        assert_eq!(submit(&mut harness, "a", 60), []);
    }
    let refusal = only_refusal(&submit(&mut harness, "b", 600));
    assert_eq!(refusal.request, request(5));
}

// Guards against a hand-over that gives a workspace far above its share an equal start.
#[test]
fn after_a_hand_over_a_workspace_far_above_its_share_starts_behind_the_others() {
    let takeover = Duration::from_secs(1);
    let mut harness = BrokerHarness::new(fair().with_takeover_time(takeover), &[("w", 8)]);
    let work = |sequence: u64| RunningWork {
        request: request(100 + sequence),
        grant: GrantId {
            broker: 7,
            sequence,
        },
        worker: "w".parse().expect("a valid name"),
        tier: TierRank(0),
        prompt_tokens: 100,
    };
    let running = (0..8).map(work).collect();
    let host = host();
    harness.handle(BrokerEvent::Declared { host, running });
    let workspace = |sequence: u64| WorkspaceWork {
        request: request(100 + sequence),
        workspace: if sequence == 7 { "b" } else { "a" }
            .parse()
            .expect("a valid name"),
        tier: TierRank(0),
    };
    let running = (0..8).map(workspace).collect();
    let host = crate::harness::host();
    harness.handle(BrokerEvent::WorkspacesDeclared { host, running });
    for workspace in ["a", "b", "a", "b"] {
        assert_eq!(submit(&mut harness, workspace, 60), []);
    }
    assert_eq!(harness.advance(takeover), []);
    let order: Vec<String> = harness
        .broker
        .waiting()
        .map(|view| view.ask.workspace.to_string())
        .collect();
    assert_eq!(order, ["b", "b", "a", "a"]);
}

// Guards against memory that grows with the number of workspaces.
#[test]
fn workspaces_beyond_the_bound_have_one_share_in_common() {
    let mut harness = BrokerHarness::new(fair(), &[("w", 1)]);
    let running = only_grant(&submit(&mut harness, "first", 9_000));
    for number in 0..1_030 {
        assert_eq!(submit(&mut harness, &format!("w{number}"), 9_000), []);
    }
    let last = harness.broker.waiting().last();
    let last = last.expect("requests wait").ask.workspace.to_string();
    assert_eq!(last, "w1029", "it follows those that share with it");
    assert_eq!(served(&mut harness, running, 2)[0].0, "w0");
}

// Guards against a workspace that takes the capacity of the others by sending more.
#[test]
fn a_workspace_that_sends_seven_times_its_usual_load_takes_nothing_from_the_others() {
    let phases = [
        load("a", 0..10_000, 56),
        load("b", 0..10_000, 8),
        load("c", 0..10_000, 8),
        load("d", 0..10_000, 8),
    ];
    let mut unfair = run(settings(), &phases);
    let mut fair_only = run(fair(), &phases);
    let mut fair_and_late = run(fair().with_late_work(true), &phases);
    for workspace in ["b", "c", "d"] {
        assert!(unfair.finish(workspace).in_time <= 48, "of 80");
        assert!(fair_only.finish(workspace).in_time >= 71, "of 80");
        assert!(fair_and_late.finish(workspace).in_time >= 71, "of 80");
    }
    let total = |run: &LoadRun| {
        let outcomes = ["a", "b", "c", "d"].map(|workspace| run.outcome(workspace).in_time);
        outcomes.iter().sum::<u32>()
    };
    assert!(total(&fair_only) >= total(&unfair), "no slots are wasted");
}

// Guards against credit for idle time, with which a workspace would take all slots for long.
#[test]
fn a_workspace_idle_for_long_gets_no_more_than_its_share_when_it_is_active() {
    let phases = [load("a", 0..40_000, 60), load("b", 30_000..40_000, 60)];
    let mut run = run(fair(), &phases);
    run.advance_to(ClockTime::from_millis(50_000));
    let alone = run.outcome("a").in_time;
    let b = run.finish("b").in_time;
    let a = run.outcome("a").in_time - alone;
    assert!(a * 10 >= b * 8 && b * 10 >= a * 8, "{a} and {b}");
    assert!(
        alone >= 1_100,
        "it borrows all slots while it is alone: {alone}"
    );
}
