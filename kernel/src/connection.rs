//! The connections of callers that one host holds, and the bytes that they take besides the bodies of
//! requests.
//!
//! Each connection is charged for itself, and for the request that is read or served on it. When the
//! bytes or the number of connections reach their limit, connections on which no request is read or
//! served are closed, the one that has waited longest first; a connection with a request is never
//! closed for another one.

use std::collections::BTreeMap;

use crate::memory::rest_of_memory;

/// The part of the memory besides the process that connections may take, in percent. With the part of
/// the bodies, a tenth is left to the allocator.
const CONNECTION_PERCENT: u64 = 30;

/// The part of the memory besides the process that connections may borrow from bodies, in percent;
/// bodies keep as much.
const BORROWED_PERCENT: u64 = 30;

/// The bytes that connections may take in any case, so that a host with little memory serves some.
const MIN_CONNECTION_BYTES: u64 = 1 << 20;

/// The part of the descriptors that connections of callers may take: a request that is served takes
/// another one, to its worker.
const DESCRIPTOR_DIVISOR: u64 = 2;

/// The bytes of a connection on which no request is read or served.
pub const IDLE_BYTES: u64 = 4 << 10;

/// The bytes of a request that is read or served, besides its body and a head that is longer than
/// [`SHORT_HEAD`].
pub const REQUEST_BYTES: u64 = 28 << 10;

/// The length up to which a head counts as short, in bytes.
pub const SHORT_HEAD: u64 = 4 << 10;

/// The bytes of a long head for each byte that has been received: the buffer doubles when it grows.
const HEAD_FACTOR: u64 = 2;

/// The limits on the connections of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionBudget {
    /// The bytes that all connections may take at any time.
    pub bytes: u64,
    /// The bytes that they may take besides while no bodies need them.
    pub borrowed: u64,
    /// The number of connections.
    pub connections: u64,
}

impl ConnectionBudget {
    /// Returns the budget of a host with the given memory in bytes and number of descriptors.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::connection::ConnectionBudget;
    ///
    /// let budget = ConnectionBudget::of_host(104_000_000, 4_100);
    /// assert_eq!((budget.bytes, budget.connections), (24_000_000, 2_050));
    /// ```
    #[must_use]
    pub const fn of_host(memory: u64, descriptors: u64) -> Self {
        let share = rest_of_memory(memory, CONNECTION_PERCENT);
        Self {
            bytes: if share > MIN_CONNECTION_BYTES {
                share
            } else {
                MIN_CONNECTION_BYTES
            },
            borrowed: rest_of_memory(memory, BORROWED_PERCENT),
            connections: descriptors / DESCRIPTOR_DIVISOR,
        }
    }
}

/// Returns the bytes of a request of whose head the given number of bytes has been received.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::connection::REQUEST_BYTES;
/// use borageladder_kernel::connection::request_bytes;
///
/// assert_eq!(request_bytes(300), REQUEST_BYTES);
/// assert_eq!(request_bytes(16 << 10), REQUEST_BYTES + (32 << 10));
/// ```
#[must_use]
pub const fn request_bytes(head: u64) -> u64 {
    if head > SHORT_HEAD {
        REQUEST_BYTES + head * HEAD_FACTOR
    } else {
        REQUEST_BYTES
    }
}

/// The number of a connection, in the order in which they were accepted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallerNumber(u64);

/// The moment at which a connection became idle, in the order of these moments.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct IdleOrder(u64);

/// What is charged for a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionCharge {
    Idle(IdleOrder),
    /// The bytes of its request.
    Request(u64),
}

impl ConnectionCharge {
    const fn bytes(self) -> u64 {
        match self {
            Self::Idle(_) => IDLE_BYTES,
            Self::Request(bytes) => IDLE_BYTES + bytes,
        }
    }
}

/// A connection that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedConnection {
    /// Its number.
    pub number: CallerNumber,
    /// The connections that are closed for it.
    pub closed: Vec<CallerNumber>,
}

/// The connections of callers that one host holds.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::connection::ConnectionBudget;
/// use borageladder_kernel::connection::ConnectionLedger;
/// use borageladder_kernel::connection::REQUEST_BYTES;
///
/// let mut ledger = ConnectionLedger::new(ConnectionBudget { bytes: 1 << 20, borrowed: 0, connections: 2 });
/// let first = ledger.accept().expect("there is room").number;
/// let second = ledger.accept().expect("there is room").number;
/// assert_eq!(ledger.charge(first, REQUEST_BYTES), Some(Vec::new()));
/// // The first connection has a request, so the second one is closed for the third.
/// let third = ledger.accept().expect("there is an idle connection");
/// assert_eq!(third.closed, [second]);
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionLedger {
    budget: ConnectionBudget,
    /// The bytes that may be borrowed from bodies now.
    lendable: u64,
    held: u64,
    charges: BTreeMap<CallerNumber, ConnectionCharge>,
    idle: BTreeMap<IdleOrder, CallerNumber>,
    last_number: u64,
    last_idle: u64,
}

impl ConnectionLedger {
    /// Creates the ledger of a host without connections.
    #[must_use]
    pub const fn new(budget: ConnectionBudget) -> Self {
        Self {
            budget,
            lendable: 0,
            held: 0,
            charges: BTreeMap::new(),
            idle: BTreeMap::new(),
            last_number: 0,
            last_idle: 0,
        }
    }

    /// Returns the bytes that connections take.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the budget.
    #[must_use]
    pub const fn budget(&self) -> ConnectionBudget {
        self.budget
    }

    /// Returns the bytes that connections borrow from bodies.
    #[must_use]
    pub const fn borrowed(&self) -> u64 {
        self.held.saturating_sub(self.budget.bytes)
    }

    /// Sets the bytes that bodies lend, those that are borrowed included.
    pub fn set_lendable(&mut self, bytes: u64) {
        self.lendable = bytes.min(self.budget.borrowed);
    }

    /// Accepts a connection, which is idle at first; returns `None` if all others have requests and
    /// take the bytes or the number of connections.
    pub fn accept(&mut self) -> Option<AcceptedConnection> {
        let mut closed = self.make_room(IDLE_BYTES)?;
        if self.charges.len() as u64 >= self.budget.connections {
            closed.push(self.close_longest_idle()?);
        }
        self.last_number += 1;
        let number = CallerNumber(self.last_number);
        let idle = self.next_idle();
        self.set(number, idle);
        Some(AcceptedConnection { number, closed })
    }

    /// Charges a connection for the bytes of its request in place of what was charged before; returns
    /// the connections that are closed for it, or `None` if requests of others take the bytes.
    pub fn charge(&mut self, number: CallerNumber, bytes: u64) -> Option<Vec<CallerNumber>> {
        let before = *self.charges.get(&number)?;
        let charge = ConnectionCharge::Request(bytes);
        // A connection is not closed for its own request.
        self.remove(number);
        let Some(closed) = self.make_room(charge.bytes()) else {
            self.set(number, before);
            return None;
        };
        self.set(number, charge);
        Some(closed)
    }

    /// Records that no request is read or served on a connection any more.
    pub fn rest(&mut self, number: CallerNumber) {
        if let Some(ConnectionCharge::Request(_)) = self.charges.get(&number) {
            self.remove(number);
            let idle = self.next_idle();
            self.set(number, idle);
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, number: CallerNumber) {
        let Some(charge) = self.charges.remove(&number) else {
            return;
        };
        self.held -= charge.bytes();
        if let ConnectionCharge::Idle(order) = charge {
            self.idle.remove(&order);
        }
    }

    /// Closes idle connections until the bytes fit; closes none if that isn't enough.
    fn make_room(&mut self, bytes: u64) -> Option<Vec<CallerNumber>> {
        let idle = self.idle.len() as u64 * IDLE_BYTES;
        let limit = self.budget.bytes + self.lendable;
        if self.held - idle + bytes > limit {
            return None;
        }
        let mut closed = Vec::new();
        while self.held + bytes > limit {
            closed.push(self.close_longest_idle()?);
        }
        Some(closed)
    }

    fn close_longest_idle(&mut self) -> Option<CallerNumber> {
        let (_, number) = self.idle.first_key_value()?;
        let number = *number;
        self.remove(number);
        Some(number)
    }

    fn next_idle(&mut self) -> ConnectionCharge {
        self.last_idle += 1;
        ConnectionCharge::Idle(IdleOrder(self.last_idle))
    }

    fn set(&mut self, number: CallerNumber, charge: ConnectionCharge) {
        self.held += charge.bytes();
        if let ConnectionCharge::Idle(order) = charge {
            self.idle.insert(order, number);
        }
        self.charges.insert(number, charge);
    }
}
