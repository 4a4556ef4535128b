//! What a host learns of orders and states, and what it tells other hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::super::document::OrderChanges;
use super::super::host::GatewayHost;
use super::super::store::StoreError;
use super::KnownOrder;
use super::ReleaseTable;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::ServiceName;
use crate::kernel::release::KnownRelease;
use crate::kernel::release::ReleaseOrder;
use crate::kernel::release::ReleasePhase;
use crate::kernel::release::ReleaseState;
use crate::kernel::release::StoredRelease;
use crate::kernel::roster::StoreEra;
use crate::kernel::roster::StoreRevision;
use crate::log_event;
use crate::wire::ReleaseUpdate;

/// The orders that the host's own reads of the store have shown.
#[derive(Debug, Default)]
pub(in super::super) struct StoredOrders(BTreeMap<ServiceName, ReleaseOrder>);

impl StoredOrders {
    /// Applies the changes that a read has shown; returns all orders.
    pub(in super::super) fn apply(&mut self, changes: OrderChanges) -> Vec<ReleaseOrder> {
        if changes.complete {
            self.0.clear();
        }
        for service in &changes.removed {
            self.0.remove(service);
        }
        for order in changes.present {
            self.0.insert(order.service.clone(), order);
        }
        self.0.values().cloned().collect()
    }
}

/// A state row as it was read.
#[derive(Debug)]
pub(super) struct StateReading {
    pub(super) store_time: Duration,
    pub(super) era: StoreEra,
    /// The state; `None` if there is none, or none that can be decoded.
    pub(super) state: Option<StoredRelease>,
    pub(super) state_revision: StoreRevision,
}

impl ReleaseTable {
    /// Returns the time of the last read or update that did not show the order of a service.
    pub(super) fn absent_at(&self, service: &ServiceName) -> Option<ClockTime> {
        self.orders.borrow().get(service)?.absent_at
    }

    /// Returns the orders and states, for other hosts; `None` if the host knows nothing of releases.
    ///
    /// A state that may have changed since `as_of` is left out.
    pub(in super::super) fn updates(
        &self,
        now: ClockTime,
        as_of: Option<ClockTime>,
    ) -> Option<Vec<ReleaseUpdate>> {
        if !self.is_enabled() || !self.source_knows.get() {
            return None;
        }
        self.orders_as_of.get()?;
        let orders = self.orders.borrow();
        let known = self.known.borrow();
        let services: BTreeSet<&ServiceName> = orders.keys().chain(known.keys()).collect();
        let updates = services.into_iter().map(|service| {
            let order = orders.get(service).map(|known| known.order.clone());
            let is_confirmed = |known: &&KnownRelease| {
                let is_final = known.state().phase.is_final();
                is_final || as_of.is_none_or(|as_of| known.age(now) <= now.since(as_of))
            };
            let state = known.get(service).filter(is_confirmed);
            ReleaseUpdate {
                order,
                state: state.map(|known| known.state().clone()),
            }
        });
        Some(updates.collect())
    }
}

impl GatewayHost {
    /// Takes over the orders that the store held at `as_of`; returns whether they have changed.
    pub(in super::super) fn apply_orders(
        &self,
        orders: Vec<ReleaseOrder>,
        era: StoreEra,
        as_of: ClockTime,
    ) -> bool {
        let releases = &self.releases;
        let earlier = releases.orders_as_of.get();
        // An answer that was delayed is older than what the host knows.
        if !releases.is_enabled() || earlier.is_some_and(|earlier| earlier > as_of) {
            return false;
        }
        let newer: BTreeSet<ServiceName> =
            orders.iter().map(|order| order.service.clone()).collect();
        let known: Vec<ServiceName> = releases.orders.borrow().keys().cloned().collect();
        let mut changed = releases.orders_era.replace(era) != era;
        for service in known.iter().filter(|known| !newer.contains(*known)) {
            changed |= self.remove_order(service);
        }
        for order in orders {
            changed |= self.add_order(order);
        }
        releases.orders_as_of.set(Some(as_of));
        if changed {
            self.release_changed();
        }
        changed
    }

    fn remove_order(&self, service: &ServiceName) -> bool {
        let removed = self.releases.orders.borrow_mut().remove(service);
        if let Some(removed) = &removed {
            log_event!(self.log, LogEvent::ReleaseOrdered,
                "service" => service.as_str(),
                "revision" => removed.order.revision.0,
                "removed" => true);
        }
        removed.is_some()
    }

    fn add_order(&self, order: ReleaseOrder) -> bool {
        let mut orders = self.releases.orders.borrow_mut();
        let known = orders.get(&order.service);
        if known.is_some_and(|known| known.order == order) {
            return false;
        }
        log_event!(self.log, LogEvent::ReleaseOrdered,
            "service" => order.service.as_str(),
            "revision" => order.revision.0,
            "target" => order.target.as_str(),
            "duration_ms" => u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX),
            "removed" => false);
        let absent_at = self.releases.orders_as_of.get();
        let service = order.service.clone();
        orders.insert(service, KnownOrder { order, absent_at });
        true
    }

    /// Takes over what another host knows; returns whether something has changed.
    ///
    /// `as_of` is the time as of which it holds; `None` if it may be old. It then removes no order, and
    /// makes no state younger than the last answer to a poll.
    pub(in super::super) fn apply_release_updates(
        &self,
        updates: Vec<ReleaseUpdate>,
        era: StoreEra,
        as_of: Option<ClockTime>,
    ) -> bool {
        if !self.releases.is_enabled() {
            return false;
        }
        let orders = updates.iter().filter_map(|update| update.order.clone());
        let orders: Vec<ReleaseOrder> = orders.collect();
        let mut changed = match as_of {
            Some(as_of) => self.apply_orders(orders, era, as_of),
            None => self.add_newer_orders(orders, era),
        };
        let confirmed = as_of.or(self.releases.orders_as_of.get());
        for state in updates.into_iter().filter_map(|update| update.state) {
            changed |= self.learn_release(state, confirmed.unwrap_or(ClockTime::ZERO));
        }
        changed
    }

    fn add_newer_orders(&self, orders: Vec<ReleaseOrder>, era: StoreEra) -> bool {
        if era < self.releases.orders_era.get() {
            return false;
        }
        let is_newer = |order: &ReleaseOrder| {
            let known = self.releases.order(&order.service);
            known.is_none_or(|known| order.revision > known.revision)
        };
        let mut changed = false;
        for order in orders.into_iter().filter(is_newer) {
            changed |= self.add_order(order);
        }
        if changed {
            self.release_changed();
        }
        changed
    }

    /// Takes over a state that held at `confirmed`; returns whether the known state has changed.
    pub(super) fn learn_release(&self, state: ReleaseState, confirmed: ClockTime) -> bool {
        let service = state.order.service.clone();
        let mut known = self.releases.known.borrow_mut();
        let changed = if let Some(known) = known.get_mut(&service) {
            known.learn(state, confirmed)
        } else {
            known.insert(service.clone(), KnownRelease::new(state, confirmed));
            true
        };
        drop(known);
        if changed {
            self.log_release(&service);
            self.release_changed();
        }
        changed
    }

    fn log_release(&self, service: &ServiceName) {
        let Some(state) = self.releases.state(service) else {
            return;
        };
        self.metrics
            .set_release_share(service, effective_share(&state));
        let verdict = state.verdict.as_ref();
        log_event!(self.log, LogEvent::ReleaseChanged,
            "service" => service.as_str(),
            "target" => state.order.target.as_str(),
            "revision" => state.order.revision.0,
            "sequence" => state.sequence,
            "phase" => format!("{:?}", state.phase),
            "share" => state.share.ratio(),
            "requests" => state.counts.requests,
            "target_requests" => state.counts.target_requests,
            "measure" => verdict.map(|verdict| format!("{:?}", verdict.measure)),
            "route" => verdict.and_then(|verdict| verdict.route.clone()),
            "target_bad" => verdict.map(|verdict| verdict.target_bad),
            "target_answers" => verdict.map(|verdict| verdict.target_answers),
            "baseline_bad" => verdict.map(|verdict| verdict.baseline_bad),
            "baseline_answers" => verdict.map(|verdict| verdict.baseline_answers));
    }

    fn release_changed(&self) {
        self.releases.changed.notify_waiters();
        self.releases.ordered.notify_one();
    }

    /// Reads the states of all releases that are not known to be final; returns whether one has changed.
    ///
    /// A state that can't be read is not confirmed, so after a while nothing goes to its target.
    pub(in super::super) async fn read_releases(&self) -> bool {
        let mut changed = false;
        for order in self.releases.open_orders() {
            let began = self.clock.now();
            let Ok(reading) = self.read_release(&order.service).await else {
                // Polls of other hosts wait for the end of the reads.
                break;
            };
            if let Some(stored) = reading.state {
                changed |= self.learn_release(stored.state, began);
            }
        }
        changed
    }

    /// Reads the state of a release from the store.
    pub(super) async fn read_release(
        &self,
        service: &ServiceName,
    ) -> Result<StateReading, StoreError> {
        let read = self.store.release_state(service).await;
        self.record_store_call("release-state", &read);
        let stored = read?;
        let decode = |value: &Vec<u8>| match ciborium::from_reader(value.as_slice()) {
            Ok(state) => Some(state),
            Err(error) => {
                let error = format!("invalid state of a release: {error}");
                log_event!(self.log, LogEvent::PlatformFailed,
                    "call" => "release-state", "error" => error);
                None
            }
        };
        let state: Option<ReleaseState> = stored.value.as_ref().and_then(decode);
        let state = state.filter(|state| state.order.service == *service);
        Ok(StateReading {
            store_time: stored.read_at,
            era: stored.era,
            state_revision: stored.revision,
            state: state.map(|state| StoredRelease {
                state: ReleaseState {
                    era: stored.era,
                    ..state
                },
                revision: stored.revision,
            }),
        })
    }
}

/// Returns the share of the requests that goes to the target.
fn effective_share(state: &ReleaseState) -> f64 {
    match state.phase {
        ReleasePhase::Completed => 1.0,
        ReleasePhase::Reverted => 0.0,
        _ if state.is_halted() => 0.0,
        ReleasePhase::Canary | ReleasePhase::Shift => state.share.ratio(),
    }
}
