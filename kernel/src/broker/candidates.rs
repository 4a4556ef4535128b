//! The workers that a policy considers for a request, with their predicted times.

use std::time::Duration;

use super::CellBroker;
use super::lanes::WorkLane;
use super::records::WorkerHealth;
use super::records::WorkerRecord;
use crate::ask::Ask;
use crate::clock::ClockTime;
use crate::estimate::AnswerEstimate;
use crate::location::NetworkDistance;
use crate::location::NetworkLocation;
use crate::name::TierRank;
use crate::policy::CandidateScope;
use crate::policy::WorkerCandidate;
use crate::prefix::block_tokens;

/// The wait assumed for a worker that is suspended until a probe, leaving or removed, long enough
/// to rule it out.
const UNAVAILABLE_WORKER_WAIT: Duration = Duration::from_hours(1);

/// The maximum number of workers with a free slot that are considered for one request.
const MAX_AVAILABLE_CANDIDATES: usize = 32;

/// The maximum number of workers that are considered for holding the request's prefix, and likewise
/// for computing it.
const MAX_HOLDER_CANDIDATES: usize = 8;

/// The upper bound on the slots from which the effect of load on speed is computed, so that the
/// arithmetic does not overflow for workers without a limit.
const MAX_LOAD_SLOTS: u32 = 1_024;

/// The request for which candidates are listed, with the data that all candidates share.
#[derive(Clone, Copy, Debug)]
struct CandidateQuery<'a> {
    now: ClockTime,
    ask: &'a Ask,
    answer: AnswerEstimate,
    host_location: Option<&'a NetworkLocation>,
    holders: &'a [usize],
    computing: &'a [usize],
}

/// The candidates for a request and, in the same order, the positions of their workers.
#[derive(Clone, Debug, Default)]
pub(super) struct CandidateList {
    pub candidates: Vec<WorkerCandidate>,
    pub workers: Vec<usize>,
    homes: Vec<usize>,
}

impl CellBroker {
    /// Lists the candidates for an ask.
    pub(super) fn list_candidates(
        &self,
        now: ClockTime,
        lane: usize,
        ask: &Ask,
        host_location: Option<&NetworkLocation>,
        list: &mut CandidateList,
    ) {
        let (holders, computing) = match ask.prefix.first() {
            Some(first) => {
                let index = &self.workers.index;
                (index.holders(*first), index.computing(*first))
            }
            None => Default::default(),
        };
        let query = CandidateQuery {
            now,
            ask,
            answer: self.answer_estimate(ask),
            host_location,
            holders,
            computing,
        };
        list.workers.clear();
        list.homes.clear();
        match self.policy.candidate_scope() {
            CandidateScope::All => list.workers.extend(&self.workers.lanes[lane].workers),
            CandidateScope::Related => self.list_related(lane, ask, list),
        }
        let work_lane = &self.workers.lanes[lane];
        list.candidates.clear();
        for position in &list.workers {
            let record = &self.workers.records[*position];
            let home_rank = list.homes.iter().position(|home| home == position);
            let home_rank = home_rank.and_then(|rank| u32::try_from(rank).ok());
            let candidate = candidate(&query, work_lane, *position, record, home_rank);
            list.candidates.push(candidate);
        }
    }

    fn list_related(&self, position: usize, ask: &Ask, list: &mut CandidateList) {
        let workers = &mut list.workers;
        let lane = &self.workers.lanes[position];
        let turn = usize::try_from(self.grant_count).unwrap_or(0);
        workers.extend(&lane.fastest_workers);
        extend_with_available(lane, turn, workers);
        if let Some(first) = ask.prefix.first() {
            lane.homes(*first, &mut list.homes);
            workers.extend(&list.homes);
            let serves = |worker: &&usize| self.workers.records[**worker].lanes.contains(&position);
            let holders = self.workers.index.holders(*first);
            let turn = turn % holders.len().max(1);
            let rotated = holders[turn..].iter().chain(&holders[..turn]);
            workers.extend(rotated.filter(serves).take(MAX_HOLDER_CANDIDATES));
            let computing = self.workers.index.computing(*first).iter();
            workers.extend(computing.filter(serves).take(MAX_HOLDER_CANDIDATES));
        }
        workers.sort_unstable();
        workers.dedup();
    }
}

/// Adds workers with a free slot, starting at a different worker for each grant.
fn extend_with_available(lane: &WorkLane, turn: usize, workers: &mut Vec<usize>) {
    let start = lane
        .workers
        .get(turn % lane.workers.len().max(1))
        .copied()
        .unwrap_or(0);
    let from_start = lane
        .available
        .range(start..)
        .chain(lane.available.range(..start));
    workers.extend(from_start.take(MAX_AVAILABLE_CANDIDATES));
}

fn candidate(
    query: &CandidateQuery<'_>,
    lane: &WorkLane,
    position: usize,
    record: &WorkerRecord,
    home_rank: Option<u32>,
) -> WorkerCandidate {
    let ask = query.ask;
    let holds = query.holders.contains(&position);
    let cached = if holds {
        record.cache.cached(&ask.prefix)
    } else {
        0
    };
    let pending = if holds || query.computing.contains(&position) {
        record.cache.pending(&ask.prefix, cached)
    } else {
        None
    };
    let cached_tokens = block_tokens(cached).min(ask.prompt_tokens);
    let pending_tokens = pending.map_or(cached_tokens, |pending| {
        block_tokens(pending.blocks).min(ask.prompt_tokens)
    });
    let speed = record.speed.speed(lane.typical);
    let decode = if ask.model.is_some() {
        let slots = record.limit.slots().clamp(1, MAX_LOAD_SLOTS);
        // Decoding takes from 75 % of the estimate on an idle worker to 125 % on a full one.
        let load = 3 * slots + 2 * record.used.min(slots);
        speed.decode(query.answer.high).saturating_mul(load) / (4 * slots)
    } else {
        Duration::from_millis(u64::from(query.answer.high))
    };
    let backlog = u32::try_from(record.prefilling).unwrap_or(u32::MAX);
    WorkerCandidate {
        identity: record.identity,
        home_rank,
        open: record.available,
        is_straggler: matches!(record.health, WorkerHealth::Straggler { .. }),
        running: record.used,
        queued: u32::try_from(record.waiters.len()).unwrap_or(u32::MAX),
        limit: record.limit.slots(),
        load: record.load,
        cached_tokens,
        pending_tokens,
        pending_wait: pending.map_or(Duration::ZERO, |pending| pending.ready_at.since(query.now)),
        slot_wait: slot_wait(query.now, record, ask.tier),
        backlog: speed.prefill(backlog),
        prefill: speed.prefill(ask.prompt_tokens - cached_tokens),
        pending_prefill: speed.prefill(ask.prompt_tokens - pending_tokens),
        decode,
        token_gap: Duration::from_micros(speed.gap_micros),
        failure_rate: record.failures.thousandths(),
        distance: distance(query.host_location, record),
    }
}

fn distance(host_location: Option<&NetworkLocation>, record: &WorkerRecord) -> NetworkDistance {
    let location = record.location.as_ref();
    let both = host_location.zip(location);
    both.map_or(NetworkDistance::BetweenRegions, |(from, location)| {
        from.distance(location)
    })
}

fn slot_wait(now: ClockTime, record: &WorkerRecord, tier: TierRank) -> Duration {
    let healthy = record.eligible() && record.health == WorkerHealth::Healthy;
    match (record.available, healthy) {
        (true, _) => Duration::ZERO,
        (false, true) => record.slot_wait(now, tier),
        (false, false) => UNAVAILABLE_WORKER_WAIT,
    }
}
