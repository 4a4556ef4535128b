//! Tests of placement rules and their conditions.

use std::time::Duration;

use borageladder_kernel::configuration::Comparison;
use borageladder_kernel::configuration::ConditionSpec;
use borageladder_kernel::configuration::Configuration;
use borageladder_kernel::configuration::RuleSpec;
use borageladder_kernel::configuration::ServiceKind;
use borageladder_kernel::configuration::ServiceSpec;
use borageladder_kernel::configuration::TierSpec;
use borageladder_kernel::configuration::WorkspaceSpec;
use borageladder_kernel::name::TierRank;
use borageladder_kernel::rule::PlacementError;
use borageladder_kernel::rule::PlacementRules;
use borageladder_kernel::rule::RequestFacts;
use borageladder_kernel::rule::RuleError;
use borageladder_kernel::rule::compile;
use borageladder_kernel::rule::matchers;
use borageladder_kernel::rule::place;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
use yare::parameterized;

fn condition(field: &str, comparison: Comparison, value: &str) -> ConditionSpec {
    ConditionSpec {
        field: field.to_owned(),
        comparison,
        value: value.to_owned(),
    }
}

fn rule(name: &str, tier: &str, conditions: Vec<ConditionSpec>) -> RuleSpec {
    RuleSpec {
        name: name.try_into().expect("the name is valid"),
        tier: tier.try_into().expect("the name is valid"),
        conditions,
        non_idempotent: false,
    }
}

fn configuration(rules: Vec<RuleSpec>) -> Configuration {
    let mut configuration = Configuration {
        rules,
        ..Configuration::default()
    };
    for (name, deadline_ms) in [("urgent", 30_000), ("normal", 60_000), ("batch", 600_000)] {
        configuration.tiers.push(TierSpec {
            name: name.try_into().expect("the name is valid"),
            deadline_ms,
            preemptible: false,
        });
    }
    for (name, digit) in [("reps", "a"), ("night", "b")] {
        let name = name.try_into().expect("the name is valid");
        let workspace = WorkspaceSpec {
            key_digest: digit.repeat(64),
            max_requests: 100,
        };
        configuration.workspaces.insert(name, workspace);
    }
    let drafter = ServiceSpec {
        kind: ServiceKind::Engine,
        models: vec!["quill-70b".try_into().expect("the name is valid")],
        non_idempotent: false,
    };
    let casebook = ServiceSpec {
        kind: ServiceKind::Plain,
        models: Vec::new(),
        non_idempotent: true,
    };
    for (name, service) in [("drafter", drafter), ("casebook", casebook)] {
        let name = name.try_into().expect("the name is valid");
        configuration.services.insert(name, service);
    }
    configuration
}

fn facts() -> RequestFacts<'static> {
    RequestFacts {
        workspace: "reps",
        service: "drafter",
        path: "/v1/chat/completions",
        method: "POST",
        model: Some("quill-70b"),
        prompt_tokens: 2_400,
        headers: &|name| (name == "x-kind").then_some("letter"),
        hour: 23,
    }
}

#[parameterized(
    workspace = { "workspace", Comparison::Equal, "reps", true },
    workspace_differs = { "workspace", Comparison::NotEqual, "reps", false },
    service = { "service", Comparison::StartsWith, "draft", true },
    path = { "path", Comparison::StartsWith, "/v1/", true },
    path_differs = { "path", Comparison::StartsWith, "/v2/", false },
    method = { "method", Comparison::Equal, "POST", true },
    model = { "model", Comparison::Equal, "quill-70b", true },
    prompt_equal = { "prompt", Comparison::Equal, "2400", true },
    prompt_greater = { "prompt", Comparison::Greater, "2400", false },
    prompt_less = { "prompt", Comparison::Less, "2401", true },
    hour = { "hour", Comparison::Greater, "21", true },
    header = { "header.X-Kind", Comparison::Equal, "letter", true },
    header_absent = { "header.x-other", Comparison::Equal, "", true },
)]
fn conditions_match_their_fields(field: &str, comparison: Comparison, value: &str, holds: bool) {
    let condition = compile(&condition(field, comparison, value)).expect("the condition is valid");
    assert_eq!(condition.holds(&facts()), holds);
}

#[parameterized(
    unknown = { "urgency", Comparison::Equal, "high" },
    suffix = { "workspace.x", Comparison::Equal, "reps" },
    text_order = { "path", Comparison::Less, "/v1/" },
    number_prefix = { "prompt", Comparison::StartsWith, "2" },
    not_a_number = { "prompt", Comparison::Greater, "many" },
    hour_range = { "hour", Comparison::Equal, "24" },
    header_name = { "header", Comparison::Equal, "x" },
    header_empty = { "header.", Comparison::Equal, "x" },
)]
fn invalid_conditions_are_rejected(field: &str, comparison: Comparison, value: &str) {
    let error =
        compile(&condition(field, comparison, value)).expect_err("the condition is invalid");
    assert!(!error.to_string().is_empty());
}

#[parameterized(
    standard = { "header.Priority" },
    common = { "header.x-urgency" },
)]
fn urgency_headers_are_rejected(field: &str) {
    let error =
        compile(&condition(field, Comparison::Equal, "1")).expect_err("the header is rejected");
    let field = field.to_owned();
    assert_eq!(error, RuleError::CallerUrgency { field });
}

#[test]
fn all_matchers_register_themselves() {
    let fields: Vec<&str> = matchers().iter().map(|matcher| matcher.field).collect();
    let expected = [
        "header",
        "hour",
        "method",
        "model",
        "path",
        "prompt",
        "service",
        "workspace",
    ];
    assert_eq!(fields, expected);
}

#[test]
fn the_lowest_tier_applies_without_a_match() {
    let placement = place(&configuration(Vec::new()), &facts()).expect("all names exist");
    assert_eq!(placement.tier, TierRank(2));
    assert_eq!(placement.rule, None);
    assert_eq!(placement.deadline, Duration::from_mins(10));
}

#[test]
fn the_first_match_applies_across_workspace_and_general_rules() {
    let own = condition("workspace", Comparison::Equal, "reps");
    let post = condition("method", Comparison::Equal, "POST");
    let night = condition("workspace", Comparison::Equal, "night");
    let rules = vec![
        rule("other", "batch", vec![night]),
        rule("general", "normal", vec![post]),
        rule("own", "urgent", vec![own]),
    ];
    let first = place(&configuration(rules.clone()), &facts()).expect("all names exist");
    assert_eq!(first.rule.expect("a rule matches").as_str(), "general");
    let reversed = rules.into_iter().rev().collect();
    let first = place(&configuration(reversed), &facts()).expect("all names exist");
    assert_eq!(first.rule.expect("a rule matches").as_str(), "own");
    assert_eq!(first.tier, TierRank(0));
}

#[parameterized(
    get = { "casebook", "GET", false },
    post = { "casebook", "POST", true },
    engine = { "drafter", "POST", false },
)]
fn unsafe_calls_of_non_idempotent_services_are_marked(
    service: &str,
    method: &str,
    non_idempotent: bool,
) {
    let configuration = configuration(Vec::new());
    let facts = RequestFacts {
        service,
        method,
        model: None,
        ..facts()
    };
    let placement = place(&configuration, &facts).expect("all names exist");
    assert_eq!(placement.non_idempotent, non_idempotent);
}

#[parameterized(
    workspace = { RequestFacts { workspace: "nobody", ..facts() } },
    service = { RequestFacts { service: "nothing", ..facts() } },
    model = { RequestFacts { model: Some("quill-1b"), ..facts() } },
)]
fn unknown_names_are_rejected(facts: RequestFacts<'_>) {
    let error = place(&configuration(Vec::new()), &facts).expect_err("a name does not exist");
    assert!(error.to_string().contains("does not"), "{error}");
}

#[test]
fn rules_with_an_unknown_tier_are_rejected() {
    let rules = vec![rule("hearing", "missing", Vec::new())];
    let error = PlacementRules::try_from(&configuration(rules)).expect_err("the tier is missing");
    assert!(matches!(error, PlacementError::UnknownTier { .. }));
}

fn seeded() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn any_condition_is_compiled_without_panic(
        field in any::<String>(),
        header in any::<String>(),
        value in any::<String>(),
        path in any::<String>(),
        prompt_tokens in any::<u32>(),
    ) {
        let headers = |_: &str| None;
        let facts = RequestFacts { path: &path, prompt_tokens, headers: &headers, ..facts() };
        let fields = ["path", "prompt", "hour", "header.x", &field, &format!("header.{header}")]
            .map(str::to_owned);
        for field in fields {
            for comparison in [Comparison::Equal, Comparison::Less, Comparison::StartsWith] {
                if let Ok(condition) = compile(&condition(&field, comparison, &value)) {
                    condition.holds(&facts);
                }
            }
        }
    }
}
