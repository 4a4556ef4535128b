//! The state that the tasks of one host share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use slog::Logger;

use crate::activity::ActivitySource;
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

/// A configuration version, with the rules and the workspace keys compiled from it.
#[derive(Debug)]
pub struct AppliedConfiguration {
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// The compiled placement rules; `None` if the configuration has no tiers or invalid rules.
    pub rules: Option<PlacementRules>,
    /// The workspaces by the digest of their key, in lower-case hexadecimal.
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
    /// Returns the workspace with the given workspace key; `None` if there is none.
    ///
    /// The lookup compares digests, so its duration reveals nothing about the configured keys.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&WorkspaceName> {
        self.workspaces.get(&KeyDigest::of(key).to_string())
    }
}

/// The state that the tasks of one host share.
pub struct HostContext {
    /// The settings of this host.
    pub settings: Rc<HostSettings>,
    /// The monotonic clock of this process.
    pub clock: ProcessClock,
    /// The logger for events of this host.
    pub log: Logger,
    /// The metrics of this host.
    pub metrics: MetricSet,
    /// The role that holds, distributes and changes the configuration in force.
    pub configuration_agent: Rc<ConfigurationAgent>,
    /// The membership of hosts.
    pub members: Rc<MemberService>,
    /// The links to other hosts.
    pub links: Rc<LinkSet>,
    /// The cells: asks for slots, and the brokers that run on this host.
    pub cells: Rc<CellService>,
    /// The claims of non-idempotent requests.
    pub claims: ClaimService,
    /// The client of the platform's table, object store and host list.
    pub platform: PlatformClient,
    /// The records of this host's requests.
    pub journal: RefCell<RequestJournal>,
    /// The worker crashes attributed to requests, by content digest.
    pub crashes: Rc<SharedCrashRegister>,
    /// The configuration that this host applied last.
    pub applied: RefCell<Rc<AppliedConfiguration>>,
    /// The operators' queries to other hosts that wait for answers.
    pub queries: QueryTable,
    /// The workers that are leaving according to their own report or the host list.
    pub leaving: RefCell<BTreeSet<WorkerName>>,
    /// The signal that the graceful shutdown of this host has begun, which makes it not ready.
    pub stopping: StopSignal,
    /// A random number chosen at process start, part of the identifiers of requests.
    pub incarnation: u64,
    /// The sequence number of the last request.
    pub sequence: Cell<u64>,
}

impl fmt::Debug for HostContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostContext")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl ActivitySource for HostContext {
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

    /// Returns a new request identifier.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        RequestId {
            incarnation: self.incarnation,
            sequence,
        }
    }

    /// Returns the configuration that this host applied last.
    #[must_use]
    pub fn applied(&self) -> Rc<AppliedConfiguration> {
        Rc::clone(&self.applied.borrow())
    }

    /// Returns whether the configuration is known to be in force, so that new work may be dispatched.
    #[must_use]
    pub fn may_take_work(&self, now: ClockTime) -> bool {
        self.configuration_agent.may_take_work(now)
    }

    /// Returns whether load balancers should send new requests to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_rules = self.applied().rules.is_some();
        has_rules && !self.stopping.is_stopped() && self.may_take_work(self.clock.now())
    }

    /// Returns the address of a worker; `None` if it is draining, leaving or not configured.
    #[must_use]
    pub fn worker_address(&self, worker: &WorkerName) -> Option<SocketAddr> {
        let applied = self.applied();
        let spec = applied.configuration.workers.get(worker)?;
        let takes_work = spec.state == WorkerState::Active;
        let leaving = self.leaving.borrow().contains(worker);
        (takes_work && !leaving).then_some(spec.address)
    }

    /// Records that a worker failed while it ran a request, and reports the crash to other hosts.
    pub fn record_worker_crash(&self, worker: &WorkerName, digest: u64) {
        log_event!(self.log, LogEvent::WorkerFailed, "worker" => worker.to_string());
        if let Some(spec) = self.applied().configuration.workers.get(worker) {
            self.metrics.worker_failed(&spec.service);
        }
        self.crashes.record_crash(digest, worker);
    }

    /// Logs the end of a request and records it in the journal and the metrics.
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
