//! The services and state shared by the tasks of a gateway host.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::ServiceConfig;
use slog::Logger;
use tokio::sync::Notify;

use super::bodies::BodyMemory;
use super::connections::ConnectionMemory;
use super::connector::ConnectorState;
use super::dialect::GatewayDialect;
use super::document::CallerLimits;
use super::document::ServingConfiguration;
use super::document::WorkspaceTable;
use super::pool::ConnectionPool;
use super::release::ReleaseTable;
use super::settings::GatewaySettings;
use super::state::GatewayState;
use super::stop::StopSchedule;
use super::store::FleetStore;
use super::streams::StreamState;
use super::sync::SyncState;
use super::usage::UsageExchange;
use crate::activity::ActivitySource;
use crate::cell::CellService;
use crate::clock::ProcessClock;
use crate::crashes::HostPlaces;
use crate::crashes::ReportScope;
use crate::crashes::SharedPartRegister;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::hedge::HedgePlanner;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::pushback::RestTable;
use crate::kernel::quota::QuotaBucket;
use crate::kernel::retry::RetryBudget;
use crate::link::LinkSet;
use crate::log_event;
use crate::member::MemberService;
use crate::metrics::MetricSet;
use crate::server::StopSignal;

/// The services and state shared by the tasks of a gateway host.
pub struct GatewayHost {
    /// The settings of the host.
    pub settings: GatewaySettings,
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The logger.
    pub log: Logger,
    /// The metrics of the host.
    pub metrics: MetricSet,
    /// The names and formats of headers on the platform.
    pub dialect: Rc<dyn GatewayDialect>,
    /// The settings of the HTTP codecs.
    pub http: ServiceConfig,
    /// The platform's store.
    pub store: Rc<dyn FleetStore>,
    /// The links to other hosts.
    pub links: Rc<LinkSet>,
    /// The membership of hosts.
    pub members: Rc<MemberService>,
    /// The cells for which the host requests or grants slots.
    pub cells: Rc<CellService>,
    /// The worker crashes by the content and the prompt parts of requests, shared with the other
    /// hosts.
    pub crashes: Rc<SharedPartRegister>,
    /// The memory for the bodies of requests.
    pub bodies: Rc<BodyMemory>,
    /// The connections of callers, and the memory that they take besides bodies.
    pub connections: Rc<ConnectionMemory>,
    /// The idle connections to workers.
    pub pool: ConnectionPool,
    /// Set when the host is asked to stop; answers then close their connections.
    pub stopping: StopSignal,
    /// Set when a stopping host closes idle connections and accepts no further requests.
    pub closing: StopSignal,
    /// Set when a stopping host itself answers each request whose answer has not begun.
    pub answering: StopSignal,
    /// The steps of the shutdown; `None` unless the host is stopping.
    stop_schedule: Cell<Option<StopSchedule>>,
    /// Whether the shutdown has ended, so that what is in flight is dropped.
    has_ended: Cell<bool>,
    /// Wakes the task that logs changes of the host's state.
    pub(super) changed: Notify,
    /// Wakes the task that checks workers which may be leaving or at rest.
    pub(super) unconfirmed: Notify,
    /// The state exchange with other hosts.
    pub(super) sync: SyncState,
    /// The ways to workers.
    pub(super) connector: ConnectorState,
    /// The rests that workers asked this host for.
    pub(super) rests: RefCell<RestTable>,
    /// Which requests are hedged.
    pub(super) hedges: RefCell<HedgePlanner>,
    /// The versions of streams and of workers.
    pub(super) streams: StreamState,
    /// The exchange of reports of the use of quotas.
    pub(super) usage: UsageExchange,
    /// What is known of releases.
    pub(super) releases: ReleaseTable,
    pub(super) state: Rc<GatewayState>,
    incarnation: u64,
    last_sequence: Cell<u64>,
    in_flight: Cell<usize>,
}

impl fmt::Debug for GatewayHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayHost")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// The parts of a gateway host that are created before it.
pub struct GatewayParts {
    /// The settings of the host.
    pub settings: GatewaySettings,
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The logger.
    pub log: Logger,
    /// The metrics of the host.
    pub metrics: MetricSet,
    /// The names and formats of headers on the platform.
    pub dialect: Rc<dyn GatewayDialect>,
    /// The platform's store.
    pub store: Rc<dyn FleetStore>,
    /// The links to other hosts.
    pub links: Rc<LinkSet>,
    /// The membership of hosts.
    pub members: Rc<MemberService>,
    /// The cells for which the host requests or grants slots.
    pub cells: Rc<CellService>,
    /// The configuration, roster, quotas and retry budgets of the host.
    pub state: Rc<GatewayState>,
    /// The random number that distinguishes this run of the process from earlier ones.
    pub incarnation: u64,
    /// The number of descriptors that the process may have open.
    pub descriptors: u64,
}

impl fmt::Debug for GatewayParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayParts").finish_non_exhaustive()
    }
}

impl From<GatewayParts> for GatewayHost {
    fn from(parts: GatewayParts) -> Self {
        let members: Rc<dyn HostPlaces> = Rc::<MemberService>::clone(&parts.members);
        let scope = ReportScope {
            datacenter: parts.settings.datacenter.clone(),
            direct_hosts: parts.settings.direct_hosts,
            places: members,
        };
        let bodies = Rc::new(BodyMemory::new(parts.settings.body_budget()));
        let budget = parts.settings.connection_budget(parts.descriptors);
        let releases = ReleaseTable::new(parts.settings.bounds.release_bounds());
        Self {
            releases,
            usage: UsageExchange::new(parts.settings.host.clone()),
            connections: Rc::new(ConnectionMemory::new(budget, Rc::clone(&bodies))),
            bodies,
            hedges: RefCell::new(HedgePlanner::new(parts.settings.hedging)),
            settings: parts.settings,
            crashes: SharedPartRegister::start(&parts.links, scope, parts.clock),
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            dialect: parts.dialect,
            http: ServiceConfig::default(),
            store: parts.store,
            links: parts.links,
            members: parts.members,
            cells: parts.cells,
            pool: ConnectionPool::default(),
            stopping: StopSignal::default(),
            closing: StopSignal::default(),
            answering: StopSignal::default(),
            stop_schedule: Cell::default(),
            has_ended: Cell::default(),
            changed: Notify::default(),
            unconfirmed: Notify::default(),
            sync: SyncState::default(),
            connector: ConnectorState::default(),
            rests: RefCell::default(),
            streams: StreamState::default(),
            state: parts.state,
            incarnation: parts.incarnation,
            last_sequence: Cell::new(0),
            in_flight: Cell::new(0),
        }
    }
}

impl ActivitySource for GatewayHost {
    fn log(&self) -> &Logger {
        &self.log
    }

    fn links(&self) -> &LinkSet {
        &self.links
    }

    fn cells(&self) -> &CellService {
        &self.cells
    }

    fn metrics(&self) -> &MetricSet {
        &self.metrics
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    host: Rc<GatewayHost>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.host.in_flight.set(self.host.in_flight.get() - 1);
    }
}

impl GatewayHost {
    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard {
            host: Rc::clone(self),
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Begins to stop: the host reports that it is not ready, and its answers close their connections.
    pub fn begin_stop(&self, schedule: StopSchedule) {
        self.stop_schedule.set(Some(schedule));
        self.stopping.stop();
    }

    /// Returns whether the host is stopping and requests may not wait for a slot until the deadline.
    #[must_use]
    pub fn stops_before(&self, deadline: ClockTime) -> bool {
        let schedule = self.stop_schedule.get();
        schedule.is_some_and(|schedule| schedule.wait_until < deadline)
    }

    /// Records that the shutdown has ended, so that what is in flight is dropped next.
    pub fn mark_ended(&self) {
        self.has_ended.set(true);
    }

    /// Returns whether the shutdown has ended.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Returns the random number that distinguishes this run of the process from earlier ones.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the next request identifier.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        RequestId {
            incarnation: self.incarnation,
            sequence,
        }
    }

    /// Returns the latest configuration, or `None` if there is none or it is too old to act on.
    #[must_use]
    pub fn fresh_configuration(&self, now: ClockTime) -> Option<Arc<ServingConfiguration>> {
        let fresh = self.state.freshness.borrow().is_fresh(now);
        let serving = self.state.serving.borrow();
        serving.as_ref().filter(|_| fresh).map(Arc::clone)
    }

    /// Returns the latest configuration regardless of its age, or `None` before the first read.
    #[must_use]
    pub fn latest_configuration(&self) -> Option<Arc<ServingConfiguration>> {
        self.state.serving.borrow().as_ref().map(Arc::clone)
    }

    /// Returns whether the load balancer should send requests to this host, which needs a recent
    /// configuration and the workers for them.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let serves = self.fresh_configuration(self.clock.now()).is_some();
        serves && self.state.workers_known.get() && !self.stopping.is_stopped()
    }

    /// Returns the limits on requests and connections of callers; the defaults before the first
    /// read.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        let serving = self.state.serving.borrow();
        serving
            .as_ref()
            .map_or_else(CallerLimits::default, |serving| serving.limits)
    }

    /// Returns the number of live hosts, this one included.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.members.alive_count()
    }

    /// Records a request to a service in its retry budget and in that of its hedges.
    pub fn count_request(&self, now: ClockTime, service: &ServiceName) {
        self.hedges.borrow_mut().record_request(service);
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry from the budget of a service; returns false if there is none left.
    #[must_use]
    pub fn take_retry(&self, now: ClockTime, service: &ServiceName) -> bool {
        let hosts = self.host_count();
        self.with_retry_budget(service, |budget| budget.take(now, hosts))
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.state.retry_budgets.borrow_mut();
        let bounds = self.settings.bounds.retry_bounds();
        let budget = budgets.entry(service.clone());
        act(budget.or_insert_with(|| RetryBudget::new(bounds)))
    }

    /// Calls a function with the quota of a workspace; returns `None` if it has no quota.
    pub fn with_quota<T>(
        &self,
        workspace: &WorkspaceName,
        act: impl FnOnce(&mut QuotaBucket) -> T,
    ) -> Option<T> {
        self.state.quotas.borrow_mut().get_mut(workspace).map(act)
    }

    /// Applies a configuration if its version is higher than the current one; returns whether it
    /// was applied.
    pub fn apply_configuration(&self, configuration: Arc<ServingConfiguration>) -> bool {
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
        let mut limited = BTreeSet::new();
        let workspaces = configuration.workspaces.iter();
        let workspaces = workspaces.flat_map(WorkspaceTable::iter);
        for (name, workspace) in workspaces {
            let Some(bounds) = workspace.quota else {
                continue;
            };
            limited.insert(name.clone());
            if let Some(quota) = quotas.get_mut(name) {
                quota.set_bounds(bounds);
            } else {
                let tolerance = self.settings.bounds.quota_tolerance();
                let quota = QuotaBucket::new(bounds, tolerance, now);
                quotas.insert(name.clone(), quota);
            }
        }
        quotas.retain(|name, _| limited.contains(name));
    }
}
