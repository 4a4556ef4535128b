//! The versions at which streams were begun, shared between the hosts.
//!
//! [`crate::kernel::stream`] says which hosts store the record of a stream.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::host::GatewayHost;
use super::stream_log;
use super::stream_log::StreamLogState;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::HostName;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkerVersion;
use crate::kernel::roster::UpstreamRoster;
use crate::kernel::stream::HOSTS_PER_LOOKUP;
use crate::kernel::stream::REPLICAS_PER_STREAM;
use crate::kernel::stream::ReplicaView;
use crate::kernel::stream::StreamDirectory;
use crate::kernel::stream::StreamKey;
use crate::kernel::stream::StreamRecord;
use crate::kernel::stream::StreamStage;
use crate::kernel::stream::VersionHistory;
use crate::kernel::stream::VersionView;
use crate::wire::LinkMessage;

/// The maximum time for which the answers of the replicas are awaited.
const LOOKUP_TIME: Duration = Duration::from_millis(150);

/// The age of the last read of the store up to which the versions that it shows are taken for all.
const CONFIRMATION_TIME: Duration = Duration::from_secs(2);

/// The versions of workers at which a stream may continue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StreamOrigin {
    /// Any version, since no worker of the service states one.
    Any,
    /// The version that began the stream.
    At(WorkerVersion, OriginEvidence),
    /// Not known, while workers of several versions serve or may serve.
    Unknown,
}

/// What shows the version at which a stream began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OriginEvidence {
    /// No worker states a version.
    Unversioned,
    /// A record of this host.
    Record,
    /// A record of another host.
    Peer,
    /// The log in the store.
    Log,
    /// Only one version was registered since the oldest open stream can have begun.
    OnlyVersion,
    /// Only one version was registered since the host started, and no host has served a stream before.
    OnlySinceStart,
}

impl OriginEvidence {
    /// Returns the name in log lines.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Unversioned => "unversioned",
            Self::Record => "record",
            Self::Peer => "peer",
            Self::Log => "log",
            Self::OnlyVersion => "only-version",
            Self::OnlySinceStart => "only-since-start",
        }
    }
}

/// What a host knows about the versions of streams and of workers.
#[derive(Debug, Default)]
pub(super) struct StreamState {
    directory: RefCell<StreamDirectory>,
    history: RefCell<VersionHistory>,
    lookups: RefCell<BTreeMap<StreamKey, Rc<StreamLookup>>>,
    pub(super) log: StreamLogState,
}

/// A query to the replicas of a stream that has not been answered yet.
#[derive(Debug, Default)]
struct StreamLookup {
    /// The number of replicas that have not answered.
    awaited: Cell<usize>,
    answered: Notify,
}

impl StreamState {
    /// Records the versions of the registered workers.
    pub(super) fn observe_workers(&self, now: ClockTime, roster: &UpstreamRoster) {
        let mut history = self.history.borrow_mut();
        history.forget_old(now);
        for record in roster.registered() {
            if let Some(version) = &record.version {
                history.observe(now, &record.service, version);
            }
        }
    }
}

/// Records that a worker of a version wrote an event of a stream, and replicates the record.
pub(super) fn record_begin(host: &GatewayHost, stream: StreamKey, version: &WorkerVersion) {
    let now = host.clock.now();
    let mut directory = host.streams.directory.borrow_mut();
    directory.record(now, stream, StreamRecord::begun(version.clone()));
    drop(directory);
    host.streams.log.record(stream, version);
    for replica in replicas(host, stream, REPLICAS_PER_STREAM) {
        let version = version.clone();
        let message = LinkMessage::StreamBegun { stream, version };
        // A replica that misses the message can't answer for the stream; the others can.
        let _ = host.links.send(&replica, message);
    }
}

/// Returns where a stream that a caller resumes may continue; `stream` is `None` if the caller does
/// not name the attempt that began it.
pub(super) async fn find_origin(
    host: &GatewayHost,
    stream: Option<StreamKey>,
    service: &ServiceName,
) -> StreamOrigin {
    if let Some(version) = stream.and_then(|stream| known_version(host, stream)) {
        return StreamOrigin::At(version, OriginEvidence::Record);
    }
    if !host.state.workers_known.get() {
        return StreamOrigin::Unknown;
    }
    match version_view(host, service) {
        VersionView::None => return StreamOrigin::Any,
        VersionView::Only(version) if is_confirmed(host) => {
            return StreamOrigin::At(version, OriginEvidence::OnlyVersion);
        }
        _ => (),
    }
    if let Some(stream) = stream {
        query_replicas(host, stream).await;
        if let Some(version) = known_version(host, stream) {
            return StreamOrigin::At(version, OriginEvidence::Peer);
        }
    }
    let found = find_in_log(host, stream).await;
    if let LogSearch::Found(version) = found {
        return StreamOrigin::At(version, OriginEvidence::Log);
    }
    match version_view(host, service) {
        VersionView::None => StreamOrigin::Any,
        VersionView::Only(version) if is_confirmed(host) => {
            StreamOrigin::At(version, OriginEvidence::OnlyVersion)
        }
        VersionView::OnlySinceStart(version)
            if is_confirmed(host) && found == LogSearch::NoStreamYet =>
        {
            StreamOrigin::At(version, OriginEvidence::OnlySinceStart)
        }
        _ => StreamOrigin::Unknown,
    }
}

/// What the log in the store says of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
enum LogSearch {
    /// The version that began it.
    Found(WorkerVersion),
    /// Nothing: no host had served a stream when this one started.
    NoStreamYet,
    /// Nothing, since the stream is not in the log or the log can't be read.
    Unknown,
}

async fn find_in_log(host: &GatewayHost, stream: Option<StreamKey>) -> LogSearch {
    let found = match stream {
        Some(stream) => stream_log::find(host, stream).await,
        None => stream_log::ensure_read(host).await.map(|()| None),
    };
    match found {
        Ok(Some(version)) => LogSearch::Found(version),
        Ok(None) if host.streams.log.began_empty() => LogSearch::NoStreamYet,
        Ok(None) | Err(_) => LogSearch::Unknown,
    }
}

/// Returns whether the host would know of a worker of another version that was registered some
/// time ago.
fn is_confirmed(host: &GatewayHost) -> bool {
    let now = host.clock.now();
    let age = host.state.freshness.borrow().age(now);
    age.is_some_and(|age| age < CONFIRMATION_TIME)
}

/// Answers the query of another host for the version of a stream.
pub(super) fn answer_lookup(host: &GatewayHost, from: &HostName, stream: StreamKey) {
    let record = host.streams.directory.borrow().find(stream).cloned();
    let message = match record {
        Some(StreamRecord {
            version,
            stage: StreamStage::Begun,
        }) => LinkMessage::StreamBegun { stream, version },
        record => {
            let version = record.map(|record| record.version);
            LinkMessage::StreamVersion { stream, version }
        }
    };
    // The other host does not wait longer than the lookup time.
    let _ = host.links.send(from, message);
}

/// Records what another host knows about a stream; `None` if it does not know it.
pub(super) fn receive_record(host: &GatewayHost, stream: StreamKey, record: Option<StreamRecord>) {
    let known = record.is_some();
    if let Some(record) = record {
        let now = host.clock.now();
        let mut directory = host.streams.directory.borrow_mut();
        directory.record(now, stream, record);
    }
    let Some(lookup) = host.streams.lookups.borrow().get(&stream).cloned() else {
        return;
    };
    let awaited = lookup.awaited.get().saturating_sub(1);
    lookup.awaited.set(awaited);
    if known || awaited == 0 {
        lookup.answered.notify_waiters();
    }
}

fn known_version(host: &GatewayHost, stream: StreamKey) -> Option<WorkerVersion> {
    let directory = host.streams.directory.borrow();
    directory.find(stream).map(|record| record.version.clone())
}

fn version_view(host: &GatewayHost, service: &ServiceName) -> VersionView {
    let now = host.clock.now();
    let streams = &host.streams;
    streams.observe_workers(now, &host.state.roster.borrow());
    streams.history.borrow().view(now, service)
}

/// Queries the replicas of a stream and waits until one knows it, all have answered or the lookup
/// time has passed.
async fn query_replicas(host: &GatewayHost, stream: StreamKey) {
    let lookup = PendingLookup::start(host, stream);
    let answered = lookup.state.answered.notified();
    for replica in replicas(host, stream, HOSTS_PER_LOOKUP) {
        if host
            .links
            .send(&replica, LinkMessage::StreamWanted(stream))
            .is_ok()
        {
            lookup.state.awaited.update(|awaited| awaited + 1);
        }
    }
    if lookup.state.awaited.get() > 0 {
        // Without an answer in time, the stream is unknown.
        let _ = tokio::time::timeout(LOOKUP_TIME, answered).await;
    }
}

/// A lookup that is removed from the state of its host when it is dropped.
struct PendingLookup<'a> {
    host: &'a GatewayHost,
    stream: StreamKey,
    state: Rc<StreamLookup>,
}

impl<'a> PendingLookup<'a> {
    fn start(host: &'a GatewayHost, stream: StreamKey) -> Self {
        let mut lookups = host.streams.lookups.borrow_mut();
        let state = Rc::clone(lookups.entry(stream).or_default());
        Self {
            host,
            stream,
            state,
        }
    }
}

impl Drop for PendingLookup<'_> {
    fn drop(&mut self) {
        // A second lookup of the same stream waits for its time limit then, and finds what is known.
        self.host.streams.lookups.borrow_mut().remove(&self.stream);
    }
}

fn replicas(host: &GatewayHost, stream: StreamKey, count: usize) -> Vec<HostName> {
    let view = ReplicaView {
        own: &host.settings.host,
        near: host.members.alive(&host.settings.datacenter),
        all: host.members.all_alive(),
        direct_hosts: host.settings.direct_hosts,
    };
    view.replicas(stream, count)
}
