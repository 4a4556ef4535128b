//! What the workers of an experiment do with what is dispatched to them.

use std::time::Duration;

use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::clock::ClockTime;
use rand::RngExt;

use super::event::ExperimentEvent;
use super::life::LifePhase;
use super::run::ExperimentRun;
use super::run::POLL_INTERVAL;
use crate::model::EngineJob;
use crate::model::EngineOutput;

/// The lag of the list of live workers.
const LIST_LAG: Duration = Duration::from_secs(5);

/// The time from the start of a crashing request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(500);

/// The time that a crashed worker needs to start again.
const RESTART_TIME: Duration = Duration::from_secs(5);

impl ExperimentRun {
    pub(super) fn reach_worker(&mut self, worker: usize, position: usize) {
        if !self.fleet.workers[worker].alive {
            self.send(ExperimentEvent::EntryHeard {
                life: position,
                progress: WorkProgress::Failed,
            });
            return;
        }
        let life = &self.lives[position];
        let job = EngineJob {
            request: life.id,
            prompt_tokens: life.request.prompt_tokens,
            blocks: life.request.blocks.clone(),
            answer_tokens: life.request.answer_tokens,
        };
        let now = self.queue.now();
        self.fleet.workers[worker].engine.admit(now, job);
        self.drain_worker(worker);
    }

    pub(super) fn wake_worker(&mut self, worker: usize) {
        let now = self.queue.now();
        let wake_at = &mut self.fleet.workers[worker].wake_at;
        if wake_at.is_some_and(|at| at <= now) {
            *wake_at = None;
        }
        self.drain_worker(worker);
    }

    pub(super) fn cancel(&mut self, worker: usize, life: usize) {
        self.drain_worker(worker);
        self.settle_prefill(worker, life);
        let now = self.queue.now();
        let request = self.lives[life].id;
        self.fleet.workers[worker].engine.cancel(now, request);
    }

    /// Passes on what a worker produced up to now and schedules its next step.
    fn drain_worker(&mut self, worker: usize) {
        let now = self.queue.now();
        let outputs = self.fleet.workers[worker].engine.advance(now);
        for output in outputs {
            self.pass_on(worker, output);
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

    fn pass_on(&mut self, worker: usize, output: EngineOutput) {
        match output {
            EngineOutput::Started {
                request,
                cached_tokens,
                computed_tokens,
            } => {
                if let Some(life) = self.life(request.sequence) {
                    self.note_prefill(worker, life, cached_tokens, computed_tokens);
                }
            }
            EngineOutput::Token {
                request,
                index: 1,
                at,
            } => {
                let after = Duration::ZERO;
                let progress = WorkProgress::FirstToken { after };
                self.pass_progress(request.sequence, at, progress);
            }
            EngineOutput::Token { .. } => {}
            EngineOutput::Finished { request, at } => {
                let Some(life) = self.life(request.sequence) else {
                    return;
                };
                let progress = WorkProgress::Finished {
                    answer_tokens: self.lives[life].request.answer_tokens,
                    token_gap: Duration::ZERO,
                };
                self.pass_progress(request.sequence, at, progress);
            }
        }
    }

    fn pass_progress(&mut self, sequence: u64, at: ClockTime, progress: WorkProgress) {
        if let Some(life) = self.life(sequence) {
            let at = at + self.latency();
            let event = ExperimentEvent::EntryHeard { life, progress };
            self.queue.push(at, event);
        }
    }

    fn note_prefill(&mut self, worker: usize, position: usize, cached: u32, computed: u32) {
        let blocks = &self.lives[position].request.blocks;
        let recomputed = self.fleet.cached_elsewhere(blocks, worker, cached);
        let life = &mut self.lives[position];
        life.computed_tokens = computed;
        life.recomputed_tokens = recomputed.min(computed);
        if life.poison.is_some() {
            let at = self.queue.now() + CRASH_DELAY;
            let life = position;
            self.queue
                .push(at, ExperimentEvent::PoisonActed { worker, life });
        }
    }

    /// Sets the computed tokens of a request that leaves the engine to what was done so far.
    fn settle_prefill(&mut self, worker: usize, position: usize) {
        let life = &mut self.lives[position];
        let engine = &self.fleet.workers[worker].engine;
        if let Some(tokens) = engine.computed_tokens(life.id) {
            life.computed_tokens = tokens;
        }
    }

    pub(super) fn slow_worker(&mut self, worker: usize, factor: f64) {
        let now = self.queue.now();
        self.fleet.workers[worker].engine.set_slowdown(now, factor);
        self.drain_worker(worker);
    }

    pub(super) fn kill_worker(&mut self, worker: usize) {
        self.drain_worker(worker);
        for life in 0..self.lives.len() {
            if self.lives[life].worker == Some(worker) {
                self.settle_prefill(worker, life);
            }
        }
        let now = self.queue.now();
        let state = &mut self.fleet.workers[worker];
        state.alive = false;
        state.wake_at = None;
        for request in state.engine.crash(now) {
            self.pass_progress(request.sequence, now, WorkProgress::Failed);
        }
        let at = now + LIST_LAG;
        self.queue.push(at, ExperimentEvent::WorkersListed);
    }

    pub(super) fn revive_worker(&mut self, worker: usize) {
        self.fleet.workers[worker].alive = true;
        let at = self.queue.now() + LIST_LAG;
        self.queue.push(at, ExperimentEvent::WorkersListed);
    }

    pub(super) fn list_workers(&mut self) {
        let workers = self.fleet.listed();
        self.send_broker(BrokerEvent::WorkersChanged { workers });
    }

    pub(super) fn act_poison(&mut self, worker: usize, life: usize) {
        let life = &self.lives[life];
        let runs = life.phase == LifePhase::Running && life.worker == Some(worker);
        if !runs || !self.fleet.workers[worker].alive {
            return;
        }
        self.counts.crashed_workers += 1;
        self.kill_worker(worker);
        let at = self.queue.now() + RESTART_TIME;
        self.queue.push(at, ExperimentEvent::WorkerRevived(worker));
    }

    /// Reads loads and cache events, which reach the broker late or not at all.
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
        let batch = state.read_cache();
        let event = BrokerEvent::LoadReported {
            worker: name.clone(),
            load,
        };
        self.send_broker_after(fault.load_lag(), event);
        let lost = self.random.random_bool(fault.cache_loss());
        if !lost && !batch.changes.is_empty() {
            let worker = name;
            let event = BrokerEvent::CacheReported { worker, batch };
            self.send_broker_after(fault.cache_lag(), event);
        }
    }
}
