//! Deltas between configuration versions, which are sent instead of complete configurations because
//! they are much smaller.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::configuration::ConfigVersion;
use crate::configuration::Configuration;
use crate::configuration::DatacenterSpec;
use crate::configuration::RuleSpec;
use crate::configuration::ServiceSpec;
use crate::configuration::TierSpec;
use crate::configuration::WorkerSpec;
use crate::configuration::WorkspaceSpec;
use crate::name::DatacenterName;
use crate::name::ServiceName;
use crate::name::WorkerName;
use crate::name::WorkspaceName;

/// The reason why a delta can't be applied.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DeltaError {
    /// The delta applies to another version than the given one.
    #[error("the delta applies to version {from}, not to version {found}", from = from.0, found = found.0)]
    Version {
        /// The version to which the delta applies.
        from: ConfigVersion,
        /// The version of the given configuration.
        found: ConfigVersion,
    },
}

/// The keys of a map whose values differ: the value of a new or changed key, `None` for a removed
/// one.
pub type MapDelta<K, V> = BTreeMap<K, Option<V>>;

/// The changes that turn one configuration version into another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationDelta {
    /// The version to which the delta applies.
    pub from: ConfigVersion,
    /// The version that results.
    pub to: ConfigVersion,
    /// All tiers; `None` if they are unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tiers: Option<Vec<TierSpec>>,
    /// All rules; `None` if they are unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<Vec<RuleSpec>>,
    /// The workspaces that were added, changed or removed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: MapDelta<WorkspaceName, WorkspaceSpec>,
    /// The services that were added, changed or removed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub services: MapDelta<ServiceName, ServiceSpec>,
    /// The workers that were added, changed or removed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub workers: MapDelta<WorkerName, WorkerSpec>,
    /// The data centres that were added, changed or removed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub datacenters: MapDelta<DatacenterName, DatacenterSpec>,
}

impl ConfigurationDelta {
    /// Returns the delta that turns `before` into `after`.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::configuration::ConfigVersion;
    /// use borageladder_kernel::configuration::Configuration;
    /// use borageladder_kernel::delta::ConfigurationDelta;
    ///
    /// let before = Configuration::default();
    /// let after = Configuration { version: ConfigVersion(1), ..before.clone() };
    /// let delta = ConfigurationDelta::between(&before, &after);
    /// assert_eq!(delta.apply(&before)?, after);
    /// # Ok::<(), borageladder_kernel::delta::DeltaError>(())
    /// ```
    #[must_use]
    pub fn between(before: &Configuration, after: &Configuration) -> Self {
        // Destructured without `..`, so that a new field of the configuration fails to compile
        // here.
        let Configuration {
            version,
            tiers,
            workspaces,
            rules,
            services,
            workers,
            datacenters,
        } = after;
        Self {
            from: before.version,
            to: *version,
            tiers: (before.tiers != *tiers).then(|| tiers.clone()),
            rules: (before.rules != *rules).then(|| rules.clone()),
            workspaces: map_delta(&before.workspaces, workspaces),
            services: map_delta(&before.services, services),
            workers: map_delta(&before.workers, workers),
            datacenters: map_delta(&before.datacenters, datacenters),
        }
    }

    /// Returns the number of tiers, rules, conditions of rules and other resources in the delta, as
    /// a measure of its size.
    #[must_use]
    pub fn size(&self) -> usize {
        let rules = self.rules.iter().flatten();
        let rules: usize = rules.map(|rule| 1 + rule.conditions.len()).sum();
        let tiers = self.tiers.as_ref().map_or(0, Vec::len);
        let specs = self.workspaces.len() + self.services.len();
        rules + tiers + specs + self.workers.len() + self.datacenters.len()
    }

    /// Returns the configuration that results from applying the delta to `before`.
    ///
    /// # Errors
    ///
    /// Returns an error if the delta applies to another version than that of `before`.
    pub fn apply(&self, before: &Configuration) -> Result<Configuration, DeltaError> {
        if before.version != self.from {
            return Err(DeltaError::Version {
                from: self.from,
                found: before.version,
            });
        }
        Ok(Configuration {
            version: self.to,
            tiers: self.tiers.as_ref().unwrap_or(&before.tiers).clone(),
            rules: self.rules.as_ref().unwrap_or(&before.rules).clone(),
            workspaces: with_delta(&before.workspaces, &self.workspaces),
            services: with_delta(&before.services, &self.services),
            workers: with_delta(&before.workers, &self.workers),
            datacenters: with_delta(&before.datacenters, &self.datacenters),
        })
    }
}

fn map_delta<K, V>(before: &BTreeMap<K, V>, after: &BTreeMap<K, V>) -> MapDelta<K, V>
where
    K: Clone + Ord,
    V: Clone + PartialEq,
{
    let changed = after.iter();
    let changed = changed.filter(|(key, value)| before.get(*key) != Some(*value));
    let changed = changed.map(|(key, value)| (key.clone(), Some(value.clone())));
    let removed = before.keys().filter(|key| !after.contains_key(*key));
    let removed = removed.map(|key| (key.clone(), None));
    changed.chain(removed).collect()
}

fn with_delta<K, V>(before: &BTreeMap<K, V>, delta: &MapDelta<K, V>) -> BTreeMap<K, V>
where
    K: Clone + Ord,
    V: Clone,
{
    let mut after = before.clone();
    for (key, value) in delta {
        match value {
            Some(value) => {
                after.insert(key.clone(), value.clone());
            }
            None => {
                after.remove(key);
            }
        }
    }
    after
}
