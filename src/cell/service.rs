//! The service that connects the asks and the brokers of this host with the other hosts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use super::answer::SlotAnswer;
use super::asks::ASK_RETRY_INTERVAL;
use super::asks::AskTable;
use super::asks::CellBrokers;
use super::asks::CellId;
use super::asks::OutgoingWithdrawal;
use super::brokers::BrokerTable;
use super::network::CellNetwork;
use super::network::region_of;
use super::rates::RateTable;
use crate::clock::ProcessClock;
use crate::kernel::ask::Ask;
use crate::kernel::ask::BrokerEvent;
use crate::kernel::ask::Grant;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::ask::WorkProgress;
use crate::kernel::ask::WorkReport;
use crate::kernel::broker::BrokerSettings;
use crate::kernel::clock::ClockTime;
use crate::kernel::location::CellSpan;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::pause::PauseDetector;
use crate::wire::LinkMessage;
use crate::wire::Referral;

/// The interval at which an entry declares its running work to the brokers again.
const DECLARE_INTERVAL: Duration = Duration::from_secs(2);

/// The brokers of this host and the asks of its entry.
pub struct CellService {
    pub(super) network: Box<dyn CellNetwork>,
    pub(super) clock: ProcessClock,
    pub(super) span: CellSpan,
    pub(super) asks: RefCell<AskTable>,
    pub(super) brokers: RefCell<BrokerTable>,
    pub(super) rates: RefCell<RateTable>,
    pauses: RefCell<PauseDetector>,
    /// The brokers and deputies of this entry's cells at the last call of `declare_running`.
    pub(super) known_brokers: RefCell<Vec<(CellId, HostName)>>,
    /// The time of the last declaration to all brokers.
    last_declaration: Cell<ClockTime>,
    /// The longest delay of a timer since it was last taken.
    pub(super) longest_delay: Cell<Duration>,
}

impl fmt::Debug for CellService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CellService")
            .field("asks", &self.asks)
            .finish_non_exhaustive()
    }
}

impl CellService {
    /// Creates the service; the settings apply to each broker that starts on this host.
    #[must_use]
    pub fn new(
        network: Box<dyn CellNetwork>,
        clock: ProcessClock,
        settings: BrokerSettings,
    ) -> Self {
        Self {
            network,
            clock,
            span: CellSpan::default(),
            asks: RefCell::default(),
            brokers: RefCell::new(BrokerTable::new(settings)),
            rates: RefCell::default(),
            pauses: RefCell::new(PauseDetector::new(clock.now())),
            known_brokers: RefCell::default(),
            last_declaration: Cell::new(clock.now()),
            longest_delay: Cell::default(),
        }
    }

    /// Sets which data centres share the cells of a service.
    #[must_use]
    pub fn with_span(mut self, span: CellSpan) -> Self {
        self.span = span;
        self.brokers.get_mut().set_span(span);
        self
    }

    /// Returns, for each service, the cell that this host asks first and the brokers of that cell.
    #[must_use]
    pub fn brokers_of_services(&self) -> Vec<(CellId, CellBrokers)> {
        let configuration = self.network.configuration();
        let services = configuration.services.keys();
        let cells = services.map(|service| CellId {
            service: service.clone(),
            datacenter: self.nearest_cell_datacenter(service),
        });
        cells
            .map(|cell| {
                let brokers = self.network.brokers(&cell);
                (cell, brokers)
            })
            .collect()
    }

    /// Withdraws an ask whose request no longer needs a slot.
    pub fn withdraw(&self, request: RequestId) {
        let closed = self.asks.borrow_mut().close(request);
        self.send_withdrawals(request, closed);
    }

    /// Limits the deadlines of all present and future asks to a time, and sends those again whose
    /// deadline has changed.
    pub fn limit_wait(&self, until: ClockTime) {
        self.asks.borrow_mut().limit_wait(until);
        self.send_due();
    }

    fn send_withdrawals(&self, request: RequestId, withdrawals: Vec<OutgoingWithdrawal>) {
        for withdrawal in withdrawals {
            let service = withdrawal.cell.service;
            self.network
                .send(&withdrawal.host, LinkMessage::Withdraw { service, request });
        }
    }

    /// Sends a report to the broker of the cell that granted the slot, and to its deputy.
    pub fn report(&self, report: &WorkReport) {
        let cell = self.asks.borrow().held_cell(report.request).cloned();
        let Some(cell) = cell else { return };
        // The deputy gets every report too, so that it can grant slots at once when the broker
        // fails.
        let brokers = self.network.brokers(&cell);
        for host in brokers.broker.iter().chain(&brokers.deputy) {
            let message = LinkMessage::Report {
                service: cell.service.clone(),
                report: report.clone(),
            };
            self.network.send(host, message);
        }
    }

    /// Removes a held slot whose use has ended.
    pub fn release(&self, request: RequestId) {
        self.asks.borrow_mut().release(request);
    }

    /// Refuses an ask of this host, because an operator drops the request or it is shed; returns
    /// whether it was waiting.
    pub fn drop_ask(&self, refusal: Refusal) -> bool {
        let request = refusal.request;
        let withdrawals = self.asks.borrow().withdrawals(request);
        let waited = self
            .asks
            .borrow_mut()
            .answer(request, SlotAnswer::Refused(refusal));
        if waited {
            self.send_withdrawals(request, withdrawals);
        }
        waited
    }

    /// Handles a message from another host or from this one.
    pub fn receive(self: &Rc<Self>, from: &HostName, message: LinkMessage) {
        match message {
            LinkMessage::Ask(ask) => self.handle_ask(from, *ask),
            LinkMessage::Withdraw { service, request } => {
                self.broker_event(
                    service,
                    BrokerEvent::Withdrawn {
                        host: from.clone(),
                        request,
                    },
                );
            }
            LinkMessage::Report { service, report } => {
                self.broker_event(
                    service,
                    BrokerEvent::Reported {
                        host: from.clone(),
                        report,
                    },
                );
            }
            LinkMessage::Declare { service, running } => {
                self.broker_event(
                    service,
                    BrokerEvent::Declared {
                        host: from.clone(),
                        running,
                    },
                );
            }
            LinkMessage::Rates { service, rates } => {
                self.broker_event(service, BrokerEvent::RatesDeclared { rates });
            }
            LinkMessage::Workspaces { service, running } => {
                self.workspaces_declared(from, service, running);
            }
            LinkMessage::Grant(grant) => self.handle_grant(from, grant),
            LinkMessage::Refuse(refusal) => self.handle_refusal(from, refusal),
            LinkMessage::Waiting(request) => self.asks.borrow_mut().acknowledge(from, request),
            LinkMessage::Refer(referral) => self.handle_referral(&referral),
            LinkMessage::Summary(summary) => {
                self.brokers
                    .borrow_mut()
                    .record_summary(self.clock.now(), from, summary);
            }
            _ => (),
        }
    }

    /// Runs all timers that are due; to be called when [`Self::next_wake`] is reached, and at least
    /// every `MAX_TICK_INTERVAL` for the timeouts of the asks.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.pauses.borrow_mut().tick(now);
        self.retire_brokers();
        let actions = self.brokers.borrow_mut().tick(now);
        self.perform(actions);
        self.asks.borrow_mut().expire(now);
        self.declare_running();
        self.send_due();
    }

    /// Returns the time of the earliest broker timer; `None` if no timer is set.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.brokers.borrow().next_wake()
    }

    /// Informs the brokers that run here of a dead host, and sends asks to the brokers that replace
    /// those on it.
    pub fn host_lost(&self, host: &HostName) {
        let event = BrokerEvent::HostLost { host: host.clone() };
        let actions = self
            .brokers
            .borrow_mut()
            .handle_all(self.clock.now(), &event);
        self.perform(actions);
        self.declare_running();
        self.send_due();
    }

    /// Passes an ask to the broker on this host and acknowledges it to its entry if it has to wait.
    fn handle_ask(&self, from: &HostName, ask: Ask) {
        let service = ask.service.clone();
        let request = ask.request;
        self.record_host_location(&service, from);
        let host = from.clone();
        let answered = self.broker_event(service, BrokerEvent::Asked { host, ask });
        if !answered.contains(&request) {
            self.network.send(from, LinkMessage::Waiting(request));
        }
    }

    fn handle_refusal(&self, from: &HostName, refusal: Refusal) {
        let request = refusal.request;
        let others = self.asks.borrow().other_withdrawals(from, request);
        self.asks.borrow_mut().acknowledge(from, request);
        self.asks
            .borrow_mut()
            .answer(request, SlotAnswer::Refused(refusal));
        self.send_withdrawals(request, others);
    }

    fn handle_grant(&self, from: &HostName, grant: Grant) {
        let now = self.clock.now();
        // After a pause of the process the grant may have expired before it was read; it is
        // returned, and the ask is sent again later.
        let stale = self.pauses.borrow().may_be_stale(now);
        let answer = SlotAnswer::Granted {
            grant: grant.clone(),
            received: now,
        };
        let others = self.asks.borrow().other_withdrawals(from, grant.request);
        self.asks.borrow_mut().acknowledge(from, grant.request);
        if !stale && self.asks.borrow_mut().answer(grant.request, answer) {
            self.send_withdrawals(grant.request, others);
            return;
        }
        if !self.asks.borrow().holds(&grant) {
            self.return_grant(from, grant);
        }
    }

    fn return_grant(&self, broker: &HostName, grant: Grant) {
        let configuration = self.network.configuration();
        let Some(spec) = configuration.workers.get(&grant.worker) else {
            return;
        };
        let report = WorkReport {
            request: grant.request,
            grant: grant.grant,
            worker: grant.worker,
            progress: WorkProgress::Released,
        };
        let service = spec.service.clone();
        self.network
            .send(broker, LinkMessage::Report { service, report });
    }

    fn handle_referral(&self, referral: &Referral) {
        let moved = self
            .asks
            .borrow_mut()
            .refer(referral.request, &referral.datacenter);
        if moved {
            self.send_due();
            return;
        }
        let refusal = Refusal {
            request: referral.request,
            reason: RefusalReason::Deadline,
            retry_after: ASK_RETRY_INTERVAL,
        };
        self.asks
            .borrow_mut()
            .answer(referral.request, SlotAnswer::Refused(refusal));
    }

    /// Returns the data centre whose cell of a service is asked first: that of the nearest workers,
    /// which are those in this data centre, else in this region, else anywhere. Without workers it
    /// is that of this data centre.
    pub(super) fn nearest_cell_datacenter(&self, service: &ServiceName) -> DatacenterName {
        let own = self.network.datacenter();
        let configuration = self.network.configuration();
        let own_region = region_of(&configuration, own);
        let workers = configuration
            .workers
            .values()
            .filter(|spec| spec.service == *service);
        let distance = |datacenter: &DatacenterName| {
            let is_remote = region_of(&configuration, datacenter) != own_region;
            (datacenter != own, is_remote)
        };
        let nearest = workers
            .map(|spec| &spec.datacenter)
            .min_by_key(|name| distance(name));
        self.span
            .cell_datacenter(&configuration, nearest.unwrap_or(own))
            .clone()
    }

    pub(super) fn send_due(&self) {
        let now = self.clock.now();
        // Many asks share a cell, and the rendezvous hash over the members dominates the cost here,
        // so its result is computed once for each cell.
        let known: RefCell<BTreeMap<CellId, CellBrokers>> = RefCell::default();
        let brokers_of = |cell: &CellId| {
            let mut known = known.borrow_mut();
            if let Some(brokers) = known.get(cell) {
                return brokers.clone();
            }
            let brokers = self.network.brokers(cell);
            known.insert(cell.clone(), brokers.clone());
            brokers
        };
        let due = self.asks.borrow_mut().due(now, brokers_of);
        for outgoing in due {
            self.network
                .send(&outgoing.host, LinkMessage::Ask(Box::new(outgoing.ask)));
        }
    }

    /// Declares the running work of this entry to brokers that are new to it, such as those that
    /// have just taken over a cell, and every [`DECLARE_INTERVAL`] to all brokers, since a report
    /// may have been lost.
    fn declare_running(&self) {
        let now = self.clock.now();
        let cells = self.asks.borrow().cells();
        let mut current = Vec::new();
        for cell in cells {
            let brokers = self.network.brokers(&cell);
            let hosts = brokers.broker.into_iter().chain(brokers.deputy);
            current.extend(hosts.map(|host| (cell.clone(), host)));
        }
        let known = std::mem::take(&mut *self.known_brokers.borrow_mut());
        let is_periodic = now.since(self.last_declaration.get()) >= DECLARE_INTERVAL;
        if is_periodic {
            self.last_declaration.set(now);
        }
        for (cell, host) in &current {
            let is_new = !known.contains(&(cell.clone(), host.clone()));
            if is_new {
                self.declare_rates(now, cell, host);
            }
            if is_periodic || is_new {
                let running = self.asks.borrow().running(cell);
                let service = cell.service.clone();
                self.network
                    .send(host, LinkMessage::Declare { service, running });
                self.declare_workspaces(cell, host, is_new);
            }
        }
        *self.known_brokers.borrow_mut() = current;
    }
}
