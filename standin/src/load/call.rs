//! A call of the load tool, which sends one request of the trace and reads its streamed answer.

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

/// The answer header with the request identifier.
const REQUEST_ID_HEADER: &str = "x-borageladder-request";

/// The answer header with the tier.
const TIER_HEADER: &str = "x-borageladder-tier";

/// Time from the deadline of a request until the caller abandons it.
const DEADLINE_GRACE: Duration = Duration::from_secs(10);

/// The delimiter after a server-sent event.
const EVENT_DELIMITER: &[u8] = b"\n\n";

/// The outcome of a call.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallEnd {
    /// The complete answer arrived.
    Whole,
    /// The answer ended early, with an error event, a malformed event or a closed connection.
    Cut,
    /// The answer contains tokens of another request or out of order, or its header does not name
    /// the request.
    Foreign,
    /// The request was answered with a status other than 200.
    Refused {
        /// The error code, or `status N` if the body is not an error object.
        code: String,
        /// Whether the request ran, as the error object states it; empty if it does not.
        ran: String,
    },
    /// The call failed before an answer arrived.
    Failed,
    /// The answer was not complete within the deadline and the grace period.
    Abandoned,
}

/// The outcome and the measurements of one call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The tier in the answer's header; `None` if it has none.
    pub tier: Option<String>,
    /// The outcome.
    pub end: CallEnd,
    /// The time from sending to the first token; `None` if no token arrived.
    pub first_token: Option<Duration>,
    /// Whether the call ended within the `budget` that the trace gives the request.
    pub in_time: bool,
    /// Number of tokens received.
    pub answer_tokens: u64,
}

/// The destination and the content of a call.
#[derive(Clone, Debug)]
pub struct CallTarget {
    /// The address of the entry that receives the request.
    pub entry: SocketAddr,
    /// The workspace key, sent as bearer token.
    pub key: String,
    /// The kind of request, sent in the `x-kind` header.
    pub kind: &'static str,
    /// The JSON body of the chat completion request.
    pub body: String,
}

#[derive(Deserialize)]
struct ErrorAnswer {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: String,
    /// Whether the request ran: `yes`, `no` or `unknown`; empty if absent.
    #[serde(default)]
    ran: String,
}

/// Sends a request and reads its answer until the end or the deadline with its grace period.
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
    // After a timeout the outcome keeps its initial value, `Abandoned`.
    let _ = actix_rt::time::timeout(request.budget + DEADLINE_GRACE, exchange).await;
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
    let label = header(&response, REQUEST_ID_HEADER).unwrap_or_default();
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
        .windows(EVENT_DELIMITER.len())
        .position(|window| window == EVENT_DELIMITER)?;
    let event = buffer.split_to(end + EVENT_DELIMITER.len());
    Some(String::from_utf8_lossy(&event).into_owned())
}

fn header<S>(response: &ClientResponse<S>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
