//! The lanes of a cell: the workers of one model, their aggregate speeds and the waiting requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::fair_queue::FairQueue;
use super::late::LateAdmission;
use super::records::RunningTime;
use super::records::WorkerHealth;
use super::records::WorkerRecord;
use crate::ask::Ask;
use crate::clock::ClockTime;
use crate::estimate::WorkerSpeed;
use crate::load::ArrivalLoad;
use crate::name::BlockDigest;
use crate::name::ModelName;
use crate::name::TierRank;
use crate::name::WorkerVersion;
use crate::prefix::mix_bits;
use crate::queue::QueueKey;
use crate::queue::TierQueue;
use crate::queue::WorkTally;
use crate::retry_after::RetryAfterSchedule;

/// The number of home workers of a prefix, on which it should be cached.
const HOMES_PER_PREFIX: usize = 4;

/// The maximum number of fastest workers that are tracked for each lane.
const MAX_FASTEST_WORKERS: usize = 8;

/// The number of points of each worker on the hash ring; with several points, each worker gets
/// about the same share of the prefixes.
const RING_POINTS_PER_WORKER: u64 = 16;

/// The requests that a lane holds: those for one model, or for a plain service, and of these all or
/// only those that one version of a worker may run.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct LaneKey {
    /// The model; `None` for plain services.
    pub model: Option<ModelName>,
    /// The version of the workers; `None` for all.
    pub version: Option<WorkerVersion>,
}

impl LaneKey {
    /// Returns the key of the lane in which an ask waits.
    pub(super) fn of(ask: &Ask) -> Self {
        Self {
            model: ask.model.clone(),
            version: ask.version.clone(),
        }
    }

    /// Returns whether a worker serves the lane.
    pub(super) fn matches(&self, record: &WorkerRecord) -> bool {
        let model = self.model.as_ref();
        let version = self.version.as_ref();
        model.is_none_or(|model| record.models.contains(model))
            && version.is_none_or(|version| record.version.as_ref() == Some(version))
    }
}

/// The requests with one [`LaneKey`] and the workers that serve them.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkLane {
    /// The requests that the lane holds.
    pub key: LaneKey,
    /// The positions of the workers among the worker records, ordered by worker name.
    pub workers: Vec<usize>,
    /// The workers that have a free slot and neither run a suspect nor are reserved for one.
    pub available: BTreeSet<usize>,
    /// The healthy workers with the shortest token gaps at the last measurement, at most
    /// [`MAX_FASTEST_WORKERS`] in no particular order.
    pub fastest_workers: Vec<usize>,
    /// Whether the token gap and the prefill time of healthy workers were known at the last
    /// measurement; always true for plain services after the first measurement.
    pub measured: bool,
    /// The number of slots of all workers at the last measurement.
    pub slots: u32,
    /// Whether each worker that may get new requests named a rate, at the last measurement.
    pub paced: bool,
    /// The time from which one of the workers takes requests again after its rejections, at the last
    /// measurement; past if one takes them now.
    pub reopens_at: ClockTime,
    /// The shortest token gap and the shortest prefill time per token of healthy workers at the
    /// last measurement, possibly of two different workers.
    pub fastest: WorkerSpeed,
    /// The median token gap and prefill time per token of healthy workers at the last measurement.
    pub typical: WorkerSpeed,
    /// The requests that wait for any worker.
    pub ready: TierQueue,
    /// The requests that wait for an idle worker to run alone.
    pub suspects: TierQueue,
    /// The worker that gets no requests until it is idle, when a suspect is granted a slot on it.
    pub reserved: Option<usize>,
    /// The predicted work of all waiting requests.
    pub tally: WorkTally,
    /// The predicted slot time of the requests that run on the workers.
    pub running: RunningTime,
    /// The shares of workspaces in each tier; empty without fair shares.
    pub shares: BTreeMap<TierRank, FairQueue>,
    /// The admission of late work.
    pub late: LateAdmission,
    /// The recent load by tier.
    pub load: ArrivalLoad,
    /// The retry-after times given to refused callers.
    pub retry_schedule: RetryAfterSchedule,
    /// The consistent-hash ring of the workers, with several points for each.
    pub ring: BTreeMap<u64, usize>,
}

impl WorkLane {
    /// Returns whether a worker is available and no request that waits for any worker precedes the
    /// key.
    pub(super) fn is_next(&self, key: &QueueKey) -> bool {
        let first = self.ready.first();
        !self.available.is_empty() && first.is_none_or(|first| *key <= first.key)
    }

    /// Adds the home workers of a prefix to `homes`, by consistent hashing of its first block.
    pub(super) fn homes(&self, first: BlockDigest, homes: &mut Vec<usize>) {
        let start = mix_bits(first.0);
        let from_start = self.ring.range(start..).chain(self.ring.range(..start));
        for (_, worker) in from_start {
            if !homes.contains(worker) {
                homes.push(*worker);
            }
            if homes.len() == HOMES_PER_PREFIX {
                return;
            }
        }
    }
}

/// Recomputes the number of slots and the speeds of a lane from the records of its workers.
pub(super) fn measure_lane(now: ClockTime, lane: &mut WorkLane, records: &[WorkerRecord]) {
    let mut slots = 0_u32;
    let mut running = RunningTime::default();
    let mut paced = true;
    let mut reopens_at = None;
    let mut gaps = Vec::with_capacity(lane.workers.len());
    let mut prefills = Vec::with_capacity(lane.workers.len());
    for position in &lane.workers {
        let record = &records[*position];
        slots = slots.saturating_add(record.usable_slots(now));
        running += record.running;
        paced &= record.pace.is_some() || !record.eligible();
        if record.eligible() {
            let at = now + record.pushback.wait(now);
            reopens_at = Some(reopens_at.map_or(at, |earliest: ClockTime| earliest.min(at)));
        }
        if record.health == WorkerHealth::Healthy {
            gaps.extend(record.speed.gap_micros());
            prefills.extend(record.speed.prefill_nanos());
        }
    }
    gaps.sort_unstable();
    prefills.sort_unstable();
    let unknown = WorkerSpeed::default();
    lane.fastest_workers = fastest_workers(lane, records);
    lane.slots = slots;
    lane.running = running;
    lane.paced = paced;
    lane.reopens_at = reopens_at.unwrap_or_default();
    // Plain services have no token speeds; their times come from completed requests.
    lane.measured = lane.key.model.is_none() || !(gaps.is_empty() || prefills.is_empty());
    lane.typical = WorkerSpeed {
        gap_micros: median(&gaps).unwrap_or(unknown.gap_micros),
        prefill_nanos: median(&prefills).unwrap_or(unknown.prefill_nanos),
    };
    lane.fastest = WorkerSpeed {
        gap_micros: gaps.first().copied().unwrap_or(unknown.gap_micros),
        prefill_nanos: prefills.first().copied().unwrap_or(unknown.prefill_nanos),
    };
}

pub(super) fn build_ring(workers: &[usize], records: &[WorkerRecord]) -> BTreeMap<u64, usize> {
    let points = |worker: &usize| {
        let worker = *worker;
        let identity = records[worker].identity;
        (0..RING_POINTS_PER_WORKER)
            .map(move |point| (mix_bits(identity.wrapping_add(point)), worker))
    };
    workers.iter().flat_map(points).collect()
}

/// Returns up to [`MAX_FASTEST_WORKERS`] healthy workers that may get new requests, those with the
/// shortest token gaps.
fn fastest_workers(lane: &WorkLane, records: &[WorkerRecord]) -> Vec<usize> {
    let healthy = |worker: &usize| {
        let record = &records[*worker];
        record.eligible() && record.health == WorkerHealth::Healthy
    };
    let mut workers: Vec<usize> = lane.workers.iter().copied().filter(healthy).collect();
    let gap = |worker: &usize| records[*worker].speed.gap_micros().unwrap_or(u64::MAX);
    if workers.len() > MAX_FASTEST_WORKERS {
        workers.select_nth_unstable_by_key(MAX_FASTEST_WORKERS, |worker| (gap(worker), *worker));
        workers.truncate(MAX_FASTEST_WORKERS);
    }
    workers
}

fn median(sorted: &[u64]) -> Option<u64> {
    sorted.get(sorted.len() / 2).copied()
}
