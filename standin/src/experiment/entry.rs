//! What the entries of an experiment do for their requests.

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
use super::life::LifeOutcome;
use super::life::LifePhase;
use super::life::RequestLife;
use super::run::ExperimentRun;
use crate::trace::TraceRequest;

/// The most leading blocks of a prompt whose digests an ask carries.
const ASK_BLOCKS: usize = 32;

/// The time after which the caller of a crashing request sends it again.
const RESEND_TIME: Duration = Duration::from_secs(1);

/// The most times that the caller of a crashing request sends it again.
const MAX_RESENDS: u32 = 10;

/// The time from the death of a host until the broker knows.
const HOST_DETECTION: Duration = Duration::from_secs(3);

impl ExperimentRun {
    pub(super) fn arrive(&mut self, position: usize) {
        let host = self.live_host(position);
        let life = self.begin(host, self.trace[position].clone());
        self.ask(life);
    }

    /// Returns the host to which the balancer sends a request.
    fn live_host(&self, position: usize) -> usize {
        let hosts = self.hosts_alive.len();
        let mut choices = (position..position + hosts).map(|choice| choice % hosts);
        choices
            .find(|host| self.hosts_alive[*host])
            .unwrap_or_default()
    }

    fn begin(&mut self, host: usize, request: TraceRequest) -> usize {
        let position = self.lives.len();
        let id = RequestId {
            incarnation: u64::try_from(host).unwrap_or(u64::MAX),
            sequence: u64::try_from(position).unwrap_or(u64::MAX),
        };
        let life = RequestLife::new(id, host, request);
        let event = ExperimentEvent::DeadlinePassed { life: position };
        self.queue.push(life.deadline(), event);
        self.lives.push(life);
        position
    }

    pub(super) fn ask(&mut self, life: usize) {
        let life = &self.lives[life];
        let request = &life.request;
        let blocks = request.blocks.len().min(ASK_BLOCKS);
        let ask = Ask {
            request: life.id,
            service: self.names.service.clone(),
            model: Some(self.fleet.model().clone()),
            workspace: self.names.workspaces[request.workspace].clone(),
            tier: request.tier,
            budget: life.remaining(self.queue.now()),
            target: None,
            pause: None,
            prompt_tokens: request.prompt_tokens,
            max_answer_tokens: request.max_answer_tokens,
            hinted_tokens: None,
            prefix: request.blocks[..blocks].to_vec(),
            suspect: self.verdict(life) == QuarantineVerdict::Suspect,
        };
        let host = self.names.hosts[life.host].clone();
        self.send_broker(BrokerEvent::Asked { host, ask });
    }

    pub(super) fn reach_entry(&mut self, action: BrokerAction) {
        match action {
            BrokerAction::Grant { grant, .. } => self.take_grant(&grant),
            BrokerAction::Refuse { refusal, .. } => self.take_refusal(&refusal),
        }
    }

    fn take_grant(&mut self, grant: &Grant) {
        let Some(life) = self.life(grant.request.sequence) else {
            return;
        };
        if !self.hosts_alive[self.lives[life].host] {
            return;
        }
        if self.lives[life].phase != LifePhase::Waiting {
            self.report(life, grant, WorkProgress::Released);
            return;
        }
        let Some(worker) = self.fleet.position(&grant.worker) else {
            return;
        };
        if self.fleet.workers[worker].alive {
            self.dispatch(life, worker, grant);
        } else {
            // The connection was refused, so nothing was written and another worker may be tried.
            self.report(life, grant, WorkProgress::Failed);
            self.ask(life);
        }
    }

    fn dispatch(&mut self, position: usize, worker: usize, grant: &Grant) {
        let life = &mut self.lives[position];
        life.phase = LifePhase::Running;
        life.worker = Some(worker);
        life.dispatches += 1;
        life.dispatched_at = self.queue.now();
        life.grant = Some(grant.clone());
        self.report(position, grant, WorkProgress::Dispatched);
        self.send(ExperimentEvent::WorkerReached {
            worker,
            life: position,
        });
    }

    fn take_refusal(&mut self, refusal: &Refusal) {
        let Some(life) = self.life(refusal.request.sequence) else {
            return;
        };
        let life = &mut self.lives[life];
        if life.phase == LifePhase::Waiting {
            life.phase = LifePhase::Ended(LifeOutcome::Refused(refusal.reason));
        }
    }

    /// Handles what an entry hears about a request that a worker runs.
    pub(super) fn hear(&mut self, position: usize, progress: WorkProgress) {
        let now = self.queue.now();
        let life = &mut self.lives[position];
        if life.phase != LifePhase::Running {
            return;
        }
        let progress = match progress {
            WorkProgress::FirstToken { .. } => {
                life.first_token_at = Some(now);
                WorkProgress::FirstToken {
                    after: now.since(life.dispatched_at),
                }
            }
            WorkProgress::Finished { answer_tokens, .. } => {
                life.phase = LifePhase::Ended(LifeOutcome::InTime);
                self.strikes.clear(life.digest());
                WorkProgress::Finished {
                    answer_tokens,
                    token_gap: life.token_gap(now),
                }
            }
            other => {
                life.phase = LifePhase::Ended(LifeOutcome::Lost);
                other
            }
        };
        self.report_running(position, progress);
        if progress == WorkProgress::Failed {
            self.count_strike(position);
        }
    }

    /// Ends a request whose caller leaves at the deadline.
    pub(super) fn give_up(&mut self, position: usize) {
        let life = &self.lives[position];
        match life.phase {
            LifePhase::Ended(_) => return,
            LifePhase::Waiting => {
                let host = self.names.hosts[life.host].clone();
                let request = life.id;
                self.send_broker(BrokerEvent::Withdrawn { host, request });
            }
            LifePhase::Running => {
                self.report_running(position, WorkProgress::Stopped);
                self.send_cancel(position);
            }
        }
        self.lives[position].phase = LifePhase::Ended(LifeOutcome::Late);
    }

    fn send_cancel(&mut self, life: usize) {
        if let Some(worker) = self.lives[life].worker {
            self.send(ExperimentEvent::CancelReached { worker, life });
        }
    }

    fn report_running(&mut self, life: usize, progress: WorkProgress) {
        if let Some(grant) = self.lives[life].grant.clone() {
            self.report(life, &grant, progress);
        }
    }

    fn report(&mut self, life: usize, grant: &Grant, progress: WorkProgress) {
        let host = self.names.hosts[self.lives[life].host].clone();
        let report = WorkReport {
            request: grant.request,
            grant: grant.grant,
            worker: grant.worker.clone(),
            progress,
        };
        self.send_broker(BrokerEvent::Reported { host, report });
    }

    /// Loses all requests of a host; its connections to workers close.
    pub(super) fn kill_host(&mut self, host: usize) {
        self.hosts_alive[host] = false;
        for life in 0..self.lives.len() {
            let phase = self.lives[life].phase;
            if self.lives[life].host != host || matches!(phase, LifePhase::Ended(_)) {
                continue;
            }
            self.lives[life].phase = LifePhase::Ended(LifeOutcome::Lost);
            if phase == LifePhase::Running {
                self.send_cancel(life);
            }
        }
        let host = self.names.hosts[host].clone();
        self.send_broker_after(HOST_DETECTION, BrokerEvent::HostLost { host });
    }

    /// Sends the request that crashes workers, a copy of an ordinary one.
    pub(super) fn send_poison(&mut self, attempt: u32) {
        let Some(request) = self.trace.iter().find(|request| request.tier.0 == 1) else {
            return;
        };
        let mut request = request.clone();
        request.at = self.queue.now();
        let life = self.begin(self.live_host(0), request);
        self.lives[life].poison = Some(attempt);
        let verdict = self.verdict(&self.lives[life]);
        if matches!(verdict, QuarantineVerdict::Refused { .. }) {
            let outcome = LifeOutcome::Refused(RefusalReason::Quarantined);
            self.lives[life].phase = LifePhase::Ended(outcome);
        } else {
            self.ask(life);
        }
    }

    fn verdict(&self, life: &RequestLife) -> QuarantineVerdict {
        self.strikes.verdict(life.digest(), self.queue.now())
    }

    /// Notes that a worker died under a request; the caller of a crashing one sends it again.
    fn count_strike(&mut self, life: usize) {
        let life = &self.lives[life];
        self.strikes.record_crash(life.digest(), self.queue.now());
        let Some(attempt) = life.poison else {
            return;
        };
        if attempt < MAX_RESENDS {
            let at = self.queue.now() + RESEND_TIME;
            let attempt = attempt + 1;
            self.queue.push(at, ExperimentEvent::PoisonSent { attempt });
        }
    }
}
