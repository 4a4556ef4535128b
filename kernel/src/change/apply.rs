//! Applies a list of changes to a configuration.

use std::borrow::Borrow;
use std::collections::BTreeMap;

use crate::change::ChangeError;
use crate::change::ConfigurationChange;
use crate::change::DatacenterChange;
use crate::change::ListPosition;
use crate::change::RuleChange;
use crate::change::ServiceChange;
use crate::change::TierChange;
use crate::change::WorkerChange;
use crate::change::WorkspaceChange;
use crate::change::check;
use crate::configuration::ConfigVersion;
use crate::configuration::Configuration;
use crate::configuration::DatacenterSpec;
use crate::configuration::RuleSpec;
use crate::configuration::ServiceSpec;
use crate::configuration::TierSpec;
use crate::configuration::WorkerSpec;
use crate::configuration::WorkerState;
use crate::configuration::WorkspaceSpec;
use crate::name::WorkerName;

/// Returns the configuration after all changes, with the version number incremented by one.
///
/// Changes are applied in order and the result is validated once at the end, so the values of a
/// resource may refer to a resource that a later change of the same list adds. A resource that is
/// drained, removed or named in a list position must already exist at that point of the list.
///
/// # Errors
///
/// Returns [`ChangeError`] if `changes` is empty, if one of the changes can't be applied or if the
/// result does not pass [`check()`].
///
/// # Examples
///
/// ```
/// use borageladder_kernel::change::ConfigurationChange;
/// use borageladder_kernel::change::TierChange;
/// use borageladder_kernel::change::apply;
/// use borageladder_kernel::configuration::Configuration;
///
/// let tier = TierChange {
///     name: "urgent".try_into()?,
///     deadline_ms: Some(30_000),
///     preemptible: None,
///     position: None,
/// };
/// let changes = [ConfigurationChange::SetTier(tier)];
/// let configuration = apply(&Configuration::default(), &changes)?;
/// assert_eq!(configuration.version.0, 1);
/// assert_eq!(configuration.tiers.len(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn apply(
    configuration: &Configuration,
    changes: &[ConfigurationChange],
) -> Result<Configuration, ChangeError> {
    if changes.is_empty() {
        return Err(ChangeError::Empty);
    }
    let mut next = configuration.clone();
    for change in changes {
        apply_one(&mut next, change)?;
    }
    check(&next)?;
    next.version = ConfigVersion(configuration.version.0 + 1);
    Ok(next)
}

fn apply_one(next: &mut Configuration, change: &ConfigurationChange) -> Result<(), ChangeError> {
    match change {
        ConfigurationChange::SetTier(change) => set_tier(next, change),
        ConfigurationChange::SetWorkspace(change) => set_workspace(next, change),
        ConfigurationChange::SetRule(change) => set_rule(next, change),
        ConfigurationChange::SetService(change) => set_service(next, change),
        ConfigurationChange::SetWorker(change) => set_worker(next, change),
        ConfigurationChange::SetDatacenter(change) => set_datacenter(next, change),
        ConfigurationChange::DropTier(name) => drop_tier(next, name.as_str()),
        ConfigurationChange::DropWorkspace(name) => {
            remove(&mut next.workspaces, "workspace", name.as_str())
        }
        ConfigurationChange::DropRule(name) => {
            let position = rule_position(next, name.as_str());
            let position = position.ok_or_else(|| unknown("rule", name.as_str()))?;
            next.rules.remove(position);
            Ok(())
        }
        ConfigurationChange::DropService(name) => {
            remove(&mut next.services, "service", name.as_str())
        }
        ConfigurationChange::DropWorker(name) => remove(&mut next.workers, "worker", name.as_str()),
        ConfigurationChange::DropDatacenter(name) => {
            remove(&mut next.datacenters, "datacenter", name.as_str())
        }
        ConfigurationChange::Drain(name) => set_state(next, name, WorkerState::Draining),
        ConfigurationChange::Undrain(name) => set_state(next, name, WorkerState::Active),
    }
}

fn unknown(kind: &'static str, name: &str) -> ChangeError {
    ChangeError::Unknown {
        kind,
        name: name.to_owned(),
    }
}

fn required<T: Clone>(
    value: Option<&T>,
    kind: &'static str,
    name: &str,
    value_name: &'static str,
) -> Result<T, ChangeError> {
    value.cloned().ok_or_else(|| ChangeError::Missing {
        kind,
        name: name.to_owned(),
        value: value_name,
    })
}

fn remove<N, T>(
    entries: &mut BTreeMap<N, T>,
    kind: &'static str,
    name: &str,
) -> Result<(), ChangeError>
where
    N: Borrow<str> + Ord,
{
    let removed = entries.remove(name);
    removed.map(drop).ok_or_else(|| unknown(kind, name))
}

fn overwrite_if_some<T: Clone>(value: &mut T, new_value: Option<&T>) {
    if let Some(new_value) = new_value {
        value.clone_from(new_value);
    }
}

/// Moves the last element of a list to the requested position.
fn move_last<T, N>(
    entries: &mut Vec<T>,
    position: &ListPosition<N>,
    find: impl Fn(&[T], &N) -> Result<usize, ChangeError>,
) -> Result<(), ChangeError> {
    let Some(entry) = entries.pop() else {
        return Ok(());
    };
    let index = match position {
        ListPosition::First => 0,
        ListPosition::Last => entries.len(),
        ListPosition::Before(name) => find(entries, name)?,
        ListPosition::After(name) => find(entries, name)? + 1,
    };
    entries.insert(index, entry);
    Ok(())
}

fn set_tier(next: &mut Configuration, change: &TierChange) -> Result<(), ChangeError> {
    let name = change.name.as_str();
    let found = next.tiers.iter().position(|tier| tier.name == change.name);
    let index = if let Some(index) = found {
        index
    } else {
        let deadline_ms = required(change.deadline_ms.as_ref(), "tier", name, "deadline")?;
        next.tiers.push(TierSpec {
            name: change.name.clone(),
            deadline_ms,
            preemptible: false,
        });
        next.tiers.len() - 1
    };
    let tier = &mut next.tiers[index];
    overwrite_if_some(&mut tier.deadline_ms, change.deadline_ms.as_ref());
    overwrite_if_some(&mut tier.preemptible, change.preemptible.as_ref());
    let Some(position) = &change.position else {
        return Ok(());
    };
    let tier = next.tiers.remove(index);
    next.tiers.push(tier);
    move_last(&mut next.tiers, position, |tiers, name| {
        let index = tiers.iter().position(|tier| tier.name == *name);
        index.ok_or_else(|| unknown("tier", name.as_str()))
    })
}

fn rule_position(next: &Configuration, name: &str) -> Option<usize> {
    next.rules
        .iter()
        .position(|rule| rule.name.as_str() == name)
}

fn set_rule(next: &mut Configuration, change: &RuleChange) -> Result<(), ChangeError> {
    let name = change.name.as_str();
    let index = if let Some(index) = rule_position(next, name) {
        index
    } else {
        next.rules.push(RuleSpec {
            name: change.name.clone(),
            tier: required(change.tier.as_ref(), "rule", name, "tier")?,
            conditions: Vec::new(),
            non_idempotent: false,
        });
        next.rules.len() - 1
    };
    let rule = &mut next.rules[index];
    overwrite_if_some(&mut rule.tier, change.tier.as_ref());
    overwrite_if_some(&mut rule.conditions, change.conditions.as_ref());
    overwrite_if_some(&mut rule.non_idempotent, change.non_idempotent.as_ref());
    let Some(position) = &change.position else {
        return Ok(());
    };
    let rule = next.rules.remove(index);
    next.rules.push(rule);
    move_last(&mut next.rules, position, |rules, name| {
        let index = rules.iter().position(|rule| rule.name == *name);
        index.ok_or_else(|| unknown("rule", name.as_str()))
    })
}

fn set_workspace(next: &mut Configuration, change: &WorkspaceChange) -> Result<(), ChangeError> {
    let name = change.name.as_str();
    let digest = change.key_digest.as_ref();
    let limit = change.max_requests.as_ref();
    if let Some(workspace) = next.workspaces.get_mut(name) {
        overwrite_if_some(&mut workspace.key_digest, digest);
        overwrite_if_some(&mut workspace.max_requests, limit);
        return Ok(());
    }
    let workspace = WorkspaceSpec {
        key_digest: required(digest, "workspace", name, "key-digest")?,
        max_requests: required(limit, "workspace", name, "max-requests")?,
    };
    next.workspaces.insert(change.name.clone(), workspace);
    Ok(())
}

fn set_service(next: &mut Configuration, change: &ServiceChange) -> Result<(), ChangeError> {
    let name = change.name.as_str();
    if !next.services.contains_key(name) {
        let kind = required(change.kind.as_ref(), "service", name, "engine or plain")?;
        let service = ServiceSpec {
            kind,
            models: Vec::new(),
            non_idempotent: false,
        };
        next.services.insert(change.name.clone(), service);
    }
    if let Some(service) = next.services.get_mut(name) {
        overwrite_if_some(&mut service.kind, change.kind.as_ref());
        overwrite_if_some(&mut service.models, change.models.as_ref());
        overwrite_if_some(&mut service.non_idempotent, change.non_idempotent.as_ref());
    }
    Ok(())
}

fn set_worker(next: &mut Configuration, change: &WorkerChange) -> Result<(), ChangeError> {
    let name = change.name.as_str();
    if let Some(worker) = next.workers.get_mut(name) {
        overwrite_if_some(&mut worker.service, change.service.as_ref());
        overwrite_if_some(&mut worker.datacenter, change.datacenter.as_ref());
        overwrite_if_some(&mut worker.address, change.address.as_ref());
        overwrite_if_some(&mut worker.max_running, change.max_running.as_ref());
        return Ok(());
    }
    let worker = WorkerSpec {
        service: required(change.service.as_ref(), "worker", name, "service")?,
        datacenter: required(change.datacenter.as_ref(), "worker", name, "datacenter")?,
        address: required(change.address.as_ref(), "worker", name, "address")?,
        max_running: required(change.max_running.as_ref(), "worker", name, "max-running")?,
        version: None,
        state: WorkerState::Active,
    };
    next.workers.insert(change.name.clone(), worker);
    Ok(())
}

fn set_datacenter(next: &mut Configuration, change: &DatacenterChange) -> Result<(), ChangeError> {
    let name = change.name.as_str();
    if let Some(datacenter) = next.datacenters.get_mut(name) {
        overwrite_if_some(&mut datacenter.region, change.region.as_ref());
        overwrite_if_some(&mut datacenter.gone, change.gone.as_ref());
        return Ok(());
    }
    let datacenter = DatacenterSpec {
        region: required(change.region.as_ref(), "datacenter", name, "region")?,
        gone: change.gone.unwrap_or(false),
    };
    next.datacenters.insert(change.name.clone(), datacenter);
    Ok(())
}

fn drop_tier(next: &mut Configuration, name: &str) -> Result<(), ChangeError> {
    let rank = next.tier_rank(name).ok_or_else(|| unknown("tier", name))?;
    if next.tiers.len() == 1 {
        return Err(ChangeError::LastTier);
    }
    next.tiers.remove(usize::from(rank.0));
    Ok(())
}

fn set_state(
    next: &mut Configuration,
    name: &WorkerName,
    state: WorkerState,
) -> Result<(), ChangeError> {
    let worker = next.workers.get_mut(name.as_str());
    let worker = worker.ok_or_else(|| unknown("worker", name.as_str()))?;
    worker.state = state;
    Ok(())
}
