//! Calls to upstreams: the dispatch itself, the resumption of a stream and its cancellation.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use awc::ClientResponse;
use awc::error::SendRequestError;
use thiserror::Error;

use crate::connection::FreshConnection;
use crate::connection::OpenError;
use crate::kernel::name::RequestId;
use crate::request::PlacedRequest;

/// The header that carries the request's identifier to upstreams.
pub const UPSTREAM_REQUEST_HEADER: &str = "x-request-id";

/// The time within which an upstream must answer a call about a request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Headers that belong to one connection or to this host and are not passed on.
const PRIVATE_HEADERS: [HeaderName; 11] = [
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
    /// The upstream does not know the stream.
    #[error("the upstream answered {status}")]
    Rejected {
        /// The status of its answer.
        status: StatusCode,
    },
    /// The upstream did not answer.
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
) -> Result<ClientResponse, SendRequestError> {
    let incoming = &placed.incoming;
    let url = format!("http://{address}{}", incoming.target);
    let mut call = connection
        .into_client()
        .request(incoming.method.clone(), url);
    for (name, value) in &placed.headers {
        if is_forwarded(name) {
            call = call.append_header((name.clone(), value.clone()));
        }
    }
    call = call.insert_header((UPSTREAM_REQUEST_HEADER, placed.id.to_string()));
    call.send_body(incoming.body.clone()).await
}

/// Asks for the rest of a stream on a new connection.
///
/// # Errors
///
/// Returns an error if the upstream can't be reached or does not know the stream.
pub async fn resume(
    address: SocketAddr,
    request: RequestId,
    after: u64,
) -> Result<ClientResponse, ResumeError> {
    let client = FreshConnection::open(address).await?.into_client();
    let url = format!("http://{address}/v1/streams/{request}?after={after}");
    let sent = tokio::time::timeout(CONTROL_TIMEOUT, client.get(url).send()).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return Err(ResumeError::Send(error.to_string())),
        Err(error) => return Err(ResumeError::Send(error.to_string())),
    };
    if answer.status() != StatusCode::OK {
        return Err(ResumeError::Rejected {
            status: answer.status(),
        });
    }
    Ok(answer)
}

/// Tells an engine that nobody waits for a request any more; a lost call costs engine time only.
pub async fn cancel(address: SocketAddr, request: RequestId) {
    let Ok(connection) = FreshConnection::open(address).await else {
        return;
    };
    let url = format!("http://{address}/v1/streams/{request}");
    let call = connection.into_client().request(Method::DELETE, url).send();
    // The engine also notices the closed connection, so the outcome does not matter.
    let _ = tokio::time::timeout(CONTROL_TIMEOUT, call).await;
}

/// Returns whether a header of the caller or of the upstream is passed on.
#[must_use]
pub fn is_forwarded(name: &HeaderName) -> bool {
    !PRIVATE_HEADERS.contains(name) && name.as_str() != "keep-alive"
}

/// Returns the declared length of an answer's body, in bytes.
#[must_use]
pub fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}
