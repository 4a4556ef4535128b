//! The entries that take turns, as the platform's balancer would choose them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;

/// The pause between two looks at the health of the entries.
const HEALTH_INTERVAL: Duration = Duration::from_millis(250);

/// The time within which an entry has to say that it is ready.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct EntryState {
    address: SocketAddr,
    ready: Cell<bool>,
}

/// Entries of which those that are ready take turns.
#[derive(Debug)]
pub struct EntryPool {
    entries: Vec<EntryState>,
    turn: Cell<usize>,
}

impl EntryPool {
    /// Creates a pool of entries that count as ready until the first look.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_standin::load::EntryPool;
    ///
    /// let first = "127.0.0.1:1".parse()?;
    /// let second = "127.0.0.1:2".parse()?;
    /// let pool = EntryPool::new(&[first, second]);
    /// assert_eq!(pool.next(), Some(first));
    /// pool.set_ready(second, false);
    /// assert_eq!(pool.next(), Some(first));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn new(entries: &[SocketAddr]) -> Self {
        let entries = entries.iter().map(|address| EntryState {
            address: *address,
            ready: Cell::new(true),
        });
        Self {
            entries: entries.collect(),
            turn: Cell::new(0),
        }
    }

    /// Notes whether an entry is ready.
    pub fn set_ready(&self, address: SocketAddr, ready: bool) {
        for entry in &self.entries {
            if entry.address == address {
                entry.ready.set(ready);
            }
        }
    }

    /// Returns the entry whose turn it is; `None` if no entry is ready.
    #[must_use]
    pub fn next(&self) -> Option<SocketAddr> {
        for _ in 0..self.entries.len() {
            let turn = self.turn.get();
            self.turn.set((turn + 1) % self.entries.len());
            let entry = &self.entries[turn];
            if entry.ready.get() {
                return Some(entry.address);
            }
        }
        None
    }
}

/// Looks at the health of the entries until the pool is given up.
pub async fn watch(pool: Rc<EntryPool>) {
    let client = Client::builder().timeout(HEALTH_TIMEOUT).finish();
    while Rc::strong_count(&pool) > 1 {
        for entry in &pool.entries {
            entry.ready.set(is_ready(&client, entry.address).await);
        }
        actix_rt::time::sleep(HEALTH_INTERVAL).await;
    }
}

async fn is_ready(client: &Client, address: SocketAddr) -> bool {
    let url = format!("http://{address}/health/ready");
    let answer = client.get(url).force_close().send().await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
