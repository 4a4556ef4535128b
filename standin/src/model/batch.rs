//! Progress of one request in the running batch of an engine.

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::RequestId;

use super::BLOCK_TOKENS;
use super::EngineJob;
use super::EngineOutput;
use super::cache::PrefixCache;

/// A request in the running batch with its prefill and decode progress.
///
/// An empty prompt or answer counts as one token.
#[derive(Clone, Debug)]
pub(super) struct BatchJob {
    job: EngineJob,
    /// Whether the prefill has begun.
    started: bool,
    /// Prompt tokens taken from the prefix cache.
    cached_tokens: u32,
    /// Prompt tokens still to be computed.
    remaining_tokens: u32,
    /// Answer tokens produced so far.
    produced_tokens: u32,
}

impl BatchJob {
    pub(super) fn new(job: EngineJob) -> Self {
        let remaining_tokens = job.prompt_tokens.max(1);
        Self {
            job,
            started: false,
            cached_tokens: 0,
            remaining_tokens,
            produced_tokens: 0,
        }
    }

    pub(super) fn request(&self) -> RequestId {
        self.job.request
    }

    pub(super) fn started(&self) -> bool {
        self.started
    }

    pub(super) fn remaining_tokens(&self) -> u32 {
        self.remaining_tokens
    }

    pub(super) fn computed_tokens(&self) -> u32 {
        let prompt_tokens = self.job.prompt_tokens.max(1);
        prompt_tokens - self.cached_tokens - self.remaining_tokens
    }

    pub(super) fn is_decoding(&self) -> bool {
        self.remaining_tokens == 0
    }

    pub(super) fn finished(&self) -> bool {
        self.produced_tokens >= self.job.answer_tokens.max(1)
    }

    /// Starts the prefill from the cached leading blocks of the prompt.
    ///
    /// At least the last prompt token is always computed, even if the whole prompt is cached.
    pub(super) fn start(&mut self, cache: &mut PrefixCache) -> EngineOutput {
        self.started = true;
        let blocks = cache.cached_prefix_len(&self.job.blocks);
        cache.touch(&self.job.blocks[..blocks]);
        let tokens = u32::try_from(blocks).unwrap_or(u32::MAX);
        let tokens = tokens.saturating_mul(BLOCK_TOKENS);
        self.cached_tokens = tokens.min(self.remaining_tokens - 1);
        self.remaining_tokens -= self.cached_tokens;
        EngineOutput::Started {
            request: self.job.request,
            cached_tokens: self.cached_tokens,
            uncached_tokens: self.remaining_tokens,
        }
    }

    /// Advances the prefill by `tokens` and caches every complete prompt block computed so far.
    pub(super) fn compute(&mut self, tokens: u32, cache: &mut PrefixCache) {
        self.remaining_tokens -= tokens.min(self.remaining_tokens);
        let done = self.job.prompt_tokens.max(1) - self.remaining_tokens;
        let blocks = usize::try_from(done / BLOCK_TOKENS).unwrap_or(usize::MAX);
        let blocks = blocks.min(self.job.blocks.len());
        cache.touch(&self.job.blocks[..blocks]);
    }

    /// Produces one answer token and reports the end of the request after the last one.
    pub(super) fn decode(&mut self, at: ClockTime, outputs: &mut Vec<EngineOutput>) {
        let request = self.job.request;
        self.produced_tokens += 1;
        outputs.push(EngineOutput::Token {
            request,
            index: self.produced_tokens,
            at,
        });
        if self.finished() {
            outputs.push(EngineOutput::Finished { request, at });
        }
    }
}
