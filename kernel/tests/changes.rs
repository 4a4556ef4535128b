//! Tests of configuration changes: application, validation and differences.

use borageladder_kernel::change::ChangeError;
use borageladder_kernel::change::ConfigurationChange;
use borageladder_kernel::change::DatacenterChange;
use borageladder_kernel::change::ListPosition;
use borageladder_kernel::change::RuleChange;
use borageladder_kernel::change::ServiceChange;
use borageladder_kernel::change::TierChange;
use borageladder_kernel::change::WorkerChange;
use borageladder_kernel::change::WorkspaceChange;
use borageladder_kernel::change::apply;
use borageladder_kernel::change::difference;
use borageladder_kernel::configuration::Comparison;
use borageladder_kernel::configuration::ConditionSpec;
use borageladder_kernel::configuration::ConfigVersion;
use borageladder_kernel::configuration::Configuration;
use borageladder_kernel::configuration::ServiceKind;
use borageladder_kernel::configuration::WorkerState;
use borageladder_kernel::name::NameError;
use borageladder_kernel::name::TierName;
use yare::parameterized;

fn name<N: for<'a> TryFrom<&'a str, Error = NameError>>(name: &str) -> N {
    N::try_from(name).expect("the name is valid")
}

fn tier(tier: &str, position: Option<ListPosition<TierName>>) -> ConfigurationChange {
    ConfigurationChange::SetTier(TierChange {
        name: name(tier),
        deadline_ms: Some(30_000),
        preemptible: None,
        position,
    })
}

fn rule(rule: &str, tier: Option<&str>) -> ConfigurationChange {
    ConfigurationChange::SetRule(RuleChange {
        name: name(rule),
        tier: tier.map(name),
        conditions: None,
        non_idempotent: None,
        position: None,
    })
}

fn service(service: &str, kind: ServiceKind, models: &[&str]) -> ConfigurationChange {
    ConfigurationChange::SetService(ServiceChange {
        name: name(service),
        kind: Some(kind),
        models: Some(models.iter().map(|model| name(model)).collect()),
        non_idempotent: None,
    })
}

fn worker(worker: &str, service: &str, port: u16, max_running: u32) -> ConfigurationChange {
    ConfigurationChange::SetWorker(WorkerChange {
        name: name(worker),
        service: Some(name(service)),
        datacenter: Some(name("sapporo-a")),
        address: Some(([127, 0, 0, 1], port).into()),
        max_running: Some(max_running),
    })
}

fn workspace(workspace: &str, digest: &str) -> ConfigurationChange {
    ConfigurationChange::SetWorkspace(WorkspaceChange {
        name: name(workspace),
        key_digest: Some(digest.to_owned()),
        max_requests: Some(10),
    })
}

fn base() -> Configuration {
    let datacenter = ConfigurationChange::SetDatacenter(DatacenterChange {
        name: name("sapporo-a"),
        region: Some(name("sapporo")),
        gone: None,
    });
    let changes = [
        tier("urgent", None),
        tier("batch", None),
        worker("drafter-1", "drafter", 7001, 4),
        service("drafter", ServiceKind::Engine, &["quill-70b"]),
        datacenter,
        rule("hearing", Some("urgent")),
        workspace("reps", &"a".repeat(64)),
    ];
    apply(&Configuration::default(), &changes).expect("the changes are consistent")
}

#[test]
fn a_list_of_changes_increments_the_version_once() {
    let base = base();
    assert_eq!(base.version, ConfigVersion(1));
    let changes = [tier("urgent", None), tier("normal", None)];
    let next = apply(&base, &changes).expect("the changes are valid");
    assert_eq!(next.version, ConfigVersion(2));
}

#[parameterized(
    first = { Some(ListPosition::First), ["normal", "urgent", "batch"] },
    last = { Some(ListPosition::Last), ["urgent", "batch", "normal"] },
    before = { Some(ListPosition::Before(name("batch"))), ["urgent", "normal", "batch"] },
    after = { Some(ListPosition::After(name("urgent"))), ["urgent", "normal", "batch"] },
    none = { None, ["urgent", "batch", "normal"] },
)]
fn tiers_are_inserted_at_their_position(
    position: Option<ListPosition<TierName>>,
    expected: [&str; 3],
) {
    let next = apply(&base(), &[tier("normal", position)]).expect("the change is valid");
    let names: Vec<&str> = next.tiers.iter().map(|tier| tier.name.as_str()).collect();
    assert_eq!(names, expected);
}

#[test]
fn omitted_values_stay_unchanged() {
    let drained = [ConfigurationChange::Drain(name("drafter-1"))];
    let drained = apply(&base(), &drained).expect("the worker exists");
    let change = [worker("drafter-1", "drafter", 7002, 8)];
    let next = apply(&drained, &change).expect("the change is valid");
    assert_eq!(next.workers["drafter-1"].state, WorkerState::Draining);
    assert_eq!(next.workers["drafter-1"].max_running, 8);
    let moved = [rule("hearing", Some("batch")), rule("hearing", None)];
    let next = apply(&next, &moved).expect("the change is valid");
    assert_eq!(next.rules[0].tier.as_str(), "batch");
}

#[parameterized(
    empty = { vec![] },
    unknown_worker = { vec![ConfigurationChange::Drain(name("drafter-9"))] },
    unknown_drop = { vec![ConfigurationChange::DropRule(name("nothing"))] },
    tier_in_use = { vec![ConfigurationChange::DropTier(name("urgent"))] },
    last_tier = { vec![
        ConfigurationChange::DropTier(name("batch")),
        ConfigurationChange::DropTier(name("urgent")),
    ] },
    service_in_use = { vec![ConfigurationChange::DropService(name("drafter"))] },
    datacenter_in_use = { vec![ConfigurationChange::DropDatacenter(name("sapporo-a"))] },
    unknown_tier = { vec![rule("hearing", Some("missing"))] },
    new_rule_without_tier = { vec![rule("new", None)] },
    unknown_service = { vec![worker("drafter-2", "missing", 7002, 4)] },
    same_address = { vec![worker("drafter-2", "drafter", 7001, 4)] },
    no_slots = { vec![worker("drafter-2", "drafter", 7002, 0)] },
    engine_without_models = { vec![service("other", ServiceKind::Engine, &[])] },
    plain_with_models = { vec![service("other", ServiceKind::Plain, &["quill-70b"])] },
    short_digest = { vec![workspace("night", "abc")] },
    same_digest = { vec![workspace("night", &"a".repeat(64))] },
    own_position = { vec![tier("batch", Some(ListPosition::After(name("batch"))))] },
    many_tiers = { (0..20).map(|number| tier(&format!("t{number}"), None)).collect() },
)]
fn invalid_changes_are_rejected(changes: Vec<ConfigurationChange>) {
    let error = apply(&base(), &changes).expect_err("the change is invalid");
    assert!(!error.to_string().is_empty());
}

#[test]
fn reference_errors_contain_both_resources() {
    let changes = [ConfigurationChange::DropService(name("drafter"))];
    let error = apply(&base(), &changes).expect_err("a worker uses the service");
    let expected = ChangeError::Reference {
        kind: "worker",
        name: "drafter-1".to_owned(),
        used_kind: "service",
        used: "drafter".to_owned(),
    };
    assert_eq!(error, expected);
}

#[parameterized(
    workspace = { "workspace", Comparison::Equal, "night", false },
    workspace_differs = { "workspace", Comparison::NotEqual, "night", false },
    service = { "service", Comparison::Equal, "nothing", false },
    known_workspace = { "workspace", Comparison::Equal, "reps", true },
    known_service = { "service", Comparison::Equal, "drafter", true },
    prefix = { "workspace", Comparison::StartsWith, "night", true },
)]
fn conditions_must_refer_to_existing_names(
    field: &str,
    comparison: Comparison,
    value: &str,
    valid: bool,
) {
    let condition = ConditionSpec {
        field: field.to_owned(),
        comparison,
        value: value.to_owned(),
    };
    let change = ConfigurationChange::SetRule(RuleChange {
        name: name("hearing"),
        tier: None,
        conditions: Some(vec![condition]),
        non_idempotent: None,
        position: None,
    });
    let changed = apply(&base(), &[change]);
    assert_eq!(changed.is_ok(), valid, "{changed:?}");
}

#[test]
fn the_difference_lists_removed_and_added_lines() {
    let base = base();
    let changes = [
        ConfigurationChange::Drain(name("drafter-1")),
        tier("batch", Some(ListPosition::First)),
        ConfigurationChange::DropRule(name("hearing")),
    ];
    let next = apply(&base, &changes).expect("the changes are valid");
    let expected = [
        "- set rule hearing tier urgent",
        "- # order of tiers: urgent, batch",
        "- # order of rules: hearing",
        "+ drain worker drafter-1",
        "+ # order of tiers: batch, urgent",
        "+ # order of rules: ",
    ];
    assert_eq!(difference(&base, &next), expected);
}
