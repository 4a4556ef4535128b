//! A request that crashes its engines is quarantined after two crashes; other requests are served.

mod harness;

use harness::Answer;
use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;
use harness::PendingCall;
use harness::answers;
use serde_json::json;

/// The number of crashes after which a request is quarantined.
const MAX_CRASHES: usize = 2;

const ENGINES: usize = 4;

fn unaffected_call(index: usize) -> Call {
    let prompt = format!("draft letter {index}");
    Call::chat("quill-8b", &prompt, 20, index.is_multiple_of(2))
}

fn start_unaffected(deployment: &Deployment) -> Vec<PendingCall> {
    (0..8)
        .map(|index| deployment.start_call(index % 2, &unaffected_call(index)))
        .collect()
}

/// Fails the test unless every unaffected request is served, at the latest when it is sent again.
fn assert_served(deployment: &Deployment, received: &[Answer]) {
    for (index, answer) in received.iter().enumerate() {
        if answer.status == 200 && answer.complete {
            continue;
        }
        let again = deployment.call(index % 2, &unaffected_call(index));
        assert_eq!(again.status, 200, "{index}: {}", again.body);
        assert!(again.complete, "{index}: {}", again.body);
        again.assert_own_tokens();
    }
}

fn crashed_engines(deployment: &Deployment) -> usize {
    let engines = deployment.engines.iter();
    engines
        .filter(|engine| engine.process.borrow_mut().has_ended())
        .count()
}

#[test]
fn a_crashing_request_is_quarantined_after_two_crashes_and_other_requests_are_served() {
    let deployment = Deployment::start(&DeploymentPlan {
        hosts: vec!["sapporo-a", "sapporo-a"],
        engines: vec![("sapporo-a", vec!["--gap-ms", "100"]); ENGINES],
        plain: Vec::new(),
        ..DeploymentPlan::default()
    });
    deployment.wait_linked(&[0, 1]);
    for engine in &deployment.engines {
        engine.control(&json!({ "crash_on": "poison" }));
    }
    for round in 0..6 {
        let unaffected = start_unaffected(&deployment);
        deployment.wait_running(0, ENGINES);
        // Each round the caller sends the same request again, to the other host.
        let poison = Call::chat("quill-8b", "poison", 20, true);
        let answer = deployment.call(round % 2, &poison);
        assert_served(&deployment, &answers(unaffected));
        let crashes = crashed_engines(&deployment);
        assert!(crashes <= MAX_CRASHES, "round {round}: {crashes} engines");
        if round < MAX_CRASHES {
            assert_eq!(crashes, round + 1, "{}", answer.body);
            assert!(
                !answer.is_complete_stream() && answer.ran() != "no",
                "{}",
                answer.body
            );
        } else {
            assert_eq!(answer.code(), "request_quarantined", "{}", answer.body);
            assert_eq!(answer.ran(), "no", "{}", answer.body);
            assert!(answer.header("retry-after").is_some(), "{}", answer.head);
        }
    }
}

// Guards against a crashing request that is never quarantined because it has an idempotency key.
#[test]
fn a_crashing_request_with_a_key_is_quarantined_too() {
    let deployment = Deployment::start(&DeploymentPlan {
        hosts: vec!["sapporo-a", "sapporo-a"],
        engines: vec![("sapporo-a", Vec::new()); ENGINES],
        plain: Vec::new(),
        script: "set service drafter engine models quill-8b non-idempotent".to_owned(),
        ..DeploymentPlan::default()
    });
    deployment.wait_linked(&[0, 1]);
    for engine in &deployment.engines {
        engine.control(&json!({ "crash_on": "poison" }));
    }
    let mut last = String::new();
    for round in 0..ENGINES {
        // Each round the caller sends an equal request under another key.
        let key = format!("key-{round}");
        let poison = Call::chat("quill-8b", "poison", 20, false).header("idempotency-key", &key);
        last = deployment.call(round % 2, &poison).code();
    }
    let crashes = crashed_engines(&deployment);
    assert!(crashes <= MAX_CRASHES, "{crashes} engines");
    assert_eq!(last, "request_quarantined");
}
