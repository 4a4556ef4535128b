//! The periodic tasks of the cells on one host.

use std::rc::Rc;
use std::time::Duration;

use super::service::CellService;
use crate::kernel::clock::ClockTime;

/// The longest time between two checks of the timers.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The shortest time between two checks of the timers.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// The interval at which load summaries are sent to other data centres.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);

impl CellService {
    /// Runs due timers, sends due asks and declares running work until the process ends.
    pub async fn run_ticks(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let wake = self.next_wake().unwrap_or(ClockTime::MAX);
            actix_rt::time::sleep(wake.since(now).clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL))
                .await;
            self.tick();
        }
    }

    /// Sends load summaries to the brokers of other data centres until the process ends.
    pub async fn run_summaries(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SUMMARY_INTERVAL).await;
            self.send_summaries();
        }
    }
}
