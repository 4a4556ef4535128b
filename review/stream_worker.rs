//! A model worker that answers with a stream of events, as a process of its own that can be killed.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::note_process;
use crate::http::{Connection, Message, listen, serve};
use crate::store::Store;
use crate::worker::Random;

/// The events of each answer.
pub const EVENTS: u64 = 40;

/// The time between two events.
const EVENT_GAP: Duration = Duration::from_millis(40);

/// The shares of the requests that a worker answers in another way.
pub struct Behaviour {
    /// Without a length: the answer ends with the connection.
    pub unframed: f64,
    /// With an error, before the first event.
    pub errors: f64,
}

/// A worker's process.
pub struct StreamWorker {
    pub id: String,
    pub address: SocketAddr,
    process: Child,
    input: ChildStdin,
    _output: BufReader<ChildStdout>,
}

impl StreamWorker {
    /// Starts a worker.
    pub fn start(id: &str, behaviour: &Behaviour) -> Self {
        let program = std::env::current_exe().expect("the path of this program");
        let mut process = Command::new(program)
            .args(["stream-worker", id])
            .args([behaviour.unframed.to_string(), behaviour.errors.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the worker starts");
        note_process(&process);
        let input = process.stdin.take().expect("a pipe");
        let mut output = BufReader::new(process.stdout.take().expect("a pipe"));
        let mut line = String::new();
        let _ = output.read_line(&mut line);
        Self {
            id: id.to_owned(),
            address: line.trim().parse().expect("an address"),
            process,
            input,
            _output: output,
        }
    }

    /// Registers the worker in the store.
    pub fn register(&self, service: &str, zone: &str, store: &Store) {
        self.register_version(service, zone, "v1", store);
    }

    /// Registers the worker with the version of its software.
    pub fn register_version(&self, service: &str, zone: &str, version: &str, store: &Store) {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"batch_slots\":10,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":1,\"born\":1796000000000}}",
            self.address
        );
        store.put("servers", &self.id, &entry);
    }

    /// Sets the share of the requests that are answered with an error from now on.
    pub fn set_errors(&mut self, share: f64) {
        let _ = writeln!(self.input, "{share}");
    }

    /// Ends the process as a crash does.
    pub fn crash(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for StreamWorker {
    fn drop(&mut self) {
        self.crash();
    }
}

/// The program of a worker: `stream-worker ID UNFRAMED ERRORS`.
pub fn run() -> bool {
    let argument = |at: usize| std::env::args().nth(at).unwrap_or_default();
    let id = argument(2);
    let share = |at: usize| argument(at).parse::<f64>().unwrap_or(0.0);
    let (unframed, errors) = (share(3), share(4));
    let (listener, address) = listen();
    println!("{address}");
    let _ = std::io::stdout().flush();
    let seed = id
        .bytes()
        .fold(7, |seed: u64, byte| seed * 31 + u64::from(byte));
    let random = Arc::new(Random::new(seed));
    let errors = Arc::new(AtomicU64::new(errors.to_bits()));
    let current = Arc::clone(&errors);
    serve(listener, move |mut connection| {
        while let Ok(Some(request)) = connection.read() {
            if request.complete && random.share() < f64::from_bits(errors.load(Ordering::Relaxed)) {
                if connection.write(&error(&request)).is_err() {
                    return;
                }
                continue;
            }
            let is_unframed = random.share() < unframed;
            if !request.complete || answer(&mut connection, &id, &request, is_unframed).is_err() {
                return;
            }
            if is_unframed {
                connection.close();
                return;
            }
        }
    });
    for line in std::io::stdin().lines().map_while(Result::ok) {
        let share = line.trim().parse::<f64>().unwrap_or(0.0);
        current.store(share.to_bits(), Ordering::Relaxed);
    }
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn answer(
    connection: &mut Connection,
    id: &str,
    request: &Message,
    is_unframed: bool,
) -> std::io::Result<()> {
    let attempt = request.header("x-attempt-id").unwrap_or("");
    if request
        .header("x-expect-instance")
        .is_some_and(|name| name != id)
    {
        let text = "HTTP/1.1 421 Not run\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n";
        return connection.write(format!("{text}X-Attempt-Id: {attempt}\r\n\r\n").as_bytes());
    }
    let framing = if is_unframed {
        "Connection: close"
    } else {
        "Transfer-Encoding: chunked"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {id}.{attempt}\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    let last = request
        .header("last-event-id")
        .and_then(|last| last.parse().ok())
        .unwrap_or(0);
    for number in last + 1..=EVENTS {
        thread::sleep(EVENT_GAP);
        let event = format!("id: {number}\ndata: {id} writes word {number}\n\n");
        if is_unframed {
            connection.write(event.as_bytes())?;
        } else {
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
    }
    if !is_unframed {
        connection.write(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Returns a worker's own error, which counts as run.
fn error(request: &Message) -> Vec<u8> {
    let attempt = request.header("x-attempt-id").unwrap_or("");
    format!(
        "HTTP/1.1 500 Error\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: e.{attempt}\r\n\
         Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}
