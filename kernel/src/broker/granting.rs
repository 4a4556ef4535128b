//! Grants: which waiting request goes to which worker, and which waits on.

use std::time::Duration;

use super::CellBroker;
use super::grants::GrantLesson;
use super::grants::GrantRecord;
use super::grants::GrantState;
use super::timers::BrokerTimer;
use super::waiting::WaitPlace;
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

/// How often a request must be able to finish at a worker in the time that is left to be its probe.
const PROBE_SLACK: u32 = 2;

/// A prefix that a worker is computing.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PrefillKey {
    pub worker: usize,
    pub block: BlockDigest,
}

impl CellBroker {
    /// Grants slots until no waiting request can get one.
    pub(super) fn grant_slots(&mut self, now: ClockTime, actions: &mut Vec<BrokerAction>) {
        if !self.taken_over {
            return;
        }
        loop {
            while let Some(entry) = self.next_ready() {
                self.place(now, entry.request, actions);
            }
            if !self.place_suspects(now, actions) {
                return;
            }
        }
    }

    /// Returns the first request in order for which a worker has room.
    fn next_ready(&self) -> Option<QueueEntry> {
        let lanes = self
            .workers
            .lanes
            .iter()
            .filter(|lane| !lane.open.is_empty());
        let ready = lanes.filter_map(|lane| lane.ready.first());
        let awaited = self.workers.awaited.iter();
        let waiters = awaited.filter_map(|worker| self.workers.records[*worker].waiters.first());
        ready.chain(waiters).min_by_key(|entry| entry.key)
    }

    fn place(&mut self, now: ClockTime, request: RequestId, actions: &mut Vec<BrokerAction>) {
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
        let near = self.places.get(&record.host);
        self.list_candidates(now, lane, &record.ask, near, &mut list);
        let first = record.ask.prefix.first();
        let holders = first.map_or(0, |digest| self.workers.index.holders(*digest).len());
        let view = ChoiceView {
            ask: &record.ask,
            remaining,
            deferral_spent: record.patience_spent,
            grants: self.granted,
            holders,
            candidates: &list.candidates,
        };
        let choice = probe(&view).unwrap_or_else(|| self.policy.choose(&view));
        self.carry_out(now, request, choice, &list.workers, actions);
        self.scratch = list;
    }

    fn carry_out(
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
                self.wait_for(now, request, worker, max_deferral, actions);
            }
        }
    }

    /// Lets a request wait for one worker, or grants a slot there if there is nothing to wait for.
    fn wait_for(
        &mut self,
        now: ClockTime,
        request: RequestId,
        worker: usize,
        patience: Duration,
        actions: &mut Vec<BrokerAction>,
    ) {
        let Some(record) = self.waiting.get_mut(request) else {
            return;
        };
        let target = &self.workers.records[worker];
        let cached = target.cache.cached(&record.ask.prefix);
        let pending = target.cache.pending(&record.ask.prefix, cached);
        let pending = pending.map(|pending| PrefillKey {
            worker,
            block: pending.block,
        });
        let room = usize::try_from(target.limit.slots()).unwrap_or(usize::MAX);
        let waiters = |key: &PrefillKey| self.prefill_waiters.get(key).map_or(0, TierQueue::len);
        let place = match pending {
            // More than fit on the worker gain nothing from being woken by the prefill.
            Some(key) if waiters(&key) < room => WaitPlace::Prefill {
                worker,
                block: key.block,
            },
            _ if target.open => {
                self.grant(now, request, worker, ChoiceReason::Turn, actions);
                return;
            }
            _ => WaitPlace::Slot { worker },
        };
        let until = now + patience.max(Duration::from_millis(1));
        record.patient_until = Some(until);
        self.set_timer(until, BrokerTimer::Patience(request));
        self.move_waiting(now, request, place);
    }

    /// Grants a slot on a worker.
    pub(super) fn grant(
        &mut self,
        now: ClockTime,
        request: RequestId,
        worker: usize,
        reason: ChoiceReason,
        actions: &mut Vec<BrokerAction>,
    ) {
        let Some(waiting) = self.take_waiting(now, request) else {
            return;
        };
        let id = self.next_grant();
        let expires = now + self.settings.grant_lifetime;
        let uncached_tokens = self.occupy(now, worker, &waiting);
        let grant = Grant {
            grant: id,
            request,
            worker: self.workers.records[worker].worker.clone(),
            expires_in: self.settings.grant_lifetime,
            choice: reason.to_string(),
        };
        let lesson = GrantLesson {
            workspace: waiting.ask.workspace,
            tier: waiting.ask.tier,
            tokens: waiting.ask.model.is_some(),
        };
        let record = GrantRecord {
            host: waiting.host.clone(),
            request,
            worker,
            state: GrantState::Issued,
            expires,
            started: now,
            lost_until: None,
            uncached_tokens,
            prefix: waiting.ask.prefix,
            alone: waiting.ask.suspect,
            lesson: Some(lesson),
            reason: Some(reason),
        };
        self.grants.insert(id, record);
        self.set_timer(expires, BrokerTimer::Grant(id));
        let host = waiting.host;
        actions.push(BrokerAction::Grant { host, grant });
    }

    /// Takes a slot of a worker for a request and returns the prompt tokens not cached there.
    fn occupy(&mut self, now: ClockTime, worker: usize, waiting: &WaitingRecord) -> u32 {
        let ask = &waiting.ask;
        let typical = self.workers.lanes[waiting.lane].typical;
        let record = &mut self.workers.records[worker];
        let cached = block_tokens(record.cache.cached(&ask.prefix));
        let uncached = ask.prompt_tokens.saturating_sub(cached);
        record.used += 1;
        record.prefilling += u64::from(uncached);
        let backlog = u32::try_from(record.prefilling).unwrap_or(u32::MAX);
        let ready_at = now + record.speed.speed(typical).prefill(backlog);
        record
            .cache
            .sent(&ask.prefix, ready_at, &mut self.workers.index);
        if ask.suspect {
            record.alone = Some(ask.request);
        }
        self.workers.refresh(now, worker);
        uncached
    }

    /// Moves a waiting request to another place.
    pub(super) fn move_waiting(&mut self, now: ClockTime, request: RequestId, place: WaitPlace) {
        self.unlink(now, request);
        if let Some(record) = self.waiting.get_mut(request) {
            record.place = place;
            if place == WaitPlace::Ready {
                record.patient_until = None;
            }
        }
        self.link(now, request);
    }

    /// Removes a request from all that waits.
    pub(super) fn take_waiting(
        &mut self,
        now: ClockTime,
        request: RequestId,
    ) -> Option<WaitingRecord> {
        self.unlink(now, request);
        let record = self.waiting.remove(request)?;
        let lane = &mut self.workers.lanes[record.lane];
        lane.tally.remove(&record.key, record.work);
        if let Some(until) = record.patient_until {
            self.timers.remove(&super::timers::TimerKey {
                at: until,
                timer: BrokerTimer::Patience(request),
            });
        }
        if record.ask.suspect {
            self.end_reservation(now, record.lane, request);
        }
        Some(record)
    }

    /// Makes the requests that wait for one worker, or for what it computes, ready for any.
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
            self.move_waiting(now, request, WaitPlace::Ready);
        }
    }

    /// Makes the requests that wait for blocks that a worker computed ready.
    pub(super) fn wake_prefill(&mut self, now: ClockTime, worker: usize, prefix: &[BlockDigest]) {
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
                self.move_waiting(now, request, WaitPlace::Ready);
            }
        }
    }

    /// Enters a request into the queue of its place.
    pub(super) fn link(&mut self, now: ClockTime, request: RequestId) {
        let Some(record) = self.waiting.get(request) else {
            return;
        };
        let key = record.key;
        let lane = &mut self.workers.lanes[record.lane];
        match record.place {
            WaitPlace::Alone => lane.suspects.insert(key, request),
            WaitPlace::Ready => lane.ready.insert(key, request),
            WaitPlace::Slot { worker } => {
                self.workers.records[worker].waiters.insert(key, request);
                self.workers.refresh(now, worker);
            }
            WaitPlace::Prefill { worker, block } => {
                let queue = self.prefill_waiters.entry(PrefillKey { worker, block });
                queue.or_default().insert(key, request);
            }
        }
    }

    /// Takes a request out of the queue of its place.
    fn unlink(&mut self, now: ClockTime, request: RequestId) {
        let Some(record) = self.waiting.get(request) else {
            return;
        };
        let key = record.key;
        let lane = &mut self.workers.lanes[record.lane];
        match record.place {
            WaitPlace::Alone => lane.suspects.remove(&key),
            WaitPlace::Ready => lane.ready.remove(&key),
            WaitPlace::Slot { worker } => {
                self.workers.records[worker].waiters.remove(&key);
                self.workers.refresh(now, worker);
            }
            WaitPlace::Prefill { worker, block } => {
                let place = PrefillKey { worker, block };
                if let Some(queue) = self.prefill_waiters.get_mut(&place) {
                    queue.remove(&key);
                    if queue.is_empty() {
                        self.prefill_waiters.remove(&place);
                    }
                }
            }
        }
    }
}

/// Chooses a worker that waits for a probe if the request has time to spare even there.
fn probe(view: &ChoiceView<'_>) -> Option<Choice> {
    let spare = view.remaining / PROBE_SLACK;
    let mut open = view.open();
    let probe = open.find(|open| open.candidate.probe_due && open.candidate.finish() <= spare)?;
    Some(Choice::Worker {
        candidate: probe.position,
        reason: ChoiceReason::Probe,
    })
}
