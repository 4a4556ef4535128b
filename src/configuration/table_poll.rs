//! Polling of the platform's table for new versions.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::ConfigurationAgent;
use super::TICK_INTERVAL;
use super::change::read_audit;
use super::change::read_current;
use super::store::ConfigurationStoreError;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ConfigVersion;
use crate::log_event;

/// The interval at which the platform's table is polled for a newer version.
const TABLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

impl ConfigurationAgent {
    pub(super) async fn run_table_poll(self: Rc<Self>) {
        let mut last_poll = None;
        loop {
            let now = (self.clock)();
            let due = last_poll.is_none_or(|polled| now.since(polled) >= TABLE_POLL_INTERVAL);
            let fetch_requested = self.fetch_requested.take();
            if fetch_requested || (due && self.needs_poll(now)) {
                last_poll = Some(now);
                if let Err(error) = self.poll_table(now, fetch_requested).await {
                    self.log_store_error(&error);
                }
            }
            sleep(TICK_INTERVAL).await;
        }
    }

    fn log_store_error(&self, error: &ConfigurationStoreError) {
        let text = error.to_string();
        match error {
            ConfigurationStoreError::Protocol(_) => {
                log_event!(self.log, LogEvent::ConfigurationInvalid, "error" => text);
            }
            ConfigurationStoreError::Unreachable(_) | ConfigurationStoreError::Unknown(_) => {
                log_event!(self.log, LogEvent::PlatformFailed, "error" => text);
            }
        }
    }

    /// Returns whether this host has to poll the table: the first live host of each data centre
    /// does, and so does every host that is stale or would become stale before the next poll.
    fn needs_poll(&self, now: ClockTime) -> bool {
        let alive = self.members.alive(&self.datacenter);
        let first = alive.first() == Some(self.links.host());
        first
            || !self
                .rollout
                .borrow()
                .may_take_work(now + TABLE_POLL_INTERVAL)
    }

    async fn poll_table(
        &self,
        queried_at: ClockTime,
        fetch_requested: bool,
    ) -> Result<(), ConfigurationStoreError> {
        let store = self.store.as_ref();
        let known = self.rollout.borrow().known();
        let next = ConfigVersion(known.0 + 1);
        // Each version has an audit record, which is much smaller than the configuration.
        let read_whole =
            fetch_requested || known.0 == 0 || read_audit(store, next).await?.is_some();
        let version = if read_whole {
            let (stored, _) = read_current(store).await?;
            let version = stored.configuration.version;
            self.apply_newer(&Arc::new(stored.configuration));
            version
        } else {
            known
        };
        let now = (self.clock)();
        let actions = self
            .rollout
            .borrow_mut()
            .table_read(now, queried_at, version);
        self.perform(actions);
        Ok(())
    }
}
