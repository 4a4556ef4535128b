//! The counts by which a target is judged, of one host and of all hosts.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::order::ReleaseOrder;
use super::split::VersionSide;
use super::state::ReleaseCounts;
use super::tally::VersionTally;
use crate::name::HostName;
use crate::name::WorkerName;

/// What a tally counts.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TallyKey {
    /// The route of the requests: its host name and path prefix.
    pub route: String,
    /// The side that the requests were sent to.
    pub side: VersionSide,
    /// The worker that they were sent to; `None` if the workers of the side are counted together, which
    /// is enough for the baseline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerName>,
}

/// A tally with what it counts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TallyEntry {
    /// What is counted.
    pub key: TallyKey,
    /// The counts.
    pub tally: VersionTally,
}

/// The counts of one run of a host's process for one order, cumulative since the host learned of the
/// order.
///
/// A report may leave out entries that have not changed since the last one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseEvidence {
    /// The order. Counts of different orders are never added.
    pub order: ReleaseOrder,
    #[serde(with = "entries")]
    tallies: BTreeMap<TallyKey, VersionTally>,
}

/// Writes the tallies as a list, since not all formats have maps with such keys.
mod entries {
    use std::collections::BTreeMap;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    use super::TallyEntry;
    use super::TallyKey;
    use super::VersionTally;

    pub(super) fn serialize<S: Serializer>(
        tallies: &BTreeMap<TallyKey, VersionTally>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(tallies.iter().map(|(key, tally)| TallyEntry {
            key: key.clone(),
            tally: tally.clone(),
        }))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<TallyKey, VersionTally>, D::Error> {
        let entries = Vec::<TallyEntry>::deserialize(deserializer)?;
        let pairs = entries.into_iter().map(|entry| (entry.key, entry.tally));
        Ok(pairs.collect())
    }
}

impl ReleaseEvidence {
    /// Creates the evidence of an order without counts.
    #[must_use]
    pub const fn new(order: ReleaseOrder) -> Self {
        Self {
            order,
            tallies: BTreeMap::new(),
        }
    }

    /// Returns the tally under a key, to count in it.
    pub fn tally(&mut self, key: TallyKey) -> &mut VersionTally {
        self.tallies.entry(key).or_default()
    }

    /// Iterates over the tallies.
    pub fn iter(&self) -> impl Iterator<Item = (&TallyKey, &VersionTally)> {
        self.tallies.iter()
    }

    /// Returns what was counted since an earlier state of the same counts.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut recent = self.clone();
        for (key, tally) in &earlier.tallies {
            if let Some(own) = recent.tallies.get_mut(key) {
                own.subtract(tally);
            }
        }
        recent
    }

    /// Returns the number of the answers of a side.
    #[must_use]
    pub fn answers(&self, side: VersionSide) -> u64 {
        let tallies = self.tallies.iter().filter(|(key, _)| key.side == side);
        tallies.map(|(_, tally)| tally.answers).sum()
    }

    /// Returns the requests that were counted.
    #[must_use]
    pub fn counts(&self) -> ReleaseCounts {
        let mut counts = ReleaseCounts::default();
        for (key, tally) in &self.tallies {
            counts.requests += tally.requests;
            if key.side == VersionSide::Target {
                counts.target_requests += tally.requests;
            }
        }
        counts
    }
}

/// The newest reports of all hosts for one order, by the runs of their processes.
///
/// Lost, repeated and reordered reports do no harm. The counts of a run that has ended stay.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::release::EvidenceTable;
/// use borageladder_kernel::release::ReleaseEvidence;
/// use borageladder_kernel::release::ReleaseOrder;
/// use borageladder_kernel::release::TallyKey;
/// use borageladder_kernel::release::VersionSide;
/// use borageladder_kernel::roster::StoreRevision;
///
/// let order = ReleaseOrder {
///     service: "drafter".parse()?,
///     revision: StoreRevision(7),
///     target: "v2".parse()?,
///     duration: Duration::from_secs(12),
/// };
/// let mut report = ReleaseEvidence::new(order.clone());
/// let key = TallyKey {
///     route: "letters.example/".to_owned(),
///     side: VersionSide::Target,
///     worker: Some("drafter-17".parse()?),
/// };
/// report.tally(key).requests += 1;
/// let mut table = EvidenceTable::new(order);
/// let host = "sapporo-1".parse()?;
/// table.record(&host, 1, &report);
/// table.record(&host, 1, &report);
/// assert_eq!(table.total().counts().target_requests, 1);
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct EvidenceTable {
    reports: BTreeMap<(HostName, u64), ReleaseEvidence>,
    /// The sum of the reports.
    total: ReleaseEvidence,
}

impl EvidenceTable {
    /// Creates a table without reports.
    #[must_use]
    pub fn new(order: ReleaseOrder) -> Self {
        Self {
            reports: BTreeMap::new(),
            total: ReleaseEvidence::new(order),
        }
    }

    /// Returns the order.
    #[must_use]
    pub const fn order(&self) -> &ReleaseOrder {
        &self.total.order
    }

    /// Records a report of a run of a host's process. Reports for another order are ignored.
    pub fn record(&mut self, host: &HostName, incarnation: u64, report: &ReleaseEvidence) {
        if report.order != self.total.order {
            return;
        }
        let run = (host.clone(), incarnation);
        let known = self.reports.entry(run);
        let known = known.or_insert_with(|| ReleaseEvidence::new(report.order.clone()));
        for (key, tally) in report.iter() {
            let own = known.tally(key.clone());
            let before = own.clone();
            own.keep_newest(tally);
            let mut added = own.clone();
            added.subtract(&before);
            self.total.tally(key.clone()).add(&added);
        }
    }

    /// Returns the sum of all reports.
    #[must_use]
    pub const fn total(&self) -> &ReleaseEvidence {
        &self.total
    }
}
