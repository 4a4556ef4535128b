//! The bounds on the measures of a policy.

use serde::Serialize;

use super::ExperimentResult;
use super::FaultKind;
use crate::trace::DeploymentKind;
use crate::trace::TIER_COUNT;

/// The policies that the project's policy is compared with.
pub const BASELINES: [&str; 4] = [
    "arrival-order",
    "least-loaded",
    "prefix-hash",
    "round-robin",
];

/// The baselines that know nothing of prefixes.
const PLAIN_BASELINES: [&str; 3] = ["arrival-order", "least-loaded", "round-robin"];

/// The baseline that hashes prefixes with bounded loads.
const HASHING_BASELINE: &str = "prefix-hash";

/// The least goodput of the first tier at the load that fits.
const FITTING_GOODPUT: f64 = 0.99;

/// The least goodput of the first tier at twice the load and under faults.
const STRAINED_GOODPUT: f64 = 0.95;

/// The most wasted prefill, as a share of the best plain baseline's.
const WASTED_SHARE: f64 = 0.5;

/// A bound and whether it was held.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BoundCheck {
    /// What is bounded, such as `quill 1x calm: first tier's goodput`.
    pub name: String,
    /// The value measured.
    pub measured: f64,
    /// The bound.
    pub bound: f64,
    /// Whether the measured value must not be below the bound; otherwise it must not be above.
    pub at_least: bool,
}

impl BoundCheck {
    /// Returns whether the bound was held.
    #[must_use]
    pub fn held(&self) -> bool {
        if self.at_least {
            self.measured >= self.bound
        } else {
            self.measured <= self.bound
        }
    }
}

/// Checks all bounds for a policy for which `results` has the runs needed.
///
/// Bounds that compare with a baseline are checked where the calm run of that baseline is there.
#[must_use]
pub fn check_bounds(results: &[ExperimentResult], policy: &str) -> Vec<BoundCheck> {
    let mut checks = Vec::new();
    for result in results.iter().filter(|result| result.spec.policy == policy) {
        checks.push(first_tier(result));
        if result.spec.fault == FaultKind::Calm {
            checks.extend(goodput(results, result));
            checks.extend(waste(results, result));
        }
        checks.extend(invariants(result));
    }
    checks
}

fn strained(result: &ExperimentResult) -> bool {
    result.spec.scale > 1.0 || result.spec.fault != FaultKind::Calm
}

fn first_tier(result: &ExperimentResult) -> BoundCheck {
    BoundCheck {
        name: label(result, "first tier's goodput"),
        measured: result.tiers[0].goodput(),
        bound: if strained(result) {
            STRAINED_GOODPUT
        } else {
            FITTING_GOODPUT
        },
        at_least: true,
    }
}

fn goodput(results: &[ExperimentResult], result: &ExperimentResult) -> Vec<BoundCheck> {
    let check = |what: &str, measure: &dyn Fn(&ExperimentResult) -> f64| {
        let baselines = peers(results, result, &BASELINES).map(measure);
        baselines.max_by(f64::total_cmp).map(|bound| BoundCheck {
            name: label(result, what),
            measured: measure(result),
            bound,
            at_least: true,
        })
    };
    if result.spec.scale > 1.0 {
        let sum = check("goodput of all tiers in tokens", &|peer| {
            peer.token_goodput()
        });
        return sum.into_iter().collect();
    }
    (0..TIER_COUNT)
        .filter_map(|tier| {
            let what = format!("goodput of tier {}", tier + 1);
            check(&what, &|peer| peer.tiers[tier].goodput())
        })
        .collect()
}

fn waste(results: &[ExperimentResult], result: &ExperimentResult) -> Vec<BoundCheck> {
    let check = |what: &str, names: &[&str], factor: f64| {
        let wasted = peers(results, result, names).map(|peer| peer.prefill.wasted());
        wasted.min_by(f64::total_cmp).map(|best| BoundCheck {
            name: label(result, what),
            measured: result.prefill.wasted(),
            bound: factor * best,
            at_least: false,
        })
    };
    let plain = check(
        "wasted prefill against half of the best plain baseline's",
        &PLAIN_BASELINES,
        WASTED_SHARE,
    );
    let hashing = check(
        "wasted prefill against prefix hashing's",
        &[HASHING_BASELINE],
        1.0,
    );
    plain.into_iter().chain(hashing).collect()
}

fn invariants(result: &ExperimentResult) -> [BoundCheck; 2] {
    let none = |what, count: u64| BoundCheck {
        name: label(result, what),
        measured: f64::from(u32::try_from(count).unwrap_or(u32::MAX)),
        bound: 0.0,
        at_least: false,
    };
    [
        none("requests dispatched twice", result.dispatched_twice),
        none(
            "higher-tier sheds while a lower tier waits",
            result.higher_tier_sheds,
        ),
    ]
}

/// Iterates over the runs of other policies that differ from `result` in nothing else.
fn peers<'a>(
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
