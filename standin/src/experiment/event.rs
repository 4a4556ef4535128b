//! The events of an experiment in the order of their times.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::clock::ClockTime;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(super) enum ExperimentEvent {
    /// A request of the trace reaches its entry.
    Arrived {
        /// Its position in the trace.
        position: usize,
    },
    /// The caller of a request gives up.
    DeadlinePassed {
        /// The request's position among the lives.
        life: usize,
    },
    /// A message reaches the broker, if that broker still lives.
    BrokerReached {
        /// The number of the broker to which it was sent.
        broker: u64,
        /// The message.
        event: Box<BrokerEvent>,
    },
    /// The broker wants to be called.
    BrokerWoke,
    /// A message of the broker reaches an entry.
    EntryReached(Box<BrokerAction>),
    /// The first byte of a request reaches its worker.
    WorkerReached {
        /// The worker.
        worker: usize,
        /// The request's position among the lives.
        life: usize,
    },
    /// A cancellation reaches a worker.
    CancelReached {
        /// The worker.
        worker: usize,
        /// The request's position among the lives.
        life: usize,
    },
    /// A step of a worker ends.
    WorkerWoke(usize),
    /// The entry hears about a request that a worker runs.
    EntryHeard {
        /// The request's position among the lives.
        life: usize,
        /// What it hears.
        progress: WorkProgress,
    },
    /// The workers' loads and cache events are read.
    WorkersPolled,
    /// The list of live workers reaches the broker.
    WorkersListed,
    /// A worker changes its speed.
    WorkerSlowed {
        /// The worker.
        worker: usize,
        /// The factor on its step times.
        factor: f64,
    },
    /// A worker dies.
    WorkerDied(usize),
    /// A dead worker comes back with an empty cache.
    WorkerRevived(usize),
    /// A caller sends the request that crashes workers.
    PoisonSent {
        /// How often it was sent before.
        attempt: u32,
    },
    /// The request that crashes workers takes effect.
    PoisonActed {
        /// The worker.
        worker: usize,
        /// The request's position among the lives.
        life: usize,
    },
    /// The broker dies.
    BrokerDied,
    /// Another broker takes over the cell.
    BrokerStarted,
    /// A host with its entry dies.
    HostDied(usize),
}

/// An event with its time and its number, which orders events of one time.
#[derive(Debug)]
struct ScheduledEvent {
    at: ClockTime,
    number: u64,
    event: ExperimentEvent,
}

impl ScheduledEvent {
    const fn key(&self) -> (ClockTime, u64) {
        (self.at, self.number)
    }
}

impl Eq for ScheduledEvent {}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Events that are still to come, and the virtual time.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    now: ClockTime,
    pushed: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    pub(super) const fn now(&self) -> ClockTime {
        self.now
    }

    /// Schedules an event; one in the past happens now.
    pub(super) fn push(&mut self, at: ClockTime, event: ExperimentEvent) {
        self.pushed += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at: at.max(self.now),
            number: self.pushed,
            event,
        }));
    }

    /// Takes the next event and moves the time to it.
    pub(super) fn pop(&mut self) -> Option<ExperimentEvent> {
        let Reverse(scheduled) = self.heap.pop()?;
        self.now = scheduled.at;
        Some(scheduled.event)
    }
}
