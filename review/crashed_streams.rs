//! Model workers that crash while some of their answers have no length.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Record, ZONES, has_trouble, start_gateways};
use crate::http::Connection;
use crate::store::Store;
use crate::stream_worker::{Behaviour, EVENTS, StreamWorker};

const CONFIGURATION: &str = r#"{"version": 5,
  "routes": [{"name": "letter", "hostname": "letters.example", "prefix": "/letter/",
    "type": "streaming", "timeout_ms": 15000, "target_latency_ms": 800, "priority": 0,
    "service": "drafter", "max_attempts": 2, "public": false, "resumable": true,
    "max_gap_ms": 300}],
  "services": [{"name": "drafter", "health_path": "/healthz", "max_connections": 240}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000},
  "tenants": [{"name": "union", "api_keys": ["union-key"], "priority": 0}]}"#;

/// The workers.
const WORKERS: usize = 4;

/// The workers of which some answers have no length.
const UNFRAMED_WORKERS: usize = 2;

/// The others.
const SOUND: Behaviour = Behaviour {
    unframed: 0.0,
    errors: 0.0,
};

/// The share of answers without a length.
const BEHAVIOUR: Behaviour = Behaviour {
    unframed: 0.05,
    errors: 0.0,
};

/// The length of the traffic.
const LENGTH: Duration = Duration::from_secs(80);

/// The time from one crash to the next, and the time until the worker is back.
const CRASH_PERIOD: Duration = Duration::from_millis(5_000);
const DOWN: Duration = Duration::from_millis(2_000);

/// The time after which the store removes the entry of a silent worker: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// The clients.
const CLIENTS: usize = 24;

type Answers = Arc<Mutex<BTreeMap<String, usize>>>;

pub fn run() -> bool {
    let record = Arc::new(Record::create());
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let mut started = 0;
    let mut start = |place: usize| {
        started += 1;
        let worker = StreamWorker::start(
            &format!("i-{:08x}", 0xd4af_0000u32 + started),
            if place < UNFRAMED_WORKERS {
                &BEHAVIOUR
            } else {
                &SOUND
            },
        );
        worker.register("drafter", ZONES[place % ZONES.len()].0, &store);
        worker
    };
    let mut workers: Vec<StreamWorker> = (0..WORKERS).map(&mut start).collect();
    let gateways = start_gateways(3, &store);
    let ended = Arc::new(AtomicBool::new(false));
    let counter = Arc::new(AtomicU64::new(0));
    let answers = Answers::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let callers = gateways[number % gateways.len()].callers;
            let (record, answers) = (Arc::clone(&record), Arc::clone(&answers));
            let (ended, counter) = (Arc::clone(&ended), Arc::clone(&counter));
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    let id = format!("c{:06}", counter.fetch_add(1, Ordering::Relaxed));
                    let outcome = stream(callers, &id);
                    record.line(&format!("client gets {outcome} for {id}"));
                    *answers.lock().expect("a lock").entry(outcome).or_default() += 1;
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let began = Instant::now();
    let mut crashes = 0;
    while began.elapsed() < LENGTH {
        thread::sleep(CRASH_PERIOD - DOWN);
        if !has_trouble() {
            thread::sleep(DOWN);
            continue;
        }
        let place = crashes % UNFRAMED_WORKERS;
        crashes += 1;
        record.line(&format!("{} crashes", workers[place].id));
        workers[place].crash();
        let (silent, rows) = (workers[place].id.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(EXPIRY);
            rows.remove("servers", &silent);
        });
        thread::sleep(DOWN);
        workers[place] = start(place);
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let answers = answers.lock().expect("a lock");
    let is_cut = |outcome: &&String| outcome.starts_with("a complete stream of");
    let cut: usize = answers
        .iter()
        .filter(|(outcome, _)| is_cut(outcome))
        .map(|(_, n)| n)
        .sum();
    let summary =
        format!("{crashes} crashes; {cut} streams ended as complete before their last piece");
    for (outcome, count) in answers.iter() {
        record.line(&format!("{count} times: {outcome}"));
    }
    record.line(&summary);
    println!("{summary}; {answers:?}");
    cut > 0
}

/// Sends a request for a stream and returns what the client gets.
fn stream(callers: SocketAddr, id: &str) -> String {
    let Ok(mut connection) = Connection::open(callers, Duration::from_secs(1)) else {
        return "no connection".to_owned();
    };
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(15)));
    let request = format!(
        "POST /letter/{id} HTTP/1.1\r\nHost: letters.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 15000\r\nAuthorization: Bearer union-key\r\nX-Model: m\r\n\
         X-Token-Usage: 600,240\r\nConnection: close\r\nContent-Length: 5\r\n\r\ndraft"
    );
    let sent = connection.write(request.as_bytes());
    let Some(answer) = sent.and_then(|()| connection.read()).ok().flatten() else {
        return "no answer".to_owned();
    };
    if answer.status() != 200 {
        return format!("status {}", answer.status());
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let numbers = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    let numbers: Vec<u64> = numbers.collect();
    let in_order = numbers.iter().copied().eq(1..=numbers.len() as u64);
    let whole = numbers.len() as u64 == EVENTS;
    match (answer.complete, in_order, whole) {
        (true, true, true) => "the whole stream".to_owned(),
        (true, true, false) => format!("a complete stream of {} pieces of {EVENTS}", numbers.len()),
        (true, false, _) => format!("a complete stream of the pieces {numbers:?}"),
        (false, ..) => "a stream that was broken off".to_owned(),
    }
}
