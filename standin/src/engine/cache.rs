//! JSON form of the prefix-cache events that an engine serves.

use borageladder_kernel::ask::CacheBatch;
use borageladder_kernel::ask::CacheEvent;
use serde::Serialize;

/// The JSON body of the answer to `GET /cache/events`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CacheAnswer {
    /// The sequence number of the first change in `changes`.
    pub first: u64,
    /// The changes, in the order of their sequence numbers.
    pub changes: Vec<ChangeAnswer>,
}

/// One change of the cache, with its block digest as 16 hexadecimal digits.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeAnswer {
    /// The block was stored.
    Stored(String),
    /// The block was evicted.
    Evicted(String),
}

impl From<&CacheBatch> for CacheAnswer {
    fn from(batch: &CacheBatch) -> Self {
        let changes = batch.events.iter().map(|change| match change {
            CacheEvent::Stored(digest) => ChangeAnswer::Stored(format!("{:016x}", digest.0)),
            CacheEvent::Evicted(digest) => ChangeAnswer::Evicted(format!("{:016x}", digest.0)),
        });
        Self {
            first: batch.first,
            changes: changes.collect(),
        }
    }
}
