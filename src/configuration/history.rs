//! The latest differences between configuration versions, for hosts that lack a few of them.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::delta::ConfigurationDelta;

/// The most differences that are kept.
const MAX_DELTAS: usize = 64;

/// The most entries in the differences that are sent in place of a whole configuration.
const MAX_ENTRIES: usize = 500;

/// Consecutive differences up to the version in force.
#[derive(Debug, Default)]
pub struct DeltaHistory(VecDeque<Arc<ConfigurationDelta>>);

impl DeltaHistory {
    /// Adds the difference to a version that came into force.
    pub fn add(&mut self, before: &Configuration, after: &Configuration) {
        if self.0.len() == MAX_DELTAS {
            self.0.pop_front();
        }
        let delta = ConfigurationDelta::between(before, after);
        self.0.push_back(Arc::new(delta));
    }

    /// Returns the differences from a version to the one in force, if all of them are kept and
    /// they are small.
    pub fn since(&self, version: ConfigVersion) -> Option<Vec<Arc<ConfigurationDelta>>> {
        let first = self.0.iter().position(|delta| delta.from == version)?;
        let deltas: Vec<_> = self.0.iter().skip(first).cloned().collect();
        let entries: usize = deltas.iter().map(|delta| delta.entries()).sum();
        (entries <= MAX_ENTRIES).then_some(deltas)
    }
}
