//! The workers of one model in a cell, and what is known of all of them together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::records::WorkerHealth;
use super::records::WorkerRecord;
use crate::clock::ClockTime;
use crate::estimate::WorkerSpeed;
use crate::load::ArrivalLoad;
use crate::name::BlockDigest;
use crate::name::ModelName;
use crate::prefix::mix_bits;
use crate::queue::QueueKey;
use crate::queue::TierQueue;
use crate::queue::WorkTally;
use crate::returns::ReturnSchedule;

/// The number of workers that are to hold a prefix.
const HOMES_KEPT: usize = 4;

/// The number of the fastest workers of a lane that are known.
const LEADERS_KEPT: usize = 8;

/// The number of points of a worker on the hash ring.
const RING_POINTS: u64 = 16;

/// The requests for one model, or for a plain service, and the workers that serve them.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkLane {
    pub model: Option<ModelName>,
    /// The positions of the workers, in the order of their names.
    pub workers: Vec<usize>,
    /// The workers that may get a request now.
    pub open: BTreeSet<usize>,
    /// The fastest workers, as last measured.
    pub leaders: Vec<usize>,
    /// Whether the speeds were measured at all.
    pub measured: bool,
    /// The slots of all workers, as last counted.
    pub slots: u32,
    /// The speed of the fastest worker, as last measured.
    pub fastest: WorkerSpeed,
    /// The median speed, as last measured.
    pub typical: WorkerSpeed,
    pub ready: TierQueue,
    pub suspects: TierQueue,
    /// The worker that is kept free for a suspect.
    pub reserved: Option<usize>,
    pub tally: WorkTally,
    pub load: ArrivalLoad,
    /// When those who were refused come back.
    pub returns: ReturnSchedule,
    /// The workers on a hash ring, at several points each.
    pub ring: BTreeMap<u64, usize>,
}

impl WorkLane {
    /// Returns whether a worker is free and a request with the key goes before all that wait for any.
    pub(super) fn comes_first(&self, key: &QueueKey) -> bool {
        let first = self.ready.first();
        !self.open.is_empty() && first.is_none_or(|first| *key <= first.key)
    }

    /// Adds the workers that are to hold a prefix, by consistent hashing of its first block.
    pub(super) fn homes(&self, first: BlockDigest, homes: &mut Vec<usize>) {
        let start = mix_bits(first.0);
        let from_start = self.ring.range(start..).chain(self.ring.range(..start));
        for (_, worker) in from_start {
            if !homes.contains(worker) {
                homes.push(*worker);
            }
            if homes.len() == HOMES_KEPT {
                return;
            }
        }
    }
}

pub(super) fn measure_lane(now: ClockTime, lane: &mut WorkLane, records: &[WorkerRecord]) {
    let mut slots = 0_u32;
    let mut gaps = Vec::with_capacity(lane.workers.len());
    let mut prefills = Vec::with_capacity(lane.workers.len());
    for position in &lane.workers {
        let record = &records[*position];
        slots = slots.saturating_add(record.slots(now));
        if record.health == WorkerHealth::Healthy {
            gaps.extend(record.speed.gap_micros());
            prefills.extend(record.speed.prefill_nanos());
        }
    }
    gaps.sort_unstable();
    prefills.sort_unstable();
    let unknown = WorkerSpeed::default();
    lane.leaders = leaders(lane, records);
    lane.slots = slots;
    // A plain service has no speeds; its times come from what finished.
    lane.measured = lane.model.is_none() || !(gaps.is_empty() || prefills.is_empty());
    lane.typical = WorkerSpeed {
        gap_micros: median(&gaps).unwrap_or(unknown.gap_micros),
        prefill_nanos: median(&prefills).unwrap_or(unknown.prefill_nanos),
    };
    lane.fastest = WorkerSpeed {
        gap_micros: gaps.first().copied().unwrap_or(unknown.gap_micros),
        prefill_nanos: prefills.first().copied().unwrap_or(unknown.prefill_nanos),
    };
}

pub(super) fn ring(workers: &[usize], records: &[WorkerRecord]) -> BTreeMap<u64, usize> {
    let points = |worker: &usize| {
        let worker = *worker;
        let identity = records[worker].identity;
        (0..RING_POINTS).map(move |point| (mix_bits(identity.wrapping_add(point)), worker))
    };
    workers.iter().flat_map(points).collect()
}

/// Returns the fit workers with the shortest token gaps.
fn leaders(lane: &WorkLane, records: &[WorkerRecord]) -> Vec<usize> {
    let fit = |worker: &usize| {
        let record = &records[*worker];
        record.eligible() && record.health == WorkerHealth::Healthy
    };
    let mut workers: Vec<usize> = lane.workers.iter().copied().filter(fit).collect();
    let gap = |worker: &usize| records[*worker].speed.gap_micros().unwrap_or(u64::MAX);
    if workers.len() > LEADERS_KEPT {
        workers.select_nth_unstable_by_key(LEADERS_KEPT, |worker| (gap(worker), *worker));
        workers.truncate(LEADERS_KEPT);
    }
    workers
}

fn median(sorted: &[u64]) -> Option<u64> {
    sorted.get(sorted.len() / 2).copied()
}
