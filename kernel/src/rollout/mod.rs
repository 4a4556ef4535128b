//! How a configuration version comes into force on every host.
//!
//! A host takes new work only while it knows that its version is not outdated: it must have applied
//! the highest version that it heard of, and within [`FRESHNESS_BOUND`] it must have asked the table
//! or a host that was itself up to date. The time that counts is that of the question, on the own
//! clock, so an answer that waited in a buffer while the host was frozen proves nothing.
//!
//! A host confirms a version for its data centre once every host there whose heartbeats arrive has
//! applied it. A silent host is waited out: a change is accepted only [`RolloutTimes::settle`] after
//! the last data centre confirmed it, when no host that is cut off by itself can take work any more.
//! Two silent hosts may be cut off together and keep each other up to date, so a data centre confirms
//! nothing while two or more of its hosts fell silent without having said that they stop, until they
//! are heard again, were started anew, or stayed silent for [`RolloutTimes::memory`].

mod confirm;
mod report;
mod times;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::ClockTime;
use crate::configuration::ConfigVersion;
use crate::name::DatacenterName;
use crate::name::HostName;

pub use report::ChangeProgress;
pub use report::HostReport;
pub use report::OwnReport;
pub use report::RolloutAction;
pub use report::RolloutLack;
pub use times::CHANGE_DEADLINE;
pub use times::FETCH_TIMEOUT;
pub use times::FREEZE_GAP;
pub use times::FRESHNESS_BOUND;
pub use times::RolloutTimes;
pub use times::SILENT_MEMORY;

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

    /// Watches a version that an operator's change made through this host, which was asked for at
    /// `asked`.
    ///
    /// A [`RolloutAction::Report`] follows, at the latest [`RolloutTimes::deadline`] after `asked`.
    pub fn watch(
        &mut self,
        now: ClockTime,
        asked: ClockTime,
        version: ConfigVersion,
    ) -> Vec<RolloutAction> {
        self.advance(now);
        let before = self.report(now);
        let deadline = asked + self.times.deadline;
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
        self.forget_dead(now);
        self.conclude(now, before)
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
}
