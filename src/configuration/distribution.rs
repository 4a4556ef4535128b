//! Distribution of configurations between hosts and their application on this host.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::ConfigurationAgent;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::delta::ConfigurationDelta;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::wire::LinkMessage;

impl ConfigurationAgent {
    /// Sends a host that has an older version the deltas from it, or the complete configuration if
    /// [`DeltaHistory::since`](super::history::DeltaHistory::since) returns none.
    pub(super) fn send_newer(&self, to: &HostName, version: ConfigVersion) {
        let configuration = self.configuration();
        if configuration.version <= version {
            return;
        }
        let deltas = self.history.borrow().since(version);
        let message = deltas.map_or_else(
            || LinkMessage::Configuration(configuration),
            LinkMessage::ConfigurationDeltas,
        );
        // If the message can't be queued, the other host requests it again.
        let _ = self.links.send(to, message);
    }

    pub(super) fn apply_deltas(&self, deltas: &[Arc<ConfigurationDelta>]) {
        let current = self.configuration();
        let newer = deltas.iter().filter(|delta| delta.to > current.version);
        let mut next = Configuration::clone(&current);
        for delta in newer {
            let Ok(after) = delta.apply(&next) else {
                // Another version was applied meanwhile; the missing versions are requested again,
                // starting from that one.
                return;
            };
            next = after;
        }
        self.apply_newer(&Arc::new(next));
    }

    /// Applies a configuration if it is newer than the one in force.
    pub(super) fn apply_newer(&self, configuration: &Arc<Configuration>) {
        let now = (self.clock)();
        let datacenters_with_gone = |gone: bool| -> BTreeSet<DatacenterName> {
            let datacenters = configuration.datacenters.iter();
            let datacenters = datacenters.filter(|(_, spec)| spec.gone == gone);
            datacenters.map(|(name, _)| name.clone()).collect()
        };
        let version = configuration.version;
        let mut rollout = self.rollout.borrow_mut();
        let (newer, actions) = rollout.configuration_received(
            now,
            version,
            datacenters_with_gone(false),
            datacenters_with_gone(true),
        );
        drop(rollout);
        if newer {
            let before = self.current.send_replace(Arc::clone(configuration));
            self.history.borrow_mut().add(&before, configuration);
            let listeners = self.listeners.borrow().clone();
            for listener in listeners {
                listener(configuration);
            }
        }
        self.perform(actions);
    }
}
