//! Non-idempotent requests run at most once when hosts, workers or the platform's table fail.

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
use serde_json::Value;
use serde_json::json;

/// Longer than the time for which a host accepts work without confirmation of its configuration by
/// the table or another host.
const LONG_OUTAGE: Duration = Duration::from_secs(4);

/// Longer than the time after which a suspended host counts as lost.
const LONG_SUSPENSION: Duration = Duration::from_secs(4);

/// The number of slots of the plain service.
const SLOTS: usize = 8;

fn start() -> Deployment {
    Deployment::start(&DeploymentPlan {
        hosts: vec!["sapporo-a", "sapporo-a", "asahikawa-a"],
        engines: vec![("sapporo-a", Vec::new())],
        ..DeploymentPlan::default()
    })
}

fn filing_call(key: &str) -> Call {
    let body = format!("{{\"grievance\":{key:?}}}");
    Call::post("/services/casebook/file", body).header("idempotency-key", key)
}

fn run_count(deployment: &Deployment, key: &str) -> usize {
    let calls = Call::get("/calls").send(deployment.plain[0].address).json();
    let calls = calls["calls"].as_array().cloned().unwrap_or_default();
    calls.iter().filter(|call| call["key"] == key).count()
}

fn settle(deployment: &Deployment, host: usize, key: &str, outcome: &str) -> Answer {
    let command = format!("settle key reps {key:?} {outcome}");
    Deployment::operator_call(&command).send(deployment.hosts[host].operator)
}

fn audit_records(deployment: &Deployment) -> Vec<Value> {
    let call = Call::get("/table/rows?prefix=audit/claims/&after=&limit=100");
    let rows = call.send(deployment.platform.address).json();
    rows["rows"].as_array().cloned().unwrap_or_default()
}

/// Fails the test unless a repeat got the stored answer, or a conflict that does not report the
/// request as not run.
fn assert_repeat(answer: &Answer) {
    let replayed = answer.status == 200 && answer.header("x-borageladder-replayed") == Some("true");
    let conflict = answer.status == 409 && ["unknown", "yes"].contains(&answer.ran().as_str());
    assert!(replayed || conflict, "{} {}", answer.head, answer.body);
}

#[test]
fn repeats_at_other_hosts_and_lost_answers_of_the_table_run_once() {
    let deployment = start();
    deployment.plain[0].control(&json!({ "delay_ms": 700 }));
    let calls = (0..6).map(|index| deployment.start_call(index % 3, &filing_call("at-once")));
    let at_once = answers(calls.collect());
    let first = at_once.iter().filter(|answer| {
        answer.status == 200 && answer.header("x-borageladder-replayed").is_none()
    });
    assert_eq!(first.count(), 1, "{at_once:?}");
    deployment.plain[0].control(&json!({ "delay_ms": 0 }));
    assert_eq!(run_count(&deployment, "at-once"), 1);
    for host in 0..3 {
        let repeat = deployment.call(host, &filing_call("at-once"));
        assert_eq!(repeat.status, 200, "{}", repeat.body);
        assert_repeat(&repeat);
    }
    for lost in 1..=4 {
        let key = format!("lost-{lost}");
        deployment
            .platform
            .control(&json!({ "lose_replies": lost }));
        let mut received = Vec::new();
        wait_until("the filing is answered", || {
            received.push(deployment.call(lost % 3, &filing_call(&key)));
            received.iter().any(|answer| answer.status == 200)
        });
        assert_eq!(run_count(&deployment, &key), 1);
        DispatchLedger::default().check(&deployment, &received);
    }
    assert_eq!(run_count(&deployment, "at-once"), 1);
}

#[test]
fn an_outage_of_the_platform_refuses_filings_and_nothing_else() {
    let deployment = start();
    let draft = Call::chat("quill-8b", "draft", 2, false);
    let before = deployment.call(0, &filing_call("before"));
    assert_eq!(before.status, 200, "{}", before.body);
    for fault in [json!({ "down": true }), json!({ "delay_ms": 60_000 })] {
        deployment.platform.control(&fault);
        let mut refused = Vec::new();
        for wait in [Duration::ZERO, LONG_OUTAGE] {
            thread::sleep(wait);
            for host in 0..3 {
                refused.push(deployment.call(host, &filing_call("outage")));
                let answer = deployment.call(host, &draft);
                assert_eq!(answer.status, 200, "{fault} {host}: {}", answer.body);
            }
        }
        for answer in &refused {
            assert_eq!(answer.code(), "platform_unavailable", "{}", answer.body);
            assert_eq!((answer.status, answer.ran().as_str()), (503, "no"));
            assert!(answer.header("retry-after").is_some(), "{}", answer.head);
        }
        DispatchLedger::default().check(&deployment, &refused);
        assert_eq!(run_count(&deployment, "outage"), 0);
        deployment
            .platform
            .control(&json!({ "down": false, "delay_ms": 0 }));
    }
    let mut received = Vec::new();
    wait_until("the filing runs after the outage", || {
        received.push(deployment.call(1, &filing_call("outage")));
        received.iter().any(|answer| answer.status == 200)
    });
    assert_eq!(run_count(&deployment, "outage"), 1);
    DispatchLedger::default().check(&deployment, &received);
}

/// Occupies all slots of the plain service with calls to the last host, so that later requests claim
/// their key and wait.
fn fill_slots(deployment: &Deployment) -> Vec<PendingCall> {
    deployment.plain[0].control(&json!({ "delay_ms": 8_000 }));
    let calls = (0..SLOTS).map(|index| {
        let key = format!("filler-{index}");
        deployment.start_call(2, &filing_call(&key))
    });
    let calls = calls.collect();
    deployment.wait_running(1, SLOTS);
    calls
}

fn wait_claimed(deployment: &Deployment, count: usize) {
    wait_until("the key is claimed", || {
        let keys = deployment.rows(1, "show keys");
        keys.iter().filter(|row| row[2] == "claimed").count() == count
    });
}

#[test]
fn a_request_of_a_host_suspended_before_or_after_the_dispatch_runs_at_most_once() {
    let deployment = start();
    let fillers = fill_slots(&deployment);
    let held = deployment.start_call(0, &filing_call("frozen"));
    wait_claimed(&deployment, SLOTS + 1);
    deployment.signal(0, "STOP");
    deployment.plain[0].control(&json!({ "delay_ms": 3_000 }));
    let early = deployment.call(1, &filing_call("frozen"));
    assert_repeat(&early);
    let fillers = answers(fillers);
    thread::sleep(LONG_SUSPENSION);
    assert_repeat(&deployment.call(2, &filing_call("frozen")));
    let refused = settle(&deployment, 1, "frozen", "not-run");
    assert_eq!(refused.status, 409, "{}", refused.body);
    deployment.signal(0, "CONT");
    wait_until("the resumed host dispatches it", || {
        run_count(&deployment, "frozen") == 1
    });
    let first = held.answer();
    let running = deployment.start_call(0, &filing_call("frozen-later"));
    deployment.wait_running(1, 1);
    deployment.signal(0, "STOP");
    thread::sleep(LONG_SUSPENSION);
    assert_repeat(&deployment.call(1, &filing_call("frozen-later")));
    deployment.signal(0, "CONT");
    let own = [first, running.answer()];
    deployment.plain[0].control(&json!({ "delay_ms": 0 }));
    for (key, answer) in ["frozen", "frozen-later"].iter().zip(&own) {
        assert!(
            answer.status == 200 || answer.ran() != "yes",
            "{}",
            answer.body
        );
        assert_eq!(
            run_count(&deployment, key),
            usize::from(answer.ran() != "no")
        );
    }
    DispatchLedger::default().check(&deployment, &own);
    DispatchLedger::default().check(&deployment, &fillers);
}

#[test]
fn a_request_of_a_host_killed_before_or_after_the_dispatch_runs_at_most_once() {
    let mut deployment = start();
    let fillers = fill_slots(&deployment);
    let waiting = deployment.start_call(0, &filing_call("before-dispatch"));
    wait_claimed(&deployment, SLOTS + 1);
    deployment.hosts[0].process = None;
    assert!(!waiting.answer().complete);
    deployment.plain[0].control(&json!({ "delay_ms": 4_000 }));
    answers(fillers);
    deployment.start_host(0);
    deployment.wait_ready(0);
    let running = deployment.start_call(0, &filing_call("after-dispatch"));
    deployment.wait_running(1, 1);
    deployment.hosts[0].process = None;
    assert!(!running.answer().complete);
    deployment.plain[0].control(&json!({ "delay_ms": 0 }));
    for key in ["before-dispatch", "after-dispatch"] {
        let before = run_count(&deployment, key);
        for host in [1, 2] {
            assert_repeat(&deployment.call(host, &filing_call(key)));
        }
        let refused = settle(&deployment, 1, key, "not-run");
        assert_eq!(refused.status, 409, "{}", refused.body);
        let settled = settle(&deployment, 1, key, "run");
        assert_eq!(settled.status, 200, "{}", settled.body);
        let repeat = deployment.call(2, &filing_call(key));
        assert_repeat(&repeat);
        assert_eq!(repeat.code(), "settled", "{}", repeat.body);
        assert_eq!(run_count(&deployment, key), before);
    }
    assert_eq!(run_count(&deployment, "before-dispatch"), 0);
    assert!(run_count(&deployment, "after-dispatch") <= 1);
    assert_eq!(audit_records(&deployment).len(), 2);
    deployment.assert_no_double_dispatch();
}

#[test]
fn operators_settle_an_unknown_outcome() {
    let deployment = start();
    for (fault, outcome, run_before) in [
        ("read_then_close", "run", 1),
        ("close_before_read", "not-run", 0),
    ] {
        let key = format!("settled-{outcome}");
        deployment.plain[0].control(&json!({ fault: 4 }));
        let lost = deployment.call(0, &filing_call(&key));
        deployment.plain[0].control(&json!({ fault: 0 }));
        assert_eq!(lost.code(), "outcome_unknown", "{}", lost.body);
        assert_eq!(lost.ran(), "unknown", "{}", lost.body);
        for host in 0..3 {
            let repeat = deployment.call(host, &filing_call(&key));
            assert_eq!(repeat.code(), "outcome_unknown", "{}", repeat.body);
        }
        assert_eq!(run_count(&deployment, &key), run_before);
        let settled = settle(&deployment, 1, &key, outcome);
        assert_eq!(settled.status, 200, "{}", settled.body);
        let again = settle(&deployment, 2, &key, outcome);
        assert_eq!(again.status, 409, "{}", again.body);
        let repeat = deployment.call(2, &filing_call(&key));
        if outcome == "run" {
            assert_eq!(repeat.code(), "settled", "{}", repeat.body);
            assert_eq!(repeat.ran(), "yes", "{}", repeat.body);
        } else {
            assert_eq!(repeat.status, 200, "{}", repeat.body);
        }
        assert_eq!(run_count(&deployment, &key), 1);
    }
    let records = audit_records(&deployment);
    assert_eq!(records.len(), 2, "{records:?}");
    for record in records {
        let text = record["value"].as_str().unwrap_or_default();
        assert!(text.contains("tester"), "{text}");
    }
    deployment.assert_no_double_dispatch();
}
