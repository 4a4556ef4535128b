//! Answers that a host creates itself: errors, refusals, and plain text or JSON.

use std::time::Duration;

use actix_http::Response;
use actix_http::ResponseBuilder;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use serde::Serialize;

use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::lifecycle::RunOutcome;
use crate::kernel::name::RequestId;
use crate::kernel::name::TierName;

/// The header of an answer that holds the identifier of the request.
pub const REQUEST_HEADER: &str = "x-borageladder-request";

/// The header of an answer that holds the tier of the request; absent if the request was rejected
/// before its journal record was opened.
pub const TIER_HEADER: &str = "x-borageladder-tier";

/// The Retry-After time of a request whose outcome is unknown.
pub const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An error answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerError {
    /// The HTTP status.
    pub status: StatusCode,
    /// The error code; stable, for use by programs.
    pub code: &'static str,
    /// The explanation, for people.
    pub message: String,
    /// Whether the request ran.
    pub ran: RunOutcome,
    /// The time after which the caller may retry; `None` if the answer states none.
    pub retry_after: Option<Duration>,
    /// The reason for the refusal; `None` for other errors.
    pub refusal: Option<RefusalReason>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: &'a str,
    message: &'a str,
    ran: &'a str,
    request: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

impl CallerError {
    /// Creates an error for a request that did not run.
    #[must_use]
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: RunOutcome::No,
            retry_after: None,
            refusal: None,
        }
    }

    /// Creates an error for a request that may have run.
    #[must_use]
    pub fn unknown(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let ran = RunOutcome::Unknown;
        let retry_after = Some(UNKNOWN_RETRY_AFTER);
        Self {
            status,
            code,
            message: message.into(),
            ran,
            retry_after,
            refusal: None,
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the error as the JSON text of an answer's body.
    #[must_use]
    pub fn to_json(&self, request: RequestId) -> String {
        let detail = ErrorDetail {
            code: self.code,
            message: &self.message,
            ran: self.ran.as_str(),
            request: request.to_string(),
            retry_after_ms: self.retry_after.map(|duration| duration.as_millis()),
        };
        // Serializing this struct to memory can't fail: it has no map with non-string keys.
        serde_json::to_string(&ErrorBody { error: detail }).unwrap_or_default()
    }

    /// Returns the error as an answer, with a `Retry-After` header rounded up to seconds.
    #[must_use]
    pub fn to_response(&self, request: RequestId, tier: Option<&TierName>) -> Response<BoxBody> {
        let mut response = response_builder(self.status, request, tier);
        response.insert_header((header::CONTENT_TYPE, "application/json"));
        if let Some(duration) = self.retry_after {
            response.insert_header((header::RETRY_AFTER, ceil_seconds(duration).to_string()));
        }
        response.body(self.to_json(request)).map_into_boxed_body()
    }
}

impl From<&Refusal> for CallerError {
    fn from(refusal: &Refusal) -> Self {
        let (status, code, message) = match refusal.reason {
            RefusalReason::Capacity => (
                StatusCode::TOO_MANY_REQUESTS,
                "over_capacity",
                "not enough capacity for further requests of this tier",
            ),
            RefusalReason::Deadline => (
                StatusCode::SERVICE_UNAVAILABLE,
                "deadline_unreachable",
                "the answer can't be completed before its deadline",
            ),
            RefusalReason::Dropped => (
                StatusCode::SERVICE_UNAVAILABLE,
                "dropped_by_operator",
                "an operator dropped the request",
            ),
            RefusalReason::NoWorker => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no_worker",
                "no worker for this request accepts new work",
            ),
            RefusalReason::Platform => (
                StatusCode::SERVICE_UNAVAILABLE,
                "platform_unavailable",
                "the platform's table, which the request requires, does not answer",
            ),
            RefusalReason::Quarantined => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "request_quarantined",
                "requests with this content crashed the workers that ran them",
            ),
            RefusalReason::Stale => (
                StatusCode::SERVICE_UNAVAILABLE,
                "not_ready",
                "this host holds no configuration that is known to be in force",
            ),
        };
        let mut error = Self::not_run(status, code, message);
        error.refusal = Some(refusal.reason);
        error.retry_after(refusal.retry_after)
    }
}

/// Returns a builder for an answer with the headers of the request and its tier.
#[must_use]
pub fn response_builder(
    status: StatusCode,
    request: RequestId,
    tier: Option<&TierName>,
) -> ResponseBuilder {
    let mut response = Response::build(status);
    response.insert_header((REQUEST_HEADER, request.to_string()));
    if let Some(tier) = tier {
        response.insert_header((TIER_HEADER, tier.as_str()));
    }
    response
}

/// Returns a plain text answer.
#[must_use]
pub fn text(status: StatusCode, text: impl Into<String>) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"));
    response.body(text.into()).map_into_boxed_body()
}

/// Returns a JSON answer.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((header::CONTENT_TYPE, "application/json"));
    // Serialization to memory fails only for maps with non-string keys.
    let body = serde_json::to_string(value).unwrap_or_default();
    response.body(body).map_into_boxed_body()
}

fn ceil_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
