//! Idle connections to workers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::worker::WorkerConnection;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::WorkerName;

/// The most idle connections that are kept to one worker.
const MAX_IDLE: usize = 8;

/// The time for which a connection is kept whose worker does not state one.
const UNSTATED_IDLE: Duration = Duration::from_secs(2);

/// The part of the stated time after which a connection is no longer used, as a divisor: the worker
/// may be closing it while a request is on its way.
const USED_DIVISOR: u32 = 2;

#[derive(Debug)]
struct IdleConnection {
    connection: WorkerConnection,
    until: ClockTime,
}

/// The idle connections to workers, by worker.
#[derive(Debug, Default)]
pub struct WorkerPool {
    idle: RefCell<BTreeMap<WorkerName, VecDeque<IdleConnection>>>,
}

impl WorkerPool {
    /// Takes the connection that was used last and is still good.
    pub fn take(&self, now: ClockTime, worker: &WorkerName) -> Option<WorkerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(worker)?;
        while let Some(last) = connections.pop_back() {
            if now < last.until && last.connection.is_quiet() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for further requests.
    pub fn put(
        &self,
        now: ClockTime,
        worker: &WorkerName,
        connection: WorkerConnection,
        stated: Option<Duration>,
    ) {
        let time = stated.map_or(UNSTATED_IDLE, |time| time / USED_DIVISOR);
        let until = now + time;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(worker.clone()).or_default();
        connections.push_back(IdleConnection { connection, until });
        while connections.len() > MAX_IDLE {
            connections.pop_front();
        }
    }

    /// Closes the connections that are too old.
    pub fn sweep(&self, now: ClockTime) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| now < idle.until);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the connections to a worker that failed or left.
    pub fn drop_worker(&self, worker: &WorkerName) {
        self.idle.borrow_mut().remove(worker);
    }
}
