//! Reports of entries about granted requests, and the release of slots.

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

/// The time that a worker needs to notice that the host of a request is lost.
const LOST_HOST_GRACE: Duration = Duration::from_secs(2);

/// The minimum number of uncached prompt tokens for a sample of the prefill speed.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 128;

/// The minimum number of answer tokens for a sample of the token gap.
const MIN_GAP_SAMPLE_TOKENS: u32 = 4;

/// A declared request on a worker that is not in the worker table yet.
#[derive(Clone, Debug)]
pub(super) struct OrphanedWork {
    /// The host whose entry declared the request.
    host: HostName,
    work: RunningWork,
}

impl CellBroker {
    pub(super) fn on_reported(&mut self, now: ClockTime, host: &HostName, report: &WorkReport) {
        let Some(record) = self.grants.get(report.grant) else {
            self.on_unknown_grant(now, host, report);
            return;
        };
        if record.host != *host {
            return;
        }
        let worker = record.worker;
        let sent_at = record.started;
        if record.exclusive && report.progress.may_follow_crash() {
            self.delay_next_suspect(now);
        }
        match report.progress {
            WorkProgress::Dispatched => self.on_dispatched(now, report.grant),
            WorkProgress::RateNamed { rate } => {
                self.on_rate_named(now, worker, rate);
                if let Some(record) = self.grants.get_mut(report.grant) {
                    record.rate_named = true;
                }
            }
            WorkProgress::FirstToken { after } => {
                self.on_answered(now, report.grant);
                self.workers.records[worker].blame.record_answer(now, host);
                self.on_first_token(now, report.grant, after);
            }
            WorkProgress::Finished {
                answer_tokens,
                token_gap,
            } => {
                self.on_answered(now, report.grant);
                self.workers.records[worker].blame.record_answer(now, host);
                self.on_finished(now, report.grant, answer_tokens, token_gap);
            }
            WorkProgress::Stopped | WorkProgress::Released => self.free_slot(now, report.grant),
            WorkProgress::LeavingNamed => self.on_leaving_named(now, worker),
            WorkProgress::ToleranceNamed { tolerance } => {
                self.on_tolerance_named(now, worker, tolerance);
            }
            WorkProgress::Rejected { rest } => {
                self.free_slot(now, report.grant);
                self.on_rejected(now, worker, rest);
            }
            WorkProgress::Erred => {
                self.on_answered(now, report.grant);
                self.workers.records[worker].failures.record_failure();
                self.free_slot(now, report.grant);
            }
            WorkProgress::Failed => {
                self.free_slot(now, report.grant);
                self.on_failed(now, worker, host, sent_at);
            }
        }
    }

    /// Handles a report on a grant that is not in the ledger: it was issued by another broker of
    /// the cell, or its slot was already released.
    fn on_unknown_grant(&mut self, now: ClockTime, host: &HostName, report: &WorkReport) {
        let Some(worker) = self.workers.position(&report.worker) else {
            return;
        };
        match report.progress {
            WorkProgress::Dispatched => {
                self.adopt(now, host, report.request, report.grant, worker);
                self.count_sent(now, worker);
            }
            WorkProgress::RateNamed { rate } => self.on_rate_named(now, worker, rate),
            WorkProgress::ToleranceNamed { tolerance } => {
                self.on_tolerance_named(now, worker, tolerance);
            }
            WorkProgress::LeavingNamed => self.on_leaving_named(now, worker),
            WorkProgress::Rejected { rest } => self.on_rejected(now, worker, rest),
            WorkProgress::Finished {
                answer_tokens,
                token_gap,
            } => {
                self.workers.records[worker].blame.record_answer(now, host);
                self.observe_gap(now, worker, answer_tokens, token_gap);
            }
            WorkProgress::Failed => self.on_failed(now, worker, host, now),
            WorkProgress::FirstToken { .. } => {
                self.workers.records[worker].blame.record_answer(now, host);
            }
            WorkProgress::Erred => self.workers.records[worker].failures.record_failure(),
            WorkProgress::Released | WorkProgress::Stopped => {}
        }
    }

    /// Applies the complete list of a host's running requests, and frees the slots of requests that
    /// are missing from it. Grants that are valid but not used yet keep their slots.
    pub(super) fn on_declared(&mut self, now: ClockTime, host: &HostName, running: &[RunningWork]) {
        self.orphans.retain(|orphan| orphan.host != *host);
        for id in self.grants.of_host(host) {
            let declared = running.iter().any(|work| work.grant == id);
            let Some(record) = self.grants.get_mut(id) else {
                continue;
            };
            if declared {
                record.release_at = None;
            } else if record.state != GrantState::Issued {
                self.free_slot(now, id);
            }
        }
        for work in running {
            if self.grants.get(work.grant).is_some() {
                self.on_dispatched(now, work.grant);
            } else if let Some(worker) = self.workers.position(&work.worker) {
                self.adopt(now, host, work.request, work.grant, worker);
            } else {
                let host = host.clone();
                let work = work.clone();
                self.orphans.push(OrphanedWork { host, work });
            }
        }
    }

    /// Adopts the orphaned work on workers that are now in the worker table.
    pub(super) fn adopt_orphans(&mut self, now: ClockTime) {
        for orphan in std::mem::take(&mut self.orphans) {
            if let Some(worker) = self.workers.position(&orphan.work.worker) {
                self.adopt(
                    now,
                    &orphan.host,
                    orphan.work.request,
                    orphan.work.grant,
                    worker,
                );
            } else {
                self.orphans.push(orphan);
            }
        }
    }

    /// Drops the asks of a lost host immediately, and releases its slots when its grants have
    /// expired and the workers have had time to notice the loss.
    pub(super) fn on_host_lost(&mut self, now: ClockTime, host: &HostName) {
        let asks: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|record| record.host == *host)
            .map(|record| record.ask.request)
            .collect();
        for request in asks {
            self.remove_waiting(now, request);
        }
        self.orphans.retain(|orphan| orphan.host != *host);
        for id in self.grants.of_host(host) {
            if let Some(record) = self.grants.get_mut(id) {
                let expired = record.expires.max(now);
                let until = expired + LOST_HOST_GRACE;
                record.release_at = Some(until);
                self.set_timer(until, BrokerTimer::Grant(id));
            }
        }
    }

    /// Releases the slot of a grant and removes the grant from the ledger.
    pub(super) fn free_slot(&mut self, now: ClockTime, grant: GrantId) {
        let Some(record) = self.grants.remove(grant) else {
            return;
        };
        self.timers.remove(&super::timers::TimerKey {
            at: record.expires,
            timer: BrokerTimer::Grant(grant),
        });
        if let Some(observation) = &record.observation {
            self.count_slot_time(&observation.workspace, now.since(record.started));
        }
        let worker_record = &mut self.workers.records[record.worker];
        worker_record.used -= 1;
        if record.exclusive {
            worker_record.exclusive_request = None;
            self.running_suspects -= 1;
        }
        if record.state != GrantState::Prefilled {
            worker_record.unanswered -= 1;
            let uncached = u64::from(record.uncached_tokens);
            worker_record.prefilling = worker_record.prefilling.saturating_sub(uncached);
            worker_record
                .cache
                .abandoned(&record.prefix, &mut self.workers.index);
            self.wake_prefill_waiters(now, record.worker, &record.prefix);
        }
        self.workers.refresh(now, record.worker);
    }

    fn on_dispatched(&mut self, now: ClockTime, grant: GrantId) {
        if let Some(record) = self.grants.get_mut(grant)
            && matches!(record.state, GrantState::Issued | GrantState::Expired)
        {
            record.state = GrantState::Dispatched;
            record.started = now;
        }
    }

    fn on_first_token(&mut self, now: ClockTime, grant: GrantId, after: Duration) {
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
        let adopted = record.observation.is_none();
        if !adopted {
            self.observe_prefill(now, worker, uncached, after);
        }
        let worker_record = &mut self.workers.records[worker];
        worker_record.unanswered -= 1;
        worker_record.prefilling = worker_record.prefilling.saturating_sub(u64::from(uncached));
        worker_record
            .cache
            .prefilled(&prefix, &mut self.workers.index);
        self.workers.refresh(now, worker);
        self.worker_answered(now, worker);
        self.wake_prefill_waiters(now, worker, &prefix);
    }

    fn observe_prefill(&mut self, now: ClockTime, worker: usize, uncached: u32, after: Duration) {
        let typical = self.typical_speed(worker);
        let record = &mut self.workers.records[worker];
        let backlog = u32::try_from(record.prefilling).unwrap_or(u32::MAX);
        let expected = record.speed.speed(typical).prefill(backlog.max(uncached));
        record.limit.observe_first_token(now, after, expected);
        if uncached >= MIN_PREFILL_SAMPLE_TOKENS {
            record.speed.record_prefill(uncached, after);
        }
        self.workers.refresh(now, worker);
    }

    fn on_finished(&mut self, now: ClockTime, grant: GrantId, answer_tokens: u32, gap: Duration) {
        let Some(record) = self.grants.get(grant) else {
            return;
        };
        let worker = record.worker;
        let held = now.since(record.started);
        if record.state != GrantState::Prefilled {
            self.record_unreported_prefill(now, grant);
        }
        self.observe_answer(grant, answer_tokens, held);
        self.workers.records[worker].record_hold(held);
        self.observe_gap(now, worker, answer_tokens, gap);
        self.workers.records[worker].failures.record_success();
        self.worker_answered(now, worker);
        self.free_slot(now, grant);
    }

    /// Marks the prefix of a request as cached if it finished without a report of its first token.
    fn record_unreported_prefill(&mut self, now: ClockTime, grant: GrantId) {
        let Some(GrantRecord { prefix, worker, .. }) = self.grants.get_mut(grant) else {
            return;
        };
        let prefix = std::mem::take(prefix);
        let worker = *worker;
        let cache = &mut self.workers.records[worker].cache;
        cache.prefilled(&prefix, &mut self.workers.index);
        self.wake_prefill_waiters(now, worker, &prefix);
    }

    fn observe_answer(&mut self, grant: GrantId, answer_tokens: u32, held: Duration) {
        let observation = self
            .grants
            .get(grant)
            .and_then(|record| record.observation.as_ref());
        let Some(observation) = observation else {
            return;
        };
        if observation.in_tokens {
            self.length_estimator
                .record(&observation.workspace, observation.tier, answer_tokens);
        } else {
            let millis = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
            self.time_estimator
                .record(&observation.workspace, observation.tier, millis);
        }
    }

    fn observe_gap(&mut self, now: ClockTime, worker: usize, answer_tokens: u32, gap: Duration) {
        if answer_tokens < MIN_GAP_SAMPLE_TOKENS || gap.is_zero() {
            return;
        }
        let record = &mut self.workers.records[worker];
        if matches!(record.health, WorkerHealth::Straggler { .. }) {
            self.observe_straggler(now, worker, gap);
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

    fn typical_speed(&self, worker: usize) -> crate::estimate::WorkerSpeed {
        let lane = self.workers.records[worker].lanes.first();
        lane.map_or_else(Default::default, |lane| self.workers.lanes[*lane].typical)
    }

    /// Adds a running request whose grant is not in the ledger, and counts its slot as used.
    fn adopt(
        &mut self,
        now: ClockTime,
        host: &HostName,
        request: RequestId,
        grant: GrantId,
        worker: usize,
    ) {
        self.remove_waiting(now, request);
        self.workers.records[worker].used += 1;
        self.workers.records[worker].unanswered += 1;
        self.workers.refresh(now, worker);
        let record = GrantRecord {
            host: host.clone(),
            request,
            worker,
            state: GrantState::Dispatched,
            expires: now,
            issued_at: None,
            started: now,
            work: self.workers.records[worker].mean_hold(),
            release_at: None,
            rate_named: false,
            uncached_tokens: 0,
            prefix: Vec::new(),
            exclusive: false,
            observation: None,
            declared: None,
            reason: None,
        };
        self.grants.insert(grant, record);
    }
}
