//! What entries report about grants, and the slots that become free by it.

use std::time::Duration;

use super::CellBroker;
use super::grants::GrantRecord;
use super::grants::GrantState;
use super::records::WorkerHealth;
use super::timers::BrokerTimer;
use crate::ask::RunningWork;
use crate::ask::WorkProgress;
use crate::ask::WorkReport;
use crate::clock::ClockTime;
use crate::limit::GapSignal;
use crate::name::GrantId;
use crate::name::HostName;
use crate::name::RequestId;

/// The time after which a worker has noticed that the host of a request is gone.
const LOST_HOST_CHECK: Duration = Duration::from_secs(2);

/// The fewest uncached prompt tokens from which a prefill speed is learned.
const PREFILL_SAMPLE_TOKENS: u32 = 128;

/// The fewest answer tokens from which a token gap is learned.
const GAP_SAMPLE_TOKENS: u32 = 4;

/// Work that an entry declared on a worker that the broker does not know yet.
#[derive(Clone, Debug)]
pub(super) struct StrayWork {
    host: HostName,
    work: RunningWork,
}

impl CellBroker {
    pub(super) fn reported(&mut self, now: ClockTime, host: &HostName, report: &WorkReport) {
        let Some(record) = self.grants.get(report.grant) else {
            self.reported_unknown(now, host, report);
            return;
        };
        if record.host != *host {
            return;
        }
        let worker = record.worker;
        match report.progress {
            WorkProgress::Dispatched => self.dispatched(now, report.grant),
            WorkProgress::FirstToken { after } => self.first_token(now, report.grant, after),
            WorkProgress::Finished {
                answer_tokens,
                token_gap,
            } => {
                self.finished(now, report.grant, answer_tokens, token_gap);
            }
            WorkProgress::Stopped | WorkProgress::Released => self.free_slot(now, report.grant),
            WorkProgress::Erred => {
                self.workers.records[worker].faults.erred();
                self.free_slot(now, report.grant);
            }
            WorkProgress::Failed => {
                self.free_slot(now, report.grant);
                self.worker_failed(now, worker);
            }
        }
    }

    /// Learns from a report on a grant of an earlier broker, or of one that was written off.
    fn reported_unknown(&mut self, now: ClockTime, host: &HostName, report: &WorkReport) {
        let Some(worker) = self.workers.position(&report.worker) else {
            return;
        };
        match report.progress {
            WorkProgress::Dispatched => {
                self.adopt(now, host, report.request, report.grant, worker);
            }
            WorkProgress::Finished {
                answer_tokens,
                token_gap,
            } => {
                self.learn_gap(now, worker, answer_tokens, token_gap);
            }
            WorkProgress::Failed => self.worker_failed(now, worker),
            WorkProgress::Erred => self.workers.records[worker].faults.erred(),
            WorkProgress::FirstToken { .. } | WorkProgress::Released | WorkProgress::Stopped => {}
        }
    }

    /// Takes note of all that a host runs, and frees what it no longer runs.
    pub(super) fn declared(&mut self, now: ClockTime, host: &HostName, running: &[RunningWork]) {
        self.strays.retain(|stray| stray.host != *host);
        for id in self.grants.of_host(host) {
            let declared = running.iter().any(|work| work.grant == id);
            let Some(record) = self.grants.get_mut(id) else {
                continue;
            };
            if declared {
                record.lost_until = None;
            } else if record.state != GrantState::Issued {
                self.free_slot(now, id);
            }
        }
        for work in running {
            if self.grants.get(work.grant).is_some() {
                self.dispatched(now, work.grant);
            } else if let Some(worker) = self.workers.position(&work.worker) {
                self.adopt(now, host, work.request, work.grant, worker);
            } else {
                let host = host.clone();
                let work = work.clone();
                self.strays.push(StrayWork { host, work });
            }
        }
    }

    /// Counts the declared work of workers that were not known when it was declared.
    pub(super) fn adopt_strays(&mut self, now: ClockTime) {
        for stray in std::mem::take(&mut self.strays) {
            if let Some(worker) = self.workers.position(&stray.work.worker) {
                self.adopt(
                    now,
                    &stray.host,
                    stray.work.request,
                    stray.work.grant,
                    worker,
                );
            } else {
                self.strays.push(stray);
            }
        }
    }

    /// Drops the asks of a lost host at once, and its slots once nothing can run under its grants.
    pub(super) fn host_lost(&mut self, now: ClockTime, host: &HostName) {
        let asks: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|record| record.host == *host)
            .map(|record| record.ask.request)
            .collect();
        for request in asks {
            self.take_waiting(now, request);
        }
        self.strays.retain(|stray| stray.host != *host);
        for id in self.grants.of_host(host) {
            if let Some(record) = self.grants.get_mut(id) {
                let expired = record.expires.max(now);
                let until = expired + LOST_HOST_CHECK;
                record.lost_until = Some(until);
                self.set_timer(until, BrokerTimer::Grant(id));
            }
        }
    }

    /// Frees the slot of a grant.
    pub(super) fn free_slot(&mut self, now: ClockTime, grant: GrantId) {
        let Some(record) = self.grants.remove(grant) else {
            return;
        };
        self.timers.remove(&super::timers::TimerKey {
            at: record.expires,
            timer: BrokerTimer::Grant(grant),
        });
        let worker = &mut self.workers.records[record.worker];
        worker.used -= 1;
        if record.alone {
            worker.alone = None;
        }
        if record.state != GrantState::Prefilled {
            let uncached = u64::from(record.uncached_tokens);
            worker.prefilling = worker.prefilling.saturating_sub(uncached);
            worker
                .cache
                .abandoned(&record.prefix, &mut self.workers.index);
            self.wake_prefill(now, record.worker, &record.prefix);
        }
        self.workers.refresh(now, record.worker);
    }

    fn dispatched(&mut self, now: ClockTime, grant: GrantId) {
        if let Some(record) = self.grants.get_mut(grant)
            && matches!(record.state, GrantState::Issued | GrantState::Lapsed)
        {
            record.state = GrantState::Dispatched;
            record.started = now;
        }
    }

    fn first_token(&mut self, now: ClockTime, grant: GrantId, after: Duration) {
        let Some(record) = self.grants.get_mut(grant) else {
            return;
        };
        if record.state == GrantState::Prefilled {
            return;
        }
        record.state = GrantState::Prefilled;
        let prefix = std::mem::take(&mut record.prefix);
        let uncached = record.uncached_tokens;
        let worker = record.worker;
        let adopted = record.lesson.is_none();
        if !adopted {
            self.learn_prefill(now, worker, uncached, after);
        }
        let target = &mut self.workers.records[worker];
        target.prefilling = target.prefilling.saturating_sub(u64::from(uncached));
        target.cache.prefilled(&prefix, &mut self.workers.index);
        self.worker_answered(now, worker);
        self.wake_prefill(now, worker, &prefix);
    }

    fn learn_prefill(&mut self, now: ClockTime, worker: usize, uncached: u32, after: Duration) {
        let typical = self.typical_of(worker);
        let record = &mut self.workers.records[worker];
        let backlog = u32::try_from(record.prefilling).unwrap_or(u32::MAX);
        let expected = record.speed.speed(typical).prefill(backlog.max(uncached));
        record.limit.observe_first_token(now, after, expected);
        if uncached >= PREFILL_SAMPLE_TOKENS {
            record.speed.record_prefill(uncached, after);
        }
        self.workers.refresh(now, worker);
    }

    fn finished(&mut self, now: ClockTime, grant: GrantId, answer_tokens: u32, gap: Duration) {
        let Some(record) = self.grants.get(grant) else {
            return;
        };
        let worker = record.worker;
        let held = now.since(record.started);
        if record.state != GrantState::Prefilled {
            self.prefilled_unseen(now, grant);
        }
        self.learn_answer(grant, answer_tokens, held);
        self.workers.records[worker].record_hold(held);
        self.learn_gap(now, worker, answer_tokens, gap);
        self.workers.records[worker].faults.answered();
        self.worker_answered(now, worker);
        self.free_slot(now, grant);
    }

    /// Notes the prefix of a request that finished without a report on its first token.
    fn prefilled_unseen(&mut self, now: ClockTime, grant: GrantId) {
        let Some(GrantRecord { prefix, worker, .. }) = self.grants.get_mut(grant) else {
            return;
        };
        let prefix = std::mem::take(prefix);
        let worker = *worker;
        let cache = &mut self.workers.records[worker].cache;
        cache.prefilled(&prefix, &mut self.workers.index);
        self.wake_prefill(now, worker, &prefix);
    }

    fn learn_answer(&mut self, grant: GrantId, answer_tokens: u32, held: Duration) {
        let lesson = self
            .grants
            .get(grant)
            .and_then(|record| record.lesson.as_ref());
        let Some(lesson) = lesson else {
            return;
        };
        if lesson.tokens {
            self.lengths
                .record(&lesson.workspace, lesson.tier, answer_tokens);
        } else {
            let millis = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
            self.times.record(&lesson.workspace, lesson.tier, millis);
        }
    }

    fn learn_gap(&mut self, now: ClockTime, worker: usize, answer_tokens: u32, gap: Duration) {
        if answer_tokens < GAP_SAMPLE_TOKENS || gap.is_zero() {
            return;
        }
        let record = &mut self.workers.records[worker];
        if matches!(record.health, WorkerHealth::Straggler { .. }) {
            self.straggler_answered(now, worker, gap);
            return;
        }
        record.speed.record_gap(answer_tokens, gap);
        let gap_micros = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
        record.limit.observe_answer(
            now,
            GapSignal {
                running: record.used,
                gap_micros,
                lowest_gap_micros: record.speed.lowest_gap_micros().unwrap_or(gap_micros),
            },
        );
        self.workers.refresh(now, worker);
    }

    fn typical_of(&self, worker: usize) -> crate::estimate::WorkerSpeed {
        let lane = self.workers.records[worker].lanes.first();
        lane.map_or_else(Default::default, |lane| self.workers.lanes[*lane].typical)
    }

    /// Counts a request that an entry runs under a grant that this broker does not know.
    fn adopt(
        &mut self,
        now: ClockTime,
        host: &HostName,
        request: RequestId,
        grant: GrantId,
        worker: usize,
    ) {
        self.take_waiting(now, request);
        self.workers.records[worker].used += 1;
        self.workers.refresh(now, worker);
        let record = GrantRecord {
            host: host.clone(),
            request,
            worker,
            state: GrantState::Dispatched,
            expires: now,
            started: now,
            lost_until: None,
            uncached_tokens: 0,
            prefix: Vec::new(),
            alone: false,
            lesson: None,
            reason: None,
        };
        self.grants.insert(grant, record);
    }
}
