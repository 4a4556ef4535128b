//! The crashes on record for one part of prompts.

use std::collections::BTreeSet;
use std::time::Duration;

use super::report::CrashReport;
use super::report::PartReport;
use crate::clock::ClockTime;
use crate::name::WorkerName;
use crate::name::WorkspaceName;
use crate::quarantine::CRASH_MERGE_TIME;
use crate::quarantine::QUARANTINE_TIME;

/// The number of crashes at which requests with a part are refused.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// The number of workspaces whose crashes quarantine a part for all workspaces.
const WORKSPACES_TO_QUARANTINE_ALL: usize = 2;

/// The maximum number of crashes on record for one part; the oldest is dropped first.
const MAX_CRASHES: usize = 8;

/// A crash of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct CrashRecord {
    pub worker: WorkerName,
    /// Milliseconds on the clock of this process; negative before its start.
    pub crashed_at: i64,
}

impl CrashRecord {
    /// Returns whether another record is of the same crash, seen by another host.
    pub fn is_same(&self, other: &Self) -> bool {
        let apart = self.crashed_at.abs_diff(other.crashed_at);
        self.worker == other.worker && u128::from(apart) < CRASH_MERGE_TIME.as_millis()
    }

    /// Returns the report of the crash at `now`.
    pub fn report(&self, now: i64) -> CrashReport {
        let age = u64::try_from(now - self.crashed_at).unwrap_or(0);
        CrashReport {
            worker: self.worker.clone(),
            age: Duration::from_millis(age),
        }
    }
}

/// The crashes under one part.
#[derive(Clone, Debug, Default)]
pub(super) struct PartRecord {
    /// The workspaces of the requests, at most [`WORKSPACES_TO_QUARANTINE_ALL`].
    pub workspaces: BTreeSet<Option<WorkspaceName>>,
    /// Whether one of the crashes was certain and under a request that was sent with one on record.
    pub repeated: bool,
    /// At most [`MAX_CRASHES`], by time.
    pub crashes: Vec<CrashRecord>,
}

impl PartRecord {
    /// Adds a crash that a host reports; returns whether that changed the record.
    pub fn add(&mut self, report: &PartReport, crash: CrashRecord) -> bool {
        let mut is_changed = report.repeated && !self.repeated;
        self.repeated |= report.repeated;
        for workspace in &report.workspaces {
            if self.workspaces.len() < WORKSPACES_TO_QUARANTINE_ALL {
                is_changed |= self.workspaces.insert(workspace.clone());
            }
        }
        if self.has_crash(&crash) {
            return is_changed;
        }
        let added = crash.clone();
        self.crashes.push(crash);
        self.crashes.sort_by_key(|known| known.crashed_at);
        let surplus = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..surplus);
        is_changed || self.crashes.contains(&added)
    }

    /// Returns the time of the latest crash, in milliseconds.
    pub fn newest_crash(&self) -> i64 {
        let times = self.crashes.iter().map(|crash| crash.crashed_at);
        times.max().unwrap_or(i64::MIN)
    }

    /// Returns reports of the latest crashes, as many as a quarantine needs.
    pub fn latest_crashes(&self, now: i64) -> Vec<CrashReport> {
        let latest = self.crashes.iter().rev().take(CRASHES_TO_QUARANTINE);
        latest.map(|crash| crash.report(now)).collect()
    }

    /// Returns whether a crash is on record.
    pub fn has_crash(&self, crash: &CrashRecord) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Returns the remaining time of the quarantine; `None` if the part isn't quarantined.
    /// `unexplained` is the number of crashes that no other part explains.
    pub fn quarantine(&self, now: i64, unexplained: usize) -> Option<Duration> {
        if !self.repeated || unexplained < CRASHES_TO_QUARANTINE {
            return None;
        }
        let age = u64::try_from(now - self.newest_crash()).unwrap_or(0);
        QUARANTINE_TIME.checked_sub(Duration::from_millis(age))
    }

    /// Returns whether a quarantine holds for requests of a workspace.
    pub fn is_quarantined_for(&self, workspace: Option<&WorkspaceName>) -> bool {
        self.workspaces.len() >= WORKSPACES_TO_QUARANTINE_ALL
            || self.workspaces.contains(&workspace.cloned())
    }
}

/// Returns the time since a time in milliseconds; zero if that is later.
pub(super) fn time_since(now: ClockTime, earlier: i64) -> Duration {
    Duration::from_millis(u64::try_from(millis(now) - earlier).unwrap_or(0))
}

/// Returns the milliseconds of a time.
pub(super) fn millis(time: ClockTime) -> i64 {
    i64::try_from(time.as_micros() / 1_000).unwrap_or(i64::MAX)
}

/// Returns the milliseconds of a duration.
pub(super) fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
