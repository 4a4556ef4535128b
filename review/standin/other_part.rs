//! A row of the operator's table that has the key of the configuration and lies in another part.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Record, ZONES, has_trouble, start_gateways};
use crate::http::Connection;
use crate::store::Store;
use crate::worker::{Runs, Worker};

/// The only configuration, or the draft of a later one.
fn document(version: u64, service: &str) -> String {
    format!(
        r#"{{"version": {version},
  "routes": [{{"name": "file", "hostname": "casebook.example", "prefix": "/file/",
    "type": "unsafe", "timeout_ms": 2500, "target_latency_ms": 300, "priority": 0,
    "service": "{service}", "max_attempts": 1, "public": false, "resumable": false}}],
  "services": [{{"name": "casebook", "health_path": "/healthz", "max_connections": 110}},
    {{"name": "archive", "health_path": "/healthz", "max_connections": 110}}],
  "limits": {{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000}},
  "tenants": [{{"name": "union", "api_keys": ["union-key"], "priority": 0}}]}}"#
    )
}

/// The length of the traffic, and the time in it at which the row is written.
const LENGTH: Duration = Duration::from_secs(20);
const WRITTEN_AT: Duration = Duration::from_secs(6);

pub fn run() -> bool {
    let record = Arc::new(Record::create());
    let store = Store::start();
    store.put("op", "config", &document(5, "casebook"));
    let runs = Runs::default();
    let services = ["casebook", "casebook", "archive"];
    let workers: Vec<Arc<Worker>> = services
        .iter()
        .enumerate()
        .map(|(number, service)| {
            Worker::start(number, service, ZONES[number].0, &store, &record, &runs)
        })
        .collect();
    let gateways = start_gateways(3, &store);
    let ended = Arc::new(AtomicBool::new(false));
    let counter = Arc::new(AtomicU64::new(0));
    let answers: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let clients: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let callers = gateway.callers;
            let (record, ended) = (Arc::clone(&record), Arc::clone(&ended));
            let (counter, answers) = (Arc::clone(&counter), Arc::clone(&answers));
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(100));
                    let id = format!("p{:06}", counter.fetch_add(1, Ordering::Relaxed));
                    let status = send(callers, &id);
                    record.line(&format!("client gets {status} for {id}"));
                    *answers.lock().expect("a lock").entry(status).or_default() += 1;
                }
            })
        })
        .collect();
    let began = Instant::now();
    let mut written = !has_trouble();
    while began.elapsed() < LENGTH {
        if !written && began.elapsed() >= WRITTEN_AT {
            written = true;
            record.line("the row of table op, part draft, key config is written: version 9");
            store.put_in("op", "draft", "config", &document(9, "archive"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let archive = workers.last().map_or("", |worker| worker.id.as_str());
    judge(&record, &runs, archive, &answers.lock().expect("a lock"))
}

fn send(callers: SocketAddr, id: &str) -> u16 {
    let Ok(mut connection) = Connection::open(callers, Duration::from_secs(1)) else {
        return 0;
    };
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(5)));
    let request = format!(
        "POST /file/{id} HTTP/1.1\r\nHost: casebook.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 5000\r\nAuthorization: Bearer union-key\r\nConnection: close\r\n\
         Content-Length: 6\r\n\r\nfiling"
    );
    let sent = connection.write(request.as_bytes());
    let answer = sent.and_then(|()| connection.read()).ok().flatten();
    answer.map_or(0, |answer| answer.status())
}

/// Returns whether a request ran at the service that no configuration names for its route.
fn judge(record: &Record, runs: &Runs, archive: &str, answers: &BTreeMap<u16, usize>) -> bool {
    let runs = runs.lock().expect("a lock");
    let elsewhere = runs
        .iter()
        .filter(|(_, places)| places.iter().any(|place| place.starts_with(archive)));
    let mut strayed = 0;
    for (id, places) in elsewhere {
        strayed += 1;
        record.line(&format!(
            "ROUTE: {id} ran at the service archive: {}",
            places.join(", ")
        ));
    }
    let summary = format!(
        "answers by status {answers:?}; {} requests ran, {strayed} of them at the service archive",
        runs.len()
    );
    record.line(&summary);
    println!("{summary}");
    strayed > 0
}
