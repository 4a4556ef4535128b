//! Server-sent events of a completion stream, cut at whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// The largest event that is accepted, in bytes.
pub const MAX_EVENT_BYTES: usize = 1_048_576;

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
const STREAM_END: &[u8] = b"data: [DONE]";

/// Collects the bytes of a stream and gives out whole events only, so that a cut stream never ends
/// in the middle of an event.
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
    last_id: u64,
    events: u32,
    done: bool,
}

impl EventBuffer {
    /// Adds bytes that were read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes all whole events, or `None` if there is none.
    pub fn take(&mut self) -> Option<Bytes> {
        let end = self
            .bytes
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END)?;
        let whole = self.bytes.split_to(end + EVENT_END.len()).freeze();
        self.scan(&whole);
        Some(whole)
    }

    /// Takes what was read of an event that is not whole, after the stream ended as it should.
    pub fn take_rest(&mut self) -> Bytes {
        self.bytes.split().freeze()
    }

    /// Drops what was read of an event that is not whole, before a stream is resumed.
    pub fn discard_partial(&mut self) {
        self.bytes.clear();
    }

    /// Returns whether a single event is larger than [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn is_overfull(&self) -> bool {
        self.bytes.len() > MAX_EVENT_BYTES
    }

    /// Returns the identifier of the last whole event.
    #[must_use]
    pub const fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Returns the number of whole events with an identifier.
    #[must_use]
    pub const fn events(&self) -> u32 {
        self.events
    }

    /// Returns whether the end of the stream was read.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    fn scan(&mut self, whole: &[u8]) {
        for line in whole.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                self.note_id(id);
            }
            self.done |= line.trim_ascii_end() == STREAM_END;
        }
    }

    fn note_id(&mut self, id: &[u8]) {
        let text = str::from_utf8(id).unwrap_or_default();
        if let Ok(id) = text.trim().parse() {
            self.last_id = id;
            self.events = self.events.saturating_add(1);
        }
    }
}
