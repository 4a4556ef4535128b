//! Pool of idle connections to workers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::worker::ConnectionNumber;
use super::worker::WorkerConnection;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::WorkerName;

/// Upper bound on the idle connections to one worker; the oldest ones are closed first.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Time for which a connection is kept if its worker sends no idle time in a `Keep-Alive` header.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(2);

/// A connection is kept for the idle time that its worker stated, divided by this number.
///
/// Close to the end of the stated time, the worker may close the connection while a request is in
/// transit.
const IDLE_TIME_DIVISOR: u32 = 2;

/// The age from which a connection through another host gets no further request, so that the direct
/// way is tried again.
const MAX_TUNNEL_AGE: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct IdleConnection {
    connection: WorkerConnection,
    expires_at: ClockTime,
}

/// Idle connections, grouped by worker.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<WorkerName, VecDeque<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that has not expired, is still open and is none of
    /// `excluded`.
    ///
    /// Expired and closed connections found on the way are dropped.
    pub fn take(
        &self,
        now: ClockTime,
        worker: &WorkerName,
        excluded: &[ConnectionNumber],
    ) -> Option<WorkerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(worker)?;
        for position in (0..connections.len()).rev() {
            if excluded.contains(&connections[position].connection.number()) {
                continue;
            }
            let last = connections.remove(position)?;
            if now < last.expires_at && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection for further requests.
    ///
    /// `idle_time` is the time for which the worker keeps an idle connection open according to its
    /// `Keep-Alive` header; `None` if it sent none.
    pub fn put(
        &self,
        now: ClockTime,
        worker: &WorkerName,
        connection: WorkerConnection,
        idle_time: Option<Duration>,
    ) {
        let time = idle_time.map_or(DEFAULT_IDLE_TIME, |time| time / IDLE_TIME_DIVISOR);
        let idle_until = now + time;
        let opened_at = connection.opened_at();
        let tunnel_until = connection.tunnel().map(|_| opened_at + MAX_TUNNEL_AGE);
        let expires_at = tunnel_until.map_or(idle_until, |until| idle_until.min(until));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(worker.clone()).or_default();
        connections.push_back(IdleConnection {
            connection,
            expires_at,
        });
        while connections.len() > MAX_IDLE_CONNECTIONS {
            connections.pop_front();
        }
    }

    /// Closes expired connections.
    pub fn close_expired(&self, now: ClockTime) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| now < connection.expires_at);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the direct idle connections to all workers.
    pub fn close_direct(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.connection.tunnel().is_some());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections to a worker that failed.
    pub fn close_connections(&self, worker: &WorkerName) {
        self.idle.borrow_mut().remove(worker);
    }
}
