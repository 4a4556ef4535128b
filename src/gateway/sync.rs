//! What a gateway host knows of the platform's store: read by itself, or by another host for many.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::host::GatewayHost;
use super::store::FleetStore;
use super::store::StoreError;
use crate::cell::CellId;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::roster::RosterUpdate;
use crate::kernel::roster::StoreRevision;
use crate::kernel::share::AnswerTracker;
use crate::kernel::share::DIRECT_HOSTS;
use crate::kernel::share::PollTable;
use crate::kernel::share::RELAY_POLL_INTERVAL;
use crate::kernel::share::STATE_POLL_INTERVAL;
use crate::kernel::share::SourceView;
use crate::kernel::share::StateSource;
use crate::log_event;
use crate::metrics::CallOutcome;
use crate::wire::LinkMessage;
use crate::wire::StatePoll;
use crate::wire::StateUpdate;

/// The name by which the hosts that share a cell choose the one that reads for all.
const READER_ROLE: &str = "store-reader";

/// The longest time for which a reader's read of the configuration waits for a change.
const READER_WAIT: Duration = Duration::from_millis(250);

/// The time between two reads of the workers.
const WORKER_INTERVAL: Duration = Duration::from_millis(800);

/// The time after a failed call before the next one.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// The longest time after failed calls before the next one.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// What a host has asked others and others have asked it.
#[derive(Debug, Default)]
pub struct SharedState {
    questions: RefCell<PollTable<StatePoll>>,
    answers: RefCell<AnswerTracker>,
    /// The host whose roster was last taken over, and the state of that roster.
    source: RefCell<Option<(HostName, u64)>>,
    /// The moment as of which the own roster holds.
    roster_at: Cell<ClockTime>,
    /// Wakes the next question when another host told of news.
    news: Notify,
}

/// A host's own reads of the store.
struct StoreReads {
    host: Rc<GatewayHost>,
    store: Rc<dyn FleetStore>,
    configuration: Option<StoreRevision>,
    workers: Option<StoreRevision>,
    workers_read: Option<ClockTime>,
    pause: Duration,
}

/// Keeps a host's configuration and workers up to date, until the process ends.
pub async fn follow_store(host: Rc<GatewayHost>, store: Rc<dyn FleetStore>) {
    let mut reads = StoreReads {
        host: Rc::clone(&host),
        store,
        configuration: None,
        workers: None,
        workers_read: None,
        pause: FAILURE_PAUSE,
    };
    reads.read(Duration::ZERO).await;
    loop {
        let roles = ReaderRoles::of(&host);
        let source = roles.view(&host).source();
        let interval = if roles.is_relay(&host) {
            RELAY_POLL_INTERVAL
        } else {
            STATE_POLL_INTERVAL
        };
        match source {
            StateSource::Store => reads.read(READER_WAIT).await,
            StateSource::Reader(name) | StateSource::Relay(name) => {
                ask(&host, name);
                let news = host.shared.news.notified();
                // Without news the next question comes when it is due.
                let _ = actix_rt::time::timeout(interval, news).await;
                let now = host.clock.now();
                let answers = &host.shared.answers;
                let overdue = answers.borrow().is_overdue(now, source.timeout());
                if overdue {
                    reads.read(Duration::ZERO).await;
                }
            }
        }
    }
}

/// The hosts that hear first what the store holds.
struct ReaderRoles {
    /// The host that reads for all that share a cell with this one.
    reader: Option<HostName>,
    /// The host that asks the reader for the others of this data centre.
    relay: Option<HostName>,
}

impl ReaderRoles {
    fn of(host: &GatewayHost) -> Self {
        let configuration = host.state.cell_configuration();
        let own = &host.settings.datacenter;
        let span = host.settings.cells;
        let home = span.home(&configuration, own);
        let within = |datacenter: &_| span.home(&configuration, datacenter) == home;
        Self {
            reader: first_of(host, home, within),
            relay: first_of(host, own, |datacenter| datacenter == own),
        }
    }

    fn view<'a>(&'a self, host: &'a GatewayHost) -> SourceView<'a> {
        let reader = self.reader.as_ref();
        let place = reader.and_then(|reader| host.members.datacenter(reader));
        SourceView {
            own: &host.settings.host,
            hosts: host.host_count(),
            reader,
            reader_near: place.as_ref() == Some(&host.settings.datacenter),
            relay: self.relay.as_ref(),
        }
    }

    fn is_relay(&self, host: &GatewayHost) -> bool {
        let many = host.host_count() > DIRECT_HOSTS;
        many && self.relay.as_ref() == Some(&host.settings.host)
    }
}

fn first_of(
    host: &GatewayHost,
    datacenter: &DatacenterName,
    within: impl Fn(&DatacenterName) -> bool,
) -> Option<HostName> {
    let cell = CellId {
        service: READER_ROLE.parse().ok()?,
        datacenter: datacenter.clone(),
    };
    host.members.brokers(&cell, within).first
}

fn ask(host: &GatewayHost, reader: &HostName) {
    let number = host
        .shared
        .answers
        .borrow_mut()
        .record_poll(host.clock.now());
    let source = host.shared.source.borrow();
    let known = source.as_ref().filter(|(name, _)| name == reader);
    let question = StatePoll {
        number,
        version: host.newest().map_or(0, |newest| newest.version),
        roster: known.map_or(0, |(_, roster)| *roster),
    };
    let sent = host.links.send(reader, LinkMessage::StateWanted(question));
    if sent.is_err() {
        host.members.dial(reader);
    }
}

/// Notes another host's question, which the next reads answer.
pub fn asked(host: &GatewayHost, from: &HostName, question: StatePoll) {
    let now = host.clock.now();
    let mut questions = host.shared.questions.borrow_mut();
    questions.record(now, from.clone(), question);
}

/// Takes over what another host has read, and passes it on to the hosts that ask this one.
pub fn learned(host: &GatewayHost, from: &HostName, news: StateUpdate) {
    let mut change = StateChange {
        configuration: news.configuration.is_some_and(|newer| host.apply(newer)),
        workers: false,
    };
    let Some(number) = news.number else {
        tell_followers(host, change);
        host.shared.news.notify_one();
        return;
    };
    let asked = host.shared.answers.borrow_mut().record_answer(number);
    let Some(asked) = asked else {
        tell_followers(host, change);
        return;
    };
    host.state.freshness.borrow_mut().confirmed(asked);
    let newer = asked > host.shared.roster_at.get();
    if let Some(present) = news.workers.filter(|_| newer) {
        host.shared.roster_at.set(asked);
        change.workers = host.apply_workers(RosterUpdate {
            complete: true,
            present,
            ..RosterUpdate::default()
        });
        *host.shared.source.borrow_mut() = Some((from.clone(), news.roster));
    }
    tell(host, asked, change);
}

/// What a read, or an answer of another host, brought.
#[derive(Clone, Copy, Debug, Default)]
struct StateChange {
    configuration: bool,
    workers: bool,
}

/// Answers the questions that came before the time as of which this host knows the store, and tells
/// all who asked lately of news.
fn tell(host: &GatewayHost, begin: ClockTime, change: StateChange) {
    let answered = host.shared.questions.borrow_mut().take_answered_by(begin);
    let roster = host.state.roster_state();
    for (name, question) in answered {
        let newest = host.newest();
        let news = StateUpdate {
            number: Some(question.number),
            configuration: newest.filter(|newest| newest.version > question.version),
            workers: (question.roster != roster).then(|| host.state.known_workers()),
            roster,
        };
        // A host that misses the answer asks again.
        let _ = host.links.send(&name, LinkMessage::State(Box::new(news)));
    }
    tell_followers(host, change);
}

/// Tells all who asked lately of news; they may be held up on the way, so those who hear of them ask
/// for the workers.
fn tell_followers(host: &GatewayHost, change: StateChange) {
    if !change.configuration && !change.workers {
        return;
    }
    let news = StateUpdate {
        number: None,
        configuration: host.newest().filter(|_| change.configuration),
        workers: None,
        roster: host.state.roster_state(),
    };
    let mut questions = host.shared.questions.borrow_mut();
    for name in questions.subscribers(host.clock.now()) {
        let news = Box::new(news.clone());
        let _ = host.links.send(name, LinkMessage::State(news));
    }
}

impl StoreReads {
    /// Reads what changed, waiting for a change of the configuration for the time at most, and tells
    /// the hosts that asked.
    async fn read(&mut self, wait: Duration) {
        let begin = self.host.clock.now();
        match self.read_all(begin, wait).await {
            Ok(change) => {
                self.pause = FAILURE_PAUSE;
                tell(&self.host, begin, change);
            }
            Err(error) => {
                let text = error.to_string();
                log_event!(self.host.log, LogEvent::PlatformFailed, "error" => text);
                // Hosts must not call in step.
                let pause = self.pause.mul_f64(rand::random_range(0.5..=1.0));
                actix_rt::time::sleep(pause).await;
                self.pause = (self.pause * 2).min(MAX_FAILURE_PAUSE);
            }
        }
    }

    fn count(&self, call: &'static str, answered: bool) {
        let outcome = if answered {
            CallOutcome::Answered
        } else {
            CallOutcome::Failed
        };
        self.host.metrics.platform_called(call, outcome);
    }

    async fn read_all(
        &mut self,
        begin: ClockTime,
        wait: Duration,
    ) -> Result<StateChange, StoreError> {
        let mut change = StateChange {
            configuration: self.read_configuration(begin, wait).await?,
            workers: false,
        };
        let now = self.host.clock.now();
        let due = self
            .workers_read
            .is_none_or(|read| now.since(read) >= WORKER_INTERVAL);
        if due {
            self.workers_read = Some(now);
            change.workers = self.read_workers().await?;
        }
        Ok(change)
    }

    async fn read_configuration(
        &mut self,
        begin: ClockTime,
        wait: Duration,
    ) -> Result<bool, StoreError> {
        let read = self.store.configuration(self.configuration, wait).await;
        self.count("configuration", read.is_ok());
        self.configuration = next_revision(&read, |reading| reading.revision, self.configuration);
        let configuration = read?.configuration;
        let changed = configuration.is_some_and(|newer| self.host.apply(Arc::new(newer)));
        self.host.state.freshness.borrow_mut().confirmed(begin);
        Ok(changed)
    }

    async fn read_workers(&mut self) -> Result<bool, StoreError> {
        let begin = self.host.clock.now();
        let read = self.store.workers(self.workers).await;
        self.count("workers", read.is_ok());
        self.workers = next_revision(&read, |reading| reading.revision, self.workers);
        match read {
            Ok(reading) => {
                self.host.shared.roster_at.set(begin);
                // What another host told before is no longer what this one knows.
                *self.host.shared.source.borrow_mut() = None;
                Ok(self.host.apply_workers(reading))
            }
            Err(error) => {
                if !matches!(error, StoreError::HistoryGone) {
                    self.host.state.roster.borrow_mut().store_unavailable();
                }
                Err(error)
            }
        }
    }
}

/// Returns the revision to read on from; after a loss of history everything is read again.
fn next_revision<T>(
    read: &Result<T, StoreError>,
    revision: impl Fn(&T) -> StoreRevision,
    before: Option<StoreRevision>,
) -> Option<StoreRevision> {
    match read {
        Ok(reading) => Some(revision(reading)),
        Err(StoreError::HistoryGone) => None,
        Err(_) => before,
    }
}
