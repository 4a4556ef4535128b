//! The virtual starts of the requests of one lane and tier: start-time fair queueing between
//! workspaces, and the earliest deadline first within a workspace.
//!
//! The virtual time is the latest virtual start of a request that was granted a slot. A request
//! starts at the virtual time, or where the last request of its workspace finishes if that is later,
//! and finishes after its predicted slot time. A workspace therefore gains nothing from being idle.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::load::ArrivalLoad;
use crate::name::RequestId;
use crate::name::TierRank;
use crate::name::WorkspaceName;

/// The maximum number of workspaces with a share of their own; further ones have one in common.
const MAX_WORKSPACES: usize = 1_024;

/// The maximum number of requests of a workspace that one with an earlier deadline may precede. With
/// more, it joins the end, so that the cost of an arrival is bounded.
const MAX_SHIFTED: usize = 64;

/// The place of a waiting request among those of its workspace.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WorkspacePlace {
    pub due: ClockTime,
    pub sequence: u64,
}

/// A waiting request and its virtual start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct VirtualStart {
    pub request: RequestId,
    pub start: u64,
}

/// The waiting requests of one workspace, or of several that have a share in common.
#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    /// The virtual finish of the last request.
    finish: u64,
    waiting: BTreeMap<WorkspacePlace, VirtualStart>,
    /// The recent load, all in the tier of the queue.
    load: ArrivalLoad,
}

impl WorkspaceQueue {
    /// Returns whether requests follow the place, and few enough to be shifted.
    fn precedes_some(&self, place: WorkspacePlace) -> bool {
        let later = self.waiting.range(place..).take(MAX_SHIFTED + 1).count();
        (1..=MAX_SHIFTED).contains(&later)
    }
}

/// The shares of the workspaces in one lane and tier.
#[derive(Clone, Debug)]
pub(super) struct FairQueue {
    /// At least one, since zero stands for no virtual start.
    virtual_time: u64,
    workspaces: BTreeMap<WorkspaceName, WorkspaceQueue>,
    /// The workspaces beyond [`MAX_WORKSPACES`].
    others: WorkspaceQueue,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            virtual_time: 1,
            workspaces: BTreeMap::new(),
            others: WorkspaceQueue::default(),
        }
    }
}

impl FairQueue {
    /// Returns the virtual start that a request would get.
    pub(super) fn plan(&self, workspace: &WorkspaceName, place: WorkspacePlace) -> u64 {
        let queue = self.workspaces.get(workspace);
        let is_full = self.workspaces.len() >= MAX_WORKSPACES;
        let Some(queue) = queue.or(is_full.then_some(&self.others)) else {
            return self.virtual_time;
        };
        let later = queue.waiting.range(place..).next();
        match later.filter(|_| queue.precedes_some(place)) {
            Some((_, later)) => later.start,
            None => queue.finish.max(self.virtual_time),
        }
    }

    /// Returns the mean number of slots that the work of a workspace occupies.
    pub(super) fn load(&self, now: ClockTime, workspace: &WorkspaceName) -> f64 {
        let queue = self.workspaces.get(workspace).unwrap_or(&self.others);
        queue.load.total(now)
    }

    /// Adds work of a workspace that arrived.
    pub(super) fn arrived(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        tier: TierRank,
        work: Duration,
    ) {
        self.queue_mut(workspace).load.arrived(now, tier, work);
    }

    /// Returns the work of the workspace that waits before a virtual start.
    pub(super) fn own_work(&self, workspace: &WorkspaceName, start: u64) -> Duration {
        let queue = self.workspaces.get(workspace).unwrap_or(&self.others);
        let first = queue.waiting.values().next();
        let ahead = first.map_or(0, |first| start.saturating_sub(first.start));
        Duration::from_micros(ahead)
    }

    /// Returns the number of workspaces with waiting requests.
    pub(super) fn waiting_workspaces(&self) -> usize {
        let queues = self.workspaces.values().chain([&self.others]);
        queues.filter(|queue| !queue.waiting.is_empty()).count()
    }

    /// Adds a request and returns the changed virtual starts, that of the request last.
    pub(super) fn insert(
        &mut self,
        workspace: &WorkspaceName,
        place: WorkspacePlace,
        request: RequestId,
        work: Duration,
    ) -> Vec<VirtualStart> {
        let start = self.plan(workspace, place);
        let cost = cost(work);
        let queue = self.queue_mut(workspace);
        let mut changed = Vec::new();
        if queue.precedes_some(place) {
            for (_, later) in queue.waiting.range_mut(place..) {
                later.start += cost;
                changed.push(*later);
            }
            queue.finish += cost;
        } else {
            queue.finish = start + cost;
        }
        let added = VirtualStart { request, start };
        queue.waiting.insert(place, added);
        changed.push(added);
        changed
    }

    /// Removes a request that no longer waits and takes back its cost.
    pub(super) fn remove(
        &mut self,
        workspace: &WorkspaceName,
        place: WorkspacePlace,
        work: Duration,
    ) {
        let own = self.workspaces.get_mut(workspace);
        let queue = own.filter(|queue| queue.waiting.contains_key(&place));
        let queue = queue.unwrap_or(&mut self.others);
        if queue.waiting.remove(&place).is_some() {
            queue.finish = queue.finish.saturating_sub(cost(work));
        }
    }

    /// Charges a workspace for a request that is granted a slot, and advances the virtual time to its
    /// virtual start.
    pub(super) fn charge(&mut self, workspace: &WorkspaceName, start: u64, work: Duration) {
        self.virtual_time = self.virtual_time.max(start);
        self.queue_mut(workspace).finish += cost(work);
    }

    /// Starts again with workspaces that hold slots for the given work: each one begins behind the
    /// others by as much as its work exceeds the mean of all workspaces.
    pub(super) fn restart(&mut self, running: &BTreeMap<WorkspaceName, Duration>, count: usize) {
        *self = Self::default();
        let total: u64 = running.values().map(|work| cost(*work)).sum();
        let mean = total / u64::try_from(count.max(1)).unwrap_or(u64::MAX);
        for (workspace, work) in running {
            let excess = cost(*work).saturating_sub(mean);
            let finish = self.virtual_time + excess;
            self.queue_mut(workspace).finish = finish;
        }
    }

    /// Returns the queue of a workspace and creates it if there is room.
    ///
    /// A workspace whose last request finishes before the virtual time and that waits for nothing is
    /// the same as a new one, so it makes room.
    fn queue_mut(&mut self, workspace: &WorkspaceName) -> &mut WorkspaceQueue {
        if !self.workspaces.contains_key(workspace) && self.workspaces.len() >= MAX_WORKSPACES {
            let now = self.virtual_time;
            let is_active =
                |queue: &WorkspaceQueue| !queue.waiting.is_empty() || queue.finish > now;
            self.workspaces.retain(|_, queue| is_active(queue));
            if self.workspaces.len() >= MAX_WORKSPACES {
                return &mut self.others;
            }
        }
        self.workspaces.entry(workspace.clone()).or_default()
    }
}

/// Returns the virtual time that some work takes, with equal weights of all workspaces.
fn cost(work: Duration) -> u64 {
    u64::try_from(work.as_micros()).unwrap_or(u64::MAX).max(1)
}
