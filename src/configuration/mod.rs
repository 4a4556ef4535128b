//! The configuration agent, which obtains, distributes, applies and changes the configuration in
//! force.

mod audit;
mod change;
mod distribution;
mod error;
mod history;
mod store;
mod table_poll;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::unix_millis;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::configuration::Configuration;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::rollout::ChangeProgress;
use crate::kernel::rollout::HostReport;
use crate::kernel::rollout::Rollout;
use crate::kernel::rollout::RolloutAction;
use crate::kernel::rollout::RolloutTimes;
use crate::link::LinkSet;
use crate::log_event;
use crate::member::ClockSource;
use crate::member::MemberService;
use crate::wire::Heartbeat;
use crate::wire::LinkMessage;
use change::WrittenVersion;
use change::read_audit;
use change::read_current;
use change::write_change;
use history::DeltaHistory;

pub use crate::kernel::rollout::UnconfirmedMember;
pub use audit::AuditRecord;
pub use audit::ChangedParts;
pub use audit::StoredConfiguration;
pub use audit::changed_parts;
pub use change::ChangeRequest;
pub use error::ChangeWriteError;
pub use store::CURRENT_KEY;
pub use store::ConfigurationStore;
pub use store::ConfigurationStoreError;
pub use store::StoreRow;
pub use store::VersionWrite;
pub use store::WriteOutcome;
pub use store::audit_key;

/// The interval at which the rollout is checked for due actions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of an operator's change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeOutcome {
    /// The version that the change created.
    pub version: ConfigVersion,
    /// The version that it replaced.
    pub before: ConfigVersion,
    /// Whether the version is accepted or only recorded.
    pub state: ChangeConfirmation,
}

/// The state of a change when the operator gets the answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeConfirmation {
    /// The version is in force on every host that takes work.
    Accepted,
    /// The version is written to the platform's table and will come into force, but is not
    /// confirmed everywhere.
    Recorded {
        /// The data centres and hosts that have not confirmed the version; empty if only the
        /// acceptance delay has not passed or if the rollout reported no progress.
        unconfirmed: Vec<UnconfirmedMember>,
    },
}

/// A function that is called with each configuration that comes into force on this host.
pub type ApplyListener = Rc<dyn Fn(&Arc<Configuration>)>;

/// Holds the configuration in force on this host and distributes it to other hosts.
pub struct ConfigurationAgent {
    datacenter: DatacenterName,
    links: Rc<LinkSet>,
    members: Rc<MemberService>,
    store: Rc<dyn ConfigurationStore>,
    clock: ClockSource,
    log: Logger,
    rollout: RefCell<Rollout>,
    current: watch::Sender<Arc<Configuration>>,
    history: RefCell<DeltaHistory>,
    listeners: RefCell<Vec<ApplyListener>>,
    pending_changes: RefCell<BTreeMap<ConfigVersion, oneshot::Sender<ChangeProgress>>>,
    /// Whether the rollout has requested a read of the complete configuration from the
    /// platform's table.
    fetch_requested: Cell<bool>,
    /// Whether the host could take no new work at the last tick, so that the change to that state
    /// is logged once.
    stale: Cell<bool>,
}

impl fmt::Debug for ConfigurationAgent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigurationAgent")
            .field("datacenter", &self.datacenter)
            .field("version", &self.current.borrow().version)
            .finish_non_exhaustive()
    }
}

impl ConfigurationAgent {
    /// Starts to obtain the configuration from the platform's table and from other hosts.
    #[must_use]
    pub fn start(
        datacenter: DatacenterName,
        links: Rc<LinkSet>,
        members: Rc<MemberService>,
        store: Rc<dyn ConfigurationStore>,
        clock: ClockSource,
        log: &Logger,
    ) -> Rc<Self> {
        let now = clock();
        let rollout = Rollout::new(datacenter.clone(), RolloutTimes::default(), now);
        let agent = Rc::new(Self {
            datacenter,
            links,
            members,
            store,
            clock,
            log: log.clone(),
            rollout: RefCell::new(rollout),
            current: watch::Sender::new(Arc::new(Configuration::default())),
            history: RefCell::default(),
            listeners: RefCell::default(),
            pending_changes: RefCell::default(),
            fetch_requested: Cell::new(false),
            stale: Cell::new(true),
        });
        let this = Rc::downgrade(&agent);
        let initial_report = agent.rollout.borrow().report(now);
        agent.members.set_report(Rc::new(move |now| {
            let agent = this.upgrade();
            agent.map_or(initial_report, |agent| agent.rollout.borrow().report(now))
        }));
        actix_rt::spawn(Rc::clone(&agent).run_ticks());
        actix_rt::spawn(Rc::clone(&agent).run_table_poll());
        agent
    }

    /// Returns the configuration in force on this host.
    #[must_use]
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.current.borrow())
    }

    /// Returns a receiver that is notified when a configuration comes into force on this host.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.current.subscribe()
    }

    /// Returns the highest version that this host has seen, applied or not.
    #[must_use]
    pub fn known_version(&self) -> ConfigVersion {
        self.rollout.borrow().report((self.clock)()).known
    }

    /// Registers a function that is called with each configuration as it comes into force, before
    /// the version is reported to other hosts.
    pub fn on_apply(&self, listener: ApplyListener) {
        self.listeners.borrow_mut().push(listener);
    }

    /// Returns whether new work may be taken; to be checked right before each dispatch.
    #[must_use]
    pub fn may_take_work(&self, now: ClockTime) -> bool {
        self.rollout.borrow().may_take_work(now)
    }

    /// Writes a change and waits until it is accepted or [`CHANGE_DEADLINE`] has passed since the
    /// call.
    ///
    /// The wait is longer if the platform takes more than that time to answer the write.
    ///
    /// # Errors
    ///
    /// Returns an error if the change was not written, or if it is unknown whether it was.
    ///
    /// [`CHANGE_DEADLINE`]: crate::kernel::rollout::CHANGE_DEADLINE
    pub async fn change(
        &self,
        request: ChangeRequest,
        apply: impl Fn(&Configuration) -> Result<Configuration, String>,
    ) -> Result<ChangeOutcome, ChangeWriteError> {
        let requested_at = (self.clock)();
        let written = write_change(self.store.as_ref(), &request, unix_millis(), apply).await?;
        let WrittenVersion {
            before,
            configuration,
        } = written;
        let version = configuration.version;
        log_event!(
            self.log,
            LogEvent::ChangeRecorded,
            "version" => version.0,
            "operator" => request.operator.as_str(),
        );
        let (sender, progress) = oneshot::channel();
        self.pending_changes.borrow_mut().insert(version, sender);
        self.apply_newer(&Arc::new(configuration));
        let actions = self
            .rollout
            .borrow_mut()
            .track_change((self.clock)(), requested_at, version);
        self.perform(actions);
        let progress = progress.await;
        let state = progress.map_or_else(|_closed| unreported_state(), change_state);
        match state {
            ChangeConfirmation::Accepted => {
                log_event!(self.log, LogEvent::ChangeAccepted, "version" => version.0);
            }
            ChangeConfirmation::Recorded { .. } => {
                log_event!(self.log, LogEvent::ChangeLacking, "version" => version.0);
            }
        }
        Ok(ChangeOutcome {
            version,
            before,
            state,
        })
    }

    /// Reads up to `limit` of the newest audit records, newest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the table does not answer or a row can't be parsed.
    pub async fn audit_records(
        &self,
        limit: usize,
    ) -> Result<Vec<AuditRecord>, ConfigurationStoreError> {
        let store = self.store.as_ref();
        let (stored, _) = read_current(store).await?;
        let mut version = stored.configuration.version.0;
        let mut records = Vec::new();
        while version > 0 && records.len() < limit {
            records.extend(read_audit(store, ConfigVersion(version)).await?);
            version -= 1;
        }
        Ok(records)
    }

    /// Processes a message from another host; messages for other modules are ignored.
    pub fn receive(&self, from: &HostName, message: &LinkMessage) {
        match message {
            LinkMessage::Heartbeat(heartbeat) => self.receive_heartbeat(from, heartbeat),
            LinkMessage::Configuration(configuration) => self.apply_newer(configuration),
            LinkMessage::ConfigurationDeltas(deltas) => self.apply_deltas(deltas),
            LinkMessage::ConfigurationWanted(version) => self.send_newer(from, *version),
            _ => {}
        }
    }

    fn receive_heartbeat(&self, from: &HostName, heartbeat: &Heartbeat) {
        let report = HostReport {
            datacenter: heartbeat.datacenter.clone(),
            applied: heartbeat.applied,
            known: heartbeat.known,
            confirmed: heartbeat.confirmed,
            fresh: heartbeat.fresh,
            echo: heartbeat.echo,
            stopping: heartbeat.stopping,
        };
        let now = (self.clock)();
        let actions = self
            .rollout
            .borrow_mut()
            .heartbeat_received(now, from, report);
        self.perform(actions);
    }

    fn perform(&self, actions: Vec<RolloutAction>) {
        for action in actions {
            match action {
                RolloutAction::Announce => self.members.send_heartbeats(),
                RolloutAction::FetchFrom(host) => {
                    let applied = self.rollout.borrow().applied();
                    // If the request is lost, the rollout starts another fetch from a different
                    // source.
                    let _ = self
                        .links
                        .send(&host, LinkMessage::ConfigurationWanted(applied));
                }
                RolloutAction::FetchFromTable => self.fetch_requested.set(true),
                RolloutAction::Report { version, progress } => {
                    let sender = self.pending_changes.borrow_mut().remove(&version);
                    // The operator's connection may be closed.
                    let _ = sender.map(|sender| sender.send(progress));
                }
            }
        }
    }

    async fn run_ticks(self: Rc<Self>) {
        loop {
            self.tick();
            sleep(TICK_INTERVAL).await;
        }
    }

    fn tick(&self) {
        let now = (self.clock)();
        let sole_host = self.members.is_sole_host();
        let mut rollout = self.rollout.borrow_mut();
        rollout.set_sole_host(sole_host);
        let actions = rollout.tick(now);
        let stale = !rollout.may_take_work(now);
        drop(rollout);
        if stale && !self.stale.replace(stale) {
            log_event!(self.log, LogEvent::HostStale);
        }
        self.stale.set(stale);
        self.perform(actions);
    }
}

fn change_state(progress: ChangeProgress) -> ChangeConfirmation {
    match progress {
        ChangeProgress::Accepted => ChangeConfirmation::Accepted,
        ChangeProgress::Recorded { unconfirmed } => ChangeConfirmation::Recorded { unconfirmed },
    }
}

/// Returns the state of a written change of which the rollout reported no progress.
fn unreported_state() -> ChangeConfirmation {
    ChangeConfirmation::Recorded {
        unconfirmed: Vec::new(),
    }
}
