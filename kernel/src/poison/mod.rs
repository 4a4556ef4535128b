//! Detection and quarantine of prompt parts that crash the workers that begin to answer them, and of
//! requests that do as a whole: their content counts as one more part.
//!
//! A worker that crashes loses the answers to all of its requests, so the parts of each of them are
//! candidates. What tells the cause from its neighbours:
//!
//! - A sound answer, which is complete or has been arriving for a while, clears the parts of its
//!   request of all crashes before it began. It says nothing of later ones: what the part does to
//!   workers may have changed since.
//! - A part is quarantined after [`CRASHES_TO_QUARANTINE`] crashes, one of them under a request that
//!   was sent when an earlier crash was on record. Workers that fail all at once don't suffice; after
//!   as many of those the part is suspect, and requests with it run one at a time over all hosts.
//! - A crash that isn't certain, since the host may have lost its path instead, makes parts suspect but
//!   quarantines none.
//! - A crash that a quarantined part explains doesn't count for parts with fewer crashes, as long as
//!   that part is in quarantine.
//!
//! Hosts exchange reports of crashes and of cleared parts, and merge them in any order. In a large
//! deployment they pass on what is new to them; [`ReportSpread`] says to whom.

mod record;
mod report;
mod spread;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use self::record::CrashRecord;
use self::record::PartRecord;
use self::record::millis;
use self::record::time_since;
use self::record::whole_millis;
use crate::clock::ClockTime;
use crate::name::WorkspaceName;
use crate::prompt::PartDigest;
use crate::quarantine::QUARANTINE_TIME;

pub use self::record::CRASHES_TO_QUARANTINE;
pub use self::report::CrashReport;
pub use self::report::CrashedRequest;
pub use self::report::PartReport;
pub use self::spread::ReportSpread;

/// The time for which a part is no candidate after a sound answer has begun.
pub const SOUND_TIME: Duration = Duration::from_secs(2);

/// The maximum number of parts on record on one host; those with the fewest crashes are evicted
/// first, so that made-up parts can't displace a quarantined one.
pub const MAX_PARTS: usize = 2_048;

/// The maximum number of parts of one request that are candidates.
pub const MAX_CANDIDATES: usize = 512;

/// The maximum number of parts in a report of what is on record.
const MAX_REPORTED_PARTS: usize = 64;

/// The number of crashes from which a part is reported to a host that may have missed them; most
/// parts with fewer are those of neighbours.
const MIN_REPORTED_CRASHES: usize = 2;

/// The maximum number of parts that are remembered as sound.
const MAX_SOUND_PARTS: usize = 4_096;

/// The time after the latest crash of a part for which its crashes stay on record. One crash in it
/// renews a quarantine that has ended.
const RECORD_TIME: Duration = QUARANTINE_TIME.saturating_mul(2);

/// The crashes of workers by the parts of the prompts that they ran, as known to one host.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::poison::CrashedRequest;
/// use borageladder_kernel::poison::PoisonRegister;
/// use borageladder_kernel::prompt::PartDigest;
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let now = ClockTime::ZERO;
/// let mut register = PoisonRegister::default();
/// let parts = [PartDigest::of("5c1e07a2")];
/// for worker in ["engine-1", "engine-2", "engine-3"] {
///     let suspected = register.suspected(&parts);
///     let request = CrashedRequest {
///         worker: &worker.parse()?,
///         workspace: None,
///         parts: &parts,
///         suspected: &suspected,
///         confirmed: true,
///     };
///     assert_eq!(register.quarantine(now, None, &parts), None);
///     register.record_crash(now, &request);
/// }
/// assert!(register.quarantine(now, None, &parts).is_some());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug, Default)]
pub struct PoisonRegister {
    records: BTreeMap<PartDigest, PartRecord>,
    /// The number of crashes of each part that a quarantined part with more crashes explains; absent
    /// if it is zero.
    explained: BTreeMap<PartDigest, usize>,
    /// The parts of recent sound answers, with the begin of the last one in milliseconds on the clock
    /// of this process.
    sound: BTreeMap<PartDigest, i64>,
    /// The same in the order in which the answers were recorded; a part that was answered again
    /// stands here more than once.
    sound_by_age: VecDeque<(i64, PartDigest)>,
}

impl PoisonRegister {
    /// Returns those of the parts that have a crash on record that no other part explains.
    #[must_use]
    pub fn suspected(&self, parts: &[PartDigest]) -> Vec<PartDigest> {
        let suspected = parts.iter().filter(|part| self.crashes(**part) > 0);
        suspected.copied().collect()
    }

    /// Returns the remaining time for which requests of a workspace with the parts are refused;
    /// `None` if they may run.
    #[must_use]
    pub fn quarantine(
        &self,
        now: ClockTime,
        workspace: Option<&WorkspaceName>,
        parts: &[PartDigest],
    ) -> Option<Duration> {
        let concerns = |part: &&PartDigest| {
            let record = self.records.get(*part);
            record.is_some_and(|record| record.is_quarantined_for(workspace))
        };
        let concerned = parts.iter().filter(concerns);
        concerned
            .filter_map(|part| self.part_quarantine(millis(now), *part))
            .max()
    }

    /// Returns the remaining time of the quarantine of a part, whichever workspaces it concerns.
    fn part_quarantine(&self, now: i64, part: PartDigest) -> Option<Duration> {
        let record = self.records.get(&part)?;
        record.quarantine(now, self.crashes(part))
    }

    /// Returns whether a request of a workspace with the parts may crash its worker, so that all hosts
    /// together run one such request at a time: a part has as many crashes as a quarantined one, but
    /// all of them may have another cause, were under requests of other workspaces, or lie back
    /// longer than a quarantine.
    #[must_use]
    pub fn is_suspect(
        &self,
        now: ClockTime,
        workspace: Option<&WorkspaceName>,
        parts: &[PartDigest],
    ) -> bool {
        let mut frequent = parts
            .iter()
            .filter(|part| self.crashes(**part) >= CRASHES_TO_QUARANTINE);
        frequent.any(|part| self.quarantine(now, workspace, &[*part]).is_none())
    }

    /// Records a crash for the parts of a request, and returns the reports for the other hosts.
    ///
    /// Parts of a sound answer that began within [`SOUND_TIME`] are left out.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        request: &CrashedRequest<'_>,
    ) -> Vec<PartReport> {
        self.forget_sound(now);
        let candidates = request
            .parts
            .iter()
            .take(MAX_CANDIDATES)
            .filter(|part| !self.is_sound(now, **part));
        let report = |part: &PartDigest| PartReport {
            part: *part,
            workspaces: vec![request.workspace.cloned()],
            repeated: request.confirmed && request.suspected.contains(part),
            crashes: vec![CrashReport {
                worker: request.worker.clone(),
                age: Duration::ZERO,
            }],
        };
        let reports: Vec<PartReport> = candidates.map(report).collect();
        self.merge(now, &reports);
        reports
    }

    /// Merges the reports of another host, and returns those of them that changed the register, with
    /// ages as of now.
    pub fn merge(&mut self, now: ClockTime, reports: &[PartReport]) -> Vec<PartReport> {
        let now = millis(now);
        let mut news = Vec::new();
        for report in reports {
            let crashes = report.crashes.iter().map(|crash| CrashRecord {
                worker: crash.worker.clone(),
                crashed_at: now.saturating_sub_unsigned(whole_millis(crash.age)),
            });
            let mut is_new = false;
            for crash in crashes {
                let record = self.records.entry(report.part).or_default();
                is_new |= record.add(report, crash);
            }
            if is_new {
                news.push(report.clone());
            }
        }
        self.evict(now);
        self.explain_crashes(now);
        news.retain(|report| self.records.contains_key(&report.part));
        news
    }

    /// Recomputes which crashes are explained by a quarantined part with more crashes. Parts with many
    /// crashes come first, so that a part whose crashes are explained explains none.
    fn explain_crashes(&mut self, now: i64) {
        self.explained.clear();
        let records = self.records.iter();
        let mut causes: Vec<PartDigest> = records
            .filter(|(_, record)| record.quarantine(now, record.crashes.len()).is_some())
            .map(|(part, _)| *part)
            .collect();
        causes.sort_by_key(|part| Reverse(self.records[part].crashes.len()));
        for part in causes {
            if self.part_quarantine(now, part).is_none() {
                continue;
            }
            let cause = &self.records[&part];
            for (neighbour, record) in &self.records {
                if record.crashes.len() >= cause.crashes.len() {
                    continue;
                }
                let crashes = record.crashes.iter();
                let explained = crashes.filter(|crash| cause.has_crash(crash)).count();
                let known = self.explained.entry(*neighbour).or_default();
                *known = explained.max(*known);
            }
        }
        self.explained.retain(|_, explained| *explained > 0);
    }

    /// Removes the crashes of the parts of a request before a sound answer to it began, and returns
    /// the parts that had a crash on record, for the other hosts. `age` is the time since that answer
    /// began.
    pub fn record_answer(
        &mut self,
        now: ClockTime,
        age: Duration,
        parts: &[PartDigest],
    ) -> Vec<PartDigest> {
        let known = parts.iter().filter(|part| self.records.contains_key(*part));
        let known = known.copied().collect();
        self.clear(now, age, parts);
        known
    }

    /// Removes the crashes of parts before a sound answer, at this host or another, began; returns
    /// those of the parts for which that changed the register.
    pub fn clear(
        &mut self,
        now: ClockTime,
        age: Duration,
        parts: &[PartDigest],
    ) -> Vec<PartDigest> {
        self.forget_sound(now);
        let began_at = millis(now).saturating_sub_unsigned(whole_millis(age));
        let is_recent = age < SOUND_TIME;
        let mut news = Vec::new();
        for part in parts.iter().take(MAX_CANDIDATES) {
            let mut is_new = false;
            if let Some(record) = self.records.get_mut(part) {
                let known = record.crashes.len();
                record.crashes.retain(|crash| crash.crashed_at > began_at);
                is_new = record.crashes.len() < known;
            }
            let is_newest = self.sound.get(part).is_none_or(|known| began_at > *known);
            if is_recent && is_newest {
                self.sound.insert(*part, began_at);
                self.sound_by_age.push_back((began_at, *part));
                is_new = true;
            }
            if is_new {
                news.push(*part);
            }
        }
        self.records.retain(|_, record| !record.crashes.is_empty());
        self.explain_crashes(millis(now));
        news
    }

    /// Returns reports of the parts with several crashes, those with most first, for a host that may
    /// have missed them. They hold the latest crashes that a quarantine needs.
    #[must_use]
    pub fn reports(&self, now: ClockTime) -> Vec<PartReport> {
        self.reports_of(now, MIN_REPORTED_CRASHES)
    }

    /// Returns reports of the parts that are in quarantine or suspect, which must outlive all hosts.
    #[must_use]
    pub fn lasting_reports(&self, now: ClockTime) -> Vec<PartReport> {
        self.reports_of(now, CRASHES_TO_QUARANTINE)
    }

    fn reports_of(&self, now: ClockTime, min_crashes: usize) -> Vec<PartReport> {
        let now = millis(now);
        let records = self.records.iter();
        let several = records.filter(|(part, _)| self.crashes(**part) >= min_crashes);
        let mut records: Vec<(&PartDigest, &PartRecord)> = several.collect();
        records.sort_by_key(|(_, record)| Reverse((record.crashes.len(), record.newest_crash())));
        records.truncate(MAX_REPORTED_PARTS);
        let report = |(part, record): (&PartDigest, &PartRecord)| PartReport {
            part: *part,
            workspaces: record.workspaces.iter().cloned().collect(),
            repeated: record.repeated,
            crashes: record.latest_crashes(now),
        };
        records.into_iter().map(report).collect()
    }

    /// Returns the number of crashes on record for a part that no other part explains.
    #[must_use]
    pub fn crashes(&self, part: PartDigest) -> usize {
        let record = self.records.get(&part);
        let crashes = record.map_or(0, |record| record.crashes.len());
        let explained = self.explained.get(&part).copied().unwrap_or(0);
        crashes - explained
    }

    fn is_sound(&self, now: ClockTime, part: PartDigest) -> bool {
        let began_at = self.sound.get(&part);
        began_at.is_some_and(|began_at| time_since(now, *began_at) < SOUND_TIME)
    }

    fn forget_sound(&mut self, now: ClockTime) {
        while let Some((began_at, part)) = self.sound_by_age.front().copied() {
            let is_old = time_since(now, began_at) >= SOUND_TIME;
            if !is_old && self.sound_by_age.len() < MAX_SOUND_PARTS {
                return;
            }
            self.sound_by_age.pop_front();
            if self.sound.get(&part) == Some(&began_at) {
                self.sound.remove(&part);
            }
        }
    }

    fn evict(&mut self, now: i64) {
        let is_recent = |record: &PartRecord| {
            let age = u64::try_from(now - record.newest_crash()).unwrap_or(0);
            Duration::from_millis(age) < RECORD_TIME
        };
        self.records.retain(|_, record| is_recent(record));
        while self.records.len() > MAX_PARTS {
            let least = self.records.iter().min_by_key(|(_, record)| {
                let quarantined = record.repeated && record.crashes.len() >= CRASHES_TO_QUARANTINE;
                (quarantined, record.crashes.len(), record.newest_crash())
            });
            let Some((part, _)) = least else { return };
            let part = *part;
            self.records.remove(&part);
        }
    }
}
