//! Operator commands on requests, sent to a host other than the one that holds the request.

mod harness;

use std::thread;

use harness::Answer;
use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;
use harness::KEY;
use harness::wait_until;

#[test]
fn a_request_that_waits_on_one_host_is_dropped_at_another() {
    let plan = DeploymentPlan {
        hosts: vec!["sapporo-a", "asahikawa-a"],
        engines: vec![("sapporo-a", vec!["--gap-ms", "20"])],
        plain: Vec::new(),
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan);
    let engine = deployment.engines[0].address;
    let location = "service drafter datacenter sapporo-a";
    let command = format!("set worker engine-1 {location} address {engine} max-running 1");
    deployment.command(0, &command);
    let entry = deployment.hosts[1].entry;
    let running = Call::chat("quill-8b", "a long letter", 400, true).key(KEY);
    let running = running.open(entry).expect("the host accepts");
    wait_until("the first request runs", || {
        !deployment.rows(0, "show running").is_empty()
    });
    let waiting = Call::chat("quill-8b", "another letter", 4, true).key(KEY);
    let waiting = thread::spawn(move || waiting.send(entry));
    wait_until("the second request waits", || {
        !deployment.rows(0, "show waiting").is_empty()
    });
    let rows = deployment.rows(0, "show waiting");
    let request = rows[0][0].as_str().expect("a row names its request");
    deployment.command(0, &format!("drop request {request}"));
    let answer = waiting.join().expect("the caller ends well");
    assert_eq!(answer.code(), "dropped_by_operator", "{}", answer.body);
    assert_eq!(answer.ran(), "no");
    assert!(answer.header("retry-after").is_some());
    let explained = deployment.rows(0, &format!("explain request {request}"));
    let recorded = explained
        .iter()
        .any(|row| row[3].to_string().contains("dropped_by_operator"));
    assert!(recorded, "{explained:?}");
    assert!(Answer::read(running).complete);
    assert!(
        !deployment.engines[0]
            .received()
            .contains(&request.to_owned())
    );
}
