//! Answers of upstreams to the daemon whose status is not that of a final answer, and answers that
//! arrive while the request is still being written.

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
use socket2::SockRef;
use yare::parameterized;

/// The time between an answer and the end of its connection, in which its bytes arrive.
const END_TIME: Duration = Duration::from_millis(100);

/// The length of an upload, more than the kernel takes for an upstream that reads none of it, in bytes.
const UPLOAD_BYTES: usize = 3 << 20;

/// How an upstream ends the connection of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UpstreamEnd {
    /// It closes it.
    Close,
    /// It resets it.
    Reset,
    /// It closes its own side and reads nothing more.
    Shutdown,
}

/// Starts an upstream that reads the head of a request and answers with the bytes at once.
fn start_upstream(bytes: String, end: UpstreamEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let bytes = bytes.clone();
            thread::spawn(move || {
                // The host may close the connection first.
                let _ = answer(&mut stream, &bytes, end);
            });
        }
    });
    address
}

fn answer(stream: &mut TcpStream, bytes: &str, end: UpstreamEnd) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.extend(byte);
    }
    stream.write_all(bytes.as_bytes())?;
    thread::sleep(END_TIME);
    match end {
        UpstreamEnd::Close => Ok(()),
        UpstreamEnd::Reset => SockRef::from(&*stream).set_linger(Some(Duration::ZERO)),
        UpstreamEnd::Shutdown => {
            stream.shutdown(std::net::Shutdown::Write)?;
            thread::sleep(Duration::from_mins(1));
            Ok(())
        }
    }
}

fn start_with_upstream(bytes: String, end: UpstreamEnd) -> Deployment {
    let plan = DeploymentPlan {
        hosts: vec!["sapporo-a"],
        engines: Vec::new(),
        max_body_bytes: 4 << 20,
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan);
    let upstream = start_upstream(bytes, end);
    let options = "service casebook datacenter sapporo-a";
    let worker = format!("set worker casebook-1 {options} address {upstream} max-running 8");
    deployment.command(0, &worker);
    deployment
}

// Guards against a caller that gets a status that is none as the upstream's answer, and against a stored
// answer with such a status.
#[parameterized(
    zero = { "000 None" },
    below_100 = { "099 None" },
    two_digits = { "20 None" },
    four_digits = { "2000 None" },
    word = { "fine None" },
    interim = { "199 None" },
    switching = { "101 Switching" },
    above_599 = { "600 None" },
    highest = { "999 None" },
)]
fn a_status_that_is_none_is_a_lost_answer(status: &str) {
    let bytes = format!("HTTP/1.1 {status}\r\ncontent-length: 5\r\n\r\nhello");
    let deployment = start_with_upstream(bytes, UpstreamEnd::Close);
    let answer = deployment.call(0, &Call::get("/services/casebook/state"));
    assert_eq!(answer.status, 502, "{}", answer.body);
    let filing = Call::post("/services/casebook/file", "{}").header("idempotency-key", "one");
    let answer = deployment.call(0, &filing);
    assert_eq!(answer.status, 502, "{}", answer.body);
}

// Guards against an answer without a length that counts as complete although the upstream ended it before it
// had read the request.
#[parameterized(
    reset = { UpstreamEnd::Reset },
    closed = { UpstreamEnd::Close },
    shut_down = { UpstreamEnd::Shutdown },
)]
fn an_early_answer_without_a_length_that_ends_during_the_upload_is_lost(end: UpstreamEnd) {
    let bytes = "HTTP/1.1 200 OK\r\n\r\nearly".to_owned();
    let deployment = start_with_upstream(bytes, end);
    let body = "x".repeat(UPLOAD_BYTES);
    let filing = Call::post("/services/casebook/file", body).header("idempotency-key", "one");
    let answer = deployment.call(0, &filing);
    assert_eq!(answer.status, 502, "{}", answer.body);
}

// Guards against a caller that waits for leave to send its body while the host waits for the body.
#[test]
fn a_caller_that_waits_for_100_continue_gets_it() {
    let bytes = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone".to_owned();
    let deployment = start_with_upstream(bytes, UpstreamEnd::Close);
    let mut stream = TcpStream::connect(deployment.hosts[0].entry).expect("the host listens");
    let head = format!(
        "POST /services/casebook/file HTTP/1.1\r\nHost: casebook\r\nConnection: close\r\n\
         Authorization: Bearer {KEY}\r\nIdempotency-Key: one\r\nExpect: 100-continue\r\n\
         Content-Length: 2\r\n\r\n"
    );
    let sent = stream.write_all(head.as_bytes());
    sent.expect("the connection is open");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).expect("an interim answer");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"{}").expect("the connection is open");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("done"),
        "{answer}"
    );
}
