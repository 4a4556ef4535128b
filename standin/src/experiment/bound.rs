//! Bounds that the measures of a policy must meet.

use serde::Serialize;

use super::ExperimentResult;
use super::FaultKind;
use crate::trace::DeploymentKind;
use crate::trace::TIER_COUNT;

/// Names of the policies that serve as baselines.
pub const BASELINES: [&str; 4] = [
    "arrival-order",
    "least-loaded",
    "prefix-hash",
    "round-robin",
];

/// The baselines that ignore prompt prefixes.
const PREFIX_BLIND_BASELINES: [&str; 3] = ["arrival-order", "least-loaded", "round-robin"];

/// The baseline that uses prefix hashing with bounded loads.
const HASHING_BASELINE: &str = "prefix-hash";

/// Minimum goodput of the first tier at base load without faults.
const BASE_LOAD_GOODPUT: f64 = 0.99;

/// Minimum goodput of the first tier above base load or under faults.
const DEGRADED_GOODPUT: f64 = 0.95;

/// Maximum wasted prefill, as a ratio to the best prefix-blind baseline.
const MAX_WASTED_RATIO: f64 = 0.5;

/// A measured value and the bound that it must meet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BoundCheck {
    /// Label of the bounded measure, such as `quill 1x calm: first tier's goodput`.
    pub name: String,
    /// Measured value.
    pub measured: f64,
    /// Lower or upper bound on the measured value.
    pub bound: f64,
    /// Whether `bound` is a lower bound; otherwise it is an upper bound.
    pub at_least: bool,
}

impl BoundCheck {
    /// Returns whether the measured value meets the bound.
    #[must_use]
    pub fn held(&self) -> bool {
        if self.at_least {
            self.measured >= self.bound
        } else {
            self.measured <= self.bound
        }
    }
}

/// Checks the bounds of a policy against all of its runs in `results`.
///
/// A bound relative to baselines is the best of those whose matching calm run is in `results`; it
/// is not checked if there is none.
#[must_use]
pub fn check_bounds(results: &[ExperimentResult], policy: &str) -> Vec<BoundCheck> {
    let mut checks = Vec::new();
    for result in results.iter().filter(|result| result.spec.policy == policy) {
        checks.push(check_first_tier(result));
        if result.spec.fault == FaultKind::Calm {
            checks.extend(check_goodput(results, result));
            checks.extend(check_waste(results, result));
        }
        checks.extend(check_invariants(result));
    }
    checks
}

fn is_degraded(result: &ExperimentResult) -> bool {
    result.spec.scale > 1.0 || result.spec.fault != FaultKind::Calm
}

/// Checks the minimum goodput of the first tier.
fn check_first_tier(result: &ExperimentResult) -> BoundCheck {
    BoundCheck {
        name: label(result, "first tier's goodput"),
        measured: result.tiers[0].goodput(),
        bound: if is_degraded(result) {
            DEGRADED_GOODPUT
        } else {
            BASE_LOAD_GOODPUT
        },
        at_least: true,
    }
}

/// Compares the goodput with the best baseline: per tier up to base load, in total tokens above it.
fn check_goodput(results: &[ExperimentResult], result: &ExperimentResult) -> Vec<BoundCheck> {
    let check = |what: &str, measure: &dyn Fn(&ExperimentResult) -> f64| {
        let baselines = comparable_results(results, result, &BASELINES).map(measure);
        baselines.max_by(f64::total_cmp).map(|bound| BoundCheck {
            name: label(result, what),
            measured: measure(result),
            bound,
            at_least: true,
        })
    };
    if result.spec.scale > 1.0 {
        let total = check("goodput of all tiers in tokens", &|peer| {
            peer.token_goodput()
        });
        return total.into_iter().collect();
    }
    (0..TIER_COUNT)
        .filter_map(|tier| {
            let what = format!("goodput of tier {}", tier + 1);
            check(&what, &|peer| peer.tiers[tier].goodput())
        })
        .collect()
}

/// Compares the wasted prefill with that of the best prefix-blind baseline, times
/// [`MAX_WASTED_RATIO`], and with that of the hashing baseline.
fn check_waste(results: &[ExperimentResult], result: &ExperimentResult) -> Vec<BoundCheck> {
    let check = |what: &str, names: &[&str], factor: f64| {
        let wasted = comparable_results(results, result, names).map(|peer| peer.prefill.wasted());
        wasted.min_by(f64::total_cmp).map(|best| BoundCheck {
            name: label(result, what),
            measured: result.prefill.wasted(),
            bound: factor * best,
            at_least: false,
        })
    };
    let prefix_blind = check(
        "wasted prefill against half of the best plain baseline's",
        &PREFIX_BLIND_BASELINES,
        MAX_WASTED_RATIO,
    );
    let hashing = check(
        "wasted prefill against prefix hashing's",
        &[HASHING_BASELINE],
        1.0,
    );
    prefix_blind.into_iter().chain(hashing).collect()
}

/// Checks the counts that must be zero in every run.
fn check_invariants(result: &ExperimentResult) -> [BoundCheck; 2] {
    let must_be_zero = |what, count: u64| BoundCheck {
        name: label(result, what),
        measured: f64::from(u32::try_from(count).unwrap_or(u32::MAX)),
        bound: 0.0,
        at_least: false,
    };
    [
        must_be_zero("requests dispatched twice", result.dispatched_twice),
        must_be_zero(
            "higher-tier sheds while a lower tier waits",
            result.higher_tier_sheds,
        ),
    ]
}

/// Iterates over the runs of the policies in `names` whose specification is otherwise equal to that
/// of `result`.
fn comparable_results<'a>(
    results: &'a [ExperimentResult],
    result: &'a ExperimentResult,
    names: &'a [&str],
) -> impl Iterator<Item = &'a ExperimentResult> {
    results.iter().filter(move |peer| {
        let mut spec = peer.spec;
        spec.policy = result.spec.policy;
        spec == result.spec && names.contains(&peer.spec.policy)
    })
}

fn label(result: &ExperimentResult, what: &str) -> String {
    let spec = result.spec;
    let deployment: DeploymentKind = spec.deployment;
    let fault = spec.fault;
    format!("{} {}x {fault}: {what}", deployment.name(), spec.scale)
}
