//! The interface between the cells and the other hosts.

use std::sync::Arc;

use super::asks::CellBrokers;
use super::asks::CellId;
use crate::kernel::configuration::Configuration;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::RegionName;
use crate::wire::LinkMessage;

/// Messages to other hosts and the state that the cells read from membership and configuration.
pub trait CellNetwork {
    /// Returns the name of this host.
    fn host(&self) -> &HostName;

    /// Returns the data centre of this host.
    fn datacenter(&self) -> &DatacenterName;

    /// Returns the live hosts that grant slots of a cell.
    fn brokers(&self, cell: &CellId) -> CellBrokers;

    /// Sends a message; delivery is not guaranteed, so asks and declarations are sent repeatedly.
    fn send(&self, host: &HostName, message: LinkMessage);

    /// Returns the data centre of a host; `None` if the host is not known.
    fn datacenter_of(&self, host: &HostName) -> Option<DatacenterName> {
        let _ = host;
        None
    }

    /// Returns the configuration in force on this host.
    fn configuration(&self) -> Arc<Configuration>;
}

pub(super) fn region_of<'a>(
    configuration: &'a Configuration,
    datacenter: &DatacenterName,
) -> Option<&'a RegionName> {
    configuration
        .datacenters
        .get(datacenter)
        .map(|spec| &spec.region)
}
