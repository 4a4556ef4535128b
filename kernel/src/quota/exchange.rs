//! Who reports its use of quotas to whom in a large deployment.
//!
//! In each data centre two hosts, the bundlers, receive the reports of all its hosts and send each of
//! them bundles of what they received. So what any other host sends and receives doesn't depend on the
//! number of hosts. Each report reaches all hosts by two ways; a repeated one changes nothing.
//!
//! A host knows from its own reports in the bundles that they are passed on. While they are not, it
//! reports to all hosts of its data centre by itself, and asks them to do the same for it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::peer::REPORT_TIMEOUT;
use crate::clock::ClockTime;
use crate::name::HostName;
use crate::name::WorkspaceName;

/// The interval between two bundles of a bundler.
pub const BUNDLE_INTERVAL: Duration = Duration::from_millis(125);

/// The number of bundles for each report of a host.
pub const BUNDLES_PER_REPORT: u32 = 2;

/// The interval between two reports of a host.
pub const REPORT_INTERVAL: Duration = BUNDLE_INTERVAL.saturating_mul(BUNDLES_PER_REPORT);

/// The time between two reports from which on a host takes itself to be late, and not the others.
const LATE_TIME: Duration = Duration::from_millis(500);

/// The time for which a host is reported to directly after it asked for it: two of its reports may be
/// lost.
const WANTED_TIME: Duration = Duration::from_secs(1);

/// The maximum number of uses and reports in a bundle; more are sent in several bundles.
const MAX_BUNDLED_USES: usize = 2_048;

/// The units that a host has charged to the quota of one workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceUsage {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The total units charged since the sending host created its bucket for the quota, less
    /// refunds.
    pub units: f64,
}

/// A host's report of its use of quotas, which another host passes on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PassedReport {
    /// The host that made the report.
    pub host: HostName,
    /// The random number that its process drew at its start.
    pub source: u64,
    /// The time since the start of the process, when it made the report.
    pub age: Duration,
    /// The workspaces whose usage changed since the last report that was passed on, or all of them.
    pub uses: Vec<WorkspaceUsage>,
}

/// Reports that one host sends to all of its data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReportBundle {
    /// Whether the sender asks for direct reports, since those of its own are not passed on.
    pub wants_reports: bool,
    /// The reports.
    pub reports: Vec<PassedReport>,
}

/// A linked host, as far as it matters for reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportPeer {
    /// The host.
    pub host: HostName,
    /// Whether it is in the data centre of this host.
    pub is_near: bool,
    /// Whether its build knows sums of data centres.
    pub takes_sums: bool,
    /// Whether its build knows bundles.
    pub takes_bundles: bool,
}

/// A host that passes the reports of its data centre on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportBundler {
    /// The host.
    pub host: HostName,
    /// The random number that its process drew at its start; `None` while there is no link to it.
    pub source: Option<u64>,
}

/// The receivers of a host's next report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportPlan {
    /// The hosts that are sent the report alone.
    pub direct: Vec<HostName>,
    /// The hosts that are sent it as a bundle that asks for direct reports.
    pub asked: Vec<HostName>,
    /// Whether all uses are due, since the receivers may lack those of earlier reports.
    pub is_full: bool,
}

/// What a bundler received of a host since its last bundle.
#[derive(Clone, Debug)]
struct CollectedReport {
    source: u64,
    age: Duration,
    uses: BTreeMap<WorkspaceName, f64>,
}

/// The exchange of reports between the hosts of one data centre, on one of them.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::name::HostName;
/// use borageladder_kernel::quota::ReportBundler;
/// use borageladder_kernel::quota::ReportExchange;
/// use borageladder_kernel::quota::ReportPeer;
///
/// let names = ["front-1", "front-2", "front-3", "front-4"];
/// let hosts: Vec<HostName> = names.iter().flat_map(|name| name.parse()).collect();
/// let peers = hosts[1..].iter().map(|host| ReportPeer {
///     host: host.clone(),
///     is_near: true,
///     takes_sums: true,
///     takes_bundles: true,
/// });
/// let peers: Vec<ReportPeer> = peers.collect();
/// let bundler = |host: &HostName| ReportBundler { host: host.clone(), source: Some(7) };
/// let bundlers = [bundler(&hosts[1]), bundler(&hosts[2])];
/// let mut exchange = ReportExchange::new(hosts[0].clone());
/// let plan = exchange.plan(ClockTime::from_millis(250), &bundlers, &peers);
/// assert_eq!(plan.direct, hosts[1..3]);
/// ```
#[derive(Clone, Debug)]
pub struct ReportExchange {
    own: HostName,
    /// The bundlers by the last plan.
    bundlers: Vec<ReportBundler>,
    /// The time of the last plan.
    planned_at: ClockTime,
    /// The last time at which the host's reports were known to be passed on.
    confirmed_at: ClockTime,
    /// Whether the last plan was made without bundlers that pass reports on.
    is_alone: bool,
    collected: BTreeMap<HostName, CollectedReport>,
    /// The hosts that asked for direct reports, with the times.
    wanted: BTreeMap<HostName, ClockTime>,
}

impl ReportExchange {
    /// Creates the exchange of a host that has received no reports.
    #[must_use]
    pub const fn new(own: HostName) -> Self {
        Self {
            own,
            bundlers: Vec::new(),
            planned_at: ClockTime::ZERO,
            confirmed_at: ClockTime::ZERO,
            is_alone: false,
            collected: BTreeMap::new(),
            wanted: BTreeMap::new(),
        }
    }

    /// Returns who is sent the next report of this host; `bundlers` are those of its data centre in its
    /// own view, and `peers` the linked hosts.
    #[must_use]
    pub fn plan(
        &mut self,
        now: ClockTime,
        bundlers: &[ReportBundler],
        peers: &[ReportPeer],
    ) -> ReportPlan {
        let were_alone = self.is_alone;
        let is_changed = self.bundlers != bundlers;
        let is_late = now.since(self.planned_at) > LATE_TIME;
        if !were_alone && (is_changed || is_late) {
            self.confirmed_at = now;
        }
        self.planned_at = now;
        if is_changed {
            self.bundlers = bundlers.to_vec();
        }
        if !self.is_bundler() {
            self.collected.clear();
        }
        let is_overdue = now.since(self.confirmed_at) > REPORT_TIMEOUT;
        self.is_alone = !self.is_bundler() && is_overdue;
        self.wanted
            .retain(|_, asked_at| now.since(*asked_at) < WANTED_TIME);
        ReportPlan {
            direct: self.receivers(peers, ReportForm::Direct),
            asked: self.receivers(peers, ReportForm::Asking),
            is_full: is_changed || were_alone != self.is_alone,
        }
    }

    /// Returns whether this host sends bundles, by the last plan.
    #[must_use]
    pub fn is_bundler(&self) -> bool {
        self.is_bundled_by(&self.own)
    }

    /// Returns whether this host reports to all hosts of its data centre, by the last plan, since its
    /// reports are not passed on.
    #[must_use]
    pub const fn is_alone(&self) -> bool {
        self.is_alone
    }

    /// Records a report that a host of the data centre made to this one, or a report of this host, to
    /// be passed on in the next bundle. What a host receives before the plan that makes it a bundler is
    /// passed on too.
    pub fn collect(&mut self, report: &PassedReport) {
        let fresh = || CollectedReport {
            source: report.source,
            age: report.age,
            uses: BTreeMap::new(),
        };
        let known = self.collected.entry(report.host.clone());
        let known = known.or_insert_with(fresh);
        if known.source != report.source {
            *known = fresh();
        }
        known.age = known.age.max(report.age);
        let uses = report.uses.iter();
        let uses = uses.map(|usage| (usage.workspace.clone(), usage.units));
        known.uses.extend(uses);
    }

    /// Returns the bundles to be sent to all hosts of the data centre, none if there is nothing to pass
    /// on. A host that is no bundler any more passes nothing on.
    pub fn take_bundles(&mut self) -> Vec<ReportBundle> {
        if !self.is_bundler() {
            return Vec::new();
        }
        let collected = std::mem::take(&mut self.collected);
        let mut bundles = vec![ReportBundle::default()];
        let mut room = MAX_BUNDLED_USES;
        for report in collected.into_iter().flat_map(split_report) {
            // A report without uses takes room as well.
            let size = report.uses.len() + 1;
            if size > room {
                bundles.push(ReportBundle::default());
                room = MAX_BUNDLED_USES;
            }
            room = room.saturating_sub(size);
            if let Some(bundle) = bundles.last_mut() {
                bundle.reports.push(report);
            }
        }
        bundles.retain(|bundle| !bundle.reports.is_empty());
        bundles
    }

    /// Records a bundle of another host of the data centre; `source` is the process of this host.
    pub fn record_bundle(
        &mut self,
        now: ClockTime,
        from: &HostName,
        source: u64,
        bundle: &ReportBundle,
    ) {
        if bundle.wants_reports {
            self.wanted.insert(from.clone(), now);
        }
        let mut reports = bundle.reports.iter();
        if reports.any(|report| report.host == self.own && report.source == source) {
            self.confirmed_at = now;
        }
    }

    fn is_bundled_by(&self, host: &HostName) -> bool {
        self.bundlers.iter().any(|bundler| bundler.host == *host)
    }

    fn receivers(&self, peers: &[ReportPeer], form: ReportForm) -> Vec<HostName> {
        let receivers = peers.iter().filter(|peer| self.form(peer) == form);
        receivers.map(|peer| peer.host.clone()).collect()
    }

    fn form(&self, peer: &ReportPeer) -> ReportForm {
        if !peer.takes_sums {
            return ReportForm::Direct;
        }
        if !peer.is_near {
            return ReportForm::None;
        }
        let is_bundler = self.is_bundled_by(&peer.host);
        if !peer.takes_bundles || is_bundler {
            return ReportForm::Direct;
        }
        if self.is_alone {
            ReportForm::Asking
        } else if self.wanted.contains_key(&peer.host) {
            ReportForm::Direct
        } else {
            ReportForm::None
        }
    }
}

/// Returns what was collected of a host as reports that each fit into a bundle. A receiver takes the
/// uses of all of them, as they are of the same age.
fn split_report((host, report): (HostName, CollectedReport)) -> Vec<PassedReport> {
    let CollectedReport { source, age, uses } = report;
    let uses = uses.into_iter();
    let uses = uses.map(|(workspace, units)| WorkspaceUsage { workspace, units });
    let uses: Vec<WorkspaceUsage> = uses.collect();
    let passed = |uses: &[WorkspaceUsage]| PassedReport {
        host: host.clone(),
        source,
        age,
        uses: uses.to_vec(),
    };
    if uses.is_empty() {
        return vec![passed(&uses)];
    }
    uses.chunks(MAX_BUNDLED_USES - 1).map(passed).collect()
}

/// How a host is sent the reports of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReportForm {
    /// By bundles of other hosts, or in the sum of a data centre.
    None,
    /// By a report of its own.
    Direct,
    /// By a bundle that asks for direct reports.
    Asking,
}
