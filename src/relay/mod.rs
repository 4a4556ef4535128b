//! Forwarding of answers from upstreams to callers.
//!
//! The relay that polls the reader for its data centre is another; see [`crate::kernel::share`].
//!
//! A streamed answer is forwarded in complete events. When its connection breaks or delivers
//! nothing for [`STREAM_IDLE_TIMEOUT`], the same stream is resumed on a new connection; the request
//! itself is never sent again. When that fails, the caller gets an error event and the connection
//! closes before the end of the body, so that a truncated answer can't be mistaken for a complete
//! one.

mod cancel;
mod traffic;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Response;
use actix_http::ResponseBuilder;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::body::SizedStream;
use actix_http::header;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use thiserror::Error;

use self::cancel::CancelGuard;
use self::traffic::TrafficCount;
use crate::cell::SlotLease;
use crate::connection::FreshConnection;
use crate::context::HostContext;
use crate::execution::DispatchedRequest;
use crate::execution::lost_answer;
use crate::kernel::clock::ClockTime;
use crate::kernel::lifecycle::DispatchedState;
use crate::kernel::lifecycle::RequestLife;
use crate::reply::CallerError;
use crate::reply::response_builder;
use crate::request::ActiveRequest;
use crate::request::PlacedRequest;
use crate::sse::EventBuffer;
use crate::upstream;
use crate::upstream::ResumeError;
use crate::upstream::UpstreamAnswer;
use crate::upstream::UpstreamBody;
use crate::usage::UsageCollector;

/// The time without data after which the connection of a stream is given up.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of attempts to resume a stream without an event in between.
pub const MAX_RESUME_ATTEMPTS: u32 = 3;

/// The delay between an error event and the close of its connection, in which the event is written.
const ERROR_FLUSH_DELAY: Duration = Duration::from_millis(100);

/// An answer was truncated; the connection to the caller closes before the end of the body.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the answer was truncated")]
pub struct TruncationError;

/// Returns the response to the caller of a dispatched request; its body is forwarded as it arrives.
///
/// # Errors
///
/// Returns an error if the upstream gave no answer, and the request has no stream or the stream
/// can't be resumed.
pub async fn answer(
    context: Rc<HostContext>,
    active: ActiveRequest,
    placed: &PlacedRequest,
    dispatched: DispatchedRequest,
) -> Result<Response<BoxBody>, (CallerError, ActiveRequest)> {
    let DispatchedRequest {
        life,
        lease,
        address,
        answer,
    } = dispatched;
    let mut relay = Relay::new(context, active, placed, life, lease, address);
    match answer {
        Some(answer) if placed.incoming.stream => Ok(relay.stream_response(placed, answer)),
        Some(answer) => Ok(relay.plain_response(placed, answer)),
        None if placed.incoming.stream => match relay.resume().await {
            Ok(answer) => Ok(relay.stream_response(placed, answer)),
            Err(error) => Err(relay.into_error(error)),
        },
        None => {
            relay.check_worker().await;
            Err(relay.into_error("the upstream gave no answer"))
        }
    }
}

/// The forwarding of one answer.
struct Relay {
    context: Rc<HostContext>,
    active: ActiveRequest,
    /// The lifecycle state; `None` once the complete answer has arrived.
    life: Option<RequestLife<DispatchedState>>,
    /// The lease of the worker slot; `None` once it has ended.
    lease: Option<SlotLease>,
    address: SocketAddr,
    digest: u64,
    cancel: CancelGuard,
    events: EventBuffer,
    body: Option<UpstreamBody>,
    /// The time at which the first events, or the first bytes of an answer that is not streamed,
    /// arrived.
    first_event: Option<ClockTime>,
    /// The time at which the last of them arrived; the start of the relay before the first.
    last_event: ClockTime,
    /// The number of attempts to resume the stream since the last event.
    resumes: u32,
    /// The length of an answer that is no stream, in bytes; `None` if the upstream declared none.
    declared_length: Option<u64>,
    forwarded_bytes: u64,
    traffic: TrafficCount,
    /// The token count of an answer that is not streamed; `None` for a stream.
    usage: Option<UsageCollector>,
    truncated: bool,
}

impl Relay {
    fn new(
        context: Rc<HostContext>,
        active: ActiveRequest,
        placed: &PlacedRequest,
        life: RequestLife<DispatchedState>,
        lease: SlotLease,
        address: SocketAddr,
    ) -> Self {
        let last_event = context.clock.now();
        let traffic = TrafficCount::new(&context, placed, &lease);
        Self {
            context,
            active,
            life: Some(life),
            lease: Some(lease),
            address,
            digest: placed.incoming.digest,
            cancel: CancelGuard::new(placed, address),
            events: EventBuffer::default(),
            body: None,
            first_event: None,
            last_event,
            resumes: 0,
            declared_length: None,
            forwarded_bytes: 0,
            traffic,
            usage: None,
            truncated: false,
        }
    }

    fn plain_response(
        mut self,
        placed: &PlacedRequest,
        answer: UpstreamAnswer,
    ) -> Response<BoxBody> {
        self.declared_length = answer.declared_length();
        self.usage = Some(UsageCollector::default());
        let mut response = response_head(placed, &answer);
        let length = self.declared_length;
        if !answer.has_body(&placed.incoming.method) {
            self.finish();
            return match length {
                Some(length) => response
                    .body(SizedStream::new(
                        length,
                        stream::empty::<Result<Bytes, TruncationError>>(),
                    ))
                    .map_into_boxed_body(),
                None => response.finish().map_into_boxed_body(),
            };
        }
        self.body = Some(answer.into_body());
        let body = stream::unfold(self, |mut relay| async move {
            let item = relay.next_chunk().await?;
            Some((item, relay))
        });
        match length {
            Some(length) => response
                .body(SizedStream::new(length, body))
                .map_into_boxed_body(),
            None => response.body(BodyStream::new(body)).map_into_boxed_body(),
        }
    }

    fn stream_response(
        mut self,
        placed: &PlacedRequest,
        answer: UpstreamAnswer,
    ) -> Response<BoxBody> {
        let is_stream = answer.status().is_success()
            && answer
                .headers()
                .get(header::CONTENT_TYPE)
                .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        if !is_stream {
            return self.plain_response(placed, answer);
        }
        let mut response = response_head(placed, &answer);
        self.body = Some(answer.into_body());
        let body = stream::unfold(self, |mut relay| async move {
            let item = relay.next_events().await?;
            Some((item, relay))
        });
        response.body(BodyStream::new(body)).map_into_boxed_body()
    }

    /// Returns the next bytes of an answer that is not a stream of events; `None` at its end.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, TruncationError>> {
        let body = self.body.as_mut()?;
        let limit = self
            .life
            .as_ref()?
            .deadline()
            .since(self.context.clock.now());
        match tokio::time::timeout(limit.max(STREAM_IDLE_TIMEOUT), body.next()).await {
            Ok(Some(Ok(bytes))) => {
                self.forwarded_bytes += bytes.len() as u64;
                if let Some(usage) = &mut self.usage {
                    usage.push(&bytes);
                }
                self.traffic.received = self.forwarded_bytes;
                self.record_progress();
                if self.declared_length == Some(self.forwarded_bytes) {
                    self.finish();
                }
                Some(Ok(bytes))
            }
            Ok(None)
                if self
                    .declared_length
                    .is_none_or(|length| length == self.forwarded_bytes) =>
            {
                self.finish();
                None
            }
            Ok(None | Some(Err(_))) | Err(_) => {
                Some(Err(self.truncate("the answer was truncated")))
            }
        }
    }

    /// Returns the next complete events of a stream, resuming the stream as needed.
    async fn next_events(&mut self) -> Option<Result<Bytes, TruncationError>> {
        loop {
            if self.truncated {
                // When a body fails, the HTTP server discards bytes that it has not written yet.
                actix_rt::time::sleep(ERROR_FLUSH_DELAY).await;
                return Some(Err(TruncationError));
            }
            let body = self.body.as_mut()?;
            match tokio::time::timeout(STREAM_IDLE_TIMEOUT, body.next()).await {
                Ok(Some(Ok(bytes))) => {
                    self.traffic.received += bytes.len() as u64;
                    self.events.push(&bytes);
                    if let Some(events) = self.take_events() {
                        return Some(Ok(events));
                    }
                    if self.events.is_oversized() {
                        return Some(Ok(self.error_event("an event of the stream is too long")));
                    }
                }
                Ok(None | Some(Err(_))) | Err(_) => {
                    if let Err(error) = self.reconnect().await {
                        return Some(Ok(self.error_event(&error)));
                    }
                }
            }
        }
    }

    fn take_events(&mut self) -> Option<Bytes> {
        let events = self.events.take()?;
        self.resumes = 0;
        self.record_progress();
        if self.events.is_done() {
            self.finish();
        }
        Some(events)
    }

    fn record_progress(&mut self) {
        let now = self.context.clock.now();
        if self.first_event.is_none() {
            self.first_event = Some(now);
            self.active.first_token();
            self.report_first_token(now);
        } else {
            let gap = now.since(self.last_event);
            self.active.record_tokens(self.events.events(), gap);
        }
        self.last_event = now;
    }

    /// Reports the time to the first token of a stream; the first bytes of an answer that is not
    /// streamed follow its last token and would be taken for a very slow prefill.
    fn report_first_token(&self, now: ClockTime) {
        if self.usage.is_some() {
            return;
        }
        if let (Some(lease), Some(life)) = (&self.lease, &self.life) {
            lease.first_token(now.since(life.dispatched()));
        }
    }

    async fn reconnect(&mut self) -> Result<(), String> {
        let answer = self.resume().await?;
        self.events.discard_partial();
        self.body = Some(answer.into_body());
        Ok(())
    }

    /// Resumes the stream on a new connection, after the last event that was forwarded.
    async fn resume(&mut self) -> Result<UpstreamAnswer, String> {
        loop {
            if self.resumes >= MAX_RESUME_ATTEMPTS {
                return Err(format!(
                    "no event arrived in {MAX_RESUME_ATTEMPTS} attempts to resume the stream"
                ));
            }
            self.resumes += 1;
            let after = self.events.last_id();
            let Some(request) = self.life.as_ref().map(RequestLife::request) else {
                return Err("the request has ended".to_owned());
            };
            match upstream::resume(self.address, request, after).await {
                Ok(answer) => {
                    self.active.resumed(after);
                    return Ok(answer);
                }
                Err(ResumeError::Send(error)) => {
                    self.active.step(format!("resumption failed: {error}"));
                }
                Err(ResumeError::Open(error)) => {
                    self.record_worker_crash();
                    return Err(error.to_string());
                }
                Err(error) => return Err(error.to_string()),
            }
        }
    }

    /// Records a crash of the worker if it no longer accepts connections.
    async fn check_worker(&mut self) {
        if FreshConnection::open(self.address).await.is_err() {
            self.record_worker_crash();
        }
    }

    fn record_worker_crash(&mut self) {
        self.cancel.disarm();
        if let Some(lease) = self.lease.take() {
            self.context
                .record_worker_crash(&lease.grant().worker, self.digest);
            lease.failed();
        }
    }

    fn finish(&mut self) {
        self.cancel.disarm();
        self.body = None;
        let Some(life) = self.life.take() else { return };
        let _ran = life.finish();
        let event_count = self.events.events();
        let tokens = self
            .usage
            .as_ref()
            .map_or(event_count, UsageCollector::tokens);
        self.active.set_answer_tokens(tokens);
        if let Some(lease) = self.lease.take() {
            lease.finished(tokens, self.token_gap(tokens));
        }
        self.context.crashes.clear(self.digest);
        self.active.finished();
    }

    /// Returns the mean time between tokens, or zero, which estimates ignore, if it is not known.
    fn token_gap(&self, tokens: u32) -> Duration {
        if self.usage.is_some() {
            return Duration::ZERO;
        }
        let span = self
            .last_event
            .since(self.first_event.unwrap_or(self.last_event));
        span.checked_div(tokens.saturating_sub(1))
            .unwrap_or(Duration::ZERO)
    }

    fn truncate(&mut self, message: &str) -> TruncationError {
        self.truncated = true;
        self.body = None;
        self.active.failed(&lost_answer(message));
        TruncationError
    }

    fn error_event(&mut self, message: &str) -> Bytes {
        let error = lost_answer(message);
        let request = self.life.as_ref().map(RequestLife::request);
        self.truncate(message);
        let json = request
            .map(|request| error.to_json(request))
            .unwrap_or_default();
        Bytes::from(format!("event: error\ndata: {json}\n\n"))
    }

    fn into_error(mut self, message: impl Into<String>) -> (CallerError, ActiveRequest) {
        if let Some(life) = self.life.take() {
            let _ran = life.end_unknown();
        }
        (lost_answer(message), self.active)
    }
}

fn response_head(placed: &PlacedRequest, answer: &UpstreamAnswer) -> ResponseBuilder {
    let mut response = response_builder(answer.status(), placed.id, Some(&placed.tier));
    for (name, value) in answer.headers() {
        if upstream::is_forwarded(name) {
            response.append_header((name.clone(), value.clone()));
        }
    }
    response
}
