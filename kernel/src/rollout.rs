//! How a configuration version comes into force on every host.
//!
//! A host takes new work only while it knows that its version is not outdated: it must have applied
//! the highest version that it heard of, and within [`FRESHNESS_BOUND`] it must have asked the table
//! or a host that was itself up to date. The time that counts is that of the question, on the own
//! clock, so an answer that waited in a buffer while the host was frozen proves nothing.
//!
//! A host confirms a version for its data centre once every host there whose heartbeats arrive has
//! applied it. Silent hosts are waited out: a change is accepted only [`RolloutTimes::settle`] after
//! the last data centre confirmed it, when no silent host can take work any more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::configuration::ConfigVersion;
use crate::membership::HEARTBEAT_TIMEOUT;
use crate::name::DatacenterName;
use crate::name::HostName;

/// The time without news from the table or a host after which no new work is taken.
pub const FRESHNESS_BOUND: Duration = Duration::from_secs(2);

/// The time after which a change that is not accepted is reported as recorded.
pub const CHANGE_DEADLINE: Duration = Duration::from_millis(6_800);

/// The time between two events from which on this host counts as having been frozen.
pub const FREEZE_GAP: Duration = Duration::from_secs(1);

/// The time after which a version that was asked for is asked for again elsewhere.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The time bounds of a rollout.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RolloutTimes {
    /// The time without news after which no new work is taken.
    pub freshness: Duration,
    /// The time without a heartbeat after which a host counts as silent.
    pub silence: Duration,
    /// The time from the last confirmation to the acceptance; longer than `freshness`.
    pub settle: Duration,
    /// The time between two events from which on this host counts as having been frozen.
    pub freeze_gap: Duration,
    /// The time after which a version is asked for again.
    pub fetch: Duration,
    /// The time after which a change that is not accepted is reported as recorded.
    pub deadline: Duration,
}

impl Default for RolloutTimes {
    fn default() -> Self {
        Self {
            freshness: FRESHNESS_BOUND,
            silence: HEARTBEAT_TIMEOUT,
            settle: HEARTBEAT_TIMEOUT,
            freeze_gap: FREEZE_GAP,
            fetch: FETCH_TIMEOUT,
            deadline: CHANGE_DEADLINE,
        }
    }
}

/// What a heartbeat says about the versions of its sender.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HostReport {
    /// The data centre of the sender.
    pub datacenter: DatacenterName,
    /// The version in force on the sender.
    pub applied: ConfigVersion,
    /// The highest version that the sender knows to exist.
    pub known: ConfigVersion,
    /// The highest version that every live host of the sender's data centre has applied.
    pub confirmed: ConfigVersion,
    /// Whether the sender knows that `known` is not outdated.
    pub fresh: bool,
    /// The time of this host's last heartbeat that the sender received.
    pub echo: Option<ClockTime>,
}

/// The versions that this host reports in its heartbeats.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OwnReport {
    /// The version in force on this host.
    pub applied: ConfigVersion,
    /// The highest version that this host knows to exist.
    pub known: ConfigVersion,
    /// The highest version that every live host of this data centre has applied.
    pub confirmed: ConfigVersion,
    /// Whether this host knows that `known` is not outdated.
    pub fresh: bool,
}

/// What a change still lacks when it is reported as recorded.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RolloutLack {
    /// The data centre has not confirmed the version.
    Datacenter(DatacenterName),
    /// The host has not applied the version.
    Host {
        /// The data centre of the host.
        datacenter: DatacenterName,
        /// The host.
        host: HostName,
    },
}

/// How far a change has come.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChangeProgress {
    /// The version is in force wherever work is taken.
    Accepted,
    /// The version is in the table and will come into force, but was not yet confirmed everywhere.
    Recorded {
        /// The data centres and hosts that have not confirmed it; empty if only the wait for
        /// silent hosts is not over.
        lacking: Vec<RolloutLack>,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RolloutAction {
    /// Send a heartbeat with the new versions to every linked host now.
    Announce,
    /// Ask a host for its configuration.
    FetchFrom(HostName),
    /// Read the configuration from the table.
    FetchFromTable,
    /// Tell the operator how far the change has come; it is not watched any more.
    Report {
        /// The version that the change made.
        version: ConfigVersion,
        /// How far it has come.
        progress: ChangeProgress,
    },
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct PeerVersions {
    report: HostReport,
    heard: ClockTime,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct PendingChange {
    deadline: ClockTime,
    complete: Option<ClockTime>,
}

/// The versions of this host and of the hosts that it hears.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rollout {
    times: RolloutTimes,
    datacenter: DatacenterName,
    alone: bool,
    applied: ConfigVersion,
    known: ConfigVersion,
    known_from: Option<HostName>,
    /// The time of the last question whose answer proved this host up to date.
    proven: Option<ClockTime>,
    /// The time of the last event.
    latest: ClockTime,
    /// The time since which this host runs without having been frozen.
    awake: ClockTime,
    fetched: Option<ClockTime>,
    confirmed: BTreeMap<DatacenterName, ConfigVersion>,
    required: BTreeSet<DatacenterName>,
    gone: BTreeSet<DatacenterName>,
    peers: BTreeMap<HostName, PeerVersions>,
    pending: BTreeMap<ConfigVersion, PendingChange>,
}

impl Rollout {
    /// Creates the state of a host that starts at `now` and holds no version that is vouched for.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::clock::ClockTime;
    /// use borageladder_kernel::configuration::ConfigVersion;
    /// use borageladder_kernel::name::DatacenterName;
    /// use borageladder_kernel::rollout::Rollout;
    /// use borageladder_kernel::rollout::RolloutTimes;
    ///
    /// let datacenter = DatacenterName::try_from("sapporo-a")?;
    /// let now = ClockTime::ZERO;
    /// let mut rollout = Rollout::new(datacenter, RolloutTimes::default(), now);
    /// assert!(!rollout.may_take_work(now));
    /// rollout.table_read(now, now, ConfigVersion(0));
    /// assert!(rollout.may_take_work(now));
    /// # Ok::<(), borageladder_kernel::name::NameError>(())
    /// ```
    #[must_use]
    pub fn new(datacenter: DatacenterName, times: RolloutTimes, now: ClockTime) -> Self {
        Self {
            times,
            datacenter,
            alone: false,
            applied: ConfigVersion(0),
            known: ConfigVersion(0),
            known_from: None,
            proven: None,
            latest: now,
            awake: now,
            fetched: None,
            confirmed: BTreeMap::new(),
            required: BTreeSet::new(),
            gone: BTreeSet::new(),
            peers: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Returns whether new work may be taken: the highest known version is in force here and was
    /// proven not to be outdated within the freshness bound.
    #[must_use]
    pub fn may_take_work(&self, now: ClockTime) -> bool {
        self.applied >= self.known && self.is_fresh(now)
    }

    /// Returns what heartbeats have to report.
    #[must_use]
    pub fn report(&self, now: ClockTime) -> OwnReport {
        OwnReport {
            applied: self.applied,
            known: self.known,
            confirmed: self.confirmed_by(&self.datacenter),
            fresh: self.is_fresh(now),
        }
    }

    /// Returns the version in force on this host.
    #[must_use]
    pub fn applied(&self) -> ConfigVersion {
        self.applied
    }

    /// Returns the highest version that this host knows to exist.
    #[must_use]
    pub fn known(&self) -> ConfigVersion {
        self.known
    }

    /// Sets whether this host is the only one of its data centre, as far as the settings and all
    /// hosts that were ever heard tell.
    ///
    /// Nobody else can then confirm a version for the data centre, so the host needs no other to
    /// stay up to date, once the table or a host has vouched for its version.
    pub fn set_alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// Notes the heartbeat of a host.
    pub fn heard(
        &mut self,
        now: ClockTime,
        host: &HostName,
        report: HostReport,
    ) -> Vec<RolloutAction> {
        self.advance(now);
        let before = self.report(now);
        self.learn(report.known, Some(host));
        if report.fresh
            && let Some(echo) = report.echo
        {
            self.prove(echo);
        }
        let confirmed = self.confirmed.entry(report.datacenter.clone()).or_default();
        *confirmed = report.confirmed.max(*confirmed);
        let peer = PeerVersions { report, heard: now };
        self.peers.insert(host.clone(), peer);
        self.conclude(now, before)
    }

    /// Notes that the table held a version, or none if zero, when it was asked at `asked` or later.
    pub fn table_read(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        version: ConfigVersion,
    ) -> Vec<RolloutAction> {
        self.advance(now);
        let before = self.report(now);
        self.learn(version, None);
        self.prove(asked);
        self.conclude(now, before)
    }

    /// Notes that a configuration was received and returns whether it must be put in force, which
    /// it must unless one at least as high is.
    ///
    /// `gone` and `required` are the data centres that it declares gone or not.
    pub fn obtained(
        &mut self,
        now: ClockTime,
        version: ConfigVersion,
        required: BTreeSet<DatacenterName>,
        gone: BTreeSet<DatacenterName>,
    ) -> (bool, Vec<RolloutAction>) {
        self.advance(now);
        let before = self.report(now);
        let newer = version > self.applied;
        if newer {
            self.applied = version;
            self.required = required;
            self.gone = gone;
            self.fetched = None;
        }
        self.learn(version, None);
        (newer, self.conclude(now, before))
    }

    /// Watches a version that an operator's change made through this host.
    ///
    /// A [`RolloutAction::Report`] follows at the latest after [`RolloutTimes::deadline`].
    pub fn watch(&mut self, now: ClockTime, version: ConfigVersion) -> Vec<RolloutAction> {
        self.advance(now);
        let before = self.report(now);
        let deadline = now + self.times.deadline;
        let change = PendingChange {
            deadline,
            complete: None,
        };
        self.pending.insert(version, change);
        self.conclude(now, before)
    }

    /// Lets time pass; must be called several times within the freeze gap.
    pub fn tick(&mut self, now: ClockTime) -> Vec<RolloutAction> {
        self.advance(now);
        let before = self.report(now);
        if self.alone && self.is_fresh(now) {
            self.prove(now);
        }
        self.conclude(now, before)
    }

    /// Forgets a host that is dead for good.
    pub fn forget(&mut self, host: &HostName) {
        self.peers.remove(host);
    }

    fn is_fresh(&self, now: ClockTime) -> bool {
        self.proven
            .is_some_and(|proven| now.since(proven) < self.times.freshness)
    }

    fn advance(&mut self, now: ClockTime) {
        if now.since(self.latest) >= self.times.freeze_gap {
            // What other hosts sent meanwhile may still wait to be read, so none of them is silent.
            self.awake = now;
        }
        self.latest = now;
    }

    fn learn(&mut self, version: ConfigVersion, from: Option<&HostName>) {
        if version > self.known {
            self.known = version;
            self.known_from = from.cloned();
            self.fetched = None;
        }
    }

    fn prove(&mut self, asked: ClockTime) {
        // A time to come can only stem from another process.
        if asked <= self.latest {
            self.proven = self.proven.max(Some(asked));
        }
    }

    fn confirmed_by(&self, datacenter: &DatacenterName) -> ConfigVersion {
        let confirmed = self.confirmed.get(datacenter);
        confirmed.copied().unwrap_or_default()
    }

    fn is_silent(&self, now: ClockTime, peer: &PeerVersions) -> bool {
        now.since(peer.heard.max(self.awake)) >= self.times.silence
    }

    fn conclude(&mut self, now: ClockTime, before: OwnReport) -> Vec<RolloutAction> {
        self.confirm_own(now);
        let mut actions = Vec::new();
        let after = self.report(now);
        if after.known > before.known
            || after.applied > before.applied
            || after.confirmed > before.confirmed
        {
            actions.push(RolloutAction::Announce);
        }
        actions.extend(self.fetch(now));
        self.settle(now, &mut actions);
        actions
    }

    /// Confirms for the own data centre what all of its hosts have applied that are not silent.
    fn confirm_own(&mut self, now: ClockTime) {
        let settled = now.since(self.awake) >= self.times.silence || self.alone;
        if !settled || !self.is_fresh(now) {
            return;
        }
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.report.datacenter == self.datacenter);
        let peers = peers.filter(|peer| !self.is_silent(now, peer));
        let lowest = peers.map(|peer| peer.report.applied).min();
        let version = lowest.map_or(self.applied, |lowest| lowest.min(self.applied));
        let confirmed = self.confirmed.entry(self.datacenter.clone()).or_default();
        *confirmed = version.max(*confirmed);
    }

    fn fetch(&mut self, now: ClockTime) -> Option<RolloutAction> {
        if self.applied >= self.known {
            return None;
        }
        match self.fetched {
            None => {
                self.fetched = Some(now);
                let source = self.known_from.clone();
                Some(source.map_or(RolloutAction::FetchFromTable, RolloutAction::FetchFrom))
            }
            Some(fetched) if now.since(fetched) >= self.times.fetch => {
                self.fetched = Some(now);
                Some(self.other_source(now))
            }
            Some(_) => None,
        }
    }

    /// Returns the next host after the last one asked that holds the wanted version, or the table.
    fn other_source(&mut self, now: ClockTime) -> RolloutAction {
        let sources = self.peers.iter();
        let sources = sources.filter(|(_, peer)| peer.report.applied >= self.known);
        let mut sources = sources.filter(|(_, peer)| !self.is_silent(now, peer));
        let next = sources.find(|(host, _)| Some(*host) > self.known_from.as_ref());
        let next = next.map(|(host, _)| host.clone());
        self.known_from.clone_from(&next);
        next.map_or(RolloutAction::FetchFromTable, RolloutAction::FetchFrom)
    }

    fn settle(&mut self, now: ClockTime, actions: &mut Vec<RolloutAction>) {
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|version, change| {
            let progress = self.progress(now, *version, change);
            let Some(progress) = progress else {
                return true;
            };
            let version = *version;
            actions.push(RolloutAction::Report { version, progress });
            false
        });
        self.pending = pending;
    }

    fn progress(
        &self,
        now: ClockTime,
        version: ConfigVersion,
        change: &mut PendingChange,
    ) -> Option<ChangeProgress> {
        let needed = self.needed();
        let missing = needed.into_iter();
        let missing = missing.filter(|datacenter| self.confirmed_by(datacenter) < version);
        let missing: Vec<DatacenterName> = missing.collect();
        if missing.is_empty() {
            let complete = *change.complete.get_or_insert(now);
            let only_host = self.alone && self.peers.is_empty();
            if only_host || now.since(complete) >= self.times.settle {
                return Some(ChangeProgress::Accepted);
            }
        } else {
            change.complete = None;
        }
        (now >= change.deadline).then(|| ChangeProgress::Recorded {
            lacking: self.lacking(now, version, missing),
        })
    }

    /// Returns the data centres that must confirm: all that are configured or were heard and that
    /// are not declared gone.
    fn needed(&self) -> BTreeSet<DatacenterName> {
        let mut needed = self.required.clone();
        let heard = self.peers.values();
        needed.extend(heard.map(|peer| peer.report.datacenter.clone()));
        needed.extend(self.confirmed.keys().cloned());
        needed.insert(self.datacenter.clone());
        needed.retain(|datacenter| !self.gone.contains(datacenter));
        needed
    }

    fn lacking(
        &self,
        now: ClockTime,
        version: ConfigVersion,
        missing: Vec<DatacenterName>,
    ) -> Vec<RolloutLack> {
        let mut lacking = Vec::new();
        for datacenter in missing {
            let hosts = self.peers.iter();
            let hosts = hosts.filter(|(_, peer)| peer.report.datacenter == datacenter);
            let hosts = hosts.filter(|(_, peer)| peer.report.applied < version);
            let hosts = hosts.filter(|(_, peer)| !self.is_silent(now, peer));
            let hosts: Vec<RolloutLack> = hosts
                .map(|(host, _)| RolloutLack::Host {
                    datacenter: datacenter.clone(),
                    host: host.clone(),
                })
                .collect();
            lacking.push(RolloutLack::Datacenter(datacenter));
            lacking.extend(hosts);
        }
        lacking
    }
}
