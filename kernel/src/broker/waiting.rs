//! The requests that wait in a cell, with the orders in which they are looked up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ask::Ask;
use crate::clock::ClockTime;
use crate::name::BlockDigest;
use crate::name::HostName;
use crate::name::RequestId;
use crate::name::TierRank;
use crate::queue::QueueEntry;
use crate::queue::QueueKey;
use crate::queue::TierQueue;

/// Where a request waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WaitPlace {
    /// In the queue of its lane, for any worker.
    Ready,
    /// For a slot of one worker.
    Slot {
        /// The position of the worker.
        worker: usize,
    },
    /// For a prefix that one worker is computing.
    Prefill {
        /// The position of the worker.
        worker: usize,
        /// The last block of the prefix.
        block: BlockDigest,
    },
    /// For a worker on which it can run alone.
    Alone,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct WaitingRecord {
    /// The host whose entry holds the request.
    pub host: HostName,
    /// The ask.
    pub ask: Ask,
    /// The position of its lane.
    pub lane: usize,
    /// The key by which it is ordered.
    pub key: QueueKey,
    /// The time at which the ask arrived.
    pub since: ClockTime,
    /// The time at which the answer is due.
    pub deadline: ClockTime,
    /// The time after which the fastest worker can't finish in time.
    pub latest_start: ClockTime,
    /// The slot time that the request is expected to need.
    pub work: Duration,
    /// Where it waits.
    pub place: WaitPlace,
    /// The time at which its patience ends, while it waits for a certain worker.
    pub patient_until: Option<ClockTime>,
    /// Whether its patience has ended once.
    pub patience_spent: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct StartKey {
    tier: TierRank,
    latest_start: ClockTime,
    request: RequestId,
}

/// All requests that wait in the cell.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingTable {
    records: BTreeMap<RequestId, WaitingRecord>,
    order: TierQueue,
    starts: BTreeSet<StartKey>,
    tiers: BTreeMap<TierRank, u32>,
}

impl WaitingTable {
    pub(super) fn insert(&mut self, record: WaitingRecord) {
        let request = record.ask.request;
        self.order.insert(record.key, request);
        self.starts.insert(start_key(&record));
        *self.tiers.entry(record.ask.tier).or_default() += 1;
        self.records.insert(request, record);
    }

    pub(super) fn remove(&mut self, request: RequestId) -> Option<WaitingRecord> {
        let record = self.records.remove(&request)?;
        self.order.remove(&record.key);
        self.starts.remove(&start_key(&record));
        if let Some(count) = self.tiers.get_mut(&record.ask.tier) {
            *count -= 1;
            if *count == 0 {
                self.tiers.remove(&record.ask.tier);
            }
        }
        Some(record)
    }

    pub(super) fn get(&self, request: RequestId) -> Option<&WaitingRecord> {
        self.records.get(&request)
    }

    pub(super) fn get_mut(&mut self, request: RequestId) -> Option<&mut WaitingRecord> {
        self.records.get_mut(&request)
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingRecord> {
        self.order
            .iter()
            .filter_map(|entry| self.records.get(&entry.request))
    }

    /// Returns the request served before the key, or the one served last.
    pub(super) fn before_or_last(&self, key: Option<QueueKey>) -> Option<QueueEntry> {
        self.order.before_or_last(key)
    }

    /// Returns the earliest of the latest starts.
    pub(super) fn first_start(&self) -> Option<ClockTime> {
        let firsts = self.tiers.keys().filter_map(|tier| self.start_in(*tier));
        firsts.map(|key| key.latest_start).min()
    }

    /// Returns a request whose latest start has passed.
    pub(super) fn past_start(&self, now: ClockTime) -> Option<RequestId> {
        let firsts = self.tiers.keys().filter_map(|tier| self.start_in(*tier));
        firsts
            .filter(|key| key.latest_start < now)
            .map(|key| key.request)
            .next()
    }

    /// Returns the lowest tier that waits.
    pub(super) fn lowest_tier(&self) -> Option<TierRank> {
        self.tiers.last_key_value().map(|(tier, _)| *tier)
    }

    /// Returns the request of a tier with the earliest latest start.
    pub(super) fn first_start_in(&self, tier: TierRank) -> Option<RequestId> {
        self.start_in(tier).map(|key| key.request)
    }

    /// Returns the request of a tier with the latest deadline; tiers must order the queue.
    pub(super) fn last_due(&self) -> Option<RequestId> {
        self.order.last().map(|entry| entry.request)
    }

    /// Returns the number of waiting requests by tier rank.
    pub(super) fn counts(&self) -> Vec<u32> {
        let length = self.lowest_tier().map_or(0, |tier| usize::from(tier.0) + 1);
        let mut counts = vec![0; length];
        for (tier, count) in &self.tiers {
            counts[usize::from(tier.0)] = *count;
        }
        counts
    }

    fn start_in(&self, tier: TierRank) -> Option<StartKey> {
        let first = StartKey {
            tier,
            latest_start: ClockTime::ZERO,
            request: RequestId {
                incarnation: 0,
                sequence: 0,
            },
        };
        let found = self.starts.range(first..).next()?;
        (found.tier == tier).then_some(*found)
    }
}

const fn start_key(record: &WaitingRecord) -> StartKey {
    StartKey {
        tier: record.ask.tier,
        latest_start: record.latest_start,
        request: record.ask.request,
    }
}
