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
            let interval = wake.since(now).clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL);
            actix_rt::time::sleep(interval).await;
            self.record_delay(self.clock.now().since(now + interval));
            self.tick();
        }
    }

    fn record_delay(&self, delay: Duration) {
        self.longest_delay.set(self.longest_delay.get().max(delay));
    }

    /// Returns the longest time by which a timer of this host was late since the last call.
    ///
    /// It shows how long the host took to process what had arrived for it.
    pub fn take_longest_delay(&self) -> Duration {
        self.longest_delay.take()
    }

    /// Sends load summaries to the brokers of other data centres until the process ends.
    pub async fn run_summaries(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(SUMMARY_INTERVAL).await;
            self.send_summaries();
        }
    }
}
