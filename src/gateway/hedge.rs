//! Hedges: the second dispatch of a request whose first one is slow, and the race of both.
//!
//! [`crate::kernel::hedge`] says when one is sent. The race ends when the beginning of a usable answer
//! has been read, before any of it is relayed: the other dispatch is dropped, which resets its
//! connection and frees its slot. An answer that can't be relayed ends nothing while the other dispatch
//! goes on.

use std::rc::Rc;

use tokio::time::sleep_until;
use tokio::time::timeout;

use super::call_error::CallError;
use super::caller::CallerWriter;
use super::crash;
use super::exchange::CallExchange;
use super::host::GatewayHost;
use super::pending::AwaitedAnswer;
use super::pending::PendingDispatch;
use super::pending::is_usable;
use crate::cell::SlotAnswer;
use crate::cell::SlotLease;
use crate::event::LogEvent;
use crate::kernel::ask::Ask;
use crate::kernel::ask::Grant;
use crate::kernel::ask::RefusalReason;
use crate::kernel::attempt::NotRunProof;
use crate::kernel::attempt::RunStatement;
use crate::kernel::attempt::is_final_status;
use crate::kernel::clock::ClockTime;
use crate::kernel::hedge::HedgeCandidate;
use crate::kernel::hedge::HedgeRefusal;
use crate::kernel::hedge::RequestClass;
use crate::kernel::hedge::SLOT_WAIT;
use crate::kernel::lifecycle::DispatchedState;
use crate::kernel::lifecycle::RequestLife;
use crate::kernel::lifecycle::WaitingState;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkerName;
use crate::log_event;
use crate::metrics::HedgeLabel;

/// A hedge that was sent; counts and logs its outcome when it is dropped.
struct HedgeRecord {
    host: Rc<GatewayHost>,
    attempt_id: String,
    service: ServiceName,
    worker: WorkerName,
    outcome: HedgeLabel,
}

impl Drop for HedgeRecord {
    fn drop(&mut self) {
        self.host.metrics.hedge(&self.service, self.outcome);
        log_event!(self.host.log, LogEvent::HedgeEnded,
            "request" => self.attempt_id.clone(),
            "worker" => self.worker.as_str(),
            "outcome" => self.outcome.as_str());
    }
}

impl<'a> CallExchange<'a> {
    /// Returns whether the request may be hedged, so that the beginning of its answer is read ahead and
    /// the time until then is recorded.
    ///
    /// A dispatch that is counted for a release is not hedged: a slow version would seem to be sound.
    pub(super) fn may_hedge(&self) -> bool {
        let kind = self.planned.route.kind;
        let is_counted = self.count.is_some();
        !is_counted && !self.relay.has_begun() && self.host.hedges.borrow().may_hedge(kind)
    }

    /// Records that the broker refused a request, after which none is hedged for a while if capacity
    /// was lacking.
    pub(super) fn record_refusal(&self, reason: RefusalReason) {
        if matches!(reason, RefusalReason::Capacity | RefusalReason::Deadline) {
            let now = self.host.clock.now();
            self.host.hedges.borrow_mut().record_refusal(now);
        }
    }

    /// Waits for the answer of a dispatch, and sends a hedge if it is slow. Returns the dispatch whose
    /// answer counts; the other one has been cancelled or has failed.
    pub(super) async fn await_answer(
        &mut self,
        mut first: PendingDispatch<'a>,
        caller: &CallerWriter<'_>,
    ) -> (PendingDispatch<'a>, AwaitedAnswer) {
        if !self.may_hedge() {
            let answer = first.answer().await;
            return (first, answer);
        }
        let class = self.request_class();
        if let Some(answer) = self.answer_before_hedge(&mut first, &class).await {
            self.record_time(&class, &first, is_usable(&answer));
            return (first, answer);
        }
        let worker = first.evidence.worker.clone();
        let hedge = match self.permit_hedge(&first.life) {
            Ok(life) => tokio::select! {
                biased;
                answer = first.answer() => {
                    self.record_time(&class, &first, is_usable(&answer));
                    return (first, answer);
                }
                hedge = self.send_hedge(life, &worker, caller) => hedge,
            },
            Err(refusal) => Err(refusal),
        };
        match hedge {
            Ok(hedge) => self.race(first, hedge, &class).await,
            Err(refusal) => {
                self.hedge_refused(&worker, refusal);
                let answer = first.answer().await;
                self.record_time(&class, &first, is_usable(&answer));
                (first, answer)
            }
        }
    }

    /// Returns the answer of the first dispatch unless a hedge is due before it comes.
    async fn answer_before_hedge(
        &self,
        first: &mut PendingDispatch<'a>,
        class: &RequestClass,
    ) -> Option<AwaitedAnswer> {
        let kind = self.planned.route.kind;
        let delay = self.host.hedges.borrow().delay(kind, class);
        let Some(delay) = delay.filter(|_| !self.is_hedged) else {
            return Some(first.answer().await);
        };
        let due = first.sent_at + delay;
        tokio::select! {
            biased;
            answer = first.answer() => Some(answer),
            () = sleep_until(due) => None,
        }
    }

    fn request_class(&self) -> RequestClass {
        let route = &self.planned.route;
        let usage = self.planned.metadata.usage;
        let prompt_tokens = usage.map_or(0, |usage| usage.prompt);
        RequestClass::new(&route.hostname, &route.prefix, prompt_tokens)
    }

    /// Records the time since the first dispatch if it ended with a usable answer or was cancelled for
    /// one.
    fn record_time(&self, class: &RequestClass, first: &PendingDispatch<'_>, is_usable: bool) {
        if is_usable {
            let now = self.host.clock.now();
            let time = first.sent_at.elapsed();
            self.host.hedges.borrow_mut().record_time(now, class, time);
        }
    }

    /// Permits a hedge to ask for a slot.
    fn permit_hedge(
        &self,
        first: &RequestLife<DispatchedState>,
    ) -> Result<RequestLife<WaitingState>, HedgeRefusal> {
        let now = self.host.clock.now();
        let candidate = self.hedge_candidate();
        let permit = self.host.hedges.borrow().permit(now, &candidate)?;
        Ok(first.hedge(permit, self.host.next_request_id()))
    }

    fn hedge_candidate(&self) -> HedgeCandidate<'_> {
        HedgeCandidate {
            service: &self.planned.service,
            limits: self.planned.route.repeat_limits(),
            dispatches: self.dispatches,
            is_suspect: self.is_suspect || crash::is_suspect(self.host, &self.planned),
        }
    }

    /// Asks for a slot on another worker and dispatches the request to it.
    async fn send_hedge(
        &mut self,
        life: RequestLife<WaitingState>,
        first: &WorkerName,
        caller: &CallerWriter<'_>,
    ) -> Result<PendingDispatch<'a>, HedgeRefusal> {
        let asked = timeout(SLOT_WAIT, self.ask_hedge_slot(life.request(), first)).await;
        let (grant, received) = asked.ok().flatten().ok_or(HedgeRefusal::NoSlot)?;
        let worker = grant.worker.clone();
        let lease = SlotLease::new(Rc::clone(&self.host.cells), grant.clone());
        if worker == *first {
            return Err(HedgeRefusal::NoSlot);
        }
        self.take_hedge()?;
        // The first dispatch keeps its plan if the hedge is not sent.
        let planned = self.planned.clone();
        let granted = life.granted(grant, received);
        let (dispatched, connection) = match self.use_slot(granted, lease, caller).await {
            Ok(used) => used,
            Err((error, _)) => {
                self.trace.slot_unused(&worker, &error);
                self.planned = planned;
                return Err(HedgeRefusal::SlotUnused);
            }
        };
        self.is_hedged = true;
        // A release that began since the first dispatch compares no answers of a race.
        if let Some(count) = self.count.take() {
            count.not_run();
        }
        Ok(self.begin_dispatch(dispatched, connection))
    }

    async fn ask_hedge_slot(
        &self,
        request: RequestId,
        first: &WorkerName,
    ) -> Option<(Grant, ClockTime)> {
        let now = self.host.clock.now();
        let demand = self.version_demand().ok()?;
        let version = demand.asked().cloned();
        let ask = Ask {
            request,
            hedged_worker: Some(first.clone()),
            ..self.planned.ask(now, version, false)
        };
        match self.host.cells.ask(ask, self.planned.deadline).await {
            Some(SlotAnswer::Granted { grant, received }) => Some((grant, received)),
            Some(SlotAnswer::Refused(_)) | None => None,
        }
    }

    fn take_hedge(&self) -> Result<(), HedgeRefusal> {
        let now = self.host.clock.now();
        let candidate = self.hedge_candidate();
        let take_retry = || self.host.take_retry(now, &self.planned.service);
        self.host
            .hedges
            .borrow_mut()
            .take(now, &candidate, take_retry)
    }

    /// Waits for the first usable answer of two dispatches and cancels the other one.
    async fn race(
        &mut self,
        mut first: PendingDispatch<'a>,
        mut hedge: PendingDispatch<'a>,
        class: &RequestClass,
    ) -> (PendingDispatch<'a>, AwaitedAnswer) {
        let mut record = self.record_hedge(&first, &hedge);
        let (is_first, answer) = tokio::select! {
            biased;
            answer = first.answer() => (true, answer),
            answer = hedge.answer() => (false, answer),
        };
        if is_usable(&answer) {
            self.record_time(class, &first, true);
            record.outcome = if is_first {
                HedgeLabel::Lost
            } else {
                HedgeLabel::Won
            };
            // The other dispatch is dropped here, before anything is relayed.
            return (if is_first { first } else { hedge }, answer);
        }
        let (ended, mut other) = if is_first {
            (first, hedge)
        } else {
            record.outcome = HedgeLabel::Failed;
            (hedge, first)
        };
        self.end_unusable(ended, answer).await;
        let answer = other.answer().await;
        let is_answered = is_usable(&answer);
        if is_first {
            record.outcome = if is_answered {
                HedgeLabel::Won
            } else {
                HedgeLabel::Failed
            };
        } else {
            self.record_time(class, &other, is_answered);
        }
        (other, answer)
    }

    /// Ends a dispatch without a usable answer while the other one goes on.
    async fn end_unusable(&mut self, mut ended: PendingDispatch<'a>, answer: AwaitedAnswer) {
        let mut matched = match answer {
            Some(Ok(matched)) => matched,
            Some(Err(error)) => {
                self.end_broken(ended, &CallError::Lost, Some(error)).await;
                return;
            }
            None => {
                self.end_broken(ended, &CallError::TimedOut, None).await;
                return;
            }
        };
        let worker = ended.evidence.worker.clone();
        let status = matched.answer.head().status;
        if !is_final_status(status.as_u16()) {
            self.trace.answer_unused(&worker, status, &matched.metadata);
            self.end_broken(ended, &CallError::Lost, None).await;
            return;
        }
        self.observe_head(&mut ended, &matched.metadata);
        let statement = RunStatement {
            not_run: matched.metadata.not_run,
            names_request: matched.metadata.attempt_id.is_some(),
        };
        if let Some(proof) = NotRunProof::of(statement) {
            // Only the count of runs changes: no further dispatch is sent while the other one goes on.
            let _permit = self.dispatches.permit_after_rejection(&proof);
            self.trace.turned_away(&worker, status, &matched.metadata);
            ended
                .lease
                .rejected(matched.metadata.rest.unwrap_or_default());
            self.return_to_pool(&worker, matched.answer, &matched.metadata)
                .await;
            return;
        }
        if matched.metadata.not_run {
            self.trace.answer_unused(&worker, status, &matched.metadata);
        }
        if status.is_server_error() {
            ended.lease.erred();
            self.return_to_pool(&worker, matched.answer, &matched.metadata)
                .await;
        } else {
            let lost = matched.answer.take_failure();
            drop(matched);
            self.end_broken(ended, &CallError::Lost, lost).await;
        }
    }

    fn record_hedge(
        &self,
        first: &PendingDispatch<'_>,
        hedge: &PendingDispatch<'_>,
    ) -> HedgeRecord {
        let service = self.planned.service.clone();
        self.host.metrics.hedge(&service, HedgeLabel::Sent);
        let after = first.sent_at.elapsed();
        log_event!(self.host.log, LogEvent::HedgeSent,
            "request" => self.planned.attempt_id.clone(),
            "worker" => hedge.evidence.worker.as_str(),
            "first" => first.evidence.worker.as_str(),
            "after_us" => u64::try_from(after.as_micros()).unwrap_or(u64::MAX));
        HedgeRecord {
            host: Rc::clone(self.host),
            attempt_id: self.planned.attempt_id.clone(),
            service,
            worker: hedge.evidence.worker.clone(),
            outcome: HedgeLabel::Cancelled,
        }
    }

    fn hedge_refused(&self, first: &WorkerName, refusal: HedgeRefusal) {
        let service = &self.planned.service;
        self.host.metrics.hedge_refused(service, refusal);
        log_event!(self.host.log, LogEvent::HedgeRefused,
            "request" => self.planned.attempt_id.clone(),
            "first" => first.as_str(),
            "reason" => refusal.as_str());
    }
}
