//! What the tasks of a gateway host share.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::ServiceConfig;
use slog::Logger;
use tokio::sync::Notify;

use super::dialect::GatewayDialect;
use super::document::CallerLimits;
use super::document::ServingConfiguration;
use super::document::WorkspaceTable;
use super::pool::WorkerPool;
use super::settings::GatewaySettings;
use super::state::GatewayState;
use super::sync::SharedState;
use crate::cell::CellService;
use crate::clock::ProcessClock;
use crate::crashes::SharedCrashRegister;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::configuration::DatacenterSpec;
use crate::kernel::configuration::ServiceSpec;
use crate::kernel::configuration::WorkerSpec;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkerName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::quota::QuotaBucket;
use crate::kernel::retry::RetryBudget;
use crate::kernel::roster::RosterUpdate;
use crate::kernel::roster::UpstreamRecord;
use crate::link::LinkSet;
use crate::log_event;
use crate::member::MemberService;
use crate::metrics::MetricSet;
use crate::server::StopSignal;
use crate::wire::LinkMessage;
use crate::wire::UsageReport;
use crate::wire::WorkspaceUsage;

/// What the tasks of a gateway host share.
pub struct GatewayHost {
    /// The settings.
    pub settings: GatewaySettings,
    /// The clock.
    pub clock: ProcessClock,
    /// The logger.
    pub log: Logger,
    /// The metrics.
    pub metrics: MetricSet,
    /// The names and formats of headers.
    pub dialect: Rc<dyn GatewayDialect>,
    /// The settings of the HTTP codecs.
    pub http: ServiceConfig,
    /// The links to other hosts.
    pub links: Rc<LinkSet>,
    /// The other hosts.
    pub members: Rc<MemberService>,
    /// The cells.
    pub cells: Rc<CellService>,
    /// The requests that may crash workers.
    pub strikes: SharedCrashRegister,
    /// The idle connections to workers.
    pub pool: WorkerPool,
    /// The signal that this host is asked to stop.
    pub draining: StopSignal,
    /// The signal that no further request is taken.
    pub closing: StopSignal,
    /// Wakes whoever tells what the host believes.
    pub(super) changed: Notify,
    /// What this host has asked others and others have asked it about the store.
    pub(super) shared: SharedState,
    pub(super) state: Rc<GatewayState>,
    incarnation: u64,
    sequence: Cell<u64>,
    held: Cell<usize>,
}

impl fmt::Debug for GatewayHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayHost")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// The parts of a gateway host that are started before it.
pub struct GatewayParts {
    /// The settings.
    pub settings: GatewaySettings,
    /// The clock.
    pub clock: ProcessClock,
    /// The logger.
    pub log: Logger,
    /// The metrics.
    pub metrics: MetricSet,
    /// The names and formats of headers.
    pub dialect: Rc<dyn GatewayDialect>,
    /// The links to other hosts.
    pub links: Rc<LinkSet>,
    /// The other hosts.
    pub members: Rc<MemberService>,
    /// The cells.
    pub cells: Rc<CellService>,
    /// What the host knows and counts.
    pub state: Rc<GatewayState>,
    /// The random number that this process drew when it started.
    pub incarnation: u64,
}

impl fmt::Debug for GatewayParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayParts").finish_non_exhaustive()
    }
}

impl From<GatewayParts> for GatewayHost {
    fn from(parts: GatewayParts) -> Self {
        Self {
            settings: parts.settings,
            strikes: SharedCrashRegister::new(Rc::clone(&parts.links), parts.clock),
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            dialect: parts.dialect,
            http: ServiceConfig::default(),
            links: parts.links,
            members: parts.members,
            cells: parts.cells,
            pool: WorkerPool::default(),
            draining: StopSignal::default(),
            closing: StopSignal::default(),
            changed: Notify::default(),
            shared: SharedState::default(),
            state: parts.state,
            incarnation: parts.incarnation,
            sequence: Cell::new(0),
            held: Cell::new(0),
        }
    }
}

/// Counts a request while it is held.
#[derive(Debug)]
pub struct HeldRequest {
    host: Rc<GatewayHost>,
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.host.held.set(self.host.held.get() - 1);
    }
}

impl GatewayHost {
    /// Counts a request until the returned value is dropped.
    pub fn hold(self: &Rc<Self>) -> HeldRequest {
        self.held.set(self.held.get() + 1);
        HeldRequest {
            host: Rc::clone(self),
        }
    }

    /// Returns the number of requests that are held.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns the next request identifier.
    #[must_use]
    pub fn next_request(&self) -> RequestId {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        RequestId {
            incarnation: self.incarnation,
            sequence,
        }
    }

    /// Returns the configuration if it may be acted on now.
    #[must_use]
    pub fn serving(&self, now: ClockTime) -> Option<Arc<ServingConfiguration>> {
        let fresh = self.state.freshness.borrow().is_fresh(now);
        let serving = self.state.serving.borrow();
        serving.as_ref().filter(|_| fresh).map(Arc::clone)
    }

    /// Returns the newest configuration that was read, however old it is.
    #[must_use]
    pub fn newest(&self) -> Option<Arc<ServingConfiguration>> {
        self.state.serving.borrow().as_ref().map(Arc::clone)
    }

    /// Returns whether the balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining.is_stopped() && self.serving(self.clock.now()).is_some()
    }

    /// Returns the bounds on what a caller may send.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        let serving = self.state.serving.borrow();
        serving
            .as_ref()
            .map_or_else(CallerLimits::default, |serving| serving.limits)
    }

    /// Returns a worker that may get new work.
    #[must_use]
    pub fn worker(&self, name: &WorkerName) -> Option<UpstreamRecord> {
        self.state.roster.borrow().find(name).cloned()
    }

    /// Returns the number of live hosts.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.members.all_alive().len()
    }

    /// Counts a request for a service.
    pub fn count_request(&self, now: ClockTime, service: &ServiceName) {
        self.with_retries(service, |budget| budget.record_request(now));
    }

    /// Takes one retry from the budget of a service; returns false if there is none left.
    #[must_use]
    pub fn take_retry(&self, now: ClockTime, service: &ServiceName) -> bool {
        let hosts = self.host_count();
        self.with_retries(service, |budget| budget.take(now, hosts))
    }

    fn with_retries<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut retries = self.state.retries.borrow_mut();
        let bounds = self.settings.bounds.retries();
        let budget = retries.entry(service.clone());
        act(budget.or_insert_with(|| RetryBudget::new(bounds)))
    }

    /// Calls a function with the quota of a workspace, if it has one.
    pub fn with_quota<T>(
        &self,
        workspace: &WorkspaceName,
        act: impl FnOnce(&mut QuotaBucket) -> T,
    ) -> Option<T> {
        self.state.quotas.borrow_mut().get_mut(workspace).map(act)
    }

    /// Notes that a worker died while it ran a request, and tells the other hosts.
    pub fn worker_died(&self, worker: &WorkerName, digest: u64) {
        log_event!(self.log, LogEvent::WorkerFailed, "worker" => worker.as_str());
        self.strikes.record_crash(digest);
    }

    /// Tells the other hosts what was given out of the quotas here, where it changed or of all.
    pub fn tell_use(&self, all: bool) {
        let mut quotas = self.state.quotas.borrow_mut();
        let uses = quotas.iter_mut().filter_map(|(workspace, quota)| {
            let units = quota.usage_report(all)?;
            let workspace = workspace.clone();
            Some(WorkspaceUsage { workspace, units })
        });
        let uses: Vec<WorkspaceUsage> = uses.collect();
        drop(quotas);
        // An empty message says that nothing more was given out.
        let age = self.clock.now().since(ClockTime::ZERO);
        self.links
            .broadcast(&LinkMessage::Usage(UsageReport { age, uses }));
    }

    /// Learns what another host has given out of each quota.
    pub fn learn_use(&self, from: &HostName, report: &UsageReport) {
        let now = self.clock.now();
        for (workspace, quota) in self.state.quotas.borrow_mut().iter_mut() {
            let told = report.uses.iter().find(|told| told.workspace == *workspace);
            match told {
                Some(told) => quota.record_usage(now, from, told.units, report.age),
                None => quota.record_liveness(now, from),
            }
        }
    }

    /// Puts a configuration in force unless it is older than the one before; returns whether it is new.
    pub fn apply(&self, configuration: Arc<ServingConfiguration>) -> bool {
        let version = configuration.version;
        let current = self.state.serving.borrow().as_ref().map(|c| c.version);
        if current.is_some_and(|current| current >= version) {
            return false;
        }
        let now = self.clock.now();
        self.apply_quotas(now, &configuration);
        *self.state.serving.borrow_mut() = Some(configuration);
        log_event!(self.log, LogEvent::ConfigurationApplied, "version" => version);
        self.update_cells();
        true
    }

    fn apply_quotas(&self, now: ClockTime, configuration: &ServingConfiguration) {
        let mut quotas = self.state.quotas.borrow_mut();
        let mut named = BTreeSet::new();
        let workspaces = configuration.workspaces.iter();
        let workspaces = workspaces.flat_map(WorkspaceTable::iter);
        for (name, workspace) in workspaces {
            let Some(bounds) = workspace.quota else {
                continue;
            };
            named.insert(name.clone());
            match quotas.get_mut(name) {
                Some(quota) => quota.set_bounds(bounds),
                None => {
                    quotas.insert(name.clone(), QuotaBucket::new(bounds, now));
                }
            }
        }
        quotas.retain(|name, _| named.contains(name));
    }

    /// Takes over what was read about the workers; returns whether those that are usable changed.
    pub fn apply_workers(&self, reading: RosterUpdate) -> bool {
        let now = self.clock.now();
        let changed = self.state.roster.borrow_mut().apply(now, reading);
        if changed {
            let number = self.state.roster_changes.get();
            self.state.roster_changes.set(number.wrapping_add(1));
            self.update_cells();
        }
        changed
    }

    /// Tells the cells about services and workers after one of them changed.
    pub fn update_cells(&self) {
        let Some(serving) = self.state.serving.borrow().as_ref().map(Arc::clone) else {
            return;
        };
        let version = self.state.cells.borrow().version.0 + 1;
        let mut cells = Configuration {
            version: ConfigVersion(version),
            ..Configuration::default()
        };
        for (name, region) in &self.settings.datacenters {
            let region = region.clone();
            let spec = DatacenterSpec {
                region,
                gone: false,
            };
            cells.datacenters.insert(name.clone(), spec);
        }
        for (name, service) in &serving.services {
            let spec = ServiceSpec {
                kind: service.kind,
                models: service.models.clone(),
                non_idempotent: false,
            };
            cells.services.insert(name.clone(), spec);
        }
        for record in self.state.roster.borrow().usable() {
            if serving.services.contains_key(&record.service) {
                let spec = WorkerSpec {
                    service: record.service.clone(),
                    datacenter: record.datacenter.clone(),
                    address: record.address,
                    max_running: record.slots,
                    state: record.state,
                };
                cells.workers.insert(record.worker.clone(), spec);
            }
        }
        *self.state.cells.borrow_mut() = Arc::new(cells);
        self.cells.reconfigure(BTreeSet::new());
        self.changed.notify_one();
    }
}
