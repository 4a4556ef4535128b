//! The workers that may get work, as far as the store and its outages tell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::configuration::WorkerState;
use crate::name::DatacenterName;
use crate::name::ServiceName;
use crate::name::WorkerName;

/// The time after the store's return within which workers that live have registered again.
pub const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// A worker as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// The name of this start of the worker.
    pub worker: WorkerName,
    /// The service that it serves.
    pub service: ServiceName,
    /// The data centre in which it stands.
    pub datacenter: DatacenterName,
    /// The address at which it takes requests.
    pub address: SocketAddr,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// Whether it may get new work.
    pub state: WorkerState,
}

/// The name of a revision of the store's rows.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision(pub u64);

/// What a read of the workers brought.
#[derive(Clone, Debug, Default)]
pub struct WorkerReading {
    /// The revision up to which the read tells everything.
    pub revision: StoreRevision,
    /// Whether the read tells of all workers, not just of changes.
    pub complete: bool,
    /// The workers that are there.
    pub present: Vec<UpstreamRecord>,
    /// The workers whose entry was removed or names no worker to use.
    pub gone: BTreeSet<WorkerName>,
}

#[derive(Clone, Debug)]
struct RosterEntry {
    record: UpstreamRecord,
    lapsed: Option<ClockTime>,
}

/// The workers that registered themselves.
///
/// While the store is away entries lapse without their workers having left, so an entry that is
/// missing after an outage counts until [`RETURN_TIME`] after its end.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::roster::UpstreamRoster;
/// use borageladder_kernel::roster::WorkerReading;
/// use borageladder_kernel::clock::ClockTime;
///
/// let mut roster = UpstreamRoster::default();
/// roster.apply(ClockTime::ZERO, WorkerReading::default());
/// assert_eq!(roster.usable().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamRoster {
    entries: BTreeMap<WorkerName, RosterEntry>,
    away: bool,
    back_at: Option<ClockTime>,
}

impl UpstreamRoster {
    /// Notes that the store did not answer.
    pub const fn store_lost(&mut self) {
        self.away = true;
    }

    /// Takes over what a read of the store brought; returns whether the usable workers changed.
    pub fn apply(&mut self, now: ClockTime, reading: WorkerReading) -> bool {
        if self.away {
            self.away = false;
            self.back_at = Some(now);
        }
        let mut changed = false;
        let complete = reading.complete;
        let present: Vec<WorkerName> = reading.present.iter().map(|r| r.worker.clone()).collect();
        for record in reading.present {
            changed |= self.put(record);
        }
        for worker in &reading.gone {
            changed |= self.miss(now, worker);
        }
        if complete {
            let missing: Vec<WorkerName> = self
                .entries
                .keys()
                .filter(|worker| !present.contains(worker))
                .cloned()
                .collect();
            for worker in missing {
                changed |= self.miss(now, &worker);
            }
        }
        changed | self.expire(now)
    }

    /// Iterates over all workers that are known, also those that are leaving.
    pub fn known(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Iterates over the workers that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let records = self.entries.values().map(|entry| &entry.record);
        records.filter(|record| record.state == WorkerState::Active)
    }

    /// Returns a worker that may get new work.
    #[must_use]
    pub fn find(&self, worker: &WorkerName) -> Option<&UpstreamRecord> {
        let record = &self.entries.get(worker)?.record;
        (record.state == WorkerState::Active).then_some(record)
    }

    fn put(&mut self, record: UpstreamRecord) -> bool {
        let entry = self.entries.get_mut(&record.worker);
        if let Some(entry) = entry {
            entry.lapsed = None;
            let changed = entry.record != record;
            entry.record = record;
            return changed;
        }
        let lapsed = None;
        self.entries
            .insert(record.worker.clone(), RosterEntry { record, lapsed });
        true
    }

    fn miss(&mut self, now: ClockTime, worker: &WorkerName) -> bool {
        let returning = self.returning(now);
        let Some(entry) = self.entries.get_mut(worker) else {
            return false;
        };
        if returning && entry.record.state == WorkerState::Active {
            entry.lapsed.get_or_insert(now);
            return false;
        }
        self.entries.remove(worker);
        true
    }

    /// Drops the workers that have not come back in time.
    fn expire(&mut self, now: ClockTime) -> bool {
        if self.returning(now) {
            return false;
        }
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.lapsed.is_none());
        self.entries.len() != before
    }

    fn returning(&self, now: ClockTime) -> bool {
        self.away
            || self
                .back_at
                .is_some_and(|back| now.since(back) < RETURN_TIME)
    }
}
