//! Runs non-idempotent requests at most once.
//!
//! A request is claimed under its idempotency key before its dispatch, and its answer is stored for
//! repeats. It runs in a task of its own, which continues when the caller disconnects, so that a
//! repeat finds the answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;

use crate::cell::SlotLease;
use crate::claims::ClaimError;
use crate::claims::ClaimOutcome;
use crate::claims::DispatchedClaim;
use crate::claims::HeldClaim;
use crate::claims::StoredAnswer;
use crate::claims::StoredHeader;
use crate::connection::FreshConnection;
use crate::context::HostContext;
use crate::execution;
use crate::execution::DispatchedRequest;
use crate::execution::lost_answer;
use crate::kernel::claim::ContentDigest;
use crate::kernel::lifecycle::RunOutcome;
use crate::metrics;
use crate::reply::CallerError;
use crate::reply::response_builder;
use crate::request::ActiveRequest;
use crate::request::PlacedRequest;
use crate::upstream;
use crate::upstream::UpstreamAnswer;
use crate::upstream::UpstreamBody;
use crate::usage::UsageCollector;

/// The maximum body size of an answer that is stored for repeats, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 8_388_608;

/// The Retry-After time while the platform is unavailable.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The Retry-After time of a repeat whose original request is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The header that marks a stored answer which is sent to a repeat.
const REPLAYED_HEADER: &str = "x-borageladder-replayed";

/// Runs a request at most once under its idempotency key, or returns the stored answer to a repeat.
///
/// # Errors
///
/// Returns the error to answer with.
pub async fn serve(
    context: &Rc<HostContext>,
    active: ActiveRequest,
    placed: PlacedRequest,
    key: String,
) -> Result<Response<BoxBody>, CallerError> {
    let context = Rc::clone(context);
    let task = actix_rt::spawn(async move {
        let outcome = run(&context, &active, &placed, &key).await;
        if let Err(error) = &outcome {
            active.failed(error);
        }
        outcome
    });
    task.await
        .unwrap_or_else(|_panic| Err(lost_answer("the execution of the request was aborted")))
}

async fn run(
    context: &Rc<HostContext>,
    active: &ActiveRequest,
    placed: &PlacedRequest,
    key: &str,
) -> Result<Response<BoxBody>, CallerError> {
    let digest = ContentDigest(placed.incoming.digest);
    let claimed = context
        .claims
        .claim(&placed.workspace, key, placed.id, digest)
        .await;
    count_claim(context, claimed.as_ref().ok());
    match claimed.map_err(|error| claim_error(&error))? {
        ClaimOutcome::Held(held) => {
            active.step("claimed its idempotency key");
            run_claimed(context, active, placed, held).await
        }
        ClaimOutcome::Answered(answer) => {
            active.step("answered as a repeat");
            active.finished();
            Ok(stored_response(placed, &answer, true))
        }
        ClaimOutcome::InProgress(row) => Err(repeat_error(
            StatusCode::CONFLICT,
            "in_progress",
            format!("request {} with this key is in progress", row.request),
        )
        .retry_after(IN_PROGRESS_RETRY_AFTER)),
        ClaimOutcome::Unknown(row) => Err(repeat_error(
            StatusCode::CONFLICT,
            "outcome_unknown",
            format!(
                "the outcome of request {} is unknown; an operator can settle it",
                row.request
            ),
        )),
        ClaimOutcome::Mismatch => Err(CallerError::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency_key_reused",
            "the idempotency key was used for a request with other content",
        )),
    }
}

async fn run_claimed(
    context: &Rc<HostContext>,
    active: &ActiveRequest,
    placed: &PlacedRequest,
    held: HeldClaim,
) -> Result<Response<BoxBody>, CallerError> {
    let mut held = Some(held);
    let mut claim = None;
    let on_dispatch = || claim = held.take().map(HeldClaim::dispatch);
    match execution::dispatch(context, active, placed, on_dispatch).await {
        Ok(dispatched) => match claim {
            Some(claim) => finish(context, active, placed, dispatched, claim).await,
            None => Err(lost_answer("the claim was lost")),
        },
        Err(error) => {
            if let Some(held) = held {
                // A release that the table does not confirm is retried in the background.
                let _ = context.claims.release_claim(held).await;
            }
            Err(error)
        }
    }
}

async fn finish(
    context: &Rc<HostContext>,
    active: &ActiveRequest,
    placed: &PlacedRequest,
    dispatched: DispatchedRequest,
    claim: DispatchedClaim,
) -> Result<Response<BoxBody>, CallerError> {
    let DispatchedRequest {
        life,
        lease,
        address,
        answer,
    } = dispatched;
    let limit = placed.deadline.since(context.clock.now());
    let Some(answer) = collect(answer, limit).await else {
        // A record that the table does not confirm is retried in the background.
        let _ = context.claims.record_unknown(claim).await;
        let _ran = life.end_unknown();
        check_worker(context, placed, lease, address).await;
        return Err(lost_answer("the upstream did not send a complete answer"));
    };
    let mut usage = UsageCollector::default();
    usage.push(&answer.body);
    lease.finished(usage.tokens(), Duration::ZERO);
    context.crashes.clear(placed.incoming.digest);
    let _ran = life.finish();
    if let Err(error) = context.claims.record_answer(claim, &answer).await {
        active.step(format!("the answer is not stored yet: {error}"));
    }
    active.finished();
    Ok(stored_response(placed, &answer, false))
}

/// Records a crash of the worker that lost the answer if it no longer accepts connections.
async fn check_worker(
    context: &HostContext,
    placed: &PlacedRequest,
    lease: SlotLease,
    address: SocketAddr,
) {
    if FreshConnection::open(address).await.is_err() {
        let worker = &lease.grant().worker;
        context.record_worker_crash(worker, placed.incoming.digest);
        lease.failed();
    }
}

/// Reads an answer to its end; `None` if it is absent, incomplete, late or larger than
/// [`MAX_STORED_ANSWER_BYTES`].
async fn collect(answer: Option<UpstreamAnswer>, limit: Duration) -> Option<StoredAnswer> {
    let answer = answer?;
    let status = answer.status().as_u16();
    let headers = answer.headers().iter();
    let forwarded = headers.filter(|(name, _)| upstream::is_forwarded(name));
    let headers = forwarded.filter_map(|(name, value)| {
        Some(StoredHeader {
            name: name.as_str().to_owned(),
            value: value.to_str().ok()?.to_owned(),
        })
    });
    let headers = headers.collect();
    let reading = read_complete(answer.into_body());
    let body = tokio::time::timeout(limit, reading).await.ok()??;
    Some(StoredAnswer {
        status,
        headers,
        body,
    })
}

async fn read_complete(mut chunks: UpstreamBody) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_STORED_ANSWER_BYTES {
            return None;
        }
    }
    Some(body.freeze())
}

fn stored_response(
    placed: &PlacedRequest,
    answer: &StoredAnswer,
    replayed: bool,
) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = response_builder(status, placed.id, Some(&placed.tier));
    for header in &answer.headers {
        response.append_header((header.name.as_str(), header.value.as_str()));
    }
    if replayed {
        response.insert_header((REPLAYED_HEADER, "true"));
    }
    response.body(answer.body.clone()).map_into_boxed_body()
}

fn repeat_error(status: StatusCode, code: &'static str, message: String) -> CallerError {
    let mut error = CallerError::unknown(status, code, message);
    error.retry_after = None;
    error
}

fn claim_error(error: &ClaimError) -> CallerError {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut caller_error = CallerError::not_run(status, "platform_unavailable", error.to_string());
    match error {
        ClaimError::Answer(_) => caller_error.ran = RunOutcome::Yes,
        // The unreadable row may belong to an earlier request with the key that ran.
        ClaimError::Row(_) => caller_error.ran = RunOutcome::Unknown,
        _ => (),
    }
    caller_error.retry_after(PLATFORM_RETRY_AFTER)
}

/// Counts an attempt to claim; an outcome of `None` counts as an unavailable platform.
fn count_claim(context: &HostContext, outcome: Option<&ClaimOutcome>) {
    let label = match outcome {
        Some(ClaimOutcome::Held(_)) => metrics::ClaimAttemptLabel::Won,
        Some(ClaimOutcome::Answered(_) | ClaimOutcome::Mismatch) => {
            metrics::ClaimAttemptLabel::Repeated
        }
        Some(ClaimOutcome::InProgress(_)) => metrics::ClaimAttemptLabel::InProgress,
        Some(ClaimOutcome::Unknown(_)) => metrics::ClaimAttemptLabel::Unknown,
        None => metrics::ClaimAttemptLabel::Unavailable,
    };
    context.metrics.claim_attempted(label);
}
