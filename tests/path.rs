//! A request from caller to worker and back, with real processes.

mod harness;

use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;

#[test]
fn a_request_is_served_end_to_end() {
    let deployment = Deployment::start(&DeploymentPlan::default());
    for host in 0..3 {
        for stream in [false, true] {
            let call = Call::chat("quill-8b", "draft a letter", 8, stream);
            let answer = deployment.call(host, &call);
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert!(answer.complete, "{}", answer.body);
            let request = answer.header("x-borageladder-request").unwrap_or_default();
            assert!(answer.body.contains(request), "{request}: {}", answer.body);
            assert_eq!(answer.header("x-borageladder-tier"), Some("normal"));
            assert_eq!(stream, answer.body.ends_with("data: [DONE]\n\n"));
        }
    }
    deployment.assert_no_double_dispatch();
}
