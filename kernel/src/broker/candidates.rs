//! The candidates that a policy chooses from.

use std::time::Duration;

use super::CellBroker;
use super::lanes::WorkLane;
use super::records::WorkerHealth;
use super::records::WorkerRecord;
use crate::ask::Ask;
use crate::clock::ClockTime;
use crate::estimate::AnswerEstimate;
use crate::name::TierRank;
use crate::place::NetworkPlace;
use crate::place::PlaceDistance;
use crate::policy::CandidateScope;
use crate::policy::WorkerCandidate;
use crate::prefix::block_tokens;

/// The wait for a worker that gets no work before a probe.
const WAIT_FOR_UNFIT: Duration = Duration::from_hours(1);

/// The most workers with room that are weighed for one request.
const OPEN_WEIGHED: usize = 32;

/// The most workers that hold or compute the request's prefix and are weighed for it.
const HOLDERS_WEIGHED: usize = 8;

/// The most slots for which the load of a worker counts in its speed.
const MOST_SLOTS_WEIGHED: u32 = 1_024;

/// What is known of a request when its candidates are listed.
#[derive(Clone, Copy, Debug)]
struct CandidateDemand<'a> {
    now: ClockTime,
    ask: &'a Ask,
    answer: AnswerEstimate,
    near: Option<&'a NetworkPlace>,
    holders: &'a [usize],
    computing: &'a [usize],
}

/// The candidates for a request and the positions of their workers.
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
        near: Option<&NetworkPlace>,
        list: &mut CandidateList,
    ) {
        let (holders, computing) = match ask.prefix.first() {
            Some(first) => {
                let index = &self.workers.index;
                (index.holders(*first), index.computing(*first))
            }
            None => Default::default(),
        };
        let demand = CandidateDemand {
            now,
            ask,
            answer: self.answer_estimate(ask),
            near,
            holders,
            computing,
        };
        list.workers.clear();
        list.homes.clear();
        match self.policy.candidate_scope() {
            CandidateScope::All => list.workers.extend(&self.workers.lanes[lane].workers),
            CandidateScope::Related => self.list_related(lane, ask, list),
        }
        let lane = &self.workers.lanes[lane];
        list.candidates.clear();
        for position in &list.workers {
            let record = &self.workers.records[*position];
            let home = list.homes.iter().position(|home| home == position);
            let home = home.and_then(|home| u32::try_from(home).ok());
            let candidate = candidate(&demand, lane, *position, record, home);
            list.candidates.push(candidate);
        }
    }

    fn list_related(&self, position: usize, ask: &Ask, list: &mut CandidateList) {
        let workers = &mut list.workers;
        let lane = &self.workers.lanes[position];
        let turn = usize::try_from(self.granted).unwrap_or(0);
        workers.extend(&lane.leaders);
        extend_with_open(lane, turn, workers);
        if let Some(first) = ask.prefix.first() {
            lane.homes(*first, &mut list.homes);
            workers.extend(&list.homes);
            let serves = |worker: &&usize| self.workers.records[**worker].lanes.contains(&position);
            let holders = self.workers.index.holders(*first);
            let turn = turn % holders.len().max(1);
            let rotated = holders[turn..].iter().chain(&holders[..turn]);
            workers.extend(rotated.filter(serves).take(HOLDERS_WEIGHED));
            let computing = self.workers.index.computing(*first).iter();
            workers.extend(computing.filter(serves).take(HOLDERS_WEIGHED));
        }
        workers.sort_unstable();
        workers.dedup();
    }
}

/// Adds workers with room, beginning with another one for each grant.
fn extend_with_open(lane: &WorkLane, turn: usize, workers: &mut Vec<usize>) {
    let start = lane
        .workers
        .get(turn % lane.workers.len().max(1))
        .copied()
        .unwrap_or(0);
    let from_start = lane.open.range(start..).chain(lane.open.range(..start));
    workers.extend(from_start.take(OPEN_WEIGHED));
}

fn candidate(
    demand: &CandidateDemand<'_>,
    lane: &WorkLane,
    position: usize,
    record: &WorkerRecord,
    home: Option<u32>,
) -> WorkerCandidate {
    let ask = demand.ask;
    let holds = demand.holders.contains(&position);
    let cached = if holds {
        record.cache.cached(&ask.prefix)
    } else {
        0
    };
    let pending = if holds || demand.computing.contains(&position) {
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
        let slots = record.limit.slots().clamp(1, MOST_SLOTS_WEIGHED);
        let load = 3 * slots + 2 * record.used.min(slots);
        speed.decode(demand.answer.high).saturating_mul(load) / (4 * slots)
    } else {
        Duration::from_millis(u64::from(demand.answer.high))
    };
    let backlog = u32::try_from(record.prefilling).unwrap_or(u32::MAX);
    WorkerCandidate {
        identity: record.identity,
        home_rank: home,
        open: record.open,
        probe_due: matches!(record.health, WorkerHealth::Straggler { .. }),
        running: record.used,
        queued: u32::try_from(record.waiters.len()).unwrap_or(u32::MAX),
        limit: record.limit.slots(),
        load: record.load,
        cached_tokens,
        pending_tokens,
        pending_wait: pending.map_or(Duration::ZERO, |pending| pending.ready_at.since(demand.now)),
        slot_wait: slot_wait(record, ask.tier),
        backlog: speed.prefill(backlog),
        prefill: speed.prefill(ask.prompt_tokens - cached_tokens),
        pending_prefill: speed.prefill(ask.prompt_tokens - pending_tokens),
        decode,
        token_gap: Duration::from_micros(speed.gap_micros),
        fault_rate: record.faults.thousandths(),
        distance: distance(demand.near, record),
    }
}

fn distance(near: Option<&NetworkPlace>, record: &WorkerRecord) -> PlaceDistance {
    let place = record.place.as_ref();
    let both = near.zip(place);
    both.map_or(PlaceDistance::BetweenRegions, |(near, place)| {
        near.distance(place)
    })
}

fn slot_wait(record: &WorkerRecord, tier: TierRank) -> Duration {
    let fit = record.eligible() && record.health == WorkerHealth::Healthy;
    match (record.open, fit) {
        (true, _) => Duration::ZERO,
        (false, true) => record.slot_wait(tier),
        (false, false) => WAIT_FOR_UNFIT,
    }
}
