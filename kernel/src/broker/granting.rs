//! Matching of waiting requests with free slots, and the queues in which requests wait.

use std::time::Duration;

use super::CellBroker;
use super::grants::GrantObservation;
use super::grants::GrantRecord;
use super::grants::GrantState;
use super::late::without_wait;
use super::timers::BrokerTimer;
use super::waiting::QueueKind;
use super::waiting::WaitingRecord;
use crate::ask::BrokerAction;
use crate::ask::Grant;
use crate::ask::RefusalReason;
use crate::clock::ClockTime;
use crate::name::BlockDigest;
use crate::name::RequestId;
use crate::policy::Choice;
use crate::policy::ChoiceReason;
use crate::policy::ChoiceView;
use crate::prefix::block_tokens;
use crate::queue::QueueEntry;
use crate::queue::TierQueue;

/// A request may be sent as a probe only if its remaining time is at least this multiple of the
/// time that it is predicted to take on the probed worker.
const PROBE_TIME_FACTOR: u32 = 2;

/// A prefix that a worker is computing.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PrefillKey {
    /// The position of the worker in the worker table.
    pub worker: usize,
    /// The last block of the prefix.
    pub block: BlockDigest,
}

impl CellBroker {
    /// Grants slots until no waiting request can get one; does nothing during the takeover.
    ///
    /// Under policies that refuse early, a request that can no longer meet its deadline is refused
    /// instead.
    pub(super) fn grant_slots(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        if !self.taken_over {
            return;
        }
        loop {
            while let Some(entry) = self.next_ready() {
                self.assign_request(now, entry.request, actions);
            }
            if self.assign_suspects(now, actions) {
                continue;
            }
            if !self.assign_late(now, actions) {
                return;
            }
        }
    }

    /// Returns the first request in queue order that may get a free slot now; suspects and requests
    /// that wait for a prefix are left out.
    fn next_ready(&self) -> Option<QueueEntry> {
        let lanes = self
            .workers
            .lanes
            .iter()
            .filter(|lane| !lane.available.is_empty());
        let ready = lanes.filter_map(|lane| lane.ready.first());
        let awaited_workers = self.workers.awaited_workers.iter();
        let waiters =
            awaited_workers.filter_map(|worker| self.workers.records[*worker].waiters.first());
        let in_time = ready.chain(waiters).filter(|entry| !entry.key.is_late());
        in_time.min_by_key(|entry| entry.key)
    }

    pub(super) fn assign_request(
        &mut self,
        now: ClockTime,
        request: RequestId,
        actions: &mut Vec<BrokerAction>,
    ) {
        let Some(record) = self.waiting.get(request) else {
            return;
        };
        let lane = record.lane;
        let remaining = record.deadline.since(now);
        if self.policy.refuses_early()
            && self.service_estimate(lane, &record.ask).quickest > remaining
        {
            self.refuse_waiting(now, request, RefusalReason::Deadline, actions);
            return;
        }
        let mut list = std::mem::take(&mut self.scratch);
        let host_location = self.host_locations.get(&record.host);
        self.list_candidates(now, lane, &record.ask, host_location, &mut list);
        let is_late = record.key.is_late();
        let first = record.ask.prefix.first();
        let holders = first.map_or(0, |digest| self.workers.index.holders(*digest).len());
        let view = ChoiceView {
            ask: &record.ask,
            remaining,
            deferral_spent: record.deferral_spent || is_late,
            grants: self.grant_count,
            holders,
            candidates: &list.candidates,
        };
        let choice = choose_probe(&view).unwrap_or_else(|| self.policy.choose(&view));
        let choice = if is_late {
            without_wait(&view, choice)
        } else {
            choice
        };
        self.apply_choice(now, request, choice, &list.workers, actions);
        self.scratch = list;
    }

    fn apply_choice(
        &mut self,
        now: ClockTime,
        request: RequestId,
        choice: Choice,
        workers: &[usize],
        actions: &mut Vec<BrokerAction>,
    ) {
        match choice {
            Choice::Worker { candidate, reason } => {
                let worker = workers[candidate];
                self.grant(now, request, worker, reason, actions);
            }
            Choice::Wait {
                candidate,
                max_deferral,
            } => {
                let worker = workers[candidate];
                self.defer(now, request, worker, max_deferral, actions);
            }
        }
    }

    /// Defers a request to one worker.
    ///
    /// The request waits for the prefix that the worker is computing, unless enough requests wait
    /// for it already. Otherwise it gets a free slot of the worker immediately or waits for one.
    fn defer(
        &mut self,
        now: ClockTime,
        request: RequestId,
        worker: usize,
        max_deferral: Duration,
        actions: &mut Vec<BrokerAction>,
    ) {
        let Some(record) = self.waiting.get_mut(request) else {
            return;
        };
        let worker_record = &self.workers.records[worker];
        let cached = worker_record.cache.cached(&record.ask.prefix);
        let pending = worker_record.cache.pending(&record.ask.prefix, cached);
        let pending = pending.map(|pending| PrefillKey {
            worker,
            block: pending.block,
        });
        let slots = usize::try_from(worker_record.limit.slots()).unwrap_or(usize::MAX);
        let waiters = |key: &PrefillKey| self.prefill_waiters.get(key).map_or(0, TierQueue::len);
        let queue = match pending {
            // Requests beyond the worker's limit would get no slot there after the prefill.
            Some(key) if waiters(&key) < slots => QueueKind::Prefill {
                worker,
                block: key.block,
            },
            _ if worker_record.available => {
                self.grant(now, request, worker, ChoiceReason::Turn, actions);
                return;
            }
            _ => QueueKind::Slot { worker },
        };
        let until = now + max_deferral.max(Duration::from_millis(1));
        record.deferred_until = Some(until);
        self.set_timer(until, BrokerTimer::Deferral(request));
        self.requeue(now, request, queue);
    }

    /// Grants a waiting request a slot on a worker.
    pub(super) fn grant(
        &mut self,
        now: ClockTime,
        request: RequestId,
        worker: usize,
        reason: ChoiceReason,
        actions: &mut Vec<BrokerAction>,
    ) {
        let Some(waiting) = self.remove_waiting(now, request) else {
            return;
        };
        let id = self.next_grant();
        let expires = now + self.settings.grant_lifetime;
        let uncached_tokens = self.occupy_slot(now, worker, &waiting);
        self.count_granted(worker, &waiting);
        self.charge_share(&waiting);
        self.count_sent(now, worker);
        let grant = Grant {
            grant: id,
            request,
            worker: self.workers.records[worker].worker.clone(),
            expires_in: self.settings.grant_lifetime,
            choice: reason.to_string(),
        };
        let observation = GrantObservation {
            workspace: waiting.ask.workspace,
            tier: waiting.ask.tier,
            in_tokens: waiting.ask.model.is_some(),
        };
        let record = GrantRecord {
            host: waiting.host.clone(),
            request,
            worker,
            state: GrantState::Issued,
            expires,
            issued_at: Some(now),
            started: now,
            work: waiting.work,
            release_at: None,
            rate_named: false,
            uncached_tokens,
            prefix: waiting.ask.prefix,
            exclusive: waiting.ask.suspect,
            observation: Some(observation),
            declared: None,
            reason: Some(reason),
        };
        self.grants.insert(id, record);
        self.set_timer(expires, BrokerTimer::Grant(id));
        let host = waiting.host;
        actions.push(BrokerAction::Grant { host, grant });
    }

    /// Counts a slot of a worker as used and returns the prompt tokens that are not cached there.
    fn occupy_slot(&mut self, now: ClockTime, worker: usize, waiting: &WaitingRecord) -> u32 {
        let ask = &waiting.ask;
        let typical = self.workers.lanes[waiting.lane].typical;
        let record = &mut self.workers.records[worker];
        let cached = block_tokens(record.cache.cached(&ask.prefix));
        let uncached = ask.prompt_tokens.saturating_sub(cached);
        record.used += 1;
        record.unanswered += 1;
        record.prefilling += u64::from(uncached);
        let backlog = u32::try_from(record.prefilling).unwrap_or(u32::MAX);
        let ready_at = now + record.speed.speed(typical).prefill(backlog);
        record
            .cache
            .prefill_expected(&ask.prefix, ready_at, &mut self.workers.index);
        if ask.suspect {
            record.exclusive_request = Some(ask.request);
            self.running_suspects += 1;
        }
        self.workers.refresh(now, worker);
        uncached
    }

    /// Moves a waiting request to another queue.
    pub(super) fn requeue(&mut self, now: ClockTime, request: RequestId, queue: QueueKind) {
        self.dequeue(now, request);
        if let Some(record) = self.waiting.get_mut(request) {
            record.queue = queue;
            if queue == QueueKind::Ready {
                record.deferred_until = None;
            }
        }
        self.enqueue(now, request);
    }

    /// Removes a waiting request with its timer and reservation; returns `None` if it isn't
    /// waiting.
    pub(super) fn remove_waiting(
        &mut self,
        now: ClockTime,
        request: RequestId,
    ) -> Option<WaitingRecord> {
        self.dequeue(now, request);
        let record = self.waiting.remove(request)?;
        let lane = &mut self.workers.lanes[record.lane];
        lane.tally.remove(&record.key, record.work);
        self.leave_shares(&record);
        if let Some(until) = record.deferred_until {
            self.timers.remove(&super::timers::TimerKey {
                at: until,
                timer: BrokerTimer::Deferral(request),
            });
        }
        if record.ask.suspect {
            self.cancel_reservation(now, record.lane, request);
        }
        Some(record)
    }

    /// Moves the requests that wait for a worker, or for a prefix on it, back to the lane queue.
    pub(super) fn wake_waiters(&mut self, now: ClockTime, worker: usize) {
        let mut woken: Vec<RequestId> = self.workers.records[worker]
            .waiters
            .iter()
            .map(|entry| entry.request)
            .collect();
        for (key, queue) in &self.prefill_waiters {
            if key.worker == worker {
                woken.extend(queue.iter().map(|entry| entry.request));
            }
        }
        for request in woken {
            self.requeue(now, request, QueueKind::Ready);
        }
    }

    /// Moves the requests that wait for a block of the prefix on a worker back to the lane queue.
    pub(super) fn wake_prefill_waiters(
        &mut self,
        now: ClockTime,
        worker: usize,
        prefix: &[BlockDigest],
    ) {
        for block in prefix {
            let key = PrefillKey {
                worker,
                block: *block,
            };
            let Some(queue) = self.prefill_waiters.get(&key) else {
                continue;
            };
            let woken: Vec<RequestId> = queue.iter().map(|entry| entry.request).collect();
            for request in woken {
                self.requeue(now, request, QueueKind::Ready);
            }
        }
    }

    /// Inserts a waiting request into the queue in which it waits.
    pub(super) fn enqueue(&mut self, now: ClockTime, request: RequestId) {
        let Some(record) = self.waiting.get(request) else {
            return;
        };
        let key = record.key;
        let lane = &mut self.workers.lanes[record.lane];
        match record.queue {
            QueueKind::Exclusive => lane.suspects.insert(key, request),
            QueueKind::Ready => lane.ready.insert(key, request),
            QueueKind::Slot { worker } => {
                self.workers.records[worker].waiters.insert(key, request);
                self.workers.refresh(now, worker);
            }
            QueueKind::Prefill { worker, block } => {
                let queue = self.prefill_waiters.entry(PrefillKey { worker, block });
                queue.or_default().insert(key, request);
            }
        }
    }

    /// Removes a waiting request from the queue in which it waits.
    pub(super) fn dequeue(&mut self, now: ClockTime, request: RequestId) {
        let Some(record) = self.waiting.get(request) else {
            return;
        };
        let key = record.key;
        let lane = &mut self.workers.lanes[record.lane];
        match record.queue {
            QueueKind::Exclusive => lane.suspects.remove(&key),
            QueueKind::Ready => lane.ready.remove(&key),
            QueueKind::Slot { worker } => {
                self.workers.records[worker].waiters.remove(&key);
                self.workers.refresh(now, worker);
            }
            QueueKind::Prefill { worker, block } => {
                let prefill = PrefillKey { worker, block };
                if let Some(queue) = self.prefill_waiters.get_mut(&prefill) {
                    queue.remove(&key);
                    if queue.is_empty() {
                        self.prefill_waiters.remove(&prefill);
                    }
                }
            }
        }
    }
}

/// Chooses a straggler that is due for a probe if the request has enough time left to run there.
fn choose_probe(view: &ChoiceView<'_>) -> Option<Choice> {
    let spare = view.remaining / PROBE_TIME_FACTOR;
    let mut open = view.open();
    let probe =
        open.find(|open| open.candidate.is_straggler && open.candidate.finish() <= spare)?;
    Some(Choice::Worker {
        candidate: probe.position,
        reason: ChoiceReason::Probe,
    })
}
