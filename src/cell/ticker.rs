//! The timers of the cells of one host.

use std::rc::Rc;
use std::time::Duration;

use super::service::CellService;
use crate::kernel::clock::ClockTime;

/// The longest time between two looks at the brokers' timers.
const MAX_TICK: Duration = Duration::from_millis(25);

/// The shortest time between two looks at the brokers' timers.
const MIN_TICK: Duration = Duration::from_millis(1);

/// The time between two summaries to other data centres.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);

impl CellService {
    /// Acts whenever a broker's time has come, until the process ends.
    pub async fn run_ticks(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let wake = self.next_wake().unwrap_or(ClockTime::MAX);
            actix_rt::time::sleep(wake.since(now).clamp(MIN_TICK, MAX_TICK)).await;
            self.tick();
        }
    }

    /// Tells the brokers of other data centres about the room here, until the process ends.
    pub async fn run_summaries(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SUMMARY_INTERVAL).await;
            self.send_summaries();
        }
    }
}
