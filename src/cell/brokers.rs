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
use crate::kernel::broker::LateCounts;
use crate::kernel::broker::WorkerSuspension;
use crate::kernel::broker::WorkspaceUsage;
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

/// The time after which a summary from another data centre is ignored as outdated.
pub const SUMMARY_LIFETIME: Duration = Duration::from_secs(2);

/// A message that a broker on this host has to send, with its cell.
#[derive(Clone, Debug)]
pub struct CellAction {
    /// The cell of the broker.
    pub cell: CellId,
    /// The grant or refusal.
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
struct ReceivedSummary {
    summary: CellSummary,
    host: HostName,
    at: ClockTime,
}

/// The brokers that run on this host and the load summaries of other data centres, both by cell.
#[derive(Debug)]
pub struct BrokerTable {
    settings: BrokerSettings,
    /// The number of brokers that were started.
    started: u64,
    span: CellSpan,
    brokers: BTreeMap<CellId, CellBroker>,
    summaries: BTreeMap<CellId, ReceivedSummary>,
    leaving: BTreeSet<WorkerName>,
}

impl BrokerTable {
    /// Creates an empty table; the settings apply to each broker that it starts.
    #[must_use]
    pub fn new(settings: BrokerSettings) -> Self {
        let brokers = BTreeMap::new();
        Self {
            settings,
            started: 0,
            span: CellSpan::default(),
            brokers,
            summaries: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Returns whether brokers order requests by fair shares between workspaces.
    #[must_use]
    pub const fn has_fair_shares(&self) -> bool {
        self.settings.fair_shares
    }

    /// Sets which data centres share the cells of a service.
    pub const fn set_span(&mut self, span: CellSpan) {
        self.span = span;
    }

    /// Passes an event to the broker of a cell, which is started if it does not run yet.
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
            actions.extend(for_cell(cell, broker.handle(now, event)));
        }
        Ok(actions)
    }

    /// Passes an event to every broker.
    pub fn handle_all(&mut self, now: ClockTime, event: &BrokerEvent) -> Vec<CellAction> {
        let handle = |(cell, broker): (&CellId, &mut CellBroker)| {
            for_cell(cell, broker.handle(now, event.clone()))
        };
        self.brokers.iter_mut().flat_map(handle).collect()
    }

    /// Updates the workers of every broker to those that may get new work.
    pub fn reconfigure(
        &mut self,
        now: ClockTime,
        configuration: &Configuration,
    ) -> Vec<CellAction> {
        let mut actions = Vec::new();
        for (cell, broker) in &mut self.brokers {
            let workers = cell_workers(configuration, &self.leaving, self.span, cell);
            actions.extend(for_cell(
                cell,
                broker.handle(now, BrokerEvent::WorkersChanged { workers }),
            ));
        }
        actions
    }

    /// Sets the workers that are leaving and get no new work; returns whether the set changed.
    pub fn set_leaving(&mut self, leaving: BTreeSet<WorkerName>) -> bool {
        let changed = self.leaving != leaving;
        self.leaving = leaving;
        changed
    }

    /// Runs the due timers of every broker.
    pub fn tick(&mut self, now: ClockTime) -> Vec<CellAction> {
        let mut actions = Vec::new();
        for (cell, broker) in &mut self.brokers {
            if broker.next_wake().is_some_and(|wake| wake <= now) {
                actions.extend(for_cell(cell, broker.tick(now)));
            }
        }
        actions
    }

    /// Returns the time of the earliest broker timer; `None` if no timer is set.
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

    /// Returns the suspensions of workers since the last call, with their cells.
    pub fn take_suspensions(&mut self) -> Vec<(CellId, WorkerSuspension)> {
        let mut suspensions = Vec::new();
        for (cell, broker) in &mut self.brokers {
            let taken = broker.take_suspensions().into_iter();
            suspensions.extend(taken.map(|suspension| (cell.clone(), suspension)));
        }
        suspensions
    }

    /// Returns the late requests started and refused since the last call, with their cells.
    pub fn take_late_counts(&mut self) -> Vec<(CellId, LateCounts)> {
        let brokers = self.brokers.iter_mut();
        let counts = brokers.map(|(cell, broker)| (cell.clone(), broker.take_late_counts()));
        counts
            .filter(|(_, counts)| *counts != LateCounts::default())
            .collect()
    }

    /// Returns what workspaces used and were refused since the last call.
    pub fn take_workspace_usage(&mut self) -> Vec<WorkspaceUsage> {
        let brokers = self.brokers.values_mut();
        brokers.flat_map(CellBroker::take_workspace_usage).collect()
    }

    /// Sets the location of a host for the broker of a cell; without effect if that does not run
    /// here.
    pub fn set_host_location(&mut self, cell: &CellId, host: &HostName, location: NetworkLocation) {
        if let Some(broker) = self.brokers.get_mut(cell) {
            broker.set_host_location(host, location);
        }
    }

    /// Stops the broker of a cell.
    pub fn stop(&mut self, cell: &CellId) {
        self.brokers.remove(cell);
    }

    /// Stores a summary of a cell in another data centre, and the host that sent it, in place of
    /// the summary received before.
    pub fn record_summary(&mut self, now: ClockTime, host: &HostName, summary: CellSummary) {
        let service = summary.service.clone();
        let cell = CellId {
            service,
            datacenter: summary.datacenter.clone(),
        };
        self.summaries.insert(
            cell,
            ReceivedSummary {
                summary,
                host: host.clone(),
                at: now,
            },
        );
    }

    /// Returns a cell of the same service in another data centre that has capacity for the tier,
    /// with the host of its broker; among several the one with the shortest distance.
    #[must_use]
    pub fn find_alternative(
        &self,
        now: ClockTime,
        refusing: &CellId,
        tier: TierRank,
        distance: impl Fn(&CellId) -> u8,
    ) -> Option<(&CellId, &HostName)> {
        let fresh = |received: &ReceivedSummary| now.since(received.at) < SUMMARY_LIFETIME;
        let candidates = self.summaries.iter().filter(|(cell, received)| {
            cell.service == refusing.service
                && *cell != refusing
                && fresh(received)
                && has_capacity(&received.summary, tier)
        });
        let best = candidates.min_by_key(|(cell, _)| distance(cell));
        best.map(|(cell, received)| (cell, &received.host))
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
        // Entries may still hold grants of an earlier broker of this process, so each broker
        // issues identifiers of its own.
        let incarnation = self.settings.incarnation.wrapping_add(self.started);
        let settings = self.settings.with_incarnation(incarnation);
        let mut broker = CellBroker::new(settings, now)?;
        self.started += 1;
        let workers = cell_workers(configuration, &self.leaving, self.span, cell);
        let actions = broker.handle(now, BrokerEvent::WorkersChanged { workers });
        self.brokers.insert(cell.clone(), broker);
        Ok(for_cell(cell, actions))
    }
}

fn has_capacity(summary: &CellSummary, tier: TierRank) -> bool {
    let tiers = usize::from(tier.0) + 1;
    let ahead: u32 = summary.waiting.iter().take(tiers).sum();
    summary.free_slots > ahead
}

fn for_cell(cell: &CellId, actions: Vec<BrokerAction>) -> Vec<CellAction> {
    let cell_action = |action| CellAction {
        cell: cell.clone(),
        action,
    };
    actions.into_iter().map(cell_action).collect()
}

/// Returns the active workers of a cell that are not leaving.
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
    let workers = configuration.workers.iter().filter(|(name, spec)| {
        spec.service == cell.service
            && *span.cell_datacenter(configuration, &spec.datacenter) == cell.datacenter
            && spec.state == WorkerState::Active
            && !leaving.contains(*name)
    });
    workers
        .map(|(name, spec)| CellWorker {
            worker: name.clone(),
            models: service.models.clone(),
            version: spec.version.clone(),
            max_running: spec.max_running,
            location: Some(NetworkLocation::of(configuration, &spec.datacenter)),
        })
        .collect()
}
