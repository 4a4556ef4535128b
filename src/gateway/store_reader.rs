//! Reads of the platform's store that follow its changes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::document::ConfigurationReading;
use super::host::GatewayHost;
use super::release::StoredOrders;
use super::store::FleetStore;
use super::store::StoreError;
use super::sync::StateChange;
use super::sync::answer_polls;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::roster::RosterUpdate;
use crate::kernel::roster::StoreEra;
use crate::kernel::roster::StoreRevision;
use crate::log_event;
use crate::metrics::CallOutcome;

/// The minimum time between two reads of the workers.
const WORKER_READ_INTERVAL: Duration = Duration::from_millis(800);

/// The initial back-off after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The maximum number of reads that follow at once when the store no longer holds the changes: one
/// for the configuration and one for the workers.
const MAX_COMPLETE_READS: u32 = 2;

/// The maximum back-off after failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The end of a read, from which the next one continues.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct StorePosition {
    revision: StoreRevision,
    era: StoreEra,
}

impl StorePosition {
    /// Checks that a read which continued from the position was made in its era: in another one, the
    /// store may have given its revisions out again.
    fn check<T>(
        before: Option<Self>,
        reading: T,
        position: impl Fn(&T) -> Self,
    ) -> Result<T, StoreError> {
        let era = position(&reading).era;
        match before {
            Some(before) if before.era != era => Err(StoreError::HistoryGone),
            _ => Ok(reading),
        }
    }
}

/// Reads the store for a host.
pub(super) struct StoreReader {
    host: Rc<GatewayHost>,
    store: Rc<dyn FleetStore>,
    /// Where the last read of the configuration ended; `None` if all of it must be read.
    configuration: Option<StorePosition>,
    /// Where the last read of the workers ended; `None` if all of them must be read.
    workers: Option<StorePosition>,
    /// The time of the last read of the workers; `None` before the first.
    workers_read: Option<ClockTime>,
    /// The orders of releases as of the last read of the configuration.
    orders: StoredOrders,
    /// The current back-off.
    retry_delay: Duration,
}

impl StoreReader {
    /// Creates a reader that has read nothing.
    pub(super) fn new(host: Rc<GatewayHost>, store: Rc<dyn FleetStore>) -> Self {
        Self {
            host,
            store,
            configuration: None,
            workers: None,
            workers_read: None,
            orders: StoredOrders::default(),
            retry_delay: RETRY_DELAY,
        }
    }

    /// Reads the changes in the store, waiting up to `wait` for a change of the configuration, and
    /// answers the polls of other hosts. After a failure it sleeps for the back-off.
    pub(super) async fn read(&mut self, wait: Duration) {
        let begin = self.host.clock.now();
        let mut read = self.read_changes(begin, wait).await;
        for _ in 0..MAX_COMPLETE_READS {
            if !matches!(read, Err(StoreError::HistoryGone)) {
                break;
            }
            read = self.read_changes(begin, Duration::ZERO).await;
        }
        match read {
            Ok(change) => {
                self.retry_delay = RETRY_DELAY;
                answer_polls(&self.host, begin, change);
            }
            Err(error) => {
                let text = error.to_string();
                log_event!(self.host.log, LogEvent::PlatformFailed, "error" => text);
                // The jitter keeps the hosts from retrying at the same time.
                let retry_delay = self.retry_delay.mul_f64(rand::random_range(0.5..=1.0));
                actix_rt::time::sleep(retry_delay).await;
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }

    fn count_call(&self, call: &'static str, answered: bool) {
        let outcome = if answered {
            CallOutcome::Answered
        } else {
            CallOutcome::Failed
        };
        self.host.metrics.platform_called(call, outcome);
    }

    async fn read_changes(
        &mut self,
        begin: ClockTime,
        wait: Duration,
    ) -> Result<StateChange, StoreError> {
        let mut change = self.read_configuration(begin, wait).await?;
        let now = self.host.clock.now();
        let due = self
            .workers_read
            .is_none_or(|read| now.since(read) >= WORKER_READ_INTERVAL);
        if due {
            // The next read of the store includes the workers if this one fails.
            self.workers_read = None;
            change.workers = self.read_workers().await?;
            self.workers_read = Some(now);
        }
        change.releases |= self.host.read_releases().await;
        Ok(change)
    }

    async fn read_configuration(
        &mut self,
        begin: ClockTime,
        wait: Duration,
    ) -> Result<StateChange, StoreError> {
        let before = self.configuration;
        let since = before.map(|before| before.revision);
        let read = self.store.configuration(since, wait).await;
        self.count_call("configuration", read.is_ok());
        if read.as_ref().is_err_and(StoreError::is_outage) {
            self.host.state.roster.borrow_mut().store_unavailable();
        }
        let position = |reading: &ConfigurationReading| StorePosition {
            revision: reading.revision,
            era: reading.era,
        };
        let read = read.and_then(|reading| StorePosition::check(before, reading, position));
        self.configuration = next_position(&read, position, before);
        let reading = read?;
        let configuration = reading.configuration;
        let changed =
            configuration.is_some_and(|newer| self.host.apply_configuration(Arc::new(newer)));
        self.host.state.freshness.borrow_mut().record_read(begin);
        let orders = self.orders.apply(reading.orders);
        self.host.releases.set_source_knows(true);
        Ok(StateChange {
            configuration: changed,
            workers: false,
            releases: self.host.apply_orders(orders, reading.era, begin),
        })
    }

    async fn read_workers(&mut self) -> Result<bool, StoreError> {
        let begin = self.host.clock.now();
        let before = self.workers;
        let read = self
            .store
            .workers(before.map(|before| before.revision))
            .await;
        self.count_call("workers", read.is_ok());
        let position = |reading: &RosterUpdate| StorePosition {
            revision: reading.revision,
            era: reading.era,
        };
        let read = read.and_then(|reading| StorePosition::check(before, reading, position));
        self.workers = next_position(&read, position, before);
        match read {
            Ok(reading) => {
                self.host.sync.roster_as_of.set(begin);
                // The roster no longer is the one that another host has sent.
                *self.host.sync.source.borrow_mut() = None;
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

/// Returns the position from which the next read continues; `None` if the store no longer holds the
/// changes, so that everything must be read again.
fn next_position<T>(
    read: &Result<T, StoreError>,
    position: impl Fn(&T) -> StorePosition,
    before: Option<StorePosition>,
) -> Option<StorePosition> {
    match read {
        Ok(reading) => Some(position(reading)),
        Err(StoreError::HistoryGone) => None,
        Err(_) => before,
    }
}
