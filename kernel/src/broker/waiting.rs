//! The requests that wait in a cell, with the orders in which they are looked up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
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
    latest_start: ClockTime,
    request: RequestId,
}

/// All requests that wait in the cell.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingTable {
    // Looked up by request only; whatever iterates does so in the order of the queue.
    records: HashMap<RequestId, WaitingRecord>,
    order: TierQueue,
    starts: BTreeMap<TierRank, BTreeSet<StartKey>>,
}

impl WaitingTable {
    pub(super) fn insert(&mut self, record: WaitingRecord) {
        let request = record.ask.request;
        self.order.insert(record.key, request);
        let starts = self.starts.entry(record.ask.tier).or_default();
        starts.insert(start_key(&record));
        self.records.insert(request, record);
    }

    pub(super) fn remove(&mut self, request: RequestId) -> Option<WaitingRecord> {
        let record = self.records.remove(&request)?;
        self.order.remove(&record.key);
        if let Some(starts) = self.starts.get_mut(&record.ask.tier) {
            starts.remove(&start_key(&record));
        }
        Some(record)
    }

    pub(super) fn set_latest_start(&mut self, request: RequestId, latest_start: ClockTime) {
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        let old = start_key(record);
        record.latest_start = latest_start;
        let starts = self.starts.entry(record.ask.tier).or_default();
        starts.remove(&old);
        starts.insert(start_key(record));
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
        let firsts = self.starts.values().filter_map(BTreeSet::first);
        firsts.map(|key| key.latest_start).min()
    }

    /// Returns a request whose latest start has passed.
    pub(super) fn past_start(&self, now: ClockTime) -> Option<RequestId> {
        let mut firsts = self.starts.values().filter_map(BTreeSet::first);
        let past = firsts.find(|key| key.latest_start < now);
        past.map(|key| key.request)
    }

    /// Returns the request with the earliest latest start in the lowest tier that waits.
    pub(super) fn tightest_of_lowest(&self) -> Option<RequestId> {
        let mut firsts = self.starts.values().rev().filter_map(BTreeSet::first);
        firsts.next().map(|key| key.request)
    }

    /// Returns the request that is served last.
    pub(super) fn last(&self) -> Option<RequestId> {
        self.order.last().map(|entry| entry.request)
    }

    /// Returns the number of waiting requests by tier rank.
    pub(super) fn counts(&self) -> Vec<u32> {
        let mut counts = Vec::new();
        for (tier, starts) in self.starts.iter().filter(|(_, starts)| !starts.is_empty()) {
            counts.resize(usize::from(tier.0) + 1, 0);
            counts[usize::from(tier.0)] = u32::try_from(starts.len()).unwrap_or(u32::MAX);
        }
        counts
    }
}

const fn start_key(record: &WaitingRecord) -> StartKey {
    StartKey {
        latest_start: record.latest_start,
        request: record.ask.request,
    }
}
