//! The events of one request, kept so that its stream can be resumed.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use thiserror::Error;
use tokio::sync::Notify;

use crate::engine::completion::CompletionRequest;
use crate::engine::completion::TokenUsage;

/// The stream ended before its last event.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the stream was cancelled")]
pub struct StreamCut;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    Open,
    Whole,
    Cut,
}

/// The events of one request so far.
#[derive(Debug)]
pub struct StreamRecord {
    /// The request that the events answer.
    pub completion: CompletionRequest,
    events: RefCell<Vec<Bytes>>,
    usage: Cell<TokenUsage>,
    end: Cell<StreamEnd>,
    readers: Cell<usize>,
    idle_since: Cell<Instant>,
    changed: Notify,
}

impl StreamRecord {
    /// Creates a record without events.
    #[must_use]
    pub fn new(completion: CompletionRequest, usage: TokenUsage) -> Self {
        Self {
            completion,
            events: RefCell::default(),
            usage: Cell::new(usage),
            end: Cell::new(StreamEnd::Open),
            readers: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            changed: Notify::new(),
        }
    }

    /// Notes how many tokens of the prompt were found in the cache.
    pub fn note_cached(&self, cached: u32) {
        let mut usage = self.usage.get();
        usage.cached = cached;
        self.usage.set(usage);
    }

    /// Adds the event of the next token.
    pub fn push_token(&self, index: u32) {
        let event = self.completion.token_event(index);
        self.events.borrow_mut().push(event);
        let mut usage = self.usage.get();
        usage.answer = index;
        self.usage.set(usage);
        self.changed.notify_waiters();
    }

    /// Adds the last events.
    pub fn finish(&self) {
        let events = self.completion.end_events(self.usage.get());
        self.events.borrow_mut().extend(events);
        self.close(StreamEnd::Whole);
    }

    /// Ends the stream before its last event.
    pub fn cut(&self) {
        if self.is_open() {
            self.close(StreamEnd::Cut);
        }
    }

    /// Returns whether more events can come.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.end.get() == StreamEnd::Open
    }

    /// Returns for how long nobody has read the stream.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        if self.readers.get() > 0 {
            return Duration::ZERO;
        }
        self.idle_since.get().elapsed()
    }

    /// Returns the events after the given one, those that are still to come included.
    pub fn read(
        self: &Rc<Self>,
        after: usize,
    ) -> impl Stream<Item = Result<Bytes, StreamCut>> + use<> {
        let reader = StreamReader::new(Rc::clone(self), after);
        stream::unfold(reader, |mut reader| async move {
            let event = reader.next().await?;
            Some((event, reader))
        })
    }

    /// Waits for the end of the stream and returns what the answer cost.
    ///
    /// # Errors
    ///
    /// Returns [`StreamCut`] if the stream ends before its last event.
    pub async fn wait(self: &Rc<Self>) -> Result<TokenUsage, StreamCut> {
        let mut reader = StreamReader::new(Rc::clone(self), 0);
        while let Some(event) = reader.next().await {
            event?;
        }
        Ok(self.usage.get())
    }

    fn close(&self, end: StreamEnd) {
        self.end.set(end);
        self.idle_since.set(Instant::now());
        self.changed.notify_waiters();
    }
}

#[derive(Debug)]
struct StreamReader {
    record: Rc<StreamRecord>,
    position: usize,
    cut: bool,
}

impl StreamReader {
    fn new(record: Rc<StreamRecord>, position: usize) -> Self {
        record.readers.set(record.readers.get() + 1);
        Self {
            record,
            position,
            cut: false,
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, StreamCut>> {
        loop {
            let event = self.record.events.borrow().get(self.position).cloned();
            if let Some(event) = event {
                self.position += 1;
                return Some(Ok(event));
            }
            match self.record.end.get() {
                StreamEnd::Open => self.record.changed.notified().await,
                StreamEnd::Cut if !self.cut => {
                    self.cut = true;
                    return Some(Err(StreamCut));
                }
                StreamEnd::Cut | StreamEnd::Whole => return None,
            }
        }
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        self.record.readers.set(self.record.readers.get() - 1);
        self.record.idle_since.set(Instant::now());
    }
}
