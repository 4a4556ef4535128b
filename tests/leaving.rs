//! An upstream gets no new requests a few seconds after an operator drained it, or after the upstream
//! itself or the platform's list announced that it is leaving.

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

/// The time after which a worker that was drained or announced as leaving gets no new requests.
const LEAVING_BOUND: Duration = Duration::from_secs(7);

fn start() -> Deployment {
    Deployment::start(&DeploymentPlan {
        engines: vec![("sapporo-a", vec!["--gap-ms", "250"]); 2],
        plain: Vec::new(),
        ..DeploymentPlan::default()
    })
}

/// Waits until the first engine runs a request.
fn wait_until_first_engine_runs(deployment: &Deployment) {
    wait_until("the first engine runs a request", || {
        let rows = deployment.rows(0, "show running where worker = engine-1");
        !rows.is_empty()
    });
}

fn start_streams(deployment: &Deployment, tokens: u32) -> Vec<PendingCall> {
    let call = Call::chat("quill-8b", "draft", tokens, true);
    (0..9)
        .map(|index| deployment.start_call(index % 3, &call))
        .collect()
}

/// Fails the test if the first engine gets a new request after the bound has passed, if a running
/// or later stream is incomplete, or if a request was dispatched more than once.
fn assert_leaves(deployment: &Deployment, running: Vec<PendingCall>) {
    thread::sleep(LEAVING_BOUND);
    let before = deployment.engines[0].received().len();
    let later = answers(start_streams(deployment, 2));
    assert_eq!(deployment.engines[0].received().len(), before);
    let running = answers(running);
    for answer in running.iter().chain(&later) {
        assert!(
            answer.is_complete_stream(),
            "{} {}",
            answer.head,
            answer.body
        );
    }
    let all: Vec<Answer> = running.into_iter().chain(later).collect();
    DispatchLedger::default().check(deployment, &all);
}

fn assert_gets_work_again(deployment: &Deployment) {
    let before = deployment.engines[0].received().len();
    wait_until("the worker gets work again", || {
        answers(start_streams(deployment, 2));
        deployment.engines[0].received().len() > before
    });
}

#[test]
fn a_leaving_upstream_gets_no_new_requests_and_finishes_running_ones() {
    let deployment = start();
    deployment.wait_linked(&[0, 1, 2]);
    let running = start_streams(&deployment, 32);
    wait_until_first_engine_runs(&deployment);
    deployment.command(1, "drain worker engine-1");
    assert_leaves(&deployment, running);
    deployment.command(2, "undrain worker engine-1");
    assert_gets_work_again(&deployment);

    let running = start_streams(&deployment, 32);
    wait_until_first_engine_runs(&deployment);
    deployment.engines[0].control(&json!({ "leaving": true }));
    assert_leaves(&deployment, running);
    deployment.engines[0].control(&json!({ "leaving": false }));
    assert_gets_work_again(&deployment);

    let running = start_streams(&deployment, 32);
    wait_until_first_engine_runs(&deployment);
    deployment
        .platform
        .control(&json!({ "leaving": ["engine-1"] }));
    assert_leaves(&deployment, running);
    // The last host list that was read stays in use while the platform is down.
    deployment.platform.control(&json!({ "down": true }));
    assert_leaves(&deployment, Vec::new());
    deployment
        .platform
        .control(&json!({ "down": false, "leaving": [] }));
    assert_gets_work_again(&deployment);
}
