//! The configuration in force on this host: learning, spreading and changing it.

mod audit;
mod change;
mod error;
mod history;
mod spread;
mod store;
mod table;

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
pub use error::ChangeError;
pub use store::CURRENT_KEY;
pub use store::ConfigurationStore;
pub use store::StoreError;
pub use store::StoreRow;
pub use store::VersionWrite;
pub use store::WriteOutcome;
pub use store::audit_key;

/// The time between two looks at the state of the rollout.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How an operator's change ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeOutcome {
    /// The version that the change made.
    pub version: ConfigVersion,
    /// The version before.
    pub before: ConfigVersion,
    /// How far the version has come.
    pub state: ChangeState,
}

/// How far a change has come when the operator is answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeState {
    /// The version is in force wherever work is taken.
    Accepted,
    /// The version is in the table and will come into force, but was not yet confirmed everywhere.
    Recorded {
        /// The data centres and hosts that lack it; empty if only the wait for silent hosts is not
        /// over.
        lacking: Vec<UnconfirmedMember>,
    },
}

/// Called with each configuration that comes into force on this host.
pub type ApplyListener = Rc<dyn Fn(&Arc<Configuration>)>;

/// Holds the configuration in force.
pub struct Keeper {
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
    waiting: RefCell<BTreeMap<ConfigVersion, oneshot::Sender<ChangeProgress>>>,
    fetching: Cell<bool>,
    stale: Cell<bool>,
}

impl fmt::Debug for Keeper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keeper")
            .field("datacenter", &self.datacenter)
            .field("version", &self.current.borrow().version)
            .finish_non_exhaustive()
    }
}

impl Keeper {
    /// Starts to learn the configuration from the table and from other hosts.
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
        let keeper = Rc::new(Self {
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
            waiting: RefCell::default(),
            fetching: Cell::new(false),
            stale: Cell::new(true),
        });
        let this = Rc::downgrade(&keeper);
        let own = keeper.rollout.borrow().report(now);
        keeper.members.set_report(Rc::new(move |now| {
            let keeper = this.upgrade();
            keeper.map_or(own, |keeper| keeper.rollout.borrow().report(now))
        }));
        actix_rt::spawn(Rc::clone(&keeper).run_ticks());
        actix_rt::spawn(Rc::clone(&keeper).run_table());
        keeper
    }

    /// Returns the configuration in force on this host.
    #[must_use]
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.current.borrow())
    }

    /// Returns a receiver that sees each configuration that comes into force on this host.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.current.subscribe()
    }

    /// Returns the highest version that this host knows to exist.
    #[must_use]
    pub fn known_version(&self) -> ConfigVersion {
        self.rollout.borrow().report((self.clock)()).known
    }

    /// Registers a function that is called with each configuration as it comes into force, before
    /// any other host hears that it is.
    pub fn on_apply(&self, listener: ApplyListener) {
        self.listeners.borrow_mut().push(listener);
    }

    /// Returns whether new work may be taken; to be asked right before each dispatch.
    #[must_use]
    pub fn may_take_work(&self, now: ClockTime) -> bool {
        self.rollout.borrow().may_take_work(now)
    }

    /// Makes a change and waits until it is accepted, at most about seven seconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the change was not applied, or if it is unknown whether it was.
    pub async fn change(
        &self,
        request: ChangeRequest,
        apply: impl Fn(&Configuration) -> Result<Configuration, String>,
    ) -> Result<ChangeOutcome, ChangeError> {
        let asked = (self.clock)();
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
        self.waiting.borrow_mut().insert(version, sender);
        self.adopt(&Arc::new(configuration));
        let actions = self
            .rollout
            .borrow_mut()
            .track_change((self.clock)(), asked, version);
        self.perform(actions);
        let progress = progress.await;
        let state = progress.map_or_else(|_closed| unwatched(), change_state);
        match state {
            ChangeState::Accepted => {
                log_event!(self.log, LogEvent::ChangeAccepted, "version" => version.0);
            }
            ChangeState::Recorded { .. } => {
                log_event!(self.log, LogEvent::ChangeLacking, "version" => version.0);
            }
        }
        Ok(ChangeOutcome {
            version,
            before,
            state,
        })
    }

    /// Reads the newest audit records, newest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the table does not answer.
    pub async fn changes(&self, limit: usize) -> Result<Vec<AuditRecord>, StoreError> {
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

    /// Takes a message from another host; messages of other modules are ignored.
    pub fn receive(&self, from: &HostName, message: &LinkMessage) {
        match message {
            LinkMessage::Heartbeat(heartbeat) => self.receive_heartbeat(from, heartbeat),
            LinkMessage::Configuration(configuration) => self.adopt(configuration),
            LinkMessage::ConfigurationDeltas(deltas) => self.apply_deltas(deltas),
            LinkMessage::ConfigurationWanted(version) => self.offer(from, *version),
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
                    // A lost question is asked again elsewhere.
                    let _ = self
                        .links
                        .send(&host, LinkMessage::ConfigurationWanted(applied));
                }
                RolloutAction::FetchFromTable => self.fetching.set(true),
                RolloutAction::Report { version, progress } => {
                    let waiting = self.waiting.borrow_mut().remove(&version);
                    // The operator may have gone.
                    let _ = waiting.map(|waiting| waiting.send(progress));
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
        let alone = self.members.is_alone();
        let mut rollout = self.rollout.borrow_mut();
        rollout.set_sole_host(alone);
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

fn change_state(progress: ChangeProgress) -> ChangeState {
    match progress {
        ChangeProgress::Accepted => ChangeState::Accepted,
        ChangeProgress::Recorded {
            unconfirmed: lacking,
        } => ChangeState::Recorded { lacking },
    }
}

fn unwatched() -> ChangeState {
    ChangeState::Recorded {
        lacking: Vec::new(),
    }
}
