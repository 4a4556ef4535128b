//! Read-only views of a broker's state.

use std::time::Duration;

use crate::ask::Ask;
use crate::clock::ClockTime;
use crate::name::HostName;
use crate::name::WorkerName;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct WaitingView<'a> {
    /// The ask as the entry sent it.
    pub ask: &'a Ask,
    /// The host whose entry holds the request.
    pub host: &'a HostName,
    /// The time at which the ask arrived.
    pub arrived_at: ClockTime,
    /// The time at which the complete answer is due.
    pub deadline: ClockTime,
    /// The worker that the request waits for; `None` if any worker will do, or any idle one for a
    /// request that must run alone.
    pub awaited_worker: Option<&'a WorkerName>,
}

/// The state that the broker of a cell keeps for a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerView<'a> {
    /// The name of the worker.
    pub worker: &'a WorkerName,
    /// The current concurrency limit, in requests; `u32::MAX` if the policy sets none.
    pub limit: u32,
    /// The number of requests that hold a slot.
    pub running: u32,
    /// Whether the worker may get new requests, regardless of its health and load.
    pub eligible: bool,
    /// Whether the worker is suspended because it is far slower than the median of its lane.
    pub straggler: bool,
    /// Whether the worker failed and has not answered a request since.
    pub failed: bool,
    /// The number of prompt blocks that the worker is assumed to have cached.
    pub cached_blocks: usize,
    /// The estimated time between two tokens; `None` before the first measurement.
    pub token_gap: Option<Duration>,
}

/// The free capacity and the queue lengths of a cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BrokerSummary {
    /// The number of free slots.
    pub free_slots: u32,
    /// The number of waiting requests, indexed by tier rank; the last element is that of the lowest
    /// tier with waiting requests.
    pub waiting: Vec<u32>,
}
