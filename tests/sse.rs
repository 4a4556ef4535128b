//! Splitting of event streams at event boundaries.

use borageladder::sse::EventBuffer;
use yare::parameterized;

/// Returns what is taken from a stream that arrives in parts of the given length.
fn taken(stream: &str, part: usize) -> (String, EventBuffer) {
    let mut buffer = EventBuffer::default();
    let mut events = Vec::new();
    for bytes in stream.as_bytes().chunks(part) {
        buffer.push(bytes);
        events.extend(buffer.take());
    }
    let text = String::from_utf8(events.concat()).expect("a stream in ASCII");
    (text, buffer)
}

// Guards against streams with line ends other than LF that are held back to their end.
#[parameterized(
    lf = { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" },
    crlf = { "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n" },
    cr = { "id: 1\rdata: a\r\rid: 2\rdata: b\r\r" },
    mixed = { "id: 1\ndata: a\r\n\nid: 2\rdata: b\n\r\n" },
)]
fn events_end_with_an_empty_line_whatever_the_line_ends(stream: &str) {
    for part in 1..=stream.len() {
        let (text, buffer) = taken(stream, part);
        assert_eq!(
            text.trim_end(),
            stream.trim_end(),
            "in parts of {part} bytes"
        );
        assert_eq!((buffer.last_id(), buffer.events()), (2, 2));
    }
}
