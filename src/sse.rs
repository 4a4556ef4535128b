//! Server-sent events of a completion stream, split at event boundaries.

use bytes::Bytes;
use bytes::BytesMut;

/// Size above which [`EventBuffer::is_oversized`] reports a pending event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1_048_576;

/// The end of an event; line ends of CRLF or CR, which the format also allows, are not recognised.
const EVENT_END: &[u8] = b"\n\n";
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
    last_id: u64,
    events: u32,
    done: bool,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes all complete events, or returns `None` if there is none.
    pub fn take(&mut self) -> Option<Bytes> {
        let end = self
            .bytes
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END)?;
        let complete = self.bytes.split_to(end + EVENT_END.len()).freeze();
        self.scan(&complete);
        Some(complete)
    }

    /// Takes the bytes of an incomplete event, after the stream has ended normally.
    pub fn take_partial(&mut self) -> Bytes {
        self.bytes.split().freeze()
    }

    /// Drops the bytes of an incomplete event, before the stream is resumed.
    pub fn discard_partial(&mut self) {
        self.bytes.clear();
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

    /// Records the identifiers and the end of the stream in complete events.
    fn scan(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(ID_FIELD) {
                self.record_id(id);
            }
            self.done |= line.trim_ascii_end() == STREAM_END;
        }
    }

    fn record_id(&mut self, id: &[u8]) {
        let text = str::from_utf8(id).unwrap_or_default();
        if let Ok(id) = text.trim().parse() {
            self.last_id = id;
            self.events = self.events.saturating_add(1);
        }
    }
}
