//! The load tool's prompts and summary, and the command line of the stand-ins.

use std::time::Duration;

use borageladder_kernel::prompt::block_digests;
use borageladder_kernel::prompt::prompt_text;
use borageladder_kernel::prompt::prompt_tokens;
use borageladder_standin::arguments::StandinCommand;
use borageladder_standin::load::CallEnd;
use borageladder_standin::load::CallResult;
use borageladder_standin::load::LoadSpec;
use borageladder_standin::load::LoadSummary;
use borageladder_standin::load::prompt_body;
use borageladder_standin::trace::DeploymentKind;
use serde_json::Value;
use yare::parameterized;

fn load_spec(deployment: DeploymentKind) -> LoadSpec {
    LoadSpec {
        entries: vec!["127.0.0.1:1".parse().unwrap()],
        keys: vec!["key".to_owned()],
        model: "model-1".parse().unwrap(),
        deployment,
        length: Duration::from_mins(1),
        rate: 20.0,
        seed: 3,
        max_open: 10,
    }
}

#[parameterized(quill = { DeploymentKind::Quill }, sargam = { DeploymentKind::Sargam })]
fn prompts_have_the_lengths_and_shared_blocks_of_the_trace(deployment: DeploymentKind) {
    let spec = load_spec(deployment);
    let requests = spec.trace().requests;
    assert!((600..1_800).contains(&requests.len()), "{}", requests.len());
    let mut texts = Vec::new();
    for request in &requests[..50] {
        let body: Value = serde_json::from_str(&prompt_body(&spec.model, request)).unwrap();
        let text = prompt_text(&body);
        let surplus = prompt_tokens(&text) - request.prompt_tokens;
        assert!(surplus < 5, "{surplus}");
        assert!(text.contains(&format!(" answer={}", request.answer_tokens)));
        texts.push(text);
    }
    for (left, first) in requests.iter().zip(&texts) {
        for (right, second) in requests.iter().zip(&texts) {
            let blocks = left.blocks.iter().zip(&right.blocks);
            let shared = blocks.take_while(|(left, right)| left == right).count();
            assert_eq!(block_digests(first, shared), block_digests(second, shared));
        }
    }
}

#[test]
fn goodput_counts_only_complete_answers_within_the_deadline() {
    let mut summary = LoadSummary::new(Duration::from_secs(1));
    let refused = CallEnd::Refused {
        code: "over_capacity".to_owned(),
        ran: "no".to_owned(),
    };
    let calls = [
        (CallEnd::Whole, true),
        (CallEnd::Whole, false),
        (CallEnd::Cut, true),
        (refused, true),
    ];
    for (end, in_time) in calls {
        summary.add(&CallResult {
            tier: Some("urgent".to_owned()),
            end,
            first_token: Some(Duration::from_millis(40)),
            in_time,
            answer_tokens: 7,
        });
    }
    let tier = summary.tier("urgent").unwrap();
    assert!((tier.goodput() - 0.25).abs() < f64::EPSILON);
    assert_eq!(tier.tokens_in_time, 7);
    assert_eq!(tier.first_token(0.99), Duration::from_millis(40));
    assert_eq!(summary.refusals()[0].count, 1);
    let json: Value = serde_json::from_str(&summary.to_json().unwrap()).unwrap();
    assert_eq!(json["tiers"][0]["offered"], 4);
}

#[parameterized(
    no_standin = { &[] },
    unknown_standin = { &["proxy"] },
    missing_address = { &["platform"] },
    missing_model = { &["engine", "--listen", "127.0.0.1:0", "--name", "e"] },
    bad_name = { &["plain", "--listen", "127.0.0.1:0", "--name", "a b"] },
    unknown_option = { &["hosts", "--listen", "127.0.0.1:0", "--fast"] },
    long_load = { &["load", "--entry", "127.0.0.1:1", "--key", "k", "--model", "m", "--trace",
        "quill", "--rate", "1", "--seconds", "601"] },
    unknown_trace = { &["load", "--entry", "127.0.0.1:1", "--key", "k", "--model", "m", "--trace",
        "opera", "--rate", "1", "--seconds", "1"] },
)]
fn invalid_arguments_are_rejected(arguments: &[&str]) {
    let parser = lexopt::Parser::from_args(arguments);
    StandinCommand::parse(parser).unwrap_err();
}
