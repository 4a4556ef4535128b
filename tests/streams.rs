//! Each caller gets the complete answer to its own request, and a truncated one is recognisable.

mod harness;

use harness::Answer;
use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;
use harness::DispatchLedger;
use harness::PendingCall;
use harness::answers;
use harness::wait_until;
use serde_json::json;

fn plan(gap: &'static str) -> DeploymentPlan {
    DeploymentPlan {
        hosts: vec!["sapporo-a", "sapporo-a"],
        engines: vec![("sapporo-a", vec!["--gap-ms", gap]); 2],
        plain: Vec::new(),
        ..DeploymentPlan::default()
    }
}

/// Starts streams of different lengths, so that they end out of order.
fn start_streams(deployment: &Deployment, count: u32, tokens: u32) -> Vec<PendingCall> {
    let start = |index: u32| {
        let prompt = format!("draft letter {index}");
        let call = Call::chat("quill-8b", &prompt, tokens + index * 7 % 20, true);
        deployment.start_call(usize::from(index.is_multiple_of(2)), &call)
    };
    (0..count).map(start).collect()
}

fn assert_whole(deployment: &Deployment, received: &[Answer], tokens: u32) {
    for (index, answer) in (0_u32..).zip(received) {
        assert!(
            answer.is_complete_stream(),
            "{} {}",
            answer.head,
            answer.body
        );
        let words = answer.text().split_whitespace().count();
        assert_eq!(words, (tokens + index * 7 % 20) as usize, "{}", answer.body);
    }
    DispatchLedger::default().check(deployment, received);
}

#[test]
fn many_streams_at_once_are_whole_and_their_callers_own() {
    let deployment = Deployment::start(&plan("5"));
    let received = answers(start_streams(&deployment, 100, 20));
    assert_whole(&deployment, &received, 20);
}

#[test]
fn silent_connections_are_resumed_and_not_dispatched_again() {
    let deployment = Deployment::start(&plan("200"));
    let calls = start_streams(&deployment, 10, 40);
    deployment.wait_running(0, 10);
    for round in 1..=2 {
        for engine in &deployment.engines {
            engine.control(&json!({ "silent": true }));
        }
        // The second round silences the connections on which the streams were resumed.
        wait_until("every stream is resumed", || {
            let rows = deployment.rows(0, "show running");
            rows.iter()
                .all(|row| resumptions(&deployment, row) >= round)
        });
    }
    assert_whole(&deployment, &answers(calls), 40);
}

fn resumptions(deployment: &Deployment, row: &serde_json::Value) -> usize {
    let request = row[0].as_str().unwrap_or_default();
    let steps = deployment.rows(0, &format!("explain request {request}"));
    let resumed = |step: &&serde_json::Value| {
        step[3]
            .as_str()
            .is_some_and(|text| text.starts_with("resumed"))
    };
    steps.iter().filter(resumed).count()
}

#[test]
fn the_stream_of_an_engine_that_dies_never_looks_whole() {
    let deployment = Deployment::start(&plan("200"));
    let streams = start_streams(&deployment, 6, 60);
    let call = Call::chat("quill-8b", "plain", 60, false);
    let plain: Vec<PendingCall> = (0..4).map(|_| deployment.start_call(0, &call)).collect();
    deployment.wait_running(0, 10);
    let mut ledger = DispatchLedger::default();
    ledger.save_log(&deployment.engines[0]);
    deployment.engines[0].process.borrow_mut().signal("KILL");
    let streams = answers(streams);
    let plain = answers(plain);
    let truncated = streams.iter().filter(|answer| !answer.is_complete_stream());
    for answer in truncated.clone() {
        assert!(!answer.complete, "{}", answer.body);
        assert!(!answer.body.contains("[DONE]"), "{}", answer.body);
        assert!(answer.body.contains("event: error"), "{}", answer.body);
        assert!(answer.body.contains("outcome_unknown"), "{}", answer.body);
        answer.assert_own_tokens();
    }
    let lost = plain.iter().filter(|answer| answer.status != 200);
    for answer in lost.clone() {
        assert_eq!(answer.code(), "outcome_unknown", "{}", answer.body);
        assert_eq!(answer.ran(), "unknown", "{}", answer.body);
    }
    assert!(
        truncated.count() + lost.count() > 0,
        "no request ran at the killed engine"
    );
    ledger.check(&deployment, &streams);
    ledger.check(&deployment, &plain);
}

#[test]
fn a_caller_who_leaves_is_cancelled_at_the_engine() {
    let deployment = Deployment::start(&plan("200"));
    let entry = deployment.hosts[0].entry;
    for stream in [true, false] {
        let call = Call::chat("quill-8b", "nobody reads this", 10_000, stream);
        let connection = call
            .key(harness::KEY)
            .open(entry)
            .expect("the host listens");
        wait_until("the engine has the request", || {
            active_at_engines(&deployment) == 1
        });
        drop(connection);
        wait_until("the engine has dropped the request", || {
            active_at_engines(&deployment) == 0
        });
        wait_until("no host runs the request", || {
            deployment.rows(0, "show running").is_empty()
        });
    }
    deployment.assert_no_double_dispatch();
}

fn active_at_engines(deployment: &Deployment) -> u64 {
    let active = |engine: &harness::TestStandin| {
        let load = Call::get("/load").send(engine.address).json();
        load["running"].as_u64().unwrap_or_default() + load["waiting"].as_u64().unwrap_or_default()
    };
    deployment.engines.iter().map(active).sum()
}
