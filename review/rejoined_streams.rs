//! Two versions of a model worker serve, part of the first sends fails, and all hosts are killed at once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Record, ZONES, has_trouble, start_gateways};
use crate::http::Connection;
use crate::store::Store;
use crate::stream_worker::{Behaviour, StreamWorker};

const CONFIGURATION: &str = r#"{"version": 5,
  "routes": [{"name": "letter", "hostname": "letters.example", "prefix": "/letter/",
    "type": "streaming", "timeout_ms": 15000, "target_latency_ms": 800, "priority": 0,
    "service": "drafter", "max_attempts": 2, "public": false, "resumable": true,
    "max_gap_ms": 300}],
  "services": [{"name": "drafter", "health_path": "/healthz", "max_connections": 240}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000},
  "tenants": [{"name": "union", "api_keys": ["union-key"], "priority": 0}]}"#;

/// The versions of the workers: half of them are released already.
const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];

/// The share of requests that a worker answers with an error before its first event (`srv_grey`).
const ERRORS: f64 = 0.45;

/// The time before a kill for which workers fail.
const ERROR_TIME: Duration = Duration::from_secs(4);

/// The length of the traffic.
const LENGTH: Duration = Duration::from_secs(92);

/// The time from one kill of all hosts to the next, and the time until they start again.
const KILL_PERIOD: Duration = Duration::from_secs(8);
const DOWN: Duration = Duration::from_millis(1_000);

/// The clients.
const CLIENTS: usize = 36;

/// The attempts of a client for one stream.
const ATTEMPTS: usize = 5;

struct Outcomes {
    joined: usize,
    counts: BTreeMap<String, usize>,
}

pub fn run() -> bool {
    let record = Arc::new(Record::create());
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let behaviour = Behaviour {
        unframed: 0.0,
        errors: 0.0,
    };
    let mut workers: Vec<StreamWorker> = (0..VERSIONS.len())
        .map(|number| StreamWorker::start(&format!("i-{:08x}", 0xd4af_0000 + number), &behaviour))
        .collect();
    for (number, worker) in workers.iter().enumerate() {
        let zone = ZONES[number % ZONES.len()].0;
        worker.register_version("drafter", zone, VERSIONS[number], &store);
    }
    let versions: BTreeMap<String, &str> = workers
        .iter()
        .zip(VERSIONS)
        .map(|(worker, version)| (worker.id.clone(), version))
        .collect();
    let versions = Arc::new(versions);
    let mut gateways = start_gateways(3, &store);
    let callers: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let ended = Arc::new(AtomicBool::new(false));
    let counter = Arc::new(AtomicU64::new(0));
    let outcomes = Arc::new(Mutex::new(Outcomes {
        joined: 0,
        counts: BTreeMap::new(),
    }));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, callers) = (Arc::clone(&record), callers.clone());
            let (ended, counter) = (Arc::clone(&ended), Arc::clone(&counter));
            let (outcomes, versions) = (Arc::clone(&outcomes), Arc::clone(&versions));
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    let (outcome, joined) = stream(&callers, number, &counter, &versions, &record);
                    let mut outcomes = outcomes.lock().expect("a lock");
                    outcomes.joined += usize::from(joined);
                    *outcomes.counts.entry(outcome).or_default() += 1;
                    drop(outcomes);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let began = Instant::now();
    let mut kills = 0;
    while began.elapsed() + KILL_PERIOD < LENGTH {
        thread::sleep(KILL_PERIOD - DOWN - ERROR_TIME);
        workers
            .iter_mut()
            .for_each(|worker| worker.set_errors(ERRORS));
        thread::sleep(ERROR_TIME);
        workers.iter_mut().for_each(|worker| worker.set_errors(0.0));
        if !has_trouble() {
            continue;
        }
        kills += 1;
        record.line("all hosts are killed");
        for gateway in &gateways {
            gateway.signal("KILL");
        }
        thread::sleep(DOWN);
        for gateway in &mut gateways {
            gateway.restart();
        }
    }
    thread::sleep(Duration::from_secs(6));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let outcomes = outcomes.lock().expect("a lock");
    let summary = format!(
        "{kills} kills of all hosts; {} streams joined from two versions; {:?}",
        outcomes.joined, outcomes.counts
    );
    record.line(&summary);
    println!("{summary}");
    outcomes.joined > 0
}

/// Asks for a stream, and takes it up again after its last event if it breaks off.
fn stream(
    callers: &[SocketAddr],
    number: usize,
    counter: &AtomicU64,
    versions: &BTreeMap<String, &str>,
    record: &Record,
) -> (String, bool) {
    let next_id = || format!("j{:06}", counter.fetch_add(1, Ordering::Relaxed));
    let first = next_id();
    let mut id = first.clone();
    let mut began = None;
    let mut last = 0;
    let mut parts: Vec<String> = Vec::new();
    for attempt in 0..ATTEMPTS {
        let host = callers[(number + attempt) % callers.len()];
        let answer = ask(host, &id, began.as_deref(), last);
        let taken_up = began.is_some();
        if let Some((status, body, complete)) = answer {
            let mut writers = BTreeSet::new();
            for line in body.lines() {
                if let Some(event) = line.strip_prefix("id: ").and_then(|text| text.parse().ok()) {
                    last = event;
                }
                let writer = line
                    .strip_prefix("data: ")
                    .and_then(|text| text.split(' ').next());
                if let Some(version) = writer.and_then(|writer| versions.get(writer)) {
                    writers.insert((*version).to_owned());
                }
            }
            record.line(&format!(
                "client gets {status} for {id} of {first}, to event {last}, by {writers:?}, complete {complete}"
            ));
            if !writers.is_empty() {
                began.get_or_insert(id.clone());
                parts.extend(writers);
            }
            if complete && status == 200 {
                let joined = parts.iter().collect::<BTreeSet<_>>().len() > 1;
                if joined {
                    record.line(&format!("ORDER: {first} is joined from {parts:?}"));
                }
                let text = if taken_up { "taken up" } else { "whole" };
                return (text.to_owned(), joined);
            }
        }
        thread::sleep(Duration::from_millis(700));
        id = next_id();
    }
    ("given up".to_owned(), false)
}

/// Sends one attempt; returns the status, the body and whether it is complete.
fn ask(host: SocketAddr, id: &str, began: Option<&str>, last: u64) -> Option<(u16, String, bool)> {
    let mut connection = Connection::open(host, Duration::from_secs(1)).ok()?;
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(8)));
    let again = began.map_or(String::new(), |began| {
        format!("Last-Event-Id: {last}\r\nResumes: {began}\r\n")
    });
    let request = format!(
        "POST /letter/{id} HTTP/1.1\r\nHost: letters.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 15000\r\nAuthorization: Bearer union-key\r\nX-Model: m\r\n\
         X-Token-Usage: 600,240\r\n{again}Connection: close\r\nContent-Length: 5\r\n\r\ndraft"
    );
    connection.write(request.as_bytes()).ok()?;
    let answer = connection.read().ok().flatten()?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Some((answer.status(), body, answer.complete))
}
