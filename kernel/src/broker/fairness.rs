//! Fair shares between the workspaces of a tier.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CellBroker;
use super::fair_queue::VirtualStart;
use super::fair_queue::WorkspacePlace;
use super::waiting::WaitingRecord;
use crate::ask::Ask;
use crate::ask::RefusalReason;
use crate::ask::WorkspaceWork;
use crate::clock::ClockTime;
use crate::name::HostName;
use crate::name::RequestId;
use crate::name::TierRank;
use crate::name::WorkspaceName;
use crate::queue::QueueKey;
use crate::queue::QueueOrder;

/// The maximum number of workspaces whose slot time and refusals are counted between two reads.
const MAX_COUNTED: usize = 1_024;

/// The slot time that a workspace used and the refusals that it got.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkspaceCounts {
    /// The time for which its requests held slots.
    pub slot_time: Duration,
    /// The requests that were refused for lack of capacity or for their deadline.
    pub refused: u64,
}

/// The counts of one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceUsage {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Its counts.
    pub counts: WorkspaceCounts,
}

/// The running work of the workspaces in a lane and tier.
type RunningShares = BTreeMap<WorkspaceName, Duration>;

impl CellBroker {
    /// Returns what each workspace used and was refused since the last call; empty without fair shares.
    pub fn take_workspace_usage(&mut self) -> Vec<WorkspaceUsage> {
        let counts = std::mem::take(&mut self.workspace_counts);
        let usage = |(workspace, counts)| WorkspaceUsage { workspace, counts };
        counts.into_iter().map(usage).collect()
    }

    /// Returns the key with which a new request would wait.
    pub(super) fn queue_key(
        &self,
        lane: usize,
        ask: &Ask,
        deadline: ClockTime,
        sequence: u64,
    ) -> QueueKey {
        let key = QueueKey::new(self.policy.order(), ask.tier, deadline, sequence);
        if !self.shares_slots() {
            return key;
        }
        let queue = self.workers.lanes[lane].shares.get(&key.tier);
        let start = queue.map_or(1, |queue| queue.plan(&ask.workspace, place(&key)));
        key.starting_at(start)
    }

    /// Returns the predicted time until the waiting requests of a workspace that precede a new one have
    /// got their slots; zero without fair shares.
    ///
    /// Requests of other workspaces that arrive meanwhile may go first, so only the slots that these
    /// leave count, or an equal share if that is more.
    pub(super) fn share_wait(&self, now: ClockTime, record: &WaitingRecord) -> Duration {
        let key = &record.key;
        let lane = &self.workers.lanes[record.lane];
        let Some(queue) = lane.shares.get(&key.tier).filter(|_| key.start > 0) else {
            return Duration::ZERO;
        };
        let workspace = &record.ask.workspace;
        let own_work = queue.own_work(workspace, key.start);
        if own_work.is_zero() {
            return Duration::ZERO;
        }
        let slots = self.available_slots(now, record.lane, key.tier);
        let others = lane.load.of(now, key.tier) - queue.load(now, workspace);
        let waiting = u32::try_from(queue.waiting_workspaces()).unwrap_or(u32::MAX);
        let share = slots / f64::from(waiting.max(1));
        own_work.div_f64((slots - others.max(0.0)).max(share))
    }

    /// Counts work of a workspace that arrived.
    pub(super) fn count_arrived(&mut self, now: ClockTime, record: &WaitingRecord) {
        if self.is_shared(&record.key) {
            let shares = &mut self.workers.lanes[record.lane].shares;
            let queue = shares.entry(record.key.tier).or_default();
            queue.arrived(now, &record.ask.workspace, record.key.tier, record.work);
        }
    }

    const fn is_shared(&self, key: &QueueKey) -> bool {
        self.settings.fair_shares && key.start > 0
    }

    fn shares_slots(&self) -> bool {
        self.settings.fair_shares && self.policy.order() == QueueOrder::TierDeadline
    }

    /// Gives a request that begins to wait its virtual start, and shifts those of its workspace that
    /// follow it.
    pub(super) fn join_shares(&mut self, now: ClockTime, record: &mut WaitingRecord) {
        if !self.is_shared(&record.key) {
            return;
        }
        let lane = &mut self.workers.lanes[record.lane];
        let queue = lane.shares.entry(record.key.tier).or_default();
        let request = record.ask.request;
        let place = place(&record.key);
        let changed = queue.insert(&record.ask.workspace, place, request, record.work);
        for VirtualStart { request, start } in changed {
            if request == record.ask.request {
                record.key = record.key.starting_at(start);
            } else {
                self.move_to_start(now, request, start);
            }
        }
    }

    fn move_to_start(&mut self, now: ClockTime, request: RequestId, start: u64) {
        self.dequeue(now, request);
        if let Some(record) = self.waiting.get(request) {
            let key = record.key.starting_at(start);
            let tally = &mut self.workers.lanes[record.lane].tally;
            tally.remove(&record.key, record.work);
            tally.add(&key, record.work);
            self.waiting.set_key(request, key);
        }
        self.enqueue(now, request);
    }

    /// Takes a request that no longer waits from the shares.
    pub(super) fn leave_shares(&mut self, record: &WaitingRecord) {
        if !self.is_shared(&record.key) {
            return;
        }
        let lane = &mut self.workers.lanes[record.lane];
        if let Some(queue) = lane.shares.get_mut(&record.key.tier) {
            queue.remove(&record.ask.workspace, place(&record.key), record.work);
        }
    }

    /// Charges the workspace of a request that is granted a slot.
    pub(super) fn charge_share(&mut self, record: &WaitingRecord) {
        if !self.is_shared(&record.key) {
            return;
        }
        let lane = &mut self.workers.lanes[record.lane];
        if let Some(queue) = lane.shares.get_mut(&record.key.tier) {
            queue.charge(&record.ask.workspace, record.key.start, record.work);
        }
    }

    /// Records the workspaces of running work that this broker did not grant.
    pub(super) fn on_workspaces_declared(&mut self, host: &HostName, running: &[WorkspaceWork]) {
        if !self.shares_slots() {
            return;
        }
        for work in running {
            let grant = self.grants.of_request(work.request);
            let record = grant.and_then(|grant| self.grants.get_mut(grant));
            if let Some(record) = record.filter(|record| record.host == *host) {
                record.declared.get_or_insert_with(|| work.clone());
            }
        }
    }

    /// Computes the shares anew from the work that runs and waits at the end of a takeover.
    pub(super) fn rebuild_shares(&mut self, now: ClockTime) {
        if !self.shares_slots() {
            return;
        }
        let mut running: BTreeMap<(usize, TierRank), RunningShares> = BTreeMap::new();
        for grant in self.grants.iter() {
            let Some(work) = &grant.declared else {
                continue;
            };
            for lane in &self.workers.records[grant.worker].lanes {
                let shares = running.entry((*lane, work.tier)).or_default();
                *shares.entry(work.workspace.clone()).or_default() += grant.work;
            }
        }
        let mut waiting: Vec<WaitingRecord> = self.waiting.iter().cloned().collect();
        waiting.sort_by_key(|record| place(&record.key));
        let mut counts: BTreeMap<(usize, TierRank), RunningShares> = running.clone();
        for record in &waiting {
            let shares = counts.entry((record.lane, record.key.tier)).or_default();
            shares.entry(record.ask.workspace.clone()).or_default();
        }
        for record in &waiting {
            self.remove_waiting(now, record.ask.request);
        }
        for (place, all) in &counts {
            let (lane, tier) = *place;
            let queue = self.workers.lanes[lane].shares.entry(tier).or_default();
            let shares = running.remove(place).unwrap_or_default();
            queue.restart(&shares, all.len());
        }
        for record in waiting {
            self.insert_waiting(now, record);
        }
    }

    /// Counts a refusal of a workspace for lack of capacity or for the deadline.
    pub(super) fn count_refused(&mut self, workspace: &WorkspaceName, reason: RefusalReason) {
        if matches!(reason, RefusalReason::Capacity | RefusalReason::Deadline)
            && let Some(counts) = self.workspace_counts_mut(workspace)
        {
            counts.refused += 1;
        }
    }

    /// Counts the time for which a request of a workspace held a slot.
    pub(super) fn count_slot_time(&mut self, workspace: &WorkspaceName, held: Duration) {
        if let Some(counts) = self.workspace_counts_mut(workspace) {
            counts.slot_time += held;
        }
    }

    fn workspace_counts_mut(&mut self, workspace: &WorkspaceName) -> Option<&mut WorkspaceCounts> {
        let is_known = self.workspace_counts.contains_key(workspace);
        let has_room = is_known || self.workspace_counts.len() < MAX_COUNTED;
        if !self.settings.fair_shares || !has_room {
            return None;
        }
        Some(self.workspace_counts.entry(workspace.clone()).or_default())
    }
}

const fn place(key: &QueueKey) -> WorkspacePlace {
    WorkspacePlace {
        due: key.due,
        sequence: key.sequence,
    }
}
