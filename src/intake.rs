//! Parsing and validation of callers' requests.

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use serde_json::Value;

use crate::kernel::configuration::Configuration;
use crate::kernel::configuration::ServiceKind;
use crate::kernel::configuration::ServiceSpec;
use crate::kernel::name::BlockDigest;
use crate::kernel::name::ModelName;
use crate::kernel::name::ServiceName;
use crate::kernel::prompt;
use crate::reply::CallerError;

/// The maximum number of tokens in an answer if the request states none.
pub const DEFAULT_ANSWER_TOKENS: u32 = 1_024;

/// The maximum number of leading prompt blocks whose digests are sent to the broker.
pub const MAX_PREFIX_BLOCKS: usize = 8;

/// The maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

const SERVICES_PREFIX: &str = "/services/";

/// A caller's request as received, before validation.
#[derive(Clone, Copy, Debug)]
pub struct RawRequest<'a> {
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// The method.
    pub method: &'a Method,
    /// The path, without the query.
    pub path: &'a str,
    /// The query, without the question mark.
    pub query: Option<&'a str>,
    /// The headers.
    pub headers: &'a HeaderMap,
    /// The complete body.
    pub body: &'a Bytes,
}

/// A valid request of a caller for a configured service.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The HTTP method of the request to the upstream.
    pub method: Method,
    /// The path and query of the request to the upstream.
    pub target: String,
    /// The service.
    pub service: ServiceName,
    /// The kind of the service.
    pub kind: ServiceKind,
    /// The model; `None` for plain services.
    pub model: Option<ModelName>,
    /// The approximate length of the prompt, in tokens; zero for plain services.
    pub prompt_tokens: u32,
    /// The maximum length of the answer, in tokens; zero for plain services.
    pub max_answer_tokens: u32,
    /// The digests of the prompt's leading blocks; empty for plain services.
    pub prefix: Vec<BlockDigest>,
    /// Whether the caller requested a stream of events.
    pub stream: bool,
    /// Whether the service is configured as non-idempotent and the method is not a safe one.
    pub non_idempotent: bool,
    /// The `Idempotency-Key` header; `None` if absent.
    pub idempotency_key: Option<String>,
    /// The digest of the method, path, query and body, which identifies the content.
    pub digest: u64,
    /// The body.
    pub body: Bytes,
}

impl TryFrom<RawRequest<'_>> for IncomingRequest {
    type Error = CallerError;

    fn try_from(raw: RawRequest<'_>) -> Result<Self, CallerError> {
        let idempotency_key = idempotency_key(raw.headers)?;
        let checked = match raw.path.strip_prefix(SERVICES_PREFIX) {
            Some(rest) => plain_request(&raw, rest)?,
            None => engine_request(&raw)?,
        };
        Ok(Self {
            idempotency_key,
            ..checked
        })
    }
}

fn engine_request(raw: &RawRequest<'_>) -> Result<IncomingRequest, CallerError> {
    if !matches!(raw.path, "/v1/chat/completions" | "/v1/completions") {
        let message = format!("unknown path {:?}", raw.path);
        return Err(CallerError::not_run(
            StatusCode::NOT_FOUND,
            "unknown_path",
            message,
        ));
    }
    if raw.method != Method::POST {
        let message = format!("{} accepts only POST", raw.path);
        return Err(CallerError::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            message,
        ));
    }
    let value = json_body(raw.body)?;
    let model = model_name(&value)?;
    let (service, spec) = service_of_model(raw.configuration, &model)?;
    let text = prompt::prompt_text(&value);
    Ok(IncomingRequest {
        method: Method::POST,
        target: target(raw.path, raw.query),
        service: service.clone(),
        kind: ServiceKind::Engine,
        model: Some(model),
        prompt_tokens: prompt::prompt_tokens(&text),
        max_answer_tokens: max_answer_tokens(&value),
        prefix: prompt::block_digests(&text, MAX_PREFIX_BLOCKS),
        stream: value
            .get("stream")
            .and_then(Value::as_bool)
            .unwrap_or(false),
        non_idempotent: spec.non_idempotent,
        idempotency_key: None,
        digest: content_digest(raw, raw.path),
        body: raw.body.clone(),
    })
}

fn plain_request(raw: &RawRequest<'_>, rest: &str) -> Result<IncomingRequest, CallerError> {
    let (name, path) = match rest.find('/') {
        Some(slash) => rest.split_at(slash),
        None => (rest, "/"),
    };
    let Some((service, spec)) = raw.configuration.services.get_key_value(name) else {
        return Err(unknown_service(name));
    };
    if spec.kind != ServiceKind::Plain {
        return Err(unknown_service(name));
    }
    let safe = matches!(*raw.method, Method::GET | Method::HEAD | Method::OPTIONS);
    Ok(IncomingRequest {
        method: raw.method.clone(),
        target: target(path, raw.query),
        service: service.clone(),
        kind: ServiceKind::Plain,
        model: None,
        prompt_tokens: 0,
        max_answer_tokens: 0,
        prefix: Vec::new(),
        stream: false,
        non_idempotent: spec.non_idempotent && !safe,
        idempotency_key: None,
        digest: content_digest(raw, raw.path),
        body: raw.body.clone(),
    })
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        let message =
            format!("Idempotency-Key must be 1 to {MAX_KEY_BYTES} printable ASCII characters");
        let status = StatusCode::BAD_REQUEST;
        return Err(CallerError::not_run(
            status,
            "invalid_idempotency_key",
            message,
        ));
    }
    Ok(Some(text.to_owned()))
}

fn json_body(body: &[u8]) -> Result<Value, CallerError> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not JSON: {error}");
        CallerError::not_run(StatusCode::BAD_REQUEST, "invalid_json", message)
    })
}

fn model_name(value: &Value) -> Result<ModelName, CallerError> {
    let Some(text) = value.get("model").and_then(Value::as_str) else {
        let message = "the body has no model name";
        return Err(CallerError::not_run(
            StatusCode::BAD_REQUEST,
            "missing_model",
            message,
        ));
    };
    text.parse().map_err(|_error| unknown_model(text))
}

fn service_of_model<'a>(
    configuration: &'a Configuration,
    model: &ModelName,
) -> Result<(&'a ServiceName, &'a ServiceSpec), CallerError> {
    let mut services = configuration.services.iter();
    services
        .find(|(_, spec)| spec.kind == ServiceKind::Engine && spec.models.contains(model))
        .ok_or_else(|| unknown_model(model.as_str()))
}

fn unknown_model(name: &str) -> CallerError {
    let message = format!("no service has the model {name:?}");
    CallerError::not_run(StatusCode::NOT_FOUND, "unknown_model", message)
}

fn unknown_service(name: &str) -> CallerError {
    let message = format!("there is no plain service {name:?}");
    CallerError::not_run(StatusCode::NOT_FOUND, "unknown_service", message)
}

fn max_answer_tokens(value: &Value) -> u32 {
    let stated = ["max_completion_tokens", "max_tokens"]
        .into_iter()
        .find_map(|name| {
            let tokens = value.get(name)?.as_u64()?;
            Some(u32::try_from(tokens).unwrap_or(u32::MAX))
        });
    stated.unwrap_or(DEFAULT_ANSWER_TOKENS)
}

fn target(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn content_digest(raw: &RawRequest<'_>, path: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(raw.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(path.as_bytes());
    hasher.update(&[0]);
    hasher.update(raw.query.unwrap_or_default().as_bytes());
    hasher.update(&[0]);
    hasher.update(raw.body);
    let mut digest = [0; 8];
    hasher.finalize_xof().fill(&mut digest);
    u64::from_le_bytes(digest)
}
