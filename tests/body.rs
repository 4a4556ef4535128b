//! Tests of the size and time limits on request bodies.

use std::time::Duration;

use actix_http::Payload;
use actix_http::Request;
use actix_http::error::PayloadError;
use actix_rt::System;
use borageladder::body::BodyError;
use borageladder::body::read_body;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use yare::parameterized;

/// Size limit in these tests, in bytes.
const LIMIT: usize = 10;

/// Time limit that a body which is available at once never reaches.
const LONG_TIMEOUT: Duration = Duration::from_mins(10);

fn read(
    payload: impl Stream<Item = Result<Bytes, PayloadError>> + 'static,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let payload = Payload::Stream {
        payload: Box::pin(payload) as _,
    };
    let mut request = Request::with_payload(payload);
    System::new().block_on(read_body(&mut request, LIMIT, timeout))
}

fn chunk(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[parameterized(
    empty = { &[], Ok("") },
    whole = { &["12345", "67890"], Ok("1234567890") },
    too_large = { &["12345", "678901"], Err(BodyError::TooLarge { limit: LIMIT }) },
)]
fn bodies_are_read_up_to_the_size_limit(
    chunks: &'static [&'static str],
    expected: Result<&str, BodyError>,
) {
    let payload = stream::iter(chunks.iter().map(|text| Ok(chunk(text))));
    let expected = expected.map(|text| Bytes::copy_from_slice(text.as_bytes()));
    assert_eq!(read(payload, LONG_TIMEOUT), expected);
}

#[test]
fn a_truncated_body_is_incomplete() {
    let payload = stream::iter([Ok(chunk("12")), Err(PayloadError::Incomplete(None))]);
    assert_eq!(read(payload, LONG_TIMEOUT), Err(BodyError::Incomplete));
}

#[test]
fn a_stalled_body_times_out() {
    let timeout = Duration::from_millis(20);
    let payload = stream::iter([Ok(chunk("12"))]).chain(stream::pending());
    assert_eq!(read(payload, timeout), Err(BodyError::TimedOut { timeout }));
}
