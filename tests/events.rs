//! The numbered events, their catalogue and their levels.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;

use borageladder::event::LogEvent;
use borageladder::log_event;
use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;

/// The rows of the table before the first entry: the header and the separator.
const TABLE_HEAD_ROWS: usize = 2;

fn catalogue() -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/EVENTS.md");
    let text = fs::read_to_string(path).expect("the catalogue is readable");
    let rows = text.lines().filter(|line| line.starts_with("| "));
    rows.skip(TABLE_HEAD_ROWS).map(str::to_owned).collect()
}

#[test]
fn code_and_catalogue_agree() {
    let catalogue = catalogue();
    assert_eq!(catalogue.len(), LogEvent::ALL.len());
    for (row, event) in catalogue.iter().zip(LogEvent::ALL) {
        let (number, name) = (event.number(), event.name());
        let level = format!("{:?}", event.level()).to_lowercase();
        let description = event.description();
        assert_eq!(
            *row,
            format!("| {number} | {level} | `{name}` | {description} |")
        );
    }
}

/// Reads all source files except the list of events itself.
fn sources(folder: &Path) -> String {
    let entries = fs::read_dir(folder).expect("a source folder is readable");
    let mut text = String::new();
    for entry in entries {
        let path = entry.expect("a folder entry is readable").path();
        if path.is_dir() {
            text += &sources(&path);
        } else if !path.ends_with("src/event.rs") {
            text += &fs::read_to_string(&path).expect("a source file is readable");
        }
    }
    text
}

#[test]
fn each_event_is_logged() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text = sources(&root.join("src")) + &sources(&root.join("platform/src"));
    let words: BTreeSet<&str> = text
        .split(|c: char| !c.is_alphanumeric() && c != ':')
        .filter_map(|word| word.strip_prefix("LogEvent::"))
        .collect();
    for event in LogEvent::ALL {
        assert!(words.contains(format!("{event:?}").as_str()), "{event:?}");
    }
}

#[test]
fn numbers_ascend_and_names_are_unique() {
    let numbers: Vec<u16> = LogEvent::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|one, next| one < next));
    let mut names: Vec<&str> = LogEvent::ALL.iter().map(|event| event.name()).collect();
    names.sort_unstable();
    assert!(names.is_sorted_by(|one, next| one < next));
}

#[derive(Clone, Default)]
struct RecordSink(Arc<Mutex<Vec<(Level, String)>>>);

impl Drain for RecordSink {
    type Err = Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut records = self
            .0
            .lock()
            .expect("no test panics while it holds the lock");
        records.push((record.level(), record.msg().to_string()));
        Ok(())
    }
}

#[test]
fn events_are_logged_at_their_level() {
    let sink = RecordSink::default();
    let logger = Logger::root(sink.clone().fuse(), slog::o!());
    log_event!(logger, LogEvent::MemberLost, "member" => "kushiro-1");
    let records = sink
        .0
        .lock()
        .expect("no test panics while it holds the lock");
    let expected = (
        Level::Warning,
        LogEvent::MemberLost.description().to_owned(),
    );
    assert_eq!(*records, [expected]);
}
