//! What the entry of this host waits for and runs.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use super::slot::SlotAnswer;
use crate::kernel::ask::Ask;
use crate::kernel::ask::Grant;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::ask::RunningWork;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;

/// The time after which an unanswered ask is sent again.
pub const REASK_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which a caller may come back when no broker answered.
const NO_BROKER_RETRY: Duration = Duration::from_secs(2);

/// The identifier of a cell.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CellId {
    /// The service of the cell.
    pub service: ServiceName,
    /// The data centre of the cell.
    pub datacenter: DatacenterName,
}

/// An ask that has no answer yet.
#[derive(Debug)]
struct PendingAsk {
    ask: Ask,
    cell: CellId,
    visited: Vec<DatacenterName>,
    deadline: ClockTime,
    sent: Option<SentAsk>,
    sender: oneshot::Sender<SlotAnswer>,
}

#[derive(Debug)]
struct SentAsk {
    host: HostName,
    at: ClockTime,
}

/// A dispatched or granted request and the cell that granted it.
#[derive(Clone, Debug)]
struct HeldSlot {
    cell: CellId,
    work: RunningWork,
}

/// An ask to be sent to a broker.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAsk {
    /// The host of the broker.
    pub host: HostName,
    /// The ask, with the time that is left.
    pub ask: Ask,
}

/// The asks and the held slots of one entry.
#[derive(Debug, Default)]
pub struct AskTable {
    pending: BTreeMap<RequestId, PendingAsk>,
    held: BTreeMap<RequestId, HeldSlot>,
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
        let pending = PendingAsk {
            ask,
            cell,
            visited,
            deadline,
            sent: None,
            sender,
        };
        self.pending.insert(pending.ask.request, pending);
        receiver
    }

    /// Removes an ask and returns the host of the broker that knows of it.
    pub fn close(&mut self, request: RequestId) -> Option<(CellId, HostName)> {
        let pending = self.pending.remove(&request)?;
        Some((pending.cell, pending.sent?.host))
    }

    /// Returns the cell and the host of the broker that knows of an ask.
    #[must_use]
    pub fn sent_to(&self, request: RequestId) -> Option<(CellId, HostName)> {
        let pending = self.pending.get(&request)?;
        let sent = pending.sent.as_ref()?;
        Some((pending.cell.clone(), sent.host.clone()))
    }

    /// Returns the asks to send now: those that were never sent, whose broker changed or that have
    /// had no answer for `REASK_INTERVAL`.
    pub fn due<F>(&mut self, now: ClockTime, broker_of: F) -> Vec<OutgoingAsk>
    where
        F: Fn(&CellId) -> Option<HostName>,
    {
        let mut outgoing = Vec::new();
        for pending in self.pending.values_mut() {
            let Some(host) = broker_of(&pending.cell) else {
                continue;
            };
            if !pending.is_due(now, &host) {
                continue;
            }
            pending.sent = Some(SentAsk {
                host: host.clone(),
                at: now,
            });
            outgoing.push(OutgoingAsk {
                host,
                ask: pending.with_budget(now),
            });
        }
        outgoing
    }

    /// Returns the requests whose deadline has passed and answers them with a refusal.
    pub fn expire(&mut self, now: ClockTime) -> Vec<RequestId> {
        let is_late = |pending: &PendingAsk| now >= pending.deadline;
        let late: Vec<RequestId> = self
            .pending
            .values()
            .filter(|p| is_late(p))
            .map(|p| p.ask.request)
            .collect();
        for request in &late {
            let reason = RefusalReason::Deadline;
            let refusal = Refusal {
                request: *request,
                reason,
                retry_after: NO_BROKER_RETRY,
            };
            self.answer(*request, SlotAnswer::Refused(refusal));
        }
        late
    }

    /// Gives the answer to whoever waits for the request; returns whether somebody does.
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
                },
            );
        }
        let delivered = pending.sender.send(answer).is_ok();
        if !delivered {
            self.held.remove(&request);
        }
        delivered
    }

    /// Moves an ask to the cell of another data centre; returns false if it was there already.
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
        true
    }

    /// Returns the cell that granted a held slot.
    #[must_use]
    pub fn held_cell(&self, request: RequestId) -> Option<&CellId> {
        self.held.get(&request).map(|slot| &slot.cell)
    }

    /// Returns whether this very grant is held.
    #[must_use]
    pub fn holds(&self, grant: &Grant) -> bool {
        self.held
            .get(&grant.request)
            .is_some_and(|slot| slot.work.grant == grant.grant)
    }

    /// Forgets a held slot.
    pub fn release(&mut self, request: RequestId) {
        self.held.remove(&request);
    }

    /// Returns the cells in which this entry waits or runs something.
    #[must_use]
    pub fn cells(&self) -> Vec<CellId> {
        let pending = self.pending.values().map(|pending| &pending.cell);
        let held = self.held.values().map(|slot| &slot.cell);
        let mut cells: Vec<CellId> = pending.chain(held).cloned().collect();
        cells.sort();
        cells.dedup();
        cells
    }

    /// Returns what this entry runs in a cell.
    #[must_use]
    pub fn running(&self, cell: &CellId) -> Vec<RunningWork> {
        let held = self.held.values().filter(|slot| slot.cell == *cell);
        held.map(|slot| slot.work.clone()).collect()
    }
}

impl PendingAsk {
    fn is_due(&self, now: ClockTime, host: &HostName) -> bool {
        match &self.sent {
            Some(sent) => sent.host != *host || now.since(sent.at) >= REASK_INTERVAL,
            None => true,
        }
    }

    fn with_budget(&self, now: ClockTime) -> Ask {
        Ask {
            budget: self.deadline.since(now),
            ..self.ask.clone()
        }
    }
}
