//! Tests of the distributions of generated traces and of their reproducibility.

use std::collections::BTreeMap;
use std::time::Duration;

use borageladder_kernel::name::BlockDigest;
use borageladder_standin::trace::DeploymentKind;
use borageladder_standin::trace::TIER_COUNT;
use borageladder_standin::trace::Trace;
use borageladder_standin::trace::TraceSpec;
use yare::parameterized;

fn trace(deployment: DeploymentKind, scale: f64, seed: u64) -> Trace {
    Trace::new(&TraceSpec {
        deployment,
        scale,
        length: Duration::from_mins(4),
        burst: None,
        seed,
    })
}

#[parameterized(
    quill = { DeploymentKind::Quill },
    sargam = { DeploymentKind::Sargam },
)]
fn answer_lengths_span_two_orders_of_magnitude(deployment: DeploymentKind) {
    let trace = trace(deployment, 1.0, 7);
    let answers = trace.requests.iter().map(|request| request.answer_tokens);
    let longest = answers.clone().max().expect("a trace has requests");
    let shortest = answers.min().expect("a trace has requests");
    assert!(longest >= 100 * shortest, "{shortest} to {longest} tokens");
}

#[parameterized(
    quill = { DeploymentKind::Quill },
    sargam = { DeploymentKind::Sargam },
)]
fn every_tier_has_requests_and_a_few_prefixes_dominate(deployment: DeploymentKind) {
    let trace = trace(deployment, 1.0, 7);
    let mut uses: BTreeMap<BlockDigest, usize> = BTreeMap::new();
    let mut tiers = [0; TIER_COUNT];
    for request in &trace.requests {
        tiers[usize::from(request.tier.0)] += 1;
        if let Some(block) = request.blocks.first() {
            *uses.entry(*block).or_default() += 1;
        }
    }
    assert!(tiers.iter().all(|count| *count > 100), "{tiers:?}");
    let mut counts: Vec<usize> = uses.into_values().filter(|count| *count > 1).collect();
    counts.sort_unstable_by(|one, other| other.cmp(one));
    let head: usize = counts[..10].iter().sum();
    let tail: usize = counts[10..].iter().sum();
    assert!(head > tail && tail > 100, "{head} and {tail}");
}

#[test]
fn the_arrival_rate_is_proportional_to_the_scale() {
    let once = trace(DeploymentKind::Quill, 1.0, 7).requests.len();
    let twice = trace(DeploymentKind::Quill, 2.0, 7).requests.len();
    assert!(
        (18 * once..22 * once).contains(&(10 * twice)),
        "{once} and {twice}"
    );
}

#[test]
fn another_seed_gives_another_trace() {
    let trace_of = |seed| trace(DeploymentKind::Sargam, 1.0, seed);
    assert_eq!(trace_of(7), trace_of(7));
    assert_ne!(trace_of(7), trace_of(8));
}
