//! The way of a worker's answer to the caller.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;

use super::caller::CallerWriter;
use super::worker::AnswerError;
use super::worker::WorkerAnswer;
use crate::cell::SlotLease;
use crate::kernel::attempt::WorkKind;
use crate::sse::EventBuffer;

/// The most bytes of an answer that are held until it is whole; a longer one is passed on as it
/// comes.
const MAX_HELD_BYTES: usize = 256 << 10;

/// How the passing on of an answer ended.
#[derive(Debug)]
pub enum RelayEnd {
    /// The whole answer was passed on.
    Whole(Box<WorkerAnswer>),
    /// The worker's answer was cut.
    Cut,
    /// The caller's connection failed.
    Caller(std::io::Error),
}

impl From<std::io::Error> for RelayEnd {
    fn from(error: std::io::Error) -> Self {
        Self::Caller(error)
    }
}

impl From<AnswerError> for RelayEnd {
    fn from(_: AnswerError) -> Self {
        Self::Cut
    }
}

/// The answer to one request, over all of its attempts.
#[derive(Debug)]
pub struct AnswerRelay {
    kind: WorkKind,
    events: EventBuffer,
    event_tokens: u32,
    first_after: Option<Duration>,
    begun: Option<Instant>,
    last: Option<Instant>,
}

impl AnswerRelay {
    /// Creates the relay of a request that was not answered yet.
    #[must_use]
    pub fn new(kind: WorkKind, event_tokens: u32) -> Self {
        Self {
            kind,
            events: EventBuffer::default(),
            event_tokens,
            first_after: None,
            begun: None,
            last: None,
        }
    }

    /// Returns the identifier of the last event that was passed on.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        (self.events.events() > 0).then(|| self.events.last_id())
    }

    /// Drops the part of an event that a cut answer left behind.
    pub fn discard_partial(&mut self) {
        self.events.discard_partial();
    }

    /// Returns the tokens of the answer, as far as its events tell.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        self.events.events().saturating_mul(self.event_tokens)
    }

    /// Returns the time from the dispatch to the first event.
    #[must_use]
    pub const fn first_after(&self) -> Option<Duration> {
        self.first_after
    }

    /// Returns the mean time between two tokens.
    #[must_use]
    pub fn token_gap(&self) -> Duration {
        let (Some(begun), Some(last)) = (self.begun, self.last) else {
            return Duration::ZERO;
        };
        let later = self.tokens().saturating_sub(self.event_tokens);
        (last - begun).checked_div(later).unwrap_or_default()
    }

    /// Passes an answer on to its end.
    pub async fn pass_on(
        &mut self,
        answer: WorkerAnswer,
        caller: &mut CallerWriter<'_>,
        lease: &mut SlotLease,
        head_after: Duration,
    ) -> RelayEnd {
        let success = answer.head().status.is_success();
        let passed = if success && self.kind.is_stream() {
            self.pass_events(answer, caller, lease, head_after).await
        } else {
            pass_whole(answer, caller).await
        };
        passed.unwrap_or_else(|end| end)
    }

    async fn pass_events(
        &mut self,
        mut answer: WorkerAnswer,
        caller: &mut CallerWriter<'_>,
        lease: &mut SlotLease,
        head_after: Duration,
    ) -> Result<RelayEnd, RelayEnd> {
        let sent = Instant::now();
        while let Some(bytes) = answer.next().await? {
            self.events.push(&bytes);
            let Some(events) = self.events.take() else {
                continue;
            };
            let now = Instant::now();
            if self.begun.is_none() {
                self.begun = Some(now);
                let after = head_after + (now - sent);
                self.first_after = Some(after);
                lease.first_token(after);
            }
            self.last = Some(now);
            if !caller.has_started() {
                caller.head(answer.head(), None).await?;
            }
            caller.body(events).await?;
        }
        if !caller.has_started() {
            caller.head(answer.head(), None).await?;
        }
        let rest = self.events.take_rest();
        if !rest.is_empty() {
            caller.body(rest).await?;
        }
        caller.end().await?;
        Ok(RelayEnd::Whole(Box::new(answer)))
    }
}

/// Passes an answer on once it is whole, or as it comes if it is long.
async fn pass_whole(
    mut answer: WorkerAnswer,
    caller: &mut CallerWriter<'_>,
) -> Result<RelayEnd, RelayEnd> {
    let mut held = BytesMut::new();
    while let Some(bytes) = answer.next().await? {
        held.extend_from_slice(&bytes);
        if held.len() > MAX_HELD_BYTES {
            return pass_long(answer, held.freeze(), caller).await;
        }
    }
    let length = held.len() as u64;
    caller.head(answer.head(), Some(length)).await?;
    if !held.is_empty() {
        caller.body(held.freeze()).await?;
    }
    Ok(RelayEnd::Whole(Box::new(answer)))
}

async fn pass_long(
    mut answer: WorkerAnswer,
    held: Bytes,
    caller: &mut CallerWriter<'_>,
) -> Result<RelayEnd, RelayEnd> {
    let length = answer.declared_length();
    caller.head(answer.head(), length).await?;
    caller.body(held).await?;
    while let Some(bytes) = answer.next().await? {
        caller.body(bytes).await?;
    }
    if length.is_none() {
        caller.end().await?;
    }
    Ok(RelayEnd::Whole(Box::new(answer)))
}
