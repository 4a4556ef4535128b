//! Under faults, every request is dispatched at most once, and one reported as not run did not run.

mod harness;

use std::thread;
use std::time::Duration;

use harness::Answer;
use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;
use harness::DispatchLedger;
use harness::PendingCall;
use harness::answers;
use harness::wait_until;
use serde_json::json;

/// The lifetime of a grant plus a margin, after which the grants of a suspended host have expired.
const PAST_GRANT_EXPIRY: Duration = Duration::from_secs(4);

/// The total number of slots of both engines.
const SLOTS: usize = 16;

fn plan(hosts: usize) -> DeploymentPlan {
    DeploymentPlan {
        hosts: vec!["sapporo-a"; hosts],
        engines: vec![("sapporo-a", vec!["--gap-ms", "100"]); 2],
        plain: Vec::new(),
        ..DeploymentPlan::default()
    }
}

fn chat(tokens: u32, stream: bool) -> Call {
    Call::chat("quill-8b", "draft a letter", tokens, stream)
}

/// Starts calls at the hosts in turn, streamed and not.
fn start_load(deployment: &Deployment, hosts: usize, count: usize) -> Vec<PendingCall> {
    let start = |index| deployment.start_call(index % hosts, &chat(30, index % 2 == 0));
    (0..count).map(start).collect()
}

/// Sends requests until the answer to one reports an unknown outcome; returns all answers.
fn send_until_unknown(deployment: &Deployment, fault: &str, stream: bool) -> Vec<Answer> {
    let mut received = Vec::new();
    wait_until("the fault hits a request", || {
        deployment.engines[0].control(&json!({ fault: 1 }));
        deployment.engines[1].control(&json!({ fault: 1 }));
        received.push(deployment.call(0, &chat(2, stream)));
        received.iter().any(|answer| answer.ran() == "unknown")
    });
    received
}

#[test]
fn a_connection_closed_after_the_dispatch_is_never_followed_by_another() {
    let deployment = Deployment::start(&plan(1));
    for fault in ["close_before_read", "read_then_close"] {
        for stream in [false, true] {
            let received = send_until_unknown(&deployment, fault, stream);
            DispatchLedger::default().check(&deployment, &received);
            for answer in &received {
                let expected = answer.status == 200 || answer.code() == "outcome_unknown";
                assert!(expected, "{fault}: {} {}", answer.status, answer.body);
            }
        }
        deployment.engines[0].control(&json!({ fault: 0 }));
        deployment.engines[1].control(&json!({ fault: 0 }));
    }
}

#[test]
fn a_refused_connection_is_not_a_dispatch() {
    let mut deployment = Deployment::start(&plan(1));
    deployment.engines[0].process.get_mut().signal("KILL");
    deployment.engines[0].process.get_mut().wait();
    let calls: Vec<PendingCall> = (0..8)
        .map(|_| deployment.start_call(0, &chat(2, false)))
        .collect();
    let received = answers(calls);
    assert!(
        received.iter().all(|answer| answer.status == 200),
        "{received:?}"
    );
    DispatchLedger::default().check(&deployment, &received);
    deployment.engines[1].process.get_mut().signal("KILL");
    deployment.engines[1].process.get_mut().wait();
    let refused = deployment.call(0, &chat(2, false));
    assert_eq!(refused.ran(), "no", "{} {}", refused.status, refused.body);
    assert!(refused.header("retry-after").is_some(), "{}", refused.head);
}

#[test]
fn a_killed_host_leaves_nothing_dispatched_twice() {
    let mut deployment = Deployment::start(&plan(3));
    deployment.wait_linked(&[0, 1, 2]);
    let broker = deployment.broker_of("drafter", "sapporo-a");
    let calls = start_load(&deployment, 3, SLOTS + 9);
    deployment.wait_running(broker, SLOTS);
    deployment.hosts[broker].process = None;
    let other = (broker + 1) % 3;
    let (broker_calls, other_calls): (Vec<_>, Vec<_>) = calls
        .into_iter()
        .enumerate()
        .partition(|(index, _)| index % 3 == broker);
    let truncated: Vec<Answer> = broker_calls
        .into_iter()
        .map(|(_, call)| call.answer())
        .collect();
    let complete: Vec<Answer> = other_calls
        .into_iter()
        .map(|(_, call)| call.answer())
        .collect();
    assert!(truncated.iter().all(|answer| !answer.is_complete_stream()));
    assert!(
        complete.iter().all(|answer| answer.status == 200),
        "{complete:?}"
    );
    assert!(
        complete.iter().all(|answer| answer.complete),
        "{complete:?}"
    );
    let again = deployment.call(other, &chat(2, false));
    assert_eq!(again.status, 200, "{}", again.body);
    DispatchLedger::default().check(&deployment, &complete);
    deployment.start_host(broker);
    deployment.wait_ready(broker);
    assert_eq!(deployment.call(broker, &chat(2, false)).status, 200);
    deployment.assert_no_double_dispatch();
}

#[test]
fn a_host_suspended_until_its_grants_expire_dispatches_nothing_by_them() {
    let deployment = Deployment::start(&plan(2));
    deployment.wait_linked(&[0, 1]);
    for suspended in [0, 1, 0] {
        let calls = start_load(&deployment, 2, SLOTS + 8);
        deployment.wait_waiting(1 - suspended, 8);
        deployment.signal(suspended, "STOP");
        thread::sleep(PAST_GRANT_EXPIRY);
        deployment.signal(suspended, "CONT");
        let received = answers(calls);
        DispatchLedger::default().check(&deployment, &received);
        for answer in &received {
            assert!(answer.status == 200 && answer.complete, "{answer:?}");
        }
    }
}

#[test]
fn two_brokers_at_once_dispatch_nothing_twice() {
    let plan = DeploymentPlan {
        relayed: true,
        ..plan(2)
    };
    let deployment = Deployment::start(&plan);
    deployment.wait_linked(&[0, 1]);
    let calls = start_load(&deployment, 2, SLOTS + 8);
    deployment.wait_waiting(0, 8);
    // Both hosts still reach the table, which confirms the configuration, so each becomes a broker.
    deployment.interrupt_links(0);
    deployment.interrupt_links(1);
    let before_detection = start_load(&deployment, 2, 8);
    deployment.wait_linked(&[0]);
    deployment.wait_linked(&[1]);
    let after_detection = start_load(&deployment, 2, 4);
    deployment.restore(0);
    deployment.restore(1);
    deployment.wait_linked(&[0, 1]);
    let received: Vec<Answer> = [calls, before_detection, after_detection]
        .into_iter()
        .flat_map(answers)
        .collect();
    DispatchLedger::default().check(&deployment, &received);
    for answer in &received {
        assert!(answer.status == 200 && answer.complete, "{answer:?}");
    }
}
