//! The candidates that a policy chooses from.

use std::time::Duration;

use super::CellBroker;
use super::asks::block_tokens;
use super::workers::WorkLane;
use super::workers::WorkerHealth;
use super::workers::WorkerRecord;
use crate::ask::Ask;
use crate::clock::ClockTime;
use crate::estimate::AnswerEstimate;
use crate::policy::WorkerCandidate;

/// The wait for a worker that gets no work before a probe.
const WAIT_FOR_UNFIT: Duration = Duration::from_hours(1);

/// What is known of a request when its candidates are listed.
#[derive(Clone, Copy, Debug)]
struct CandidateDemand<'a> {
    now: ClockTime,
    ask: &'a Ask,
    answer: AnswerEstimate,
    held_anywhere: bool,
}

impl CellBroker {
    /// Lists the candidates for an ask, in the order of the lane's workers.
    pub(super) fn list_candidates(
        &self,
        now: ClockTime,
        lane: usize,
        ask: &Ask,
        candidates: &mut Vec<WorkerCandidate>,
    ) {
        let lane = &self.workers.lanes[lane];
        let demand = CandidateDemand {
            now,
            ask,
            answer: self.answer_estimate(ask),
            held_anywhere: self.workers.holders.held(&ask.prefix) > 0,
        };
        candidates.clear();
        for position in &lane.workers {
            let record = &self.workers.records[*position];
            candidates.push(candidate(&demand, lane, record));
        }
    }
}

fn candidate(
    demand: &CandidateDemand<'_>,
    lane: &WorkLane,
    record: &WorkerRecord,
) -> WorkerCandidate {
    let ask = demand.ask;
    let cached = if demand.held_anywhere {
        record.cache.cached(&ask.prefix)
    } else {
        0
    };
    let pending = record.cache.pending(&ask.prefix, cached);
    let cached_tokens = block_tokens(cached).min(ask.prompt_tokens);
    let pending_tokens = pending.map_or(cached_tokens, |pending| {
        block_tokens(pending.blocks).min(ask.prompt_tokens)
    });
    let speed = record.speed.speed(lane.typical);
    let decode = if ask.model.is_some() {
        speed.decode(demand.answer.cautious)
    } else {
        Duration::from_millis(u64::from(demand.answer.cautious))
    };
    let backlog = u32::try_from(record.prefilling).unwrap_or(u32::MAX);
    WorkerCandidate {
        identity: record.identity,
        open: record.open,
        running: record.used,
        queued: u32::try_from(record.waiters.len()).unwrap_or(u32::MAX),
        limit: record.limit.slots(),
        load: record.load,
        cached_tokens,
        pending_tokens,
        pending_wait: pending.map_or(Duration::ZERO, |pending| pending.ready_at.since(demand.now)),
        slot_wait: slot_wait(record),
        backlog: speed.prefill(backlog),
        prefill: speed.prefill(ask.prompt_tokens - cached_tokens),
        pending_prefill: speed.prefill(ask.prompt_tokens - pending_tokens),
        decode,
    }
}

fn slot_wait(record: &WorkerRecord) -> Duration {
    let fit = record.eligible() && record.health == WorkerHealth::Healthy;
    match (record.open, fit) {
        (true, _) => Duration::ZERO,
        (false, true) => record.slot_wait(),
        (false, false) => WAIT_FOR_UNFIT,
    }
}
