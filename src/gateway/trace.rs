//! The log lines and metrics of one request; each line holds the identifier sent by the caller.

use std::cell::OnceCell;
use std::cell::RefCell;
use std::time::Duration;

use actix_http::StatusCode;

use super::call_error::CallError;
use super::call_facts::CallFacts;
use super::call_facts::SentCall;
use super::dialect::AnswerMetadata;
use super::host::GatewayHost;
use super::metering;
use super::plan::PlannedCall;
use super::relay::AnswerRelay;
use super::streams::OriginEvidence;
use super::worker::AnswerError;
use super::worker::AnswerFraming;
use super::worker::ConnectionNumber;
use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkerName;
use crate::kernel::name::WorkerVersion;
use crate::kernel::name::WorkspaceName;
use crate::kernel::pace::RateStatement;
use crate::kernel::quota::QuotaShortage;
use crate::log_event;
use crate::metrics::RequestLabels;
use crate::metrics::RequestOutcome;

/// Logs and counts the events of one request. If dropped before [`Self::mark_ended`] is called, it
/// logs that the caller has disconnected, or that the host has ended before it answered.
#[derive(Debug)]
pub(super) struct CallTrace<'a> {
    host: &'a GatewayHost,
    attempt_id: String,
    arrival: ClockTime,
    labels: OnceCell<RequestLabels>,
    facts: OnceCell<CallFacts>,
    /// The dispatches so far, in their order.
    dispatches: RefCell<Vec<LoggedDispatch>>,
    ended: bool,
}

/// A dispatch as the lines that follow it name it.
#[derive(Clone, Debug)]
struct LoggedDispatch {
    worker: WorkerName,
    connection: ConnectionNumber,
    /// The host whose tunnel carries the connection; `None` if it is direct.
    via: Option<HostName>,
    /// The number of the dispatch, from one.
    number: u32,
    sent_at: ClockTime,
}

impl<'a> CallTrace<'a> {
    pub(super) const fn new(host: &'a GatewayHost, attempt_id: String, arrival: ClockTime) -> Self {
        Self {
            host,
            attempt_id,
            arrival,
            labels: OnceCell::new(),
            facts: OnceCell::new(),
            dispatches: RefCell::new(Vec::new()),
            ended: false,
        }
    }

    /// Sets the service and tier under which the request is counted, and what log lines state of it.
    pub(super) fn set_labels(&self, planned: &PlannedCall) {
        let _ = self.facts.set(CallFacts::from(planned));
        if let Some(labels) = metering::request_labels(planned) {
            let _ = self.labels.set(labels);
        }
    }

    fn count(&self, outcome: RequestOutcome, tokens: u32) {
        if let Some(labels) = self.labels.get() {
            let metrics = &self.host.metrics;
            metrics.request_ended(labels, outcome, u64::from(tokens));
        }
    }

    /// Marks the request as ended, so that the drop does not count it as cancelled or cut.
    pub(super) const fn mark_ended(&mut self) {
        self.ended = true;
    }

    /// Logs and counts a request that the gateway answers with an error of its own.
    pub(super) fn answered_with_error(&self, error: &CallError) {
        let outcome = match error {
            CallError::Lost | CallError::Interrupted | CallError::TimedOut => {
                RequestOutcome::Unknown
            }
            _ => RequestOutcome::Refused,
        };
        self.count(outcome, 0);
        let facts = self.facts.get();
        // `log_event!` requires a constant event.
        macro_rules! log_refusal {
            ($event:expr) => {
                log_event!(self.host.log, $event,
                    "request" => self.attempt_id.clone(),
                    "status" => error.status().as_u16(),
                    "reason" => error.to_string(),
                    "retry_after_ms" => error.retry_after().map(millis),
                    "service" => facts.map(|facts| facts.service.clone()),
                    "workspace" => facts.and_then(|facts| facts.workspace.clone()),
                    "route" => facts.map(|facts| facts.prefix.clone()),
                    "tier" => facts.map(|facts| facts.tier),
                    "prompt_tokens" => facts.and_then(|facts| facts.prompt_tokens),
                    "asked_ms" => facts.map(|facts| millis(facts.time)),
                    "attempts" => self.dispatch_count(),
                    "total_us" => micros(self.host.clock.now().since(self.arrival)),
                    "version" => self.host.latest_configuration().map(|newest| newest.version),
                )
            };
        }
        match error {
            CallError::Refused { .. } => log_refusal!(LogEvent::RequestRefused),
            CallError::Lost | CallError::Interrupted | CallError::TimedOut => {
                log_refusal!(LogEvent::OutcomeUnknown);
            }
            CallError::Quarantined { .. } | CallError::PartQuarantined { .. } => {
                log_refusal!(LogEvent::RequestQuarantined);
            }
            CallError::OverQuota {
                workspace,
                shortage,
            } => self.over_quota(error, workspace, shortage),
            CallError::NoIdentifier
            | CallError::NoRoute
            | CallError::NotReady
            | CallError::UnknownKey => log_refusal!(LogEvent::RequestRejected),
        }
    }

    /// Logs a request that exceeds its workspace's quota, and what the host knows of its use.
    fn over_quota(&self, error: &CallError, workspace: &WorkspaceName, shortage: &QuotaShortage) {
        let view = &shortage.view;
        log_event!(self.host.log, LogEvent::RequestRejected,
            "request" => self.attempt_id.clone(),
            "status" => error.status().as_u16(),
            "reason" => error.to_string(),
            "retry_after_ms" => millis(shortage.wait),
            "total_us" => micros(self.host.clock.now().since(self.arrival)),
            "version" => self.host.latest_configuration().map(|newest| newest.version),
            "workspace" => workspace.as_str(),
            "units" => shortage.units,
            "level" => view.level.round(),
            "reserve" => view.reserve.round(),
            "rate" => view.bounds.rate,
            "burst" => view.bounds.burst,
            "own_use" => view.own_use.round(),
            "peer_use" => view.peer_use.round(),
            "assumed" => view.assumed.round(),
        );
    }

    /// Logs and counts a request whose answer ended before it was complete.
    pub(super) fn truncated(&self, error: &dyn std::error::Error) {
        self.count(RequestOutcome::Cut, 0);
        log_event!(self.host.log, LogEvent::OutcomeUnknown,
            "request" => self.attempt_id.clone(), "reason" => error.to_string());
    }

    /// Logs that the request is sent to a worker, and records its wait.
    pub(super) fn sent(&self, planned: &PlannedCall, call: &SentCall<'_>) {
        self.dispatches.borrow_mut().push(LoggedDispatch {
            worker: call.worker.clone(),
            connection: call.connection,
            via: call.tunnel.map(|tunnel| tunnel.host.clone()),
            number: call.number,
            sent_at: call.dispatched_at,
        });
        if let Some(labels) = self.labels.get() {
            let waited = call.dispatched_at.since(self.arrival);
            self.host.metrics.request_granted(labels, waited);
        }
        let roster = self.host.state.roster.borrow();
        log_event!(self.host.log, LogEvent::RequestSent,
            "request" => self.attempt_id.clone(),
            "worker" => call.worker.as_str(),
            "worker_started_ms" => roster.registered_start(call.worker).and_then(|start| start.0),
            "worker_missing" => roster.is_missing(call.worker),
            "worker_version" => call.version.map(WorkerVersion::as_str),
            "origin" => call.origin.map(OriginEvidence::as_str),
            "resumes" => planned.metadata.resumed_attempt.clone(),
            "resume_after" => call.resume_after.or(planned.metadata.resume_after),
            "attempt" => call.number,
            "choice" => call.choice.to_owned(),
            "connection" => call.connection.0,
            "kept" => call.reused,
            "hedge" => call.hedge,
            "via" => call.tunnel.map(|tunnel| tunnel.host.as_str()),
            "tier" => planned.tier.0,
            "wait_us" => micros(call.dispatched_at.since(self.arrival)),
            "left_ms" => millis(planned.deadline.since(call.dispatched_at)),
            "version" => planned.version,
            "crashes" => self.host.crashes.most_crashes(&planned.crash_candidates),
        );
    }

    /// Logs that a worker named another rate of requests than before, or none any more.
    pub(super) fn rate_changed(&self, worker: &WorkerName, rate: RateStatement) {
        let rate = match rate {
            RateStatement::Limited(rate) => Some(rate.to_string()),
            RateStatement::Unlimited | RateStatement::Unreadable => None,
        };
        log_event!(self.host.log, LogEvent::WorkerRateChanged,
            "request" => self.attempt_id.clone(), "worker" => worker.as_str(), "rate" => rate);
    }

    /// Returns the number of dispatches so far.
    fn dispatch_count(&self) -> u32 {
        let dispatches = self.dispatches.borrow();
        dispatches.last().map_or(0, |dispatch| dispatch.number)
    }

    /// Returns the last dispatch to a worker.
    fn dispatch_to(&self, worker: &WorkerName) -> Option<LoggedDispatch> {
        let dispatches = self.dispatches.borrow();
        let mut latest = dispatches.iter().rev();
        latest.find(|dispatch| dispatch.worker == *worker).cloned()
    }

    /// Returns the number of the connection that carried the last dispatch to a worker.
    fn connection(&self, worker: &WorkerName) -> Option<u64> {
        let dispatch = self.dispatch_to(worker);
        dispatch.map(|dispatch| dispatch.connection.0)
    }

    /// Logs that a worker turned the request away without running it.
    pub(super) fn turned_away(
        &self,
        worker: &WorkerName,
        status: StatusCode,
        answer: &AnswerMetadata,
    ) {
        log_event!(self.host.log, LogEvent::RequestTurnedAway,
            "request" => self.attempt_id.clone(), "worker" => worker.as_str(),
            "connection" => self.connection(worker),
            "status" => status.as_u16(),
            "rest_ms" => answer.rest.map(millis),
            "tolerated" => answer.tolerance.map(|tolerance| tolerance.0));
    }

    /// Logs that an answer is not used, since it may not be the one to the dispatch.
    pub(super) fn answer_unused(
        &self,
        worker: &WorkerName,
        status: StatusCode,
        answer: &AnswerMetadata,
    ) {
        log_event!(self.host.log, LogEvent::AnswerUnused,
            "request" => self.attempt_id.clone(), "worker" => worker.as_str(),
            "connection" => self.connection(worker),
            "status" => status.as_u16(),
            "answers" => answer.attempt_id.clone());
    }

    /// Logs that a worker stated in an answer that it is leaving, and what is known of it.
    pub(super) fn leaving_stated(&self, worker: &WorkerName, is_new: bool) {
        let roster = self.host.state.roster.borrow();
        let dispatch = self.dispatch_to(worker);
        let via = dispatch.as_ref().and_then(|dispatch| dispatch.via.as_ref());
        log_event!(self.host.log, LogEvent::WorkerLeaving,
            "request" => self.attempt_id.clone(), "worker" => worker.as_str(),
            "connection" => self.connection(worker),
            "via" => via.map(HostName::as_str),
            "registered" => roster.contains(worker),
            "started_ms" => roster.registered_start(worker).and_then(|start| start.0),
            "new" => is_new);
    }

    /// Logs that a granted slot was not used.
    pub(super) fn slot_unused(&self, worker: &WorkerName, reason: &dyn std::error::Error) {
        log_event!(self.host.log, LogEvent::SlotUnused,
            "request" => self.attempt_id.clone(), "worker" => worker.as_str(),
            "reason" => reason.to_string());
    }

    /// Logs and counts that a worker failed while it ran the request.
    ///
    /// `lost` is the failure to read its answer, if that is what failed.
    pub(super) fn failed(
        &self,
        worker: &WorkerName,
        reason: &CallError,
        lost: Option<&AnswerError>,
    ) {
        if let Some(record) = self.host.worker(worker) {
            self.host.metrics.worker_failed(&record.service);
        }
        log_event!(self.host.log, LogEvent::WorkerFailed,
            "request" => self.attempt_id.clone(), "worker" => worker.as_str(),
            "connection" => self.connection(worker),
            "reason" => reason.to_string(),
            "cause" => lost.map(ToString::to_string));
    }

    /// Logs and counts a request whose answer was relayed completely.
    pub(super) fn answered(
        &self,
        planned: &PlannedCall,
        relay: &AnswerRelay,
        worker: &WorkerName,
        dispatched_at: ClockTime,
    ) {
        let usage = planned.metadata.usage;
        let now = self.host.clock.now();
        let outcome = if now <= planned.deadline {
            RequestOutcome::InTime
        } else {
            RequestOutcome::Late
        };
        self.count(outcome, relay.tokens());
        if let (Some(labels), Some(first)) = (self.labels.get(), relay.time_to_first_event()) {
            let after = dispatched_at.since(planned.arrival) + first;
            self.host.metrics.first_token(labels, after);
            self.host.metrics.token_gap(labels, relay.token_gap());
        }
        log_event!(self.host.log, LogEvent::RequestAnswered,
            "request" => self.attempt_id.clone(),
            "worker" => worker.as_str(),
            "connection" => self.connection(worker),
            "tier" => planned.tier.0,
            "prompt_tokens" => usage.map_or(0, |usage| usage.prompt),
            "most_tokens" => usage.map_or(0, |usage| usage.answer),
            "hint_tokens" => planned.metadata.answer_hint,
            "answer_tokens" => relay.tokens(),
            "framing" => relay.framing().map(AnswerFraming::as_str),
            "partial_bytes" => relay.partial_bytes(),
            "gap_us" => micros(relay.token_gap()),
            "first_us" => relay.time_to_first_event().map(micros),
            "wait_us" => micros(dispatched_at.since(planned.arrival)),
            "total_us" => micros(now.since(planned.arrival)),
        );
    }
}

impl Drop for CallTrace<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.host.clock.now();
        let dispatches = self.dispatches.borrow();
        let dispatch = dispatches.last();
        // `log_event!` requires a constant event.
        macro_rules! log_end {
            ($event:expr) => {
                log_event!(self.host.log, $event,
                    "request" => self.attempt_id.clone(),
                    "worker" => dispatch.map(|dispatch| dispatch.worker.to_string()),
                    "sent_us" => dispatch.map(|dispatch| micros(now.since(dispatch.sent_at))),
                    "total_us" => micros(now.since(self.arrival)))
            };
        }
        if self.host.has_ended() {
            self.count(RequestOutcome::Cut, 0);
            log_end!(LogEvent::RequestCut);
        } else {
            self.count(RequestOutcome::CallerLeft, 0);
            log_end!(LogEvent::CallerLeft);
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
