//! The answers that the entry gives by itself: errors, refusals and health.

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

/// The header that names the request in every answer.
pub const REQUEST_HEADER: &str = "x-borageladder-request";

/// The header that names the request's tier in every answer.
pub const TIER_HEADER: &str = "x-borageladder-tier";

/// The time after which a caller may repeat a request whose outcome is unknown.
pub const UNKNOWN_RETRY: Duration = Duration::from_secs(1);

/// An error as a caller is told it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerError {
    /// The HTTP status.
    pub status: StatusCode,
    /// The stable code.
    pub code: &'static str,
    /// The explanation for people.
    pub message: String,
    /// Whether the request ran.
    pub ran: RunOutcome,
    /// The time after which the caller may come back; `None` where coming back does not help.
    pub retry_after: Option<Duration>,
    /// The reason of the refusal, if the request was refused by a broker or this host.
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

    /// Creates an error for a request of which it can't be told whether it ran.
    #[must_use]
    pub fn unknown(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let ran = RunOutcome::Unknown;
        let retry_after = Some(UNKNOWN_RETRY);
        Self {
            status,
            code,
            message: message.into(),
            ran,
            retry_after,
            refusal: None,
        }
    }

    /// Sets the time after which the caller may come back.
    #[must_use]
    pub fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the JSON text of the error.
    #[must_use]
    pub fn to_json(&self, request: RequestId) -> String {
        let detail = ErrorDetail {
            code: self.code,
            message: &self.message,
            ran: self.ran.as_str(),
            request: request.to_string(),
            retry_after_ms: self.retry_after.map(|duration| duration.as_millis()),
        };
        // Serialization to memory fails only for maps with keys that are not text.
        serde_json::to_string(&ErrorBody { error: detail }).unwrap_or_default()
    }

    /// Returns the answer that carries the error.
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
                "too much work of this tier waits",
            ),
            RefusalReason::Deadline => (
                StatusCode::SERVICE_UNAVAILABLE,
                "deadline_unreachable",
                "the answer can't be complete before its deadline",
            ),
            RefusalReason::Dropped => (
                StatusCode::SERVICE_UNAVAILABLE,
                "dropped_by_operator",
                "an operator dropped the request",
            ),
            RefusalReason::NoWorker => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no_worker",
                "no worker takes new work of this kind",
            ),
            RefusalReason::Platform => (
                StatusCode::SERVICE_UNAVAILABLE,
                "platform_unavailable",
                "the platform's table, which the request needs, does not answer",
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

/// Starts an answer that names the request and its tier.
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
    // Serialization to memory fails only for maps with keys that are not text.
    let body = serde_json::to_string(value).unwrap_or_default();
    response.body(body).map_into_boxed_body()
}

fn ceil_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
