//! The event queue of an experiment, ordered by virtual time.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::clock::ClockTime;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(super) enum ExperimentEvent {
    /// A request of the trace arrives at an entry.
    Arrived {
        /// Index of the request in the trace.
        position: usize,
    },
    /// The deadline of a request passes.
    DeadlinePassed {
        /// Index of the request's record.
        record: usize,
    },
    /// A message arrives at a broker; it is dropped if that broker has failed since.
    BrokerReached {
        /// Generation of the broker to which the message was sent.
        generation: u64,
        /// Content of the message.
        event: Box<BrokerEvent>,
    },
    /// The scheduled wake-up of the broker is due.
    BrokerWoke,
    /// A message from the broker arrives at an entry.
    EntryReached(Box<BrokerAction>),
    /// A dispatched request arrives at its worker.
    WorkerReached {
        /// Index of the worker.
        worker: usize,
        /// Index of the request's record.
        record: usize,
    },
    /// A cancellation arrives at a worker.
    CancelReached {
        /// Index of the worker.
        worker: usize,
        /// Index of the request's record.
        record: usize,
    },
    /// The scheduled wake-up of the worker with this index is due, normally at the end of a step.
    WorkerWoke(usize),
    /// Progress of a running request arrives at its entry.
    ProgressReported {
        /// Index of the request's record.
        record: usize,
        /// Progress as the entry observes it.
        progress: WorkProgress,
    },
    /// The loads and cache events of all live workers are polled.
    WorkersPolled,
    /// The updated list of live workers is sent to the broker.
    WorkersListed,
    /// The speed of a worker changes.
    WorkerSlowed {
        /// Index of the worker.
        worker: usize,
        /// Multiplier of the step times of the worker.
        factor: f64,
    },
    /// The worker with this index fails.
    WorkerDied(usize),
    /// The failed worker with this index restarts with an empty cache.
    WorkerRestarted(usize),
    /// A caller sends the crashing request.
    CrashingRequestSent {
        /// Number of times that the request was sent before.
        attempt: u32,
    },
    /// The crashing request crashes its worker.
    CrashTriggered {
        /// Index of the worker.
        worker: usize,
        /// Index of the request's record.
        record: usize,
    },
    /// The broker fails.
    BrokerDied,
    /// Another broker takes over the cell.
    BrokerStarted,
    /// The host with this index fails together with its entry.
    HostDied(usize),
}

/// A scheduled event; events at the same time run in the order in which they were pushed.
#[derive(Debug)]
struct ScheduledEvent {
    at: ClockTime,
    sequence: u64,
    event: ExperimentEvent,
}

impl ScheduledEvent {
    const fn key(&self) -> (ClockTime, u64) {
        (self.at, self.sequence)
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

/// Pending events and the current virtual time.
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

    /// Schedules an event; a time in the past is moved to the current time.
    pub(super) fn push(&mut self, at: ClockTime, event: ExperimentEvent) {
        self.pushed += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at: at.max(self.now),
            sequence: self.pushed,
            event,
        }));
    }

    /// Removes the next event and advances the virtual time to it.
    pub(super) fn pop(&mut self) -> Option<ExperimentEvent> {
        let Reverse(scheduled) = self.heap.pop()?;
        self.now = scheduled.at;
        Some(scheduled.event)
    }
}
