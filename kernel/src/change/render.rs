//! Renders a configuration as commands of the operators' language.

use std::collections::BTreeSet;

use crate::configuration::ConditionSpec;
use crate::configuration::Configuration;
use crate::configuration::RuleSpec;
use crate::configuration::ServiceKind;
use crate::configuration::ServiceSpec;
use crate::configuration::TierSpec;
use crate::configuration::WorkerSpec;
use crate::configuration::WorkerState;
use crate::name::ModelName;

/// Duration units with their lengths in milliseconds, longest first.
const DURATION_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// Formats a duration in milliseconds with the largest of the units `h`, `m`, `s` and `ms` that
/// divides it evenly.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::change::render_duration;
///
/// assert_eq!(render_duration(30_000), "30s");
/// assert_eq!(render_duration(1_500), "1500ms");
/// ```
#[must_use]
pub fn render_duration(millis: u64) -> String {
    let unit = DURATION_UNITS
        .iter()
        .find(|(_, length)| millis >= *length && millis.is_multiple_of(*length));
    match unit {
        Some((unit, length)) => format!("{}{unit}", millis / length),
        None => format!("{millis}ms"),
    }
}

/// Quotes a text for the operators' language, escaping quotation marks and backslashes.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::change::quote;
///
/// assert_eq!(quote("say \"no\""), r#""say \"no\"""#);
/// ```
#[must_use]
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        if matches!(c, '"' | '\\') {
            quoted.push('\\');
        }
        quoted.push(c);
    }
    quoted.push('"');
    quoted
}

/// Renders a configuration as the commands that create it from an empty one.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::change::render;
/// use borageladder_kernel::configuration::Configuration;
///
/// assert!(render(&Configuration::default()).is_empty());
/// ```
#[must_use]
pub fn render(configuration: &Configuration) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, datacenter) in &configuration.datacenters {
        let gone = if datacenter.gone { " gone" } else { "" };
        let region = &datacenter.region;
        lines.push(format!("set datacenter {name} region {region}{gone}"));
    }
    lines.extend(configuration.tiers.iter().map(render_tier));
    for (name, workspace) in &configuration.workspaces {
        let digest = &workspace.key_digest;
        let limit = workspace.max_requests;
        lines.push(format!(
            "set workspace {name} key-digest {digest} max-requests {limit}"
        ));
    }
    let services = configuration.services.iter();
    lines.extend(services.map(|(name, service)| render_service(name.as_str(), service)));
    for (name, worker) in &configuration.workers {
        lines.push(render_worker(name.as_str(), worker));
        if worker.state == WorkerState::Draining {
            lines.push(format!("drain worker {name}"));
        }
    }
    lines.extend(configuration.rules.iter().map(render_rule));
    lines
}

fn render_tier(tier: &TierSpec) -> String {
    let deadline = render_duration(tier.deadline_ms);
    let preemptible = if tier.preemptible { " preemptible" } else { "" };
    format!("set tier {} deadline {deadline}{preemptible}", tier.name)
}

fn render_service(name: &str, service: &ServiceSpec) -> String {
    let kind = match service.kind {
        ServiceKind::Engine => "engine",
        ServiceKind::Plain => "plain",
    };
    let models: Vec<&str> = service.models.iter().map(ModelName::as_str).collect();
    let models = if models.is_empty() {
        String::new()
    } else {
        format!(" models {}", models.join(","))
    };
    let suffix = non_idempotent_suffix(service.non_idempotent);
    format!("set service {name} {kind}{models}{suffix}")
}

fn render_worker(name: &str, worker: &WorkerSpec) -> String {
    format!(
        "set worker {name} service {} datacenter {} address {} max-running {}",
        worker.service, worker.datacenter, worker.address, worker.max_running
    )
}

fn render_rule(rule: &RuleSpec) -> String {
    let conditions: Vec<String> = rule.conditions.iter().map(render_condition).collect();
    let conditions = if conditions.is_empty() {
        String::new()
    } else {
        format!(" when {}", conditions.join(" and "))
    };
    let suffix = non_idempotent_suffix(rule.non_idempotent);
    format!(
        "set rule {} tier {}{suffix}{conditions}",
        rule.name, rule.tier
    )
}

fn render_condition(condition: &ConditionSpec) -> String {
    let value = quote(&condition.value);
    format!("{} {} {value}", condition.field, condition.comparison)
}

fn non_idempotent_suffix(non_idempotent: bool) -> &'static str {
    if non_idempotent {
        " non-idempotent"
    } else {
        ""
    }
}

/// Lists the commands that differ between two configurations, as a line diff.
///
/// Lines found only in `before` have the prefix `- `, lines found only in `after` the prefix `+ `.
/// If tiers or rules are added, removed or moved, their old and new order follow as comment lines.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::change::difference;
/// use borageladder_kernel::configuration::Configuration;
///
/// let configuration = Configuration::default();
/// assert!(difference(&configuration, &configuration).is_empty());
/// ```
#[must_use]
pub fn difference(before: &Configuration, after: &Configuration) -> Vec<String> {
    let old = render_with_order(before);
    let new = render_with_order(after);
    let old_set: BTreeSet<&String> = old.iter().collect();
    let new_set: BTreeSet<&String> = new.iter().collect();
    let removed = old.iter().filter(|line| !new_set.contains(line));
    let added = new.iter().filter(|line| !old_set.contains(line));
    removed
        .map(|line| format!("- {line}"))
        .chain(added.map(|line| format!("+ {line}")))
        .collect()
}

fn render_with_order(configuration: &Configuration) -> Vec<String> {
    let mut lines = render(configuration);
    let tiers = configuration.tiers.iter().map(|tier| tier.name.as_str());
    let rules = configuration.rules.iter().map(|rule| rule.name.as_str());
    for (kind, names) in [
        ("tiers", tiers.collect::<Vec<_>>()),
        ("rules", rules.collect()),
    ] {
        lines.push(format!("# order of {kind}: {}", names.join(", ")));
    }
    lines
}
