//! Drives the engine model in real time and holds the streams of its requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::LoadReport;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::RequestId;
use tokio::sync::Notify;

use crate::engine::completion::CompletionRequest;
use crate::engine::completion::TokenUsage;
use crate::engine::stream::StreamRecord;
use crate::model::EngineModel;
use crate::model::EngineOutput;
use crate::model::EngineProfile;

/// Time without a reader after which a stream is cancelled if still open, and removed.
pub const RESUME_WINDOW: Duration = Duration::from_secs(15);

/// The interval between two sweeps for streams without readers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The incarnation in the identifiers of requests passed to the model, which has only one.
const MODEL_INCARNATION: u64 = 0;

/// An engine model with the streams of its requests.
#[derive(Debug)]
pub struct EngineRunner {
    start: Instant,
    model: RefCell<EngineModel>,
    records: RefCell<BTreeMap<RequestId, Rc<StreamRecord>>>,
    sequence: Cell<u64>,
    changed: Notify,
}

impl EngineRunner {
    /// Creates a runner whose engine has no requests.
    #[must_use]
    pub fn new(profile: EngineProfile) -> Self {
        Self {
            start: Instant::now(),
            model: RefCell::new(EngineModel::new(profile)),
            records: RefCell::default(),
            sequence: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Returns a label for a request without an `x-request-id` header.
    ///
    /// The label stays the same until the next request is admitted.
    #[must_use]
    pub fn next_label(&self) -> String {
        format!("unnamed-{}", self.sequence.get() + 1)
    }

    /// Enqueues a request in order of arrival and returns its stream.
    #[must_use]
    pub fn admit(&self, completion: CompletionRequest) -> Rc<StreamRecord> {
        let request = self.next_request_id();
        let job = completion.job(request);
        let usage = TokenUsage {
            prompt: job.prompt_tokens,
            ..TokenUsage::default()
        };
        let record = Rc::new(StreamRecord::new(completion, usage));
        self.records
            .borrow_mut()
            .insert(request, Rc::clone(&record));
        self.model.borrow_mut().admit(self.now(), job);
        self.changed.notify_one();
        record
    }

    /// Returns the most recently admitted stream with the label; `None` if there is none.
    #[must_use]
    pub fn record(&self, label: &str) -> Option<Rc<StreamRecord>> {
        let records = self.records.borrow();
        let mut records = records.values().rev();
        records
            .find(|record| record.completion.label == label)
            .cloned()
    }

    /// Cancels every open request with the label.
    pub fn cancel(&self, label: &str) {
        let records = self.records.borrow();
        for (request, record) in records.iter() {
            if record.completion.label == label {
                self.cancel_request(*request, record);
            }
        }
    }

    /// Returns the load report of the engine.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.model.borrow().load()
    }

    /// Returns the cache events with sequence numbers greater than `after`.
    #[must_use]
    pub fn cache_events(&self, after: u64) -> CacheBatch {
        self.model.borrow().cache_events(after)
    }

    /// Multiplies the step times of the engine's profile by a factor from the next step on; 1 is
    /// the normal speed.
    pub fn set_slowdown(&self, factor: f64) {
        self.model.borrow_mut().set_slowdown(self.now(), factor);
        self.changed.notify_one();
    }

    fn now(&self) -> ClockTime {
        ClockTime::ZERO + self.start.elapsed()
    }

    fn next_request_id(&self) -> RequestId {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        RequestId {
            incarnation: MODEL_INCARNATION,
            sequence,
        }
    }

    fn cancel_request(&self, request: RequestId, record: &StreamRecord) {
        self.model.borrow_mut().cancel(self.now(), request);
        record.cancel();
    }

    fn advance(&self) {
        let outputs = self.model.borrow_mut().advance(self.now());
        let records = self.records.borrow();
        for output in outputs {
            deliver(&records, output);
        }
    }

    fn sweep(&self) {
        let mut records = self.records.borrow_mut();
        records.retain(|request, record| {
            if record.idle_time() < RESUME_WINDOW {
                return true;
            }
            self.cancel_request(*request, record);
            false
        });
    }

    fn time_to_next_wake(&self) -> Duration {
        let wake = self.model.borrow().next_wake();
        let wait = wake.map_or(SWEEP_INTERVAL, |wake| wake.since(self.now()));
        wait.min(SWEEP_INTERVAL)
    }
}

fn deliver(records: &BTreeMap<RequestId, Rc<StreamRecord>>, output: EngineOutput) {
    let (EngineOutput::Started { request, .. }
    | EngineOutput::Token { request, .. }
    | EngineOutput::Finished { request, .. }) = output;
    let Some(record) = records.get(&request).filter(|record| record.is_open()) else {
        return;
    };
    match output {
        EngineOutput::Started { cached_tokens, .. } => record.set_cached_tokens(cached_tokens),
        EngineOutput::Token { index, .. } => record.push_token(index),
        EngineOutput::Finished { .. } => record.finish(),
    }
}

/// Advances the engine until the runtime stops; also cancels and removes the streams that have been
/// idle for the resume window.
pub async fn run(runner: Rc<EngineRunner>) {
    let mut last_sweep = Instant::now();
    loop {
        runner.advance();
        if last_sweep.elapsed() >= SWEEP_INTERVAL {
            runner.sweep();
            last_sweep = Instant::now();
        }
        let wait = actix_rt::time::timeout(runner.time_to_next_wake(), runner.changed.notified());
        // A timeout and a notification both continue with the next iteration.
        let _ = wait.await;
    }
}
