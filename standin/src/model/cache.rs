//! The bounded LRU prefix cache of an engine and the log of its events.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::CacheEvent;
use borageladder_kernel::name::BlockDigest;

/// Maximum number of cache events kept in the log; older ones are dropped.
const MAX_LOG_EVENTS: usize = 8_192;

/// Sequence numbers skipped after a crash, so that readers detect the loss of the cache as a gap.
const CRASH_SEQUENCE_GAP: u64 = 1_000;

/// An LRU cache of at most `capacity` blocks with a numbered log of its events.
#[derive(Clone, Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Number of uses of blocks so far.
    uses: u64,
    /// The value of `uses` at the latest use of each cached block.
    last_use: HashMap<BlockDigest, u64>,
    /// The cached blocks by their latest use, least recently used first.
    by_use: BTreeMap<u64, BlockDigest>,
    /// Sequence number of the oldest event in the log.
    first: u64,
    log: VecDeque<CacheEvent>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
            first: 1,
            log: VecDeque::new(),
        }
    }

    /// Returns the length of the longest cached prefix of `blocks`, in blocks.
    pub(super) fn cached_prefix_len(&self, blocks: &[BlockDigest]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count()
    }

    /// Stores the blocks or marks them as used.
    ///
    /// Blocks are marked from the last to the first, so that the tail of a prompt is evicted before
    /// its head. Blocks beyond the capacity are ignored.
    pub(super) fn touch(&mut self, blocks: &[BlockDigest]) {
        let kept = blocks.len().min(self.capacity);
        for block in &blocks[..kept] {
            if !self.last_use.contains_key(block) {
                self.record(CacheEvent::Stored(*block));
            }
        }
        for block in blocks[..kept].iter().rev() {
            self.uses += 1;
            if let Some(previous_use) = self.last_use.insert(*block, self.uses) {
                self.by_use.remove(&previous_use);
            }
            self.by_use.insert(self.uses, *block);
        }
        self.evict();
    }

    /// Discards all blocks and the log without recording evictions, as a crash does.
    pub(super) fn clear(&mut self) {
        self.last_use.clear();
        self.by_use.clear();
        self.first = self.next_sequence() + CRASH_SEQUENCE_GAP;
        self.log.clear();
    }

    /// Returns the logged events with sequence numbers greater than `after`.
    pub(super) fn events(&self, after: u64) -> CacheBatch {
        let first = self.first.max(after.saturating_add(1));
        let skipped = usize::try_from(first - self.first).unwrap_or(usize::MAX);
        CacheBatch {
            first,
            events: self.log.iter().skip(skipped).copied().collect(),
        }
    }

    fn evict(&mut self) {
        while self.by_use.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&block);
            self.record(CacheEvent::Evicted(block));
        }
    }

    fn record(&mut self, event: CacheEvent) {
        self.log.push_back(event);
        if self.log.len() > MAX_LOG_EVENTS {
            self.log.pop_front();
            self.first += 1;
        }
    }

    fn next_sequence(&self) -> u64 {
        let count = u64::try_from(self.log.len()).unwrap_or(u64::MAX);
        self.first.saturating_add(count)
    }
}
