//! Takeover, lost hosts, suspects, stragglers and failed workers.

use std::time::Duration;

use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::LoadReport;
use borageladder_kernel::ask::RunningWork;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::ask::WorkReport;
use borageladder_kernel::broker::SuspectPlacement;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::GrantId;
use borageladder_kernel::name::HostName;
use borageladder_kernel::name::TierRank;

use crate::harness::BrokerHarness;
use crate::harness::GRANT_LIFETIME;
use crate::harness::grants;
use crate::harness::host;
use crate::harness::only_grant;
use crate::harness::request;
use crate::harness::settings;

#[test]
fn no_grant_before_the_takeover_ends() {
    let takeover = Duration::from_secs(1);
    let settings = settings().with_takeover_time(takeover);
    let mut harness = BrokerHarness::new(settings, &[("a", 2)]);
    assert_eq!(harness.submit(0, 60), []);
    assert_eq!(harness.submit(0, 60), []);
    let work = RunningWork {
        request: request(77),
        grant: GrantId {
            broker: 8,
            sequence: 3,
        },
        worker: "a".parse().expect("a valid name"),
        tier: TierRank(0),
        prompt_tokens: 100,
    };
    let running = vec![work.clone()];
    let event = BrokerEvent::Declared {
        host: host(),
        running,
    };
    assert_eq!(harness.handle(event), []);
    assert!(harness.broker.next_wake() <= Some(ClockTime::ZERO + takeover));
    assert_eq!(harness.advance(Duration::from_micros(999_999)), []);
    assert_eq!(harness.advance(Duration::from_micros(1)).len(), 1);
    assert_eq!(harness.running("a"), 2);
    let earlier = Grant {
        grant: work.grant,
        request: work.request,
        worker: work.worker,
        expires_in: GRANT_LIFETIME,
        choice: String::new(),
    };
    assert_eq!(grants(&harness.finish(&earlier, 20)).len(), 1);
}

#[test]
fn a_lost_host_frees_its_slots_after_the_grants_expired() {
    let mut harness = BrokerHarness::with_workers(&[("a", 1)]);
    only_grant(&harness.submit(0, 60));
    assert_eq!(harness.submit(0, 60), []);
    harness.handle(BrokerEvent::HostLost { host: host() });
    assert_eq!(harness.broker.waiting().count(), 0);
    harness.advance(GRANT_LIFETIME);
    assert_eq!(harness.running("a"), 1);
    harness.advance(GRANT_LIFETIME);
    assert_eq!(harness.running("a"), 0);
}

#[test]
fn a_suspect_runs_alone() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4), ("b", 4)]);
    let mut held = Vec::new();
    for _ in 0..8 {
        held.push(only_grant(&harness.submit(0, 60)));
    }
    let mut ask = harness.ask(0, Duration::from_mins(1));
    ask.suspect = true;
    assert_eq!(harness.send(&ask), []);
    let mut granted = Vec::new();
    while granted.is_empty() {
        let grant = held.remove(0);
        granted = grants(&harness.finish(&grant, 20));
    }
    let suspect = granted.remove(0);
    assert_eq!(suspect.request, ask.request);
    assert_eq!(harness.running(suspect.worker.as_str()), 1);
    while let Some(grant) = grants(&harness.submit(1, 60)).pop() {
        assert_ne!(grant.worker, suspect.worker);
    }
    assert_eq!(grants(&harness.finish(&suspect, 20)).len(), 1);
}

// Guards against new work for a leaving or failed worker that was reserved before.
#[test]
fn a_suspect_is_not_granted_its_reserved_worker_once_that_leaves() {
    let mut harness = BrokerHarness::with_workers(&[("a", 2), ("b", 2)]);
    let held: Vec<Grant> = (0..4).map(|_| only_grant(&harness.submit(0, 60))).collect();
    let mut ask = harness.ask(0, Duration::from_mins(1));
    ask.suspect = true;
    assert_eq!(harness.send(&ask), []);
    let load = LoadReport {
        leaving: true,
        ..LoadReport::default()
    };
    let worker = "a".parse().expect("a valid name");
    harness.handle(BrokerEvent::LoadReported { worker, load });
    let (leaving, staying): (Vec<&Grant>, Vec<&Grant>) =
        held.iter().partition(|grant| grant.worker.as_str() == "a");
    for grant in leaving {
        assert_eq!(grants(&harness.finish(grant, 20)), []);
    }
    let mut granted = Vec::new();
    for grant in staying {
        granted.extend(grants(&harness.finish(grant, 20)));
    }
    let workers: Vec<&str> = granted.iter().map(|grant| grant.worker.as_str()).collect();
    assert_eq!(workers, ["b"]);
}

#[test]
fn a_leaving_worker_gets_no_new_requests() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4), ("b", 4)]);
    let load = LoadReport {
        leaving: true,
        ..LoadReport::default()
    };
    let worker = "a".parse().expect("a valid name");
    harness.handle(BrokerEvent::LoadReported { worker, load });
    for _ in 0..4 {
        assert_eq!(only_grant(&harness.submit(0, 60)).worker.as_str(), "b");
    }
    assert_eq!(harness.submit(0, 60), []);
}

#[test]
fn a_straggler_gets_no_work_until_it_recovers() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4), ("b", 4), ("c", 4), ("d", 4)]);
    let held: Vec<Grant> = (0..16)
        .map(|_| only_grant(&harness.submit(0, 600)))
        .collect();
    for grant in &held {
        let gap = if grant.worker.as_str() == "a" {
            200
        } else {
            20
        };
        harness.finish(grant, gap);
    }
    harness.advance(Duration::from_millis(100));
    let straggler = |harness: &BrokerHarness| {
        let mut views = harness.broker.workers();
        views.any(|view| view.worker.as_str() == "a" && view.straggler)
    };
    assert!(straggler(&harness));
    let mut workers = Vec::new();
    for _ in 0..6 {
        workers.push(only_grant(&harness.submit(0, 600)).worker);
    }
    assert!(workers.iter().all(|worker| worker.as_str() != "a"));
    let mut probes = Vec::new();
    for _ in 0..20 {
        probes.extend(grants(&harness.submit(2, 600)));
    }
    for _ in 0..20 {
        probes.extend(grants(&harness.advance(Duration::from_secs(1))));
    }
    probes.retain(|grant| grant.worker.as_str() == "a");
    assert_eq!(probes.len(), 1, "one request probes the straggler");
    harness.finish(&probes[0], 20);
    assert!(!straggler(&harness));
}

#[test]
fn a_failed_worker_is_suspended_until_a_probe() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let grant = only_grant(&harness.submit(0, 60));
    harness.report(&grant, WorkProgress::Failed);
    assert_eq!(harness.submit(0, 60), []);
    assert_eq!(harness.submit(0, 60), []);
    assert_eq!(harness.advance(Duration::from_millis(999)), []);
    let probe = only_grant(&harness.advance(Duration::from_millis(1)));
    let after = Duration::from_millis(50);
    assert_eq!(
        grants(&harness.report(&probe, WorkProgress::FirstToken { after })).len(),
        1
    );
}

/// Returns the grant for a request of a second host.
fn ask_of_another_host(harness: &mut BrokerHarness) -> Grant {
    let ask = harness.ask(0, Duration::from_mins(1));
    let host = another_host();
    only_grant(&harness.handle(BrokerEvent::Asked { host, ask }))
}

/// Reports the progress of a request of the second host.
fn report_of_another_host(harness: &mut BrokerHarness, grant: &Grant, progress: WorkProgress) {
    let report = WorkReport {
        request: grant.request,
        grant: grant.grant,
        worker: grant.worker.clone(),
        progress,
    };
    let host = another_host();
    harness.handle(BrokerEvent::Reported { host, report });
}

fn another_host() -> HostName {
    "sapporo-2".parse().expect("a valid name")
}

// Guards against a worker that is taken from all hosts because the connections of one host to it broke,
// while it answers another.
#[test]
fn a_worker_that_answers_another_host_is_not_suspended_on_the_word_of_one() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let broken = only_grant(&harness.submit(0, 60));
    let served = ask_of_another_host(&mut harness);
    let after = Duration::from_millis(50);
    report_of_another_host(&mut harness, &served, WorkProgress::FirstToken { after });
    harness.report(&broken, WorkProgress::Failed);
    assert_eq!(grants(&harness.submit(0, 60)).len(), 1);
}

// Guards against a failed worker that stays in use because it answered another host just before.
#[test]
fn a_worker_that_two_hosts_report_as_failed_is_suspended() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let first = only_grant(&harness.submit(0, 60));
    let second = ask_of_another_host(&mut harness);
    let after = Duration::from_millis(50);
    report_of_another_host(&mut harness, &second, WorkProgress::FirstToken { after });
    harness.report(&first, WorkProgress::Failed);
    report_of_another_host(&mut harness, &second, WorkProgress::Failed);
    assert_eq!(harness.submit(0, 60), []);
}

// Guards against requests of one host that break together and count as repeated failures.
#[test]
fn requests_that_break_together_count_as_one_failure() {
    let mut harness = BrokerHarness::with_workers(&[("a", 5)]);
    let broken: Vec<Grant> = (0..3).map(|_| only_grant(&harness.submit(0, 60))).collect();
    let other = ask_of_another_host(&mut harness);
    let after = Duration::from_millis(50);
    report_of_another_host(&mut harness, &other, WorkProgress::FirstToken { after });
    for grant in &broken {
        harness.report(grant, WorkProgress::Failed);
    }
    assert_eq!(grants(&harness.submit(0, 60)).len(), 1);
}

// Guards against a failed worker that only one host uses and that stays in use.
#[test]
fn a_worker_that_fails_one_host_again_without_answering_others_is_suspended() {
    let mut harness = BrokerHarness::with_workers(&[("a", 4)]);
    let other = ask_of_another_host(&mut harness);
    let after = Duration::from_millis(50);
    report_of_another_host(&mut harness, &other, WorkProgress::FirstToken { after });
    for _ in 0..2 {
        harness.advance(Duration::from_millis(10));
        let broken = only_grant(&harness.submit(0, 60));
        harness.report(&broken, WorkProgress::Failed);
    }
    assert_eq!(harness.submit(0, 60), []);
}

fn one_by_one(workers: &[(&str, u32)]) -> BrokerHarness {
    let settings = settings().with_suspects(SuspectPlacement::OneByOne);
    BrokerHarness::new(settings, workers)
}

fn send_suspect(harness: &mut BrokerHarness) -> Vec<BrokerAction> {
    let mut ask = harness.ask(0, Duration::from_mins(1));
    ask.suspect = true;
    harness.send(&ask)
}

// Guards against requests that crash their workers and are granted slots together, when workers
// return or before the crash of the first is known.
#[test]
fn suspects_run_one_by_one_over_all_workers() {
    let mut harness = one_by_one(&[("a", 4), ("b", 4), ("c", 4)]);
    let first = only_grant(&send_suspect(&mut harness));
    for _ in 0..3 {
        assert_eq!(send_suspect(&mut harness), []);
    }
    let others = (0..4).map(|_| only_grant(&harness.submit(0, 60)));
    let others: Vec<Grant> = others.collect();
    assert!(others.iter().all(|grant| grant.worker != first.worker));
    assert_eq!(grants(&harness.finish(&first, 20)).len(), 1);
    assert_eq!(grants(&harness.advance(Duration::from_secs(1))), []);
}

// Guards against a suspect that is granted a slot before its host has heard of the crash under the
// one before it.
#[test]
fn a_suspect_that_fails_delays_the_next() {
    let mut harness = one_by_one(&[("a", 4), ("b", 4), ("c", 4)]);
    let first = only_grant(&send_suspect(&mut harness));
    assert_eq!(send_suspect(&mut harness), []);
    let failed = harness.report(&first, WorkProgress::Failed);
    assert_eq!(grants(&failed), []);
    assert_eq!(grants(&harness.advance(Duration::from_millis(249))), []);
    assert_eq!(grants(&harness.advance(Duration::from_millis(1))).len(), 1);
}

// Guards against a place for suspects that stays taken by one that was never sent.
#[test]
fn a_suspect_that_gives_its_slot_back_lets_the_next_run() {
    let mut harness = one_by_one(&[("a", 4), ("b", 4)]);
    let first = only_grant(&send_suspect(&mut harness));
    assert_eq!(send_suspect(&mut harness), []);
    let released = harness.report(&first, WorkProgress::Released);
    assert_eq!(grants(&released).len(), 1);
}
