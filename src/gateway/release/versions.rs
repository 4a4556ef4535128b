//! The versions of the workers of each service, derived once for each change of the workers.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::super::host::GatewayHost;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::name::ServiceName;
use crate::kernel::version_choice::VersionSlots;

/// The versions of the workers of one service; `None` stands for workers that state none.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceVersions {
    /// The slots of the workers that may get requests.
    pub(super) usable: VersionSlots,
    /// The slots of all registered workers, whatever their state.
    pub(super) registered: VersionSlots,
}

/// The versions of all services, as of one configuration of the cells.
#[derive(Debug, Default)]
pub(super) struct VersionCache {
    as_of: Option<ConfigVersion>,
    services: BTreeMap<ServiceName, Rc<ServiceVersions>>,
}

impl VersionCache {
    /// Returns the versions of the workers of a service.
    pub(super) fn get(&mut self, host: &GatewayHost, service: &ServiceName) -> Rc<ServiceVersions> {
        let configuration = host.state.cell_configuration();
        if self.as_of != Some(configuration.version) {
            self.as_of = Some(configuration.version);
            self.services.clear();
        }
        if let Some(found) = self.services.get(service) {
            return Rc::clone(found);
        }
        let mut versions = ServiceVersions::default();
        for worker in configuration.workers.values() {
            if worker.service == *service {
                let slots = worker.max_running;
                versions.usable.add(worker.version.clone(), slots);
            }
        }
        for record in host.state.roster.borrow().registered() {
            if record.service == *service {
                let slots = record.slots;
                versions.registered.add(record.version.clone(), slots);
            }
        }
        let versions = Rc::new(versions);
        self.services.insert(service.clone(), Rc::clone(&versions));
        versions
    }
}

impl GatewayHost {
    pub(super) fn service_versions(&self, service: &ServiceName) -> Rc<ServiceVersions> {
        self.releases.versions.borrow_mut().get(self, service)
    }
}
