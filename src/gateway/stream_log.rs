//! The log of streams in the store: its writer, and its reads by hosts that don't know a stream.
//!
//! The host that reads the store for others also writes the streams of all of them.
//! [`crate::kernel::stream_log`] says what is kept and for how long.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Mutex;

use super::host::GatewayHost;
use super::store::LogEntry;
use super::store::StoreError;
use super::sync;
use crate::event::LogEvent;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkerVersion;
use crate::kernel::share::DIRECT_HOSTS;
use crate::kernel::stream::StreamKey;
use crate::kernel::stream::StreamStage;
use crate::kernel::stream_log;
use crate::kernel::stream_log::LogRows;
use crate::kernel::stream_log::LoggedBatch;
use crate::kernel::stream_log::SavedStreams;
use crate::kernel::stream_log::StreamBatch;
use crate::kernel::stream_log::UnsavedStreams;
use crate::log_event;
use crate::wire::LinkMessage;
use crate::wire::WireRevision;

/// The interval at which new streams are passed on or written.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);

/// The same on deployments with relays, which would else receive many small messages.
const RELAYED_SAVE_INTERVAL: Duration = Duration::from_millis(500);

/// The delay before a failed write is repeated.
const SAVE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The age of the last read up to which a stream that it did not find is taken for unknown.
const READ_AGAIN_TIME: Duration = Duration::from_secs(2);

/// What a host knows of the log, and what it has to add to it.
#[derive(Debug, Default)]
pub(super) struct StreamLogState {
    /// The streams that have begun and are not in the log yet.
    begun: RefCell<UnsavedStreams>,
    /// The streams that hosts before wire revision 5 have dispatched.
    dispatched: RefCell<UnsavedStreams>,
    saved: RefCell<SavedStreams>,
    /// Held during a read, so that requests wait for one read together.
    reading: Mutex<()>,
    rows: RefCell<LogRows>,
    /// Whether the rows of other hosts are among `rows`.
    rows_listed: Cell<bool>,
    /// The number of the last row that this host has written.
    last_row: Cell<u64>,
}

impl StreamLogState {
    /// Adds a stream of which a worker of a version wrote an event.
    pub(super) fn record(&self, stream: StreamKey, version: &WorkerVersion) {
        let mut unsaved = self.begun.borrow_mut();
        unsaved.push(stream, version.clone());
    }

    /// Adds streams of another host.
    pub(super) fn receive(&self, stage: StreamStage, batch: &StreamBatch) {
        self.unsaved(stage).borrow_mut().extend(batch);
    }

    /// Puts the streams of a write that failed back.
    fn restore(&self, stage: StreamStage, batch: &StreamBatch) {
        self.unsaved(stage).borrow_mut().restore(batch);
    }

    const fn unsaved(&self, stage: StreamStage) -> &RefCell<UnsavedStreams> {
        match stage {
            StreamStage::Begun => &self.begun,
            StreamStage::Dispatched => &self.dispatched,
        }
    }

    /// Returns whether the log had no entry at the host's first read.
    pub(super) fn began_empty(&self) -> bool {
        self.saved.borrow().began_empty()
    }
}

/// Passes the new streams of a host on to the store until the process ends.
pub(super) async fn save_streams(host: Rc<GatewayHost>) {
    loop {
        let interval = if host.host_count() > DIRECT_HOSTS {
            RELAYED_SAVE_INTERVAL
        } else {
            SAVE_INTERVAL
        };
        actix_rt::time::sleep(interval).await;
        let mut saved = true;
        for stage in [StreamStage::Begun, StreamStage::Dispatched] {
            saved &= match writer(&host) {
                Some(writer) => pass_on(&host, &writer, stage),
                None => write(&host, stage).await,
            };
        }
        if !saved {
            actix_rt::time::sleep(SAVE_RETRY_DELAY).await;
        }
    }
}

/// Returns the host that writes the streams of this one, or `None` if it writes them itself.
fn writer(host: &GatewayHost) -> Option<HostName> {
    let source = sync::source_host(host)?;
    let revision = host.links.peer_revision(&source)?;
    (revision >= WireRevision::STREAM_RECORDS).then_some(source)
}

/// Sends the new streams to another host; returns whether that succeeded.
fn pass_on(host: &GatewayHost, writer: &HostName, stage: StreamStage) -> bool {
    let log = &host.streams.log;
    let batch = log.unsaved(stage).borrow_mut().take_batch();
    if batch.is_empty() {
        return true;
    }
    let message = match stage {
        StreamStage::Begun => LinkMessage::BegunStreams(batch.clone()),
        StreamStage::Dispatched => LinkMessage::StreamRecords(batch.clone()),
    };
    let sent = host.links.send(writer, message).is_ok();
    if !sent {
        log.restore(stage, &batch);
    }
    sent
}

/// Writes the new streams to the store; returns whether that succeeded.
async fn write(host: &GatewayHost, stage: StreamStage) -> bool {
    let log = &host.streams.log;
    let batch = log.unsaved(stage).borrow_mut().take_batch();
    if batch.is_empty() {
        return true;
    }
    list_rows(host).await;
    let row = log.last_row.get() + 1;
    log.last_row.set(row);
    let entry = LogEntry {
        key: stream_log::row_key(host.incarnation(), row, stage),
        value: encode(&batch),
    };
    let key = entry.key.clone();
    let expired = log.rows.borrow_mut().take_expired(host.clock.now());
    let appended = host.store.append_stream_log(entry, expired.clone()).await;
    host.record_store_call("append-streams", &appended);
    let now = host.clock.now();
    // A write without an answer may have been made.
    log.rows.borrow_mut().push(now, key);
    if appended.is_err() {
        log.rows.borrow_mut().restore(now, expired);
        log.restore(stage, &batch);
    }
    appended.is_ok()
}

/// Takes over the removal of the rows that other hosts have left.
async fn list_rows(host: &GatewayHost) {
    let log = &host.streams.log;
    if log.rows_listed.get() {
        return;
    }
    let read = host.store.stream_log().await;
    host.record_store_call("streams", &read);
    let Ok(entries) = read else {
        return;
    };
    log.rows_listed.set(true);
    let now = host.clock.now();
    let mut rows = log.rows.borrow_mut();
    for entry in entries {
        rows.push(now, entry.key);
    }
}

/// Returns the version at which a stream was begun, by the log in the store; `None` if it is not in
/// the log.
///
/// # Errors
///
/// Returns an error if the log can't be read.
pub(super) async fn find(
    host: &GatewayHost,
    stream: StreamKey,
) -> Result<Option<WorkerVersion>, StoreError> {
    let log = &host.streams.log;
    let known = || log.saved.borrow().find(stream).cloned();
    let _reading = log.reading.lock().await;
    let age = log.saved.borrow().age(host.clock.now());
    let is_recent = age.is_some_and(|age| age < READ_AGAIN_TIME);
    if let Some(version) = known() {
        return Ok(Some(version));
    }
    if !is_recent {
        read(host).await?;
    }
    Ok(known())
}

/// Reads the log unless that was done before.
///
/// # Errors
///
/// Returns an error if the log can't be read.
pub(super) async fn ensure_read(host: &GatewayHost) -> Result<(), StoreError> {
    let log = &host.streams.log;
    let _reading = log.reading.lock().await;
    let was_read = log.saved.borrow().age(host.clock.now()).is_some();
    if was_read { Ok(()) } else { read(host).await }
}

async fn read(host: &GatewayHost) -> Result<(), StoreError> {
    let begin = host.clock.now();
    let read = host.store.stream_log().await;
    host.record_store_call("streams", &read);
    let entries = read?;
    let batches = entries.iter().filter_map(|entry| decode(host, entry));
    let batches: Vec<LoggedBatch> = batches.collect();
    let mut saved = host.streams.log.saved.borrow_mut();
    saved.replace(begin, &batches);
    Ok(())
}

fn encode(batch: &StreamBatch) -> Vec<u8> {
    let mut value = Vec::new();
    ciborium::into_writer(batch, &mut value).expect("a batch can be encoded");
    value
}

/// Decodes an entry; one that can't be decoded is logged and left out.
fn decode(host: &GatewayHost, entry: &LogEntry) -> Option<LoggedBatch> {
    let stage = stream_log::row_stage(&entry.key);
    let streams = ciborium::from_reader(entry.value.as_slice());
    streams
        .map(|streams| LoggedBatch { stage, streams })
        .inspect_err(|error| {
            let error = format!("invalid entry {} of the log of streams: {error}", entry.key);
            log_event!(host.log, LogEvent::PlatformFailed, "call" => "streams", "error" => error);
        })
        .ok()
}
