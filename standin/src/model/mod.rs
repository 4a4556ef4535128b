//! A model of an inference engine with continuous batching and a bounded prefix cache.
//!
//! The model reads no clock and performs no I/O. It admits requests in arrival order and runs in
//! steps: each step computes one chunk of the earliest unfinished prompt and one token for every
//! decoding request, so a long prefill slows decoding for the whole batch. The step with the last
//! chunk of a prompt also produces the first token of its answer.

mod batch;
mod cache;

use std::collections::VecDeque;
use std::time::Duration;

use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::LoadReport;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::BlockDigest;
use borageladder_kernel::name::RequestId;

use self::batch::BatchJob;
use self::cache::PrefixCache;

/// Length of one prefix cache block, in tokens.
pub const BLOCK_TOKENS: u32 = 64;

/// Maximum number of prompt tokens computed in one step.
const CHUNK_TOKENS: u32 = 512;

/// Speed and capacity of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Prefill throughput, in prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Time between two answer tokens of a request that runs alone.
    pub decode_gap: Duration,
    /// Increase of the decode gap per additional decoding request, as a fraction of `decode_gap`.
    pub batch_slowdown: f64,
    /// Maximum number of requests in the running batch.
    pub max_batch: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

/// A request submitted to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineJob {
    /// Identifier under which the outputs of the request are reported.
    pub request: RequestId,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Digests of the complete blocks of the prompt, in prompt order.
    pub blocks: Vec<BlockDigest>,
    /// Length of the answer, in tokens; at least one token is produced.
    pub answer_tokens: u32,
}

/// Progress of a request, reported by [`EngineModel::advance`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineOutput {
    /// The prefill of the request began.
    Started {
        /// Identifier of the request.
        request: RequestId,
        /// Number of prompt tokens served from the prefix cache; never the last prompt token.
        cached_tokens: u32,
        /// Number of prompt tokens to compute: the whole prompt without the cached tokens.
        uncached_tokens: u32,
    },
    /// A token of the answer was produced.
    Token {
        /// Identifier of the request.
        request: RequestId,
        /// Position of the token in the answer, counted from 1.
        index: u32,
        /// Time at which the token was produced.
        at: ClockTime,
    },
    /// The last token of the answer was produced.
    Finished {
        /// Identifier of the request.
        request: RequestId,
        /// Time at which the last token was produced.
        at: ClockTime,
    },
}

/// The step in progress.
#[derive(Clone, Copy, Debug)]
struct BatchStep {
    end: ClockTime,
    prefill: Option<PrefillChunk>,
}

/// The part of a prompt computed in one step.
#[derive(Clone, Copy, Debug)]
struct PrefillChunk {
    request: RequestId,
    tokens: u32,
}

/// An engine with continuous batching that admits requests in arrival order.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::name::RequestId;
/// use borageladder_standin::model::EngineJob;
/// use borageladder_standin::model::EngineModel;
/// use borageladder_standin::model::EngineOutput;
/// use borageladder_standin::model::EngineProfile;
///
/// let mut model = EngineModel::new(EngineProfile {
///     prefill_tokens_per_second: 1_000.0,
///     decode_gap: Duration::from_millis(10),
///     batch_slowdown: 0.0,
///     max_batch: 8,
///     cache_blocks: 100,
/// });
/// let request = RequestId { incarnation: 1, sequence: 1 };
/// let job = EngineJob { request, prompt_tokens: 100, blocks: Vec::new(), answer_tokens: 2 };
/// model.admit(ClockTime::ZERO, job);
/// assert_eq!(model.next_wake(), Some(ClockTime::from_millis(100)));
///
/// let outputs = model.advance(ClockTime::from_millis(110));
/// let at = ClockTime::from_millis(110);
/// assert_eq!(outputs.last(), Some(&EngineOutput::Finished { request, at }));
/// ```
#[derive(Clone, Debug)]
pub struct EngineModel {
    profile: EngineProfile,
    slowdown: f64,
    waiting: VecDeque<EngineJob>,
    running: Vec<BatchJob>,
    step: Option<BatchStep>,
    cache: PrefixCache,
    outputs: Vec<EngineOutput>,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache.
    #[must_use]
    pub fn new(profile: EngineProfile) -> Self {
        let cache = PrefixCache::new(profile.cache_blocks);
        Self {
            profile,
            slowdown: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            step: None,
            cache,
            outputs: Vec::new(),
        }
    }

    /// Appends a request to the waiting queue and starts a step if the engine is idle.
    pub fn admit(&mut self, now: ClockTime, job: EngineJob) {
        self.run_until(now);
        self.waiting.push_back(job);
        if self.step.is_none() {
            self.begin_step(now);
        }
    }

    /// Removes a waiting or running request; does nothing if the engine has no such request.
    pub fn cancel(&mut self, now: ClockTime, request: RequestId) {
        self.run_until(now);
        self.waiting.retain(|job| job.request != request);
        self.running.retain(|job| job.request() != request);
    }

    /// Runs all steps that end at or before `now` and returns the outputs since the previous call,
    /// in order.
    pub fn advance(&mut self, now: ClockTime) -> Vec<EngineOutput> {
        self.run_until(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns the end of the step in progress, or `None` if the engine is idle.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.step.map(|step| step.end)
    }

    /// Returns the load as of the latest time passed to the model.
    ///
    /// A request for which the batch has capacity counts as running even before the next step adds
    /// it to the batch.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let total = self.running.len() + self.waiting.len();
        let running = total.min(self.profile.max_batch);
        LoadReport {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(total - running).unwrap_or(u32::MAX),
            leaving: false,
        }
    }

    /// Returns the logged cache events with sequence numbers greater than `after`.
    ///
    /// The first number of the batch is greater than `after + 1` if events in between were lost.
    #[must_use]
    pub fn cache_events(&self, after: u64) -> CacheBatch {
        self.cache.events(after)
    }

    /// Returns the number of prompt tokens computed so far for a request.
    ///
    /// Cached tokens are not counted. Returns `None` if the prefill of the request has not begun or
    /// the request is not in the batch.
    #[must_use]
    pub fn computed_tokens(&self, request: RequestId) -> Option<u32> {
        let mut jobs = self.running.iter();
        let job = jobs.find(|job| job.request() == request)?;
        job.started().then(|| job.computed_tokens())
    }

    /// Returns the length of the longest cached prefix of `blocks`, in blocks.
    #[must_use]
    pub fn cached_blocks(&self, blocks: &[BlockDigest]) -> usize {
        self.cache.cached_prefix_len(blocks)
    }

    /// Makes every step after the current one take `factor` times as long as in the profile.
    pub fn set_slowdown(&mut self, now: ClockTime, factor: f64) {
        self.run_until(now);
        self.slowdown = factor;
    }

    /// Discards all requests and the cache, and returns the lost requests in arrival order.
    pub fn crash(&mut self, now: ClockTime) -> Vec<RequestId> {
        self.run_until(now);
        let running = self.running.drain(..).map(|job| job.request());
        let mut lost: Vec<RequestId> = running.collect();
        lost.extend(self.waiting.drain(..).map(|job| job.request));
        self.cache.clear();
        self.step = None;
        lost
    }

    fn run_until(&mut self, now: ClockTime) {
        while let Some(step) = self.step {
            if step.end > now {
                break;
            }
            self.finish_step(step);
            self.begin_step(step.end);
        }
    }

    fn begin_step(&mut self, at: ClockTime) {
        self.fill_batch();
        let prefill = self.next_chunk();
        let decoding = self.running.iter().filter(|job| job.is_decoding()).count();
        self.step = if prefill.is_none() && decoding == 0 {
            None
        } else {
            let end = at + self.step_time(prefill, decoding);
            Some(BatchStep { end, prefill })
        };
    }

    fn fill_batch(&mut self) {
        while self.running.len() < self.profile.max_batch {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(BatchJob::new(job));
        }
    }

    fn next_chunk(&mut self) -> Option<PrefillChunk> {
        let job = self.running.iter_mut().find(|job| !job.is_decoding())?;
        if !job.started() {
            let output = job.start(&mut self.cache);
            self.outputs.push(output);
        }
        Some(PrefillChunk {
            request: job.request(),
            tokens: job.remaining_tokens().min(CHUNK_TOKENS),
        })
    }

    fn step_time(&self, prefill: Option<PrefillChunk>, decoding: usize) -> Duration {
        let tokens = prefill.map_or(0, |chunk| chunk.tokens);
        let mut seconds = f64::from(tokens) / self.profile.prefill_tokens_per_second;
        if let Some(others) = decoding.checked_sub(1) {
            let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
            let gap = self.profile.decode_gap.as_secs_f64();
            seconds += gap * self.profile.batch_slowdown.mul_add(others, 1.0);
        }
        let time = Duration::from_secs_f64(seconds * self.slowdown);
        time.max(Duration::from_micros(1))
    }

    fn finish_step(&mut self, step: BatchStep) {
        let chunk = step.prefill;
        for job in &mut self.running {
            if job.is_decoding() {
                job.decode(step.end, &mut self.outputs);
            }
            if let Some(chunk) = chunk.filter(|chunk| chunk.request == job.request()) {
                job.compute(chunk.tokens, &mut self.cache);
                if job.is_decoding() {
                    job.decode(step.end, &mut self.outputs);
                }
            }
        }
        self.running.retain(|job| !job.finished());
    }
}
