//! The network of the cells, implemented by membership and links.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use crate::cell::CellBrokers;
use crate::cell::CellId;
use crate::cell::CellNetwork;
use crate::kernel::configuration::Configuration;
use crate::kernel::location::CellSpan;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::link::LinkSet;
use crate::member::MemberService;
use crate::wire::LinkMessage;

/// A function that returns the configuration in force.
pub type ConfigurationSource = Rc<dyn Fn() -> Arc<Configuration>>;

/// The cells' access to brokers and entries on other hosts.
pub struct HostNetwork {
    /// The name of this host.
    pub host: HostName,
    /// The data centre of this host.
    pub datacenter: DatacenterName,
    /// Which data centres share the cell of a service.
    pub span: CellSpan,
    /// The links to other hosts.
    pub links: Rc<LinkSet>,
    /// The membership of hosts.
    pub members: Rc<MemberService>,
    /// The source of the configuration in force.
    pub configuration: ConfigurationSource,
    /// The brokers that were computed before.
    pub known_brokers: BrokerCache,
}

/// The brokers of cells, as long as neither the live hosts nor the configuration change.
#[derive(Debug, Default)]
pub struct BrokerCache(RefCell<CachedBrokers>);

#[derive(Debug, Default)]
struct CachedBrokers {
    generation: u64,
    configuration: Arc<Configuration>,
    brokers: BTreeMap<CellId, CellBrokers>,
}

impl BrokerCache {
    /// Returns the brokers of a cell, which `compute` returns if they are not known.
    fn get(
        &self,
        generation: u64,
        configuration: &Arc<Configuration>,
        cell: &CellId,
        compute: impl FnOnce() -> CellBrokers,
    ) -> CellBrokers {
        let mut cached = self.0.borrow_mut();
        let is_current =
            cached.generation == generation && Arc::ptr_eq(&cached.configuration, configuration);
        if !is_current {
            cached.brokers.clear();
            cached.generation = generation;
            cached.configuration = Arc::clone(configuration);
        }
        if let Some(brokers) = cached.brokers.get(cell) {
            return brokers.clone();
        }
        let brokers = compute();
        cached.brokers.insert(cell.clone(), brokers.clone());
        brokers
    }
}

impl fmt::Debug for HostNetwork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostNetwork")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

impl HostNetwork {
    fn compute_brokers(&self, configuration: &Configuration, cell: &CellId) -> CellBrokers {
        let mut brokers = self.members.brokers(cell, |datacenter| {
            *self.span.cell_datacenter(configuration, datacenter) == cell.datacenter
        });
        if brokers.broker.is_none() {
            // If no host of the data centres that share the cell is alive, the broker is a host of
            // this data centre.
            brokers.broker = self.members.broker(&cell.service, &self.datacenter);
        }
        brokers
    }
}

impl CellNetwork for HostNetwork {
    fn host(&self) -> &HostName {
        &self.host
    }

    fn datacenter(&self) -> &DatacenterName {
        &self.datacenter
    }

    fn brokers(&self, cell: &CellId) -> CellBrokers {
        let configuration = (self.configuration)();
        let generation = self.members.generation();
        self.known_brokers
            .get(generation, &configuration, cell, || {
                self.compute_brokers(&configuration, cell)
            })
    }

    fn datacenter_of(&self, host: &HostName) -> Option<DatacenterName> {
        self.members.datacenter(host)
    }

    fn send(&self, host: &HostName, message: LinkMessage) {
        if self.links.send(host, message).is_err() {
            // The sender repeats a lost message, which then uses the link that is dialled here.
            self.members.dial(host);
        }
    }

    fn configuration(&self) -> Arc<Configuration> {
        (self.configuration)()
    }
}
