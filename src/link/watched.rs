//! A stream wrapper that records when bytes last arrived.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// A shared view of the time at which bytes last arrived on a stream.
#[derive(Clone, Debug)]
pub struct ArrivalTime(Rc<Cell<Instant>>);

impl ArrivalTime {
    /// Returns the time at which bytes last arrived, or at which the stream was wrapped.
    #[must_use]
    pub fn get(&self) -> Instant {
        self.0.get()
    }
}

/// A stream wrapper that records when bytes last arrived, also those of an incomplete frame.
#[derive(Debug)]
pub struct WatchedStream<S> {
    stream: S,
    arrival: ArrivalTime,
}

impl<S> WatchedStream<S> {
    /// Wraps a stream; the current time counts as its first arrival.
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            arrival: ArrivalTime(Rc::new(Cell::new(Instant::now()))),
        }
    }

    /// Returns the wrapped stream.
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Returns a view of the arrival time, which is updated while the stream is read.
    #[must_use]
    pub fn arrival(&self) -> ArrivalTime {
        self.arrival.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.arrival.0.set(Instant::now());
        }
        outcome
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
