//! The log of streams in the platform's store, from which hosts that start learn at which versions
//! streams were begun.
//!
//! Hosts keep the records of their streams in memory only. One host writes those of all hosts to the
//! store, in batches, so that they outlive a kill of all hosts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::name::WorkerVersion;
use crate::stream::STREAM_MEMORY_TIME;
use crate::stream::StreamKey;
use crate::stream::StreamStage;

/// The maximum number of streams in one batch, which fits a row of the store.
pub const MAX_BATCH_STREAMS: usize = 4_000;

/// The time after which a row of the log is removed.
pub const ROW_RETENTION: Duration = STREAM_MEMORY_TIME.saturating_add(Duration::from_secs(10));

/// The maximum number of rows that are removed together with the write of one.
pub const MAX_REMOVED_ROWS: usize = 50;

/// The maximum number of streams that wait to be written; the oldest is dropped first.
const MAX_UNSAVED_STREAMS: usize = 20_000;

/// The maximum number of streams that are held of those in the store.
const MAX_SAVED_STREAMS: usize = 200_000;

/// The end of the keys of rows whose streams have begun. Rows of builds before wire revision 5 hold
/// streams that were dispatched, and have keys without it.
const BEGUN_SUFFIX: &str = "-begun";

/// Streams of one stage with their versions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamBatch(pub BTreeMap<WorkerVersion, Vec<StreamKey>>);

impl StreamBatch {
    /// Returns whether the batch has no streams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the streams.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, &WorkerVersion)> {
        let versions = self.0.iter();
        versions.flat_map(|(version, streams)| streams.iter().map(move |key| (*key, version)))
    }
}

/// The streams of a host that are not in the store yet.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::stream::StreamKey;
/// use borageladder_kernel::stream_log::UnsavedStreams;
///
/// let mut unsaved = UnsavedStreams::default();
/// let stream = StreamKey::of("attempt-1");
/// unsaved.push(stream, "v1.2".parse()?);
/// let batch = unsaved.take_batch();
/// assert_eq!(batch.iter().collect::<Vec<_>>(), [(stream, &"v1.2".parse()?)]);
/// assert!(unsaved.take_batch().is_empty());
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct UnsavedStreams {
    streams: VecDeque<(StreamKey, WorkerVersion)>,
}

impl UnsavedStreams {
    /// Adds a stream.
    pub fn push(&mut self, stream: StreamKey, version: WorkerVersion) {
        self.streams.push_back((stream, version));
        while self.streams.len() > MAX_UNSAVED_STREAMS {
            self.streams.pop_front();
        }
    }

    /// Adds the streams of a batch of another host.
    pub fn extend(&mut self, batch: &StreamBatch) {
        for (stream, version) in batch.iter() {
            self.push(stream, version.clone());
        }
    }

    /// Puts the streams of a write that failed back before the newer ones, as far as there is room.
    pub fn restore(&mut self, batch: &StreamBatch) {
        let room = MAX_UNSAVED_STREAMS.saturating_sub(self.streams.len());
        for (stream, version) in batch.iter().take(room) {
            self.streams.push_front((stream, version.clone()));
        }
    }

    /// Takes the oldest streams, at most [`MAX_BATCH_STREAMS`].
    pub fn take_batch(&mut self) -> StreamBatch {
        let mut batch = StreamBatch::default();
        let count = self.streams.len().min(MAX_BATCH_STREAMS);
        for (stream, version) in self.streams.drain(..count) {
            batch.0.entry(version).or_default().push(stream);
        }
        batch
    }
}

/// A row of the log, as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoggedBatch {
    /// The stage that the streams had reached.
    pub stage: StreamStage,
    /// The streams.
    pub streams: StreamBatch,
}

/// Returns the key of the row that a host writes as its row `number` in this life of its process.
#[must_use]
pub fn row_key(incarnation: u64, number: u64, stage: StreamStage) -> String {
    let suffix = match stage {
        StreamStage::Dispatched => "",
        StreamStage::Begun => BEGUN_SUFFIX,
    };
    format!("{incarnation:016x}-{number:08}{suffix}")
}

/// Returns the stage of the streams in the row with a key.
#[must_use]
pub fn row_stage(key: &str) -> StreamStage {
    if key.ends_with(BEGUN_SUFFIX) {
        StreamStage::Begun
    } else {
        StreamStage::Dispatched
    }
}

/// A stream of the log.
#[derive(Clone, Copy, Debug)]
struct SavedStream {
    stage: StreamStage,
    /// The position of its version; `None` if it was recorded at several versions in this stage.
    version: Option<u16>,
}

impl SavedStream {
    /// Takes over what another row says of the same stream.
    fn merge(&mut self, other: Self) {
        if other.stage > self.stage {
            *self = other;
        } else if other.stage == self.stage && other.version != self.version {
            self.version = None;
        }
    }
}

/// The streams that were in the store at the last read.
#[derive(Clone, Debug, Default)]
pub struct SavedStreams {
    versions: Vec<WorkerVersion>,
    streams: HashMap<StreamKey, SavedStream>,
    read_at: Option<ClockTime>,
    /// Whether the first read found no row, so that no host has served a stream before.
    began_empty: bool,
}

impl SavedStreams {
    /// Replaces the streams by those of the batches that a read at `now` found, in the order in which
    /// they were written.
    pub fn replace(&mut self, now: ClockTime, batches: &[LoggedBatch]) {
        if self.read_at.is_none() {
            self.began_empty = batches.is_empty();
        }
        self.read_at = Some(now);
        self.versions.clear();
        self.streams.clear();
        let mut left = MAX_SAVED_STREAMS;
        for batch in batches.iter().rev() {
            for (stream, version) in batch.streams.iter().take(left) {
                left -= 1;
                let saved = SavedStream {
                    stage: batch.stage,
                    version: self.position(version),
                };
                let known = self.streams.entry(stream).or_insert(saved);
                known.merge(saved);
            }
        }
    }

    fn position(&mut self, version: &WorkerVersion) -> Option<u16> {
        let known = self.versions.iter().position(|name| name == version);
        let position = known.unwrap_or_else(|| {
            self.versions.push(version.clone());
            self.versions.len() - 1
        });
        u16::try_from(position).ok()
    }

    /// Returns the version at which a stream was begun; `None` if it was not in the store, or the store
    /// does not tell.
    ///
    /// A stream that was only dispatched, to workers of one version, counts as begun there.
    #[must_use]
    pub fn find(&self, stream: StreamKey) -> Option<&WorkerVersion> {
        let position = self.streams.get(&stream)?.version?;
        self.versions.get(usize::from(position))
    }

    /// Returns the time since the last read; `None` before the first.
    #[must_use]
    pub fn age(&self, now: ClockTime) -> Option<Duration> {
        self.read_at.map(|read_at| now.since(read_at))
    }

    /// Returns whether the first read found that no host has served a stream before.
    #[must_use]
    pub const fn began_empty(&self) -> bool {
        self.began_empty
    }
}

/// The rows of the log that a host removes later: its own, and those it found at its first write.
#[derive(Clone, Debug, Default)]
pub struct LogRows {
    /// The keys in the order of the times from which they may be removed.
    rows: VecDeque<(ClockTime, String)>,
}

impl LogRows {
    /// Adds a row that was written or found at `now`.
    pub fn push(&mut self, now: ClockTime, key: String) {
        self.rows.push_back((now + ROW_RETENTION, key));
    }

    /// Takes the keys of rows that may be removed, at most [`MAX_REMOVED_ROWS`].
    pub fn take_expired(&mut self, now: ClockTime) -> Vec<String> {
        let mut expired = Vec::new();
        while expired.len() < MAX_REMOVED_ROWS {
            match self.rows.front() {
                Some((removable_at, _)) if *removable_at <= now => (),
                _ => break,
            }
            expired.extend(self.rows.pop_front().map(|(_, key)| key));
        }
        expired
    }

    /// Puts keys back whose removal failed.
    pub fn restore(&mut self, now: ClockTime, keys: Vec<String>) {
        for key in keys.into_iter().rev() {
            self.rows.push_front((now, key));
        }
    }
}
