//! What a broker shows of its state.

use std::time::Duration;

use crate::ask::Ask;
use crate::clock::ClockTime;
use crate::name::HostName;
use crate::name::WorkerName;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct WaitingView<'a> {
    /// The ask.
    pub ask: &'a Ask,
    /// The host whose entry holds the request.
    pub host: &'a HostName,
    /// The time at which the ask arrived.
    pub since: ClockTime,
    /// The time at which the answer is due.
    pub deadline: ClockTime,
    /// The worker for which the request waits, if it waits for a certain one.
    pub awaited: Option<&'a WorkerName>,
}

/// A worker as its broker sees it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerView<'a> {
    /// The name of the worker.
    pub worker: &'a WorkerName,
    /// The learned limit on running requests.
    pub limit: u32,
    /// The requests that hold a slot.
    pub running: u32,
    /// Whether the worker may get new work.
    pub serving: bool,
    /// Whether the worker is far slower than the cell's median.
    pub straggler: bool,
    /// Whether the worker is held back after a failure.
    pub held: bool,
    /// The number of prompt blocks that the worker is believed to have cached.
    pub cached_blocks: usize,
    /// The learned time between two tokens, if known.
    pub token_gap: Option<Duration>,
}

/// The room in a cell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BrokerSummary {
    /// The slots that are free now.
    pub free_slots: u32,
    /// The requests that wait, by tier rank.
    pub waiting: Vec<u32>,
}
