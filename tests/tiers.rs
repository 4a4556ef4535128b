//! In a burst, lower tiers wait or are refused before higher ones.

mod harness;

use harness::Answer;
use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;
use harness::DispatchLedger;
use harness::PendingCall;
use harness::answers;

/// The error codes of refusals for lack of capacity.
const CAPACITY_CODES: [&str; 3] = ["over_capacity", "deadline_unreachable", "no_worker"];

fn plan() -> DeploymentPlan {
    DeploymentPlan {
        hosts: vec!["sapporo-a", "sapporo-a", "asahikawa-a"],
        engines: vec![("sapporo-a", vec!["--gap-ms", "50"])],
        plain: Vec::new(),
        // The deadline is too short for all waiting batch requests, so some are refused.
        script: "set tier batch deadline 12s\nset rule overnight tier batch when header.x-kind = \
                 overnight before drafts"
            .to_owned(),
        ..DeploymentPlan::default()
    }
}

fn burst(deployment: &Deployment, kind: &str, count: usize) -> Vec<PendingCall> {
    let call = Call::chat("quill-8b", "score the audition", 40, false).header("x-kind", kind);
    (0..count)
        .map(|index| deployment.start_call(index % 3, &call))
        .collect()
}

fn lacked_capacity(answer: &Answer) -> bool {
    CAPACITY_CODES.contains(&answer.code().as_str())
}

#[test]
fn no_urgent_request_is_refused_for_capacity_while_batch_requests_wait() {
    let deployment = Deployment::start(&plan());
    deployment.wait_linked(&[0, 1, 2]);
    let batch = burst(&deployment, "overnight", 120);
    deployment.wait_waiting(0, 20);
    let urgent = burst(&deployment, "hearing", 24);
    let urgent = answers(urgent);
    let waiting = batch.iter().filter(|call| !call.has_ended()).count();
    let batch = answers(batch);
    for answer in &urgent {
        assert_eq!(answer.header("x-borageladder-tier"), Some("urgent"));
        assert!(!lacked_capacity(answer), "{waiting} wait: {}", answer.body);
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    // Without a refusal the burst was too small to show which tier is refused.
    assert!(batch.iter().any(lacked_capacity));
    for answer in batch.iter().filter(|answer| lacked_capacity(answer)) {
        assert_eq!(answer.ran(), "no", "{}", answer.body);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
    let burst_answers: Vec<Answer> = urgent.into_iter().chain(batch).collect();
    DispatchLedger::default().check(&deployment, &burst_answers);
}
