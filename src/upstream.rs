//! Calls to upstreams: dispatch of a request, resumption of a stream, cancellation.

use std::future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::error::PayloadError;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use awc::ClientResponse;
use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use thiserror::Error;

use crate::connection::ClosedFlag;
use crate::connection::FreshConnection;
use crate::connection::OpenError;
use crate::kernel::name::RequestId;
use crate::request::PlacedRequest;

/// The header that carries the request's identifier to upstreams.
pub const UPSTREAM_REQUEST_HEADER: &str = "x-request-id";

/// The timeout of a call that resumes or cancels a stream.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Headers that apply to one connection or one host, or hold credentials, and are not forwarded.
const UNFORWARDED_HEADERS: [HeaderName; 11] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The reason why a stream can't be resumed.
#[derive(Debug, Error)]
pub enum ResumeError {
    /// No new connection could be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The upstream answered with a status other than 200.
    #[error("the upstream answered {status}")]
    Rejected {
        /// The status of the answer.
        status: StatusCode,
    },
    /// The call failed or timed out.
    #[error("no answer: {0}")]
    Send(String),
}

/// Sends a request on a fresh connection and waits for the head of the answer.
///
/// # Errors
///
/// Returns an error if no answer arrived; the request may have run.
pub async fn send(
    connection: FreshConnection,
    address: SocketAddr,
    placed: &PlacedRequest,
) -> Result<UpstreamAnswer, SendRequestError> {
    let incoming = &placed.incoming;
    let url = format!("http://{address}{}", incoming.target);
    let (client, closed) = connection.into_watched_client();
    let mut call = client.request(incoming.method.clone(), url);
    for (name, value) in &placed.headers {
        if is_forwarded(name) {
            call = call.append_header((name.clone(), value.clone()));
        }
    }
    call = call.insert_header((UPSTREAM_REQUEST_HEADER, placed.id.to_string()));
    let response = call.send_body(incoming.body.clone()).await?;
    Ok(UpstreamAnswer { response, closed })
}

/// Requests the events of a stream after the one with the given identifier, on a new connection.
///
/// # Errors
///
/// Returns an error if the upstream can't be reached, does not answer in time or rejects the call.
pub async fn resume(
    address: SocketAddr,
    request: RequestId,
    after: u64,
) -> Result<UpstreamAnswer, ResumeError> {
    let connection = FreshConnection::open(address).await?;
    let (client, closed) = connection.into_watched_client();
    let url = format!("http://{address}/v1/streams/{request}?after={after}");
    let sent = tokio::time::timeout(CONTROL_TIMEOUT, client.get(url).send()).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(ResumeError::Send(error.to_string())),
        Err(error) => return Err(ResumeError::Send(error.to_string())),
    };
    if response.status() != StatusCode::OK {
        return Err(ResumeError::Rejected {
            status: response.status(),
        });
    }
    Ok(UpstreamAnswer { response, closed })
}

/// Cancels a request at an engine; if the call is lost, the engine merely runs longer than needed.
pub async fn cancel(address: SocketAddr, request: RequestId) {
    let Ok(connection) = FreshConnection::open(address).await else {
        return;
    };
    let url = format!("http://{address}/v1/streams/{request}");
    let call = connection.into_client().request(Method::DELETE, url).send();
    // The engine also detects the closed connection, so a failure is ignored.
    let _ = tokio::time::timeout(CONTROL_TIMEOUT, call).await;
}

/// Returns whether a header of a request or of an answer is forwarded.
#[must_use]
pub fn is_forwarded(name: &HeaderName) -> bool {
    !UNFORWARDED_HEADERS.contains(name) && name.as_str() != "keep-alive"
}

/// The body of an answer; its last item is an error if the body is incomplete.
pub type UpstreamBody = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// The answer of an upstream, with its head read and its body still to be read.
#[derive(Debug)]
pub struct UpstreamAnswer {
    response: ClientResponse,
    closed: ClosedFlag,
}

impl UpstreamAnswer {
    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the headers.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Returns the `Content-Length` in bytes; `None` if it is absent or invalid.
    #[must_use]
    pub fn declared_length(&self) -> Option<u64> {
        let value = self.headers().get(header::CONTENT_LENGTH)?;
        value.to_str().ok()?.parse().ok()
    }

    /// Returns whether a body follows the head of the answer to a request with the given method.
    #[must_use]
    pub fn has_body(&self, method: &Method) -> bool {
        let is_bodiless = matches!(
            self.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        *method != Method::HEAD && !is_bodiless && self.declared_length() != Some(0)
    }

    /// Returns the body.
    ///
    /// A body that is shorter than its declared length, or chunked and without its last chunk, ends
    /// with an error. A body that is neither chunked nor of declared length ends with the connection.
    #[must_use]
    pub fn into_body(self) -> UpstreamBody {
        let mut missing = self.declared_length();
        let is_chunked = self.headers().contains_key(header::TRANSFER_ENCODING);
        let closed = self.closed;
        let bytes = self.response.map(move |chunk| {
            if let (Some(missing), Ok(bytes)) = (&mut missing, &chunk) {
                *missing = missing.saturating_sub(bytes.len() as u64);
            }
            (chunk, missing.unwrap_or(0))
        });
        let body = bytes.map(Some).chain(stream::once(future::ready(None)));
        let body = body.scan(missing.unwrap_or(0), move |missing, item| {
            let next = match item {
                Some((chunk, left)) => {
                    *missing = left;
                    Some(chunk)
                }
                None if *missing > 0 || (is_chunked && closed.is_closed()) => {
                    Some(Err(PayloadError::Incomplete(None)))
                }
                None => None,
            };
            future::ready(next)
        });
        Box::pin(body)
    }
}
