//! Admission of callers' requests: authentication, limits, placement in a tier and quarantine.

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::StatusCode;
use actix_http::header;
use actix_http::header::HeaderMap;

use crate::body::BodyError;
use crate::body::read_body;
use crate::capacity;
use crate::clock::utc_hour;
use crate::context::AppliedConfiguration;
use crate::context::HostContext;
use crate::event::LogEvent;
use crate::intake::IncomingRequest;
use crate::intake::RawRequest;
use crate::journal::RequestPhase;
use crate::journal::RequestRecord;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::name::ModelName;
use crate::kernel::name::RequestId;
use crate::kernel::name::TierName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::quarantine::QuarantineVerdict;
use crate::kernel::rule::Placement;
use crate::kernel::rule::RequestFacts;
use crate::log_event;
use crate::reply::CallerError;
use crate::request::ActiveRequest;
use crate::request::PlacedRequest;

/// The Retry-After time of a host that is not ready or at the limit of a workspace.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The maximum time that a request waits until this host holds the configuration in force.
const CONFIGURATION_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

/// The time between two checks for the configuration in force.
const CONFIGURATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the configuration once it is known to be in force and applied.
///
/// Without the wait, a host that was paused during a configuration change would place requests
/// by the previous version.
async fn configuration_in_force(
    context: &HostContext,
) -> Result<Rc<AppliedConfiguration>, CallerError> {
    let wait_deadline = context.clock.now() + CONFIGURATION_WAIT_TIMEOUT;
    loop {
        let now = context.clock.now();
        let applied = context.applied();
        let in_force = context.configuration_agent.configuration().version;
        if context.may_take_work(now) && applied.configuration.version == in_force {
            return Ok(applied);
        }
        if applied.rules.is_none() || now >= wait_deadline {
            return Err(not_ready());
        }
        actix_rt::time::sleep(CONFIGURATION_CHECK_INTERVAL).await;
    }
}

/// A request that was read, checked and placed in a tier.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The request and its tier.
    pub placed: PlacedRequest,
    /// The guard of its journal record.
    pub active: ActiveRequest,
    /// The idempotency key; `None` if the request may run more than once.
    pub idempotency_key: Option<String>,
}

/// An error answer, with the tier of the request if its journal record was opened.
#[derive(Clone, Debug)]
pub struct RequestRejection {
    /// The error to answer with.
    pub error: CallerError,
    /// The tier; `None` if the request was rejected before its journal record was opened.
    pub tier: Option<TierName>,
}

impl From<CallerError> for RequestRejection {
    fn from(error: CallerError) -> Self {
        Self { error, tier: None }
    }
}

/// Reads and checks a request, places it in a tier and opens its journal record.
///
/// # Errors
///
/// Returns the error to answer with; the request did not run.
pub async fn admit(
    context: &Rc<HostContext>,
    id: RequestId,
    request: &mut Request,
) -> Result<AdmittedRequest, RequestRejection> {
    let applied = configuration_in_force(context).await?;
    let workspace = authenticate(&applied, request.headers())?.clone();
    check_workspace_limit(context, &applied, &workspace)?;
    let limits = &context.settings.limits;
    check_head(request, limits.max_header_bytes)?;
    let body = read_body(request, limits.max_body_bytes, limits.body_timeout);
    let body = body.await.map_err(body_error)?;
    // Reading the body takes time, in which the configuration can change or this host be paused.
    let applied = configuration_in_force(context).await?;
    let raw = RawRequest {
        configuration: &applied.configuration,
        method: request.method(),
        path: request.path(),
        query: request.uri().query(),
        headers: request.headers(),
        body: &body,
    };
    let incoming = IncomingRequest::try_from(raw)?;
    let placement = place(&applied, &workspace, request, &incoming)?;
    let placed_at = context.clock.now();
    let tier = applied.configuration.tiers[usize::from(placement.tier.0)]
        .name
        .clone();
    let quarantine = check_quarantine(context, id, incoming.digest);
    let placed = PlacedRequest {
        id,
        workspace,
        tier,
        rank: placement.tier,
        placed_at,
        deadline: placed_at + placement.deadline,
        suspect: quarantine.as_ref().copied().unwrap_or(true),
        incoming,
        headers: request.headers().clone(),
    };
    let idempotency_key = check_idempotency(&placed, placement.non_idempotent)?;
    let refusal = quarantine.and_then(|_suspect| capacity::ensure_capacity(context, &placed));
    open_record(context, &placed, placement);
    let active = ActiveRequest::new(Rc::clone(context), &placed);
    // A refused request was recorded first, so that operators can query it.
    if let Err(error) = refusal {
        active.failed(&error);
        let tier = Some(placed.tier);
        return Err(RequestRejection { error, tier });
    }
    Ok(AdmittedRequest {
        placed,
        active,
        idempotency_key,
    })
}

fn authenticate<'a>(
    applied: &'a AppliedConfiguration,
    headers: &HeaderMap,
) -> Result<&'a WorkspaceName, CallerError> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let Some(key) = key.and_then(|value| value.strip_prefix("Bearer ")) else {
        let message = "the request has no workspace key";
        return Err(CallerError::not_run(
            StatusCode::UNAUTHORIZED,
            "missing_workspace_key",
            message,
        ));
    };
    applied.workspace_of(key.trim()).ok_or_else(|| {
        let message = "no workspace has this key";
        CallerError::not_run(StatusCode::UNAUTHORIZED, "unknown_workspace_key", message)
    })
}

fn check_workspace_limit(
    context: &HostContext,
    applied: &AppliedConfiguration,
    workspace: &WorkspaceName,
) -> Result<(), CallerError> {
    let journal = context.journal.borrow();
    let spec = applied.configuration.workspaces.get(workspace);
    let limit = spec.map_or(0, |spec| spec.max_requests as usize);
    if journal.workspace_count(workspace) < limit {
        return Ok(());
    }
    let message = format!("the workspace already has {limit} requests on this host");
    let error = CallerError::not_run(StatusCode::TOO_MANY_REQUESTS, "workspace_limit", message);
    Err(error.retry_after(NOT_READY_RETRY_AFTER))
}

fn check_head(request: &Request, limit: usize) -> Result<(), CallerError> {
    let headers = request.headers().iter();
    let lengths = headers.map(|(name, value)| name.as_str().len() + value.len());
    let length = request.uri().to_string().len() + lengths.sum::<usize>();
    if length <= limit {
        return Ok(());
    }
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let message = format!("the request head is larger than {limit} bytes");
    Err(CallerError::not_run(status, "head_too_large", message))
}

fn body_error(error: BodyError) -> CallerError {
    let (status, code) = match error {
        BodyError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        BodyError::TimedOut { .. } => (StatusCode::REQUEST_TIMEOUT, "body_timeout"),
        BodyError::Incomplete => (StatusCode::BAD_REQUEST, "incomplete_body"),
    };
    CallerError::not_run(status, code, error.to_string())
}

fn place(
    applied: &AppliedConfiguration,
    workspace: &WorkspaceName,
    request: &Request,
    incoming: &IncomingRequest,
) -> Result<Placement, CallerError> {
    let Some(rules) = &applied.rules else {
        return Err(not_ready());
    };
    let header_value = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let facts = RequestFacts {
        workspace: workspace.as_str(),
        service: incoming.service.as_str(),
        path: request.path(),
        method: incoming.method.as_str(),
        model: incoming.model.as_ref().map(ModelName::as_str),
        prompt_tokens: incoming.prompt_tokens,
        headers: &header_value,
        hour: utc_hour(),
    };
    rules.place(&facts).map_err(|error| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        CallerError::not_run(status, "not_placed", error.to_string())
    })
}

fn not_ready() -> CallerError {
    let message = "this host holds no configuration that is known to be in force";
    let error = CallerError::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message);
    error.retry_after(NOT_READY_RETRY_AFTER)
}

/// Returns whether the request is a suspect, which must run alone on its worker, or the error if
/// its content is quarantined.
fn check_quarantine(
    context: &HostContext,
    request: RequestId,
    digest: u64,
) -> Result<bool, CallerError> {
    match context.crashes.verdict(digest) {
        QuarantineVerdict::Clear => Ok(false),
        QuarantineVerdict::Suspect => Ok(true),
        QuarantineVerdict::Refused { retry_after } => {
            log_event!(context.log, LogEvent::RequestQuarantined,
                "request" => request.to_string());
            let reason = RefusalReason::Quarantined;
            Err(CallerError::from(&Refusal {
                request,
                reason,
                retry_after,
            }))
        }
    }
}

/// Returns the idempotency key of a non-idempotent request, or an error if it has none.
fn check_idempotency(
    placed: &PlacedRequest,
    non_idempotent_by_rule: bool,
) -> Result<Option<String>, CallerError> {
    if !non_idempotent_by_rule && !placed.incoming.non_idempotent {
        return Ok(None);
    }
    let key = placed.incoming.idempotency_key.clone();
    key.map(Some).ok_or_else(|| {
        let message = "this call must not be repeated and needs an Idempotency-Key header";
        CallerError::not_run(StatusCode::BAD_REQUEST, "missing_idempotency_key", message)
    })
}

fn open_record(context: &HostContext, placed: &PlacedRequest, placement: Placement) {
    let rule = placement
        .rule
        .as_ref()
        .map_or("default: no rule matched", |rule| rule.as_str());
    let step = format!("placed in {} by {rule}", placed.tier);
    let record = RequestRecord {
        request: placed.id,
        workspace: placed.workspace.clone(),
        service: placed.incoming.service.clone(),
        model: placed.incoming.model.clone(),
        tier: placed.tier.clone(),
        rank: placed.rank,
        body_bytes: placed.incoming.body.len(),
        is_shed: false,
        rule: placement.rule,
        phase: RequestPhase::Waiting,
        placed_at: placed.placed_at,
        deadline: placed.deadline,
        prompt_tokens: placed.incoming.prompt_tokens,
        answer_tokens: 0,
        worker: None,
        code: None,
        ran: None,
        retry_after: None,
        refusal: None,
        steps: Vec::new(),
    };
    log_event!(context.log, LogEvent::RequestPlaced,
        "request" => placed.id.to_string(), "tier" => placed.tier.to_string());
    let mut journal = context.journal.borrow_mut();
    journal.open(record);
    journal.step(placed.id, placed.placed_at, step);
}
