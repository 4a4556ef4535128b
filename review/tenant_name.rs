//! A new configuration whose added tenant has a colon in its name.

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

/// A configuration that sends filings to a service, with a further tenant if one is named.
fn document(version: u64, service: &str, tenant: Option<&str>) -> String {
    let added = tenant.map_or(String::new(), |name| {
        format!(", {{\"name\": \"{name}\", \"api_keys\": [\"night-key\"], \"priority\": 1}}")
    });
    format!(
        r#"{{"version": {version},
  "routes": [{{"name": "file", "hostname": "casebook.example", "prefix": "/file/",
    "type": "unsafe", "timeout_ms": 2500, "target_latency_ms": 300, "priority": 0,
    "service": "{service}", "max_attempts": 1, "public": false, "resumable": false}}],
  "services": [{{"name": "casebook", "health_path": "/healthz", "max_connections": 110}},
    {{"name": "archive", "health_path": "/healthz", "max_connections": 110}}],
  "limits": {{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000}},
  "tenants": [{{"name": "union", "api_keys": ["union-key"], "priority": 0}}{added}]}}"#
    )
}

/// The length of the traffic, and the time in it at which the configuration changes.
const LENGTH: Duration = Duration::from_secs(25);
const CHANGED_AT: Duration = Duration::from_secs(6);

/// The time after which only the new configuration may be acted on (`config_apply_ms`).
const APPLY_TIME: f64 = 2.5;

/// The time for which a host that was started again is watched.
const RESTART_TIME: Duration = Duration::from_secs(8);

/// The time at which each attempt was sent, in seconds, and the status of its answer.
type Answers = Arc<Mutex<BTreeMap<String, (f64, u16)>>>;

pub fn run() -> bool {
    let record = Arc::new(Record::create());
    let store = Store::start();
    store.put("op", "config", &document(5, "casebook", None));
    let runs = Runs::default();
    let services = ["casebook", "casebook", "archive"];
    let workers: Vec<Arc<Worker>> = services
        .iter()
        .enumerate()
        .map(|(number, service)| {
            Worker::start(number, service, ZONES[number].0, &store, &record, &runs)
        })
        .collect();
    let mut gateways = start_gateways(3, &store);
    let ended = Arc::new(AtomicBool::new(false));
    let counter = Arc::new(AtomicU64::new(0));
    let answers = Answers::default();
    let clients: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let callers = gateway.callers;
            let (record, ended) = (Arc::clone(&record), Arc::clone(&ended));
            let (counter, answers) = (Arc::clone(&counter), Arc::clone(&answers));
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(100));
                    let id = format!("t{:06}", counter.fetch_add(1, Ordering::Relaxed));
                    let sent_at = record.seconds();
                    let status = send(callers, &id);
                    record.line(&format!(
                        "client gets {status} for {id}, sent at {sent_at:.3}"
                    ));
                    answers
                        .lock()
                        .expect("a lock")
                        .insert(id, (sent_at, status));
                }
            })
        })
        .collect();
    let began = Instant::now();
    let mut acknowledged = None;
    while began.elapsed() < LENGTH {
        if acknowledged.is_none() && began.elapsed() >= CHANGED_AT {
            let name = if has_trouble() {
                "hokkaido:night-shift"
            } else {
                "hokkaido-night-shift"
            };
            store.put("op", "config", &document(6, "archive", Some(name)));
            acknowledged = Some(record.seconds());
            record.line(&format!("version 6 is written, with the tenant {name:?}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    gateways[0].restart();
    let restarted = Instant::now();
    while !gateways[0].is_ready() && restarted.elapsed() < RESTART_TIME {
        thread::sleep(Duration::from_millis(100));
    }
    let text = if gateways[0].is_ready() {
        "ready"
    } else {
        "not ready"
    };
    record.line(&format!(
        "a host that was started again is {text} after {RESTART_TIME:?} at most"
    ));
    drop(gateways);
    let bound = acknowledged.unwrap_or(f64::MAX) + APPLY_TIME;
    let archive = workers.last().map_or("", |worker| worker.id.as_str());
    judge(
        &record,
        &runs,
        archive,
        &answers.lock().expect("a lock"),
        bound,
    )
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

/// Returns whether a request that was sent after the bound ran at the old service.
fn judge(
    record: &Record,
    runs: &Runs,
    archive: &str,
    answers: &BTreeMap<String, (f64, u16)>,
    bound: f64,
) -> bool {
    let runs = runs.lock().expect("a lock");
    let mut old = 0;
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for (id, (sent_at, status)) in answers.iter().filter(|(_, (sent_at, _))| *sent_at > bound) {
        *statuses.entry(*status).or_default() += 1;
        let places = runs.get(id).cloned().unwrap_or_default();
        if places.iter().any(|place| !place.starts_with(archive)) {
            old += 1;
            let places = places.join(", ");
            record.line(&format!(
                "CONFIG: {id}, sent at {sent_at:.3}, ran at the old service: {places}"
            ));
        }
    }
    let summary = format!(
        "sent later than the bound: {old} ran at the old service; answers by status {statuses:?}"
    );
    record.line(&summary);
    println!("{summary}");
    old > 0
}
