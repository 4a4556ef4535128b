//! Runs a placed request: waits for a slot, connects to the worker and dispatches the request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use thiserror::Error;

use crate::cell::SlotAnswer;
use crate::cell::SlotLease;
use crate::connection::FreshConnection;
use crate::context::HostContext;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::attempt::is_final_status;
use crate::kernel::lifecycle::DispatchError;
use crate::kernel::lifecycle::DispatchedState;
use crate::kernel::lifecycle::GrantedState;
use crate::kernel::lifecycle::RequestLife;
use crate::kernel::lifecycle::WaitingState;
use crate::reply::CallerError;
use crate::request::ActiveRequest;
use crate::request::PlacedRequest;
use crate::upstream;
use crate::upstream::UpstreamAnswer;

/// The maximum number of slots that one request is granted without being dispatched.
const MAX_UNUSED_SLOTS: usize = 8;

/// The Retry-After time of a request that could not be dispatched.
const NOT_DISPATCHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that was dispatched to an upstream.
#[derive(Debug)]
pub struct DispatchedRequest {
    /// The lifecycle state of the request.
    pub life: RequestLife<DispatchedState>,
    /// The lease of the worker slot.
    pub lease: SlotLease,
    /// The address of the worker.
    pub address: SocketAddr,
    /// The answer, of which the head has arrived; `None` if the connection failed or timed out first, or
    /// the status is not that of a final answer.
    pub answer: Option<UpstreamAnswer>,
}

/// The reason why a granted slot was not used.
#[derive(Debug, Error)]
enum SlotError {
    #[error("the worker is draining, leaving or not configured")]
    Unavailable,
    #[error(transparent)]
    Unreachable(#[from] crate::connection::OpenError),
    #[error("no configuration is known to be in force")]
    Stale,
    #[error("the caller has disconnected")]
    CallerLeft,
    #[error(transparent)]
    Dispatch(#[from] DispatchError),
}

impl SlotError {
    /// Returns the reason for refusing the request after its last slot.
    const fn refusal_reason(&self) -> RefusalReason {
        match self {
            Self::Stale => RefusalReason::Stale,
            Self::CallerLeft => RefusalReason::Dropped,
            Self::Unavailable | Self::Unreachable(_) | Self::Dispatch(_) => RefusalReason::NoWorker,
        }
    }
}

/// Waits for a slot, opens a connection, dispatches the request to the upstream at most once and
/// waits for the head of the answer.
///
/// Calls `on_dispatch` right before the first byte is written.
///
/// # Errors
///
/// Returns an error if the request was not dispatched; it did not run.
pub async fn dispatch(
    context: &Rc<HostContext>,
    active: &ActiveRequest,
    placed: &PlacedRequest,
    mut on_dispatch: impl FnMut(),
) -> Result<DispatchedRequest, CallerError> {
    let mut life = RequestLife::waiting(placed.id, placed.rank, placed.deadline);
    let mut reason = RefusalReason::NoWorker;
    for _ in 0..MAX_UNUSED_SLOTS {
        let (granted, lease) = wait_for_slot(context, active, placed, life).await?;
        match use_slot(context, active, granted, lease).await {
            Ok((dispatched, lease, connection, address)) => {
                on_dispatch();
                active.mark_dispatched();
                let worker = &dispatched.grant().worker;
                active.step(format!("dispatched to {worker}"));
                context.journal.borrow_mut().dispatched(placed.id, worker);
                let limit = placed.deadline.since(context.clock.now());
                let sending = upstream::send(connection, address, placed);
                let answer = await_head(active, sending, placed, limit).await;
                return Ok(DispatchedRequest {
                    life: dispatched,
                    lease,
                    address,
                    answer,
                });
            }
            Err((SlotError::Dispatch(DispatchError::DeadlinePassed), _)) => {
                return Err(refused(
                    placed,
                    RefusalReason::Deadline,
                    NOT_DISPATCHED_RETRY_AFTER,
                ));
            }
            Err((SlotError::CallerLeft, _)) => {
                // The server drops this future as soon as it reads the close.
                return std::future::pending().await;
            }
            Err((error, waiting)) => {
                active.step(format!("slot not used: {error}"));
                reason = error.refusal_reason();
                life = waiting;
            }
        }
    }
    Err(refused(placed, reason, NOT_DISPATCHED_RETRY_AFTER))
}

async fn wait_for_slot(
    context: &Rc<HostContext>,
    active: &ActiveRequest,
    placed: &PlacedRequest,
    life: RequestLife<WaitingState>,
) -> Result<(RequestLife<GrantedState>, SlotLease), CallerError> {
    let now = context.clock.now();
    match context.cells.ask(placed.ask(now), placed.deadline).await {
        Some(SlotAnswer::Granted { grant, received }) => {
            active.granted(&grant);
            let lease = SlotLease::new(Rc::clone(&context.cells), grant.clone());
            Ok((life.granted(grant, received), lease))
        }
        Some(SlotAnswer::Refused(refusal)) => Err(CallerError::from(&refusal)),
        None => Err(refused(
            placed,
            RefusalReason::Dropped,
            NOT_DISPATCHED_RETRY_AFTER,
        )),
    }
}

type DispatchedSlot = (
    RequestLife<DispatchedState>,
    SlotLease,
    FreshConnection,
    SocketAddr,
);

async fn use_slot(
    context: &Rc<HostContext>,
    active: &ActiveRequest,
    granted: RequestLife<GrantedState>,
    mut lease: SlotLease,
) -> Result<DispatchedSlot, (SlotError, RequestLife<WaitingState>)> {
    let Some(address) = context.worker_address(&granted.grant().worker) else {
        return Err((SlotError::Unavailable, granted.release_grant()));
    };
    let connection = match FreshConnection::open(address).await {
        Ok(connection) => connection,
        Err(error) => {
            lease.failed();
            return Err((error.into(), granted.release_grant()));
        }
    };
    // Nothing from here to the dispatch awaits, so the checked conditions still hold when the first
    // byte is written.
    if context.worker_address(&granted.grant().worker).is_none() {
        return Err((SlotError::Unavailable, granted.release_grant()));
    }
    let now = context.clock.now();
    if !context.may_take_work(now) {
        return Err((SlotError::Stale, granted.release_grant()));
    }
    if active.has_caller_left() {
        return Err((SlotError::CallerLeft, granted.release_grant()));
    }
    let dispatched = granted
        .dispatch(now)
        .map_err(|(error, life)| (error.into(), life))?;
    lease.dispatched();
    Ok((dispatched, lease, connection, address))
}

async fn await_head<F>(
    active: &ActiveRequest,
    sending: F,
    placed: &PlacedRequest,
    limit: Duration,
) -> Option<UpstreamAnswer>
where
    F: Future<Output = Result<UpstreamAnswer, awc::error::SendRequestError>>,
{
    let limit = if placed.incoming.stream {
        limit.min(ANSWER_HEAD_TIMEOUT)
    } else {
        limit
    };
    match tokio::time::timeout(limit, sending).await {
        Ok(Ok(answer)) if is_final_status(answer.status().as_u16()) => Some(answer),
        Ok(Ok(answer)) => {
            active.step(format!(
                "the answer has status {}",
                answer.status().as_u16()
            ));
            None
        }
        Ok(Err(error)) => {
            active.step(format!("the connection ended before an answer: {error}"));
            None
        }
        Err(_elapsed) => {
            active.step(format!("no answer within {limit:?}"));
            None
        }
    }
}

/// The timeout for the head of a streamed answer, after which the stream is resumed on a new
/// connection.
const ANSWER_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

fn refused(placed: &PlacedRequest, reason: RefusalReason, retry_after: Duration) -> CallerError {
    CallerError::from(&Refusal {
        request: placed.id,
        reason,
        retry_after,
    })
}

/// Returns the error of a dispatched request whose answer was lost, so that it may have run.
#[must_use]
pub fn lost_answer(message: impl Into<String>) -> CallerError {
    CallerError::unknown(StatusCode::BAD_GATEWAY, "outcome_unknown", message)
}
