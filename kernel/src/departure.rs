//! What is known of workers that are leaving or were removed, beyond their present registrations.
//!
//! A worker says that it leaves in its registration, in its answers, or in both. Registrations can
//! lapse, be unreadable for a moment, be read late and, if the store is back from an older copy, be
//! older than known ones; an answer does not say which start of the worker it is of. So what was
//! learned is kept by the name of the worker, with the start for which it is certain. If the
//! registration names another start, the worker is *unconfirmed*: it gets no requests until a health
//! check has shown whether the process that serves now is leaving.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::configuration::WorkerState;
use crate::name::WorkerName;
use crate::roster::StoreEra;
use crate::roster::UpstreamRecord;

/// The maximum number of records, above which the oldest of a worker without registration is
/// forgotten at each new one.
pub const MAX_RECORDS: usize = 16_384;

/// Whether a registered worker may get requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerStanding {
    /// It may.
    Serving,
    /// It is leaving.
    Leaving,
    /// It was leaving or removed, and may have started again since: a health check decides.
    Unconfirmed,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthOutcome {
    /// The worker answered that it is healthy and did not say that it leaves.
    Sound,
    /// The worker said that it leaves.
    Leaving,
    /// The worker answered that it is not healthy, and did not say that it leaves.
    Unhealthy,
    /// There was no answer, or none that decides.
    Undecided,
}

impl HealthOutcome {
    /// Returns the name in log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Leaving => "leaving",
            Self::Unhealthy => "unhealthy",
            Self::Undecided => "undecided",
        }
    }
}

/// A health check of an unconfirmed worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HealthCheck {
    /// The worker.
    pub worker: WorkerName,
    /// The start that the registration named when the check was sent.
    pub started_ms: Option<u64>,
    /// The time at which the check was sent.
    pub sent_at: ClockTime,
}

/// The time of a worker's start in Unix milliseconds; `None` if its registration states none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerStart(pub Option<u64>);

/// A start of a worker as the host has read of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct KnownStart {
    /// The time of the start in Unix milliseconds; `None` if the registration states none.
    pub started_ms: Option<u64>,
    /// The time at which the host first read a registration of this start.
    pub known_since: ClockTime,
}

/// What is known of the end of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DepartureState {
    /// The registration of this start was draining.
    Draining { started_ms: Option<u64> },
    /// An answer of this start or of a later one stated that the worker leaves.
    Stated { started_ms: Option<u64> },
    /// An answer of some start stated it.
    Unattributed,
    /// The registration of this start was removed.
    Removed { start: KnownStart, era: StoreEra },
}

impl DepartureState {
    const fn comes_from_answers(&self) -> bool {
        matches!(self, Self::Stated { .. } | Self::Unattributed)
    }
}

#[derive(Clone, Copy, Debug)]
struct DepartureRecord {
    state: DepartureState,
    recorded_at: ClockTime,
}

/// What is known of the ends of workers, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct DepartureTable {
    records: BTreeMap<WorkerName, DepartureRecord>,
}

impl DepartureTable {
    /// Returns whether a worker with the registration may get requests; `era` is the present one of
    /// the store.
    pub(crate) fn standing(&self, record: &UpstreamRecord, era: StoreEra) -> WorkerStanding {
        let started = record.started_ms;
        if record.state != WorkerState::Active {
            return WorkerStanding::Leaving;
        }
        match self.records.get(&record.worker).map(|known| known.state) {
            None => WorkerStanding::Serving,
            Some(DepartureState::Draining { started_ms }) if started_ms == started => {
                WorkerStanding::Leaving
            }
            // A start that is not later comes from an older registration.
            Some(DepartureState::Draining { started_ms }) if started > started_ms => {
                WorkerStanding::Serving
            }
            Some(DepartureState::Stated { started_ms }) if started_ms == started => {
                WorkerStanding::Leaving
            }
            Some(DepartureState::Removed { start, .. }) if started > start.started_ms => {
                WorkerStanding::Serving
            }
            // Within an era, only the worker itself can register that start once more.
            Some(DepartureState::Removed { start, era: then })
                if started == start.started_ms && then == era =>
            {
                WorkerStanding::Serving
            }
            Some(_) => WorkerStanding::Unconfirmed,
        }
    }

    /// Records that an answer stated that the worker leaves; returns whether that was not known.
    ///
    /// `start` is that of the worker's registration, if it has one, and `connected_at` the time at which
    /// the connection of the answer was opened, if this host opened it.
    pub(crate) fn record_statement(
        &mut self,
        now: ClockTime,
        worker: &WorkerName,
        start: Option<KnownStart>,
        connected_at: Option<ClockTime>,
    ) -> bool {
        let known = self.records.get(worker).map(|record| record.state);
        let start = start.or(match known {
            Some(DepartureState::Removed { start, .. }) => Some(start),
            _ => None,
        });
        // An earlier start may have sent the answer on a connection that is older than the
        // registration.
        let attributed = start.filter(|start| Some(start.known_since) <= connected_at);
        let state = match (attributed, known) {
            (Some(start), _) => DepartureState::Stated {
                started_ms: start.started_ms,
            },
            (None, Some(DepartureState::Draining { started_ms })) => {
                DepartureState::Stated { started_ms }
            }
            (None, Some(state @ DepartureState::Stated { .. })) => state,
            (None, _) => DepartureState::Unattributed,
        };
        self.insert(now, worker, state);
        known != Some(state)
    }

    /// Records a registration that is present.
    pub(crate) fn record_present(
        &mut self,
        now: ClockTime,
        record: &UpstreamRecord,
        era: StoreEra,
    ) {
        let started_ms = record.started_ms;
        let known = self.records.get(&record.worker).map(|known| known.state);
        if record.state == WorkerState::Draining {
            let is_stated = known == Some(DepartureState::Stated { started_ms });
            if !is_stated {
                self.insert(now, &record.worker, DepartureState::Draining { started_ms });
            }
            return;
        }
        // What was known of an earlier registration does not concern this one.
        let is_over = match known {
            Some(DepartureState::Draining { .. } | DepartureState::Removed { .. }) => {
                self.standing(record, era) == WorkerStanding::Serving
            }
            _ => false,
        };
        if is_over {
            self.records.remove(&record.worker);
        }
    }

    /// Records that the registration of a start was removed.
    pub(crate) fn record_removal(
        &mut self,
        now: ClockTime,
        worker: &WorkerName,
        start: KnownStart,
        era: StoreEra,
    ) {
        let state = match self.records.get(worker).map(|known| known.state) {
            None | Some(DepartureState::Removed { .. }) => DepartureState::Removed { start, era },
            // Without a start, the next registration can't be told from this one.
            Some(
                DepartureState::Draining { started_ms: None }
                | DepartureState::Stated { started_ms: None },
            ) => DepartureState::Unattributed,
            Some(_) => return,
        };
        self.insert(now, worker, state);
    }

    /// Returns the start of a worker whose registration was removed, if nothing else is known of it.
    pub(crate) fn removed_start(&self, worker: &WorkerName) -> Option<KnownStart> {
        match self.records.get(worker)?.state {
            DepartureState::Removed { start, .. } => Some(start),
            _ => None,
        }
    }

    /// Returns the last known start of a worker that has no registration; `None` if none is known.
    pub(crate) fn last_start(&self, worker: &WorkerName) -> Option<WorkerStart> {
        match self.records.get(worker)?.state {
            DepartureState::Draining { started_ms } | DepartureState::Stated { started_ms } => {
                Some(WorkerStart(started_ms))
            }
            DepartureState::Removed { start, .. } => Some(WorkerStart(start.started_ms)),
            DepartureState::Unattributed => None,
        }
    }

    /// Applies the result of a health check of a worker whose registration is still that of the check.
    pub(crate) fn settle(&mut self, now: ClockTime, check: &HealthCheck, outcome: HealthOutcome) {
        let started_ms = check.started_ms;
        match outcome {
            HealthOutcome::Undecided => {}
            HealthOutcome::Leaving => {
                self.insert(now, &check.worker, DepartureState::Stated { started_ms });
            }
            HealthOutcome::Sound => self.forget(check, |_| true),
            // A worker that states in answers that it leaves does so in all of them.
            HealthOutcome::Unhealthy => self.forget(check, DepartureState::comes_from_answers),
        }
    }

    /// Forgets what was known before a check was sent, if it satisfies `is_settled`.
    fn forget(&mut self, check: &HealthCheck, is_settled: impl Fn(&DepartureState) -> bool) {
        let record = self.records.get(&check.worker);
        let is_settled = |record: &DepartureRecord| {
            record.recorded_at <= check.sent_at && is_settled(&record.state)
        };
        if record.is_some_and(is_settled) {
            self.records.remove(&check.worker);
        }
    }

    /// Forgets the oldest record of a worker that is not registered if there are very many.
    pub(crate) fn limit(&mut self, is_registered: impl Fn(&WorkerName) -> bool) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let gone = self.records.iter();
        let gone = gone.filter(|(worker, _)| !is_registered(worker));
        let oldest = gone.min_by_key(|(_, record)| record.recorded_at);
        if let Some(worker) = oldest.map(|(worker, _)| worker.clone()) {
            self.records.remove(&worker);
        }
    }

    fn insert(&mut self, now: ClockTime, worker: &WorkerName, state: DepartureState) {
        let record = DepartureRecord {
            state,
            recorded_at: now,
        };
        self.records.insert(worker.clone(), record);
    }
}
