//! Membership of the hosts: heartbeats, links between hosts and the choice of brokers.

mod choice;
mod dialing;
mod lists;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::Logger;
use tokio::time::sleep;

use crate::event::LogEvent;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::membership::HEARTBEAT_INTERVAL;
use crate::kernel::membership::HostClass;
use crate::kernel::membership::LatenessAllowance;
use crate::kernel::membership::ListSchedule;
use crate::kernel::membership::LivenessSignal;
use crate::kernel::membership::MAX_LIST_RECIPIENTS;
use crate::kernel::membership::Membership;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::rollout::OwnReport;
use crate::link::LinkSet;
use crate::log_event;
use crate::wire::Heartbeat;
use crate::wire::LinkMessage;
use crate::wire::MemberList;
use dialing::PeerDialer;

pub use crate::kernel::membership::LinkPlan;
pub use crate::kernel::membership::MemberChange;

/// The interval at which member lists are sent to every linked host, also without a change.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_mins(1);

/// The least time between two lists that a host of a large deployment sends because of changes.
const LARGE_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// The number of links up to which a host sends a heartbeat on each of them in each interval; with more
/// it does so in every other one.
const MAX_FREQUENT_LINKS: usize = 32;

/// The interval at which changed address hints are sent to every linked host.
const HINT_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the monotonic clock of the process.
pub type ClockSource = Rc<dyn Fn() -> ClockTime>;

/// Returns the configuration versions to report in a heartbeat.
pub type ReportSource = Rc<dyn Fn(ClockTime) -> OwnReport>;

/// A function that is called for each change of the live hosts.
pub type ChangeListener = Rc<dyn Fn(MemberChange)>;

/// The settings of the membership of one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    /// The data centre of this host.
    pub datacenter: DatacenterName,
    /// The addresses of the hosts to dial at the start; the other hosts are found through them.
    pub seed_peers: Vec<SocketAddr>,
    /// The links that the host keeps.
    pub links: LinkPlan,
    /// The number of hosts up to which the host tells all linked hosts of each change.
    pub small_hosts: usize,
    /// The number of seed peers up to which the host dials all of them at once.
    pub max_seeds: usize,
}

/// Tracks the live hosts, sends heartbeats to them and maintains the links to them.
pub struct MemberService {
    settings: MemberSettings,
    links: Rc<LinkSet>,
    clock: ClockSource,
    log: Logger,
    membership: RefCell<Membership>,
    dialer: RefCell<PeerDialer>,
    list_schedule: RefCell<ListSchedule>,
    allowance: Cell<LatenessAllowance>,
    /// The hosts that were sent lists, or need none, on their present links.
    greeted: RefCell<BTreeSet<HostName>>,
    /// The hosts of other data centres that are told of changes in this one.
    list_recipients: RefCell<BTreeSet<HostName>>,
    /// The list of this data centre that was announced last.
    announced_list: RefCell<Option<MemberList>>,
    /// The address hints that every linked host has been sent.
    sent_hints: RefCell<Vec<MemberList>>,
    report: RefCell<Option<ReportSource>>,
    listeners: RefCell<Vec<ChangeListener>>,
}

impl fmt::Debug for MemberService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemberService")
            .field("settings", &self.settings)
            .field("membership", &self.membership)
            .finish_non_exhaustive()
    }
}

impl MemberService {
    /// Dials the seed peers and starts to send heartbeats.
    #[must_use]
    pub fn start(settings: MemberSettings, links: Rc<LinkSet>, clock: ClockSource) -> Rc<Self> {
        let host = links.host().clone();
        let dialer = PeerDialer::new(&settings, links.own_address());
        let service = Rc::new(Self {
            membership: RefCell::new(Membership::new(host, settings.datacenter.clone())),
            dialer: RefCell::new(dialer),
            list_schedule: RefCell::default(),
            allowance: Cell::default(),
            greeted: RefCell::default(),
            list_recipients: RefCell::default(),
            announced_list: RefCell::default(),
            sent_hints: RefCell::default(),
            settings,
            log: links.log().clone(),
            links,
            clock,
            report: RefCell::default(),
            listeners: RefCell::default(),
        });
        service.dialer.borrow_mut().dial_seeds(&service.links);
        let this = Rc::downgrade(&service);
        service.links.on_connect(Rc::new(move |host| {
            if let Some(service) = this.upgrade() {
                service.send_heartbeat(host);
                service.expect_greeting(host);
                let is_large = service.dialer.borrow().is_large();
                if !is_large && service.links.connected().len() <= MAX_LIST_RECIPIENTS {
                    service.send_opening_lists(host);
                }
            }
        }));
        actix_rt::spawn(Rc::clone(&service).run());
        service
    }

    /// Returns the links to other hosts.
    #[must_use]
    pub fn links(&self) -> &LinkSet {
        &self.links
    }

    /// Sets the source of the versions that heartbeats report.
    pub fn set_report(&self, report: ReportSource) {
        *self.report.borrow_mut() = Some(report);
    }

    /// Registers a function that is called for each change of the live hosts.
    pub fn on_change(&self, listener: ChangeListener) {
        self.listeners.borrow_mut().push(listener);
    }

    /// Dials a live host outside the regular links, such as the broker of a cell in another data
    /// centre, and keeps the link open; does nothing if the host is not alive or is linked.
    pub fn dial(&self, host: &HostName) {
        if self.links.is_connected(host) {
            return;
        }
        let membership = self.membership.borrow();
        if let Some(live) = membership.others().get(host) {
            self.links.dial(live.address);
        }
    }

    /// Returns the live hosts of a data centre, including this host if it is there.
    #[must_use]
    pub fn alive(&self, datacenter: &DatacenterName) -> Vec<HostName> {
        self.membership.borrow().alive(datacenter)
    }

    /// Returns all live hosts, including this one.
    #[must_use]
    pub fn all_alive(&self) -> Vec<HostName> {
        self.membership.borrow().all_alive()
    }

    /// Returns a number that changes whenever the choice of brokers may.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.membership.borrow().generation()
    }

    /// Returns the number of live hosts, including this one.
    #[must_use]
    pub fn alive_count(&self) -> usize {
        self.membership.borrow().alive_count()
    }

    /// Returns the live hosts other than this one that are not stopping, with their data centres.
    #[must_use]
    pub fn serving_peers(&self) -> Vec<(HostName, DatacenterName)> {
        let membership = self.membership.borrow();
        let others = membership.others().iter();
        let serving = others.filter(|(_, live)| !live.stopping);
        let serving = serving.map(|(host, live)| (host.clone(), live.datacenter.clone()));
        serving.collect()
    }

    /// Returns the data centre of a live host; `None` if the host is not alive.
    #[must_use]
    pub fn datacenter(&self, host: &HostName) -> Option<DatacenterName> {
        self.membership.borrow().datacenter(host).cloned()
    }

    /// Returns whether no other host of this data centre was ever seen and every seed peer was
    /// found to be in another one.
    #[must_use]
    pub fn is_sole_host(&self) -> bool {
        self.dialer.borrow().is_sole_host()
    }

    /// Sets the class of this host; hosts of the highest class get the broker roles.
    pub fn set_host_class(&self, class: HostClass) {
        self.membership.borrow_mut().set_host_class(class);
    }

    /// Sets whether this host is stopping, and announces it; its broker roles go to hosts that are
    /// not stopping.
    pub fn set_stopping(&self, stopping: bool) {
        self.membership.borrow_mut().set_stopping(stopping);
        self.send_heartbeats();
        self.announce_own_list();
    }

    /// Sends a heartbeat to every linked host now.
    pub fn send_heartbeats(&self) {
        for host in self.links.connected() {
            self.send_heartbeat(&host);
        }
    }

    /// Sends the heartbeats of one interval. A host with many links sends them in one of two intervals
    /// only, in which `is_turn` is set.
    fn send_due_heartbeats(&self, is_turn: bool) {
        if is_turn || self.links.connected().len() <= MAX_FREQUENT_LINKS {
            self.send_heartbeats();
        }
    }

    /// Extends the timeouts of this host by the time that it runs late itself.
    fn record_delay(&self, delay: Duration) {
        let mut allowance = self.allowance.get();
        allowance.record_delay(delay);
        self.allowance.set(allowance);
        self.membership.borrow_mut().set_allowance(allowance.get());
        self.links.set_allowance(allowance.get());
    }

    /// Processes a message from another host; messages for other modules are ignored.
    pub fn receive(&self, from: &HostName, message: &LinkMessage) {
        match message {
            LinkMessage::Heartbeat(heartbeat) => self.receive_heartbeat(from, heartbeat),
            LinkMessage::Members(list) | LinkMessage::ClassedMembers(list) => {
                self.receive_list(from, list);
            }
            _ => {}
        }
    }

    async fn run(self: Rc<Self>) {
        let mut lists_sent_at = (self.clock)();
        let mut hints_checked_at = lists_sent_at;
        let mut is_turn = false;
        loop {
            let slept_at = (self.clock)();
            sleep(HEARTBEAT_INTERVAL).await;
            let now = (self.clock)();
            self.record_delay(now.since(slept_at).saturating_sub(HEARTBEAT_INTERVAL));
            let changes = self.membership.borrow_mut().tick(now);
            self.announce_changes(changes);
            is_turn = !is_turn;
            self.send_due_heartbeats(is_turn);
            self.forget_recipients();
            self.maintain_links(now);
            if self
                .list_schedule
                .borrow_mut()
                .take_due(now, self.list_interval())
            {
                self.announce_changed_list();
            }
            if now.since(hints_checked_at) >= HINT_INTERVAL {
                hints_checked_at = now;
                self.spread_hints();
            }
            if now.since(lists_sent_at) >= MEMBER_LIST_INTERVAL {
                lists_sent_at = now;
                self.repeat_lists();
            }
        }
    }

    fn receive_heartbeat(&self, from: &HostName, heartbeat: &Heartbeat) {
        let Some(address) = self.links.address(from) else {
            return;
        };
        let signal = LivenessSignal {
            datacenter: heartbeat.datacenter.clone(),
            incarnation: heartbeat.incarnation,
            stopping: heartbeat.stopping,
            host_class: heartbeat.host_class,
            address,
            sent: heartbeat.sent,
        };
        let now = (self.clock)();
        let mut dialer = self.dialer.borrow_mut();
        dialer.record_address(&heartbeat.datacenter, from, address);
        let is_large = dialer.is_large();
        drop(dialer);
        if is_large {
            self.greet(from, &heartbeat.datacenter);
        }
        let changes = self
            .membership
            .borrow_mut()
            .record_heartbeat(now, from, signal);
        self.announce_changes(changes);
    }

    /// Calls the listeners for each change, and sends the list of this data centre to the linked
    /// hosts, now or with those of later changes.
    fn announce_changes(&self, changes: Vec<MemberChange>) {
        if changes.is_empty() {
            return;
        }
        let now = (self.clock)();
        if self
            .list_schedule
            .borrow_mut()
            .record_change(now, self.list_interval())
        {
            self.announce_changed_list();
        }
        let listeners = self.listeners.borrow().clone();
        for change in changes {
            self.log_change(&change);
            for listener in &listeners {
                listener(change.clone());
            }
        }
    }

    /// Returns the least time between two lists because of changes.
    fn list_interval(&self) -> Duration {
        if self.dialer.borrow().is_large() {
            LARGE_LIST_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        }
    }

    fn log_change(&self, change: &MemberChange) {
        match change {
            MemberChange::HostAlive(host) => {
                log_event!(self.log, LogEvent::MemberJoined, "peer" => host.as_str());
            }
            MemberChange::HostLost(host) => {
                log_event!(self.log, LogEvent::MemberLost, "peer" => host.as_str());
            }
        }
    }

    fn spread_hints(&self) {
        if self.dialer.borrow().is_large() {
            self.gossip_hints();
        } else {
            self.announce_changed_hints();
        }
    }

    fn maintain_links(&self, now: ClockTime) {
        let membership = self.membership.borrow();
        let mut dialer = self.dialer.borrow_mut();
        dialer.maintain(now, &self.links, &membership);
    }

    fn send_heartbeat(&self, host: &HostName) {
        let Some(incarnation) = self.links.peer_incarnation(host) else {
            return;
        };
        let now = (self.clock)();
        let report = self.report.borrow().clone();
        let report = report.map_or_else(unknown_report, |report| report(now));
        let membership = self.membership.borrow();
        let heartbeat = Heartbeat {
            datacenter: self.settings.datacenter.clone(),
            incarnation: self.links.incarnation(),
            applied: report.applied,
            known: report.known,
            confirmed: report.confirmed,
            fresh: report.fresh,
            stopping: membership.is_stopping(),
            host_class: membership.host_class(),
            // The wire carries whole milliseconds.
            sent: ClockTime::from_millis(now.as_micros() / 1_000),
            echo: membership.last_sent(host, incarnation),
        };
        // A heartbeat that can't be queued is dropped; the next one replaces it.
        let _ = self.links.send(host, LinkMessage::Heartbeat(heartbeat));
    }
}

/// Returns the report of a host without a source of versions: a gateway host, or any host before
/// [`MemberService::set_report`].
fn unknown_report() -> OwnReport {
    OwnReport {
        applied: ConfigVersion(0),
        known: ConfigVersion(0),
        confirmed: ConfigVersion(0),
        fresh: false,
    }
}
