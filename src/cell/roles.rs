//! The broker side of the cells: events for the brokers that run here and the messages they send.

use std::collections::BTreeSet;

use super::asks::CellId;
use super::brokers::BrokerTable;
use super::brokers::CellAction;
use super::network::region_of;
use super::service::CellService;
use crate::kernel::ask::BrokerAction;
use crate::kernel::ask::BrokerEvent;
use crate::kernel::ask::CacheBatch;
use crate::kernel::ask::LoadReport;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::broker::CellBroker;
use crate::kernel::broker::LateCounts;
use crate::kernel::broker::WorkerSuspension;
use crate::kernel::broker::WorkspaceUsage;
use crate::kernel::clock::ClockTime;
use crate::kernel::location::NetworkLocation;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::name::TierRank;
use crate::kernel::name::WorkerName;
use crate::wire::CellSummary;
use crate::wire::LinkMessage;
use crate::wire::Referral;

impl CellService {
    /// Stops the brokers of cells for which this host is no longer broker or deputy; entries send
    /// their asks to the new broker. While no broker of a cell is known to be alive, that on this
    /// host goes on.
    pub(super) fn retire_brokers(&self) {
        let own = Some(self.network.host().clone());
        for cell in self.own_cells() {
            let brokers = self.network.brokers(&cell);
            if brokers.broker.is_some() && brokers.broker != own && brokers.deputy != own {
                self.brokers.borrow_mut().stop(&cell);
            }
        }
    }

    /// Sends a host with which a link was opened the asks that it may have missed without one; the
    /// running work is declared to it at the next tick.
    pub fn host_linked(&self, host: &HostName) {
        self.asks.borrow_mut().forget_unacknowledged(host);
        let mut known = self.known_brokers.borrow_mut();
        known.retain(|(_, broker)| broker != host);
        drop(known);
        self.send_due();
    }

    /// Updates the workers of the brokers after a change of the configuration or of the leaving
    /// workers.
    pub fn reconfigure(&self, leaving: BTreeSet<WorkerName>) {
        let configuration = self.network.configuration();
        let mut brokers = self.brokers.borrow_mut();
        brokers.set_leaving(leaving);
        let actions = brokers.reconfigure(self.clock.now(), &configuration);
        drop(brokers);
        self.perform(actions);
    }

    /// Passes a load report of a worker to the broker of its cell.
    pub fn load_reported(&self, cell: &CellId, worker: &WorkerName, load: LoadReport) {
        let event = BrokerEvent::LoadReported {
            worker: worker.clone(),
            load,
        };
        self.cell_event(cell, event);
    }

    /// Passes cache events of a worker to the broker of its cell.
    pub fn cache_reported(&self, cell: &CellId, worker: &WorkerName, batch: CacheBatch) {
        let event = BrokerEvent::CacheReported {
            worker: worker.clone(),
            batch,
        };
        self.cell_event(cell, event);
    }

    /// Calls a function with read access to the brokers that run here.
    pub fn with_brokers<T>(&self, read: impl FnOnce(&BrokerTable) -> T) -> T {
        read(&self.brokers.borrow())
    }

    /// Returns the suspensions of workers by the brokers that run here since the last call.
    pub fn take_suspensions(&self) -> Vec<(CellId, WorkerSuspension)> {
        self.brokers.borrow_mut().take_suspensions()
    }

    /// Returns the late requests that the brokers here started and refused since the last call.
    pub fn take_late_counts(&self) -> Vec<(CellId, LateCounts)> {
        self.brokers.borrow_mut().take_late_counts()
    }

    /// Returns what workspaces used and were refused by the brokers here since the last call.
    pub fn take_workspace_usage(&self) -> Vec<WorkspaceUsage> {
        self.brokers.borrow_mut().take_workspace_usage()
    }

    /// Returns the cells for which a broker runs on this host.
    #[must_use]
    pub fn own_cells(&self) -> Vec<CellId> {
        self.brokers
            .borrow()
            .iter()
            .map(|(cell, _)| cell.clone())
            .collect()
    }

    /// Sends the load summaries of the brokers that run here to the brokers of other data centres.
    pub fn send_summaries(&self) {
        let configuration = self.network.configuration();
        let now = self.clock.now();
        let summaries = self.with_brokers(|brokers| {
            brokers
                .iter()
                .map(|(cell, broker)| summarize(now, cell, broker))
                .collect::<Vec<_>>()
        });
        for summary in summaries {
            for datacenter in configuration.datacenters.keys() {
                if *datacenter == summary.datacenter {
                    continue;
                }
                let service = summary.service.clone();
                let cell = CellId {
                    service,
                    datacenter: datacenter.clone(),
                };
                if let Some(host) = self.network.brokers(&cell).broker {
                    self.network
                        .send(&host, LinkMessage::Summary(summary.clone()));
                }
            }
        }
    }

    /// Passes the location of an asking host to the broker of a service's cell on this host;
    /// without effect if that does not run yet or the location is not known.
    pub(super) fn record_host_location(&self, service: &ServiceName, host: &HostName) {
        let Some(datacenter) = self.network.datacenter_of(host) else {
            return;
        };
        let cell = CellId {
            service: service.clone(),
            datacenter: self.nearest_cell_datacenter(service),
        };
        let location = NetworkLocation::of(&self.network.configuration(), &datacenter);
        self.brokers
            .borrow_mut()
            .set_host_location(&cell, host, location);
    }

    /// Passes an event to the broker of a service's cell on this host; returns the requests that
    /// the broker granted or refused.
    pub(super) fn broker_event(&self, service: ServiceName, event: BrokerEvent) -> Vec<RequestId> {
        let datacenter = self.nearest_cell_datacenter(&service);
        self.cell_event(
            &CellId {
                service,
                datacenter,
            },
            event,
        )
    }

    fn cell_event(&self, cell: &CellId, event: BrokerEvent) -> Vec<RequestId> {
        let configuration = self.network.configuration();
        let now = self.clock.now();
        let handled = self
            .brokers
            .borrow_mut()
            .handle(now, cell, event, &configuration);
        // Only an unknown policy is an error, and the policies that this program uses are
        // registered.
        let actions = handled.unwrap_or_default();
        let answered = actions.iter().map(CellAction::request).collect();
        self.perform(actions);
        answered
    }

    pub(super) fn perform(&self, actions: Vec<CellAction>) {
        for CellAction { cell, action } in actions {
            match action {
                BrokerAction::Grant { host, grant } => {
                    self.network.send(&host, LinkMessage::Grant(grant));
                }
                BrokerAction::Refuse {
                    host,
                    refusal,
                    tier,
                } => {
                    let message = self.refer_or_refuse(&cell, refusal, tier);
                    self.network.send(&host, message);
                }
            }
        }
    }

    fn refer_or_refuse(&self, cell: &CellId, refusal: Refusal, tier: TierRank) -> LinkMessage {
        let lacks_capacity = matches!(
            refusal.reason,
            RefusalReason::Capacity | RefusalReason::Deadline | RefusalReason::NoWorker
        );
        if !lacks_capacity {
            return LinkMessage::Refuse(refusal);
        }
        let configuration = self.network.configuration();
        let own_region = region_of(&configuration, &cell.datacenter);
        let distance =
            |other: &CellId| u8::from(region_of(&configuration, &other.datacenter) != own_region);
        let brokers = self.brokers.borrow();
        let found = brokers.find_alternative(self.clock.now(), cell, tier, distance);
        match found {
            Some((other, host)) => LinkMessage::Refer(Referral {
                request: refusal.request,
                datacenter: other.datacenter.clone(),
                host: host.clone(),
            }),
            None => LinkMessage::Refuse(refusal),
        }
    }
}

fn summarize(now: ClockTime, cell: &CellId, broker: &CellBroker) -> CellSummary {
    let summary = broker.summary(now);
    CellSummary {
        service: cell.service.clone(),
        datacenter: cell.datacenter.clone(),
        free_slots: summary.free_slots,
        waiting: summary.waiting,
    }
}
