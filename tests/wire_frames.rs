//! Frames of the sample messages as earlier builds encoded them, and as this one does.
//!
//! `scripts/record-frames` records the files in `tests/frames/`; `docs/WIRE.md` says when.

mod link_support;

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use borageladder::kernel::ask::WorkProgress;
use borageladder::kernel::pushback::RejectionTolerance;
use borageladder::wire::FrameDecoder;
use borageladder::wire::FrameEncoder;
use borageladder::wire::LinkIncarnations;
use borageladder::wire::LinkMessage;
use borageladder::wire::WireRevision;
use link_support::samples::TO_BROKER;
use link_support::samples::TO_ENTRY;
use link_support::samples::ask;
use link_support::samples::broker_messages;
use link_support::samples::entry_messages;
use link_support::samples::report;

/// The frames of this build's sample messages.
const CURRENT_FILE: &str = "current.txt";

/// The frames of a build before the earliest revision, whose report of a crash has another row.
const UNSUPPORTED_FILE: &str = "8a2122c.txt";

/// A report of a kind that no build knows: service, request, grant and worker by their table indexes,
/// and two numbers.
const UNKNOWN_REPORT_KIND: u8 = 31;

/// A recorded frame, and the number of its messages.
struct RecordedFrame {
    to_broker: bool,
    messages: usize,
    bytes: Vec<u8>,
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/frames")
}

fn read_frames(path: &Path) -> Vec<RecordedFrame> {
    let text = fs::read_to_string(path).expect("a readable file");
    let frames = text.lines().map(|line| {
        let mut fields = line.split(' ');
        let mut field = || fields.next().expect("three fields");
        let to_broker = field() == "to-broker";
        let messages = field().parse().expect("a number");
        let hex = field().as_bytes();
        let byte = |pair: &[u8]| {
            let text = std::str::from_utf8(pair).expect("ASCII");
            u8::from_str_radix(text, 16).expect("two hexadecimal digits")
        };
        RecordedFrame {
            to_broker,
            messages,
            bytes: hex.chunks(2).map(byte).collect(),
        }
    });
    frames.collect()
}

const fn incarnations(to_broker: bool) -> LinkIncarnations {
    if to_broker { TO_BROKER } else { TO_ENTRY }
}

fn encode(encoder: &mut FrameEncoder, messages: &[LinkMessage]) -> Vec<u8> {
    let mut frame = Vec::new();
    for message in messages {
        let outcome = encoder.encode(message, &mut frame);
        outcome.expect("a short message");
    }
    frame
}

// Guards against a coding that changes without an entry in docs/WIRE.md: run
// `scripts/record-frames current` once the entry is written.
#[test]
fn the_coding_is_the_recorded_one() {
    let recorded = read_frames(&folder().join(CURRENT_FILE));
    let mut recorded = recorded.iter();
    for to_broker in [true, false] {
        let messages = if to_broker {
            entry_messages()
        } else {
            broker_messages()
        };
        let mut encoder = FrameEncoder::new(incarnations(to_broker));
        for _ in 0..2 {
            let frame = recorded.next().expect("four frames");
            assert_eq!(frame.messages, messages.len());
            assert!(
                encode(&mut encoder, &messages) == frame.bytes,
                "the coding differs from {CURRENT_FILE}"
            );
        }
    }
}

// Guards against a build that does not understand the hosts that it replaces, or is not understood
// by them.
#[test]
fn frames_of_earlier_builds_are_decoded_and_encoded_alike() {
    let files = fs::read_dir(folder()).expect("a readable folder");
    let paths: Vec<PathBuf> = files.map(|file| file.expect("a file").path()).collect();
    assert!(paths.len() >= 3, "{paths:?}");
    for path in paths {
        if path.ends_with(UNSUPPORTED_FILE) {
            continue;
        }
        for to_broker in [true, false] {
            let mut decoder = FrameDecoder::new(incarnations(to_broker));
            let mut encoder = FrameEncoder::new(incarnations(to_broker));
            let frames = read_frames(&path).into_iter();
            for frame in frames.filter(|frame| frame.to_broker == to_broker) {
                let messages = decoder.decode(&frame.bytes).expect("a valid frame");
                assert_eq!(messages.len(), frame.messages, "{path:?}");
                assert!(
                    encode(&mut encoder, &messages) == frame.bytes,
                    "{path:?} is encoded in another way"
                );
            }
        }
    }
}

// Guards against a frame of an unsupported build that is taken for something else; the link ends.
#[test]
fn frames_of_unsupported_builds_are_refused() {
    let frames = read_frames(&folder().join(UNSUPPORTED_FILE));
    let frame = frames.first().expect("a frame");
    let mut decoder = FrameDecoder::new(TO_BROKER);
    decoder.decode(&frame.bytes).expect_err("another row");
}

// Guards against a link that ends at a message of a newer build, and against tables that differ after
// it.
#[test]
fn messages_of_unknown_kinds_are_skipped() {
    let mut encoder = FrameEncoder::new(TO_BROKER);
    let mut decoder = FrameDecoder::new(TO_BROKER);
    let first = [report(70, WorkProgress::Dispatched)];
    let mut frame = encode(&mut encoder, &first);
    // A kind beyond those of reports, with a nested row.
    frame.extend([200, 0x82, 0x81, 0x61, b'a', 0xa1, 0x01, 0xf6]);
    assert_eq!(decoder.decode(&frame).expect("a valid frame"), first);
    assert_eq!(decoder.skipped(), 1);

    // A report of an unknown kind names a worker that later messages refer to by its index.
    let unknown = [report(71, WorkProgress::Failed)];
    let mut frame = encode(&mut encoder, &unknown);
    frame[0] = UNKNOWN_REPORT_KIND;
    let known = [
        LinkMessage::Ask(Box::new(ask(72))),
        report(72, WorkProgress::Stopped),
    ];
    frame.extend(encode(&mut encoder, &known));
    assert_eq!(decoder.decode(&frame).expect("a valid frame"), known);
    assert_eq!(decoder.skipped(), 2);
}

#[test]
fn a_host_gets_no_kind_that_its_revision_does_not_know() {
    for message in entry_messages().into_iter().chain(broker_messages()) {
        for revision in 1..=WireRevision::CURRENT.0 {
            let revision = WireRevision(revision);
            let sent = message.clone().for_revision(revision);
            assert!(sent.is_none_or(|sent| sent.revision() <= revision));
        }
    }
}

// Guards against slots that stay in use at a broker of an earlier build.
#[test]
fn a_host_is_told_of_the_end_of_each_request_in_a_form_that_it_knows() {
    for (rest, earlier) in [
        (Duration::ZERO, WorkProgress::Stopped),
        (Duration::from_secs(3), WorkProgress::Failed),
    ] {
        let rejected = report(71, WorkProgress::Rejected { rest });
        let sent = rejected.for_revision(WireRevision::EARLIEST);
        assert_eq!(sent, Some(report(71, earlier)));
    }
    let tolerance = RejectionTolerance(7);
    let named = report(71, WorkProgress::ToleranceNamed { tolerance });
    assert_eq!(named.for_revision(WireRevision::EARLIEST), None);
}
