//! The registered workers, as read from the store, and their grace period after a store outage.

mod record;
mod transition;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::configuration::WorkerState;
use crate::departure::DepartureTable;
use crate::departure::HealthCheck;
use crate::departure::HealthOutcome;
use crate::departure::KnownStart;
use crate::departure::WorkerStanding;
use crate::departure::WorkerStart;
use crate::name::WorkerName;

pub use self::record::RosterUpdate;
pub use self::record::StoreEra;
pub use self::record::StoreRevision;
pub use self::record::UpstreamRecord;
pub use self::transition::EntryTransition;
pub use self::transition::RosterTransition;

/// The time that workers have to register again after an outage of the store.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);

/// The maximum number of transitions that are listed between two calls of
/// [`UpstreamRoster::take_transitions`].
const MAX_LISTED_TRANSITIONS: usize = 256;

#[derive(Clone, Debug)]
struct RosterEntry {
    record: UpstreamRecord,
    /// The time at which the first registration of the present start was read.
    known_since: ClockTime,
    /// The time at which the registration was found missing after an outage; `None` while it is
    /// present.
    missing_since: Option<ClockTime>,
}

impl RosterEntry {
    const fn known_start(&self) -> KnownStart {
        KnownStart {
            started_ms: self.record.started_ms,
            known_since: self.known_since,
        }
    }
}

/// The registered workers.
///
/// During an outage of the store, the registrations of running workers expire because they can't be
/// renewed. The registration of an active worker that is missing after an outage therefore stays
/// valid until [`REREGISTRATION_TIME`] after the end of the outage.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::roster::UpstreamRoster;
/// use borageladder_kernel::roster::RosterUpdate;
/// use borageladder_kernel::clock::ClockTime;
///
/// let mut roster = UpstreamRoster::default();
/// roster.apply(ClockTime::ZERO, RosterUpdate::default());
/// assert_eq!(roster.usable().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamRoster {
    entries: BTreeMap<WorkerName, RosterEntry>,
    departures: DepartureTable,
    /// The era of the store, the latest of all updates.
    era: StoreEra,
    store_down: bool,
    /// The time of the first successful read after the last outage of the store.
    recovered_at: Option<ClockTime>,
    /// Whether the workers were read before.
    is_known: bool,
    /// The changes since they were last taken.
    transitions: Vec<RosterTransition>,
}

impl UpstreamRoster {
    /// Records that the store did not answer.
    pub const fn store_unavailable(&mut self) {
        self.store_down = true;
    }

    /// Applies the result of a successful read; returns whether a worker was added, changed or
    /// removed.
    pub fn apply(&mut self, now: ClockTime, update: RosterUpdate) -> bool {
        self.end_outage(now);
        self.era = self.era.max(update.era);
        let mut changed = false;
        let complete = update.complete;
        let present: Vec<WorkerName> = update
            .present
            .iter()
            .map(|record| record.worker.clone())
            .collect();
        for record in update.present {
            changed |= self.upsert(now, record);
        }
        for worker in &update.removed {
            changed |= self.remove_or_keep(now, worker);
        }
        if complete {
            let missing: Vec<WorkerName> = self
                .entries
                .keys()
                .filter(|worker| !present.contains(worker))
                .cloned()
                .collect();
            for worker in missing {
                changed |= self.remove_or_keep(now, &worker);
            }
        }
        self.is_known = true;
        changed | self.expire(now)
    }

    /// Records that the store was read and the workers have not changed since the last update; returns
    /// whether a worker was removed because its registration is still missing.
    pub fn record_unchanged(&mut self, now: ClockTime) -> bool {
        self.end_outage(now);
        self.expire(now)
    }

    const fn end_outage(&mut self, now: ClockTime) {
        if self.store_down {
            self.store_down = false;
            self.recovered_at = Some(now);
        }
    }

    /// Returns the era of the store, the latest of all updates.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the changes of registrations since the last call, oldest first; of very many, only the
    /// first ones.
    pub fn take_transitions(&mut self) -> Vec<RosterTransition> {
        std::mem::take(&mut self.transitions)
    }

    fn list_transition(
        &mut self,
        worker: &WorkerName,
        started_ms: Option<u64>,
        transition: EntryTransition,
    ) {
        if self.transitions.len() < MAX_LISTED_TRANSITIONS {
            self.transitions.push(RosterTransition {
                worker: worker.clone(),
                started_ms,
                transition,
            });
        }
    }

    /// Iterates over the workers that are registered, including those that are draining.
    ///
    /// Workers that are kept although their registration is missing are left out. Another host may
    /// have read the store during the outage, and keeps them by its own view or not at all.
    pub fn registered(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let registered = self.entries.values();
        let registered = registered.filter(|entry| entry.missing_since.is_none());
        registered.map(|entry| &entry.record)
    }

    /// Iterates over the workers that may be granted new requests.
    pub fn usable(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let records = self.entries.values().map(|entry| &entry.record);
        records.filter(|record| self.standing_of(record) == WorkerStanding::Serving)
    }

    /// Iterates over the workers that may be granted new requests only after a health check.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let records = self.entries.values().map(|entry| &entry.record);
        records.filter(|record| self.standing_of(record) == WorkerStanding::Unconfirmed)
    }

    /// Returns the worker with the name; `None` if it is not registered or may not get new
    /// requests.
    #[must_use]
    pub fn find(&self, worker: &WorkerName) -> Option<&UpstreamRecord> {
        let record = &self.entries.get(worker)?.record;
        (self.standing_of(record) == WorkerStanding::Serving).then_some(record)
    }

    /// Returns whether a worker may get requests; `None` if it is not registered.
    #[must_use]
    pub fn standing(&self, worker: &WorkerName) -> Option<WorkerStanding> {
        let entry = self.entries.get(worker)?;
        Some(self.standing_of(&entry.record))
    }

    fn standing_of(&self, record: &UpstreamRecord) -> WorkerStanding {
        self.departures.standing(record, self.era)
    }

    /// Returns whether a worker is kept although its registration is missing.
    #[must_use]
    pub fn is_missing(&self, worker: &WorkerName) -> bool {
        let entry = self.entries.get(worker);
        entry.is_some_and(|entry| entry.missing_since.is_some())
    }

    /// Returns the start that the registration of a worker names; `None` without a registration.
    #[must_use]
    pub fn registered_start(&self, worker: &WorkerName) -> Option<WorkerStart> {
        let entry = self.entries.get(worker)?;
        Some(WorkerStart(entry.record.started_ms))
    }

    /// Returns whether the worker is registered, in any state.
    #[must_use]
    pub fn contains(&self, worker: &WorkerName) -> bool {
        self.entries.contains_key(worker)
    }

    /// Records that a worker said in an answer that it is leaving, which holds until it starts again;
    /// returns whether that was not known.
    ///
    /// `connected_at` is the time at which the connection of the answer was opened; `None` if another
    /// host got the answer.
    pub fn mark_leaving(
        &mut self,
        now: ClockTime,
        worker: &WorkerName,
        connected_at: Option<ClockTime>,
    ) -> bool {
        let start = self.entries.get(worker).map(RosterEntry::known_start);
        let departures = &mut self.departures;
        let is_new = departures.record_statement(now, worker, start, connected_at);
        self.limit_departures();
        is_new
    }

    /// Applies the result of a health check; returns whether the worker may get requests now and could
    /// not before.
    ///
    /// A check of another start than the present one is ignored, as is a sound answer of a worker that is
    /// not unconfirmed.
    pub fn settle(&mut self, now: ClockTime, check: &HealthCheck, outcome: HealthOutcome) -> bool {
        let worker = &check.worker;
        let is_current = self.registered_start(worker) == Some(WorkerStart(check.started_ms));
        let is_unconfirmed = self.standing(worker) == Some(WorkerStanding::Unconfirmed);
        if is_current && (is_unconfirmed || outcome == HealthOutcome::Leaving) {
            self.departures.settle(now, check, outcome);
        }
        is_unconfirmed && self.standing(worker) == Some(WorkerStanding::Serving)
    }

    fn limit_departures(&mut self) {
        let entries = &self.entries;
        self.departures.limit(|worker| entries.contains_key(worker));
    }

    /// Returns those of the workers that are or were registered which an update shows to have started
    /// again.
    #[must_use]
    pub fn restarted<'a>(&self, update: &'a RosterUpdate) -> Vec<&'a WorkerName> {
        let has_restarted = |record: &&UpstreamRecord| {
            let worker = &record.worker;
            let registered = self.registered_start(worker);
            let known = registered.or_else(|| self.departures.last_start(worker));
            known.is_some_and(|start| start != WorkerStart(record.started_ms))
        };
        let restarted = update.present.iter().filter(has_restarted);
        restarted.map(|record| &record.worker).collect()
    }

    fn upsert(&mut self, now: ClockTime, record: UpstreamRecord) -> bool {
        let removed = self.departures.removed_start(&record.worker);
        self.departures.record_present(now, &record, self.era);
        self.limit_departures();
        let entry = self.entries.get_mut(&record.worker);
        if let Some(entry) = entry {
            let is_missing = entry.missing_since.is_some();
            let transition = EntryTransition::between(&entry.record, is_missing, &record);
            let (worker, started_ms) = (record.worker.clone(), record.started_ms);
            entry.missing_since = None;
            if entry.record.started_ms != started_ms {
                entry.known_since = now;
            }
            let changed = entry.record != record;
            entry.record = record;
            if let Some(transition) = transition {
                self.list_transition(&worker, started_ms, transition);
            }
            return changed;
        }
        if self.is_known {
            let added = EntryTransition::Added;
            self.list_transition(&record.worker, record.started_ms, added);
        }
        let same_start = removed.filter(|start| start.started_ms == record.started_ms);
        let known_since = same_start.map_or(now, |start| start.known_since);
        self.entries.insert(
            record.worker.clone(),
            RosterEntry {
                record,
                known_since,
                missing_since: None,
            },
        );
        true
    }

    /// Removes a worker, but only marks an active one as missing during the grace period.
    fn remove_or_keep(&mut self, now: ClockTime, worker: &WorkerName) -> bool {
        let in_grace_period = self.in_grace_period(now);
        let Some(entry) = self.entries.get_mut(worker) else {
            return false;
        };
        let started_ms = entry.record.started_ms;
        if in_grace_period && entry.record.state == WorkerState::Active {
            if entry.missing_since.is_none() {
                entry.missing_since = Some(now);
                self.list_transition(worker, started_ms, EntryTransition::Missing);
            }
            return false;
        }
        self.remove(now, worker);
        true
    }

    fn remove(&mut self, now: ClockTime, worker: &WorkerName) {
        let Some(entry) = self.entries.remove(worker) else {
            return;
        };
        let start = entry.known_start();
        self.departures.record_removal(now, worker, start, self.era);
        self.limit_departures();
        self.list_transition(worker, start.started_ms, EntryTransition::Removed);
    }

    /// Removes the workers that have not registered again within the grace period.
    fn expire(&mut self, now: ClockTime) -> bool {
        if self.in_grace_period(now) {
            return false;
        }
        let expired: Vec<WorkerName> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.missing_since.is_some())
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in &expired {
            self.remove(now, worker);
        }
        !expired.is_empty()
    }

    /// Returns whether the store is down or its last outage ended recently.
    fn in_grace_period(&self, now: ClockTime) -> bool {
        self.store_down
            || self
                .recovered_at
                .is_some_and(|recovered_at| now.since(recovered_at) < REREGISTRATION_TIME)
    }
}
