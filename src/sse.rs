//! Server-sent events of a completion stream, split at event boundaries.

use std::mem;

use bytes::Bytes;
use bytes::BytesMut;

/// Size above which [`EventBuffer::is_oversized`] reports a pending event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

const COMMENT: &[u8] = b":";
const ID_FIELD: &[u8] = b"id:";
const STREAM_END: &[u8] = b"data: [DONE]";

/// Buffer that collects the bytes of a stream and returns complete events only.
///
/// A stream that is truncated by a failure thus never ends within an event, and can be resumed after
/// the last complete one.
///
/// # Examples
///
/// ```
/// use borageladder::sse::EventBuffer;
///
/// let mut buffer = EventBuffer::default();
/// buffer.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(buffer.take().as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
/// assert_eq!(buffer.take(), None);
/// assert_eq!(buffer.last_id(), 1);
/// buffer.push(b"ta: [DONE]\n\n");
/// assert!(buffer.take().is_some());
/// assert!(buffer.is_done());
/// ```
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// The length of the complete events at the start of `bytes`.
    complete: usize,
    /// The start of the first line in `bytes` that has not ended.
    line_start: usize,
    /// The length of the bytes that were searched for line ends.
    scanned: usize,
    /// Whether the last line ended with CR, so that a following LF belongs to its end.
    after_cr: bool,
    pending: PendingEvent,
    last_id: u64,
    events: u32,
    done: bool,
}

/// What has arrived of an incomplete event.
#[derive(Debug, Default)]
struct PendingEvent {
    /// Whether a field has arrived.
    has_field: bool,
    /// The numeric identifier.
    id: Option<u64>,
    /// Whether the event ends the stream.
    ends_stream: bool,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        while self.scanned < self.bytes.len() {
            let byte = self.bytes[self.scanned];
            self.scanned += 1;
            if byte == b'\n' && self.after_cr {
                self.skip_line_feed();
            } else if byte == b'\n' || byte == b'\r' {
                self.end_line();
            }
            self.after_cr = byte == b'\r';
        }
    }

    /// Takes all complete events, or returns `None` if there is none.
    pub fn take(&mut self) -> Option<Bytes> {
        if self.complete == 0 {
            return None;
        }
        let events = self.bytes.split_to(self.complete).freeze();
        self.line_start -= self.complete;
        self.scanned -= self.complete;
        self.complete = 0;
        Some(events)
    }

    /// Takes the bytes after the last complete event, once the stream has ended.
    pub fn take_rest(&mut self) -> Bytes {
        let rest = self.bytes.split().freeze();
        self.discard_partial();
        rest
    }

    /// Drops the bytes of an incomplete event, before the stream is resumed.
    pub fn discard_partial(&mut self) {
        self.bytes.clear();
        self.complete = 0;
        self.line_start = 0;
        self.scanned = 0;
        self.after_cr = false;
        self.pending = PendingEvent::default();
    }

    /// Returns whether the stream, if it ended now, would end inside an event or a line.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.pending.has_field || self.line_start < self.bytes.len()
    }

    /// Returns the number of bytes after the last complete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.bytes.len() - self.complete
    }

    /// Returns whether more than [`MAX_EVENT_BYTES`] are buffered.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.bytes.len() > MAX_EVENT_BYTES
    }

    /// Returns the identifier of the last complete event with a numeric one, or zero before the
    /// first.
    #[must_use]
    pub const fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Returns the number of complete events with a numeric identifier.
    #[must_use]
    pub const fn events(&self) -> u32 {
        self.events
    }

    /// Returns whether the `[DONE]` event that ends the stream was received.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Counts the LF of a line end CRLF to the line that the CR has ended.
    const fn skip_line_feed(&mut self) {
        if self.complete == self.line_start {
            self.complete = self.scanned;
        }
        self.line_start = self.scanned;
    }

    fn end_line(&mut self) {
        let line = &self.bytes[self.line_start..self.scanned - 1];
        if line.is_empty() {
            self.end_event();
        } else if !line.starts_with(COMMENT) {
            self.pending.has_field = true;
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                self.pending.id = parse_id(id).or(self.pending.id);
            }
            self.pending.ends_stream |= line.trim_ascii_end() == STREAM_END;
        }
        self.line_start = self.scanned;
    }

    fn end_event(&mut self) {
        self.complete = self.scanned;
        let event = mem::take(&mut self.pending);
        if let Some(id) = event.id {
            self.last_id = id;
            self.events = self.events.saturating_add(1);
        }
        self.done |= event.ends_stream;
    }
}

fn parse_id(field: &[u8]) -> Option<u64> {
    str::from_utf8(field).ok()?.trim().parse().ok()
}
