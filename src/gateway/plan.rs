//! Request planning: route, workspace, tier and deadline, and the checks before a slot is requested.
//!
//! A request is rejected here if, for example, its key is unknown, its workspace has exceeded its
//! quota, or its content is quarantined.

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::header;

use super::call_error::CallError;
use super::crash;
use super::dialect::CallMetadata;
use super::dialect::TokenUsage;
use super::document::ServingConfiguration;
use super::document::WorkspaceLabel;
use super::document::WorkspaceTable;
use super::frontend::CallerRequest;
use super::host::GatewayHost;
use crate::kernel::ask::Ask;
use crate::kernel::attempt::WorkKind;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ServiceKind;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::name::TierRank;
use crate::kernel::name::WorkerVersion;
use crate::kernel::name::WorkspaceName;
use crate::kernel::prompt::PartDigest;
use crate::kernel::route::RouteSpec;
use crate::kernel::stream::StreamKey;

/// Retry-after time of a request whose route or workspace the operators have to correct.
const UNREADABLE_RETRY: Duration = Duration::from_secs(5);

/// Workspace name in the asks of requests that belong to no workspace.
const OPEN_WORKSPACE: &str = "open";

/// Units charged to the quota of a workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaCharge {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The units.
    pub units: u64,
}

/// A request that passed the checks and may be sent to a worker of its service.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Identifier assigned by this host.
    pub id: RequestId,
    /// Values from the headers of the request.
    pub metadata: CallMetadata,
    /// Identifier that the caller assigned to this attempt.
    pub attempt_id: String,
    /// Route that matched the host name and the path.
    pub route: RouteSpec,
    /// Service selected among the backends of the route.
    pub service: ServiceName,
    /// Workspace of the caller; `None` if the route is open or callers need no keys.
    pub workspace: Option<WorkspaceName>,
    /// Text that workers know the workspace by; `None` if that is its name.
    pub label: Option<WorkspaceLabel>,
    /// Tier by the priority of the workspace and the tier of the route.
    pub tier: TierRank,
    /// Time at which the request was completely read.
    pub arrival: ClockTime,
    /// Time by which the answer must be complete.
    pub deadline: ClockTime,
    /// Version of the configuration used for planning.
    pub version: u64,
    /// What the first plan charges to a quota; `None` without a workspace.
    pub charge: Option<QuotaCharge>,
    /// What a crash of the request's worker may be attributed to: the digest of the content, then
    /// the parts of the prompt that other requests may share.
    pub crash_candidates: Vec<PartDigest>,
    /// Largest number of tokens in one event of the answer stream.
    pub event_tokens: u32,
    /// Whether the workers are model engines.
    pub engine: bool,
}

impl PlannedCall {
    /// Returns whether the request continues a stream that an earlier attempt of its caller began.
    #[must_use]
    pub const fn continues_stream(&self) -> bool {
        let resumable = matches!(self.route.kind, WorkKind::Stream { resumable: true });
        let names_stream =
            self.metadata.resume_after.is_some() || self.metadata.resumed_attempt.is_some();
        resumable && names_stream
    }

    /// Returns the key of the stream that the request begins or continues; `None` if it continues
    /// one without naming the attempt that began it.
    #[must_use]
    pub fn stream_key(&self) -> Option<StreamKey> {
        let first_attempt = match &self.metadata.resumed_attempt {
            Some(attempt) => attempt,
            None if self.continues_stream() => return None,
            None => &self.attempt_id,
        };
        Some(StreamKey::of(first_attempt))
    }

    /// Returns the text that workers know the caller's workspace by, if the request belongs to one.
    #[must_use]
    pub fn workspace_label(&self) -> Option<&str> {
        let name = self.workspace.as_ref().map(WorkspaceName::as_str);
        self.label.as_ref().map(WorkspaceLabel::as_str).or(name)
    }

    /// Returns the ask for a slot on a worker, of a certain version if one is given, with times
    /// relative to `now`.
    ///
    /// A suspect must not run beside another request that may crash its worker.
    #[must_use]
    pub fn ask(&self, now: ClockTime, version: Option<WorkerVersion>, suspect: bool) -> Ask {
        let usage = self.metadata.usage;
        let open = || OPEN_WORKSPACE.parse().ok();
        Ask {
            request: self.id,
            service: self.service.clone(),
            model: self.metadata.model.clone().filter(|_| self.engine),
            version,
            workspace: self
                .workspace
                .clone()
                .or_else(open)
                .expect("the name is valid"),
            tier: self.tier,
            budget: self.deadline.since(now),
            first_token_target: Some((self.arrival + self.route.target).since(now)),
            // The route limits the gap between events, the ask the gap between tokens.
            token_gap_target: self
                .route
                .event_gap_target
                .map(|gap| gap / self.event_tokens.max(1)),
            prompt_tokens: usage.map_or(0, |usage| usage.prompt),
            max_answer_tokens: usage.map_or(0, |usage| usage.answer),
            hinted_tokens: self.metadata.answer_hint,
            prefix: Vec::new(),
            suspect,
            hedged_worker: None,
        }
    }
}

/// Returns the workspace and the tier of a request whose body has not been read; no workspace and the
/// lowest tier if they are not known.
pub(super) fn request_owner(
    host: &GatewayHost,
    head: &Request,
) -> (Option<WorkspaceName>, TierRank) {
    const UNKNOWN: (Option<WorkspaceName>, TierRank) = (None, TierRank(u8::MAX));
    let Some(serving) = host.latest_configuration() else {
        return UNKNOWN;
    };
    let hostname = hostname(head);
    let route = hostname.and_then(|hostname| serving.routes.find(&hostname, head.path()));
    let Some(route) = route else {
        return UNKNOWN;
    };
    let metadata = host.dialect.call_metadata(head.headers());
    let workspaces = serving.workspaces.as_ref().filter(|_| !route.open);
    let owner = workspaces.zip(metadata.key).and_then(|(workspaces, key)| {
        let (name, workspace) = workspaces.find_by_key(&key)?;
        Some((Some(name.clone()), workspace.tier_for(route.tier)))
    });
    owner.unwrap_or((None, route.tier))
}

/// Plans a request by the configuration in force, charges it to the quota of its workspace and
/// counts it in the retry budget of its service.
///
/// # Errors
///
/// Returns an error if the request must not be sent to a worker.
pub fn plan_request(
    host: &Rc<GatewayHost>,
    request: &CallerRequest,
    metadata: CallMetadata,
    arrival: ClockTime,
) -> Result<PlannedCall, CallError> {
    let serving = host
        .fresh_configuration(arrival)
        .ok_or(CallError::NotReady)?;
    let attempt_id = metadata.attempt_id.clone().ok_or(CallError::NoIdentifier)?;
    let id = host.next_request_id();
    let mut planned = resolve_request(&serving, request, metadata, attempt_id, id, arrival)?;
    planned.crash_candidates = crash::crash_candidates(request, &planned);
    crash::check_quarantine(host, &planned)?;
    charge_quota(host, &planned)?;
    host.count_request(arrival, &planned.service);
    Ok(planned)
}

/// Plans a request again after a wait, by the configuration that is in force now.
///
/// Returns `None` if the configuration version has not changed. The crash candidates and the charge
/// are kept, and the quota is not charged again.
///
/// # Errors
///
/// Returns an error if the request may no longer be sent to a worker.
pub fn replan_request(
    host: &Rc<GatewayHost>,
    request: &CallerRequest,
    planned: &PlannedCall,
    now: ClockTime,
) -> Result<Option<PlannedCall>, CallError> {
    let serving = host.fresh_configuration(now).ok_or(CallError::NotReady)?;
    if serving.version == planned.version {
        return Ok(None);
    }
    let metadata = planned.metadata.clone();
    let attempt_id = planned.attempt_id.clone();
    let id = planned.id;
    let replanned = resolve_request(&serving, request, metadata, attempt_id, id, planned.arrival)?;
    Ok(Some(PlannedCall {
        crash_candidates: planned.crash_candidates.clone(),
        charge: planned.charge.clone(),
        ..replanned
    }))
}

/// Resolves route, workspace, service, tier and deadline of a request.
fn resolve_request(
    serving: &ServingConfiguration,
    request: &CallerRequest,
    metadata: CallMetadata,
    attempt_id: String,
    id: RequestId,
    arrival: ClockTime,
) -> Result<PlannedCall, CallError> {
    let hostname = hostname(&request.head).ok_or(CallError::NoRoute)?;
    let route = serving.routes.find(&hostname, request.head.path());
    let route = route.ok_or(CallError::NoRoute)?.clone();
    let owner = match &serving.workspaces {
        Some(workspaces) if !route.open => {
            let key = metadata.key.as_deref().ok_or(CallError::UnknownKey)?;
            let found = workspaces.find_by_key(key);
            Some(found.ok_or_else(|| unknown_key_error(workspaces))?)
        }
        _ => None,
    };
    if owner.is_some_and(|(_, workspace)| workspace.unreadable) {
        return Err(unreadable_error("the workspace"));
    }
    // The draw depends only on the attempt identifier, so a replanned request keeps its service as
    // long as the backends of its route do not change.
    let draw = first_u64(blake3::hash(attempt_id.as_bytes()));
    let service = route
        .select_service(draw)
        .ok_or_else(|| unreadable_error("the route"))?
        .clone();
    let tokens = metadata.usage.map(TokenUsage::total);
    let timeout = metadata.timeout.unwrap_or(route.timeout).min(route.timeout);
    let configured = serving.services.get(&service);
    Ok(PlannedCall {
        id,
        tier: owner.map_or(route.tier, |(_, workspace)| workspace.tier_for(route.tier)),
        arrival,
        deadline: arrival + timeout,
        version: serving.version,
        charge: owner.map(|(name, workspace)| QuotaCharge {
            workspace: name.clone(),
            units: workspace.unit.units(tokens),
        }),
        workspace: owner.map(|(name, _)| name.clone()),
        label: owner.and_then(|(_, workspace)| workspace.label.clone()),
        crash_candidates: Vec::new(),
        event_tokens: configured.map_or(1, |service| service.event_tokens),
        engine: configured.is_some_and(|service| service.kind == ServiceKind::Engine),
        metadata,
        attempt_id,
        route,
        service,
    })
}

fn unknown_key_error(workspaces: &WorkspaceTable) -> CallError {
    if workspaces.is_incomplete() {
        unreadable_error("a workspace that may hold this key")
    } else {
        CallError::UnknownKey
    }
}

/// Returns the error for a request that is refused because of an entry of the configuration.
fn unreadable_error(entry: &str) -> CallError {
    CallError::Refused {
        reason: format!("the configuration of {entry} can't be read"),
        retry_after: UNREADABLE_RETRY,
    }
}

/// Charges a request to the quota of its workspace, if it has one.
fn charge_quota(host: &GatewayHost, planned: &PlannedCall) -> Result<(), CallError> {
    let Some(charge) = &planned.charge else {
        return Ok(());
    };
    let hosts = host.host_count();
    let charged = host.with_quota(&charge.workspace, |quota| {
        quota.charge(planned.arrival, charge.units, hosts)
    });
    match charged {
        Some(Err(shortage)) => Err(CallError::OverQuota {
            workspace: charge.workspace.clone(),
            shortage,
        }),
        Some(Ok(())) | None => Ok(()),
    }
}

/// Refunds the quota units charged for a request that was never dispatched.
pub fn refund_quota(host: &GatewayHost, planned: &PlannedCall) {
    if let Some(charge) = &planned.charge {
        host.with_quota(&charge.workspace, |quota| quota.refund(charge.units));
    }
}

/// Returns the host name of a request in lower case, without the port.
fn hostname(head: &Request) -> Option<String> {
    let value = head.headers().get(header::HOST)?.to_str().ok()?;
    let is_port = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    // The last colon of an IPv6 literal without a port stands before its closing bracket.
    let name = match value.rsplit_once(':') {
        Some((name, port)) if is_port(port) => name,
        _ => value,
    };
    Some(name.to_ascii_lowercase())
}

pub(super) fn first_u64(hash: blake3::Hash) -> u64 {
    let leading = hash.as_bytes().first_chunk();
    leading.copied().map(u64::from_le_bytes).unwrap_or_default()
}
