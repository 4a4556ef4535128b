//! One request's story, told from the log files of several hosts.
//!
//! Hosts' clocks may differ, so lines of one host are told in the order in which it wrote them, and
//! times are given from the host's own first line on the request.

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

/// The time around a host's lines on the request in which lines on its workers are told, in seconds.
const WORKER_SECONDS: f64 = 5.0;

/// The most lines of other requests that are told of one worker.
const MAX_WORKER_LINES: usize = 5;

/// The events that tell what a host believes, each with what keeps two of them apart: of those with
/// the same name the last one holds.
const BELIEFS: [(LogEvent, &str); 9] = [
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

/// The values of a line that are told in another way than as values.
const HEAD_VALUES: [&str; 7] = ["event", "host", "level", "msg", "name", "request", "ts"];

/// The reason why no story can be told.
#[derive(Debug, Error)]
pub enum StoryError {
    /// A file can't be read.
    #[error("can't read {file}: {source}")]
    File {
        /// The file.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// No line names the request.
    #[error("none of {lines} log lines names request {request}; {unreadable} more can't be read")]
    Unknown {
        /// The request.
        request: String,
        /// The lines that were read.
        lines: usize,
        /// The lines that are no events.
        unreadable: usize,
    },
}

#[derive(Clone, Debug)]
struct StoryLine {
    event: LogEvent,
    at: OffsetDateTime,
    values: Map<String, Value>,
}

impl StoryLine {
    /// Reads a line of a log; what stands before the event, as tools add it, is left out.
    fn read(text: &str) -> Option<(String, Self)> {
        let start = text.find('{')?;
        let values: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let number = values.get("event")?.as_u64()?;
        let host = values.get("host")?.as_str()?.to_owned();
        let at = OffsetDateTime::parse(values.get("ts")?.as_str()?, &Rfc3339).ok()?;
        let event = LogEvent::from_number(u16::try_from(number).ok()?)?;
        Some((host, Self { event, at, values }))
    }

    fn text(&self, value: &str) -> Option<&str> {
        self.values.get(value)?.as_str()
    }

    fn is_about(&self, request: &str) -> bool {
        self.text("request") == Some(request)
    }

    fn belief(&self) -> Option<(&'static str, String)> {
        let (event, key) = BELIEFS.iter().find(|(event, _)| *event == self.event)?;
        // Two answers to one question: only the last one holds.
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

    fn write(&self, story: &mut String, start: OffsetDateTime) {
        let seconds = self.seconds_after(start);
        let name = self.event.name();
        let _ = write!(story, "  {seconds:+10.3} s  {name}");
        for (key, value) in &self.values {
            if !HEAD_VALUES.contains(&key.as_str()) && !value.is_null() {
                let _ = match value.as_str() {
                    Some(text) => write!(story, " {key}={text:?}"),
                    None => write!(story, " {key}={value}"),
                };
            }
        }
        story.push('\n');
    }
}

/// The lines of several hosts, each in the order in which it wrote them.
///
/// # Examples
///
/// ```
/// use borageladder::story::LogBook;
///
/// let log = r#"{"msg":"","level":"INFO","ts":"2026-12-04T01:30:00.5Z","host":"h1","worker":"w1","request":"r1","name":"request-sent","event":512}
/// {"msg":"","level":"WARN","ts":"2026-12-04T01:30:00.9Z","host":"h1","reason":"lost","request":"r1","name":"outcome-unknown","event":506}"#;
/// let mut book = LogBook::default();
/// book.read("h1.log", log.as_bytes())?;
/// let story = book.tell("r1")?;
/// assert!(story.contains("+0.400 s  outcome-unknown reason=\"lost\""));
/// # Ok::<(), borageladder::story::StoryError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogBook {
    hosts: BTreeMap<String, Vec<StoryLine>>,
    unreadable: usize,
}

impl LogBook {
    /// Reads a log file, which may hold lines of several hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read; a line that is no event is counted and left out.
    pub fn read(&mut self, file: &str, mut log: impl BufRead) -> Result<(), StoryError> {
        let mut line = Vec::new();
        loop {
            line.clear();
            let read = log.read_until(b'\n', &mut line);
            let count = read.map_err(|source| StoryError::File {
                file: file.to_owned(),
                source,
            })?;
            if count == 0 {
                return Ok(());
            }
            match StoryLine::read(&String::from_utf8_lossy(&line)) {
                Some((host, line)) => self.hosts.entry(host).or_default().push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Tells the story of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if no line names the request.
    pub fn tell(&self, request: &str) -> Result<String, StoryError> {
        let mut chapters: Vec<(OffsetDateTime, String)> = Vec::new();
        for (host, lines) in &self.hosts {
            chapters.extend(self.tell_host(host, lines, request));
        }
        if chapters.is_empty() {
            return Err(StoryError::Unknown {
                request: request.to_owned(),
                lines: self.hosts.values().map(Vec::len).sum(),
                unreadable: self.unreadable,
            });
        }
        chapters.sort_by_key(|(start, _)| *start);
        let chapters = chapters.into_iter().map(|(_, chapter)| chapter);
        Ok(format!(
            "request {request}\n{}",
            chapters.collect::<String>()
        ))
    }

    fn tell_host(
        &self,
        host: &str,
        lines: &[StoryLine],
        request: &str,
    ) -> Option<(OffsetDateTime, String)> {
        let first = lines.iter().position(|line| line.is_about(request))?;
        let last = lines.iter().rposition(|line| line.is_about(request))?;
        let start = lines[first].at;
        let mut chapter = format!("on {host}, from {start}\n what the host believed\n");
        for belief in beliefs_before(&lines[..first]) {
            belief.write(&mut chapter, start);
        }
        chapter.push_str(" what happened\n");
        let told = |line: &&StoryLine| line.is_about(request) || line.belief().is_some();
        for line in lines[first..=last].iter().filter(told) {
            line.write(&mut chapter, start);
        }
        let workers = lines[first..=last]
            .iter()
            .filter(|line| line.is_about(request));
        let workers: BTreeSet<&str> = workers.filter_map(|line| line.text("worker")).collect();
        for worker in workers {
            self.tell_worker(&mut chapter, worker, request, start);
        }
        Some((start, chapter))
    }

    /// Tells the failures of a worker around a time, as all hosts saw them.
    fn tell_worker(
        &self,
        chapter: &mut String,
        worker: &str,
        request: &str,
        start: OffsetDateTime,
    ) {
        let all = self.hosts.values().flatten();
        let failures = all.filter(|line| {
            let seen = line.event == LogEvent::WorkerFailed && line.text("worker") == Some(worker);
            let near = line.seconds_after(start).abs() <= WORKER_SECONDS;
            seen && near && !line.is_about(request)
        });
        let failures: Vec<&StoryLine> = failures.collect();
        let _ = writeln!(
            chapter,
            " {} other failures of {worker} within {WORKER_SECONDS} s",
            failures.len()
        );
        for line in failures.into_iter().take(MAX_WORKER_LINES) {
            line.write(chapter, start);
        }
    }
}

/// Returns the last line of each belief since the host's last start, in the order in which they were
/// written; of other hosts only those that are lost.
fn beliefs_before(lines: &[StoryLine]) -> Vec<&StoryLine> {
    let mut last = BTreeMap::new();
    for (position, line) in lines.iter().enumerate() {
        if line.event == LogEvent::HostStarted {
            last.clear();
        }
        if let Some(belief) = line.belief() {
            last.insert(belief, position);
        }
    }
    let positions: BTreeSet<usize> = last.into_values().collect();
    let beliefs = positions.into_iter().map(|position| &lines[position]);
    beliefs
        .filter(|line| line.event != LogEvent::MemberJoined)
        .collect()
}
