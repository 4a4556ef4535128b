//! Sends invalid and repeated requests to a running daemon: each kind of error has a stable code
//! and states that the request did not run, and a repeat gets the stored answer.

mod harness;

use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;
use harness::KEY;

/// The limit of the body size that the test deployment sets, in bytes.
const MAX_BODY: usize = 1_048_576;

/// The largest request head that the settings allow by default, in bytes.
const MAX_HEAD: usize = 16_384;

fn small_plan() -> DeploymentPlan {
    DeploymentPlan {
        hosts: vec!["sapporo-a"],
        ..DeploymentPlan::default()
    }
}

fn chat() -> Call {
    Call::chat("quill-8b", "tag the clause", 2, false)
}

#[test]
fn invalid_requests_get_stable_codes_and_do_not_run() {
    let deployment = Deployment::start(&small_plan());
    let entry = deployment.hosts[0].entry;
    let completions = "/v1/completions";
    let long_header = "n".repeat(MAX_HEAD);
    let long_key = "k".repeat(257);
    let cases = [
        ("missing_workspace_key", 401, chat()),
        ("unknown_workspace_key", 401, chat().key("nobody's key")),
        (
            "invalid_json",
            400,
            Call::post(completions, "{\"model\":").key(KEY),
        ),
        ("missing_model", 400, Call::post(completions, "{}").key(KEY)),
        (
            "unknown_model",
            404,
            Call::chat("quill-900b", "x", 1, false).key(KEY),
        ),
        (
            "unknown_service",
            404,
            Call::get("/services/nothing/at/all").key(KEY),
        ),
        (
            "unknown_service",
            404,
            Call::get("/services/drafter/v1/models").key(KEY),
        ),
        ("unknown_path", 404, Call::get("/v2/anything").key(KEY)),
        ("method_not_allowed", 405, Call::get(completions).key(KEY)),
        (
            "body_too_large",
            413,
            Call::post(completions, "x".repeat(MAX_BODY + 1)).key(KEY),
        ),
        (
            "head_too_large",
            431,
            chat().key(KEY).header("x-notes", &long_header),
        ),
        (
            "missing_idempotency_key",
            400,
            Call::post("/services/casebook/file", "{}").key(KEY),
        ),
        (
            "invalid_idempotency_key",
            400,
            Call::post("/services/casebook/file", "{}")
                .key(KEY)
                .header("idempotency-key", &long_key),
        ),
    ];
    for (code, status, call) in cases {
        let answer = call.send(entry);
        assert_eq!(answer.code(), code, "{status} {}", answer.body);
        assert_eq!(answer.status, status, "{code}");
        assert_eq!(answer.ran(), "no", "{code}");
        assert!(answer.header("x-borageladder-request").is_some(), "{code}");
    }
    let upstreams = deployment.engines.iter().chain(&deployment.plain);
    assert!(
        upstreams
            .into_iter()
            .all(|upstream| upstream.received().is_empty())
    );
}

#[test]
fn a_repeated_request_runs_once_and_gets_the_stored_answer() {
    let deployment = Deployment::start(&DeploymentPlan::default());
    let filing_call = |body: &str| {
        Call::post("/services/casebook/file", body).header("idempotency-key", "grievance-17")
    };
    let first = deployment.call(0, &filing_call("{\"employer\":\"x\"}"));
    assert_eq!(first.status, 200, "{}", first.body);
    for host in [1, 2, 0] {
        let repeat = deployment.call(host, &filing_call("{\"employer\":\"x\"}"));
        assert_eq!((repeat.status, &repeat.body), (200, &first.body));
        assert_eq!(repeat.header("x-borageladder-replayed"), Some("true"));
    }
    let other = deployment.call(1, &filing_call("{\"employer\":\"y\"}"));
    assert_eq!(
        (other.status, other.code().as_str()),
        (422, "idempotency_key_reused")
    );
    assert_eq!(deployment.plain[0].received().len(), 1);
    let keys = deployment.rows(2, "show keys");
    assert_eq!(keys.len(), 1);
    assert_eq!(keys[0][2], "answered");
}
