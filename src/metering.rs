//! Metrics derived from the journal, the cells and the state of a host.

use std::collections::BTreeMap;

use crate::cell::CellService;
use crate::context::HostContext;
use crate::journal::RequestPhase;
use crate::journal::RequestRecord;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::ServiceName;
use crate::kernel::name::TierName;
use crate::kernel::name::WorkerName;
use crate::metrics::MetricError;
use crate::metrics::MetricSet;
use crate::metrics::RequestLabels;
use crate::metrics::RequestOutcome;
use crate::metrics::TrafficDistance;
use crate::metrics::WasteCause;

/// The numbers of waiting and running requests of one tier and service.
#[derive(Clone, Copy, Debug, Default)]
struct WorkCount {
    waiting: u64,
    running: u64,
}

/// Updates the counters for a request that ended at the time `now`.
pub fn request_ended(metrics: &MetricSet, record: &RequestRecord, now: ClockTime) {
    let labels = RequestLabels::new(&record.tier, &record.service);
    if let (RequestPhase::Refused, Some(reason)) = (record.phase, record.refusal) {
        metrics.request_refused(&labels, reason);
        return;
    }
    let in_time = now <= record.deadline;
    let outcome = match record.phase {
        RequestPhase::Finished if in_time => RequestOutcome::InTime,
        RequestPhase::Finished => RequestOutcome::Late,
        // Refusals with a reason are counted above.
        RequestPhase::Refused => RequestOutcome::Rejected,
        RequestPhase::Abandoned => RequestOutcome::CallerLeft,
        RequestPhase::Failed | RequestPhase::Waiting | RequestPhase::Running => {
            RequestOutcome::Unknown
        }
    };
    metrics.request_ended(&labels, outcome, u64::from(record.answer_tokens));
    if record.worker.is_some() {
        count_prefill(metrics, &labels, record, outcome);
    }
}

fn count_prefill(
    metrics: &MetricSet,
    labels: &RequestLabels,
    record: &RequestRecord,
    outcome: RequestOutcome,
) {
    let tokens = u64::from(record.prompt_tokens);
    metrics.prefill_computed(labels, tokens);
    match outcome {
        RequestOutcome::InTime => (),
        RequestOutcome::Late => metrics.prefill_wasted(labels, WasteCause::Late, tokens),
        _ => metrics.prefill_wasted(labels, WasteCause::Incomplete, tokens),
    }
}

/// Returns the network distance of a worker from this host; the largest for an unknown worker.
#[must_use]
pub fn worker_distance(context: &HostContext, worker: &WorkerName) -> TrafficDistance {
    let applied = context.applied();
    let configuration = &applied.configuration;
    let datacenter = configuration
        .workers
        .get(worker)
        .map(|spec| &spec.datacenter);
    if datacenter == Some(context.datacenter()) {
        return TrafficDistance::Datacenter;
    }
    let spec = datacenter.and_then(|datacenter| configuration.datacenters.get(datacenter));
    if spec.is_some_and(|spec| spec.region == context.settings.region) {
        TrafficDistance::Region
    } else {
        TrafficDistance::BetweenRegions
    }
}

/// Updates the gauges and returns the metrics in text format.
///
/// The age of the state is not updated: only gateway hosts set it.
///
/// # Errors
///
/// Returns an error if the metrics can't be encoded.
pub fn render(context: &HostContext) -> Result<String, MetricError> {
    let metrics = &context.metrics;
    let version = context.applied().configuration.version;
    metrics.set_versions(version, context.configuration_agent.known_version());
    metrics.set_ready(context.is_ready());
    metrics.set_links(context.links.connected().len() as u64);
    metrics.set_live_hosts(context.members.all_alive().len() as u64);
    let waiting_bytes = context.journal.borrow().waiting_bytes();
    metrics.set_waiting_bytes(waiting_bytes as u64);
    set_work(context);
    set_slots(metrics, &context.cells);
    metrics.render()
}

fn set_work(context: &HostContext) {
    let applied = context.applied();
    let mut counts: BTreeMap<(TierName, ServiceName), WorkCount> = BTreeMap::new();
    // Tiers and services without requests are set to zero to reset their previous values.
    for tier in &applied.configuration.tiers {
        for service in applied.configuration.services.keys() {
            counts.insert((tier.name.clone(), service.clone()), WorkCount::default());
        }
    }
    let journal = context.journal.borrow();
    for record in journal.active() {
        let count = counts
            .entry((record.tier.clone(), record.service.clone()))
            .or_default();
        match record.phase {
            RequestPhase::Running => count.running += 1,
            _ => count.waiting += 1,
        }
    }
    for ((tier, service), count) in &counts {
        let labels = RequestLabels::new(tier, service);
        context.metrics.set_waiting(&labels, count.waiting);
        context.metrics.set_running(&labels, count.running);
    }
}

/// Sets the gauges of the slot limit and the used slots of the cells that this host brokers.
pub fn set_slots(metrics: &MetricSet, cells: &CellService) {
    cells.with_brokers(|brokers| {
        for (cell, broker) in brokers.iter() {
            let limit = broker.workers().map(|worker| u64::from(worker.limit)).sum();
            let used = broker
                .workers()
                .map(|worker| u64::from(worker.running))
                .sum();
            metrics.set_slots(&cell.service, limit, used);
            metrics.set_late_waiting(&cell.service, broker.late_waiting() as u64);
        }
    });
}
