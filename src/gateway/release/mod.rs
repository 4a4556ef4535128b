//! Releases of worker versions at a gateway host: what it knows of them, the version that it chooses
//! for each request, and the tasks that report evidence and drive releases.
//!
//! [`crate::kernel::release`] makes the decisions. Hosts learn orders and states with the
//! configuration, from the store or from other hosts; nothing is read while a request waits.

mod choice;
mod counting;
mod driver;
mod report;
mod request;
mod roles;
mod spread;
mod versions;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::sync::Notify;

use self::counting::OwnEvidence;
use self::driver::DriverEntry;
use self::report::ReportQueue;
use self::roles::ReleaseRoles;
use self::versions::VersionCache;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::ServiceName;
use crate::kernel::release::KnownRelease;
use crate::kernel::release::ReleaseBounds;
use crate::kernel::release::ReleaseOrder;
use crate::kernel::release::ReleasePhase;
use crate::kernel::release::ReleaseState;
use crate::kernel::roster::StoreEra;

pub(super) use self::choice::VersionDemand;
pub(super) use self::counting::DispatchCount;
pub(super) use self::driver::drive_releases;
pub(super) use self::report::receive_reports;
pub(super) use self::report::report_evidence;
pub(super) use self::roles::drives_without_source;
pub(super) use self::spread::StoredOrders;

/// An order that the host knows.
#[derive(Clone, Debug)]
struct KnownOrder {
    order: ReleaseOrder,
    /// The time of the host's last read or update that did not show the order; `None` if each did.
    absent_at: Option<ClockTime>,
}

/// What a host knows of releases.
#[derive(Debug, Default)]
pub(super) struct ReleaseTable {
    /// The bounds of the settings; `None` if there are no releases.
    bounds: Option<ReleaseBounds>,
    orders: RefCell<BTreeMap<ServiceName, KnownOrder>>,
    /// The time as of which the orders are complete; `None` before the first read.
    orders_as_of: Cell<Option<ClockTime>>,
    /// The era of the store in which the orders were read.
    orders_era: Cell<StoreEra>,
    known: RefCell<BTreeMap<ServiceName, KnownRelease>>,
    evidence: RefCell<BTreeMap<ServiceName, OwnEvidence>>,
    reports: RefCell<ReportQueue>,
    drivers: RefCell<BTreeMap<ServiceName, DriverEntry>>,
    roles: RefCell<ReleaseRoles>,
    versions: RefCell<VersionCache>,
    /// Whether the host's source of the state, if it is another host, sends releases.
    source_knows: Cell<bool>,
    /// Wakes the requests that wait for a slot when an order or a state has changed.
    changed: Notify,
    /// Wakes the task that drives releases.
    ordered: Notify,
}

impl ReleaseTable {
    /// Creates the table of a host that has learned nothing; without bounds there are no releases.
    pub(super) fn new(bounds: Option<ReleaseBounds>) -> Self {
        Self {
            bounds,
            source_knows: Cell::new(true),
            ..Self::default()
        }
    }

    /// Returns whether there may be releases.
    pub(super) const fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Returns whether an order or a state restricts the version of some requests.
    pub(super) fn is_active(&self) -> bool {
        self.is_enabled() && !(self.orders.borrow().is_empty() && self.known.borrow().is_empty())
    }

    /// Returns the orders whose releases are not known to be final.
    pub(super) fn open_orders(&self) -> Vec<ReleaseOrder> {
        let orders = self.orders.borrow();
        let open = orders.values().filter(|known| {
            let state = self.governing_state(&known.order);
            !state.is_some_and(|state| state.phase.is_final() && state.era >= self.orders_era.get())
        });
        open.map(|known| known.order.clone()).collect()
    }

    /// Returns the services that have an order, or a release that is not known to be final.
    fn services(&self) -> BTreeSet<ServiceName> {
        let orders = self.orders.borrow();
        let known = self.known.borrow();
        let unfinished = known
            .iter()
            .filter(|(_, known)| !known.state().phase.is_final());
        let unfinished = unfinished.map(|(service, _)| service);
        orders.keys().chain(unfinished).cloned().collect()
    }

    /// Returns the interval at which changed evidence is reported.
    fn evidence_interval(&self) -> Duration {
        let known = self.known.borrow();
        let phases = known.values().map(|known| known.state().phase);
        let shortest = phases.map(ReleasePhase::evidence_interval).min();
        shortest.unwrap_or_else(|| ReleasePhase::Canary.evidence_interval())
    }

    /// Records whether the host's source of the state sends releases.
    pub(super) fn set_source_knows(&self, knows: bool) {
        self.source_knows.set(knows);
    }

    fn order(&self, service: &ServiceName) -> Option<ReleaseOrder> {
        let orders = self.orders.borrow();
        orders.get(service).map(|known| known.order.clone())
    }

    /// Returns the known state of a service's release.
    fn state(&self, service: &ServiceName) -> Option<ReleaseState> {
        let known = self.known.borrow();
        known.get(service).map(|known| known.state().clone())
    }

    /// Returns the known state of the release of an order, or of a later one of its service.
    fn governing_state(&self, order: &ReleaseOrder) -> Option<ReleaseState> {
        let state = self.state(&order.service)?;
        let era = self.orders_era.get();
        // The revisions of another era are not comparable; the store may have lost the state.
        let is_governing = match state.era.cmp(&era) {
            std::cmp::Ordering::Less => state.order.asks_same(order),
            std::cmp::Ordering::Equal => state.order.revision >= order.revision,
            std::cmp::Ordering::Greater => true,
        };
        is_governing.then_some(state)
    }
}
