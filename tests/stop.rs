//! The graceful shutdown of any host truncates no answer, even during an outage of the platform.

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

fn start() -> Deployment {
    Deployment::start(&DeploymentPlan {
        hosts: vec!["sapporo-a"; 3],
        engines: vec![("sapporo-a", vec!["--gap-ms", "100"]); 2],
        ..DeploymentPlan::default()
    })
}

/// Starts more streams than there are slots, so that some wait for one.
fn start_load(deployment: &Deployment, hosts: &[usize]) -> Vec<PendingCall> {
    let call = Call::chat("quill-8b", "draft", 40, true);
    (0..24)
        .map(|index| deployment.start_call(hosts[index % hosts.len()], &call))
        .collect()
}

fn assert_complete(deployment: &Deployment, calls: Vec<PendingCall>) {
    let received: Vec<Answer> = answers(calls);
    for answer in &received {
        assert!(
            answer.is_complete_stream(),
            "{} {}",
            answer.head,
            answer.body
        );
    }
    DispatchLedger::default().check(deployment, &received);
}

fn wait_not_ready(deployment: &Deployment, host: usize) {
    let entry = deployment.hosts[host].entry;
    wait_until("the host reports that it is not ready", || {
        Call::get("/health/ready").send(entry).status != 200
    });
}

/// Waits until a host that received a stop signal exits; fails the test if the exit code is not 0.
fn assert_stopped(deployment: &mut Deployment, host: usize) {
    let mut process = deployment.hosts[host].process.take();
    let process = process.as_mut().expect("the host runs");
    assert!(process.wait(), "host {host} did not exit with code 0");
}

#[test]
fn a_rolling_restart_under_load_truncates_no_answer() {
    let mut deployment = start();
    deployment.wait_linked(&[0, 1, 2]);
    for host in 0..3 {
        let calls = start_load(&deployment, &[0, 1, 2]);
        deployment.wait_waiting(host, 1);
        deployment.signal(host, "TERM");
        wait_not_ready(&deployment, host);
        let others = [(host + 1) % 3, (host + 2) % 3];
        let more = start_load(&deployment, &others);
        // A second signal must not end the graceful shutdown early.
        deployment.signal(host, "TERM");
        assert_stopped(&mut deployment, host);
        assert_complete(&deployment, calls);
        assert_complete(&deployment, more);
        deployment.start_host(host);
        deployment.wait_ready(host);
    }
}

#[test]
fn a_stop_while_the_platform_is_down_truncates_no_answer() {
    let mut deployment = start();
    deployment.wait_linked(&[0, 1, 2]);
    let broker = deployment.broker_of("drafter", "sapporo-a");
    let other = (broker + 1) % 3;
    let filing = Call::post("/services/casebook/file", "{}").header("idempotency-key", "stop");
    deployment.plain[0].control(&json!({ "delay_ms": 3_000 }));
    let filing = deployment.start_call(broker, &filing);
    deployment.wait_running(other, 1);
    deployment.platform.control(&json!({ "down": true }));
    let calls = start_load(&deployment, &[0, 1, 2]);
    deployment.wait_waiting(other, 1);
    deployment.signal(broker, "TERM");
    wait_not_ready(&deployment, broker);
    deployment.signal(broker, "INT");
    assert_complete(&deployment, calls);
    let filed = filing.answer();
    assert_eq!(filed.status, 200, "{}", filed.body);
    deployment.platform.control(&json!({ "down": false }));
    assert_stopped(&mut deployment, broker);
    // The platform answered again before the host exited, so the outcome was recorded.
    let again = Call::post("/services/casebook/file", "{}").header("idempotency-key", "stop");
    let replayed = deployment.call(other, &again);
    assert_eq!(replayed.header("x-borageladder-replayed"), Some("true"));
    deployment.plain[0].control(&json!({ "delay_ms": 0 }));
    deployment.assert_no_double_dispatch();
}
