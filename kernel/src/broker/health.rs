//! Workers that fail or fall behind, and their way back.

use std::time::Duration;

use super::CellBroker;
use super::records::WorkerHealth;
use super::timers::BrokerTimer;
use crate::ask::CacheBatch;
use crate::ask::LoadReport;
use crate::clock::ClockTime;
use crate::name::WorkerName;

/// The factor over the median token gap below which a straggler has recovered, in percent.
const RECOVERED_PERCENT: u64 = 150;

/// The number of workers with known token gaps below which none is called a straggler.
const WORKERS_COMPARED: usize = 3;

/// The time before a straggler gets a request as a probe.
const STRAGGLER_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// The time before a worker that failed once gets a request as a probe.
const FIRST_HOLD: Duration = Duration::from_secs(1);

/// The most doublings of the hold time for failures in a row.
const HOLD_DOUBLINGS: u32 = 5;

impl CellBroker {
    /// Finds the workers whose token gaps are far above the median of their lane.
    pub(super) fn find_stragglers(&mut self, now: ClockTime) {
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
            if known.len() < WORKERS_COMPARED {
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

    /// Learns the token gap of a straggler, which recovers or waits for the next probe.
    pub(super) fn straggler_answered(&mut self, now: ClockTime, worker: usize, gap: Duration) {
        let record = &mut self.workers.records[worker];
        record.speed.reset_gap(gap);
        let lanes = record.lanes.iter().map(|lane| &self.workers.lanes[*lane]);
        let median = lanes.map(|lane| lane.typical.gap_micros).min().unwrap_or(0);
        let gap = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
        if gap <= median * RECOVERED_PERCENT / 100 {
            record.health = WorkerHealth::Healthy;
            record.limit.halve(now);
            self.workers.refresh(now, worker);
        } else {
            self.suspend_straggler(now, worker);
        }
    }

    /// Holds a worker back after a failure, longer for each failure in a row.
    pub(super) fn worker_failed(&mut self, now: ClockTime, worker: usize) {
        let record = &mut self.workers.records[worker];
        let failures = match record.health {
            // The other requests that ran at the worker when it failed report the same failure.
            WorkerHealth::Held { probe_at, .. } if now < probe_at => return,
            WorkerHealth::Held { failures, .. } => failures + 1,
            WorkerHealth::Healthy | WorkerHealth::Straggler { .. } => 0,
        };
        record.limit.halve(now);
        let probe_at = now + FIRST_HOLD * (1 << failures.min(HOLD_DOUBLINGS));
        let health = WorkerHealth::Held { probe_at, failures };
        self.suspend(now, worker, health, probe_at);
    }

    /// Ends the hold of a worker that answered.
    pub(super) fn worker_answered(&mut self, now: ClockTime, worker: usize) {
        let record = &mut self.workers.records[worker];
        if matches!(record.health, WorkerHealth::Held { .. }) {
            record.health = WorkerHealth::Healthy;
            self.workers.refresh(now, worker);
        }
    }

    pub(super) fn load_reported(&mut self, now: ClockTime, worker: &WorkerName, load: LoadReport) {
        let Some(position) = self.workers.position(worker) else {
            return;
        };
        let record = &mut self.workers.records[position];
        record.load = Some(load);
        record.limit.observe_load(now, load);
        let left = load.leaving && !record.leaving;
        record.leaving = load.leaving;
        self.workers.refresh(now, position);
        if left {
            self.wake_waiters(now, position);
        }
    }

    pub(super) fn cache_reported(&mut self, worker: &WorkerName, batch: &CacheBatch) {
        if let Some(position) = self.workers.position(worker) {
            let cache = &mut self.workers.records[position].cache;
            cache.apply(batch, &mut self.workers.index);
        }
    }
}
