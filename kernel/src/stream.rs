//! Streams and the versions of the workers that began them.
//!
//! What workers of two software versions write doesn't fit together, so a stream may continue
//! only at the version that began it. The caller may resume a stream at any host, after the host that
//! served it has died. Each host therefore records a stream before it relays the first event of a
//! dispatch, and replicates the record to a few hosts, which rendezvous hashing selects for each
//! stream. A host that receives a resumption of a stream that it does not know queries these replicas.
//! In a large deployment the replicas are hosts of the data centre of the host that records the stream,
//! since only these are linked with each other; [`ReplicaView`] says when. Elsewhere, the log in the
//! store tells the version.
//!
//! A dispatch that brought no event leaves no record, since the next one may go to another version.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::WorkerVersion;

/// The time for which a stream is remembered after its last record, longer than any stream lasts.
pub const STREAM_MEMORY_TIME: Duration = Duration::from_secs(30);

/// The number of hosts to which the record of each stream is replicated.
pub const REPLICAS_PER_STREAM: usize = 2;

/// The number of hosts that are queried for a stream: its replicas, also where the host that
/// replicated the record and two that have started since rank before them.
pub const HOSTS_PER_LOOKUP: usize = REPLICAS_PER_STREAM + 3;

/// The maximum number of streams in a directory; the oldest is forgotten first.
const MAX_STREAMS: usize = 20_000;

/// The key of a stream: a digest of the identifier of the caller's attempt that began it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt of a caller began.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::stream::StreamKey;
    ///
    /// assert_eq!(StreamKey::of("9c41d07be2a35f68"), StreamKey::of("9c41d07be2a35f68"));
    /// assert_ne!(StreamKey::of("9c41d07be2a35f68"), StreamKey::of("9c41d07be2a35f69"));
    /// ```
    #[must_use]
    pub fn of(attempt_id: &str) -> Self {
        Self(leading_bits(blake3::hash(attempt_id.as_bytes())))
    }

    /// Returns the hosts to which the record of the stream is replicated, the first ones in the order
    /// of their hashes for it.
    #[must_use]
    pub fn replicas(self, mut hosts: Vec<HostName>, count: usize) -> Vec<HostName> {
        hosts.sort_by_cached_key(|host| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&self.0.to_le_bytes());
            hasher.update(host.as_str().as_bytes());
            leading_bits(hasher.finalize())
        });
        hosts.truncate(count);
        hosts
    }
}

fn leading_bits(hash: blake3::Hash) -> u64 {
    let leading = hash.as_bytes().first_chunk();
    leading.copied().map(u64::from_le_bytes).unwrap_or_default()
}

/// The live hosts among which one host chooses the replicas of a stream.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::name::HostName;
/// use borageladder_kernel::stream::REPLICAS_PER_STREAM;
/// use borageladder_kernel::stream::ReplicaView;
/// use borageladder_kernel::stream::StreamKey;
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let names = ["sapporo-1", "sapporo-2", "sapporo-3", "kushiro-1"].map(str::parse::<HostName>);
/// let all = names.into_iter().collect::<Result<Vec<_>, _>>()?;
/// let view = ReplicaView {
///     own: &all[0],
///     near: all[..3].to_vec(),
///     all: all.clone(),
///     direct_hosts: 100,
/// };
/// let replicas = view.replicas(StreamKey::of("attempt-1"), REPLICAS_PER_STREAM);
/// assert_eq!(replicas.len(), REPLICAS_PER_STREAM);
/// assert!(!replicas.contains(&all[0]));
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct ReplicaView<'a> {
    /// The host that chooses, which is no replica itself.
    pub own: &'a HostName,
    /// The live hosts of its data centre.
    pub near: Vec<HostName>,
    /// All live hosts.
    pub all: Vec<HostName>,
    /// The number of live hosts up to which all of them are linked with each other.
    pub direct_hosts: usize,
}

impl ReplicaView<'_> {
    /// Returns the hosts to which the record of a stream is replicated, or the hosts that are queried
    /// for it, the first `count` in the order of their hashes.
    ///
    /// They are hosts of the own data centre if there are more than `direct_hosts` in all and the data
    /// centre has as many others as a lookup queries, and any hosts otherwise.
    #[must_use]
    pub fn replicas(self, stream: StreamKey, count: usize) -> Vec<HostName> {
        let is_large = self.all.len() > self.direct_hosts;
        let without_own = |mut hosts: Vec<HostName>| {
            hosts.retain(|host| host != self.own);
            hosts
        };
        let near = without_own(self.near);
        if is_large && near.len() >= HOSTS_PER_LOOKUP {
            return stream.replicas(near, count);
        }
        stream.replicas(without_own(self.all), count)
    }
}

/// How far a stream had come when its version was recorded; later stages order after earlier ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StreamStage {
    /// The request was sent to a worker, which may have written no event. Only builds before wire
    /// revision 5 record this.
    Dispatched,
    /// The worker wrote an event for the caller.
    Begun,
}

/// The version of the worker that a stream was sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamRecord {
    /// The version.
    pub version: WorkerVersion,
    /// What is known of the stream at this version.
    pub stage: StreamStage,
}

impl StreamRecord {
    /// Returns the record of a stream of which a worker of the version wrote an event.
    #[must_use]
    pub const fn begun(version: WorkerVersion) -> Self {
        let stage = StreamStage::Begun;
        Self { version, stage }
    }

    /// Returns the record of a stream that was sent to a worker of the version.
    #[must_use]
    pub const fn dispatched(version: WorkerVersion) -> Self {
        let stage = StreamStage::Dispatched;
        Self { version, stage }
    }
}

/// The versions at which recent streams were begun.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::stream::STREAM_MEMORY_TIME;
/// use borageladder_kernel::stream::StreamDirectory;
/// use borageladder_kernel::stream::StreamKey;
/// use borageladder_kernel::stream::StreamRecord;
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let mut directory = StreamDirectory::default();
/// let stream = StreamKey::of("attempt-1");
/// let record = StreamRecord::begun("v1.2".parse()?);
/// directory.record(ClockTime::ZERO, stream, record.clone());
/// assert_eq!(directory.find(stream), Some(&record));
/// directory.forget_old(ClockTime::ZERO + STREAM_MEMORY_TIME);
/// assert_eq!(directory.find(stream), None);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamDirectory {
    streams: BTreeMap<StreamKey, TimedRecord>,
    /// The streams by the time of their records; a stream that was recorded again stands here
    /// more than once.
    by_age: VecDeque<(ClockTime, StreamKey)>,
}

#[derive(Clone, Debug)]
struct TimedRecord {
    record: StreamRecord,
    recorded_at: ClockTime,
}

impl StreamDirectory {
    /// Records the version of a stream, unless a record of a later stage is known.
    pub fn record(&mut self, now: ClockTime, stream: StreamKey, record: StreamRecord) {
        self.forget_old(now);
        let known = self.streams.get(&stream);
        if known.is_some_and(|known| known.record.stage > record.stage) {
            return;
        }
        let record = TimedRecord {
            record,
            recorded_at: now,
        };
        self.streams.insert(stream, record);
        self.by_age.push_back((now, stream));
    }

    /// Returns the record of a stream; `None` if it is not known.
    #[must_use]
    pub fn find(&self, stream: StreamKey) -> Option<&StreamRecord> {
        self.streams.get(&stream).map(|known| &known.record)
    }

    /// Forgets the streams that were last recorded [`STREAM_MEMORY_TIME`] ago or earlier, and the
    /// oldest ones beyond the maximum number.
    pub fn forget_old(&mut self, now: ClockTime) {
        while let Some((recorded_at, stream)) = self.by_age.front().copied() {
            let is_old = now.since(recorded_at) >= STREAM_MEMORY_TIME;
            if !is_old && self.by_age.len() < MAX_STREAMS {
                return;
            }
            self.by_age.pop_front();
            let last = self.streams.get(&stream).map(|record| record.recorded_at);
            if last == Some(recorded_at) {
                self.streams.remove(&stream);
            }
        }
    }
}

/// What the registered workers show about the version of a stream without a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionView {
    /// No worker of the service states a version.
    None,
    /// Only workers of this version were registered since the oldest open stream can have begun.
    Only(WorkerVersion),
    /// The same since the host started, which is more recent than that.
    OnlySinceStart(WorkerVersion),
    /// Workers of several versions were registered.
    Several,
}

/// The versions of the workers of each service, with the time at which each was last registered.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    first_observation: Option<ClockTime>,
    services: BTreeMap<ServiceName, BTreeMap<WorkerVersion, ClockTime>>,
}

impl VersionHistory {
    /// Records a version that a registered worker of a service has now.
    pub fn observe(&mut self, now: ClockTime, service: &ServiceName, version: &WorkerVersion) {
        self.first_observation.get_or_insert(now);
        let versions = self.services.entry(service.clone()).or_default();
        versions.insert(version.clone(), now);
    }

    /// Forgets the versions that were last observed [`STREAM_MEMORY_TIME`] ago or earlier.
    pub fn forget_old(&mut self, now: ClockTime) {
        for versions in self.services.values_mut() {
            versions.retain(|_, observed_at| now.since(*observed_at) < STREAM_MEMORY_TIME);
        }
    }

    /// Returns at which versions an open stream of the service can have begun.
    #[must_use]
    pub fn view(&self, now: ClockTime, service: &ServiceName) -> VersionView {
        let Some(versions) = self.services.get(service) else {
            return VersionView::None;
        };
        let mut names = versions.keys();
        let long_enough = self
            .first_observation
            .is_some_and(|first| now.since(first) >= STREAM_MEMORY_TIME);
        match (names.next(), names.next()) {
            (None, _) => VersionView::None,
            (Some(only), None) if long_enough => VersionView::Only(only.clone()),
            (Some(only), None) => VersionView::OnlySinceStart(only.clone()),
            (Some(_), Some(_)) => VersionView::Several,
        }
    }
}
