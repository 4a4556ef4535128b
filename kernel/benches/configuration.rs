//! Benchmarks of placing a request, by the number of rules, and of changing the configuration, by
//! the number of workers.

use std::hint::black_box;

use borageladder_kernel::change::ConfigurationChange;
use borageladder_kernel::change::apply;
use borageladder_kernel::change::difference;
use borageladder_kernel::configuration::Comparison;
use borageladder_kernel::configuration::ConditionSpec;
use borageladder_kernel::configuration::Configuration;
use borageladder_kernel::configuration::DatacenterSpec;
use borageladder_kernel::configuration::RuleSpec;
use borageladder_kernel::configuration::ServiceKind;
use borageladder_kernel::configuration::ServiceSpec;
use borageladder_kernel::configuration::TierSpec;
use borageladder_kernel::configuration::WorkerSpec;
use borageladder_kernel::configuration::WorkerState;
use borageladder_kernel::configuration::WorkspaceSpec;
use borageladder_kernel::name::DatacenterName;
use borageladder_kernel::name::NameError;
use borageladder_kernel::rule::PlacementRules;
use borageladder_kernel::rule::RequestFacts;
use borageladder_kernel::rule::place;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

/// The number of workspaces in the configuration.
const WORKSPACES: usize = 840;

/// The number of rules that are not bound to one workspace.
const GENERAL_RULES: usize = 10;

/// The numbers of rules to measure.
const RULES: [usize; 3] = [30, 300, 840];

fn condition(field: &str, comparison: Comparison, value: String) -> ConditionSpec {
    ConditionSpec {
        field: field.to_owned(),
        comparison,
        value,
    }
}

fn rule(number: usize, conditions: Vec<ConditionSpec>) -> Result<RuleSpec, NameError> {
    Ok(RuleSpec {
        name: format!("rule-{number}").try_into()?,
        tier: "urgent".try_into()?,
        conditions,
        non_idempotent: false,
    })
}

/// The numbers of workers to measure.
const WORKERS: [usize; 3] = [20, 1_000, 7_900];

/// Creates a configuration in which the general rules never match and every other rule is bound to
/// one workspace.
fn configuration(rules: usize) -> Result<Configuration, NameError> {
    let mut configuration = Configuration::default();
    configuration.tiers.push(TierSpec {
        name: "urgent".try_into()?,
        deadline_ms: 30_000,
        preemptible: false,
    });
    for number in 0..WORKSPACES {
        let workspace = WorkspaceSpec {
            key_digest: format!("{number:064x}"),
            max_requests: 100,
        };
        let name = format!("workspace-{number}").try_into()?;
        configuration.workspaces.insert(name, workspace);
    }
    let service = ServiceSpec {
        kind: ServiceKind::Engine,
        models: vec!["quill-70b".try_into()?],
        non_idempotent: false,
    };
    configuration
        .services
        .insert("drafter".try_into()?, service);
    for number in 0..rules {
        let first = if number < GENERAL_RULES {
            condition("header.x-kind", Comparison::Equal, "none".to_owned())
        } else {
            let name = format!("workspace-{}", number % WORKSPACES);
            condition("workspace", Comparison::Equal, name)
        };
        let path = condition("path", Comparison::StartsWith, "/v1/".to_owned());
        let prompt = condition("prompt", Comparison::Greater, "1000".to_owned());
        configuration
            .rules
            .push(rule(number, vec![first, path, prompt])?);
    }
    Ok(configuration)
}

fn with_workers(workers: usize) -> Result<Configuration, NameError> {
    let mut configuration = configuration(300)?;
    let datacenter = DatacenterSpec {
        region: "sapporo".try_into()?,
        gone: false,
    };
    let name = DatacenterName::try_from("sapporo-a")?;
    configuration.datacenters.insert(name.clone(), datacenter);
    for number in 0..workers {
        let [_, _, high, low] = u32::try_from(number).unwrap_or_default().to_be_bytes();
        let worker = WorkerSpec {
            service: "drafter".try_into()?,
            datacenter: name.clone(),
            address: ([10, 0, high, low], 7001).into(),
            max_running: 16,
            version: None,
            state: WorkerState::Active,
        };
        let name = format!("drafter-{number}").try_into()?;
        configuration.workers.insert(name, worker);
    }
    Ok(configuration)
}

fn change(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("change");
    for count in WORKERS {
        let before = with_workers(count).expect("the names are valid");
        let worker = "drafter-7".try_into().expect("the name is valid");
        let changes = [ConfigurationChange::Drain(worker)];
        let after = apply(&before, &changes).expect("the worker exists");
        group.bench_function(BenchmarkId::new("apply", count), |bencher| {
            bencher.iter(|| apply(black_box(&before), &changes));
        });
        group.bench_function(BenchmarkId::new("difference", count), |bencher| {
            bencher.iter(|| difference(black_box(&before), &after));
        });
        group.bench_function(BenchmarkId::new("compile rules", count), |bencher| {
            bencher.iter(|| PlacementRules::try_from(black_box(&after)));
        });
    }
    group.finish();
}

fn placement(criterion: &mut Criterion) {
    let facts = RequestFacts {
        workspace: "workspace-20",
        service: "drafter",
        path: "/v1/chat/completions",
        method: "POST",
        model: Some("quill-70b"),
        prompt_tokens: 2_400,
        headers: &|_| None,
        hour: 9,
    };
    let mut group = criterion.benchmark_group("placement");
    for count in RULES {
        let configuration = configuration(count).expect("the names are valid");
        let rules = PlacementRules::try_from(&configuration).expect("the rules are valid");
        group.bench_function(BenchmarkId::new("compiled once", count), |bencher| {
            bencher.iter(|| rules.place(black_box(&facts)));
        });
        group.bench_function(BenchmarkId::new("compiled each time", count), |bencher| {
            bencher.iter(|| place(&configuration, black_box(&facts)));
        });
    }
    group.finish();
}

criterion_group!(benches, placement, change);
criterion_main!(benches);
