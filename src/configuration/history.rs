//! The latest deltas between configuration versions, for hosts that are a few versions behind.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::delta::ConfigurationDelta;

/// The largest number of deltas that are stored.
const MAX_DELTAS: usize = 64;

/// The largest size of the deltas that are sent, as counted by [`ConfigurationDelta::size`];
/// above it, the complete configuration is sent.
const MAX_TOTAL_SIZE: usize = 500;

/// The deltas between the versions that this host has applied one after the other, up to the
/// version in force. A host can skip versions, so that a delta may span several of them.
#[derive(Debug, Default)]
pub struct DeltaHistory(VecDeque<Arc<ConfigurationDelta>>);

impl DeltaHistory {
    /// Adds the delta from the previous configuration to the one that replaced it.
    pub fn add(&mut self, before: &Configuration, after: &Configuration) {
        if self.0.len() == MAX_DELTAS {
            self.0.pop_front();
        }
        let delta = ConfigurationDelta::between(before, after);
        self.0.push_back(Arc::new(delta));
    }

    /// Returns the deltas from an older version to the one in force; `None` if this host skipped the
    /// version, if one of the deltas is no longer stored, if they are too large or if the version is
    /// not older.
    pub fn since(&self, version: ConfigVersion) -> Option<Vec<Arc<ConfigurationDelta>>> {
        let first = self.0.iter().position(|delta| delta.from == version)?;
        let deltas: Vec<_> = self.0.iter().skip(first).cloned().collect();
        let size: usize = deltas.iter().map(|delta| delta.size()).sum();
        (size <= MAX_TOTAL_SIZE).then_some(deltas)
    }
}
