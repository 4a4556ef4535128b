//! Workers that turn requests away, and send a second copy of an answer late.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Record, ZONES, has_trouble, start_gateways};
use crate::http::Connection;
use crate::store::Store;
use crate::worker::{Faults, Runs, Worker};

const CONFIGURATION: &str = r#"{"version": 5,
  "routes": [{"name": "file", "hostname": "casebook.example", "prefix": "/file/", "type": "unsafe",
    "timeout_ms": 2500, "target_latency_ms": 300, "priority": 0, "service": "casebook",
    "max_attempts": 1, "public": false, "resumable": false}],
  "services": [{"name": "casebook", "health_path": "/healthz", "max_connections": 110}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000},
  "tenants": [{"name": "union", "api_keys": ["union-key"], "priority": 0}]}"#;

/// The length of the traffic.
const LENGTH: Duration = Duration::from_secs(96);

/// The time from one disruption to the next.
const PERIOD: f64 = 4.5;

/// The length of each disruption.
const DISRUPTION: f64 = 4.0;

/// The workers of the service.
const WORKERS: usize = 1;

/// Those of them that send late copies.
const GARBLED_WORKERS: usize = 1;

/// The share of requests that a worker turns away during a disruption.
const SHED: f64 = 0.2;

/// The share of answers of which a worker sends a late copy during a disruption.
const LATE_COPIES: f64 = 0.03;

/// The pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(20);

type Answers = Arc<Mutex<BTreeMap<String, String>>>;

pub fn run() -> bool {
    let record = Arc::new(Record::create());
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let runs = Runs::default();
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|number| Worker::start(number, "casebook", ZONES[number].0, &store, &record, &runs))
        .collect();
    let gateways = start_gateways(3, &store);
    let answers = Answers::default();
    let ended = Arc::new(AtomicBool::new(false));
    let counter = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..3)
        .map(|number| {
            let callers = gateways[number % 3].callers;
            let (record, answers) = (Arc::clone(&record), Arc::clone(&answers));
            let (ended, counter) = (Arc::clone(&ended), Arc::clone(&counter));
            thread::spawn(move || call(callers, &record, &answers, &ended, &counter))
        })
        .collect();
    let began = Instant::now();
    while began.elapsed() < LENGTH {
        let phase = began.elapsed().as_secs_f64() % PERIOD;
        let active = phase < DISRUPTION;
        for (number, worker) in workers.iter().enumerate() {
            let copies = has_trouble() && active && number < GARBLED_WORKERS;
            *worker.faults.lock().expect("a lock") = Faults {
                shed: if active { SHED } else { 0.0 },
                late_copy: if copies { LATE_COPIES } else { 0.0 },
            };
        }
        thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    drop(gateways);
    judge(&record, &runs, &answers)
}

/// Sends one request after the other on a kept connection.
fn call(
    callers: SocketAddr,
    record: &Record,
    answers: &Answers,
    ended: &AtomicBool,
    counter: &AtomicU64,
) {
    let mut kept: Option<Connection> = None;
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(PAUSE);
        let id = format!("a{:06}", counter.fetch_add(1, Ordering::Relaxed));
        let opened = kept
            .take()
            .map_or_else(|| Connection::open(callers, Duration::from_secs(1)), Ok);
        let Ok(mut connection) = opened else { continue };
        let _ = connection
            .stream
            .set_read_timeout(Some(Duration::from_secs(5)));
        let body = format!("filing {id}");
        let request = format!(
            "POST /file/{id} HTTP/1.1\r\nHost: casebook.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 5000\r\nAuthorization: Bearer union-key\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(&format!("client sends {id}"));
        let sent = connection.write(request.as_bytes());
        let answer = sent.and_then(|()| connection.read()).ok().flatten();
        let text = match &answer {
            Some(answer) => format!("{}", answer.status()),
            None => "closed".to_owned(),
        };
        record.line(&format!("client gets {text} for {id}"));
        let closes = answer.as_ref().is_none_or(|answer| {
            answer
                .header("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        answers.lock().expect("a lock").insert(id, text);
        if !closes {
            kept = Some(connection);
        }
    }
}

/// Returns whether a rule was broken.
fn judge(record: &Record, runs: &Runs, answers: &Answers) -> bool {
    let (runs, answers) = (
        runs.lock().expect("a lock"),
        answers.lock().expect("a lock"),
    );
    let mut twice = 0;
    let mut refused = 0;
    for (id, places) in runs.iter() {
        if places.len() > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE: {id} ran {}: {}",
                places.len(),
                places.join(", ")
            ));
        }
        let answer = answers.get(id).map_or("none", String::as_str);
        if answer == "503" || answer == "429" {
            refused += 1;
            record.line(&format!(
                "REFUSED: {id} was answered {answer} and ran: {}",
                places.join(", ")
            ));
        }
    }
    let summary = format!(
        "{} attempts answered, {} ran, {twice} ran more than once, {refused} refused though they ran",
        answers.len(),
        runs.len()
    );
    record.line(&summary);
    println!("{summary}");
    twice + refused > 0
}
