//! A stand-in of a plain worker, with the faults that the cases ask for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::Record;
use crate::http::{Connection, Message, listen, serve};
use crate::store::Store;

/// A source of random numbers.
pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    fn next(&self) -> u64 {
        let step = self.0.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        let mut z = step ^ (step >> 30);
        z = z.wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// Returns a number from 0 to 1.
    pub fn share(&self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The share of requests on which a worker's faults strike.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The share that is turned away though there is room (`srv_grey`, shed).
    pub shed: f64,
    /// The share of answers of which a copy arrives late (`garble`, extra late).
    pub late_copy: f64,
}

/// What the workers of a deployment ran: by attempt, the workers and times.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// A worker.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    pub address: SocketAddr,
    pub faults: Mutex<Faults>,
    pub record: Arc<Record>,
    pub runs: Runs,
    random: Random,
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Worker {
    /// Starts a worker, which registers itself in the store and writes there every 1.2 s.
    pub fn start(
        number: usize,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Arc<Record>,
        runs: &Runs,
    ) -> Arc<Self> {
        let (listener, address) = listen();
        let worker = Arc::new(Self {
            id: format!("i-{:08x}", 0x5eb4_0000 + number),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(60),
            address,
            faults: Mutex::default(),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            random: Random::new(77 + number as u64),
            busy: Mutex::new((0, 0)),
            freed: Condvar::new(),
        });
        let serving = Arc::clone(&worker);
        serve(listener, move |connection| serving.serve(connection));
        let (beating, store) = (Arc::clone(&worker), store.clone());
        beating.register(&store, 1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                beating.register(&store, sequence);
            }
        });
        worker
    }

    fn register(&self, store: &Store, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"batch_slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":{sequence},\"born\":1796000000000}}",
            self.service, self.address, self.zone, self.slots
        );
        store.put("servers", &self.id, &entry);
    }

    fn serve(&self, mut connection: Connection) {
        // A second copy of an answer, sent where the next answer is expected.
        let mut copy: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.read() {
            if !request.complete {
                return;
            }
            if let Some(bytes) = copy.take() {
                self.record
                    .line(&format!("{} sends a late copy of its last answer", self.id));
                if connection.write(&bytes).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            let faults = *self.faults.lock().expect("a lock");
            if self.random.share() < faults.late_copy {
                copy = Some(answer.clone());
            }
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        if id.is_empty() {
            return self.rejection(400, &id);
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|name| name != self.id)
        {
            return self.rejection(421, &id);
        }
        let faults = *self.faults.lock().expect("a lock");
        if self.random.share() < faults.shed {
            return self.rejection(503, &id);
        }
        if !self.enter() {
            return self.rejection(503, &id);
        }
        self.record.line(&format!("{} runs {id}", self.id));
        let at = format!("{} at {:.3}", self.id, self.record.seconds());
        let mut runs = self.runs.lock().expect("a lock");
        runs.entry(id.clone()).or_default().push(at);
        drop(runs);
        thread::sleep(self.work);
        self.leave();
        let body = format!("{id} done by {}", self.id);
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: {}.{id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }

    fn rejection(&self, status: u16, id: &str) -> Vec<u8> {
        self.record.line(&format!(
            "{} turns {id} away with {status}, not run",
            self.id
        ));
        format!(
            "HTTP/1.1 {status} Not run\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        )
        .into_bytes()
    }

    /// Waits for a slot; returns false if the queue is full.
    fn enter(&self) -> bool {
        let mut busy = self.busy.lock().expect("a lock");
        if busy.0 >= self.slots {
            if busy.1 >= self.queue {
                return false;
            }
            busy.1 += 1;
            while busy.0 >= self.slots {
                busy = self.freed.wait(busy).expect("a lock");
            }
            busy.1 -= 1;
        }
        busy.0 += 1;
        true
    }

    fn leave(&self) {
        self.busy.lock().expect("a lock").0 -= 1;
        self.freed.notify_one();
    }
}
