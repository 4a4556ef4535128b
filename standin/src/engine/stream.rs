//! The buffered events of one request, from which its stream can be resumed.

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

/// The error of a stream that was cancelled before its last event.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the stream was cancelled")]
pub struct StreamCancelled;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamState {
    Open,
    Complete,
    Cancelled,
}

/// The events generated so far for one request.
#[derive(Debug)]
pub struct StreamRecord {
    /// The request for which the events are generated.
    pub completion: CompletionRequest,
    events: RefCell<Vec<Bytes>>,
    usage: Cell<TokenUsage>,
    state: Cell<StreamState>,
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
            state: Cell::new(StreamState::Open),
            readers: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            changed: Notify::new(),
        }
    }

    /// Sets the number of prompt tokens that were served from the prefix cache.
    pub fn set_cached_tokens(&self, cached: u32) {
        let mut usage = self.usage.get();
        usage.cached = cached;
        self.usage.set(usage);
    }

    /// Appends the event of the next token; `index` counts from 1.
    pub fn push_token(&self, index: u32) {
        let event = self.completion.token_event(index);
        self.events.borrow_mut().push(event);
        let mut usage = self.usage.get();
        usage.answer = index;
        self.usage.set(usage);
        self.changed.notify_waiters();
    }

    /// Appends the final events and closes the stream.
    pub fn finish(&self) {
        let events = self.completion.end_events(self.usage.get());
        self.events.borrow_mut().extend(events);
        self.close(StreamState::Complete);
    }

    /// Closes the stream with an error for its readers, unless it is already closed.
    pub fn cancel(&self) {
        if self.is_open() {
            self.close(StreamState::Cancelled);
        }
    }

    /// Returns whether the stream has neither finished nor been cancelled.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.state.get() == StreamState::Open
    }

    /// Returns the time since the last reader left or the stream was closed, whichever was later;
    /// if neither has happened, the time since the stream was created.
    ///
    /// The time is zero while the stream has a reader.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        if self.readers.get() > 0 {
            return Duration::ZERO;
        }
        self.idle_since.get().elapsed()
    }

    /// Returns the events after the first `after` events, including events yet to be generated.
    ///
    /// If the stream is cancelled, the last item is [`StreamCancelled`].
    pub fn read(
        self: &Rc<Self>,
        after: usize,
    ) -> impl Stream<Item = Result<Bytes, StreamCancelled>> + use<> {
        let reader = StreamReader::new(Rc::clone(self), after);
        stream::unfold(reader, |mut reader| async move {
            let event = reader.next().await?;
            Some((event, reader))
        })
    }

    /// Waits for the end of the stream and returns the token usage.
    ///
    /// # Errors
    ///
    /// Returns [`StreamCancelled`] if the stream is cancelled before its last event.
    pub async fn wait(self: &Rc<Self>) -> Result<TokenUsage, StreamCancelled> {
        let mut reader = StreamReader::new(Rc::clone(self), 0);
        while let Some(event) = reader.next().await {
            event?;
        }
        Ok(self.usage.get())
    }

    fn close(&self, state: StreamState) {
        self.state.set(state);
        self.idle_since.set(Instant::now());
        self.changed.notify_waiters();
    }
}

#[derive(Debug)]
struct StreamReader {
    record: Rc<StreamRecord>,
    position: usize,
    error_sent: bool,
}

impl StreamReader {
    fn new(record: Rc<StreamRecord>, position: usize) -> Self {
        record.readers.set(record.readers.get() + 1);
        Self {
            record,
            position,
            error_sent: false,
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, StreamCancelled>> {
        loop {
            let event = self.record.events.borrow().get(self.position).cloned();
            if let Some(event) = event {
                self.position += 1;
                return Some(Ok(event));
            }
            match self.record.state.get() {
                StreamState::Open => self.record.changed.notified().await,
                StreamState::Cancelled if !self.error_sent => {
                    self.error_sent = true;
                    return Some(Err(StreamCancelled));
                }
                StreamState::Cancelled | StreamState::Complete => return None,
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
