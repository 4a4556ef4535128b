//! Tests of the operators' command line against a fake host.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::LazyLock;
use std::thread;
use std::thread::JoinHandle;

use borageladder::kernel::configuration::ConfigVersion;
use borageladder::language::ResultTable;
use borageladder::language::TableName;
use borageladder::language::answer::ChangeResult;
use borageladder::language::answer::ChangeState;
use borageladder::language::answer::CommandAnswer;
use borageladder::language::answer::CommandError;
use borageladder::language::answer::CommandErrorCode;
use borageladder::language::answer::CommandResult;
use borageladder::language::parse;
use borageladder::settings::KeyDigest;
use serde_json::json;
use yare::parameterized;

/// A server in place of a host: it answers one request with each of the given bodies and returns
/// the text of the requests.
struct FakeHost {
    address: SocketAddr,
    thread: JoinHandle<String>,
}

impl FakeHost {
    fn start(status: u16, bodies: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let thread = thread::spawn(move || {
            let requests = bodies
                .iter()
                .map(|body| answer_one(&listener, status, body));
            requests.collect::<Vec<String>>().concat()
        });
        Self { address, thread }
    }

    fn answering(answer: &CommandAnswer) -> Self {
        let body = serde_json::to_string(answer).expect("an answer is JSON");
        Self::start(200, vec![body])
    }

    fn received(self) -> String {
        self.thread.join().expect("the fake host ends")
    }
}

fn answer_one(listener: &TcpListener, status: u16, body: &str) -> String {
    let (stream, _) = listener.accept().expect("the command line connects");
    let mut reader = BufReader::new(&stream);
    let request = read_request(&mut reader);
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    let mut writer = &stream;
    writer
        .write_all(format!("{head}{body}").as_bytes())
        .expect("the command line reads");
    request
}

fn read_request(reader: &mut impl BufRead) -> String {
    let mut request = String::new();
    let mut length = 0;
    loop {
        let start = request.len();
        reader.read_line(&mut request).expect("the head is text");
        let line = request[start..].trim_end().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("the length is a number");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body is whole");
    request + &String::from_utf8(body).expect("the body is text")
}

/// The file with the operator's token, written once: tests run in parallel, and rewriting the file
/// would truncate it while another test reads it.
static TOKEN_FILE: LazyLock<PathBuf> = LazyLock::new(|| {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("operator.token");
    std::fs::write(&path, "an operator's token\n").expect("the folder is writable");
    path
});

fn borageladder(host: SocketAddr, arguments: &[&str], script: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_borageladder"))
        .args(arguments)
        .env("BORAGELADDER_HOST", host.to_string())
        .env("BORAGELADDER_TOKEN_FILE", TOKEN_FILE.as_path())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command line starts");
    let mut stdin = child.stdin.take().expect("standard input is a pipe");
    // The program may exit without reading its standard input.
    drop(stdin.write_all(script.as_bytes()));
    drop(stdin);
    child.wait_with_output().expect("the command line ends")
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("the listener has an address")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("the output is text")
}

fn tiers() -> CommandAnswer {
    let mut table = ResultTable::new(TableName::Tiers);
    table
        .rows
        .push(vec![json!(0), json!("urgent"), json!(30_000), json!(false)]);
    CommandAnswer {
        results: vec![CommandResult::Table(table)],
        error: None,
    }
}

fn change(state: ChangeState, unconfirmed: &[&str]) -> CommandAnswer {
    let change = ChangeResult {
        version: ConfigVersion(42),
        before: ConfigVersion(41),
        diff: vec!["+ drain worker drafter-1".to_owned()],
        state,
        unconfirmed: unconfirmed.iter().map(|name| (*name).to_owned()).collect(),
    };
    CommandAnswer {
        results: vec![CommandResult::Change(change)],
        error: None,
    }
}

#[test]
fn a_query_is_sent_with_the_token_and_printed_as_a_table() {
    let host = FakeHost::answering(&tiers());
    let output = borageladder(host.address, &["show tiers"], "");
    let request = host.received();
    assert!(
        request.starts_with("POST /operator/command HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(
        request.contains("authorization: Bearer an operator's token\r\n"),
        "{request}"
    );
    assert!(request.ends_with("\r\n\r\nshow tiers"), "{request}");
    let expected = "rank  tier    deadline-ms  preemptible\n\
                    0     urgent  30000        false\n";
    assert_eq!(text(&output.stdout), expected);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn a_script_is_read_from_standard_input_and_answered_as_json() {
    let host = FakeHost::answering(&tiers());
    let output = borageladder(host.address, &["--json"], "# tiers\nshow tiers\n");
    assert!(host.received().ends_with("# tiers\nshow tiers\n"));
    let answer: CommandAnswer = serde_json::from_slice(&output.stdout).expect("it is JSON");
    assert_eq!(answer, tiers());
}

#[parameterized(
    accepted = { ChangeState::Accepted, &[], 0, "version 41 -> 42: accepted" },
    recorded = { ChangeState::Recorded, &["kushiro-a"], 4, "not yet in force at: kushiro-a" },
)]
fn changes_end_with_their_state(state: ChangeState, unconfirmed: &[&str], code: i32, shown: &str) {
    let host = FakeHost::answering(&change(state, unconfirmed));
    let output = borageladder(host.address, &["drain", "worker", "drafter-1"], "");
    assert!(host.received().ends_with("drain worker drafter-1"));
    assert!(text(&output.stdout).contains(shown));
    assert_eq!(output.status.code(), Some(code));
}

#[test]
fn a_wrong_word_is_marked() {
    let error = parse("show witing").expect_err("there is no such table");
    let answer = CommandAnswer {
        results: Vec::new(),
        error: Some(CommandError::from(error)),
    };
    let host = FakeHost::answering(&answer);
    let output = borageladder(host.address, &["show witing"], "");
    drop(host.received());
    let shown = text(&output.stderr);
    assert!(shown.ends_with("  show witing\n       ^^^^^^\n"), "{shown}");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn a_conflict_is_a_failure() {
    let message = "version 42 is in force, not 41";
    let answer = CommandAnswer {
        results: Vec::new(),
        error: Some(CommandError::new(CommandErrorCode::Conflict, message)),
    };
    let host = FakeHost::answering(&answer);
    let output = borageladder(host.address, &["drain worker a if version 41"], "");
    drop(host.received());
    assert_eq!(text(&output.stderr), format!("borageladder: {message}\n"));
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn a_watched_query_is_repeated_until_it_fails() {
    let failure = CommandAnswer {
        results: Vec::new(),
        error: Some(CommandError::new(CommandErrorCode::Unavailable, "stop")),
    };
    let bodies = [tiers(), tiers(), failure];
    let bodies = bodies.map(|answer| serde_json::to_string(&answer).expect("it is JSON"));
    let host = FakeHost::start(200, bodies.to_vec());
    let output = borageladder(host.address, &["--watch", "0.1", "show tiers"], "");
    assert_eq!(host.received().matches("show tiers").count(), 3);
    assert_eq!(text(&output.stdout).matches("urgent").count(), 2);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn the_digest_of_a_token_is_printed() {
    let file = TOKEN_FILE.to_str().expect("the path is text");
    let output = borageladder(unused_address(), &["--digest", file], "");
    let expected = format!("{}\n", KeyDigest::of("an operator's token"));
    assert_eq!(text(&output.stdout), expected);
}

#[test]
fn a_response_that_is_not_a_command_answer_is_a_failure() {
    let host = FakeHost::start(500, vec!["oops".to_owned()]);
    let output = borageladder(host.address, &["show tiers"], "");
    drop(host.received());
    assert!(text(&output.stderr).contains("status 500"));
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn a_host_that_does_not_listen_is_unreachable() {
    let output = borageladder(unused_address(), &["show tiers"], "");
    assert!(text(&output.stderr).contains("did not answer"));
    assert_eq!(output.status.code(), Some(3));
}

#[parameterized(
    unknown = { &["--jsn"], "--jsn" },
    host = { &["--host", "localhost", "show tiers"], "localhost" },
    watch = { &["--watch", "0", "show tiers"], "0.1 to 3600" },
    watched_change = { &["--watch", "1", "drain worker a"], "queries only" },
    watched_unknown = { &["--watch", "1", "drainn worker a"], "queries only" },
    empty_token = { &["--token-file", "/dev/null", "show tiers"], "is empty" },
    no_token = { &["--token-file", "/nonexistent", "show tiers"], "/nonexistent" },
)]
fn wrong_arguments_are_usage_errors(arguments: &[&str], shown: &str) {
    let output = borageladder(unused_address(), arguments, "");
    assert!(
        text(&output.stderr).contains(shown),
        "{}",
        text(&output.stderr)
    );
    assert_eq!(output.status.code(), Some(2));
}

#[parameterized(
    usage = { &["--help"], "Usage: borageladder" },
    version = { &["--version"], "borageladder 0.1.0" },
    overview = { &["help"], "undrain" },
    verb = { &["help", "show"], "waited-ms" },
)]
fn help_needs_no_host(arguments: &[&str], shown: &str) {
    let output = borageladder(unused_address(), arguments, "");
    assert!(text(&output.stdout).contains(shown));
    assert_eq!(output.status.code(), Some(0));
}
