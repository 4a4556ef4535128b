//! The way of an answer from the upstream to the caller.
//!
//! A streamed answer is passed on in whole events. When its connection breaks or goes silent the
//! same stream is resumed on a new connection; the request itself is never sent again. When that
//! fails, the caller gets an error event and a connection that ends without the end of the body, so
//! that a cut answer never looks whole.

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

/// The time between two events after which a connection counts as silent.
pub const STREAM_SILENCE: Duration = Duration::from_secs(3);

/// The most times that one stream is resumed without an event in between.
pub const MAX_RESUMES: u32 = 3;

/// The time that an error event has to be written before its connection is closed.
const ERROR_FLUSH: Duration = Duration::from_millis(100);

/// The answer was cut; the connection to the caller ends without the end of the body.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the answer was cut")]
pub struct CutError;

/// Turns a dispatched request into the answer for its caller.
///
/// # Errors
///
/// Returns an error if the upstream gave no answer and a streamed one can't be resumed.
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
        Some(answer) if placed.incoming.stream => Ok(relay.streamed(placed, answer)),
        Some(answer) => Ok(relay.plain(placed, answer)),
        None if placed.incoming.stream => match relay.resume().await {
            Ok(answer) => Ok(relay.streamed(placed, answer)),
            Err(error) => Err(relay.lost(error)),
        },
        None => {
            relay.probe().await;
            Err(relay.lost("the upstream gave no answer"))
        }
    }
}

/// One answer on its way.
struct Relay {
    context: Rc<HostContext>,
    active: ActiveRequest,
    life: Option<RequestLife<DispatchedState>>,
    lease: Option<SlotLease>,
    address: SocketAddr,
    digest: u64,
    cancel: CancelGuard,
    events: EventBuffer,
    body: Option<UpstreamBody>,
    first_event: Option<ClockTime>,
    last_event: ClockTime,
    resumes: u32,
    expected: Option<u64>,
    passed: u64,
    traffic: TrafficCount,
    usage: Option<UsageCollector>,
    cut: bool,
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
            expected: None,
            passed: 0,
            traffic,
            usage: None,
            cut: false,
        }
    }

    fn plain(mut self, placed: &PlacedRequest, answer: UpstreamAnswer) -> Response<BoxBody> {
        self.expected = answer.declared_length();
        self.usage = Some(UsageCollector::default());
        let mut response = response_head(placed, &answer);
        let length = self.expected;
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

    fn streamed(mut self, placed: &PlacedRequest, answer: UpstreamAnswer) -> Response<BoxBody> {
        let is_stream = answer.status().is_success()
            && answer
                .headers()
                .get(header::CONTENT_TYPE)
                .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        if !is_stream {
            return self.plain(placed, answer);
        }
        let mut response = response_head(placed, &answer);
        self.body = Some(answer.into_body());
        let body = stream::unfold(self, |mut relay| async move {
            let item = relay.next_events().await?;
            Some((item, relay))
        });
        response.body(BodyStream::new(body)).map_into_boxed_body()
    }

    /// Returns the next bytes of an answer that is not a stream of events.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, CutError>> {
        let body = self.body.as_mut()?;
        let limit = self
            .life
            .as_ref()?
            .deadline()
            .since(self.context.clock.now());
        match tokio::time::timeout(limit.max(STREAM_SILENCE), body.next()).await {
            Ok(Some(Ok(bytes))) => {
                self.passed += bytes.len() as u64;
                if let Some(usage) = &mut self.usage {
                    usage.push(&bytes);
                }
                self.traffic.received = self.passed;
                self.note_event();
                if self.expected == Some(self.passed) {
                    self.finish();
                }
                Some(Ok(bytes))
            }
            Ok(None) if self.expected.is_none_or(|length| length == self.passed) => {
                self.finish();
                None
            }
            Ok(None | Some(Err(_))) | Err(_) => Some(Err(self.cut("the answer was cut"))),
        }
    }

    /// Returns the next whole events of a stream.
    async fn next_events(&mut self) -> Option<Result<Bytes, CutError>> {
        loop {
            if self.cut {
                // The server drops what it has not written yet when a body fails.
                actix_rt::time::sleep(ERROR_FLUSH).await;
                return Some(Err(CutError));
            }
            let body = self.body.as_mut()?;
            match tokio::time::timeout(STREAM_SILENCE, body.next()).await {
                Ok(Some(Ok(bytes))) => {
                    self.traffic.received += bytes.len() as u64;
                    self.events.push(&bytes);
                    if let Some(whole) = self.take_events() {
                        return Some(Ok(whole));
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
        let whole = self.events.take()?;
        self.resumes = 0;
        self.note_event();
        if self.events.is_done() {
            self.finish();
        }
        Some(whole)
    }

    fn note_event(&mut self) {
        let now = self.context.clock.now();
        if self.first_event.is_none() {
            self.first_event = Some(now);
            self.active.first_token();
            self.report_first_token(now);
        } else {
            let gap = now.since(self.last_event);
            self.active.next_tokens(self.events.events(), gap);
        }
        self.last_event = now;
    }

    /// Reports the time to the first token; the first bytes of an answer that is not streamed come
    /// after its last token and would pass for a very slow prefill.
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

    /// Resumes the stream on a new connection.
    async fn resume(&mut self) -> Result<UpstreamAnswer, String> {
        loop {
            if self.resumes >= MAX_RESUMES {
                return Err(format!(
                    "the stream was silent after {MAX_RESUMES} resumptions"
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
                    self.worker_died();
                    return Err(error.to_string());
                }
                Err(error) => return Err(error.to_string()),
            }
        }
    }

    /// Finds out whether the worker is gone altogether.
    async fn probe(&mut self) {
        if FreshConnection::open(self.address).await.is_err() {
            self.worker_died();
        }
    }

    fn worker_died(&mut self) {
        self.cancel.disarm();
        if let Some(lease) = self.lease.take() {
            self.context.worker_died(&lease.grant().worker, self.digest);
            lease.failed();
        }
    }

    fn finish(&mut self) {
        self.cancel.disarm();
        self.body = None;
        let Some(life) = self.life.take() else { return };
        let _ran = life.finish();
        let streamed = self.events.events();
        let tokens = self.usage.as_ref().map_or(streamed, UsageCollector::tokens);
        self.active.answered(tokens);
        if let Some(lease) = self.lease.take() {
            lease.finished(tokens, self.token_gap(tokens));
        }
        self.context.crashes.clear(self.digest);
        self.active.finished();
    }

    /// Returns the mean time between tokens; zero, which nobody learns from, if it is not known.
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

    fn cut(&mut self, message: &str) -> CutError {
        self.cut = true;
        self.body = None;
        self.active.failed(&lost_answer(message));
        CutError
    }

    fn error_event(&mut self, message: &str) -> Bytes {
        let error = lost_answer(message);
        let request = self.life.as_ref().map(RequestLife::request);
        self.cut(message);
        let json = request
            .map(|request| error.to_json(request))
            .unwrap_or_default();
        Bytes::from(format!("event: error\ndata: {json}\n\n"))
    }

    fn lost(mut self, message: impl Into<String>) -> (CallerError, ActiveRequest) {
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
