//! Reports of evidence to the host that drives releases.
//!
//! In a large deployment, the relay of a data centre passes on the reports of its hosts.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::super::host::GatewayHost;
use super::super::sync;
use crate::kernel::name::HostName;
use crate::kernel::name::ServiceName;
use crate::kernel::release::ReleaseEvidence;
use crate::wire::EvidenceReport;
use crate::wire::LinkMessage;

/// The number of reports of which one holds all evidence, in case one was lost.
const FULL_REPORT_PERIOD: u32 = 8;

/// The maximum number of tallies in one message, which keeps it below the limit on messages with routes
/// of several hundred bytes.
const MAX_TALLIES: usize = 256;

/// The reports that are to be passed on, by their hosts and services.
#[derive(Debug, Default)]
pub(super) struct ReportQueue {
    queued: BTreeMap<(HostName, ServiceName), EvidenceReport>,
    /// The host that got the last report.
    last_driver: Option<HostName>,
}

impl ReportQueue {
    /// Queues a report; one of the same run for the same order adds to what is queued.
    fn add(&mut self, report: EvidenceReport) {
        let service = report.evidence.order.service.clone();
        let key = (report.host.clone(), service);
        match self.queued.get_mut(&key) {
            Some(queued)
                if queued.incarnation == report.incarnation
                    && queued.evidence.order == report.evidence.order =>
            {
                for (key, tally) in report.evidence.iter() {
                    queued.evidence.tally(key.clone()).keep_newest(tally);
                }
            }
            _ => {
                self.queued.insert(key, report);
            }
        }
    }
}

/// Reports evidence until the process ends.
pub(in super::super) async fn report_evidence(host: Rc<GatewayHost>) {
    if !host.releases.is_enabled() {
        return;
    }
    for turn in (0..FULL_REPORT_PERIOD).cycle() {
        actix_rt::time::sleep(host.releases.evidence_interval()).await;
        host.send_evidence(turn == 0);
    }
}

/// Takes the reports of other hosts, or passes them on if this host is a relay.
pub(in super::super) fn receive_reports(host: &Rc<GatewayHost>, reports: Vec<EvidenceReport>) {
    if !host.releases.is_enabled() {
        return;
    }
    let drives = host.drives_releases();
    for report in reports {
        host.releases.roles.borrow_mut().record_report(&report.host);
        if drives {
            host.take_evidence(report);
        } else {
            host.releases.reports.borrow_mut().add(report);
        }
    }
}

impl GatewayHost {
    fn send_evidence(self: &Rc<Self>, is_full_turn: bool) {
        if self.releases.orders.borrow().is_empty() {
            self.releases.evidence.borrow_mut().clear();
            return;
        }
        let Some(driver) = self.release_driver() else {
            return;
        };
        let mut queue = self.releases.reports.borrow_mut();
        let is_new = queue.last_driver.replace(driver.clone()) != Some(driver.clone());
        let own = self.own_reports(is_full_turn || is_new);
        for report in own {
            queue.add(report);
        }
        let queued = std::mem::take(&mut queue.queued);
        drop(queue);
        let reports: Vec<EvidenceReport> = queued.into_values().collect();
        if driver == self.settings.host {
            for report in reports {
                self.take_evidence(report);
            }
            return;
        }
        let next = self.next_report_host(&driver);
        for reports in batches(reports) {
            let message = LinkMessage::ReleaseEvidence(reports);
            // A report that is lost is followed by one that holds all evidence.
            if self.links.send(&next, message).is_err() {
                self.members.dial(&next);
            }
        }
    }

    /// Returns the host that takes reports for the driver: in a large deployment the relay of the data
    /// centre, unless the driver is in it.
    fn next_report_host(&self, driver: &HostName) -> HostName {
        let is_large = self.host_count() > self.settings.direct_hosts;
        let is_near = self.members.datacenter(driver).as_ref() == Some(&self.settings.datacenter);
        let relay = sync::relay_host(self).filter(|relay| *relay != self.settings.host);
        match relay {
            Some(relay) if is_large && !is_near => relay,
            _ => driver.clone(),
        }
    }

    /// Returns the reports of this host: of all evidence, or of what has changed. One without counts
    /// shows that the host knows the order.
    fn own_reports(&self, everything: bool) -> Vec<EvidenceReport> {
        let mut table = self.releases.evidence.borrow_mut();
        let orders = self.releases.open_orders();
        table.retain(|service, _| orders.iter().any(|order| order.service == *service));
        let reports = orders.into_iter().filter_map(|order| {
            let own = table.get_mut(&order.service);
            let evidence = match own {
                Some(own) => own.take(everything),
                None => everything.then(|| ReleaseEvidence::new(order)),
            };
            Some(EvidenceReport {
                host: self.settings.host.clone(),
                incarnation: self.incarnation(),
                evidence: evidence?,
            })
        });
        reports.collect()
    }
}

/// Divides reports into messages of at most [`MAX_TALLIES`] tallies each.
fn batches(reports: Vec<EvidenceReport>) -> Vec<Vec<EvidenceReport>> {
    let mut batches = vec![Vec::new()];
    let mut room = MAX_TALLIES;
    for report in reports {
        let mut part = ReleaseEvidence::new(report.evidence.order.clone());
        let with = |evidence| EvidenceReport {
            evidence,
            ..report.clone()
        };
        for (key, tally) in report.evidence.iter() {
            if room == 0 {
                let empty = ReleaseEvidence::new(report.evidence.order.clone());
                let full = with(std::mem::replace(&mut part, empty));
                batches.last_mut().expect("a batch").push(full);
                batches.push(Vec::new());
                room = MAX_TALLIES;
            }
            *part.tally(key.clone()) = tally.clone();
            room -= 1;
        }
        batches.last_mut().expect("a batch").push(with(part));
    }
    batches.retain(|batch| !batch.is_empty());
    batches
}
