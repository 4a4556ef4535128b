//! The task that drives releases at the host that has this role.

use std::rc::Rc;
use std::time::Duration;

use super::super::host::GatewayHost;
use super::super::store::ReleaseChange;
use super::super::sync;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::WorkerState;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkerVersion;
use crate::kernel::release::FleetReadiness;
use crate::kernel::release::ReleaseAction;
use crate::kernel::release::ReleaseDriver;
use crate::kernel::release::ReleaseEvent;
use crate::kernel::release::ReleaseOrder;
use crate::kernel::release::ReleasePhase;
use crate::kernel::release::ReleaseReading;
use crate::kernel::release::ReleaseState;
use crate::kernel::release::StateWrite;
use crate::kernel::release::TICK_INTERVAL;
use crate::kernel::release::WriteOutcome;
use crate::kernel::roster::StoreEra;
use crate::log_event;
use crate::wire::EvidenceReport;

/// The interval at which a host that drives no release in progress looks whether it has to.
const ROLE_INTERVAL: Duration = Duration::from_millis(250);

/// The driver of one service's release.
#[derive(Debug)]
pub(super) struct DriverEntry {
    driver: ReleaseDriver,
    leading: bool,
    /// What the driver was last told of the workers and hosts.
    fleet: Option<FleetReadiness>,
    /// The order and the era by which the rows were last read.
    read_for: Option<(Option<ReleaseOrder>, StoreEra)>,
    /// The state that the driver was last told of.
    told: Option<ReleaseState>,
}

/// Drives releases, while the host has this role, until the process ends.
pub(in super::super) async fn drive_releases(host: Rc<GatewayHost>) {
    if !host.releases.is_enabled() {
        return;
    }
    let mut was_leading = false;
    loop {
        let is_idle = host.releases.services().is_empty();
        let interval = if host.has_open_release() {
            TICK_INTERVAL
        } else {
            ROLE_INTERVAL
        };
        let ordered = host.releases.ordered.notified();
        if is_idle {
            ordered.await;
        } else {
            // A new order or state is processed at once.
            let _ = actix_rt::time::timeout(interval, ordered).await;
        }
        let leading = host.drives_releases();
        if std::mem::replace(&mut was_leading, leading) != leading {
            log_event!(host.log, LogEvent::ReleaseDriverChanged, "leading" => leading);
        }
        host.create_drivers(leading);
        let services: Vec<ServiceName> = host.releases.drivers.borrow().keys().cloned().collect();
        for service in services {
            host.update_driver(&service, leading);
        }
        host.remove_drivers();
    }
}

impl GatewayHost {
    /// Returns whether this host drives a release that is not known to be final.
    fn has_open_release(&self) -> bool {
        let drivers = self.releases.drivers.borrow();
        let known = self.releases.known.borrow();
        let open = self.releases.open_orders();
        let mut leading = drivers.iter().filter(|(_, entry)| entry.leading);
        leading.any(|(service, _)| {
            let state = known.get(service).map(|known| known.state().phase);
            let is_final = state.is_some_and(ReleasePhase::is_final);
            !is_final || open.iter().any(|order| order.service == *service)
        })
    }

    fn create_drivers(&self, leading: bool) {
        let Some(bounds) = self.releases.bounds.filter(|_| leading) else {
            return;
        };
        let mut drivers = self.releases.drivers.borrow_mut();
        for service in self.releases.services() {
            let create = || DriverEntry {
                driver: ReleaseDriver::new(service.clone(), bounds),
                leading: false,
                fleet: None,
                read_for: None,
                told: None,
            };
            drivers.entry(service.clone()).or_insert_with(create);
        }
    }

    /// Removes the drivers of services whose order is gone and whose release is final.
    fn remove_drivers(&self) {
        let services = self.releases.services();
        let mut drivers = self.releases.drivers.borrow_mut();
        drivers.retain(|service, _| services.contains(service));
    }

    /// Tells a driver what has changed since the last call, and that time has passed.
    fn update_driver(self: &Rc<Self>, service: &ServiceName, leading: bool) {
        let order = self.releases.order(service);
        let era = self.releases.orders_era.get();
        let state = self.releases.state(service);
        let target = order.as_ref().map(|order| &order.target);
        let fleet = FleetReadiness {
            target: target.is_some_and(|target| self.has_ready_worker(service, target)),
            hosts: self.all_hosts_aware(),
        };
        let mut events = Vec::new();
        let mut drivers = self.releases.drivers.borrow_mut();
        let Some(entry) = drivers.get_mut(service) else {
            return;
        };
        if entry.fleet.replace(fleet) != Some(fleet) {
            events.push(ReleaseEvent::FleetChanged(fleet));
        }
        if std::mem::replace(&mut entry.leading, leading) != leading {
            events.push(ReleaseEvent::RoleChanged { leading });
        }
        if entry.told != state {
            entry.told.clone_from(&state);
            let state = state.map(Box::new);
            events.extend(state.map(ReleaseEvent::StateReceived));
        }
        let read_for = leading.then_some((order, era));
        let must_read = read_for.is_some() && entry.read_for != read_for;
        entry.read_for = read_for;
        drop(drivers);
        events.push(ReleaseEvent::Tick);
        for event in events {
            self.handle_release_event(service, event);
        }
        if must_read {
            self.spawn_read(service);
        }
    }

    fn has_ready_worker(&self, service: &ServiceName, target: &WorkerVersion) -> bool {
        let configuration = self.state.cell_configuration();
        let mut workers = configuration.workers.values();
        workers.any(|worker| {
            worker.service == *service
                && worker.version.as_ref() == Some(target)
                && worker.state == WorkerState::Active
        })
    }

    /// Passes the evidence of a host to the driver of its service.
    pub(super) fn take_evidence(self: &Rc<Self>, report: EvidenceReport) {
        let service = report.evidence.order.service.clone();
        let event = ReleaseEvent::EvidenceReceived {
            host: report.host,
            incarnation: report.incarnation,
            evidence: Box::new(report.evidence),
        };
        self.handle_release_event(&service, event);
    }

    fn handle_release_event(self: &Rc<Self>, service: &ServiceName, event: ReleaseEvent) {
        let now = self.clock.now();
        let mut drivers = self.releases.drivers.borrow_mut();
        let Some(entry) = drivers.get_mut(service) else {
            return;
        };
        let actions = entry.driver.handle(now, event);
        drop(drivers);
        for action in actions {
            match action {
                ReleaseAction::Read => self.spawn_read(service),
                ReleaseAction::Write(write) => self.spawn_write(service, *write),
                ReleaseAction::Announce(state) => {
                    self.learn_release(*state, now);
                    sync::announce_releases(self);
                }
            }
        }
    }

    fn spawn_read(self: &Rc<Self>, service: &ServiceName) {
        let host = Rc::clone(self);
        let service = service.clone();
        actix_rt::spawn(async move {
            let began = host.clock.now();
            let reading = host.read_rows(&service).await;
            let event = match reading {
                Some(reading) => {
                    if let Some(stored) = &reading.state {
                        host.learn_release(stored.state.clone(), began);
                    }
                    let reading = Box::new(reading);
                    ReleaseEvent::StoreRead { began, reading }
                }
                None => ReleaseEvent::ReadFailed,
            };
            host.handle_release_event(&service, event);
        });
    }

    /// Reads the state of a release. The order is the one that the host knows: a write fails if there is
    /// a newer one.
    async fn read_rows(&self, service: &ServiceName) -> Option<ReleaseReading> {
        let order = self.releases.order(service);
        let absent_at = self.releases.absent_at(service);
        let read = self.read_release(service).await.ok()?;
        if read.era != self.releases.orders_era.get() {
            return None;
        }
        let ended = self.clock.now();
        // The store's time at `absent_at` is not earlier than this.
        let store_time = |at: ClockTime| read.store_time.saturating_sub(ended.since(at));
        Some(ReleaseReading {
            store_time: read.store_time,
            era: read.era,
            order,
            order_absent_at: absent_at.map(store_time),
            state: read.state,
            state_revision: read.state_revision,
        })
    }

    fn spawn_write(self: &Rc<Self>, service: &ServiceName, write: StateWrite) {
        let host = Rc::clone(self);
        let service = service.clone();
        actix_rt::spawn(async move {
            let outcome = host.write_release(write).await;
            host.handle_release_event(&service, ReleaseEvent::WriteEnded(outcome));
        });
    }

    async fn write_release(&self, write: StateWrite) -> WriteOutcome {
        let began = self.clock.now();
        let state = write.state.clone();
        let mut value = Vec::new();
        ciborium::into_writer(&state, &mut value).expect("a state can be encoded");
        let change = ReleaseChange {
            state: write.state,
            value,
            order_revision: write.order_revision,
            state_revision: write.state_revision,
        };
        let written = self.store.replace_release_state(change).await;
        self.record_store_call("replace-release-state", &written);
        let outcome = match written {
            Ok(true) => WriteOutcome::Committed,
            Ok(false) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        };
        let took = self.clock.now().since(began);
        log_event!(self.log, LogEvent::ReleaseWritten,
            "service" => state.order.service.as_str(),
            "target" => state.order.target.as_str(),
            "revision" => state.order.revision.0,
            "sequence" => state.sequence,
            "phase" => format!("{:?}", state.phase),
            "share" => state.share.ratio(),
            "outcome" => format!("{outcome:?}"),
            "took_ms" => u64::try_from(took.as_millis()).unwrap_or(u64::MAX));
        if outcome == WriteOutcome::Committed {
            self.learn_release(state, began);
            sync::announce_releases(self);
        }
        outcome
    }
}
