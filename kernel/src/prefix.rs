//! The prompt prefixes that the workers of a cell have cached or are computing.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::ask::CacheBatch;
use crate::ask::CacheEvent;
use crate::clock::ClockTime;
use crate::name::BlockDigest;

/// The number of prompt tokens in one block of a prefix cache.
pub const BLOCK_TOKENS: u32 = 64;

/// Returns the number of tokens in `blocks` blocks, saturating at `u32::MAX`.
#[must_use]
pub(crate) fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks)
        .unwrap_or(u32::MAX)
        .saturating_mul(BLOCK_TOKENS)
}

/// The maximum number of cached blocks tracked for one worker; the least recently used go first.
const MAX_BLOCKS: usize = 4_096;

/// The positions of the workers that hold or compute a block.
#[derive(Clone, Debug, Default)]
struct BlockHolders {
    cached: Vec<usize>,
    computing: Vec<usize>,
}

impl BlockHolders {
    const fn is_empty(&self) -> bool {
        self.cached.is_empty() && self.computing.is_empty()
    }
}

/// An index of the workers of a cell that hold or compute each block.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    // Never iterated, because the order of a hash map is not deterministic.
    blocks: HashMap<BlockDigest, BlockHolders>,
}

impl PrefixIndex {
    /// Creates an empty index.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of leading blocks of `prefix` that at least one worker holds.
    ///
    /// A held block implies that the blocks before it are held as well, like in
    /// [`PrefixCache::cached`].
    #[must_use]
    pub fn held(&self, prefix: &[BlockDigest]) -> usize {
        let held = |digest: &BlockDigest| !self.holders(*digest).is_empty();
        match prefix.last() {
            Some(last) if held(last) => prefix.len(),
            _ => prefix.partition_point(held),
        }
    }

    /// Returns the positions of the workers that hold a block.
    #[must_use]
    pub fn holders(&self, digest: BlockDigest) -> &[usize] {
        let holders = self.blocks.get(&digest);
        holders.map_or(&[], |holders| holders.cached.as_slice())
    }

    /// Returns the positions of the workers that compute a block.
    #[must_use]
    pub fn computing(&self, digest: BlockDigest) -> &[usize] {
        let holders = self.blocks.get(&digest);
        holders.map_or(&[], |holders| holders.computing.as_slice())
    }

    fn add_cached(&mut self, digest: BlockDigest, worker: usize) {
        self.blocks.entry(digest).or_default().cached.push(worker);
    }

    fn add_computing(&mut self, digest: BlockDigest, worker: usize) {
        let holders = self.blocks.entry(digest).or_default();
        holders.computing.push(worker);
    }

    fn remove_cached(&mut self, digest: BlockDigest, worker: usize) {
        self.remove(digest, |holders| remove_one(&mut holders.cached, worker));
    }

    fn remove_computing(&mut self, digest: BlockDigest, worker: usize) {
        self.remove(digest, |holders| remove_one(&mut holders.computing, worker));
    }

    fn remove(&mut self, digest: BlockDigest, update: impl FnOnce(&mut BlockHolders)) {
        if let Some(holders) = self.blocks.get_mut(&digest) {
            update(holders);
            if holders.is_empty() {
                self.blocks.remove(&digest);
            }
        }
    }
}

fn remove_one(workers: &mut Vec<usize>, worker: usize) {
    if let Some(index) = workers.iter().position(|known| *known == worker) {
        workers.remove(index);
    }
}

/// How reliable the information is that a block is cached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BlockConfidence {
    /// A cache event reported the block as stored.
    Confirmed,
    /// A request with the block produced its first token or complete answer, or cache events were
    /// lost after a confirmation.
    Assumed,
}

#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    confidence: BlockConfidence,
    /// The value of the use counter at the last use.
    used: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingBlock {
    /// The number of requests with the block that hold a slot and have no first token yet.
    requests: u32,
    ready_at: ClockTime,
}

/// A prompt prefix that a worker is computing for another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingPrefix {
    /// The last block of the prefix.
    pub block: BlockDigest,
    /// The number of blocks of the prefix, including those that are already cached.
    pub blocks: usize,
    /// The time at which the prefix is expected to be cached.
    pub ready_at: ClockTime,
}

/// A model of one worker's prefix cache: the blocks that are cached or being computed.
///
/// The blocks of a granted request count as cached once its first token arrives. Cache events
/// correct this state; a gap in their sequence numbers discards the blocks that no event confirmed
/// since the gap before.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    worker: usize,
    // Never iterated, because the order of a hash map is not deterministic; iterate `recency`
    // instead.
    blocks: HashMap<BlockDigest, CachedBlock>,
    recency: BTreeMap<u64, BlockDigest>,
    // Never iterated, like `blocks`.
    pending: HashMap<BlockDigest, PendingBlock>,
    /// The use counter, which orders the blocks by their last use.
    uses: u64,
    /// The expected number of the next cache event; `None` before the first one and after the
    /// cached blocks were discarded.
    next_event: Option<u64>,
}

impl PrefixCache {
    /// Creates an empty cache model for the worker at position `worker`.
    #[must_use]
    pub fn new(worker: usize) -> Self {
        Self {
            worker,
            blocks: HashMap::new(),
            recency: BTreeMap::new(),
            pending: HashMap::new(),
            uses: 0,
            next_event: None,
        }
    }

    /// Returns the number of leading blocks of `prefix` that are cached.
    ///
    /// Engines evict the last block of a prefix first, so a cached block implies that those before
    /// it are cached as well.
    #[must_use]
    pub fn cached(&self, prefix: &[BlockDigest]) -> usize {
        match prefix.last() {
            Some(last) if self.blocks.contains_key(last) => prefix.len(),
            _ => prefix.partition_point(|digest| self.blocks.contains_key(digest)),
        }
    }

    /// Returns the leading part of `prefix` that is being computed beyond its `cached` blocks, if
    /// any.
    #[must_use]
    pub fn pending(&self, prefix: &[BlockDigest], cached: usize) -> Option<PendingPrefix> {
        if self.pending.is_empty() {
            return None;
        }
        let mut found = None;
        for (position, digest) in prefix.iter().enumerate().skip(cached) {
            let Some(pending) = self.pending.get(digest) else {
                break;
            };
            found = Some(PendingPrefix {
                block: *digest,
                blocks: position + 1,
                ready_at: pending.ready_at,
            });
        }
        found
    }

    /// Returns the number of blocks that count as cached.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block counts as cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Records that a request with the prefix got a slot and is expected to be prefilled by
    /// `ready_at`.
    pub fn prefill_expected(
        &mut self,
        prefix: &[BlockDigest],
        ready_at: ClockTime,
        index: &mut PrefixIndex,
    ) {
        for digest in prefix {
            if self.blocks.contains_key(digest) {
                self.touch(*digest);
                continue;
            }
            if let Some(pending) = self.pending.get_mut(digest) {
                pending.requests += 1;
                continue;
            }
            let requests = 1;
            self.pending
                .insert(*digest, PendingBlock { requests, ready_at });
            index.add_computing(*digest, self.worker);
        }
    }

    /// Records that a request with the prefix produced its first token or, if no report of it came,
    /// its complete answer.
    pub fn prefilled(&mut self, prefix: &[BlockDigest], index: &mut PrefixIndex) {
        for digest in prefix {
            self.remove_pending(*digest, index);
            self.store(*digest, BlockConfidence::Assumed, index);
        }
    }

    /// Records that the slot of a request with the prefix was released without a first token.
    pub fn abandoned(&mut self, prefix: &[BlockDigest], index: &mut PrefixIndex) {
        for digest in prefix {
            let Some(pending) = self.pending.get_mut(digest) else {
                continue;
            };
            pending.requests -= 1;
            if pending.requests == 0 {
                self.remove_pending(*digest, index);
            }
        }
    }

    /// Applies cache events.
    ///
    /// If event numbers are missing, blocks that are only assumed to be cached are discarded and
    /// the confirmed ones become assumed. Numbers that start again mean that the worker has
    /// restarted, so all cached blocks are discarded first.
    pub fn apply(&mut self, batch: &CacheBatch, index: &mut PrefixIndex) {
        let expected = self.next_event.unwrap_or(batch.first);
        if batch.first < expected {
            self.clear(index);
        } else if batch.first > expected {
            self.lower_confidence(index);
        }
        for event in &batch.events {
            match event {
                CacheEvent::Stored(block) => self.store(*block, BlockConfidence::Confirmed, index),
                CacheEvent::Evicted(block) => self.discard(*block, index),
            }
        }
        let length = u64::try_from(batch.events.len()).unwrap_or(u64::MAX);
        self.next_event = Some(batch.first.saturating_add(length));
    }

    /// Discards all cached blocks, for example after a restart of the worker; pending ones remain.
    pub fn clear(&mut self, index: &mut PrefixIndex) {
        for digest in self.recency.values() {
            index.remove_cached(*digest, self.worker);
        }
        self.blocks.clear();
        self.recency.clear();
        self.next_event = None;
    }

    /// Discards the blocks that are only assumed to be cached and marks the confirmed ones as
    /// assumed.
    fn lower_confidence(&mut self, index: &mut PrefixIndex) {
        let digests: Vec<BlockDigest> = self.recency.values().copied().collect();
        for digest in digests {
            match self.blocks.get_mut(&digest) {
                Some(block) if block.confidence == BlockConfidence::Confirmed => {
                    block.confidence = BlockConfidence::Assumed;
                }
                _ => self.discard(digest, index),
            }
        }
    }

    fn remove_pending(&mut self, digest: BlockDigest, index: &mut PrefixIndex) {
        if self.pending.remove(&digest).is_some() {
            index.remove_computing(digest, self.worker);
        }
    }

    fn touch(&mut self, digest: BlockDigest) {
        self.uses += 1;
        if let Some(block) = self.blocks.get_mut(&digest) {
            self.recency.remove(&block.used);
            block.used = self.uses;
            self.recency.insert(self.uses, digest);
        }
    }

    fn store(&mut self, digest: BlockDigest, confidence: BlockConfidence, index: &mut PrefixIndex) {
        if let Some(block) = self.blocks.get_mut(&digest) {
            if confidence == BlockConfidence::Confirmed {
                block.confidence = confidence;
            }
            self.touch(digest);
            return;
        }
        self.uses += 1;
        let used = self.uses;
        self.blocks.insert(digest, CachedBlock { confidence, used });
        self.recency.insert(used, digest);
        index.add_cached(digest, self.worker);
        if self.blocks.len() > MAX_BLOCKS
            && let Some((_, oldest)) = self.recency.first_key_value()
        {
            let oldest = *oldest;
            self.discard(oldest, index);
        }
    }

    fn discard(&mut self, digest: BlockDigest, index: &mut PrefixIndex) {
        if let Some(block) = self.blocks.remove(&digest) {
            self.recency.remove(&block.used);
            index.remove_cached(digest, self.worker);
        }
    }
}

/// Mixes the bits of a number, so that it can serve as a hash (the finalizer of `SplitMix64`).
///
/// # Examples
///
/// ```
/// use borageladder_kernel::prefix::mix_bits;
///
/// assert_ne!(mix_bits(1), mix_bits(2));
/// ```
#[must_use]
pub const fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
