//! The brokers that run on this host.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::asks::CellId;
use crate::kernel::ask::BrokerAction;
use crate::kernel::ask::BrokerEvent;
use crate::kernel::ask::CellWorker;
use crate::kernel::broker::BrokerError;
use crate::kernel::broker::BrokerSettings;
use crate::kernel::broker::CellBroker;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::Configuration;
use crate::kernel::configuration::WorkerState;
use crate::kernel::location::CellSpan;
use crate::kernel::location::NetworkLocation;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::TierRank;
use crate::kernel::name::WorkerName;
use crate::wire::CellSummary;

/// The time for which a summary from another data centre is believed.
pub const SUMMARY_LIFETIME: Duration = Duration::from_secs(2);

/// What a broker on this host wants to be sent, and for which cell.
#[derive(Clone, Debug)]
pub struct CellAction {
    /// The cell.
    pub cell: CellId,
    /// The action.
    pub action: BrokerAction,
}

impl CellAction {
    /// Returns the request that the action answers.
    #[must_use]
    pub const fn request(&self) -> RequestId {
        match &self.action {
            BrokerAction::Grant { grant, .. } => grant.request,
            BrokerAction::Refuse { refusal, .. } => refusal.request,
        }
    }
}

#[derive(Clone, Debug)]
struct KnownSummary {
    summary: CellSummary,
    host: HostName,
    at: ClockTime,
}

/// The brokers that run on this host, by cell, and the summaries of other data centres.
#[derive(Debug)]
pub struct BrokerTable {
    settings: BrokerSettings,
    span: CellSpan,
    brokers: BTreeMap<CellId, CellBroker>,
    summaries: BTreeMap<CellId, KnownSummary>,
    leaving: BTreeSet<WorkerName>,
}

impl BrokerTable {
    /// Creates an empty table whose brokers get the settings.
    #[must_use]
    pub fn new(settings: BrokerSettings) -> Self {
        let brokers = BTreeMap::new();
        Self {
            settings,
            span: CellSpan::default(),
            brokers,
            summaries: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Sets which data centres share the cells of a service.
    pub const fn set_span(&mut self, span: CellSpan) {
        self.span = span;
    }

    /// Hands an event to the broker of a cell, which is started if it does not run yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings name an unknown policy.
    pub fn handle(
        &mut self,
        now: ClockTime,
        cell: &CellId,
        event: BrokerEvent,
        configuration: &Configuration,
    ) -> Result<Vec<CellAction>, BrokerError> {
        let mut actions = self.start(now, cell, configuration)?;
        if let Some(broker) = self.brokers.get_mut(cell) {
            actions.extend(wrap(cell, broker.handle(now, event)));
        }
        Ok(actions)
    }

    /// Hands an event to every broker.
    pub fn handle_all(&mut self, now: ClockTime, event: &BrokerEvent) -> Vec<CellAction> {
        let handle = |(cell, broker): (&CellId, &mut CellBroker)| {
            wrap(cell, broker.handle(now, event.clone()))
        };
        self.brokers.iter_mut().flat_map(handle).collect()
    }

    /// Gives every broker the workers that may get new work.
    pub fn reconfigure(
        &mut self,
        now: ClockTime,
        configuration: &Configuration,
    ) -> Vec<CellAction> {
        let mut actions = Vec::new();
        for (cell, broker) in &mut self.brokers {
            let workers = cell_workers(configuration, &self.leaving, self.span, cell);
            actions.extend(wrap(
                cell,
                broker.handle(now, BrokerEvent::WorkersChanged { workers }),
            ));
        }
        actions
    }

    /// Sets the workers that are leaving; returns whether the set changed.
    pub fn set_leaving(&mut self, leaving: BTreeSet<WorkerName>) -> bool {
        let changed = self.leaving != leaving;
        self.leaving = leaving;
        changed
    }

    /// Lets every broker whose time has come act.
    pub fn tick(&mut self, now: ClockTime) -> Vec<CellAction> {
        let mut actions = Vec::new();
        for (cell, broker) in &mut self.brokers {
            if broker.next_wake().is_some_and(|wake| wake <= now) {
                actions.extend(wrap(cell, broker.tick(now)));
            }
        }
        actions
    }

    /// Returns the earliest time at which a broker wants to act.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.brokers
            .values()
            .filter_map(CellBroker::next_wake)
            .min()
    }

    /// Returns the brokers with their cells.
    pub fn iter(&self) -> impl Iterator<Item = (&CellId, &CellBroker)> {
        self.brokers.iter()
    }

    /// Tells the broker of a cell where a host stands.
    pub fn host_seen(&mut self, cell: &CellId, host: &HostName, place: NetworkLocation) {
        if let Some(broker) = self.brokers.get_mut(cell) {
            broker.set_host_location(host, place);
        }
    }

    /// Stops the broker of a cell.
    pub fn stop(&mut self, cell: &CellId) {
        self.brokers.remove(cell);
    }

    /// Remembers the summary of a cell in another data centre.
    pub fn learn(&mut self, now: ClockTime, host: &HostName, summary: CellSummary) {
        let service = summary.service.clone();
        let cell = CellId {
            service,
            datacenter: summary.datacenter.clone(),
        };
        self.summaries.insert(
            cell,
            KnownSummary {
                summary,
                host: host.clone(),
                at: now,
            },
        );
    }

    /// Returns a cell of the same service in another data centre that has room for the tier, with the
    /// host of its broker; cells of the preferred data centres come first.
    #[must_use]
    pub fn elsewhere(
        &self,
        now: ClockTime,
        refusing: &CellId,
        tier: TierRank,
        rank: impl Fn(&CellId) -> u8,
    ) -> Option<(&CellId, &HostName)> {
        let fresh = |known: &KnownSummary| now.since(known.at) < SUMMARY_LIFETIME;
        let candidates = self.summaries.iter().filter(|(cell, known)| {
            cell.service == refusing.service
                && *cell != refusing
                && fresh(known)
                && has_room(&known.summary, tier)
        });
        let best = candidates.min_by_key(|(cell, _)| rank(cell));
        best.map(|(cell, known)| (cell, &known.host))
    }

    fn start(
        &mut self,
        now: ClockTime,
        cell: &CellId,
        configuration: &Configuration,
    ) -> Result<Vec<CellAction>, BrokerError> {
        if self.brokers.contains_key(cell) {
            return Ok(Vec::new());
        }
        let mut broker = CellBroker::new(self.settings, now)?;
        let workers = cell_workers(configuration, &self.leaving, self.span, cell);
        let actions = broker.handle(now, BrokerEvent::WorkersChanged { workers });
        self.brokers.insert(cell.clone(), broker);
        Ok(wrap(cell, actions))
    }
}

fn has_room(summary: &CellSummary, tier: TierRank) -> bool {
    let tiers = usize::from(tier.0) + 1;
    let ahead: u32 = summary.waiting.iter().take(tiers).sum();
    summary.free_slots > ahead
}

fn wrap(cell: &CellId, actions: Vec<BrokerAction>) -> Vec<CellAction> {
    let wrap = |action| CellAction {
        cell: cell.clone(),
        action,
    };
    actions.into_iter().map(wrap).collect()
}

/// Returns the workers of a cell that may get new work.
#[must_use]
pub fn cell_workers(
    configuration: &Configuration,
    leaving: &BTreeSet<WorkerName>,
    span: CellSpan,
    cell: &CellId,
) -> Vec<CellWorker> {
    let Some(service) = configuration.services.get(&cell.service) else {
        return Vec::new();
    };
    let here = configuration.workers.iter().filter(|(name, spec)| {
        spec.service == cell.service
            && *span.home(configuration, &spec.datacenter) == cell.datacenter
            && spec.state == WorkerState::Active
            && !leaving.contains(*name)
    });
    here.map(|(name, spec)| CellWorker {
        worker: name.clone(),
        models: service.models.clone(),
        max_running: spec.max_running,
        location: Some(NetworkLocation::of(configuration, &spec.datacenter)),
    })
    .collect()
}
