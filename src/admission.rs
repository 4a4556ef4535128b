//! Admission of callers' requests: who asks, whether there is room, and the tier they are placed in.

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::StatusCode;
use actix_http::header;
use actix_http::header::HeaderMap;

use crate::body::BodyError;
use crate::body::read_body;
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
use crate::room;

/// The time after which a caller may come back to a host that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// The longest time that a request waits until the configuration is known to be in force.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// The time between two looks at whether the configuration is known to be in force.
const CATCH_UP_LOOK: Duration = Duration::from_millis(20);

/// Returns the configuration once it is known to be in force, so that a host that was frozen during
/// a change places nothing by the version before.
async fn configuration_in_force(
    context: &HostContext,
) -> Result<Rc<AppliedConfiguration>, CallerError> {
    let give_up = context.clock.now() + CATCH_UP_TIME;
    loop {
        let now = context.clock.now();
        let applied = context.applied();
        let newest = context.configuration_agent.configuration().version;
        if context.may_take_work(now) && applied.configuration.version == newest {
            return Ok(applied);
        }
        if applied.rules.is_none() || now >= give_up {
            return Err(not_ready());
        }
        actix_rt::time::sleep(CATCH_UP_LOOK).await;
    }
}

/// A request that was read, checked and placed.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The request.
    pub placed: PlacedRequest,
    /// Its record.
    pub active: ActiveRequest,
    /// The idempotency key, if the request must not be repeated.
    pub once_key: Option<String>,
}

/// An error answer, and the tier of the request once it has one.
#[derive(Clone, Debug)]
pub struct RequestRejection {
    /// The error.
    pub error: CallerError,
    /// The tier; `None` if the request was not placed.
    pub tier: Option<TierName>,
}

impl From<CallerError> for RequestRejection {
    fn from(error: CallerError) -> Self {
        Self { error, tier: None }
    }
}

/// Reads, checks and places a request.
///
/// # Errors
///
/// Returns the error that the caller is told; the request did not run.
pub async fn admit(
    context: &Rc<HostContext>,
    id: RequestId,
    request: &mut Request,
) -> Result<AdmittedRequest, RequestRejection> {
    let applied = configuration_in_force(context).await?;
    let workspace = authenticate(&applied, request.headers())?.clone();
    check_room(context, &applied, &workspace)?;
    let limits = &context.settings.limits;
    check_head(request, limits.max_header_bytes)?;
    let body = read_body(request, limits.max_body_bytes, limits.body_timeout);
    let body = body.await.map_err(body_error)?;
    // The body may have taken long, or this host may have been frozen meanwhile.
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
    let received = context.clock.now();
    let tier = applied.configuration.tiers[usize::from(placement.tier.0)]
        .name
        .clone();
    let quarantine = check_quarantine(context, id, incoming.digest);
    let placed = PlacedRequest {
        id,
        workspace,
        tier,
        rank: placement.tier,
        received,
        deadline: received + placement.deadline,
        suspect: quarantine.as_ref().copied().unwrap_or(true),
        incoming,
        headers: request.headers().clone(),
    };
    let once_key = check_idempotency(&placed, placement.non_idempotent)?;
    let refusal = quarantine.and_then(|_suspect| room::make_room(context, &placed));
    open_record(context, &placed, placement);
    let active = ActiveRequest::new(Rc::clone(context), &placed);
    // What is refused from here on has a record, so that operators see it.
    if let Err(error) = refusal {
        active.failed(&error);
        let tier = Some(placed.tier);
        return Err(RequestRejection { error, tier });
    }
    Ok(AdmittedRequest {
        placed,
        active,
        once_key,
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
        let message = "the request carries no workspace key";
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

fn check_room(
    context: &HostContext,
    applied: &AppliedConfiguration,
    workspace: &WorkspaceName,
) -> Result<(), CallerError> {
    let journal = context.journal.borrow();
    let spec = applied.configuration.workspaces.get(workspace);
    let most = spec.map_or(0, |spec| spec.max_requests as usize);
    if journal.workspace_count(workspace) < most {
        return Ok(());
    }
    let message = format!("the workspace has {most} requests on this host already");
    let error = CallerError::not_run(StatusCode::TOO_MANY_REQUESTS, "workspace_limit", message);
    Err(error.retry_after(NOT_READY_RETRY))
}

fn check_head(request: &Request, limit: usize) -> Result<(), CallerError> {
    let headers = request.headers().iter();
    let lengths = headers.map(|(name, value)| name.as_str().len() + value.len());
    let length = request.uri().to_string().len() + lengths.sum::<usize>();
    if length <= limit {
        return Ok(());
    }
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let message = format!("the head is larger than {limit} bytes");
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
    let find = |name: &str| {
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
        headers: &find,
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
    error.retry_after(NOT_READY_RETRY)
}

/// Returns whether the request is a suspect that must run alone.
fn check_quarantine(
    context: &HostContext,
    request: RequestId,
    digest: u64,
) -> Result<bool, CallerError> {
    match context.strikes.verdict(digest) {
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

/// Returns the idempotency key of a request that must not be repeated.
fn check_idempotency(placed: &PlacedRequest, by_rule: bool) -> Result<Option<String>, CallerError> {
    if !by_rule && !placed.incoming.non_idempotent {
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
        .map_or("no rule, so the lowest tier", |rule| rule.as_str());
    let step = format!("placed in {} by {rule}", placed.tier);
    let record = RequestRecord {
        request: placed.id,
        workspace: placed.workspace.clone(),
        service: placed.incoming.service.clone(),
        model: placed.incoming.model.clone(),
        tier: placed.tier.clone(),
        rank: placed.rank,
        body_bytes: placed.incoming.body.len(),
        gave_way: false,
        rule: placement.rule,
        phase: RequestPhase::Waiting,
        received: placed.received,
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
    journal.step(placed.id, placed.received, step);
}
