//! Fault injection through `POST /control`, and the log of received requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use borageladder_kernel::name::WorkerName;
use serde::Deserialize;
use serde::Serialize;

use crate::transport::ConnectionState;

/// The value of `leaving` in a fault command, for an upstream or for the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub enum LeavingNotice {
    /// Whether the stand-in itself is leaving.
    Itself(bool),
    /// The complete set of workers that the host list shows as leaving.
    Workers(Vec<WorkerName>),
}

/// A change of the injected faults; a field that is absent leaves its fault unchanged.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultCommand {
    /// Whether all connections except those of control calls are reset.
    pub down: Option<bool>,
    /// The delay before each call is handled, in milliseconds; `POST /control` and `GET /log` are
    /// not delayed.
    pub delay_ms: Option<u64>,
    /// Whether calls to the platform's object store are reset without an answer.
    pub objects_down: Option<bool>,
    /// Number of following writes to the platform whose connections are reset instead of answered.
    ///
    /// A write is a transaction, also one that is refused because of a failed check, or the upload
    /// or deletion of an object. It is handled before the reset.
    pub lose_replies: Option<u32>,
    /// If true, the connections open at this time, except those of control calls, stay open but
    /// send nothing more to the peer. Silenced connections stay silent; false has no effect.
    pub silent: Option<bool>,
    /// Whether the stand-in is leaving, or which workers are.
    pub leaving: Option<LeavingNotice>,
    /// The factor by which the step times of an engine's profile are multiplied.
    pub slowdown: Option<f64>,
    /// Text that makes the engine's process exit if a prompt contains it; an empty text disables
    /// the fault.
    pub crash_on: Option<String>,
    /// Number of following requests that are read completely and then reset without an answer; a
    /// plain service runs them before the reset, an engine does not.
    pub read_then_close: Option<u32>,
    /// Number of following connections that are reset before anything is read from them;
    /// connections that carry a control call are exempt.
    pub close_before_read: Option<u32>,
}

/// The faults currently injected into one stand-in.
#[derive(Debug, Default)]
pub struct FaultState {
    down: Cell<bool>,
    objects_down: Cell<bool>,
    delay: Cell<Duration>,
    lost_answers: Cell<u32>,
    read_then_close: Cell<u32>,
    /// The number of connections still to be reset before anything is read from them.
    close_before_read: Cell<u32>,
    leaving: Cell<bool>,
    leaving_workers: RefCell<Vec<WorkerName>>,
    slowdown: Cell<Option<f64>>,
    crash_on: RefCell<Option<String>>,
    connections: RefCell<Vec<Weak<ConnectionState>>>,
}

impl FaultState {
    /// Applies a command, which can also reset or silence the open connections.
    pub fn apply(&self, command: FaultCommand) {
        set_if_some(&self.lost_answers, command.lose_replies);
        set_if_some(&self.read_then_close, command.read_then_close);
        set_if_some(&self.close_before_read, command.close_before_read);
        set_if_some(&self.down, command.down);
        set_if_some(&self.objects_down, command.objects_down);
        set_if_some(&self.delay, command.delay_ms.map(Duration::from_millis));
        if command.slowdown.is_some() {
            self.slowdown.set(command.slowdown);
        }
        if let Some(text) = command.crash_on {
            self.crash_on
                .replace(Some(text).filter(|text| !text.is_empty()));
        }
        match command.leaving {
            Some(LeavingNotice::Itself(leaving)) => self.leaving.set(leaving),
            Some(LeavingNotice::Workers(workers)) => {
                self.leaving_workers.replace(workers);
            }
            None => {}
        }
        if command.down == Some(true) {
            self.for_each_connection(ConnectionState::reset);
        }
        if command.silent == Some(true) {
            self.for_each_connection(ConnectionState::silence);
        }
    }

    /// Registers an accepted connection, so that later commands apply to it, and returns its fault
    /// state.
    #[must_use]
    pub fn register_connection(&self) -> Rc<ConnectionState> {
        let connection = Rc::new(ConnectionState::default());
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.push(Rc::downgrade(&connection));
        connection
    }

    /// Returns whether the whole stand-in is down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    /// Returns whether the object store is down.
    #[must_use]
    pub fn is_object_store_down(&self) -> bool {
        self.objects_down.get()
    }

    /// Returns the delay before each call is handled, except for control and log calls.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.delay.get()
    }

    /// Returns whether the stand-in reports that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns the workers that are marked as leaving, which the host list shows with a delay.
    #[must_use]
    pub fn leaving_workers(&self) -> Vec<WorkerName> {
        self.leaving_workers.borrow().clone()
    }

    /// Takes the slowdown factor set since the last call of this method; `None` if there is none.
    #[must_use]
    pub fn take_slowdown(&self) -> Option<f64> {
        self.slowdown.take()
    }

    /// Returns whether the prompt contains the text that triggers a crash.
    #[must_use]
    pub fn crashes_on(&self, prompt: &str) -> bool {
        let text = self.crash_on.borrow();
        text.as_ref().is_some_and(|text| prompt.contains(text))
    }

    /// Returns whether new connections are reset before they are read, unless they carry a
    /// control call.
    #[must_use]
    pub fn rejects_connections(&self) -> bool {
        self.down.get() || self.close_before_read.get() > 0
    }

    /// Decrements the number of connections still to be reset before they are read.
    pub fn consume_rejection(&self) {
        take_one(&self.close_before_read);
    }

    /// Returns whether this write to the platform is reset instead of answered, and consumes one
    /// such fault.
    #[must_use]
    pub fn take_lost_answer(&self) -> bool {
        take_one(&self.lost_answers)
    }

    /// Returns whether this request is reset without an answer, and consumes one such fault.
    #[must_use]
    pub fn take_reset_request(&self) -> bool {
        take_one(&self.read_then_close)
    }

    fn for_each_connection(&self, action: impl Fn(&ConnectionState)) {
        let connections = self.connections.borrow().clone();
        for connection in connections.iter().filter_map(Weak::upgrade) {
            action(&connection);
        }
    }
}

fn set_if_some<T>(cell: &Cell<T>, value: Option<T>) {
    if let Some(value) = value {
        cell.set(value);
    }
}

fn take_one(count: &Cell<u32>) -> bool {
    let remaining = count.get();
    count.set(remaining.saturating_sub(1));
    remaining > 0
}

/// The identifiers of received requests in order of arrival; a request received twice is listed
/// twice.
#[derive(Debug, Default)]
pub struct RequestLog {
    requests: RefCell<Vec<String>>,
}

/// The JSON body of the answer to `GET /log`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogAnswer {
    /// The identifiers in order of arrival.
    pub requests: Vec<String>,
}

impl RequestLog {
    /// Appends the identifier of a completely read request.
    pub fn add(&self, request: &str) {
        self.requests.borrow_mut().push(request.to_owned());
    }

    /// Returns the body for `GET /log`.
    #[must_use]
    pub fn answer(&self) -> LogAnswer {
        LogAnswer {
            requests: self.requests.borrow().clone(),
        }
    }
}
