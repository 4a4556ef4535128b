//! The requests that wait in a cell, indexed by request, queue order and latest start.

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

/// The queue in which a request waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum QueueKind {
    /// The queue of the lane: any worker that serves the lane will do.
    Ready,
    /// The queue for a slot on one worker.
    Slot {
        /// The position of the worker in the worker table.
        worker: usize,
    },
    /// The queue for a prefix that one worker is computing.
    Prefill {
        /// The position of the worker in the worker table.
        worker: usize,
        /// The last block of the prefix that is being computed.
        block: BlockDigest,
    },
    /// The queue for an idle worker on which the request can run alone.
    Exclusive,
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct WaitingRecord {
    /// The host whose entry holds the request.
    pub host: HostName,
    /// The ask as the entry sent it.
    pub ask: Ask,
    /// The position of the request's lane in the worker table.
    pub lane: usize,
    /// The position of the request in queue order.
    pub key: QueueKey,
    /// The time at which the ask arrived.
    pub arrived_at: ClockTime,
    /// The time at which the complete answer is due.
    pub deadline: ClockTime,
    /// The time after which a start is too late for the deadline or the latency target.
    pub latest_start: ClockTime,
    /// The expected time that the request will hold a slot.
    pub work: Duration,
    /// The queue in which the request waits.
    pub queue: QueueKind,
    /// The time at which the wait for one particular worker ends; `None` outside of such a wait.
    pub deferred_until: Option<ClockTime>,
    /// Whether a wait for one particular worker timed out; the request isn't deferred again.
    pub deferral_spent: bool,
}

/// The sort key of a waiting request by its latest start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct StartKey {
    latest_start: ClockTime,
    request: RequestId,
}

/// All waiting requests of the cell.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingTable {
    // Only for lookup: iteration follows `order`, because the order of a hash map is random.
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

    /// Moves a request to another position in queue order.
    pub(super) fn set_key(&mut self, request: RequestId, key: QueueKey) {
        if let Some(record) = self.records.get_mut(&request) {
            self.order.remove(&record.key);
            record.key = key;
            self.order.insert(key, request);
        }
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

    /// Returns the request just before the key in queue order, or the last one if there is none or
    /// no key is given.
    pub(super) fn before_or_last(&self, key: Option<QueueKey>) -> Option<QueueEntry> {
        self.order.before_or_last(key)
    }

    /// Returns the earliest latest start of all waiting requests.
    pub(super) fn next_latest_start(&self) -> Option<ClockTime> {
        let firsts = self.starts.values().filter_map(BTreeSet::first);
        firsts.map(|key| key.latest_start).min()
    }

    /// Returns a request whose latest start has passed.
    pub(super) fn find_overdue(&self, now: ClockTime) -> Option<RequestId> {
        let mut firsts = self.starts.values().filter_map(BTreeSet::first);
        let overdue = firsts.find(|key| key.latest_start < now);
        overdue.map(|key| key.request)
    }

    /// Returns the request with the earliest latest start in the lowest tier with waiting requests.
    pub(super) fn tightest_in_lowest_tier(&self) -> Option<RequestId> {
        let mut firsts = self.starts.values().rev().filter_map(BTreeSet::first);
        firsts.next().map(|key| key.request)
    }

    /// Returns the last request in queue order.
    pub(super) fn last(&self) -> Option<RequestId> {
        self.order.last().map(|entry| entry.request)
    }

    /// Returns the number of waiting requests, indexed by tier rank; the last element is that of
    /// the lowest tier with waiting requests.
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
