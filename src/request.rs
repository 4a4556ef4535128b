//! A request that was placed in a tier, and the guard of its journal record.

use std::cell::Cell;
use std::cell::OnceCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use actix_http::Request;
use actix_http::header::HeaderMap;

use crate::context::HostContext;
use crate::event::LogEvent;
use crate::intake::IncomingRequest;
use crate::journal::RequestEnd;
use crate::journal::RequestPhase;
use crate::kernel::ask::Ask;
use crate::kernel::ask::Grant;
use crate::kernel::clock::ClockTime;
use crate::kernel::lifecycle::RunOutcome;
use crate::kernel::name::RequestId;
use crate::kernel::name::TierName;
use crate::kernel::name::TierRank;
use crate::kernel::name::WorkspaceName;
use crate::log_event;
use crate::metrics::RequestLabels;
use crate::probe::ConnectionProbe;
use crate::probe::ReceiveState;
use crate::reply::CallerError;

/// A request that was placed in a tier.
#[derive(Clone, Debug)]
pub struct PlacedRequest {
    /// The identifier.
    pub id: RequestId,
    /// The workspace that the caller's key belongs to.
    pub workspace: WorkspaceName,
    /// The name of the tier.
    pub tier: TierName,
    /// The rank of the tier.
    pub rank: TierRank,
    /// The time of placement, after the body was read; the deadline counts from it.
    pub placed_at: ClockTime,
    /// The time by which the answer must be complete.
    pub deadline: ClockTime,
    /// Whether its content may crash workers, so that it must run alone on its worker.
    pub suspect: bool,
    /// The validated request.
    pub incoming: IncomingRequest,
    /// The headers as received from the caller.
    pub headers: HeaderMap,
}

impl PlacedRequest {
    /// Returns the ask to send to the broker for a slot.
    #[must_use]
    pub fn ask(&self, now: ClockTime) -> Ask {
        Ask {
            request: self.id,
            service: self.incoming.service.clone(),
            model: self.incoming.model.clone(),
            version: None,
            workspace: self.workspace.clone(),
            tier: self.rank,
            budget: self.deadline.since(now),
            first_token_target: None,
            token_gap_target: None,
            prompt_tokens: self.incoming.prompt_tokens,
            max_answer_tokens: self.incoming.max_answer_tokens,
            hinted_tokens: None,
            prefix: self.incoming.prefix.clone(),
            suspect: self.suspect,
            hedged_worker: None,
        }
    }
}

/// The guard of a request's journal record; dropping it before the request ended records that the
/// caller disconnected.
#[derive(Debug)]
pub struct ActiveRequest {
    context: Rc<HostContext>,
    id: RequestId,
    outcome: Cell<RunOutcome>,
    ended: Cell<bool>,
    /// The connection of the caller; empty if the request continues without its caller.
    caller: OnceCell<Weak<ConnectionProbe>>,
    labels: RequestLabels,
    placed_at: ClockTime,
}

impl ActiveRequest {
    /// Creates the guard of a request whose record is open.
    #[must_use]
    pub fn new(context: Rc<HostContext>, placed: &PlacedRequest) -> Self {
        Self {
            context,
            id: placed.id,
            outcome: Cell::new(RunOutcome::No),
            ended: Cell::new(false),
            caller: OnceCell::new(),
            labels: RequestLabels::new(&placed.tier, &placed.incoming.service),
            placed_at: placed.placed_at,
        }
    }

    /// Lets the request depend on the caller's connection.
    pub fn watch_caller(&self, request: &Request) {
        if let Some(probe) = request.conn_data::<Rc<ConnectionProbe>>() {
            let _ = self.caller.set(Rc::downgrade(probe));
        }
    }

    /// Returns whether the request depends on its caller and the caller has disconnected.
    #[must_use]
    pub fn has_caller_left(&self) -> bool {
        let Some(caller) = self.caller.get() else {
            return false;
        };
        let probe = caller.upgrade();
        probe.is_none_or(|probe| probe.state() == ReceiveState::Closed)
    }

    /// Adds a step with the current time to the record.
    pub fn step(&self, text: impl Into<String>) {
        let now = self.context.clock.now();
        self.context.journal.borrow_mut().step(self.id, now, text);
    }

    /// Records that a slot was granted.
    pub fn granted(&self, grant: &Grant) {
        self.step(format!("granted {}: {}", grant.worker, grant.choice));
        log_event!(self.context.log, LogEvent::RequestGranted,
            "request" => self.id.to_string(), "worker" => grant.worker.to_string());
        let metrics = &self.context.metrics;
        metrics.request_granted(&self.labels, self.age());
    }

    /// Records the time to the first token, when the first complete event of a stream or the first
    /// bytes of another answer have arrived.
    pub fn first_token(&self) {
        let metrics = &self.context.metrics;
        metrics.first_token(&self.labels, self.age());
    }

    /// Records further tokens: the total so far, as for [`Self::set_answer_tokens`], and the time
    /// since the previous ones.
    pub fn record_tokens(&self, total: u32, gap: Duration) {
        self.context.metrics.token_gap(&self.labels, gap);
        self.set_answer_tokens(total);
    }

    /// Records the total number of answer tokens that have arrived; for a stream, each event with a
    /// numeric identifier counts as one token.
    pub fn set_answer_tokens(&self, total: u32) {
        self.context
            .journal
            .borrow_mut()
            .set_answer_tokens(self.id, total);
    }

    /// Records that the stream was resumed on a new connection after the event with the given
    /// identifier.
    pub fn resumed(&self, after: u64) {
        self.step(format!("resumed after event {after}"));
        log_event!(self.context.log, LogEvent::StreamResumed,
            "request" => self.id.to_string(), "after" => after);
        self.context.metrics.stream_resumed(&self.labels);
    }

    fn age(&self) -> Duration {
        self.context.clock.now().since(self.placed_at)
    }

    /// Records the dispatch, after which the request may have run.
    pub fn mark_dispatched(&self) {
        self.outcome.set(RunOutcome::Unknown);
        log_event!(self.context.log, LogEvent::RequestDispatched,
            "request" => self.id.to_string());
    }

    /// Records that the complete answer arrived; its last bytes may still have to be sent to the
    /// caller.
    pub fn finished(&self) {
        self.end(RequestPhase::Finished, RunOutcome::Yes, None);
    }

    /// Records the error that the caller gets as its answer.
    pub fn failed(&self, error: &CallerError) {
        let phase = match error.ran {
            RunOutcome::No => RequestPhase::Refused,
            RunOutcome::Unknown | RunOutcome::Yes => RequestPhase::Failed,
        };
        self.step(format!("answered {}: {}", error.code, error.message));
        self.end(phase, error.ran, Some(error));
    }

    fn end(&self, phase: RequestPhase, ran: RunOutcome, error: Option<&CallerError>) {
        if self.ended.replace(true) {
            return;
        }
        let code = error.map(|error| error.code);
        let retry_after = error.and_then(|error| error.retry_after);
        let refusal = error.and_then(|error| error.refusal);
        let end = RequestEnd {
            phase,
            code,
            ran,
            retry_after,
            refusal,
        };
        self.context.request_ended(self.id, end);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.step("the caller disconnected");
            self.end(RequestPhase::Abandoned, self.outcome.get(), None);
        }
    }
}
