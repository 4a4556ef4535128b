//! Answers that an upstream truncates must not reach a caller as complete answers.

mod harness;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;
use harness::KEY;
use yare::parameterized;

/// The time that an upstream leaves for its bytes to be forwarded before it closes.
const FORWARD_TIME: Duration = Duration::from_millis(100);

/// Starts an upstream that sends the same bytes on every connection and closes it.
fn start_upstream(bytes: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut request = [0; 4_096];
            // The content of the request does not matter, and the client may have disconnected.
            let _ = stream.read(&mut request);
            let _ = stream.write_all(bytes.as_bytes());
            // The host discards what it has not forwarded once an answer is truncated.
            thread::sleep(FORWARD_TIME);
        }
    });
    address
}

/// Starts a host with an upstream that sends the same bytes on every connection.
fn start_with_upstream(bytes: &'static str) -> Deployment {
    let plan = DeploymentPlan {
        hosts: vec!["sapporo-a"],
        engines: Vec::new(),
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan);
    let upstream = start_upstream(bytes);
    let options = "service casebook datacenter sapporo-a";
    let worker = format!("set worker casebook-1 {options} address {upstream} max-running 8");
    deployment.command(0, &worker);
    deployment
}

#[parameterized(
    chunked_without_end = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", false },
    chunk_without_end = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhello", false },
    shorter_than_declared = { "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello", false },
    chunked_with_end = {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true
    },
    as_long_as_declared = { "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", true },
)]
fn an_answer_is_complete_only_if_the_upstream_ended_it(bytes: &'static str, complete: bool) {
    let deployment = start_with_upstream(bytes);
    let answer = deployment.call(0, &Call::get("/services/casebook/state"));
    assert_eq!(
        answer.complete, complete,
        "{} {}",
        answer.status, answer.body
    );
    let filing = Call::post("/services/casebook/file", "{}").header("idempotency-key", "one");
    let answer = deployment.call(0, &filing);
    let expected = if complete { 200 } else { 502 };
    assert_eq!(answer.status, expected, "{}", answer.body);
}

// Guards against an answered request that is recorded as one whose caller left, and is cancelled.
#[parameterized(
    of_length_zero = { Call::get, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" },
    to_a_head_request = { Call::head, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n" },
    without_content = { Call::get, "HTTP/1.1 204 No Content\r\n\r\n" },
)]
fn an_answer_without_a_body_ends_its_request(call: fn(&str) -> Call, bytes: &'static str) {
    let deployment = start_with_upstream(bytes);
    let answer = deployment.call(0, &call("/services/casebook/state"));
    assert!(matches!(answer.status, 200 | 204), "{}", answer.head);
    assert_eq!(answer.body, "");
    let metrics = deployment.call(0, &Call::get("/metrics")).body;
    let ended = metrics
        .lines()
        .filter(|line| line.starts_with("borageladder_requests_total{"));
    let ended: Vec<&str> = ended.collect();
    assert!(
        ended.len() == 1 && ended[0].contains("outcome=\"in-time\""),
        "{ended:?}"
    );
}

// Guards against chunk sizes in a body that a caller of HTTP/1.0 takes for the answer, and against an
// orderly close that it takes for the end of a truncated one.
#[parameterized(
    truncated = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", false },
    complete = {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true
    },
)]
fn a_caller_of_http_1_0_gets_a_body_without_chunks_that_is_reset_if_it_is_truncated(
    bytes: &'static str,
    complete: bool,
) {
    let deployment = start_with_upstream(bytes);
    let mut stream = TcpStream::connect(deployment.hosts[0].entry).expect("the host listens");
    let request = format!(
        "GET /services/casebook/state HTTP/1.0\r\n\
        Authorization: Bearer {KEY}\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    let answer = String::from_utf8(answer).expect("an answer in ASCII");
    assert!(!answer.contains("transfer-encoding"), "{answer}");
    let looks_complete = ended.is_ok() && answer.ends_with("\r\n\r\nhello");
    assert_eq!(looks_complete, complete, "{ended:?} {answer}");
}
