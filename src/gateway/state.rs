//! What a gateway host knows and counts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::document::ServingConfiguration;
use super::settings::GatewaySettings;
use crate::kernel::configuration::Configuration;
use crate::kernel::freshness::FreshnessGate;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::quota::QuotaBucket;
use crate::kernel::retry::RetryBudget;
use crate::kernel::roster::UpstreamRecord;
use crate::kernel::roster::UpstreamRoster;

/// What a gateway host knows and counts.
#[derive(Debug)]
pub struct GatewayState {
    pub(super) serving: RefCell<Option<Arc<ServingConfiguration>>>,
    pub(super) cell_configuration: RefCell<Arc<Configuration>>,
    pub(super) roster: RefCell<UpstreamRoster>,
    pub(super) freshness: RefCell<FreshnessGate>,
    pub(super) quotas: RefCell<BTreeMap<WorkspaceName, QuotaBucket>>,
    pub(super) roster_revision: Cell<u64>,
    pub(super) retries: RefCell<BTreeMap<ServiceName, RetryBudget>>,
}

impl GatewayState {
    /// Creates the state of a host that has read nothing.
    #[must_use]
    pub fn new(settings: &GatewaySettings, incarnation: u64) -> Self {
        let gate = FreshnessGate::new(settings.bounds.revocation());
        Self {
            serving: RefCell::default(),
            cell_configuration: RefCell::default(),
            roster: RefCell::default(),
            freshness: RefCell::new(gate),
            quotas: RefCell::default(),
            // Another start of the host must not repeat the numbers of this one.
            roster_revision: Cell::new(incarnation),
            retries: RefCell::default(),
        }
    }

    /// Returns a number that changes with the workers that are known.
    #[must_use]
    pub const fn roster_revision(&self) -> u64 {
        self.roster_revision.get()
    }

    /// Returns all workers that are known, also those that are leaving.
    #[must_use]
    pub fn registered_workers(&self) -> Vec<UpstreamRecord> {
        self.roster.borrow().registered().cloned().collect()
    }

    /// Returns what the cells know of services and workers.
    #[must_use]
    pub fn cell_configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.cell_configuration.borrow())
    }
}
