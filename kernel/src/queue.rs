//! The order of waiting requests and the amount of work queued before each of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::RequestId;
use crate::name::TierRank;

/// The width of the finest bucket of a [`WorkTally`], in microseconds.
const BUCKET_MICROS: u64 = 1_000;

/// The number of bits by which the buckets of a [`WorkTally`] level are coarser than those below
/// it.
const LEVEL_BITS: u32 = 6;

/// The number of levels of a [`WorkTally`].
const LEVEL_COUNT: usize = 6;

/// The order in which a policy serves waiting requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// First come, first served, regardless of the tier.
    Arrival,
    /// By tier, and within a tier by deadline.
    TierDeadline,
}

/// The class of a waiting request; all requests of the first class precede those of the second.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum QueueClass {
    /// The request can still meet its latency target.
    #[default]
    InTime,
    /// The request can only be answered after its latency target.
    Late,
}

/// The sort key of a waiting request; smaller keys are served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// The class, which precedes the tier.
    pub class: QueueClass,
    /// The tier, or zero where the order is by arrival.
    pub tier: TierRank,
    /// The virtual start, in microseconds of slot time, which precedes the deadline; zero unless the
    /// workspaces of the tier have fair shares.
    pub start: u64,
    /// The deadline, or zero where the order is by arrival; in the late class the latest useful
    /// start.
    pub due: ClockTime,
    /// The arrival number of the request, which breaks ties.
    pub sequence: u64,
}

impl QueueKey {
    /// Creates the key of a request; tier and deadline count only under
    /// [`QueueOrder::TierDeadline`].
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::clock::ClockTime;
    /// use borageladder_kernel::name::TierRank;
    /// use borageladder_kernel::queue::QueueKey;
    /// use borageladder_kernel::queue::QueueOrder;
    ///
    /// let order = QueueOrder::TierDeadline;
    /// let urgent = QueueKey::new(order, TierRank(0), ClockTime::from_millis(900), 2);
    /// let batch = QueueKey::new(order, TierRank(3), ClockTime::from_millis(100), 1);
    /// assert!(urgent < batch);
    /// ```
    #[must_use]
    pub const fn new(order: QueueOrder, tier: TierRank, due: ClockTime, sequence: u64) -> Self {
        match order {
            QueueOrder::Arrival => Self {
                class: QueueClass::InTime,
                tier: TierRank(0),
                start: 0,
                due: ClockTime::ZERO,
                sequence,
            },
            QueueOrder::TierDeadline => Self {
                class: QueueClass::InTime,
                tier,
                start: 0,
                due,
                sequence,
            },
        }
    }

    /// Creates the key of a request of the late class, ordered by tier and latest useful start.
    #[must_use]
    pub const fn late(tier: TierRank, latest_start: ClockTime, sequence: u64) -> Self {
        Self {
            class: QueueClass::Late,
            tier,
            start: 0,
            due: latest_start,
            sequence,
        }
    }

    /// Returns the key with a virtual start, by which requests of a tier are served before the
    /// deadline counts.
    #[must_use]
    pub const fn starting_at(self, start: u64) -> Self {
        Self { start, ..self }
    }

    /// Returns the finest bucket of a [`WorkTally`] that the key falls into.
    const fn bucket(&self) -> u64 {
        let position = if self.start == 0 {
            self.due.as_micros()
        } else {
            self.start
        };
        position / BUCKET_MICROS
    }

    /// Returns whether the request is of the late class.
    #[must_use]
    pub const fn is_late(&self) -> bool {
        matches!(self.class, QueueClass::Late)
    }

    const fn group(&self) -> TallyGroup {
        TallyGroup {
            class: self.class,
            tier: self.tier,
        }
    }
}

/// Waiting requests, sorted by key and counted by tier.
#[derive(Clone, Debug, Default)]
pub struct TierQueue {
    requests: BTreeMap<QueueKey, RequestId>,
    counts: BTreeMap<TierRank, usize>,
}

impl TierQueue {
    /// Adds a request, replacing one with the same key.
    pub fn insert(&mut self, key: QueueKey, request: RequestId) {
        if self.requests.insert(key, request).is_none() {
            *self.counts.entry(key.tier).or_default() += 1;
        }
    }

    /// Removes the request with the key, if there is one.
    pub fn remove(&mut self, key: &QueueKey) {
        if self.requests.remove(key).is_some()
            && let Some(count) = self.counts.get_mut(&key.tier)
        {
            *count -= 1;
        }
    }

    /// Returns the number of requests of a tier and of all higher tiers.
    #[must_use]
    pub fn len_up_to(&self, tier: TierRank) -> usize {
        self.counts.range(..=tier).map(|(_, count)| count).sum()
    }

    /// Returns the item that is served first, or `None` if the queue is empty.
    #[must_use]
    pub fn first(&self) -> Option<QueueEntry> {
        self.requests.first_key_value().map(QueueEntry::of)
    }

    /// Returns the item that is served last, or `None` if the queue is empty.
    #[must_use]
    pub fn last(&self) -> Option<QueueEntry> {
        self.requests.last_key_value().map(QueueEntry::of)
    }

    /// Returns the item immediately before `key`, or the last item if there is none or no key is
    /// given.
    #[must_use]
    pub fn before_or_last(&self, key: Option<QueueKey>) -> Option<QueueEntry> {
        let before = key.and_then(|key| self.requests.range(..key).next_back());
        before.map(QueueEntry::of).or_else(|| self.last())
    }

    /// Returns the number of requests of all tiers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits in the queue.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Iterates over the items in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = QueueEntry> {
        self.requests.iter().map(QueueEntry::of)
    }
}

/// A request and its key in a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// The key that determines the position in the queue.
    pub key: QueueKey,
    /// The identifier of the request.
    pub request: RequestId,
}

impl QueueEntry {
    const fn of(pair: (&QueueKey, &RequestId)) -> Self {
        Self {
            key: *pair.0,
            request: *pair.1,
        }
    }
}

/// The predicted work of waiting requests by class, tier and deadline, with prefix sums in logarithmic
/// time. Where requests have virtual starts, these take the place of the deadlines.
///
/// Deadlines fall into buckets of a millisecond; each bucket of a higher level sums 64 buckets of
/// the level below it.
#[derive(Clone, Debug, Default)]
pub struct WorkTally {
    tiers: BTreeMap<TallyGroup, TierTally>,
}

/// The class and the tier whose work is summed, in the order in which they are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TallyGroup {
    class: QueueClass,
    tier: TierRank,
}

/// The work of one tier in a class, in microseconds.
#[derive(Clone, Debug, Default)]
struct TierTally {
    count: usize,
    total: u64,
    levels: [BTreeMap<u64, u64>; LEVEL_COUNT],
}

impl WorkTally {
    /// Adds the predicted work of a request.
    pub fn add(&mut self, key: &QueueKey, work: Duration) {
        let tally = self.tiers.entry(key.group()).or_default();
        let work = micros(work);
        tally.count += 1;
        tally.total += work;
        let mut bucket = key.bucket();
        for level in &mut tally.levels {
            *level.entry(bucket).or_default() += work;
            bucket >>= LEVEL_BITS;
        }
    }

    /// Removes the work of a request that was added with the same key and work.
    pub fn remove(&mut self, key: &QueueKey, work: Duration) {
        let Some(tally) = self.tiers.get_mut(&key.group()) else {
            return;
        };
        let work = micros(work);
        tally.count = tally.count.saturating_sub(1);
        tally.total = tally.total.saturating_sub(work);
        let mut bucket = key.bucket();
        for level in &mut tally.levels {
            if let Some(sum) = level.get_mut(&bucket) {
                *sum = sum.saturating_sub(work);
                if *sum == 0 {
                    level.remove(&bucket);
                }
            }
            bucket >>= LEVEL_BITS;
        }
    }

    /// Returns the work that is served before a request with the key.
    ///
    /// This includes all work of the same tier that is due in the same millisecond, and thus all
    /// work under [`QueueOrder::Arrival`].
    #[must_use]
    pub fn before(&self, key: &QueueKey) -> Duration {
        let higher: u64 = self
            .tiers
            .range(..key.group())
            .map(|(_, tally)| tally.total)
            .sum();
        let same = self
            .tiers
            .get(&key.group())
            .map_or(0, |tally| tally.before(key.bucket()));
        Duration::from_micros(higher + same)
    }

    /// Returns the number of requests of a class.
    #[must_use]
    pub fn count(&self, class: QueueClass) -> usize {
        self.of_class(class).map(|tally| tally.count).sum()
    }

    /// Returns the work of a class.
    #[must_use]
    pub fn total(&self, class: QueueClass) -> Duration {
        Duration::from_micros(self.of_class(class).map(|tally| tally.total).sum())
    }

    fn of_class(&self, class: QueueClass) -> impl Iterator<Item = &TierTally> {
        let groups = self.tiers.iter();
        groups
            .filter(move |(group, _)| group.class == class)
            .map(|(_, tally)| tally)
    }
}

impl TierTally {
    fn before(&self, mut bucket: u64) -> u64 {
        let mut sum = self.levels[0].get(&bucket).copied().unwrap_or(0);
        // Each level adds the buckets before `bucket` that belong to the same bucket of the next
        // level; the last level adds all buckets before `bucket`.
        for (position, level) in self.levels.iter().enumerate() {
            let first = if position + 1 == LEVEL_COUNT {
                0
            } else {
                (bucket >> LEVEL_BITS) << LEVEL_BITS
            };
            sum += level
                .range(first..bucket)
                .map(|(_, work)| work)
                .sum::<u64>();
            bucket >>= LEVEL_BITS;
        }
        sum
    }
}

fn micros(work: Duration) -> u64 {
    u64::try_from(work.as_micros()).unwrap_or(u64::MAX)
}
