//! Passing configurations on and putting them in force.

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
    pub(super) fn offer(&self, to: &HostName, version: ConfigVersion) {
        let configuration = self.configuration();
        if configuration.version <= version {
            return;
        }
        let deltas = self.history.borrow().since(version);
        let message = deltas.map_or_else(
            || LinkMessage::Configuration(configuration),
            LinkMessage::ConfigurationDeltas,
        );
        // An answer that can't be queued is made up for when the other host asks again.
        let _ = self.links.send(to, message);
    }

    pub(super) fn apply_deltas(&self, deltas: &[Arc<ConfigurationDelta>]) {
        let current = self.configuration();
        let newer = deltas.iter().filter(|delta| delta.to > current.version);
        let mut next = Configuration::clone(&current);
        for delta in newer {
            let Ok(after) = delta.apply(&next) else {
                // Another version came into force meanwhile; what is still missing is asked for
                // again from there.
                return;
            };
            next = after;
        }
        self.adopt(&Arc::new(next));
    }

    /// Puts a configuration in force if it is newer than the one that is.
    pub(super) fn adopt(&self, configuration: &Arc<Configuration>) {
        let now = (self.clock)();
        let datacenters = |gone: bool| -> BTreeSet<DatacenterName> {
            let datacenters = configuration.datacenters.iter();
            let datacenters = datacenters.filter(|(_, spec)| spec.gone == gone);
            datacenters.map(|(name, _)| name.clone()).collect()
        };
        let version = configuration.version;
        let mut rollout = self.rollout.borrow_mut();
        let (newer, actions) =
            rollout.configuration_received(now, version, datacenters(false), datacenters(true));
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
