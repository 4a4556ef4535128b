//! The rates that workers named to this host, kept for brokers that take over a cell.

use std::collections::BTreeMap;
use std::time::Duration;

use super::asks::CellId;
use super::service::CellService;
use crate::kernel::ask::Grant;
use crate::kernel::ask::WorkProgress;
use crate::kernel::ask::WorkReport;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkerName;
use crate::kernel::pace::NamedRate;
use crate::kernel::pace::RateStatement;
use crate::kernel::pace::RequestRate;
use crate::wire::LinkMessage;

/// The time for which a rate is remembered after the answer that named it, longer than the time
/// between two answers at the lowest rate.
const RATE_MEMORY_TIME: Duration = Duration::from_mins(1);

/// The number of remembered rates from which old ones are forgotten at each new one.
const MAX_CURRENT_RATES: usize = 1_024;

/// What this host has to report of a rate that an answer stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RateObservation {
    /// The rate that holds; `None` if the worker takes requests at any rate.
    pub rate: Option<RequestRate>,
    /// Whether it differs from the one before.
    pub changed: bool,
}

#[derive(Clone, Debug)]
struct RateRecord {
    cell: CellId,
    rate: RequestRate,
    named_at: ClockTime,
}

/// The rates that workers named in answers to this host.
#[derive(Clone, Debug, Default)]
pub(super) struct RateTable {
    records: BTreeMap<WorkerName, RateRecord>,
}

impl RateTable {
    /// Records what an answer says to a request that was sent at `sent_at`.
    ///
    /// An answer that names no rate ends the limit if its request was sent after the limit was
    /// named.
    pub(super) fn observe(
        &mut self,
        now: ClockTime,
        sent_at: ClockTime,
        cell: &CellId,
        worker: &WorkerName,
        statement: RateStatement,
    ) -> RateObservation {
        let known = self.records.get(worker);
        let before = known.map(|record| record.rate);
        let rate = match statement {
            RateStatement::Limited(rate) => Some(rate),
            RateStatement::Unreadable => before,
            RateStatement::Unlimited => known
                .filter(|record| sent_at <= record.named_at)
                .map(|record| record.rate),
        };
        match rate {
            None => {
                self.records.remove(worker);
            }
            Some(rate) if statement != RateStatement::Unlimited => {
                let record = RateRecord {
                    cell: cell.clone(),
                    rate,
                    named_at: now,
                };
                self.records.insert(worker.clone(), record);
                if self.records.len() > MAX_CURRENT_RATES {
                    self.forget_old(now);
                }
            }
            Some(_still_valid) => (),
        }
        RateObservation {
            rate,
            changed: rate != before,
        }
    }

    /// Returns the rates of a cell's workers, and forgets old ones.
    pub(super) fn of_cell(&mut self, now: ClockTime, cell: &CellId) -> Vec<NamedRate> {
        self.forget_old(now);
        let records = self.records.iter();
        let of_cell = records.filter(|(_, record)| record.cell == *cell);
        let named = of_cell.map(|(worker, record)| NamedRate {
            worker: worker.clone(),
            rate: record.rate,
            age: now.since(record.named_at),
        });
        named.collect()
    }

    fn forget_old(&mut self, now: ClockTime) {
        self.records
            .retain(|_, record| now.since(record.named_at) < RATE_MEMORY_TIME);
    }
}

impl CellService {
    /// Records what the head of an answer says about the rate of requests that its worker takes, and
    /// reports a rate that it names; `sent_at` is the time of the dispatch.
    ///
    /// Returns whether that changes what this host knows.
    pub(super) fn observe_rate(
        &self,
        grant: &Grant,
        sent_at: ClockTime,
        statement: RateStatement,
    ) -> bool {
        let cell = self.asks.borrow().held_cell(grant.request).cloned();
        let Some(cell) = cell else { return false };
        let now = self.clock.now();
        let mut rates = self.rates.borrow_mut();
        let observation = rates.observe(now, sent_at, &cell, &grant.worker, statement);
        drop(rates);
        let is_named = statement != RateStatement::Unlimited;
        if let Some(rate) = observation.rate.filter(|_| is_named) {
            self.report(&WorkReport {
                request: grant.request,
                grant: grant.grant,
                worker: grant.worker.clone(),
                progress: WorkProgress::RateNamed { rate },
            });
        }
        observation.changed
    }

    /// Declares the rates that the workers of a cell named to this entry.
    pub(super) fn declare_rates(&self, now: ClockTime, cell: &CellId, broker: &HostName) {
        let rates = self.rates.borrow_mut().of_cell(now, cell);
        if !rates.is_empty() {
            let service = cell.service.clone();
            self.network
                .send(broker, LinkMessage::Rates { service, rates });
        }
    }
}
