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
use crate::kernel::name::HostName;
use crate::kernel::name::ServiceName;
use crate::kernel::roster::StoreRevision;
use crate::kernel::roster::WorkerReading;
use crate::kernel::share::AnswerWatch;
use crate::kernel::share::QUESTION_INTERVAL;
use crate::kernel::share::QuestionTable;
use crate::log_event;
use crate::wire::LinkMessage;
use crate::wire::StateNews;
use crate::wire::StateQuestion;

/// The name by which the hosts that share a cell choose the one that reads for all.
const READER_ROLE: &str = "store-reader";

/// The longest time for which a reader's read of the configuration waits for a change.
const READER_WAIT: Duration = Duration::from_millis(400);

/// The time between two reads of the workers.
const WORKER_INTERVAL: Duration = Duration::from_millis(800);

/// The time after a failed call before the next one.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// The longest time after failed calls before the next one.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// What a host has asked others and others have asked it.
#[derive(Debug, Default)]
pub struct SharedState {
    questions: RefCell<QuestionTable<StateQuestion>>,
    answers: RefCell<AnswerWatch>,
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
        match reader(&host) {
            Some(reader) if reader != host.settings.host => {
                ask(&host, &reader);
                let news = host.shared.news.notified();
                // Without news the next question comes when it is due.
                let _ = actix_rt::time::timeout(QUESTION_INTERVAL, news).await;
                let now = host.clock.now();
                if host.shared.answers.borrow().is_overdue(now) {
                    reads.read(Duration::ZERO).await;
                }
            }
            _ => reads.read(READER_WAIT).await,
        }
    }
}

/// Returns the host that reads for all that share a cell with this one.
fn reader(host: &GatewayHost) -> Option<HostName> {
    let configuration = host.state.cell_configuration();
    let own = &host.settings.datacenter;
    let span = host.settings.cells;
    let service: ServiceName = READER_ROLE.parse().ok()?;
    let cell = CellId {
        service,
        datacenter: span.home(&configuration, own).clone(),
    };
    let within = |datacenter: &_| *span.home(&configuration, datacenter) == cell.datacenter;
    host.members.brokers(&cell, within).first
}

fn ask(host: &GatewayHost, reader: &HostName) {
    let number = host.shared.answers.borrow_mut().ask(host.clock.now());
    let source = host.shared.source.borrow();
    let known = source.as_ref().filter(|(name, _)| name == reader);
    let question = StateQuestion {
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
pub fn asked(host: &GatewayHost, from: &HostName, question: StateQuestion) {
    let now = host.clock.now();
    let mut questions = host.shared.questions.borrow_mut();
    questions.ask(now, from.clone(), question);
}

/// Takes over what another host has read.
pub fn learned(host: &GatewayHost, from: &HostName, news: StateNews) {
    if let Some(configuration) = news.configuration {
        host.apply(configuration);
    }
    let Some(number) = news.number else {
        host.shared.news.notify_one();
        return;
    };
    let Some(asked) = host.shared.answers.borrow_mut().answered(number) else {
        return;
    };
    host.state.freshness.borrow_mut().confirmed(asked);
    let newer = asked > host.shared.roster_at.get();
    if let Some(present) = news.workers.filter(|_| newer) {
        host.shared.roster_at.set(asked);
        host.apply_workers(WorkerReading {
            complete: true,
            present,
            ..WorkerReading::default()
        });
        *host.shared.source.borrow_mut() = Some((from.clone(), news.roster));
    }
}

impl StoreReads {
    /// Reads what changed, waiting for a change of the configuration for the time at most, and tells
    /// the hosts that asked.
    async fn read(&mut self, wait: Duration) {
        let begin = self.host.clock.now();
        match self.read_all(begin, wait).await {
            Ok(changed) => {
                self.pause = FAILURE_PAUSE;
                self.tell(begin, changed);
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

    async fn read_all(&mut self, begin: ClockTime, wait: Duration) -> Result<bool, StoreError> {
        let mut changed = self.read_configuration(begin, wait).await?;
        let now = self.host.clock.now();
        let due = self
            .workers_read
            .is_none_or(|read| now.since(read) >= WORKER_INTERVAL);
        if due {
            self.workers_read = Some(now);
            changed |= self.read_workers().await?;
        }
        Ok(changed)
    }

    async fn read_configuration(
        &mut self,
        begin: ClockTime,
        wait: Duration,
    ) -> Result<bool, StoreError> {
        let read = self.store.configuration(self.configuration, wait).await;
        self.configuration = next_revision(&read, |reading| reading.revision, self.configuration);
        let configuration = read?.configuration;
        let changed = configuration.is_some();
        if let Some(configuration) = configuration {
            self.host.apply(Arc::new(configuration));
        }
        self.host.state.freshness.borrow_mut().confirmed(begin);
        Ok(changed)
    }

    async fn read_workers(&mut self) -> Result<bool, StoreError> {
        let begin = self.host.clock.now();
        let read = self.store.workers(self.workers).await;
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
                    self.host.state.roster.borrow_mut().store_lost();
                }
                Err(error)
            }
        }
    }

    /// Answers the questions that came before the reads began, and tells all who asked lately of news.
    fn tell(&self, begin: ClockTime, changed: bool) {
        let host = &self.host;
        let mut questions = host.shared.questions.borrow_mut();
        let roster = host.state.roster_state();
        for (name, question) in questions.answered_by(begin) {
            let newest = host.newest();
            let news = StateNews {
                number: Some(question.number),
                configuration: newest.filter(|newest| newest.version > question.version),
                workers: (question.roster != roster).then(|| host.state.known_workers()),
                roster,
            };
            // A host that misses the answer asks again.
            let _ = host.links.send(&name, LinkMessage::State(Box::new(news)));
        }
        if !changed {
            return;
        }
        // News may be held up on the way, so those who hear of them ask for the workers.
        let news = StateNews {
            number: None,
            configuration: host.newest(),
            workers: None,
            roster,
        };
        for name in questions.followers(host.clock.now()) {
            let news = Box::new(news.clone());
            let _ = host.links.send(name, LinkMessage::State(news));
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
