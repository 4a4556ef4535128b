//! One call of the load tool.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::ClientResponse;
use awc::http::StatusCode;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::Value;

use crate::trace::TraceRequest;

/// The header of an answer that names the request.
const REQUEST_HEADER: &str = "x-borageladder-request";

/// The header of an answer that names the tier.
const TIER_HEADER: &str = "x-borageladder-tier";

/// The time past its deadline for which an answer is still awaited.
const GRACE: Duration = Duration::from_secs(10);

/// The end of a server-sent event.
const EVENT_END: &[u8] = b"\n\n";

/// How a call ended.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallEnd {
    /// The whole answer arrived.
    Whole,
    /// The answer broke off, by an error event or by its connection's end.
    Cut,
    /// The answer holds text of another request, or text out of order.
    Foreign,
    /// An error was answered instead.
    Refused {
        /// The code of the error.
        code: String,
        /// Whether the request ran.
        ran: String,
    },
    /// No answer arrived.
    Failed,
    /// The caller stopped waiting.
    Abandoned,
}

/// What came of a call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The tier that the answer named.
    pub tier: Option<String>,
    /// How the call ended.
    pub end: CallEnd,
    /// The time until the first token.
    pub first_token: Option<Duration>,
    /// Whether the call ended within the deadline of the trace.
    pub in_time: bool,
    /// The tokens that arrived.
    pub answer_tokens: u64,
}

/// Where a call goes and what it carries.
#[derive(Clone, Debug)]
pub struct CallTarget {
    /// The entry.
    pub entry: SocketAddr,
    /// The workspace key.
    pub key: String,
    /// What the request is, as the header `x-kind` says it.
    pub kind: &'static str,
    /// The body.
    pub body: String,
}

#[derive(Deserialize)]
struct ErrorAnswer {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: String,
    #[serde(default)]
    ran: String,
}

/// Makes a call and reads its answer to the end.
pub async fn send(client: &Client, target: &CallTarget, request: &TraceRequest) -> CallResult {
    let start = Instant::now();
    let mut result = CallResult {
        tier: None,
        end: CallEnd::Abandoned,
        first_token: None,
        in_time: false,
        answer_tokens: 0,
    };
    let exchange = exchange(client, target, start, &mut result);
    // An elapsed bound leaves the call as abandoned.
    let _ = actix_rt::time::timeout(request.budget + GRACE, exchange).await;
    result.in_time = start.elapsed() <= request.budget;
    result
}

async fn exchange(client: &Client, target: &CallTarget, start: Instant, result: &mut CallResult) {
    let call = client
        .post(format!("http://{}/v1/chat/completions", target.entry))
        .insert_header(("content-type", "application/json"))
        .insert_header(("x-kind", target.kind))
        .bearer_auth(&target.key)
        .send_body(target.body.clone());
    let Ok(mut response) = call.await else {
        result.end = CallEnd::Failed;
        return;
    };
    result.tier = header(&response, TIER_HEADER);
    let label = header(&response, REQUEST_HEADER).unwrap_or_default();
    if response.status() != StatusCode::OK {
        result.end = refusal(&mut response).await;
        return;
    }
    result.end = read_stream(&mut response, &label, start, result).await;
}

async fn refusal<S>(response: &mut ClientResponse<S>) -> CallEnd
where
    S: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let status = response.status();
    let body = response.body().await.unwrap_or_default();
    match serde_json::from_slice::<ErrorAnswer>(&body) {
        Ok(ErrorAnswer { error }) => CallEnd::Refused {
            code: error.code,
            ran: error.ran,
        },
        Err(_) => CallEnd::Refused {
            code: format!("status {}", status.as_u16()),
            ran: String::new(),
        },
    }
}

async fn read_stream<S>(
    response: &mut S,
    label: &str,
    start: Instant,
    result: &mut CallResult,
) -> CallEnd
where
    S: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut buffer = BytesMut::new();
    while let Some(Ok(bytes)) = response.next().await {
        buffer.extend_from_slice(&bytes);
        while let Some(event) = take_event(&mut buffer) {
            match EventKind::read(&event) {
                EventKind::Token(text) => {
                    result.answer_tokens += 1;
                    result.first_token.get_or_insert_with(|| start.elapsed());
                    if text.trim() != format!("{label}:{}", result.answer_tokens) {
                        return CallEnd::Foreign;
                    }
                }
                EventKind::Done => return CallEnd::Whole,
                EventKind::Error => return CallEnd::Cut,
                EventKind::Other => {}
            }
        }
    }
    CallEnd::Cut
}

enum EventKind {
    Token(String),
    Done,
    Error,
    Other,
}

impl EventKind {
    fn read(event: &str) -> Self {
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            return Self::Other;
        };
        if data == "[DONE]" {
            return Self::Done;
        }
        let Ok(data) = serde_json::from_str::<Value>(data) else {
            return Self::Error;
        };
        if data.get("error").is_some() {
            return Self::Error;
        }
        match data["choices"][0]["delta"]["content"].as_str() {
            Some(text) => Self::Token(text.to_owned()),
            None => Self::Other,
        }
    }
}

fn take_event(buffer: &mut BytesMut) -> Option<String> {
    let end = buffer
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END)?;
    let event = buffer.split_to(end + EVENT_END.len());
    Some(String::from_utf8_lossy(&event).into_owned())
}

fn header<S>(response: &ClientResponse<S>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
