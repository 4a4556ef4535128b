//! What a gateway host reads from the platform's store, again and again.

use std::rc::Rc;
use std::time::Duration;

use super::host::GatewayHost;
use super::store::FleetStore;
use super::store::StoreError;
use crate::event::LogEvent;
use crate::kernel::roster::StoreRevision;
use crate::log_event;

/// The longest time for which a read of the configuration waits for a change.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// The time between two reads of the workers.
const WORKER_INTERVAL: Duration = Duration::from_millis(900);

/// The time after a failed call before the next one.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// The longest time after failed calls before the next one.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// The pauses between calls to a store that fails.
#[derive(Debug)]
struct FailurePause(Duration);

impl FailurePause {
    const fn new() -> Self {
        Self(FAILURE_PAUSE)
    }

    /// Waits longer after each failure in a row; hosts do not call in step.
    async fn wait(&mut self) {
        let pause = self.0.mul_f64(rand::random_range(0.5..=1.0));
        actix_rt::time::sleep(pause).await;
        self.0 = (self.0 * 2).min(MAX_FAILURE_PAUSE);
    }
}

/// Keeps the configuration of a host up to date, until the process ends.
pub async fn follow_configuration(host: Rc<GatewayHost>, store: Rc<dyn FleetStore>) {
    let mut since: Option<StoreRevision> = None;
    let mut pause = FailurePause::new();
    loop {
        let begin = host.clock.now();
        match store.configuration(since, CONFIGURATION_WAIT).await {
            Ok(reading) => {
                since = Some(reading.revision);
                if let Some(configuration) = reading.configuration {
                    host.apply(configuration);
                }
                host.state.freshness.borrow_mut().confirmed(begin);
                pause = FailurePause::new();
            }
            Err(error) => {
                log_failure(&host, "configuration", &error);
                if matches!(error, StoreError::HistoryGone) {
                    since = None;
                }
                pause.wait().await;
            }
        }
    }
}

/// Keeps the workers of a host up to date, until the process ends.
pub async fn follow_workers(host: Rc<GatewayHost>, store: Rc<dyn FleetStore>) {
    let mut since: Option<StoreRevision> = None;
    let mut pause = FailurePause::new();
    loop {
        match store.workers(since).await {
            Ok(reading) => {
                since = Some(reading.revision);
                let now = host.clock.now();
                let changed = host.state.roster.borrow_mut().apply(now, reading);
                if changed {
                    host.update_cells();
                }
                pause = FailurePause::new();
                actix_rt::time::sleep(WORKER_INTERVAL).await;
            }
            Err(error) => {
                log_failure(&host, "workers", &error);
                if matches!(error, StoreError::HistoryGone) {
                    since = None;
                } else {
                    host.state.roster.borrow_mut().store_lost();
                }
                pause.wait().await;
            }
        }
    }
}

fn log_failure(host: &GatewayHost, call: &str, error: &StoreError) {
    log_event!(host.log, LogEvent::PlatformFailed, "call" => call, "error" => error.to_string());
}
