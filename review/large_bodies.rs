//! Twice the clients at once, with prompts of the largest size that the configuration allows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Gateway, Record, ZONES, has_trouble, start_gateways};
use crate::http::Connection;
use crate::store::Store;
use crate::stream_worker::{Behaviour, StreamWorker};
use crate::worker::{Runs, Worker};

const CONFIGURATION: &str = r#"{"version": 5,
  "routes": [{"name": "summary", "hostname": "seats.example", "prefix": "/summary/",
    "type": "streaming", "timeout_ms": 12000, "target_latency_ms": 500, "priority": 0,
    "service": "maestro-llm", "max_attempts": 2, "public": false, "resumable": true,
    "max_gap_ms": 250},
   {"name": "book", "hostname": "seats.example", "prefix": "/book/", "type": "unsafe",
    "timeout_ms": 1500, "target_latency_ms": 200, "priority": 2, "service": "booking-api",
    "max_attempts": 1, "public": false, "resumable": false}],
  "services": [{"name": "maestro-llm", "health_path": "/healthz", "max_connections": 230},
    {"name": "booking-api", "health_path": "/healthz", "max_connections": 96}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000},
  "tenants": [{"name": "school", "api_keys": ["school-key"], "priority": 0}]}"#;

/// The memory of a machine (`memory_mb`), beyond which the platform kills a process.
const MEMORY_MB: u64 = 110;

/// The size of each prompt (`max_body_bytes`).
const PROMPT_BYTES: usize = 4 << 20;

/// The size of each booking.
const BOOKING_BYTES: usize = 600;

/// The hosts.
const HOSTS: usize = 3;

/// The model workers, which run ten requests each at once.
const MODEL_WORKERS: usize = 9;

/// The model workers are sound.
const SOUND: Behaviour = Behaviour {
    unframed: 0.0,
    errors: 0.0,
};

/// The clients of each host that send prompts, and during a burst of twice the traffic.
const CLIENTS: usize = 8;
const BURST_CLIENTS: usize = 16;

/// The clients of each host that send bookings.
const BOOKING_CLIENTS: usize = 6;

/// The length of the traffic.
const LENGTH: Duration = Duration::from_secs(50);

/// The times at which bursts begin, in seconds, and their length.
const BURSTS: [f64; 3] = [10.0, 23.0, 36.0];
const BURST: f64 = 2.5;

/// The time until a process that has ended starts again.
const RESTART: Duration = Duration::from_millis(500);

#[derive(Clone)]
struct Sending {
    record: Arc<Record>,
    runs: Runs,
    /// The bookings on kept connections that had reached a worker and got no answer.
    closed: Arc<Mutex<Vec<String>>>,
    answers: Arc<Mutex<BTreeMap<String, usize>>>,
    /// The number of clients of each host that send prompts now.
    active: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    counter: Arc<AtomicU64>,
    prompt: Arc<Vec<u8>>,
}

pub fn run() -> bool {
    let record = Arc::new(Record::create());
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let runs = Runs::default();
    let _bookings: Vec<Arc<Worker>> = (0..3)
        .map(|number| {
            Worker::start(
                number,
                "booking-api",
                ZONES[number].0,
                &store,
                &record,
                &runs,
            )
        })
        .collect();
    let models: Vec<StreamWorker> = (0..MODEL_WORKERS)
        .map(|number| StreamWorker::start(&format!("i-{:08x}", 0xaae5_0000 + number), &SOUND))
        .collect();
    for (number, model) in models.iter().enumerate() {
        model.register("maestro-llm", ZONES[number % ZONES.len()].0, &store);
    }
    let mut gateways = start_gateways(HOSTS, &store);
    let sending = Sending {
        record: Arc::clone(&record),
        runs,
        closed: Arc::default(),
        answers: Arc::default(),
        active: Arc::new(AtomicUsize::new(CLIENTS)),
        ended: Arc::default(),
        counter: Arc::default(),
        prompt: Arc::new(vec![b'x'; PROMPT_BYTES]),
    };
    let mut clients = Vec::new();
    for gateway in &gateways {
        for number in 0..BURST_CLIENTS {
            let (sending, callers) = (sending.clone(), gateway.callers);
            clients.push(thread::spawn(move || {
                send_prompts(&sending, callers, number)
            }));
        }
        for _ in 0..BOOKING_CLIENTS {
            let (sending, callers) = (sending.clone(), gateway.callers);
            clients.push(thread::spawn(move || send_bookings(&sending, callers)));
        }
    }
    let kills = watch(&mut gateways, &sending);
    sending.ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    judge(&sending, kills)
}

/// Plays the traffic and the platform, which kills a process that exceeds its memory.
fn watch(gateways: &mut [Gateway], sending: &Sending) -> usize {
    let began = Instant::now();
    let (mut kills, mut peak) = (0, 0);
    let mut ended: BTreeMap<usize, Instant> = BTreeMap::new();
    while began.elapsed() < LENGTH {
        let at = began.elapsed().as_secs_f64();
        let is_burst = BURSTS
            .iter()
            .any(|begin| (0.0..BURST).contains(&(at - begin)));
        let bursts = has_trouble() && is_burst;
        let count = if bursts { BURST_CLIENTS } else { CLIENTS };
        if sending.active.swap(count, Ordering::Relaxed) != count {
            sending
                .record
                .line(&format!("{count} clients at each host send prompts"));
        }
        for (number, gateway) in gateways.iter_mut().enumerate() {
            if ended.get(&number).is_some_and(|at| at.elapsed() > RESTART) {
                ended.remove(&number);
                gateway.restart();
            }
            let memory = gateway.memory_mb();
            peak = peak.max(memory);
            if memory > MEMORY_MB && !ended.contains_key(&number) {
                let line = format!("{} uses {memory} MB and is killed", gateway.name);
                sending.record.line(&line);
                gateway.signal("KILL");
                ended.insert(number, Instant::now());
                kills += 1;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    sending.record.line(&format!("peak of {peak} MB"));
    println!("peak of {peak} MB");
    kills
}

fn count(sending: &Sending, outcome: String) {
    *sending
        .answers
        .lock()
        .expect("a lock")
        .entry(outcome)
        .or_default() += 1;
}

fn next_id(sending: &Sending) -> String {
    format!("m{:06}", sending.counter.fetch_add(1, Ordering::Relaxed))
}

/// Sends a request and reads its answer; `None` if the connection ends without a complete one.
fn exchange(connection: &mut Connection, path: &str, id: &str, body: &[u8]) -> Option<u16> {
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(12)));
    let head = format!(
        "POST /{path}/{id} HTTP/1.1\r\nHost: seats.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 12000\r\nAuthorization: Bearer school-key\r\nX-Model: m\r\n\
         X-Token-Usage: 6610,280\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    connection.write(head.as_bytes()).ok()?;
    connection.write(body).ok()?;
    let answer = connection.read().ok().flatten()?;
    answer.complete.then(|| answer.status())
}

/// Sends one prompt after the other, each on a new connection.
fn send_prompts(sending: &Sending, callers: SocketAddr, number: usize) {
    while !sending.ended.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100 + 20 * number as u64));
        if number >= sending.active.load(Ordering::Relaxed) {
            continue;
        }
        let Ok(mut connection) = Connection::open(callers, Duration::from_secs(1)) else {
            continue;
        };
        let id = next_id(sending);
        let status = exchange(&mut connection, "summary", &id, &sending.prompt);
        let status = status.map_or("cut".to_owned(), |status| status.to_string());
        count(sending, format!("prompt {status}"));
    }
}

/// Sends one booking after the other on a kept connection.
fn send_bookings(sending: &Sending, callers: SocketAddr) {
    let mut kept: Option<Connection> = None;
    while !sending.ended.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(20));
        let is_kept = kept.is_some();
        let opened = kept
            .take()
            .map_or_else(|| Connection::open(callers, Duration::from_secs(1)), Ok);
        let Ok(mut connection) = opened else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let id = next_id(sending);
        if let Some(status) = exchange(&mut connection, "book", &id, &[b'x'; BOOKING_BYTES]) {
            count(sending, format!("booking {status}"));
            kept = Some(connection);
            continue;
        }
        let ran = sending.runs.lock().expect("a lock").contains_key(&id);
        let text =
            format!("booking {id} closed without an answer, kept {is_kept}, at a worker {ran}");
        sending.record.line(&text);
        count(sending, "booking closed".to_owned());
        if is_kept && ran {
            sending.closed.lock().expect("a lock").push(id);
        }
    }
}

fn judge(sending: &Sending, kills: usize) -> bool {
    let closed = sending.closed.lock().expect("a lock");
    let summary = format!(
        "{kills} processes killed for their memory; {:?}; {} bookings on kept connections had \
         reached a worker and were closed without an answer",
        sending.answers.lock().expect("a lock"),
        closed.len()
    );
    for id in closed.iter() {
        sending.record.line(&format!("LOST: {id}"));
    }
    sending.record.line(&summary);
    println!("{summary}");
    closed.len() > 3
}
