//! Callers that wait for an interim answer before they send the body of a request.

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Version;
use actix_http::header;

/// The expectation of a caller that waits before it sends the body.
const CONTINUE_TOKEN: &[u8] = b"100-continue";

/// The interim answer to it.
pub(super) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Returns whether the caller waits for an interim answer before it sends the body.
pub(super) fn expects_continue(head: &Request) -> bool {
    let expectation = head.headers().get(header::EXPECT);
    let expects =
        expectation.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(CONTINUE_TOKEN));
    expects && head.version() >= Version::HTTP_11
}
