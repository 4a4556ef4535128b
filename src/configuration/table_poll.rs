//! Learning versions from the table.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::ConfigurationAgent;
use super::TICK_INTERVAL;
use super::change::read_audit;
use super::change::read_current;
use super::store::StoreError;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ConfigVersion;
use crate::log_event;

/// The time between two looks for a newer version in the table.
const TABLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

impl ConfigurationAgent {
    pub(super) async fn run_table(self: Rc<Self>) {
        let mut looked = None;
        loop {
            let now = (self.clock)();
            let due = looked.is_none_or(|looked| now.since(looked) >= TABLE_POLL_INTERVAL);
            let fetching = self.fetching.take();
            if fetching || (due && self.must_look(now)) {
                looked = Some(now);
                if let Err(error) = self.look(now, fetching).await {
                    self.log_store_error(&error);
                }
            }
            sleep(TICK_INTERVAL).await;
        }
    }

    fn log_store_error(&self, error: &StoreError) {
        let text = error.to_string();
        match error {
            StoreError::Protocol(_) => {
                log_event!(self.log, LogEvent::ConfigurationInvalid, "error" => text);
            }
            StoreError::Unreachable(_) | StoreError::Unknown(_) => {
                log_event!(self.log, LogEvent::PlatformFailed, "error" => text);
            }
        }
    }

    /// Returns whether this host has to look into the table: one host of each data centre does,
    /// and every host that no other keeps up to date.
    fn must_look(&self, now: ClockTime) -> bool {
        let alive = self.members.alive(&self.datacenter);
        let first = alive.first() == Some(self.links.host());
        first
            || !self
                .rollout
                .borrow()
                .may_take_work(now + TABLE_POLL_INTERVAL)
    }

    async fn look(&self, asked: ClockTime, fetching: bool) -> Result<(), StoreError> {
        let store = self.store.as_ref();
        let known = self.rollout.borrow().known();
        let next = ConfigVersion(known.0 + 1);
        // A version comes with its audit record, which is much smaller.
        let read_whole = fetching || known.0 == 0 || read_audit(store, next).await?.is_some();
        let version = if read_whole {
            let (stored, _) = read_current(store).await?;
            let version = stored.configuration.version;
            self.adopt(&Arc::new(stored.configuration));
            version
        } else {
            known
        };
        let now = (self.clock)();
        let actions = self.rollout.borrow_mut().table_read(now, asked, version);
        self.perform(actions);
        Ok(())
    }
}
