//! The workspaces of the work for which this host holds slots, declared to brokers that take over.

use super::asks::CellId;
use super::brokers::BrokerTable;
use super::service::CellService;
use crate::kernel::ask::BrokerEvent;
use crate::kernel::ask::WorkspaceWork;
use crate::kernel::name::HostName;
use crate::kernel::name::ServiceName;
use crate::wire::LinkMessage;

impl CellService {
    /// Declares the workspaces of the running work of a cell to a new broker, after the work itself.
    ///
    /// Other brokers know the workspaces from the asks, and only shares need them.
    pub(super) fn declare_workspaces(&self, cell: &CellId, broker: &HostName, is_new: bool) {
        if !is_new || !self.with_brokers(BrokerTable::has_fair_shares) {
            return;
        }
        let running = self.asks.borrow().running_workspaces(cell);
        if !running.is_empty() {
            let service = cell.service.clone();
            self.network
                .send(broker, LinkMessage::Workspaces { service, running });
        }
    }

    /// Passes a declaration of workspaces to the broker of a cell.
    pub(super) fn workspaces_declared(
        &self,
        from: &HostName,
        service: ServiceName,
        running: Vec<WorkspaceWork>,
    ) {
        let host = from.clone();
        self.broker_event(service, BrokerEvent::WorkspacesDeclared { host, running });
    }
}
