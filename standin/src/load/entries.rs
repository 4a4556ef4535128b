//! Round-robin selection of ready entries, in place of the platform's load balancer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;

/// The pause between two rounds of readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);

/// The timeout of a readiness check; an entry that exceeds it counts as not ready.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct EntryState {
    address: SocketAddr,
    ready: Cell<bool>,
}

/// A round-robin pool of entries that skips those not ready.
#[derive(Debug)]
pub struct EntryPool {
    entries: Vec<EntryState>,
    next_index: Cell<usize>,
}

impl EntryPool {
    /// Creates a pool of entries, which count as ready until their first check.
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
            next_index: Cell::new(0),
        }
    }

    /// Sets whether the entry with the address is ready.
    pub fn set_ready(&self, address: SocketAddr, ready: bool) {
        for entry in &self.entries {
            if entry.address == address {
                entry.ready.set(ready);
            }
        }
    }

    /// Returns the next ready entry; `None` if no entry is ready.
    #[must_use]
    pub fn next(&self) -> Option<SocketAddr> {
        for _ in 0..self.entries.len() {
            let index = self.next_index.get();
            self.next_index.set((index + 1) % self.entries.len());
            let entry = &self.entries[index];
            if entry.ready.get() {
                return Some(entry.address);
            }
        }
        None
    }
}

/// Checks the readiness of the entries periodically until this is the only reference to the pool.
pub async fn watch_readiness(pool: Rc<EntryPool>) {
    let client = Client::builder().timeout(READINESS_TIMEOUT).finish();
    while Rc::strong_count(&pool) > 1 {
        for entry in &pool.entries {
            entry.ready.set(is_ready(&client, entry.address).await);
        }
        actix_rt::time::sleep(READINESS_INTERVAL).await;
    }
}

async fn is_ready(client: &Client, address: SocketAddr) -> bool {
    let url = format!("http://{address}/health/ready");
    let answer = client.get(url).force_close().send().await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
