//! Suspension of failed workers and stragglers, and their recovery by probes.

use std::time::Duration;

use super::CellBroker;
use super::records::WorkerHealth;
use super::timers::BrokerTimer;
use crate::ask::CacheBatch;
use crate::ask::LoadReport;
use crate::clock::ClockTime;
use crate::name::HostName;
use crate::name::WorkerName;

/// A straggler has recovered if its token gap is at most this percentage of the median.
const RECOVERED_PERCENT: u64 = 150;

/// The minimum number of workers with known token gaps for the detection of stragglers.
const MIN_COMPARED_WORKERS: usize = 3;

/// The time until a straggler gets a request as a probe.
const STRAGGLER_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// The time until a worker gets a request as a probe after its first failure.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// The time for which a worker that a host reported as leaving gets nothing.
const LEAVING_TIME: Duration = Duration::from_secs(10);

/// The maximum number of times that consecutive failures double the back-off.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// The maximum number of suspensions that are listed between two calls of
/// [`CellBroker::take_suspensions`].
const MAX_LISTED_SUSPENSIONS: usize = 256;

/// The suspension of a worker after a failure that an entry reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSuspension {
    /// The worker.
    pub worker: WorkerName,
    /// The host whose entry reported the failure.
    pub host: HostName,
    /// The time of the report.
    pub suspended_at: ClockTime,
    /// The time from which the worker gets a request as a probe.
    pub probe_at: ClockTime,
}

impl CellBroker {
    /// Returns the suspensions after failures since the last call, oldest first; of very many, only
    /// the first ones.
    pub fn take_suspensions(&mut self) -> Vec<WorkerSuspension> {
        std::mem::take(&mut self.suspensions)
    }

    /// Suspends the workers whose token gap exceeds the median of their lane by the policy's
    /// factor.
    pub(super) fn detect_stragglers(&mut self, now: ClockTime) {
        let Some(factor) = self.policy.straggler_factor() else {
            return;
        };
        let mut found = Vec::new();
        for lane in &self.workers.lanes {
            let records = lane
                .workers
                .iter()
                .map(|worker| (*worker, &self.workers.records[*worker]));
            let healthy = |record: &super::WorkerRecord| record.health == WorkerHealth::Healthy;
            let known: Vec<(usize, u64)> = records
                .filter(|(_, record)| healthy(record))
                .filter_map(|(worker, record)| Some((worker, record.speed.gap_micros()?)))
                .collect();
            if known.len() < MIN_COMPARED_WORKERS {
                continue;
            }
            let bound = lane.typical.gap_micros.saturating_mul(factor);
            found.extend(
                known
                    .into_iter()
                    .filter(|(_, gap)| *gap > bound)
                    .map(|(worker, _)| worker),
            );
        }
        for worker in found {
            self.suspend_straggler(now, worker);
        }
    }

    fn suspend_straggler(&mut self, now: ClockTime, worker: usize) {
        let probe_at = now + STRAGGLER_PROBE_INTERVAL;
        self.suspend(now, worker, WorkerHealth::Straggler { probe_at }, probe_at);
    }

    fn suspend(
        &mut self,
        now: ClockTime,
        worker: usize,
        health: WorkerHealth,
        probe_at: ClockTime,
    ) {
        self.workers.records[worker].health = health;
        self.workers.refresh(now, worker);
        self.wake_waiters(now, worker);
        self.set_timer(probe_at, BrokerTimer::Worker(worker));
    }

    /// Records the token gap of a straggler, which then recovers with half its adaptive limit or
    /// waits for the next probe.
    ///
    /// The gap is compared with the lowest median of the lanes that the worker serves.
    pub(super) fn observe_straggler(&mut self, now: ClockTime, worker: usize, gap: Duration) {
        let record = &mut self.workers.records[worker];
        record.speed.reset_gap(gap);
        let lanes = record.lanes.iter().map(|lane| &self.workers.lanes[*lane]);
        let lowest_median = lanes.map(|lane| lane.typical.gap_micros).min().unwrap_or(0);
        let gap = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
        if gap <= lowest_median * RECOVERED_PERCENT / 100 {
            record.health = WorkerHealth::Healthy;
            record.limit.halve(now);
            self.workers.refresh(now, worker);
        } else {
            self.suspend_straggler(now, worker);
        }
    }

    /// Handles a failure that a host reported of a request sent at `sent_at`; the worker is suspended
    /// unless its answers to other hosts speak against it.
    pub(super) fn on_failed(
        &mut self,
        now: ClockTime,
        worker: usize,
        host: &HostName,
        sent_at: ClockTime,
    ) {
        let blame = &mut self.workers.records[worker].blame;
        if blame.record_failure(now, host, sent_at) {
            self.worker_failed(now, worker, host);
        }
    }

    /// Suspends a worker after a failure, with exponential back-off for consecutive failures, and
    /// halves its adaptive limit. Failures reported during the suspension are ignored.
    fn worker_failed(&mut self, now: ClockTime, worker: usize, host: &HostName) {
        let record = &mut self.workers.records[worker];
        let failures = match record.health {
            // Requests that ran on the worker at the same time report the same failure.
            WorkerHealth::Failed { probe_at, .. } if now < probe_at => return,
            WorkerHealth::Failed { failures, .. } => failures + 1,
            WorkerHealth::Healthy | WorkerHealth::Straggler { .. } => 0,
        };
        record.limit.halve(now);
        let probe_at = now + FAILURE_BACKOFF * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
        let health = WorkerHealth::Failed { probe_at, failures };
        self.suspend(now, worker, health, probe_at);
        if self.suspensions.len() < MAX_LISTED_SUSPENSIONS {
            self.suspensions.push(WorkerSuspension {
                worker: self.workers.records[worker].worker.clone(),
                host: host.clone(),
                suspended_at: now,
                probe_at,
            });
        }
    }

    /// Ends the suspension of a failed worker that answered.
    pub(super) fn worker_answered(&mut self, now: ClockTime, worker: usize) {
        let record = &mut self.workers.records[worker];
        if matches!(record.health, WorkerHealth::Failed { .. }) {
            record.health = WorkerHealth::Healthy;
            self.workers.refresh(now, worker);
        }
    }

    pub(super) fn on_load_reported(
        &mut self,
        now: ClockTime,
        worker: &WorkerName,
        load: LoadReport,
    ) {
        let Some(position) = self.workers.position(worker) else {
            return;
        };
        let record = &mut self.workers.records[position];
        record.load = Some(load);
        record.limit.observe_load(now, load);
        let was_eligible = record.eligible();
        record.leaving = load.leaving;
        self.update_eligibility(now, position, was_eligible);
    }

    /// Grants no further requests for a while to a worker that said to a host that it is leaving.
    ///
    /// The report doesn't name the start of the worker, which may have started again since. Hosts that
    /// know that the worker leaves return its slots and report it again.
    pub(super) fn on_leaving_named(&mut self, now: ClockTime, worker: usize) {
        let record = &mut self.workers.records[worker];
        let was_eligible = record.eligible();
        let until = now + LEAVING_TIME;
        record.leaving_until = Some(until);
        self.set_timer(until, BrokerTimer::Worker(worker));
        self.update_eligibility(now, worker, was_eligible);
    }

    fn update_eligibility(&mut self, now: ClockTime, worker: usize, was_eligible: bool) {
        self.workers.refresh(now, worker);
        if was_eligible && !self.workers.records[worker].eligible() {
            self.wake_waiters(now, worker);
        }
    }

    pub(super) fn on_cache_reported(&mut self, worker: &WorkerName, batch: &CacheBatch) {
        if let Some(position) = self.workers.position(worker) {
            let cache = &mut self.workers.records[position].cache;
            cache.apply(batch, &mut self.workers.index);
        }
    }
}
