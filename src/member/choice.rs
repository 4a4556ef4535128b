//! The hosts that are chosen for roles among the live ones.

use super::MemberService;
use crate::cell::CellBrokers;
use crate::cell::CellId;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::ServiceName;

impl MemberService {
    /// Returns the broker of the cell of a service in a data centre; `None` if no host is alive
    /// there.
    #[must_use]
    pub fn broker(&self, service: &ServiceName, datacenter: &DatacenterName) -> Option<HostName> {
        let membership = self.membership.borrow();
        membership.broker(service, datacenter).cloned()
    }

    /// Returns the broker of a cell and its deputy; `within` selects the data centres that share
    /// the cell.
    #[must_use]
    pub fn brokers(&self, cell: &CellId, within: impl Fn(&DatacenterName) -> bool) -> CellBrokers {
        let membership = self.membership.borrow();
        let pair = membership.brokers(&cell.service, &cell.datacenter, within);
        CellBrokers {
            broker: pair.broker.cloned(),
            deputy: pair.deputy.cloned(),
        }
    }

    /// Returns the host that reports for a data centre to the others, among the live hosts that
    /// `may_report` selects; `None` if there is none.
    #[must_use]
    pub fn reporter(
        &self,
        datacenter: &DatacenterName,
        may_report: impl Fn(&HostName) -> bool,
    ) -> Option<HostName> {
        let membership = self.membership.borrow();
        membership.reporter(datacenter, may_report).cloned()
    }

    /// Returns the host that comes first in the choice of a broker among the live hosts of all data
    /// centres that `may_serve` selects.
    #[must_use]
    pub fn first_eligible(
        &self,
        service: &ServiceName,
        datacenter: &DatacenterName,
        may_serve: impl Fn(&HostName) -> bool,
    ) -> Option<HostName> {
        let membership = self.membership.borrow();
        let first = membership.first_eligible(service, datacenter, may_serve);
        first.cloned()
    }
}
