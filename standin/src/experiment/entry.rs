//! The entries of an experiment: asks, grants, progress reports, deadlines and host failures.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::Refusal;
use borageladder_kernel::ask::RefusalReason;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::ask::WorkReport;
use borageladder_kernel::name::RequestId;
use borageladder_kernel::quarantine::QuarantineVerdict;

use super::event::ExperimentEvent;
use super::record::RequestOutcome;
use super::record::RequestPhase;
use super::record::RequestRecord;
use super::run::ExperimentRun;
use crate::trace::TraceRequest;

/// Maximum number of leading prompt blocks whose digests an ask carries.
const ASK_BLOCKS: usize = 32;

/// Delay after which the caller resends the crashing request.
const RESEND_TIME: Duration = Duration::from_secs(1);

/// Maximum number of times that the caller resends the crashing request.
const MAX_RESENDS: u32 = 10;

/// Time from the failure of a host until the broker is notified.
const HOST_DETECTION_TIME: Duration = Duration::from_secs(3);

impl ExperimentRun {
    pub(super) fn handle_arrival(&mut self, position: usize) {
        let host = self.select_host(position);
        let record = self.register_request(host, self.trace[position].clone());
        self.send_ask(record);
    }

    /// Returns the host that the load balancer selects.
    ///
    /// Requests are distributed round-robin by `position`; failed hosts are skipped.
    fn select_host(&self, position: usize) -> usize {
        let hosts = self.hosts_alive.len();
        let mut choices = (position..position + hosts).map(|choice| choice % hosts);
        choices
            .find(|host| self.hosts_alive[*host])
            .unwrap_or_default()
    }

    /// Creates the record of a request, schedules its deadline and returns the record's index.
    fn register_request(&mut self, host: usize, request: TraceRequest) -> usize {
        let position = self.records.len();
        let id = RequestId {
            incarnation: u64::try_from(host).unwrap_or(u64::MAX),
            sequence: u64::try_from(position).unwrap_or(u64::MAX),
        };
        let record = RequestRecord::new(id, host, request);
        let event = ExperimentEvent::DeadlinePassed { record: position };
        self.queue.push(record.deadline(), event);
        self.records.push(record);
        position
    }

    /// Sends the ask for a request to the current broker.
    pub(super) fn send_ask(&mut self, record: usize) {
        let record = &self.records[record];
        let request = &record.request;
        let blocks = request.blocks.len().min(ASK_BLOCKS);
        let ask = Ask {
            request: record.id,
            service: self.names.service.clone(),
            model: Some(self.fleet.model().clone()),
            version: None,
            workspace: self.names.workspaces[request.workspace].clone(),
            tier: request.tier,
            budget: record.remaining(self.queue.now()),
            first_token_target: None,
            token_gap_target: None,
            prompt_tokens: request.prompt_tokens,
            max_answer_tokens: request.max_answer_tokens,
            hinted_tokens: None,
            prefix: request.blocks[..blocks].to_vec(),
            suspect: self.verdict(record) == QuarantineVerdict::Suspect,
            hedged_worker: None,
        };
        let host = self.names.hosts[record.host].clone();
        self.send_broker(BrokerEvent::Asked { host, ask });
    }

    pub(super) fn deliver_to_entry(&mut self, action: BrokerAction) {
        match action {
            BrokerAction::Grant { grant, .. } => self.handle_grant(&grant),
            BrokerAction::Refuse { refusal, .. } => self.handle_refusal(&refusal),
        }
    }

    fn handle_grant(&mut self, grant: &Grant) {
        let Some(record) = self.record(grant.request.sequence) else {
            return;
        };
        if !self.hosts_alive[self.records[record].host] {
            return;
        }
        if self.records[record].phase != RequestPhase::Waiting {
            self.report(record, grant, WorkProgress::Released);
            return;
        }
        let Some(worker) = self.fleet.position(&grant.worker) else {
            return;
        };
        if self.fleet.workers[worker].alive {
            self.dispatch(record, worker, grant);
        } else {
            // The connection was refused before any byte was sent, so a retry elsewhere is safe.
            self.report(record, grant, WorkProgress::Failed);
            self.send_ask(record);
        }
    }

    fn dispatch(&mut self, position: usize, worker: usize, grant: &Grant) {
        let record = &mut self.records[position];
        record.phase = RequestPhase::Running;
        record.worker = Some(worker);
        record.dispatches += 1;
        record.dispatched_at = self.queue.now();
        record.grant = Some(grant.clone());
        self.report(position, grant, WorkProgress::Dispatched);
        self.send(ExperimentEvent::WorkerReached {
            worker,
            record: position,
        });
    }

    fn handle_refusal(&mut self, refusal: &Refusal) {
        let Some(record) = self.record(refusal.request.sequence) else {
            return;
        };
        let record = &mut self.records[record];
        if record.phase == RequestPhase::Waiting {
            record.phase = RequestPhase::Ended(RequestOutcome::Refused(refusal.reason));
        }
    }

    /// Handles the progress that an entry observes for a running request.
    pub(super) fn handle_progress(&mut self, position: usize, progress: WorkProgress) {
        let now = self.queue.now();
        let record = &mut self.records[position];
        if record.phase != RequestPhase::Running {
            return;
        }
        let progress = match progress {
            WorkProgress::FirstToken { .. } => {
                record.first_token_at = Some(now);
                WorkProgress::FirstToken {
                    after: now.since(record.dispatched_at),
                }
            }
            WorkProgress::Finished { answer_tokens, .. } => {
                record.phase = RequestPhase::Ended(RequestOutcome::InTime);
                self.crashes.clear(record.digest());
                WorkProgress::Finished {
                    answer_tokens,
                    token_gap: record.token_gap(now),
                }
            }
            other => {
                record.phase = RequestPhase::Ended(RequestOutcome::Lost);
                other
            }
        };
        self.report_running(position, progress);
        if progress == WorkProgress::Failed {
            self.count_crash(position);
        }
    }

    /// Ends a request at its deadline and withdraws its ask or cancels its execution.
    pub(super) fn expire_request(&mut self, position: usize) {
        let record = &self.records[position];
        match record.phase {
            RequestPhase::Ended(_) => return,
            RequestPhase::Waiting => {
                let host = self.names.hosts[record.host].clone();
                let request = record.id;
                self.send_broker(BrokerEvent::Withdrawn { host, request });
            }
            RequestPhase::Running => {
                self.report_running(position, WorkProgress::Stopped);
                self.send_cancel(position);
            }
        }
        self.records[position].phase = RequestPhase::Ended(RequestOutcome::Late);
    }

    fn send_cancel(&mut self, record: usize) {
        if let Some(worker) = self.records[record].worker {
            self.send(ExperimentEvent::CancelReached { worker, record });
        }
    }

    fn report_running(&mut self, record: usize, progress: WorkProgress) {
        if let Some(grant) = self.records[record].grant.clone() {
            self.report(record, &grant, progress);
        }
    }

    fn report(&mut self, record: usize, grant: &Grant, progress: WorkProgress) {
        let host = self.names.hosts[self.records[record].host].clone();
        let report = WorkReport {
            request: grant.request,
            grant: grant.grant,
            worker: grant.worker.clone(),
            progress,
        };
        self.send_broker(BrokerEvent::Reported { host, report });
    }

    /// Fails a host: its requests are lost and its running work is cancelled.
    pub(super) fn kill_host(&mut self, host: usize) {
        self.hosts_alive[host] = false;
        for record in 0..self.records.len() {
            let phase = self.records[record].phase;
            if self.records[record].host != host || matches!(phase, RequestPhase::Ended(_)) {
                continue;
            }
            self.records[record].phase = RequestPhase::Ended(RequestOutcome::Lost);
            if phase == RequestPhase::Running {
                self.send_cancel(record);
            }
        }
        let host = self.names.hosts[host].clone();
        self.send_broker_after(HOST_DETECTION_TIME, BrokerEvent::HostLost { host });
    }

    /// Sends the crashing request, a copy of the first request of the second tier.
    ///
    /// The request is refused at the entry if its digest is quarantined.
    pub(super) fn send_crashing_request(&mut self, attempt: u32) {
        let Some(request) = self.trace.iter().find(|request| request.tier.0 == 1) else {
            return;
        };
        let mut request = request.clone();
        request.at = self.queue.now();
        let record = self.register_request(self.select_host(0), request);
        self.records[record].crashing_attempt = Some(attempt);
        let verdict = self.verdict(&self.records[record]);
        if matches!(verdict, QuarantineVerdict::Refused { .. }) {
            let outcome = RequestOutcome::Refused(RefusalReason::Quarantined);
            self.records[record].phase = RequestPhase::Ended(outcome);
        } else {
            self.send_ask(record);
        }
    }

    fn verdict(&self, record: &RequestRecord) -> QuarantineVerdict {
        self.crashes.verdict(record.digest(), self.queue.now())
    }

    /// Records a worker crash for a request and schedules the resend of a crashing request.
    fn count_crash(&mut self, record: usize) {
        let record = &self.records[record];
        if let Some(worker) = record.worker {
            let worker = &self.fleet.workers[worker].name;
            let now = self.queue.now();
            self.crashes.record_crash(record.digest(), worker, now);
        }
        let Some(attempt) = record.crashing_attempt else {
            return;
        };
        if attempt < MAX_RESENDS {
            let at = self.queue.now() + RESEND_TIME;
            let attempt = attempt + 1;
            self.queue
                .push(at, ExperimentEvent::CrashingRequestSent { attempt });
        }
    }
}
