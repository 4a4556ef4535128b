//! Where the hosts are that reports of crashes go to.

use std::fmt;
use std::rc::Rc;

use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::poison::ReportSpread;
use crate::member::MemberService;

/// What a host knows of the places of the live hosts.
pub trait HostPlaces {
    /// Returns the data centre of a live host; `None` if the host is not alive.
    fn datacenter(&self, host: &HostName) -> Option<DatacenterName>;

    /// Returns the number of live hosts, including this one.
    fn live_hosts(&self) -> usize;
}

impl HostPlaces for MemberService {
    fn datacenter(&self, host: &HostName) -> Option<DatacenterName> {
        Self::datacenter(self, host)
    }

    fn live_hosts(&self) -> usize {
        self.alive_count()
    }
}

/// Which hosts get the reports that a host passes on.
pub struct ReportScope {
    /// The data centre of this host.
    pub datacenter: DatacenterName,
    /// The number of live hosts up to which all of them are linked with each other.
    pub direct_hosts: usize,
    /// The places of the live hosts.
    pub places: Rc<dyn HostPlaces>,
}

impl fmt::Debug for ReportScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReportScope")
            .field("datacenter", &self.datacenter)
            .field("direct_hosts", &self.direct_hosts)
            .finish_non_exhaustive()
    }
}

impl ReportScope {
    /// Returns whether this host passes on what it received from another one.
    pub(super) fn passes_on(&self, from: &HostName) -> bool {
        let spread = ReportSpread {
            datacenter: &self.datacenter,
            live_hosts: self.places.live_hosts(),
            direct_hosts: self.direct_hosts,
        };
        spread.passes_on(self.places.datacenter(from).as_ref())
    }

    /// Returns whether a host is in the data centre of this one.
    pub(super) fn is_near(&self, host: &HostName) -> bool {
        self.places.datacenter(host).as_ref() == Some(&self.datacenter)
    }
}
