//! The slot for one dispatch of a request: the wait for its grant, and its use.

use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;

use super::call_error::CallError;
use super::call_facts::SentCall;
use super::caller::CallerWriter;
use super::connector::ConnectError;
use super::crash;
use super::exchange::CallExchange;
use super::exchange::refusal_error;
use super::plan;
use super::release::DispatchCount;
use super::stop;
use super::worker::WorkerConnection;
use super::worker::WorkerEndpoint;
use crate::cell::SlotAnswer;
use crate::cell::SlotLease;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::attempt::RepeatError;
use crate::kernel::clock::ClockTime;
use crate::kernel::departure::WorkerStanding;
use crate::kernel::lifecycle::DispatchError;
use crate::kernel::lifecycle::DispatchedState;
use crate::kernel::lifecycle::GrantedState;
use crate::kernel::lifecycle::RequestLife;
use crate::kernel::lifecycle::WaitingState;
use crate::kernel::name::WorkerName;
use crate::kernel::name::WorkerVersion;
use crate::kernel::prompt::PartDigest;
use crate::kernel::roster::UpstreamRecord;

/// A request that counts as dispatched to a worker.
pub(super) struct DispatchedCall {
    pub(super) life: RequestLife<DispatchedState>,
    pub(super) lease: SlotLease,
    pub(super) worker: WorkerName,
    /// The process to which the request was sent.
    pub(super) endpoint: WorkerEndpoint,
    /// The crash candidates that had a crash on record.
    pub(super) suspected: Vec<PartDigest>,
    /// The version of the worker's software, if it states one.
    pub(super) version: Option<WorkerVersion>,
    /// Whether the version is the target of a release in progress.
    pub(super) to_target: bool,
    pub(super) dispatched_at: ClockTime,
}

/// Reason why a granted slot was not used; the text can reach the caller.
#[derive(Debug, Error)]
pub(super) enum SlotError {
    /// The worker is no longer usable, or the request was replanned to another service.
    #[error("the worker is no longer available")]
    WorkerGone,
    /// The broker knows the worker, but this host does not, or no longer.
    #[error("the worker is not registered")]
    WorkerUnknown,
    /// The worker was leaving, and a health check has not shown yet whether it has started again.
    #[error("the worker may be leaving")]
    WorkerUnconfirmed,
    /// The release of the service does not allow the version of the worker.
    #[error("the release does not allow the worker's version")]
    VersionNotAllowed,
    /// The worker asked this host for rest.
    #[error("the worker wants no requests for {remaining:?}")]
    WorkerResting {
        /// The rest of that time.
        remaining: Duration,
    },
    /// The request was granted the slot before crashes made it a suspect.
    #[error("the request may crash its worker and runs only if no other one of that kind does")]
    Suspect,
    /// No connection to the worker could be opened.
    #[error(transparent)]
    Unreachable(#[from] ConnectError),
    /// The caller has disconnected.
    #[error("the caller has disconnected")]
    CallerLeft,
    /// The grant or the deadline of the request has expired.
    #[error(transparent)]
    Dispatch(#[from] DispatchError),
    /// The request may have run, and its route allows no further run any more.
    #[error(transparent)]
    Repeat(#[from] RepeatError),
    /// The request may no longer be sent to a worker.
    #[error(transparent)]
    Call(#[from] CallError),
}

impl SlotError {
    /// Returns whether the reason probably ends soon, so that the request may be granted the same
    /// worker again.
    pub(super) const fn may_pass(&self) -> bool {
        matches!(self, Self::WorkerUnknown | Self::WorkerUnconfirmed)
    }
}

impl CallExchange<'_> {
    /// Asks the broker for a slot on a worker and waits for the grant.
    pub(super) async fn wait_for_slot(
        &mut self,
        life: RequestLife<WaitingState>,
    ) -> Result<(RequestLife<GrantedState>, SlotLease), CallError> {
        match self.ask_for_slot().await? {
            Some(SlotAnswer::Granted { grant, received }) => {
                let lease = SlotLease::new(Rc::clone(&self.host.cells), grant.clone());
                Ok((life.granted(grant, received), lease))
            }
            Some(SlotAnswer::Refused(refusal)) => {
                self.record_refusal(refusal.reason);
                Err(self.fail_unsent(self.slot_error(&refusal)))
            }
            None => Err(self.fail_unsent(stop::stop_refusal(self.host))),
        }
    }

    /// Asks the broker for a slot, and asks again once the request is no longer a suspect, or if a
    /// release no longer allows the version that it waits for.
    async fn ask_for_slot(&mut self) -> Result<Option<SlotAnswer>, CallError> {
        loop {
            let now = self.host.clock.now();
            self.is_suspect = crash::is_suspect(self.host, &self.planned);
            self.demand = self
                .version_demand()
                .map_err(|error| self.fail_unsent(error))?;
            let version = self.demand.asked().cloned();
            let ask = self.planned.ask(now, version, self.is_suspect);
            let waiting = self.host.cells.ask(ask, self.planned.deadline);
            if !self.is_suspect && !self.host.releases.is_active() {
                return Ok(waiting.await);
            }
            tokio::select! {
                biased;
                answer = waiting => {
                    if self.asks_elsewhere(answer.as_ref()) {
                        continue;
                    }
                    return Ok(answer);
                }
                () = crash::wait_until_judged(self.host, &self.planned), if self.is_suspect => (),
                () = self.wait_until_forbidden() => (),
            }
            crash::check_quarantine(self.host, &self.planned)
                .map_err(|error| self.fail_unsent(error))?;
        }
    }

    /// Obtains a connection to the granted worker and marks the request as dispatched.
    ///
    /// There is no await point between the last checks and the dispatch, so the configuration, the
    /// worker and the grant can't change in between. Whether the caller is still there is asked of
    /// the kernel, since its close can wait in the socket while the grant is processed.
    pub(super) async fn use_slot(
        &mut self,
        granted: RequestLife<GrantedState>,
        mut lease: SlotLease,
        caller: &CallerWriter<'_>,
    ) -> Result<(DispatchedCall, WorkerConnection), (SlotError, RequestLife<WaitingState>)> {
        let worker = granted.grant().worker.clone();
        let Some(record) = self.host.worker(&worker) else {
            let error = self.unusable_error(&worker, &lease);
            return Err((error, granted.release_grant()));
        };
        if let Some(remaining) = self.remaining_rest(&worker) {
            lease.rejected(remaining);
            let error = SlotError::WorkerResting { remaining };
            return Err((error, granted.release_grant()));
        }
        let now = self.host.clock.now();
        let choice = granted.grant().choice.clone();
        let pool = &self.host.pool;
        let idle = pool.take(now, &worker, &self.used_connections);
        let is_reused = idle.is_some();
        let connection = if let Some(connection) = idle {
            connection
        } else {
            match self
                .host
                .connect_worker(&worker, WorkerEndpoint::from(&record))
                .await
            {
                Ok(connection) => connection,
                Err(error) => {
                    self.host.pool.close_connections(&worker);
                    if error.blames_worker {
                        lease.failed();
                    }
                    return Err((error.into(), granted.release_grant()));
                }
            }
        };
        let now = self.host.clock.now();
        if let Err(error) = self.check_plan(now) {
            return Err((error, granted.release_grant()));
        }
        let record = match self.check_worker(&worker, connection.endpoint()) {
            Ok(record) => record,
            Err(error) => {
                if let SlotError::WorkerResting { remaining } = error {
                    lease.rejected(remaining);
                }
                return Err((error, granted.release_grant()));
            }
        };
        if caller.has_disconnected() {
            return Err((SlotError::CallerLeft, granted.release_grant()));
        }
        let mut tally = self.dispatches;
        let limits = self.planned.route.repeat_limits();
        if let Err(error) = tally.record_dispatch(limits) {
            return Err((error.into(), granted.release_grant()));
        }
        let life = granted
            .dispatch(now)
            .map_err(|(error, life)| (error.into(), life))?;
        lease.dispatched();
        self.dispatches = tally;
        self.used_connections.push(connection.number());
        let sent = SentCall {
            worker: &worker,
            version: record.version.as_ref(),
            origin: self.origin,
            number: self.dispatches.count(),
            choice: &choice,
            resume_after: self.relay.last_event_id(),
            connection: connection.number(),
            reused: is_reused,
            // The grant of a hedge bears an identifier of its own.
            hedge: lease.grant().request != self.planned.id,
            tunnel: connection.tunnel(),
            dispatched_at: now,
        };
        self.trace.sent(&self.planned, &sent);
        self.count = DispatchCount::of_dispatch(self.host, &self.planned, &record, now);
        let to_target = self.count.as_ref().is_some_and(|count| count.is_target());
        let dispatched = DispatchedCall {
            life,
            lease,
            worker,
            endpoint: connection.endpoint(),
            version: record.version,
            to_target,
            suspected: self.host.crashes.suspected(&self.planned.crash_candidates),
            dispatched_at: now,
        };
        Ok((dispatched, connection))
    }

    /// Plans the request again, and checks whether it may still use a slot that it was granted.
    fn check_plan(&mut self, now: ClockTime) -> Result<(), SlotError> {
        if let Some(planned) = plan::replan_request(self.host, self.request, &self.planned, now)? {
            let is_moved = planned.service != self.planned.service;
            self.planned = planned;
            if is_moved {
                return Err(SlotError::WorkerGone);
            }
        }
        crash::check_quarantine(self.host, &self.planned)?;
        if !self.is_suspect && crash::is_suspect(self.host, &self.planned) {
            return Err(SlotError::Suspect);
        }
        Ok(())
    }

    /// Returns the registration of a granted worker if the request may be sent to it on a connection to
    /// the process.
    fn check_worker(
        &self,
        worker: &WorkerName,
        endpoint: WorkerEndpoint,
    ) -> Result<UpstreamRecord, SlotError> {
        let record = self.host.worker(worker).ok_or(SlotError::WorkerGone)?;
        // The worker may have started again while the connection was opened.
        let is_present = endpoint == WorkerEndpoint::from(&record);
        let may_run = self.required_version.is_none() || record.version == self.required_version;
        if !is_present || !may_run {
            return Err(SlotError::WorkerGone);
        }
        // The release may have changed while the request waited.
        if !self.version_demand()?.allows(record.version.as_ref()) {
            return Err(SlotError::VersionNotAllowed);
        }
        match self.remaining_rest(worker) {
            Some(remaining) => Err(SlotError::WorkerResting { remaining }),
            None => Ok(record),
        }
    }

    /// Returns the reason why this host does not use a worker that it was granted.
    fn unusable_error(&self, worker: &WorkerName, lease: &SlotLease) -> SlotError {
        match self.host.state.roster.borrow().standing(worker) {
            None => SlotError::WorkerUnknown,
            Some(WorkerStanding::Unconfirmed) => SlotError::WorkerUnconfirmed,
            Some(WorkerStanding::Leaving) => {
                // The broker does not know it if it has taken over since.
                lease.leaving_named();
                SlotError::WorkerGone
            }
            Some(WorkerStanding::Serving) => SlotError::WorkerGone,
        }
    }

    /// Returns what is left of the rest that the worker asked this host for, if any.
    fn remaining_rest(&self, worker: &WorkerName) -> Option<Duration> {
        let now = self.host.clock.now();
        let remaining = self.host.rests.borrow().remaining(now, worker);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the error for a refused ask.
    ///
    /// A refusal for lack of time at a stopping host does not hold at other hosts, whose asks may wait
    /// until the caller's deadline.
    fn slot_error(&self, refusal: &Refusal) -> CallError {
        let lacks_time = refusal.reason == RefusalReason::Deadline;
        if lacks_time && self.host.stops_before(self.planned.deadline) {
            stop::stop_refusal(self.host)
        } else {
            Self::broker_error(refusal)
        }
    }

    /// Returns the error for a refusal by the broker.
    fn broker_error(refusal: &Refusal) -> CallError {
        let reason = match refusal.reason {
            RefusalReason::Capacity => "too many requests are waiting",
            RefusalReason::Deadline => "no worker can answer in time",
            RefusalReason::Dropped => "an operator dropped the request",
            RefusalReason::NoWorker => "no worker serves this service or model",
            RefusalReason::Platform => "the platform does not answer",
            RefusalReason::Quarantined => "requests with the same content crashed workers",
            RefusalReason::Stale => "no configuration that is recent enough",
        };
        refusal_error(reason, refusal.retry_after)
    }
}
