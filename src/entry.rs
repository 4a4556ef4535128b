//! The HTTP interface for callers, load balancers and metrics collectors.

use std::rc::Rc;

use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;

use crate::admission::AdmittedRequest;
use crate::admission::RequestRejection;
use crate::admission::admit;
use crate::context::HostContext;
use crate::event::LogEvent;
use crate::execution;
use crate::idempotency;
use crate::kernel::name::RequestId;
use crate::kernel::name::TierName;
use crate::log_event;
use crate::metering;
use crate::relay;
use crate::reply::CallerError;
use crate::reply::text;
use crate::request::ActiveRequest;

/// Handles one request of a caller, a load balancer or a metrics collector.
pub async fn handle(context: Rc<HostContext>, mut request: Request) -> Response<BoxBody> {
    if *request.method() == Method::GET {
        match request.path() {
            "/health/live" => return text(StatusCode::OK, "live\n"),
            "/health/ready" => return readiness(&context),
            "/metrics" => return metrics(&context),
            _ => (),
        }
    }
    let id = context.next_request_id();
    match serve(&context, id, &mut request).await {
        Ok(response) => response,
        Err(rejection) => {
            // The end of a request with a journal record has been logged already.
            if rejection.tier.is_none() {
                let code = rejection.error.code;
                log_event!(context.log, LogEvent::RequestRejected,
                    "request" => id.to_string(), "code" => code);
            }
            rejection.error.to_response(id, rejection.tier.as_ref())
        }
    }
}

fn readiness(context: &HostContext) -> Response<BoxBody> {
    if context.is_ready() {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn metrics(context: &HostContext) -> Response<BoxBody> {
    match metering::render(context) {
        Ok(metrics) => text(StatusCode::OK, metrics),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

async fn serve(
    context: &Rc<HostContext>,
    id: RequestId,
    request: &mut Request,
) -> Result<Response<BoxBody>, RequestRejection> {
    let AdmittedRequest {
        placed,
        active,
        idempotency_key,
    } = admit(context, id, request).await?;
    if let Some(key) = idempotency_key {
        let tier = Some(placed.tier.clone());
        let served = idempotency::serve(context, active, placed, key).await;
        return served.map_err(|error| RequestRejection { error, tier });
    }
    active.watch_caller(request);
    let reject = |error: CallerError, active: &ActiveRequest, tier: &TierName| {
        active.failed(&error);
        RequestRejection {
            error,
            tier: Some(tier.clone()),
        }
    };
    match execution::dispatch(context, &active, &placed, || ()).await {
        Ok(dispatched) => {
            let answer = relay::answer(Rc::clone(context), active, &placed, dispatched).await;
            answer.map_err(|(error, active)| reject(error, &active, &placed.tier))
        }
        Err(error) => Err(reject(error, &active, &placed.tier)),
    }
}
