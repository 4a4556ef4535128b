//! The part of an answer that its caller has not taken yet.
//!
//! [`crate::kernel::backlog`] decides when reading from the worker stops and when the caller is cut off.

use std::collections::VecDeque;
use std::future;
use std::io;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use socket2::SockRef;
use tokio::net::tcp::WriteHalf;

use super::bodies::AnswerReservation;
use super::host::GatewayHost;
use crate::clock::ProcessClock;
use crate::kernel::backlog::AnswerBacklog;
use crate::kernel::backlog::BacklogStep;
use crate::kernel::clock::ClockTime;

/// The bytes of a buffer of the part. The first one belongs to the memory of the connection.
const SEGMENT_BYTES: usize = 16 << 10;

/// The interval at which a connection that is not writable is asked to take some bytes, and their number.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_BYTES: usize = 1 << 10;

/// The part of an answer that its caller has not taken yet, and the connection that takes it.
#[derive(Debug)]
pub(super) struct UnreadAnswer<'a> {
    writer: WriteHalf<'a>,
    segments: VecDeque<BytesMut>,
    backlog: AnswerBacklog,
    reservation: AnswerReservation,
    clock: ProcessClock,
}

impl<'a> UnreadAnswer<'a> {
    pub(super) fn new(writer: WriteHalf<'a>, host: &GatewayHost) -> Self {
        Self {
            writer,
            segments: VecDeque::new(),
            backlog: AnswerBacklog::default(),
            reservation: host.bodies.answer(),
            clock: host.clock,
        }
    }

    pub(super) const fn writer(&self) -> &WriteHalf<'a> {
        &self.writer
    }

    pub(super) const fn held(&self) -> u64 {
        self.backlog.held()
    }

    /// Returns whether the host has memory to hold the beginning of an answer back.
    pub(super) fn reserve(&mut self, bytes: usize) -> bool {
        self.reservation.resize(beyond_first_segment(bytes))
    }

    /// Returns what is done next while the worker writes the answer.
    pub(super) fn step(&self) -> BacklogStep {
        self.backlog.step(self.clock.now())
    }

    /// Returns what is done next once the answer has ended; `None` if its caller has taken all.
    pub(super) fn ending_step(&self, deadline: ClockTime) -> Option<BacklogStep> {
        let step = || self.backlog.ending_step(self.clock.now(), deadline);
        (self.held() > 0).then(step)
    }

    /// Writes bytes, and keeps what the connection doesn't take now.
    pub(super) fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_segments()?;
        let mut rest = bytes;
        while self.segments.is_empty() && !rest.is_empty() {
            match self.try_write(rest)? {
                0 => break,
                count => rest = &rest[count..],
            }
        }
        self.append(rest);
        let has_memory = self.reserve_segments();
        if !rest.is_empty() {
            let now = self.clock.now();
            self.backlog.add(now, rest.len() as u64, has_memory);
        }
        Ok(())
    }

    /// Waits until the connection takes bytes, and writes what it takes; waits forever if there are none.
    pub(super) async fn drain(&mut self) -> io::Result<()> {
        if self.segments.is_empty() {
            return future::pending().await;
        }
        self.writer.writable().await?;
        self.write_segments()
    }

    /// Does the same, but not for longer than up to a time. Tries to write some bytes meanwhile, since the
    /// connection becomes writable only when it can take many.
    pub(super) async fn drain_until(&mut self, limit: ClockTime) -> io::Result<()> {
        let time = limit.since(self.clock.now()).min(PROBE_INTERVAL);
        match tokio::time::timeout(time, self.drain()).await {
            Ok(drained) => drained,
            Err(_elapsed) => self.probe(),
        }
    }

    /// Writes up to [`PROBE_BYTES`] without asking the runtime whether the connection is writable.
    fn probe(&mut self) -> io::Result<()> {
        let Some(first) = self.segments.front() else {
            return Ok(());
        };
        let part = &first[..first.len().min(PROBE_BYTES)];
        match SockRef::from(self.writer.as_ref()).send(part) {
            Ok(count) => {
                self.advance(count);
                self.record_taken(count as u64);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn write_segments(&mut self) -> io::Result<()> {
        let mut taken = 0;
        while let Some(first) = self.segments.front() {
            let count = self.try_write(first)?;
            if count == 0 {
                break;
            }
            taken += count as u64;
            self.advance(count);
        }
        self.record_taken(taken);
        Ok(())
    }

    fn record_taken(&mut self, bytes: u64) {
        if bytes > 0 {
            let has_memory = self.reserve_segments();
            self.backlog.take(self.clock.now(), bytes, has_memory);
        }
    }

    fn advance(&mut self, count: usize) {
        if let Some(first) = self.segments.front_mut() {
            first.advance(count);
            if first.is_empty() {
                self.segments.pop_front();
            }
        }
    }

    /// Returns the number of bytes that the connection takes now.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.writer.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            written => written,
        }
    }

    fn append(&mut self, mut rest: &[u8]) {
        while !rest.is_empty() {
            let room = |last: &BytesMut| last.capacity() - last.len();
            if self.segments.back().is_none_or(|last| room(last) == 0) {
                self.segments
                    .push_back(BytesMut::with_capacity(SEGMENT_BYTES));
            }
            let Some(last) = self.segments.back_mut() else {
                return;
            };
            let (part, later) = rest.split_at(rest.len().min(room(last)));
            last.extend_from_slice(part);
            rest = later;
        }
    }

    fn reserve_segments(&mut self) -> bool {
        self.reserve(self.segments.len() * SEGMENT_BYTES)
    }
}

const fn beyond_first_segment(bytes: usize) -> u64 {
    bytes.saturating_sub(SEGMENT_BYTES) as u64
}
