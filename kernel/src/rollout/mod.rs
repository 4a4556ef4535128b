//! Rollout of configuration versions to every host.
//!
//! A host takes new work only while it has applied the highest version that it has seen and is
//! fresh. It is fresh if, within [`FRESHNESS_BOUND`], it has queried the platform's table or sent a
//! heartbeat that a host that was itself fresh has echoed. Freshness counts from the time at which
//! the query or the heartbeat was sent, on the local clock, not from the arrival of the answer,
//! because an answer may have waited in a buffer while the process was paused. A gateway host's
//! freshness is another: the age of its last read of the store, which
//! [`FreshnessGate`](crate::freshness::FreshnessGate) limits.
//!
//! A fresh host confirms a version for its data centre once every non-silent host there has applied
//! it. A change is accepted only [`RolloutTimes::acceptance_delay`] after the last data centre
//! confirmed it; by then a single host that was cut off is no longer fresh and takes no work. Two
//! hosts that are cut off together can keep each other fresh. A host therefore confirms nothing
//! while two or more other hosts of its data centre are silent without having reported that they
//! stop. A host no longer counts as silent once its heartbeats, or those of its restarted process,
//! arrive again, and is forgotten after [`RolloutTimes::retention`].

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
pub use report::UnconfirmedMember;
pub use times::CHANGE_DEADLINE;
pub use times::FETCH_TIMEOUT;
pub use times::FRESHNESS_BOUND;
pub use times::ROLLOUT_PAUSE_GAP;
pub use times::RolloutTimes;
pub use times::SILENT_HOST_RETENTION;

/// The versions that a peer last reported.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct PeerVersions {
    report: HostReport,
    /// The arrival time of the peer's last heartbeat.
    last_heartbeat: ClockTime,
}

/// A change that is tracked until its progress is reported.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct PendingChange {
    /// The time at which the change is reported even if it is not accepted.
    deadline: ClockTime,
    /// The time since which every required data centre has confirmed the version; `None` while one
    /// of them has not.
    confirmed_since: Option<ClockTime>,
}

/// The rollout state of one host: its own versions and those that its peers report.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rollout {
    times: RolloutTimes,
    datacenter: DatacenterName,
    sole_host: bool,
    applied: ConfigVersion,
    /// The highest version seen, applied or not.
    known: ConfigVersion,
    /// The source of the next or running fetch of `known`; `None` for the platform's table.
    fetch_source: Option<HostName>,
    /// The latest time at which `known` was up to date: when an answered query or an echoed
    /// heartbeat was sent, or at a tick of a sole host; `None` before the first of them.
    verified_at: Option<ClockTime>,
    /// The time of the last event.
    last_event: ClockTime,
    /// The start of the process or the end of its last pause.
    running_since: ClockTime,
    /// The time at which the running fetch started; `None` if none is running.
    fetch_started: Option<ClockTime>,
    /// The highest version that each data centre has confirmed, as far as this host knows.
    confirmed: BTreeMap<DatacenterName, ConfigVersion>,
    /// The data centres of the configuration in force that are not declared gone; see
    /// `required_datacenters` for the others that must confirm a version.
    required: BTreeSet<DatacenterName>,
    /// The data centres that the configuration in force declares gone.
    gone: BTreeSet<DatacenterName>,
    peers: BTreeMap<HostName, PeerVersions>,
    pending: BTreeMap<ConfigVersion, PendingChange>,
}

impl Rollout {
    /// Creates the state of a host that starts at `now` and has no verified version.
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
            sole_host: false,
            applied: ConfigVersion(0),
            known: ConfigVersion(0),
            fetch_source: None,
            verified_at: None,
            last_event: now,
            running_since: now,
            fetch_started: None,
            confirmed: BTreeMap::new(),
            required: BTreeSet::new(),
            gone: BTreeSet::new(),
            peers: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Returns whether this host may take new work: it has applied the highest version that it has
    /// seen and has verified within the freshness bound that no newer one exists.
    #[must_use]
    pub fn may_take_work(&self, now: ClockTime) -> bool {
        self.applied >= self.known && self.is_fresh(now)
    }

    /// Returns the versions to send in heartbeats.
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

    /// Returns the highest version that this host has seen, applied or not.
    #[must_use]
    pub fn known(&self) -> ConfigVersion {
        self.known
    }

    /// Sets whether this host is the only one of its data centre: no other one was ever seen there,
    /// and every seed peer was found to be in another data centre.
    ///
    /// No other host can then confirm a version for the data centre, so a host that is fresh stays
    /// fresh without further queries, unless no tick follows within the freshness bound.
    pub fn set_sole_host(&mut self, sole_host: bool) {
        self.sole_host = sole_host;
    }

    /// Processes a heartbeat of another host.
    pub fn heartbeat_received(
        &mut self,
        now: ClockTime,
        host: &HostName,
        report: HostReport,
    ) -> Vec<RolloutAction> {
        self.advance(now);
        let before = self.report(now);
        self.raise_known(report.known, Some(host));
        if report.fresh
            && let Some(echo) = report.echo
        {
            self.mark_verified(echo);
        }
        let confirmed = self.confirmed.entry(report.datacenter.clone()).or_default();
        *confirmed = report.confirmed.max(*confirmed);
        let peer = PeerVersions {
            report,
            last_heartbeat: now,
        };
        self.peers.insert(host.clone(), peer);
        self.finish_event(now, before)
    }

    /// Processes the answer to a query of the table that was sent at `queried_at`.
    ///
    /// Version zero means that the table holds no configuration.
    pub fn table_read(
        &mut self,
        now: ClockTime,
        queried_at: ClockTime,
        version: ConfigVersion,
    ) -> Vec<RolloutAction> {
        self.advance(now);
        let before = self.report(now);
        self.raise_known(version, None);
        self.mark_verified(queried_at);
        self.finish_event(now, before)
    }

    /// Processes a received configuration and returns whether it must be put in force, which is the
    /// case if its version is higher than the applied one.
    ///
    /// `gone` lists the data centres that the configuration declares gone, `required` its other
    /// data centres.
    pub fn configuration_received(
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
            self.fetch_started = None;
        }
        self.raise_known(version, None);
        (newer, self.finish_event(now, before))
    }

    /// Tracks a version that an operator created through this host by a request at `requested_at`.
    ///
    /// A [`RolloutAction::Report`] follows, at the latest with the first event that is
    /// [`RolloutTimes::deadline`] or more after `requested_at`.
    pub fn track_change(
        &mut self,
        now: ClockTime,
        requested_at: ClockTime,
        version: ConfigVersion,
    ) -> Vec<RolloutAction> {
        self.advance(now);
        let before = self.report(now);
        let deadline = requested_at + self.times.deadline;
        let change = PendingChange {
            deadline,
            confirmed_since: None,
        };
        self.pending.insert(version, change);
        self.finish_event(now, before)
    }

    /// Handles everything that is due at `now`; must be called several times within
    /// [`RolloutTimes::pause_gap`], or the process counts as paused.
    pub fn tick(&mut self, now: ClockTime) -> Vec<RolloutAction> {
        self.advance(now);
        let before = self.report(now);
        if self.sole_host && self.is_fresh(now) {
            self.mark_verified(now);
        }
        self.remove_expired_peers(now);
        self.finish_event(now, before)
    }

    fn is_fresh(&self, now: ClockTime) -> bool {
        self.verified_at
            .is_some_and(|verified_at| now.since(verified_at) < self.times.freshness)
    }

    /// Records the time of an event and detects a pause since the previous event.
    fn advance(&mut self, now: ClockTime) {
        if now.since(self.last_event) >= self.times.pause_gap {
            // Heartbeats that arrived during the pause may still be unread, so no peer counts
            // as silent yet.
            self.running_since = now;
        }
        self.last_event = now;
    }

    /// Raises `known` to a higher version, which is to be fetched from the host `from`, or from the
    /// table if `None`.
    fn raise_known(&mut self, version: ConfigVersion, from: Option<&HostName>) {
        if version > self.known {
            self.known = version;
            self.fetch_source = from.cloned();
            self.fetch_started = None;
        }
    }

    /// Records that `known` was up to date at `at`.
    fn mark_verified(&mut self, at: ClockTime) {
        // A time in the future can only come from another process of this host.
        if at <= self.last_event {
            self.verified_at = self.verified_at.max(Some(at));
        }
    }

    fn confirmed_by(&self, datacenter: &DatacenterName) -> ConfigVersion {
        let confirmed = self.confirmed.get(datacenter);
        confirmed.copied().unwrap_or_default()
    }

    fn is_silent(&self, now: ClockTime, peer: &PeerVersions) -> bool {
        now.since(peer.last_heartbeat.max(self.running_since)) >= self.times.heartbeat_timeout
    }

    /// Confirms a version for the local data centre if an event made that possible, and returns the
    /// actions that are due. Versions that are higher than in `before` are announced.
    fn finish_event(&mut self, now: ClockTime, before: OwnReport) -> Vec<RolloutAction> {
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
        self.report_changes(now, &mut actions);
        actions
    }

    /// Returns the fetch that is due, if the highest known version is not applied.
    fn fetch(&mut self, now: ClockTime) -> Option<RolloutAction> {
        if self.applied >= self.known {
            return None;
        }
        match self.fetch_started {
            None => {
                self.fetch_started = Some(now);
                let source = self.fetch_source.clone();
                Some(source.map_or(RolloutAction::FetchFromTable, RolloutAction::FetchFrom))
            }
            Some(started) if now.since(started) >= self.times.fetch_timeout => {
                self.fetch_started = Some(now);
                Some(self.fetch_from_next_source(now))
            }
            Some(_) => None,
        }
    }

    /// Returns a fetch from the next source in the order of host names: a non-silent host that has
    /// applied the highest known version, or the table after the last such host.
    fn fetch_from_next_source(&mut self, now: ClockTime) -> RolloutAction {
        let sources = self.peers.iter();
        let sources = sources.filter(|(_, peer)| peer.report.applied >= self.known);
        let mut sources = sources.filter(|(_, peer)| !self.is_silent(now, peer));
        let next = sources.find(|(host, _)| Some(*host) > self.fetch_source.as_ref());
        let next = next.map(|(host, _)| host.clone());
        self.fetch_source.clone_from(&next);
        next.map_or(RolloutAction::FetchFromTable, RolloutAction::FetchFrom)
    }
}
