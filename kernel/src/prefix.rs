//! Knowledge of the prompt prefixes that workers have cached.

use std::collections::BTreeMap;

use crate::ask::CacheBatch;
use crate::ask::CacheChange;
use crate::clock::ClockTime;
use crate::name::BlockDigest;

/// The length of a block, in tokens.
pub const BLOCK_TOKENS: u32 = 64;

/// The number of blocks that are remembered for one worker.
const BLOCKS_KEPT: usize = 4_096;

/// How many workers of a cell hold each block.
#[derive(Clone, Debug, Default)]
pub struct HolderCounts {
    counts: BTreeMap<BlockDigest, u32>,
}

impl HolderCounts {
    /// Creates counts of no blocks.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            counts: BTreeMap::new(),
        }
    }

    /// Returns the number of leading blocks that at least one worker holds.
    #[must_use]
    pub fn held(&self, prefix: &[BlockDigest]) -> usize {
        let held = |digest: &&BlockDigest| self.counts.contains_key(digest);
        prefix.iter().take_while(held).count()
    }

    /// Returns the number of workers that hold a block.
    #[must_use]
    pub fn holders(&self, digest: BlockDigest) -> u32 {
        self.counts.get(&digest).copied().unwrap_or(0)
    }

    fn add(&mut self, digest: BlockDigest) {
        *self.counts.entry(digest).or_default() += 1;
    }

    fn remove(&mut self, digest: BlockDigest) {
        if let Some(count) = self.counts.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&digest);
            }
        }
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
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    blocks: BTreeMap<BlockDigest, CachedBlock>,
    recency: BTreeMap<u64, BlockDigest>,
    pending: BTreeMap<BlockDigest, PendingBlock>,
    uses: u64,
    next_event: Option<u64>,
}

impl PrefixCache {
    /// Returns the number of leading blocks that are cached.
    #[must_use]
    pub fn cached(&self, prefix: &[BlockDigest]) -> usize {
        let cached = |digest: &&BlockDigest| self.blocks.contains_key(digest);
        prefix.iter().take_while(cached).count()
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
    pub fn sent(&mut self, prefix: &[BlockDigest], ready_at: ClockTime) {
        for digest in prefix {
            if self.blocks.contains_key(digest) {
                self.touch(*digest);
                continue;
            }
            let pending = self.pending.entry(*digest).or_insert(PendingBlock {
                requests: 0,
                ready_at,
            });
            pending.requests += 1;
        }
    }

    /// Notes that a request with the prefix, sent before, got its first token.
    pub fn prefilled(&mut self, prefix: &[BlockDigest], counts: &mut HolderCounts) {
        for digest in prefix {
            self.pending.remove(digest);
            self.store(*digest, BlockTrust::Assumed, counts);
        }
    }

    /// Notes that a request with the prefix, sent before, ended without a first token.
    pub fn abandoned(&mut self, prefix: &[BlockDigest]) {
        for digest in prefix {
            let Some(pending) = self.pending.get_mut(digest) else {
                continue;
            };
            pending.requests -= 1;
            if pending.requests == 0 {
                self.pending.remove(digest);
            }
        }
    }

    /// Applies cache events, and lowers the trust in all blocks if some were lost before them.
    pub fn apply(&mut self, batch: &CacheBatch, counts: &mut HolderCounts) {
        let expected = self.next_event.unwrap_or(batch.first);
        if batch.first < expected {
            self.clear(counts);
        } else if batch.first > expected {
            self.lower_trust(counts);
        }
        for change in &batch.changes {
            match change {
                CacheChange::Stored(digest) => self.store(*digest, BlockTrust::Confirmed, counts),
                CacheChange::Evicted(digest) => self.forget(*digest, counts),
            }
        }
        let length = u64::try_from(batch.changes.len()).unwrap_or(u64::MAX);
        self.next_event = Some(batch.first.saturating_add(length));
    }

    /// Forgets everything, as after a restart of the worker.
    pub fn clear(&mut self, counts: &mut HolderCounts) {
        for digest in self.blocks.keys() {
            counts.remove(*digest);
        }
        self.blocks.clear();
        self.recency.clear();
        self.next_event = None;
    }

    /// Forgets the blocks that no event confirmed and takes the others as unconfirmed.
    fn lower_trust(&mut self, counts: &mut HolderCounts) {
        let assumed = |entry: &(&BlockDigest, &CachedBlock)| entry.1.trust == BlockTrust::Assumed;
        let unconfirmed: Vec<BlockDigest> = self
            .blocks
            .iter()
            .filter(assumed)
            .map(|(digest, _)| *digest)
            .collect();
        for digest in unconfirmed {
            self.forget(digest, counts);
        }
        for block in self.blocks.values_mut() {
            block.trust = BlockTrust::Assumed;
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

    fn store(&mut self, digest: BlockDigest, trust: BlockTrust, counts: &mut HolderCounts) {
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
        counts.add(digest);
        if self.blocks.len() > BLOCKS_KEPT
            && let Some((_, oldest)) = self.recency.first_key_value()
        {
            let oldest = *oldest;
            self.forget(oldest, counts);
        }
    }

    fn forget(&mut self, digest: BlockDigest, counts: &mut HolderCounts) {
        if let Some(block) = self.blocks.remove(&digest) {
            self.recency.remove(&block.used);
            counts.remove(digest);
        }
    }
}
