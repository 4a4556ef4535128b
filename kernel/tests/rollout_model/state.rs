//! The state of the model: hosts, messages in flight between them, and the table.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::DatacenterName;
use borageladder_kernel::name::HostName;
use borageladder_kernel::rollout::HostReport;
use borageladder_kernel::rollout::Rollout;

use super::ModelEvent;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Heartbeat {
    pub from: usize,
    pub from_incarnation: u8,
    pub to_incarnation: u8,
    pub sent: ClockTime,
    pub report: HostReport,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelHost {
    pub datacenter: usize,
    pub incarnation: u8,
    pub process: Option<Rollout>,
    pub suspended: bool,
    pub inbox: VecDeque<Heartbeat>,
    /// The incarnation and send time of the last heartbeat received from each host.
    pub last_heartbeats: Vec<Option<(u8, ClockTime)>>,
    /// The version that the operator at this host has read and not yet written over.
    pub read: Option<u64>,
    /// The version that the operator wrote and whose reply was lost.
    pub unacked: Option<u64>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelState {
    pub now: ClockTime,
    pub hosts: Vec<ModelHost>,
    /// The version in the table.
    pub table: u64,
    pub table_up: bool,
    /// The data centres that are cut off.
    pub cut_datacenters: BTreeSet<usize>,
    /// The pairs of hosts without a link.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// The events that can still occur.
    pub remaining: Vec<ModelEvent>,
    /// The highest version that was accepted.
    pub accepted: u64,
    /// Whether a change was reported as recorded.
    pub recorded: bool,
}

impl ModelHost {
    /// Returns whether a running process has unread messages from before the current unit of time.
    pub fn has_backlog(&self) -> bool {
        !self.suspended && !self.inbox.is_empty()
    }
}

pub fn host_name(number: usize) -> HostName {
    HostName::try_from(format!("h{number}")).expect("a valid name")
}

pub fn datacenter_name(number: usize) -> DatacenterName {
    DatacenterName::try_from(format!("d{number}")).expect("a valid name")
}

pub fn running(state: &mut ModelState, host: usize) -> Option<&mut Rollout> {
    let host = &mut state.hosts[host];
    host.process.as_mut().filter(|_| !host.suspended)
}

pub fn reaches(state: &ModelState, from: usize, to: usize) -> bool {
    let link_cut = state.cut_links.contains(&(from, to)) || state.cut_links.contains(&(to, from));
    let from = state.hosts[from].datacenter;
    let to = state.hosts[to].datacenter;
    !link_cut
        && (from == to
            || !(state.cut_datacenters.contains(&from) || state.cut_datacenters.contains(&to)))
}

/// Writes over the version that the operator at a host has read, by compare-and-set; returns the
/// new version, or `None` if the table holds another one.
pub fn write(state: &mut ModelState, host: usize) -> Option<u64> {
    let read = state.hosts[host].read.take();
    let won = read == Some(state.table);
    if won {
        state.table += 1;
    }
    won.then_some(state.table)
}

pub fn kill(host: &mut ModelHost) {
    host.process = None;
    host.incarnation += 1;
    host.suspended = false;
    host.inbox.clear();
    host.last_heartbeats.fill(None);
    host.read = None;
    host.unacked = None;
}

pub fn is_possible(state: &ModelState, event: ModelEvent) -> bool {
    let host = |number: usize| &state.hosts[number];
    let runs = |number: usize| host(number).process.is_some() && !host(number).suspended;
    let reaches_table = |number: usize| {
        runs(number) && state.table_up && !state.cut_datacenters.contains(&host(number).datacenter)
    };
    match event {
        ModelEvent::Read(number) => reaches_table(number) && host(number).read.is_none(),
        ModelEvent::Write(number) | ModelEvent::WriteReplyLost(number) => {
            reaches_table(number) && host(number).read.is_some()
        }
        ModelEvent::ResolveWrite(number) => reaches_table(number) && host(number).unacked.is_some(),
        ModelEvent::Suspend(number) => runs(number),
        ModelEvent::Resume(number) => host(number).suspended,
        ModelEvent::Kill(number) => host(number).process.is_some(),
        ModelEvent::Start(number) => host(number).process.is_none(),
        ModelEvent::Cut(datacenter) => !state.cut_datacenters.contains(&datacenter),
        ModelEvent::Heal(datacenter) => state.cut_datacenters.contains(&datacenter),
        ModelEvent::CutLink(one, other) => !state.cut_links.contains(&(one, other)),
        ModelEvent::TableDown => state.table_up,
        ModelEvent::TableUp => !state.table_up,
    }
}

/// Checks the invariant: no host that takes work has a version lower than an accepted one.
pub fn is_sound(state: &ModelState) -> bool {
    state
        .hosts
        .iter()
        .filter(|host| !host.suspended)
        .all(|host| {
            host.process.as_ref().is_none_or(|process| {
                !process.may_take_work(state.now) || process.applied().0 >= state.accepted
            })
        })
}
