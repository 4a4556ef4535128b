//! How requests run on the workers of an experiment; failures, restarts and reports of the workers.

use std::time::Duration;

use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::clock::ClockTime;
use rand::RngExt;

use super::event::ExperimentEvent;
use super::record::RequestPhase;
use super::run::ExperimentRun;
use super::run::POLL_INTERVAL;
use crate::model::EngineJob;
use crate::model::EngineOutput;

/// Delay until a changed list of live workers is sent to the broker.
const LIST_LAG: Duration = Duration::from_secs(5);

/// Time from the start of the crashing request to the crash of its worker.
const CRASH_DELAY: Duration = Duration::from_millis(500);

/// Time that a worker crashed by the crashing request takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(5);

impl ExperimentRun {
    pub(super) fn deliver_to_worker(&mut self, worker: usize, position: usize) {
        if !self.fleet.workers[worker].alive {
            self.send(ExperimentEvent::ProgressReported {
                record: position,
                progress: WorkProgress::Failed,
            });
            return;
        }
        let record = &self.records[position];
        let job = EngineJob {
            request: record.id,
            prompt_tokens: record.request.prompt_tokens,
            blocks: record.request.blocks.clone(),
            answer_tokens: record.request.answer_tokens,
        };
        let now = self.queue.now();
        self.fleet.workers[worker].engine.admit(now, job);
        self.advance_worker(worker);
    }

    pub(super) fn wake_worker(&mut self, worker: usize) {
        let now = self.queue.now();
        let wake_at = &mut self.fleet.workers[worker].wake_at;
        if wake_at.is_some_and(|at| at <= now) {
            *wake_at = None;
        }
        self.advance_worker(worker);
    }

    pub(super) fn cancel(&mut self, worker: usize, record: usize) {
        self.advance_worker(worker);
        self.update_computed_tokens(worker, record);
        let now = self.queue.now();
        let request = self.records[record].id;
        self.fleet.workers[worker].engine.cancel(now, request);
    }

    /// Processes the outputs of a worker up to now and schedules the end of its current step.
    fn advance_worker(&mut self, worker: usize) {
        let now = self.queue.now();
        let outputs = self.fleet.workers[worker].engine.advance(now);
        for output in outputs {
            self.handle_output(worker, output);
        }
        let worker_state = &mut self.fleet.workers[worker];
        let Some(wake) = worker_state.engine.next_wake() else {
            return;
        };
        if worker_state.wake_at.is_none_or(|at| wake < at) {
            worker_state.wake_at = Some(wake);
            self.queue.push(wake, ExperimentEvent::WorkerWoke(worker));
        }
    }

    fn handle_output(&mut self, worker: usize, output: EngineOutput) {
        match output {
            EngineOutput::Started {
                request,
                cached_tokens,
                uncached_tokens,
            } => {
                if let Some(record) = self.record(request.sequence) {
                    self.record_prefill(worker, record, cached_tokens, uncached_tokens);
                }
            }
            EngineOutput::Token {
                request,
                index: 1,
                at,
            } => {
                let after = Duration::ZERO;
                let progress = WorkProgress::FirstToken { after };
                self.send_progress(request.sequence, at, progress);
            }
            EngineOutput::Token { .. } => {}
            EngineOutput::Finished { request, at } => {
                let Some(record) = self.record(request.sequence) else {
                    return;
                };
                let progress = WorkProgress::Finished {
                    answer_tokens: self.records[record].request.answer_tokens,
                    token_gap: Duration::ZERO,
                };
                self.send_progress(request.sequence, at, progress);
            }
        }
    }

    fn send_progress(&mut self, sequence: u64, at: ClockTime, progress: WorkProgress) {
        if let Some(record) = self.record(sequence) {
            let at = at + self.latency();
            let event = ExperimentEvent::ProgressReported { record, progress };
            self.queue.push(at, event);
        }
    }

    fn record_prefill(&mut self, worker: usize, position: usize, cached: u32, computed: u32) {
        let blocks = &self.records[position].request.blocks;
        let recomputed = self.fleet.cached_elsewhere(blocks, worker, cached);
        let record = &mut self.records[position];
        record.computed_tokens = computed;
        record.recomputed_tokens = recomputed.min(computed);
        if record.crashing_attempt.is_some() {
            let at = self.queue.now() + CRASH_DELAY;
            let record = position;
            self.queue
                .push(at, ExperimentEvent::CrashTriggered { worker, record });
        }
    }

    /// Sets the computed tokens of a request that is about to leave its worker before its answer is
    /// complete to the number computed so far.
    fn update_computed_tokens(&mut self, worker: usize, position: usize) {
        let record = &mut self.records[position];
        let engine = &self.fleet.workers[worker].engine;
        if let Some(tokens) = engine.computed_tokens(record.id) {
            record.computed_tokens = tokens;
        }
    }

    pub(super) fn slow_worker(&mut self, worker: usize, factor: f64) {
        let now = self.queue.now();
        self.fleet.workers[worker].engine.set_slowdown(now, factor);
        self.advance_worker(worker);
    }

    pub(super) fn kill_worker(&mut self, worker: usize) {
        self.advance_worker(worker);
        for record in 0..self.records.len() {
            if self.records[record].worker == Some(worker) {
                self.update_computed_tokens(worker, record);
            }
        }
        let now = self.queue.now();
        let state = &mut self.fleet.workers[worker];
        state.alive = false;
        state.wake_at = None;
        for request in state.engine.crash(now) {
            self.send_progress(request.sequence, now, WorkProgress::Failed);
        }
        let at = now + LIST_LAG;
        self.queue.push(at, ExperimentEvent::WorkersListed);
    }

    pub(super) fn restart_worker(&mut self, worker: usize) {
        self.fleet.workers[worker].alive = true;
        let at = self.queue.now() + LIST_LAG;
        self.queue.push(at, ExperimentEvent::WorkersListed);
    }

    pub(super) fn list_workers(&mut self) {
        let workers = self.fleet.live_workers();
        self.send_broker(BrokerEvent::WorkersChanged { workers });
    }

    pub(super) fn trigger_crash(&mut self, worker: usize, record: usize) {
        let record = &self.records[record];
        let runs = record.phase == RequestPhase::Running && record.worker == Some(worker);
        if !runs || !self.fleet.workers[worker].alive {
            return;
        }
        self.counts.crashed_workers += 1;
        self.kill_worker(worker);
        let at = self.queue.now() + RESTART_TIME;
        self.queue
            .push(at, ExperimentEvent::WorkerRestarted(worker));
    }

    /// Polls loads and cache events; reports arrive with a delay, and cache events may be lost.
    pub(super) fn poll_workers(&mut self) {
        for worker in 0..self.fleet.workers.len() {
            if self.fleet.workers[worker].alive {
                self.poll_worker(worker);
            }
        }
        let at = self.queue.now() + POLL_INTERVAL;
        self.queue.push(at, ExperimentEvent::WorkersPolled);
    }

    fn poll_worker(&mut self, worker: usize) {
        let fault = self.spec.fault;
        let state = &mut self.fleet.workers[worker];
        let name = state.name.clone();
        let load = state.engine.load();
        let batch = state.read_cache_events();
        let event = BrokerEvent::LoadReported {
            worker: name.clone(),
            load,
        };
        self.send_broker_after(fault.load_lag(), event);
        let lost = self.random.random_bool(fault.cache_loss());
        if !lost && !batch.events.is_empty() {
            let worker = name;
            let event = BrokerEvent::CacheReported { worker, batch };
            self.send_broker_after(fault.cache_lag(), event);
        }
    }
}
