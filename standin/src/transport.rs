//! TCP connections with injected resets and silence.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use actix_codec::AsyncRead;
use actix_codec::AsyncWrite;
use actix_codec::ReadBuf;
use actix_rt::net::TcpStream;

/// The size of the buffer for bytes discarded from a silent connection.
const DISCARD_BYTES: usize = 4096;

/// The injected faults of one connection.
#[derive(Debug, Default)]
pub struct ConnectionState {
    exempt: Cell<bool>,
    reset: Cell<bool>,
    silent: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionState {
    /// Exempts the connection from later resets and silencing, because it carries control calls.
    pub fn exempt(&self) {
        self.exempt.set(true);
    }

    /// Resets the connection: nothing more is read or written, and the peer receives a TCP reset.
    pub fn reset(&self) {
        if !self.exempt.get() {
            self.reset.set(true);
            self.wake();
        }
    }

    /// Silences the connection permanently: it stays open, but data in both directions is
    /// discarded.
    pub fn silence(&self) {
        if !self.exempt.get() {
            self.silent.set(true);
            self.wake();
        }
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// A TCP stream that applies the injected faults of its connection.
#[derive(Debug)]
pub struct FaultStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
}

impl FaultStream {
    /// Wraps a stream with the fault state of its connection.
    #[must_use]
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self { stream, state }
    }

    /// Returns the fault state of the connection.
    #[must_use]
    pub fn state(&self) -> &Rc<ConnectionState> {
        &self.state
    }

    fn check_reset(&self) -> io::Result<()> {
        if self.state.reset.get() {
            self.stream.set_zero_linger()?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                other => return other,
            }
        }
    }
}

impl AsyncRead for FaultStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_reset()?;
        self.state.waker.replace(Some(cx.waker().clone()));
        if self.state.silent.get() {
            return self.poll_discard(cx);
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for FaultStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_reset()?;
        if self.state.silent.get() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_reset()?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A silent connection stays open until the peer closes it.
        if self.state.silent.get() {
            return self.poll_discard(cx);
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
