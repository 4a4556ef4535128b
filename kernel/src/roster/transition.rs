//! How the registrations of workers change, for the log.

use super::UpstreamRecord;
use crate::configuration::WorkerState;
use crate::name::WorkerName;

/// How the registration of a worker changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryTransition {
    /// It was added after the first read of the workers.
    Added,
    /// It was active and states that the worker is draining.
    Draining,
    /// It stated that the worker is draining and is active, for the same start.
    Reactivated,
    /// It names another start.
    Restarted,
    /// It is missing after an outage of the store, and the worker is kept for a while.
    Missing,
    /// It was missing and is present again.
    Returned,
    /// It was removed, or can't be read.
    Removed,
}

impl EntryTransition {
    /// Returns the name in log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Draining => "draining",
            Self::Reactivated => "reactivated",
            Self::Restarted => "restarted",
            Self::Missing => "missing",
            Self::Returned => "returned",
            Self::Removed => "removed",
        }
    }

    /// Returns how a registration that is present changed, if in a way that is listed.
    ///
    /// `was_missing` says whether it had been missing before.
    pub(super) fn between(
        old: &UpstreamRecord,
        was_missing: bool,
        new: &UpstreamRecord,
    ) -> Option<Self> {
        if old.started_ms != new.started_ms {
            return Some(Self::Restarted);
        }
        match (old.state, new.state) {
            (WorkerState::Active, WorkerState::Draining) => Some(Self::Draining),
            (WorkerState::Draining, WorkerState::Active) => Some(Self::Reactivated),
            _ => was_missing.then_some(Self::Returned),
        }
    }
}

/// A change of the registration of one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterTransition {
    /// The worker.
    pub worker: WorkerName,
    /// The start that the registration names, or named last.
    pub started_ms: Option<u64>,
    /// What changed.
    pub transition: EntryTransition,
}
