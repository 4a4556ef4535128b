//! The faults that a stand-in can be told to have, and the log of the requests that it received.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use borageladder_kernel::name::WorkerName;
use serde::Deserialize;
use serde::Serialize;

use crate::transport::ConnectionState;

/// Who is leaving: the stand-in itself, or workers of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub enum LeavingNotice {
    /// Whether the stand-in itself is leaving.
    Itself(bool),
    /// All the workers that the host list shows as leaving.
    Workers(Vec<WorkerName>),
}

/// A change of the faults; members that are absent change nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultCommand {
    /// Whether every connection but those for control is reset.
    pub down: Option<bool>,
    /// The time that each call waits before it is handled, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Whether calls to the platform's object store are closed without an answer.
    pub objects_down: Option<bool>,
    /// How many of the next writes are applied and closed without an answer.
    pub lose_replies: Option<u32>,
    /// Whether the connections that are open now stay open and carry nothing more back.
    pub silent: Option<bool>,
    /// Who is leaving.
    pub leaving: Option<LeavingNotice>,
    /// The factor by which an engine is slower than its profile.
    pub slowdown: Option<f64>,
    /// The text in a prompt on which an engine's process exits; empty for none.
    pub crash_on: Option<String>,
    /// How many of the next requests are read whole and closed without an answer.
    pub read_then_close: Option<u32>,
    /// How many of the next connections are reset before anything is read from them.
    pub close_before_read: Option<u32>,
}

/// The faults of one stand-in.
#[derive(Debug, Default)]
pub struct FaultState {
    down: Cell<bool>,
    objects_down: Cell<bool>,
    delay: Cell<Duration>,
    lose_replies: Cell<u32>,
    read_then_close: Cell<u32>,
    close_before_read: Cell<u32>,
    leaving: Cell<bool>,
    leaving_workers: RefCell<Vec<WorkerName>>,
    slowdown: Cell<Option<f64>>,
    crash_on: RefCell<Option<String>>,
    connections: RefCell<Vec<Weak<ConnectionState>>>,
}

impl FaultState {
    /// Applies a command and affects open connections accordingly.
    pub fn apply(&self, command: FaultCommand) {
        set_if_given(&self.lose_replies, command.lose_replies);
        set_if_given(&self.read_then_close, command.read_then_close);
        set_if_given(&self.close_before_read, command.close_before_read);
        set_if_given(&self.down, command.down);
        set_if_given(&self.objects_down, command.objects_down);
        set_if_given(&self.delay, command.delay_ms.map(Duration::from_millis));
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
            self.each_connection(ConnectionState::reset);
        }
        if command.silent == Some(true) {
            self.each_connection(ConnectionState::silence);
        }
    }

    /// Registers a connection that was just accepted.
    #[must_use]
    pub fn open_connection(&self) -> Rc<ConnectionState> {
        let connection = Rc::new(ConnectionState::default());
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.push(Rc::downgrade(&connection));
        connection
    }

    /// Returns whether the stand-in is down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    /// Returns whether the object store alone is down.
    #[must_use]
    pub fn is_object_store_down(&self) -> bool {
        self.objects_down.get()
    }

    /// Returns the time that each call waits before it is handled.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.delay.get()
    }

    /// Returns whether the stand-in says that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns the workers that were said to leave.
    #[must_use]
    pub fn leaving_workers(&self) -> Vec<WorkerName> {
        self.leaving_workers.borrow().clone()
    }

    /// Takes the slowdown that was set since the last call.
    #[must_use]
    pub fn take_slowdown(&self) -> Option<f64> {
        self.slowdown.take()
    }

    /// Returns whether the process has to exit because of the prompt.
    #[must_use]
    pub fn crashes_on(&self, prompt: &str) -> bool {
        let text = self.crash_on.borrow();
        text.as_ref().is_some_and(|text| prompt.contains(text))
    }

    /// Returns whether a new connection could have to be reset before it is read.
    #[must_use]
    pub fn rejects_connections(&self) -> bool {
        self.down.get() || self.close_before_read.get() > 0
    }

    /// Counts one connection that is reset before it is read.
    pub fn count_rejected(&self) {
        take_one(&self.close_before_read);
    }

    /// Returns whether the reply to this write is to be lost, and counts it.
    #[must_use]
    pub fn take_lost_reply(&self) -> bool {
        take_one(&self.lose_replies)
    }

    /// Returns whether this request is to be closed without an answer, and counts it.
    #[must_use]
    pub fn take_unanswered(&self) -> bool {
        take_one(&self.read_then_close)
    }

    fn each_connection(&self, action: impl Fn(&ConnectionState)) {
        let connections = self.connections.borrow().clone();
        for connection in connections.iter().filter_map(Weak::upgrade) {
            action(&connection);
        }
    }
}

fn set_if_given<T>(cell: &Cell<T>, value: Option<T>) {
    if let Some(value) = value {
        cell.set(value);
    }
}

fn take_one(count: &Cell<u32>) -> bool {
    let left = count.get();
    count.set(left.saturating_sub(1));
    left > 0
}

/// The identifiers of the requests that a stand-in received, in order and with repeats.
#[derive(Debug, Default)]
pub struct RequestLog {
    requests: RefCell<Vec<String>>,
}

/// The log as `GET /log` answers it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogAnswer {
    /// The identifiers, in the order of their arrival.
    pub requests: Vec<String>,
}

impl RequestLog {
    /// Adds the identifier of a request that was read whole.
    pub fn add(&self, request: &str) {
        self.requests.borrow_mut().push(request.to_owned());
    }

    /// Returns all identifiers so far.
    #[must_use]
    pub fn answer(&self) -> LogAnswer {
        LogAnswer {
            requests: self.requests.borrow().clone(),
        }
    }
}
