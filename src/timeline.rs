//! Timeline of one request, assembled from the log files of several hosts.
//!
//! Hosts' clocks may differ. The entries of each host are therefore listed separately, in the order in
//! which the host wrote them, with times relative to the host's first entry on the request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::io::BufRead;

use serde_json::Map;
use serde_json::Value;
use thiserror::Error;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::event::LogEvent;

/// The maximum time between the first entry of a host on the request and a listed failure of one of
/// its workers, in seconds.
const WORKER_WINDOW_SECONDS: f64 = 5.0;

/// The maximum number of failures of other requests listed for one worker.
const MAX_WORKER_FAILURES: usize = 5;

/// The events that record the known state of a host. A later event on the same subject supersedes
/// an earlier one; the second value is the log key that distinguishes the subjects of an event, or
/// empty if it has only one.
const STATE_EVENTS: [(LogEvent, &str); 9] = [
    (LogEvent::HostReady, ""),
    (LogEvent::HostStale, ""),
    (LogEvent::BrokersChanged, "service"),
    (LogEvent::WorkersChanged, ""),
    (LogEvent::ConfigurationApplied, ""),
    (LogEvent::MemberJoined, "peer"),
    (LogEvent::MemberLost, "peer"),
    (LogEvent::PlatformFailed, ""),
    (LogEvent::StopRequested, ""),
];

/// The log keys that are not listed as values of an entry.
const HEADER_KEYS: [&str; 7] = ["event", "host", "level", "msg", "name", "request", "ts"];

/// The reason why no timeline can be assembled.
#[derive(Debug, Error)]
pub enum TimelineError {
    /// A file can't be read.
    #[error("can't read {file}: {source}")]
    File {
        /// The path of the log file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// No event names the request.
    #[error("none of {events} events names request {request}; {skipped} lines are not events")]
    Unknown {
        /// The identifier of the request.
        request: String,
        /// The number of events that were read.
        events: usize,
        /// The number of lines that are not events.
        skipped: usize,
    },
}

#[derive(Clone, Debug)]
struct TimelineEntry {
    event: LogEvent,
    at: OffsetDateTime,
    values: Map<String, Value>,
}

impl TimelineEntry {
    /// Parses a log line into its host and an entry; `None` if it is not an event.
    ///
    /// Text before the JSON object, such as a prefix added by a log tool, is ignored.
    fn parse(text: &str) -> Option<(String, Self)> {
        let start = text.find('{')?;
        let values: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let number = values.get("event")?.as_u64()?;
        let host = values.get("host")?.as_str()?.to_owned();
        let at = OffsetDateTime::parse(values.get("ts")?.as_str()?, &Rfc3339).ok()?;
        let event = LogEvent::from_number(u16::try_from(number).ok()?)?;
        Some((host, Self { event, at, values }))
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.values.get(key)?.as_str()
    }

    fn is_about(&self, request: &str) -> bool {
        self.text("request") == Some(request)
    }

    /// Returns the subject whose state the entry records, as a name and the value of its log key.
    fn state_subject(&self) -> Option<(&'static str, String)> {
        let (event, key) = STATE_EVENTS
            .iter()
            .find(|(event, _)| *event == self.event)?;
        // Opposite events share one subject, so that a later event replaces the earlier state.
        let name = match event {
            LogEvent::HostStale => LogEvent::HostReady.name(),
            LogEvent::MemberLost => LogEvent::MemberJoined.name(),
            other => other.name(),
        };
        Some((name, self.text(key).unwrap_or_default().to_owned()))
    }

    fn seconds_after(&self, start: OffsetDateTime) -> f64 {
        (self.at - start).as_seconds_f64()
    }

    fn write(&self, output: &mut String, start: OffsetDateTime) {
        let seconds = self.seconds_after(start);
        let name = self.event.name();
        let _ = write!(output, "  {seconds:+10.3} s  {name}");
        for (key, value) in &self.values {
            if !HEADER_KEYS.contains(&key.as_str()) && !value.is_null() {
                let _ = match value.as_str() {
                    Some(text) => write!(output, " {key}={text:?}"),
                    None => write!(output, " {key}={value}"),
                };
            }
        }
        output.push('\n');
    }
}

/// The log entries of several hosts, in the order in which each host wrote them.
///
/// # Examples
///
/// ```
/// use borageladder::timeline::LogCollection;
///
/// let log = r#"{"msg":"","level":"INFO","ts":"2026-12-04T01:30:00.5Z","host":"h1","worker":"w1","request":"r1","name":"request-sent","event":512}
/// {"msg":"","level":"WARN","ts":"2026-12-04T01:30:00.9Z","host":"h1","reason":"lost","request":"r1","name":"outcome-unknown","event":506}"#;
/// let mut logs = LogCollection::default();
/// logs.read("h1.log", log.as_bytes())?;
/// let timeline = logs.render("r1")?;
/// assert!(timeline.contains("+0.400 s  outcome-unknown reason=\"lost\""));
/// # Ok::<(), borageladder::timeline::TimelineError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogCollection {
    hosts: BTreeMap<String, Vec<TimelineEntry>>,
    skipped: usize,
}

impl LogCollection {
    /// Reads a log file, which may contain lines of several hosts.
    ///
    /// # Errors
    ///
    /// Returns [`TimelineError::File`] if the file can't be read. A line that is not an event is counted
    /// and skipped.
    pub fn read(&mut self, file: &str, mut log: impl BufRead) -> Result<(), TimelineError> {
        let mut line = Vec::new();
        loop {
            line.clear();
            let read = log.read_until(b'\n', &mut line);
            let count = read.map_err(|source| TimelineError::File {
                file: file.to_owned(),
                source,
            })?;
            if count == 0 {
                return Ok(());
            }
            match TimelineEntry::parse(&String::from_utf8_lossy(&line)) {
                Some((host, entry)) => self.hosts.entry(host).or_default().push(entry),
                None => self.skipped += 1,
            }
        }
    }

    /// Renders the timeline of a request as text, with one section per host that logged it.
    ///
    /// # Errors
    ///
    /// Returns [`TimelineError::Unknown`] if no event names the request.
    pub fn render(&self, request: &str) -> Result<String, TimelineError> {
        let mut sections: Vec<(OffsetDateTime, String)> = Vec::new();
        for (host, entries) in &self.hosts {
            sections.extend(self.render_host(host, entries, request));
        }
        if sections.is_empty() {
            return Err(TimelineError::Unknown {
                request: request.to_owned(),
                events: self.hosts.values().map(Vec::len).sum(),
                skipped: self.skipped,
            });
        }
        sections.sort_by_key(|(start, _)| *start);
        let sections = sections.into_iter().map(|(_, section)| section);
        Ok(format!(
            "request {request}\n{}",
            sections.collect::<String>()
        ))
    }

    fn render_host(
        &self,
        host: &str,
        entries: &[TimelineEntry],
        request: &str,
    ) -> Option<(OffsetDateTime, String)> {
        let first = entries.iter().position(|entry| entry.is_about(request))?;
        let last = entries.iter().rposition(|entry| entry.is_about(request))?;
        let start = entries[first].at;
        let mut section = format!("on {host}, from {start}\n known state before the request\n");
        for entry in known_state(&entries[..first]) {
            entry.write(&mut section, start);
        }
        section.push_str(" what happened\n");
        let relevant =
            |entry: &&TimelineEntry| entry.is_about(request) || entry.state_subject().is_some();
        for entry in entries[first..=last].iter().filter(relevant) {
            entry.write(&mut section, start);
        }
        let workers = entries[first..=last]
            .iter()
            .filter(|entry| entry.is_about(request));
        let workers: BTreeSet<&str> = workers.filter_map(|entry| entry.text("worker")).collect();
        for worker in workers {
            self.render_worker(&mut section, worker, request, start);
        }
        Some((start, section))
    }

    /// Appends the failures of a worker that any host logged for other requests within
    /// [`WORKER_WINDOW_SECONDS`] of `start`.
    fn render_worker(
        &self,
        section: &mut String,
        worker: &str,
        request: &str,
        start: OffsetDateTime,
    ) {
        let entries = self.hosts.values().flatten();
        let failures = entries.filter(|entry| {
            let failed =
                entry.event == LogEvent::WorkerFailed && entry.text("worker") == Some(worker);
            let near = entry.seconds_after(start).abs() <= WORKER_WINDOW_SECONDS;
            failed && near && !entry.is_about(request)
        });
        let failures: Vec<&TimelineEntry> = failures.collect();
        let _ = writeln!(
            section,
            " {} other failures of {worker} within {WORKER_WINDOW_SECONDS} s",
            failures.len()
        );
        for entry in failures.into_iter().take(MAX_WORKER_FAILURES) {
            entry.write(section, start);
        }
    }
}

/// Returns the last entry on each state subject since the host's last start, in log order; members
/// that are alive are omitted.
fn known_state(entries: &[TimelineEntry]) -> Vec<&TimelineEntry> {
    let mut last = BTreeMap::new();
    for (position, entry) in entries.iter().enumerate() {
        if entry.event == LogEvent::HostStarted {
            last.clear();
        }
        if let Some(subject) = entry.state_subject() {
            last.insert(subject, position);
        }
    }
    let positions: BTreeSet<usize> = last.into_values().collect();
    let states = positions.into_iter().map(|position| &entries[position]);
    states
        .filter(|entry| entry.event != LogEvent::MemberJoined)
        .collect()
}
