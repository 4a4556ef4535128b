//! Validates a configuration as a whole.

use std::collections::BTreeMap;

use crate::change::ChangeError;
use crate::configuration::Comparison;
use crate::configuration::ConditionSpec;
use crate::configuration::Configuration;
use crate::configuration::RuleSpec;
use crate::configuration::ServiceKind;
use crate::rule::compile;

/// The maximum number of tiers in a configuration.
pub const MAX_TIERS: usize = 16;

/// The length of a BLAKE3 key digest, in hexadecimal digits.
const KEY_DIGEST_DIGITS: usize = 64;

/// The longest permitted deadline of a tier: one week, in milliseconds.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// Checks references between resources, ranges of values and values that must be unique.
///
/// Also compiles the conditions of all rules.
///
/// # Errors
///
/// Returns the first [`ChangeError`] found.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::change::check;
/// use borageladder_kernel::configuration::Configuration;
///
/// assert_eq!(check(&Configuration::default()), Ok(()));
/// ```
pub fn check(configuration: &Configuration) -> Result<(), ChangeError> {
    check_tiers(configuration)?;
    check_workspaces(configuration)?;
    check_rules(configuration)?;
    check_services(configuration)?;
    check_workers(configuration)
}

fn invalid_value(
    kind: &'static str,
    name: &str,
    value: &'static str,
    expected: &str,
) -> ChangeError {
    ChangeError::Value {
        kind,
        name: name.to_owned(),
        value,
        expected: expected.to_owned(),
    }
}

fn check_tiers(configuration: &Configuration) -> Result<(), ChangeError> {
    let count = configuration.tiers.len();
    if count > MAX_TIERS {
        return Err(ChangeError::TooManyTiers { count });
    }
    for tier in &configuration.tiers {
        if !(1..=MAX_DEADLINE_MS).contains(&tier.deadline_ms) {
            let expected = "more than zero and at most a week";
            return Err(invalid_value(
                "tier",
                tier.name.as_str(),
                "deadline",
                expected,
            ));
        }
    }
    Ok(())
}

fn check_workspaces(configuration: &Configuration) -> Result<(), ChangeError> {
    let mut digests = BTreeMap::new();
    for (name, workspace) in &configuration.workspaces {
        let digest = workspace.key_digest.as_str();
        let digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
        if digest.len() != KEY_DIGEST_DIGITS || !digest.chars().all(digit) {
            let expected = "64 lower-case hexadecimal digits";
            return Err(invalid_value(
                "workspace",
                name.as_str(),
                "key-digest",
                expected,
            ));
        }
        if workspace.max_requests == 0 {
            let expected = "at least 1";
            return Err(invalid_value(
                "workspace",
                name.as_str(),
                "max-requests",
                expected,
            ));
        }
        if let Some(other) = digests.insert(digest, name) {
            return Err(ChangeError::Duplicate {
                kind: "workspace",
                name: other.to_string(),
                other: name.to_string(),
                value: "key-digest",
            });
        }
    }
    Ok(())
}

fn check_rules(configuration: &Configuration) -> Result<(), ChangeError> {
    for rule in &configuration.rules {
        if configuration.tier_rank(rule.tier.as_str()).is_none() {
            return Err(ChangeError::Reference {
                kind: "rule",
                name: rule.name.to_string(),
                used_kind: "tier",
                used: rule.tier.to_string(),
            });
        }
        for condition in &rule.conditions {
            compile(condition).map_err(|source| ChangeError::Condition {
                name: rule.name.to_string(),
                source,
            })?;
            check_condition(configuration, rule, condition)?;
        }
    }
    Ok(())
}

/// Checks that a workspace or service exists if a condition compares with its full name.
///
/// Prefix comparisons are exempt: a prefix need not match an existing name.
fn check_condition(
    configuration: &Configuration,
    rule: &RuleSpec,
    condition: &ConditionSpec,
) -> Result<(), ChangeError> {
    if !matches!(
        condition.comparison,
        Comparison::Equal | Comparison::NotEqual
    ) {
        return Ok(());
    }
    let used = condition.value.as_str();
    let (used_kind, found) = match condition.field.as_str() {
        "service" => ("service", configuration.services.contains_key(used)),
        "workspace" => ("workspace", configuration.workspaces.contains_key(used)),
        _ => return Ok(()),
    };
    if found {
        return Ok(());
    }
    Err(ChangeError::Reference {
        kind: "rule",
        name: rule.name.to_string(),
        used_kind,
        used: used.to_owned(),
    })
}

fn check_services(configuration: &Configuration) -> Result<(), ChangeError> {
    for (name, service) in &configuration.services {
        let expected = match service.kind {
            ServiceKind::Engine if service.models.is_empty() => "non-empty for engines",
            ServiceKind::Plain if !service.models.is_empty() => "absent for plain services",
            _ => continue,
        };
        return Err(invalid_value("service", name.as_str(), "models", expected));
    }
    Ok(())
}

fn check_workers(configuration: &Configuration) -> Result<(), ChangeError> {
    let mut addresses = BTreeMap::new();
    for (name, worker) in &configuration.workers {
        let missing_reference = |used_kind, used: &str| ChangeError::Reference {
            kind: "worker",
            name: name.to_string(),
            used_kind,
            used: used.to_owned(),
        };
        if !configuration.services.contains_key(&worker.service) {
            return Err(missing_reference("service", worker.service.as_str()));
        }
        if !configuration.datacenters.contains_key(&worker.datacenter) {
            return Err(missing_reference("datacenter", worker.datacenter.as_str()));
        }
        if worker.max_running == 0 {
            return Err(invalid_value(
                "worker",
                name.as_str(),
                "max-running",
                "at least 1",
            ));
        }
        if let Some(other) = addresses.insert(worker.address, name) {
            return Err(ChangeError::Duplicate {
                kind: "worker",
                name: other.to_string(),
                other: name.to_string(),
                value: "address",
            });
        }
    }
    Ok(())
}
