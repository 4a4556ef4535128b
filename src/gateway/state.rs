//! The configuration, roster, quotas and retry budgets of a gateway host.

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
use crate::kernel::roster::StoreEra;
use crate::kernel::roster::UpstreamRecord;
use crate::kernel::roster::UpstreamRoster;

/// The configuration, roster, quotas and retry budgets of a gateway host.
#[derive(Debug)]
pub struct GatewayState {
    /// The latest configuration; `None` before the first read.
    pub(super) serving: RefCell<Option<Arc<ServingConfiguration>>>,
    /// The data centres, services and usable workers, in the form used by the cells.
    pub(super) cell_configuration: RefCell<Arc<Configuration>>,
    pub(super) roster: RefCell<UpstreamRoster>,
    /// Whether the workers were read since the host started.
    pub(super) workers_known: Cell<bool>,
    /// Whether the latest read of the store is recent enough to act on.
    pub(super) freshness: RefCell<FreshnessGate>,
    pub(super) quotas: RefCell<BTreeMap<WorkspaceName, QuotaBucket>>,
    /// A number that changes with each change of the roster.
    pub(super) roster_revision: Cell<u64>,
    pub(super) retry_budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
}

impl GatewayState {
    /// Creates the state of a host that has not read the store yet.
    #[must_use]
    pub fn new(settings: &GatewaySettings, incarnation: u64) -> Self {
        let gate = FreshnessGate::new(settings.bounds.revocation());
        Self {
            serving: RefCell::default(),
            cell_configuration: RefCell::default(),
            roster: RefCell::default(),
            workers_known: Cell::new(false),
            freshness: RefCell::new(gate),
            quotas: RefCell::default(),
            // The random start keeps a restarted host from repeating revisions of its previous run.
            roster_revision: Cell::new(incarnation),
            retry_budgets: RefCell::default(),
        }
    }

    /// Returns a number that changes with each change of the roster.
    #[must_use]
    pub const fn roster_revision(&self) -> u64 {
        self.roster_revision.get()
    }

    /// Returns the era of the store in which the workers are known.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.roster.borrow().era()
    }

    /// Returns all registered workers, including those that are draining.
    #[must_use]
    pub fn registered_workers(&self) -> Vec<UpstreamRecord> {
        self.roster.borrow().registered().cloned().collect()
    }

    /// Returns the data centres, services and usable workers, in the form used by the cells.
    #[must_use]
    pub fn cell_configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.cell_configuration.borrow())
    }
}
