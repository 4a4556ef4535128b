//! Knowledge of the prompt prefixes that workers have cached.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::ask::CacheBatch;
use crate::ask::CacheChange;
use crate::clock::ClockTime;
use crate::name::BlockDigest;

/// The length of a block, in tokens.
pub const BLOCK_TOKENS: u32 = 64;

/// Returns the number of tokens in a number of blocks.
#[must_use]
pub(crate) fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks)
        .unwrap_or(u32::MAX)
        .saturating_mul(BLOCK_TOKENS)
}

/// The number of blocks that are remembered for one worker.
const BLOCKS_KEPT: usize = 4_096;

/// The workers of a cell that hold or compute a block.
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

/// Which workers of a cell hold or compute each block.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    // Looked up by digest only.
    blocks: HashMap<BlockDigest, BlockHolders>,
}

impl PrefixIndex {
    /// Creates an index of no blocks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of leading blocks that at least one worker holds.
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

    fn remove(&mut self, digest: BlockDigest, remove: impl FnOnce(&mut BlockHolders)) {
        if let Some(holders) = self.blocks.get_mut(&digest) {
            remove(holders);
            if holders.is_empty() {
                self.blocks.remove(&digest);
            }
        }
    }
}

fn remove_one(workers: &mut Vec<usize>, worker: usize) {
    if let Some(place) = workers.iter().position(|known| *known == worker) {
        workers.remove(place);
    }
}

/// Where the knowledge of a cached block comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BlockTrust {
    /// A cache event named the block as stored.
    Confirmed,
    /// A request with the block got its first token.
    Assumed,
}

#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    trust: BlockTrust,
    used: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingBlock {
    requests: u32,
    ready_at: ClockTime,
}

/// A leading part of a prompt that a worker is computing for another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingPrefix {
    /// The last block of the part.
    pub block: BlockDigest,
    /// The number of blocks of the part, with those that are cached.
    pub blocks: usize,
    /// The time at which the part is expected to be cached.
    pub ready_at: ClockTime,
}

/// The blocks that one worker is believed to have cached or to be computing.
///
/// Blocks that were sent count as cached only after the first token arrived. Cache events correct
/// this; a gap in their numbers lowers the trust in all blocks.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    worker: usize,
    // Looked up by digest only; whatever iterates does so in the order of the last use.
    blocks: HashMap<BlockDigest, CachedBlock>,
    recency: BTreeMap<u64, BlockDigest>,
    // Looked up by digest only.
    pending: HashMap<BlockDigest, PendingBlock>,
    uses: u64,
    next_event: Option<u64>,
}

impl PrefixCache {
    /// Creates empty knowledge of the worker at a position.
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

    /// Returns the number of leading blocks that are cached.
    ///
    /// Engines evict the last block of a prefix first, so a cached block stands for those before it.
    #[must_use]
    pub fn cached(&self, prefix: &[BlockDigest]) -> usize {
        match prefix.last() {
            Some(last) if self.blocks.contains_key(last) => prefix.len(),
            _ => prefix.partition_point(|digest| self.blocks.contains_key(digest)),
        }
    }

    /// Returns the part of the prefix that is being computed beyond the cached part, if any.
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

    /// Returns the number of blocks that are believed to be cached.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is believed to be cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Notes that a request with the prefix was sent and is computed by `ready_at`.
    pub fn sent(&mut self, prefix: &[BlockDigest], ready_at: ClockTime, index: &mut PrefixIndex) {
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

    /// Notes that a request with the prefix, sent before, got its first token.
    pub fn prefilled(&mut self, prefix: &[BlockDigest], index: &mut PrefixIndex) {
        for digest in prefix {
            self.remove_pending(*digest, index);
            self.store(*digest, BlockTrust::Assumed, index);
        }
    }

    /// Notes that a request with the prefix, sent before, ended without a first token.
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

    /// Applies cache events, and lowers the trust in all blocks if some were lost before them.
    pub fn apply(&mut self, batch: &CacheBatch, index: &mut PrefixIndex) {
        let expected = self.next_event.unwrap_or(batch.first);
        if batch.first < expected {
            self.clear(index);
        } else if batch.first > expected {
            self.lower_trust(index);
        }
        for change in &batch.changes {
            match change {
                CacheChange::Stored(digest) => self.store(*digest, BlockTrust::Confirmed, index),
                CacheChange::Evicted(digest) => self.forget(*digest, index),
            }
        }
        let length = u64::try_from(batch.changes.len()).unwrap_or(u64::MAX);
        self.next_event = Some(batch.first.saturating_add(length));
    }

    /// Forgets everything, as after a restart of the worker.
    pub fn clear(&mut self, index: &mut PrefixIndex) {
        for digest in self.recency.values() {
            index.remove_cached(*digest, self.worker);
        }
        self.blocks.clear();
        self.recency.clear();
        self.next_event = None;
    }

    /// Forgets the blocks that no event confirmed and takes the others as unconfirmed.
    fn lower_trust(&mut self, index: &mut PrefixIndex) {
        let digests: Vec<BlockDigest> = self.recency.values().copied().collect();
        for digest in digests {
            match self.blocks.get_mut(&digest) {
                Some(block) if block.trust == BlockTrust::Confirmed => {
                    block.trust = BlockTrust::Assumed;
                }
                _ => self.forget(digest, index),
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

    fn store(&mut self, digest: BlockDigest, trust: BlockTrust, index: &mut PrefixIndex) {
        if let Some(block) = self.blocks.get_mut(&digest) {
            if trust == BlockTrust::Confirmed {
                block.trust = trust;
            }
            self.touch(digest);
            return;
        }
        self.uses += 1;
        let used = self.uses;
        self.blocks.insert(digest, CachedBlock { trust, used });
        self.recency.insert(used, digest);
        index.add_cached(digest, self.worker);
        if self.blocks.len() > BLOCKS_KEPT
            && let Some((_, oldest)) = self.recency.first_key_value()
        {
            let oldest = *oldest;
            self.forget(oldest, index);
        }
    }

    fn forget(&mut self, digest: BlockDigest, index: &mut PrefixIndex) {
        if let Some(block) = self.blocks.remove(&digest) {
            self.recency.remove(&block.used);
            index.remove_cached(digest, self.worker);
        }
    }
}

/// Spreads the bits of a number over the whole word.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::prefix::mixed;
///
/// assert_ne!(mixed(1), mixed(2));
/// ```
#[must_use]
pub const fn mixed(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
