//! The workers that a host uses, and what they said of themselves.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::host::GatewayHost;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::configuration::DatacenterSpec;
use crate::kernel::configuration::ServiceSpec;
use crate::kernel::configuration::WorkerSpec;
use crate::kernel::departure::HealthCheck;
use crate::kernel::departure::HealthOutcome;
use crate::kernel::name::WorkerName;
use crate::kernel::roster::RosterUpdate;
use crate::kernel::roster::UpstreamRecord;
use crate::log_event;

impl GatewayHost {
    /// Returns the worker with the name; `None` if it is not registered or may not get new
    /// requests.
    #[must_use]
    pub fn worker(&self, name: &WorkerName) -> Option<UpstreamRecord> {
        self.state.roster.borrow().find(name).cloned()
    }

    /// Records that a worker said in an answer that it is leaving; it gets no further requests.
    ///
    /// `connected_at` is the time at which the connection of the answer was opened; `None` if another
    /// host got the answer. Returns whether that was not known.
    pub(super) fn mark_leaving(
        &self,
        worker: &WorkerName,
        connected_at: Option<ClockTime>,
    ) -> bool {
        self.pool.close_connections(worker);
        let now = self.clock.now();
        let mut roster = self.state.roster.borrow_mut();
        let is_new = roster.mark_leaving(now, worker, connected_at);
        drop(roster);
        if is_new {
            self.update_cells();
            self.unconfirmed.notify_one();
        }
        is_new
    }

    /// Records that an answer which this host passes on for another one probably states that its worker
    /// is leaving.
    pub(super) fn observe_leaving(&self, worker: &WorkerName) {
        let is_new = self.mark_leaving(worker, None);
        log_event!(self.log, LogEvent::WorkerLeaving,
            "worker" => worker.as_str(), "passed_on" => true, "new" => is_new);
    }

    /// Returns the workers that may be leaving or at rest, which a health check would show.
    pub(super) fn unconfirmed_workers(&self) -> Vec<WorkerName> {
        let roster = self.state.roster.borrow();
        let departures = roster.unconfirmed().map(|record| record.worker.clone());
        let mut workers: Vec<WorkerName> = departures.collect();
        let rests = self.rests.borrow();
        workers.extend(rests.unconfirmed(self.clock.now()).cloned());
        workers
    }

    /// Returns the registration of a worker that may be leaving or at rest.
    pub(super) fn unconfirmed_worker(&self, worker: &WorkerName) -> Option<UpstreamRecord> {
        let roster = self.state.roster.borrow();
        let mut departures = roster.unconfirmed();
        let departure = departures.find(|record| record.worker == *worker);
        let now = self.clock.now();
        let may_rest = self.rests.borrow().is_unconfirmed(now, worker);
        let resting = roster.find(worker).filter(|_| may_rest);
        departure.or(resting).cloned()
    }

    /// Applies the result of a health check of a worker that may be leaving or at rest.
    pub(super) fn settle_worker(&self, check: &HealthCheck, outcome: HealthOutcome) {
        let now = self.clock.now();
        if outcome == HealthOutcome::Sound {
            let mut rests = self.rests.borrow_mut();
            rests.settle(&check.worker, check.sent_at);
        }
        let mut roster = self.state.roster.borrow_mut();
        let is_usable = roster.settle(now, check, outcome);
        drop(roster);
        if is_usable || outcome == HealthOutcome::Leaving {
            self.update_cells();
        }
    }

    /// Applies a change of the worker roster; returns whether a worker was added, changed or
    /// removed.
    pub fn apply_workers(&self, update: RosterUpdate) -> bool {
        let now = self.clock.now();
        self.streams
            .observe_workers(now, &self.state.roster.borrow());
        self.forget_restarted(&update);
        let changed = self.state.roster.borrow_mut().apply(now, update);
        self.state.workers_known.set(true);
        self.finish_roster_change(now, changed);
        changed
    }

    /// Records that the workers have not changed since the last update, as of a later read of the
    /// store; returns whether a worker that was kept without a registration was removed.
    pub fn record_unchanged_workers(&self) -> bool {
        let now = self.clock.now();
        let changed = self.state.roster.borrow_mut().record_unchanged(now);
        if changed {
            self.finish_roster_change(now, changed);
        }
        changed
    }

    fn finish_roster_change(&self, now: ClockTime, changed: bool) {
        self.log_transitions();
        self.unconfirmed.notify_one();
        self.streams
            .observe_workers(now, &self.state.roster.borrow());
        if changed {
            let revision = self.state.roster_revision.get();
            self.state.roster_revision.set(revision.wrapping_add(1));
            self.update_cells();
        }
    }

    fn log_transitions(&self) {
        let transitions = self.state.roster.borrow_mut().take_transitions();
        for change in transitions {
            log_event!(self.log, LogEvent::WorkerEntryChanged,
                "worker" => change.worker.as_str(),
                "started_ms" => change.started_ms,
                "change" => change.transition.as_str());
        }
    }

    /// Forgets what workers said of themselves before they started again under their names, or marks it
    /// as unconfirmed; the brokers of this host see them go and come back.
    fn forget_restarted(&self, update: &RosterUpdate) {
        let roster = self.state.roster.borrow();
        let restarted: BTreeSet<WorkerName> =
            roster.restarted(update).into_iter().cloned().collect();
        drop(roster);
        if restarted.is_empty() {
            return;
        }
        for worker in &restarted {
            self.rests.borrow_mut().mark_unconfirmed(worker);
            self.pool.close_connections(worker);
        }
        self.update_cells_without(&restarted);
    }

    /// Derives the configuration of the cells from the services and usable workers, and applies it.
    pub fn update_cells(&self) {
        self.update_cells_without(&BTreeSet::new());
    }

    fn update_cells_without(&self, excluded: &BTreeSet<WorkerName>) {
        let Some(serving) = self.state.serving.borrow().as_ref().map(Arc::clone) else {
            return;
        };
        let version = self.state.cell_configuration.borrow().version.0 + 1;
        let mut derived = Configuration {
            version: ConfigVersion(version),
            ..Configuration::default()
        };
        for (name, region) in &self.settings.datacenters {
            let region = region.clone();
            let spec = DatacenterSpec {
                region,
                gone: false,
            };
            derived.datacenters.insert(name.clone(), spec);
        }
        for (name, service) in &serving.services {
            let spec = ServiceSpec {
                kind: service.kind,
                models: service.models.clone(),
                non_idempotent: false,
            };
            derived.services.insert(name.clone(), spec);
        }
        for record in self.state.roster.borrow().usable() {
            let is_included = !excluded.contains(&record.worker);
            if is_included && serving.services.contains_key(&record.service) {
                let spec = WorkerSpec {
                    service: record.service.clone(),
                    datacenter: record.datacenter.clone(),
                    address: record.address,
                    max_running: record.slots,
                    version: record.version.clone(),
                    state: record.state,
                };
                derived.workers.insert(record.worker.clone(), spec);
            }
        }
        *self.state.cell_configuration.borrow_mut() = Arc::new(derived);
        self.cells.reconfigure(BTreeSet::new());
        self.changed.notify_one();
    }
}
