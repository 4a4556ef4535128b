//! JSON form of the prefix-cache events that an engine serves.

use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::CacheEvent;
use serde::Serialize;

/// The JSON body of the answer to `GET /cache/events`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CacheAnswer {
    /// The sequence number of the first event in `changes`.
    pub first: u64,
    /// The events, in the order of their sequence numbers.
    pub changes: Vec<CacheEventAnswer>,
}

/// One event of the cache, with its block digest as 16 hexadecimal digits.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventAnswer {
    /// The block was stored.
    Stored(String),
    /// The block was evicted.
    Evicted(String),
}

impl From<&CacheBatch> for CacheAnswer {
    fn from(batch: &CacheBatch) -> Self {
        let events = batch.events.iter().map(|event| match event {
            CacheEvent::Stored(digest) => CacheEventAnswer::Stored(format!("{:016x}", digest.0)),
            CacheEvent::Evicted(digest) => CacheEventAnswer::Evicted(format!("{:016x}", digest.0)),
        });
        Self {
            first: batch.first,
            changes: events.collect(),
        }
    }
}
