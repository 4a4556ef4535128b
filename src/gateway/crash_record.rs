//! The record of crashes in the store, which outlives a kill of all hosts.
//!
//! It holds the parts of prompts that are in quarantine or suspect. Each host reads it when it starts.
//! The host that reads the store for others writes it when these parts change.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::host::GatewayHost;
use super::store::StoreError;
use super::sync;
use crate::event::LogEvent;
use crate::kernel::poison::PartReport;
use crate::kernel::prompt::PartDigest;
use crate::log_event;

/// The interval at which the record is compared with what the host knows, beside each change.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before a failed call is repeated; all hosts that have not read the record repeat theirs.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The maximum number of writes in a row, while other hosts write the record too or crashes go on.
const MAX_WRITES: usize = 4;

/// The record in the store.
#[derive(Debug, Default, Deserialize, Serialize)]
struct CrashRecord {
    /// The time as of which the ages of the crashes are stated, on the store's clock, in milliseconds.
    as_of_ms: u64,
    parts: Vec<PartReport>,
}

/// What the record says of its parts, apart from the ages of the crashes: whether the part is repeated,
/// and the number of its workspaces.
type RecordDigest = BTreeMap<PartDigest, (bool, usize)>;

/// Keeps the record of crashes equal to what the host knows.
#[derive(Debug)]
pub(super) struct CrashRecordKeeper {
    host: Rc<GatewayHost>,
    /// The record as it was last read or written; `None` before the first read.
    known: Option<RecordDigest>,
}

impl CrashRecordKeeper {
    pub(super) fn new(host: &Rc<GatewayHost>) -> Self {
        Self {
            host: Rc::clone(host),
            known: None,
        }
    }

    /// Reads the record, and adds what is new to the host.
    ///
    /// # Errors
    ///
    /// Returns an error if the record can't be read.
    pub(super) async fn read(&mut self) -> Result<(), StoreError> {
        let read = self.host.store.crash_record().await;
        self.host.record_store_call("crash-record", &read);
        let stored = read?;
        self.learn(stored.value.as_deref(), stored.read_at);
        Ok(())
    }

    /// Keeps the record until the process ends.
    pub(super) async fn keep(mut self) {
        loop {
            let change = self.host.crashes.wait_for_change();
            // Without a change, the host may have become the one that writes.
            let _ = actix_rt::time::timeout(CHECK_INTERVAL, change).await;
            let updated = match self.known {
                None => self.read().await,
                Some(_) => self.update().await,
            };
            if updated.is_err() {
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Writes the record if this host is the one that does so and knows something else.
    async fn update(&mut self) -> Result<(), StoreError> {
        for _ in 0..MAX_WRITES {
            let lasting = self.host.crashes.lasting_reports();
            let is_known = self.known.as_ref() == Some(&digest(&lasting));
            if is_known || sync::source_host(&self.host).is_some() {
                return Ok(());
            }
            let read = self.host.store.crash_record().await;
            self.host.record_store_call("crash-record", &read);
            let stored = read?;
            self.learn(stored.value.as_deref(), stored.read_at);
            let parts = self.host.crashes.lasting_reports();
            let written = digest(&parts);
            let value = encode(&CrashRecord {
                as_of_ms: u64::try_from(stored.read_at.as_millis()).unwrap_or(0),
                parts,
            });
            let store = &self.host.store;
            let replaced = store.replace_crash_record(value, stored.revision).await;
            self.host
                .record_store_call("replace-crash-record", &replaced);
            if replaced? {
                // The host may have learned more during the calls.
                self.known = Some(written);
            }
        }
        Ok(())
    }

    /// Adds the parts of the record that the host has not seen in it before. One that it has seen and
    /// no longer has on record was cleared since.
    fn learn(&mut self, value: Option<&[u8]>, read_at: Duration) {
        let record = value.map(|value| self.decode(value)).unwrap_or_default();
        let elapsed = read_at.saturating_sub(Duration::from_millis(record.as_of_ms));
        let known = self.known.take().unwrap_or_default();
        self.known = Some(digest(&record.parts));
        let parts = record.parts.into_iter();
        let mut added: Vec<PartReport> = parts
            .filter(|report| !known.contains_key(&report.part))
            .collect();
        if added.is_empty() {
            return;
        }
        for crash in added.iter_mut().flat_map(|report| &mut report.crashes) {
            crash.age = crash.age.saturating_add(elapsed);
        }
        self.host.crashes.merge(&added);
        log_event!(self.host.log, LogEvent::CrashesRestored, "parts" => added.len());
    }

    /// Decodes the record. One that can't be decoded counts as empty, so that it is replaced.
    fn decode(&self, value: &[u8]) -> CrashRecord {
        ciborium::from_reader(value).unwrap_or_else(|error| {
            let error = format!("invalid record of crashes: {error}");
            log_event!(self.host.log, LogEvent::PlatformFailed,
                "call" => "crash-record", "error" => error);
            CrashRecord::default()
        })
    }
}

fn digest(parts: &[PartReport]) -> RecordDigest {
    let entry = |report: &PartReport| (report.part, (report.repeated, report.workspaces.len()));
    parts.iter().map(entry).collect()
}

fn encode(record: &CrashRecord) -> Vec<u8> {
    let mut value = Vec::new();
    ciborium::into_writer(record, &mut value).expect("a record can be encoded");
    value
}
