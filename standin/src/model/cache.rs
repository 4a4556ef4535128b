//! The bounded LRU prefix cache of an engine and the log of its changes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::CacheEvent;
use borageladder_kernel::name::BlockDigest;

/// Maximum number of cache changes kept in the log; older ones are dropped.
const MAX_CHANGES: usize = 8_192;

/// Sequence numbers skipped after a crash, so that readers detect the loss of the cache as a gap.
const CRASH_NUMBER_GAP: u64 = 1_000;

/// An LRU cache of at most `capacity` blocks with a numbered log of its changes.
///
/// `first` is the sequence number of the oldest entry of `changes`.
#[derive(Clone, Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    uses: u64,
    used_at: HashMap<BlockDigest, u64>,
    by_use: BTreeMap<u64, BlockDigest>,
    first: u64,
    changes: VecDeque<CacheEvent>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            first: 1,
            changes: VecDeque::new(),
        }
    }

    /// Returns the length of the longest cached prefix of `blocks`, in blocks.
    pub(super) fn cached_prefix_len(&self, blocks: &[BlockDigest]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.used_at.contains_key(block))
            .count()
    }

    /// Stores the blocks or marks them as used.
    ///
    /// Blocks are marked from the last to the first, so that the tail of a prompt is evicted before
    /// its head. Blocks beyond the capacity are ignored.
    pub(super) fn touch(&mut self, blocks: &[BlockDigest]) {
        let kept = blocks.len().min(self.capacity);
        for block in &blocks[..kept] {
            if !self.used_at.contains_key(block) {
                self.record(CacheEvent::Stored(*block));
            }
        }
        for block in blocks[..kept].iter().rev() {
            self.uses += 1;
            if let Some(use_before) = self.used_at.insert(*block, self.uses) {
                self.by_use.remove(&use_before);
            }
            self.by_use.insert(self.uses, *block);
        }
        self.evict();
    }

    /// Discards all blocks and the log without recording evictions, as a crash does.
    pub(super) fn clear(&mut self) {
        self.used_at.clear();
        self.by_use.clear();
        self.first = self.next_number() + CRASH_NUMBER_GAP;
        self.changes.clear();
    }

    /// Returns the kept changes numbered after `after`.
    pub(super) fn events(&self, after: u64) -> CacheBatch {
        let first = self.first.max(after.saturating_add(1));
        let skipped = usize::try_from(first - self.first).unwrap_or(usize::MAX);
        CacheBatch {
            first,
            events: self.changes.iter().skip(skipped).copied().collect(),
        }
    }

    fn evict(&mut self) {
        while self.by_use.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else {
                break;
            };
            self.used_at.remove(&block);
            self.record(CacheEvent::Evicted(block));
        }
    }

    fn record(&mut self, change: CacheEvent) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
            self.first += 1;
        }
    }

    fn next_number(&self) -> u64 {
        let count = u64::try_from(self.changes.len()).unwrap_or(u64::MAX);
        self.first.saturating_add(count)
    }
}
