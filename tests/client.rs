//! Tests of the harness's HTTP client with listeners that close before they have read the whole
//! body.
//!
//! A server may answer and close before the caller has sent its body, so that sending fails
//! although the answer has arrived (RFC 9112, section 9.5).

mod harness;

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use harness::Answer;
use harness::Call;
use yare::parameterized;

/// A body size that exceeds the socket buffers of both sides together, so that sending can't
/// succeed.
const LARGE_BODY: usize = 64 << 20;

const REFUSAL: &str = "HTTP/1.1 413 Payload Too Large\r\n\
    connection: close\r\n\
    content-length: 36\r\n\
    \r\n\
    {\"error\":{\"code\":\"body_too_large\"}}\n";

fn large_call() -> Call {
    Call::post("/v1/completions", "x".repeat(LARGE_BODY))
}

/// Reads a request head and none of the body.
fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request head");
        head.extend(byte);
    }
}

/// Makes a call to a listener that reads only the head of a large request, sends `answer` and
/// closes.
///
/// Closing with unread input resets the connection. The test fails if there is a second connection.
fn with_closing_listener<T>(answer: &'static str, call: impl FnOnce(SocketAddr) -> T) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream);
        stream.write_all(answer.as_bytes()).expect("an open stream");
        drop(stream);
        listener
    });
    let result = call(address);
    let listener = server.join().expect("the listener does not panic");
    listener.set_nonblocking(true).expect("a listener");
    let other = listener.accept().map_err(|error| error.kind());
    assert_eq!(other.err(), Some(ErrorKind::WouldBlock));
    result
}

fn assert_no_answer(answer: &Answer) {
    assert_eq!((answer.status, answer.complete), (0, false));
    assert_eq!((answer.head.as_str(), answer.body.as_str()), ("", ""));
}

#[test]
fn open_fails_if_the_body_can_not_be_sent_completely() {
    let opened = with_closing_listener(REFUSAL, |address| large_call().open(address).map(drop));
    assert!(opened.is_err());
}

#[test]
fn an_answer_is_read_although_the_body_was_not_sent_completely() {
    let answer = with_closing_listener(REFUSAL, |address| large_call().send(address));
    assert_eq!((answer.status, answer.complete), (413, true));
    assert_eq!(answer.code(), "body_too_large");
}

#[test]
fn a_truncated_answer_is_not_complete() {
    let truncated = REFUSAL.strip_suffix("}\n").expect("the end of the body");
    let answer = with_closing_listener(truncated, |address| large_call().send(address));
    assert_eq!((answer.status, answer.complete), (413, false));
    assert_eq!(answer.code(), "");
}

#[parameterized(
    nothing = { "" },
    part_of_the_head = { "HTTP/1.1 413 Payload Too Large\r\n" },
)]
fn a_connection_that_ends_before_the_head_gives_no_answer(sent: &'static str) {
    assert_no_answer(&with_closing_listener(sent, |address| {
        large_call().send(address)
    }));
}

#[test]
fn a_refused_connection_gives_no_answer() {
    // No socket can listen on port 0.
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    assert_no_answer(&Call::get("/health/live").send(address));
}
