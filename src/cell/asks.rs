//! The open asks and the held slots of the entry on this host.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use super::answer::SlotAnswer;
use crate::kernel::ask::Ask;
use crate::kernel::ask::Grant;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::ask::RunningWork;
use crate::kernel::ask::WorkspaceWork;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkspaceName;

/// The interval at which an ask that is neither granted nor refused is sent again.
pub const ASK_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The time without a response after which a broker's deputy is asked too. It is longer than a few
/// round trips between regions and longer than a host stalls under CPU throttling.
pub const BROKER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// The time for which a broker counts as unresponsive after it did not respond to an ask, unless it
/// responds before.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(1);

/// The retry-after time of a request whose deadline passed without a grant or refusal.
const EXPIRED_ASK_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The identifier of a cell.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CellId {
    /// The service of the cell.
    pub service: ServiceName,
    /// The data centre that the cell is named after; others may share the cell.
    pub datacenter: DatacenterName,
}

/// An ask that is neither granted nor refused yet.
#[derive(Debug)]
struct PendingAsk {
    ask: Ask,
    cell: CellId,
    /// The data centres of the cells to which the ask was directed so far, the current one last.
    visited: Vec<DatacenterName>,
    deadline: ClockTime,
    /// When and to which broker the ask was last sent; `None` if it was not sent to the cell yet.
    sent: Option<SentAsk>,
    /// The deputy that got the ask as well since then.
    deputy: Option<HostName>,
    /// Whether the deadline has changed since the ask was last sent.
    is_changed: bool,
    sender: oneshot::Sender<SlotAnswer>,
}

#[derive(Debug)]
struct SentAsk {
    host: HostName,
    at: ClockTime,
    /// Whether the broker responded: with a grant, with a refusal or that the request waits.
    acknowledged: bool,
}

/// The hosts that grant slots of a cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CellBrokers {
    /// The host that holds the broker role; `None` if none is known to be alive.
    pub broker: Option<HostName>,
    /// The stand-by broker, asked when the broker does not answer; `None` if there is none.
    pub deputy: Option<HostName>,
}

/// The withdrawal of an ask, to be sent to a broker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingWithdrawal {
    /// The host of the broker.
    pub host: HostName,
    /// The cell in which the request waits.
    pub cell: CellId,
}

/// A granted or dispatched request and the cell that granted its slot.
#[derive(Clone, Debug)]
struct HeldSlot {
    cell: CellId,
    work: RunningWork,
    workspace: WorkspaceName,
}

/// An ask to be sent to a broker.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAsk {
    /// The host of the broker.
    pub host: HostName,
    /// The ask, with the time that is left until its deadline as budget.
    pub ask: Ask,
}

/// The open asks and the held slots of one entry.
#[derive(Debug, Default)]
pub struct AskTable {
    pending: BTreeMap<RequestId, PendingAsk>,
    held: BTreeMap<RequestId, HeldSlot>,
    /// The brokers that count as unresponsive, and until when.
    unresponsive: BTreeMap<HostName, ClockTime>,
    /// The time until which asks may wait; `None` unless the host is stopping.
    wait_until: Option<ClockTime>,
}

impl AskTable {
    /// Adds an ask whose answer goes to the returned receiver.
    pub fn open(
        &mut self,
        ask: Ask,
        cell: CellId,
        deadline: ClockTime,
    ) -> oneshot::Receiver<SlotAnswer> {
        let (sender, receiver) = oneshot::channel();
        let visited = vec![cell.datacenter.clone()];
        let deadline = self
            .wait_until
            .map_or(deadline, |until| until.min(deadline));
        let pending = PendingAsk {
            ask,
            cell,
            visited,
            deadline,
            sent: None,
            deputy: None,
            is_changed: false,
            sender,
        };
        self.pending.insert(pending.ask.request, pending);
        receiver
    }

    /// Removes an ask and returns the withdrawals for the brokers to which it was sent last.
    pub fn close(&mut self, request: RequestId) -> Vec<OutgoingWithdrawal> {
        let pending = self.pending.remove(&request);
        pending.map_or_else(Vec::new, |pending| pending.withdrawals(None))
    }

    /// Returns the withdrawals of an ask for the brokers to which it was sent last.
    #[must_use]
    pub fn withdrawals(&self, request: RequestId) -> Vec<OutgoingWithdrawal> {
        let pending = self.pending.get(&request);
        pending.map_or_else(Vec::new, |pending| pending.withdrawals(None))
    }

    /// Limits the deadlines of all present and future asks to a time.
    pub fn limit_wait(&mut self, until: ClockTime) {
        self.wait_until = Some(until);
        for pending in self.pending.values_mut() {
            if until < pending.deadline {
                pending.deadline = until;
                pending.is_changed = true;
            }
        }
    }

    /// Returns the asks to send now.
    ///
    /// The broker gets asks that were not sent yet, were sent to another broker, have another
    /// deadline than when they were sent, or were last sent `ASK_RETRY_INTERVAL` ago. A broker that
    /// does not respond to an ask within `BROKER_RESPONSE_TIMEOUT` counts as unresponsive, and while
    /// it does, its deputy gets every ask that the broker has not acknowledged.
    pub fn due<F>(&mut self, now: ClockTime, brokers_of: F) -> Vec<OutgoingAsk>
    where
        F: Fn(&CellId) -> CellBrokers,
    {
        let mut outgoing = Vec::new();
        self.unresponsive.retain(|_, until| now < *until);
        for pending in self.pending.values_mut() {
            let brokers = brokers_of(&pending.cell);
            let Some(broker) = brokers.broker else {
                continue;
            };
            if pending.is_due(now, &broker) {
                let sent = SentAsk {
                    host: broker.clone(),
                    at: now,
                    acknowledged: false,
                };
                pending.sent = Some(sent);
                pending.deputy = None;
                pending.is_changed = false;
                outgoing.push(pending.outgoing(now, &broker));
            }
            if pending.has_timed_out(now) {
                self.unresponsive
                    .insert(broker.clone(), now + UNRESPONSIVE_DURATION);
            }
            let needs_deputy = pending.deputy.is_none()
                && !pending.is_acknowledged()
                && self.unresponsive.contains_key(&broker);
            if needs_deputy && let Some(deputy) = brokers.deputy {
                outgoing.push(pending.outgoing(now, &deputy));
                pending.deputy = Some(deputy);
            }
        }
        outgoing
    }

    /// Forgets that the asks without a response were sent to a host, so that they are due again, and
    /// that the host is unresponsive.
    pub fn forget_unacknowledged(&mut self, host: &HostName) {
        self.unresponsive.remove(host);
        for pending in self.pending.values_mut() {
            if pending.is_acknowledged() {
                continue;
            }
            pending.sent.take_if(|sent| sent.host == *host);
            pending.deputy.take_if(|deputy| deputy == host);
        }
    }

    /// Records that a broker responded to an ask; the broker no longer counts as unresponsive.
    pub fn acknowledge(&mut self, from: &HostName, request: RequestId) {
        self.unresponsive.remove(from);
        let pending = self.pending.get_mut(&request);
        let sent = pending.and_then(|pending| pending.sent.as_mut());
        if let Some(sent) = sent.filter(|sent| sent.host == *from) {
            sent.acknowledged = true;
        }
    }

    /// Returns the withdrawals of an ask for the brokers other than `from`, the one that granted or
    /// refused it.
    #[must_use]
    pub fn other_withdrawals(
        &self,
        from: &HostName,
        request: RequestId,
    ) -> Vec<OutgoingWithdrawal> {
        let pending = self.pending.get(&request);
        pending.map_or_else(Vec::new, |pending| pending.withdrawals(Some(from)))
    }

    /// Refuses the asks whose deadline has passed and returns their requests.
    pub fn expire(&mut self, now: ClockTime) -> Vec<RequestId> {
        let is_expired = |pending: &PendingAsk| now >= pending.deadline;
        let expired: Vec<RequestId> = self
            .pending
            .values()
            .filter(|p| is_expired(p))
            .map(|p| p.ask.request)
            .collect();
        for request in &expired {
            let reason = RefusalReason::Deadline;
            let refusal = Refusal {
                request: *request,
                reason,
                retry_after: EXPIRED_ASK_RETRY_AFTER,
            };
            self.answer(*request, SlotAnswer::Refused(refusal));
        }
        expired
    }

    /// Delivers the answer of an ask and holds the slot if one is granted; returns false if nothing
    /// waits for the answer any more.
    pub fn answer(&mut self, request: RequestId, answer: SlotAnswer) -> bool {
        let Some(pending) = self.pending.remove(&request) else {
            return false;
        };
        if let SlotAnswer::Granted { grant, .. } = &answer {
            let work = RunningWork {
                request,
                grant: grant.grant,
                worker: grant.worker.clone(),
                tier: pending.ask.tier,
                prompt_tokens: pending.ask.prompt_tokens,
            };
            self.held.insert(
                request,
                HeldSlot {
                    cell: pending.cell.clone(),
                    work,
                    workspace: pending.ask.workspace.clone(),
                },
            );
        }
        let delivered = pending.sender.send(answer).is_ok();
        if !delivered {
            self.held.remove(&request);
        }
        delivered
    }

    /// Moves an ask to the cell of another data centre; returns false if it was there before, true
    /// if it was moved or is no longer open.
    pub fn refer(&mut self, request: RequestId, datacenter: &DatacenterName) -> bool {
        let Some(pending) = self.pending.get_mut(&request) else {
            return true;
        };
        if pending.visited.contains(datacenter) {
            return false;
        }
        pending.visited.push(datacenter.clone());
        pending.cell.datacenter = datacenter.clone();
        pending.sent = None;
        pending.deputy = None;
        true
    }

    /// Returns the cell that granted a held slot.
    #[must_use]
    pub fn held_cell(&self, request: RequestId) -> Option<&CellId> {
        self.held.get(&request).map(|slot| &slot.cell)
    }

    /// Returns whether the held slot of the request comes from this grant.
    #[must_use]
    pub fn holds(&self, grant: &Grant) -> bool {
        self.held
            .get(&grant.request)
            .is_some_and(|slot| slot.work.grant == grant.grant)
    }

    /// Removes a held slot.
    pub fn release(&mut self, request: RequestId) {
        self.held.remove(&request);
    }

    /// Returns the cells in which this entry has open asks or held slots, sorted.
    #[must_use]
    pub fn cells(&self) -> Vec<CellId> {
        let pending = self.pending.values().map(|pending| &pending.cell);
        let held = self.held.values().map(|slot| &slot.cell);
        let mut cells: Vec<CellId> = pending.chain(held).cloned().collect();
        cells.sort();
        cells.dedup();
        cells
    }

    /// Returns the work for which this entry holds slots of a cell.
    #[must_use]
    pub fn running(&self, cell: &CellId) -> Vec<RunningWork> {
        let held = self.held.values().filter(|slot| slot.cell == *cell);
        held.map(|slot| slot.work.clone()).collect()
    }

    /// Returns the workspaces of the work for which this entry holds slots of a cell.
    #[must_use]
    pub fn running_workspaces(&self, cell: &CellId) -> Vec<WorkspaceWork> {
        let held = self.held.values().filter(|slot| slot.cell == *cell);
        let workspace = |slot: &HeldSlot| WorkspaceWork {
            request: slot.work.request,
            workspace: slot.workspace.clone(),
            tier: slot.work.tier,
        };
        held.map(workspace).collect()
    }
}

impl PendingAsk {
    fn is_due(&self, now: ClockTime, host: &HostName) -> bool {
        match &self.sent {
            Some(sent) => {
                self.is_changed || sent.host != *host || now.since(sent.at) >= ASK_RETRY_INTERVAL
            }
            None => true,
        }
    }

    fn is_acknowledged(&self) -> bool {
        self.sent.as_ref().is_some_and(|sent| sent.acknowledged)
    }

    fn has_timed_out(&self, now: ClockTime) -> bool {
        let sent = self.sent.as_ref();
        sent.is_some_and(|sent| !sent.acknowledged && now.since(sent.at) >= BROKER_RESPONSE_TIMEOUT)
    }

    fn outgoing(&self, now: ClockTime, host: &HostName) -> OutgoingAsk {
        OutgoingAsk {
            host: host.clone(),
            ask: self.with_budget(now),
        }
    }

    fn withdrawals(&self, except: Option<&HostName>) -> Vec<OutgoingWithdrawal> {
        let broker = self.sent.as_ref().map(|sent| &sent.host);
        let hosts = broker.into_iter().chain(&self.deputy);
        let hosts = hosts.filter(|host| Some(*host) != except);
        let withdrawal = |host: &HostName| OutgoingWithdrawal {
            host: host.clone(),
            cell: self.cell.clone(),
        };
        hosts.map(withdrawal).collect()
    }

    fn with_budget(&self, now: ClockTime) -> Ask {
        Ask {
            budget: self.deadline.since(now),
            ..self.ask.clone()
        }
    }
}
