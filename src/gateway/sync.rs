//! The state that a gateway host takes from the platform's store, by its own reads or from another
//! host that reads the store for many.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::host::GatewayHost;
use super::release;
use super::store::FleetStore;
use super::store_reader::StoreReader;
use crate::cell::CellId;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::roster::RosterUpdate;
use crate::kernel::share::AnswerTracker;
use crate::kernel::share::DIRECT_HOSTS;
use crate::kernel::share::PollTable;
use crate::kernel::share::RELAY_POLL_INTERVAL;
use crate::kernel::share::STATE_POLL_INTERVAL;
use crate::kernel::share::SourceView;
use crate::kernel::share::StateSource;
use crate::wire::LinkMessage;
use crate::wire::StatePoll;
use crate::wire::StateUpdate;

/// The service name under which the reader and the relays are chosen, by the rules for the brokers
/// of a service.
const READER_SERVICE: &str = "store-reader";

/// The maximum time for which the reader's read of the configuration waits for a change.
const LONG_POLL_TIME: Duration = Duration::from_millis(250);

/// The polls that a host has sent and received, and the origin of its roster.
#[derive(Debug, Default)]
pub struct SyncState {
    polls: RefCell<PollTable<StatePoll>>,
    answers: RefCell<AnswerTracker>,
    /// The host whose roster was last applied, and the revision of that roster; `None` if the
    /// roster was read from the store.
    pub(super) source: RefCell<Option<(HostName, u64)>>,
    /// The time as of which the host's roster holds.
    pub(super) roster_as_of: Cell<ClockTime>,
    /// Wakes the next poll when an unsolicited update was received.
    update_received: Notify,
}

/// Keeps the configuration and workers of a host up to date until the process ends.
pub async fn follow_store(host: Rc<GatewayHost>, store: Rc<dyn FleetStore>) {
    let mut store_reader = StoreReader::new(Rc::clone(&host), store);
    store_reader.read(Duration::ZERO).await;
    loop {
        let roles = ReaderRoles::of(&host);
        let source = roles.view(&host).source();
        let interval = if roles.is_relay(&host) {
            RELAY_POLL_INTERVAL
        } else {
            STATE_POLL_INTERVAL
        };
        match source {
            StateSource::Store => store_reader.read(LONG_POLL_TIME).await,
            StateSource::Reader(name) | StateSource::Relay(name) => {
                send_poll(&host, name);
                let update = host.sync.update_received.notified();
                // Without an update the next poll is sent after the interval.
                let _ = actix_rt::time::timeout(interval, update).await;
                let now = host.clock.now();
                let answers = &host.sync.answers;
                let overdue = answers.borrow().is_overdue(now, source.timeout());
                if overdue || release::drives_without_source(&host) {
                    store_reader.read(Duration::ZERO).await;
                }
            }
        }
    }
}

/// The hosts that distribute the state of the store.
struct ReaderRoles {
    /// The host that reads the store for all hosts that share a cell with this one.
    reader: Option<HostName>,
    /// The host that polls the reader on behalf of the other hosts of this data centre.
    relay: Option<HostName>,
}

impl ReaderRoles {
    fn of(host: &GatewayHost) -> Self {
        let configuration = host.state.cell_configuration();
        let own = &host.settings.datacenter;
        let span = host.settings.cells;
        let cell_datacenter = span.cell_datacenter(&configuration, own);
        let within =
            |datacenter: &_| span.cell_datacenter(&configuration, datacenter) == cell_datacenter;
        Self {
            reader: first_ranked(host, cell_datacenter, within),
            relay: first_ranked(host, own, |datacenter| datacenter == own),
        }
    }

    fn view<'a>(&'a self, host: &'a GatewayHost) -> SourceView<'a> {
        let reader = self.reader.as_ref();
        let datacenter = reader.and_then(|reader| host.members.datacenter(reader));
        SourceView {
            own: &host.settings.host,
            hosts: host.host_count(),
            reader,
            reader_near: datacenter.as_ref() == Some(&host.settings.datacenter),
            relay: self.relay.as_ref(),
        }
    }

    fn is_relay(&self, host: &GatewayHost) -> bool {
        let many = host.host_count() > DIRECT_HOSTS;
        many && self.relay.as_ref() == Some(&host.settings.host)
    }
}

/// Returns the host from which this one gets the state of the store, and through which it writes to
/// it; `None` if it reads the store itself.
pub(super) fn source_host(host: &GatewayHost) -> Option<HostName> {
    let roles = ReaderRoles::of(host);
    match roles.view(host).source() {
        StateSource::Store => None,
        StateSource::Reader(name) | StateSource::Relay(name) => Some(name.clone()),
    }
}

/// Returns the host that polls the reader on behalf of the other hosts of this data centre.
pub(super) fn relay_host(host: &GatewayHost) -> Option<HostName> {
    let own = &host.settings.datacenter;
    first_ranked(host, own, |datacenter| datacenter == own)
}

/// Returns the host of all data centres that comes first by the rules for the reader, among those that
/// `may_serve` selects; `datacenter` must be the same at all hosts.
pub(super) fn first_eligible(
    host: &GatewayHost,
    datacenter: &DatacenterName,
    may_serve: impl Fn(&HostName) -> bool,
) -> Option<HostName> {
    let service = READER_SERVICE.parse().ok()?;
    host.members.first_eligible(&service, datacenter, may_serve)
}

/// Returns the host that comes first for the reader or relay role among the hosts of the data
/// centres that satisfy `within`.
fn first_ranked(
    host: &GatewayHost,
    datacenter: &DatacenterName,
    within: impl Fn(&DatacenterName) -> bool,
) -> Option<HostName> {
    let cell = CellId {
        service: READER_SERVICE.parse().ok()?,
        datacenter: datacenter.clone(),
    };
    host.members.brokers(&cell, within).broker
}

/// Polls another host for the changes since the state that this host has.
fn send_poll(host: &GatewayHost, peer: &HostName) {
    let number = host.sync.answers.borrow_mut().record_poll(host.clock.now());
    let source = host.sync.source.borrow();
    let known = source.as_ref().filter(|(name, _)| name == peer);
    let poll = StatePoll {
        number,
        version: host
            .latest_configuration()
            .map_or(0, |newest| newest.version),
        roster: known.map_or(0, |(_, roster)| *roster),
    };
    let sent = host.links.send(peer, LinkMessage::StateWanted(poll));
    if sent.is_err() {
        host.members.dial(peer);
    }
}

/// Records a poll of another host, which is answered by the next read that begins after it.
pub fn record_poll(host: &GatewayHost, from: &HostName, poll: StatePoll) {
    let now = host.clock.now();
    let mut polls = host.sync.polls.borrow_mut();
    polls.record(now, from.clone(), poll);
}

/// Applies an update of another host, and passes it on to the hosts that poll this one.
///
/// An answer to a poll holds as of the time at which the poll was sent. An unsolicited update
/// confirms no time and carries no workers, so it triggers the next poll.
pub fn receive_update(host: &GatewayHost, from: &HostName, update: StateUpdate) {
    let mut change = StateChange {
        configuration: update
            .configuration
            .is_some_and(|newer| host.apply_configuration(newer)),
        ..StateChange::default()
    };
    let Some(number) = update.number else {
        if let Some(releases) = update.releases {
            change.releases = host.apply_release_updates(releases, update.era, None);
        }
        notify_subscribers(host, change);
        host.sync.update_received.notify_one();
        return;
    };
    let polled = host.sync.answers.borrow_mut().record_answer(number);
    let Some(as_of) = polled else {
        notify_subscribers(host, change);
        return;
    };
    host.state.freshness.borrow_mut().record_read(as_of);
    host.releases.set_source_knows(update.releases.is_some());
    if let Some(releases) = update.releases {
        change.releases = host.apply_release_updates(releases, update.era, Some(as_of));
    }
    if as_of > host.sync.roster_as_of.get() {
        host.sync.roster_as_of.set(as_of);
        change.workers = match update.workers {
            Some(present) => {
                *host.sync.source.borrow_mut() = Some((from.clone(), update.roster));
                host.apply_workers(RosterUpdate {
                    era: update.era,
                    complete: true,
                    present,
                    ..RosterUpdate::default()
                })
            }
            None => host.record_unchanged_workers(),
        };
    }
    answer_polls(host, as_of, change);
}

/// Which parts of the state were changed by a read or an update.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StateChange {
    pub(super) configuration: bool,
    pub(super) workers: bool,
    pub(super) releases: bool,
}

/// Answers the polls received up to `begin`, the time as of which the state of this host holds, and
/// notifies the subscribers of a change.
pub(super) fn answer_polls(host: &GatewayHost, begin: ClockTime, change: StateChange) {
    let answered = host.sync.polls.borrow_mut().take_answered_by(begin);
    let roster = host.state.roster_revision();
    for (name, poll) in answered {
        let newest = host.latest_configuration();
        let update = StateUpdate {
            number: Some(poll.number),
            configuration: newest.filter(|newest| newest.version > poll.version),
            workers: (poll.roster != roster).then(|| host.state.registered_workers()),
            roster,
            era: host.state.era(),
            releases: host.releases.updates(host.clock.now(), Some(begin)),
        };
        // A host that misses the answer polls again.
        let _ = host.links.send(&name, LinkMessage::State(Box::new(update)));
    }
    notify_subscribers(host, change);
}

/// Sends an unsolicited update to the subscribers if the state has changed. The update may be
/// delayed on the network, so it carries no workers; its receivers poll for them.
fn notify_subscribers(host: &GatewayHost, change: StateChange) {
    if !change.configuration && !change.workers && !change.releases {
        return;
    }
    let update = unsolicited_update(host, change);
    let mut polls = host.sync.polls.borrow_mut();
    for name in polls.subscribers(host.clock.now()) {
        let update = Box::new(update.clone());
        let _ = host.links.send(name, LinkMessage::State(update));
    }
}

fn unsolicited_update(host: &GatewayHost, change: StateChange) -> StateUpdate {
    let releases = host.releases.updates(host.clock.now(), None);
    StateUpdate {
        number: None,
        configuration: host.latest_configuration().filter(|_| change.configuration),
        workers: None,
        roster: host.state.roster_revision(),
        era: host.state.era(),
        releases: releases.filter(|_| change.releases),
    }
}

/// Sends the orders and states of releases to all linked hosts and to the relays, which pass them on to
/// the hosts that poll them.
pub(super) fn announce_releases(host: &GatewayHost) {
    let change = StateChange {
        releases: true,
        ..StateChange::default()
    };
    let update = unsolicited_update(host, change);
    if update.releases.is_none() {
        return;
    }
    let message = LinkMessage::State(Box::new(update));
    host.links.broadcast(&message);
    for datacenter in host.settings.datacenters.keys() {
        let relay = first_ranked(host, datacenter, |other| other == datacenter);
        if let Some(relay) = relay.filter(|relay| *relay != host.settings.host) {
            // An unlinked relay polls the reader; the link serves the next announcement.
            host.members.dial(&relay);
        }
    }
}
