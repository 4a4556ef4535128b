//! What the tasks of one host share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use slog::Logger;

use crate::cell::CellService;
use crate::claims::ClaimService;
use crate::clock::ProcessClock;
use crate::configuration::ConfigurationAgent;
use crate::crashes::SharedCrashRegister;
use crate::event::LogEvent;
use crate::journal::RequestEnd;
use crate::journal::RequestJournal;
use crate::journal::RequestPhase;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::Configuration;
use crate::kernel::configuration::WorkerState;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::WorkerName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::rule::PlacementRules;
use crate::link::LinkSet;
use crate::log_event;
use crate::member::MemberService;
use crate::metering;
use crate::metrics::MetricSet;
use crate::platform::PlatformClient;
use crate::query::QueryTable;
use crate::server::StopSignal;
use crate::settings::HostSettings;
use crate::settings::KeyDigest;

/// What follows from one configuration version, computed once.
#[derive(Debug)]
pub struct AppliedConfiguration {
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// The compiled rules; `None` while the configuration has no tiers.
    pub rules: Option<PlacementRules>,
    workspaces: BTreeMap<String, WorkspaceName>,
}

impl From<Arc<Configuration>> for AppliedConfiguration {
    fn from(configuration: Arc<Configuration>) -> Self {
        let rules = PlacementRules::try_from(configuration.as_ref()).ok();
        let digests = configuration.workspaces.iter();
        let workspaces = digests
            .map(|(name, spec)| (spec.key_digest.to_lowercase(), name.clone()))
            .collect();
        Self {
            configuration,
            rules,
            workspaces,
        }
    }
}

impl AppliedConfiguration {
    /// Returns the workspace that has the key.
    ///
    /// The look-up compares digests, so its time tells nothing about the keys themselves.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&WorkspaceName> {
        self.workspaces.get(&KeyDigest::of(key).to_string())
    }
}

/// What the tasks of one host share.
pub struct HostContext {
    /// The settings.
    pub settings: Rc<HostSettings>,
    /// The clock.
    pub clock: ProcessClock,
    /// The logger.
    pub log: Logger,
    /// The metrics.
    pub metrics: MetricSet,
    /// The configuration in force and its changes.
    pub configuration_agent: Rc<ConfigurationAgent>,
    /// The other hosts.
    pub members: Rc<MemberService>,
    /// The links to other hosts.
    pub links: Rc<LinkSet>,
    /// The cells.
    pub cells: Rc<CellService>,
    /// The claims of non-idempotent requests.
    pub claims: ClaimService,
    /// The platform.
    pub platform: PlatformClient,
    /// The requests of this host.
    pub journal: RefCell<RequestJournal>,
    /// Requests that may crash workers.
    pub strikes: SharedCrashRegister,
    /// What follows from the configuration in force.
    pub applied: RefCell<Rc<AppliedConfiguration>>,
    /// The questions to other hosts that wait for answers.
    pub queries: QueryTable,
    /// The workers that said, or of whom the host list says, that they are leaving.
    pub leaving: RefCell<BTreeSet<WorkerName>>,
    /// The signal that this host is asked to stop.
    pub draining: StopSignal,
    /// The random number that this process drew when it started.
    pub incarnation: u64,
    /// The last sequence number given to a request.
    pub sequence: Cell<u64>,
}

impl fmt::Debug for HostContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostContext")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl HostContext {
    /// Returns the name of this host.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.settings.host
    }

    /// Returns the data centre of this host.
    #[must_use]
    pub fn datacenter(&self) -> &DatacenterName {
        &self.settings.datacenter
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

    /// Returns what follows from the configuration in force.
    #[must_use]
    pub fn applied(&self) -> Rc<AppliedConfiguration> {
        Rc::clone(&self.applied.borrow())
    }

    /// Returns whether this host may dispatch new work now.
    #[must_use]
    pub fn may_take_work(&self, now: ClockTime) -> bool {
        self.configuration_agent.may_take_work(now)
    }

    /// Returns whether the balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_rules = self.applied().rules.is_some();
        has_rules && !self.draining.is_stopped() && self.may_take_work(self.clock.now())
    }

    /// Returns the address of a worker that may get new work.
    #[must_use]
    pub fn worker_address(&self, worker: &WorkerName) -> Option<SocketAddr> {
        let applied = self.applied();
        let spec = applied.configuration.workers.get(worker)?;
        let takes_work = spec.state == WorkerState::Active;
        let leaving = self.leaving.borrow().contains(worker);
        (takes_work && !leaving).then_some(spec.address)
    }

    /// Records that a worker died while it ran a request, and tells the other hosts.
    pub fn worker_died(&self, worker: &WorkerName, digest: u64) {
        log_event!(self.log, LogEvent::WorkerFailed, "worker" => worker.to_string());
        if let Some(spec) = self.applied().configuration.workers.get(worker) {
            self.metrics.worker_failed(&spec.service);
        }
        self.strikes.record_crash(digest);
    }

    /// Records the end of a request.
    pub fn request_ended(&self, request: RequestId, end: RequestEnd) {
        let id = request.to_string();
        let code = end.code.unwrap_or_default();
        match end.phase {
            RequestPhase::Finished => {
                log_event!(self.log, LogEvent::RequestFinished, "request" => id);
            }
            RequestPhase::Refused => {
                log_event!(self.log, LogEvent::RequestRefused, "request" => id, "code" => code);
            }
            RequestPhase::Abandoned => {
                log_event!(self.log, LogEvent::CallerLeft, "request" => id);
            }
            RequestPhase::Failed | RequestPhase::Waiting | RequestPhase::Running => {
                log_event!(self.log, LogEvent::OutcomeUnknown, "request" => id, "code" => code);
            }
        }
        let mut journal = self.journal.borrow_mut();
        if let Some(record) = journal.end(request, end) {
            metering::request_ended(&self.metrics, record, self.clock.now());
        }
    }
}
