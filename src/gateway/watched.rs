//! A connection to a worker whose answers are watched for a header while their bytes are passed on.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Finds the lines of bytes that begin with the name of a header, in any case.
///
/// A line of a body counts as well, since the framing of answers isn't followed.
#[derive(Clone, Debug)]
pub struct HeaderScanner {
    /// A line end, the name of the header in lower case and a colon.
    pattern: Vec<u8>,
    /// The number of bytes of the pattern that the last bytes match.
    matched: usize,
}

impl HeaderScanner {
    /// Creates a scanner for a header.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder::gateway::HeaderScanner;
    ///
    /// let mut scanner = HeaderScanner::new("server-leaving");
    /// assert!(!scanner.scan(b"HTTP/1.1 200 OK\r\nX-Server-Leaving: 1\r\nSERVER-"));
    /// assert!(!scanner.scan(b"LEAVING 1\r\nServer-"));
    /// assert!(scanner.scan(b"Leaving: 1\r\n\r\n"));
    /// ```
    #[must_use]
    pub fn new(header: &str) -> Self {
        Self {
            pattern: format!("\n{}:", header.to_ascii_lowercase()).into_bytes(),
            matched: 0,
        }
    }

    /// Reads further bytes; returns whether such a line began in them.
    pub fn scan(&mut self, bytes: &[u8]) -> bool {
        let mut is_found = false;
        for byte in bytes {
            // The line end occurs nowhere else in the pattern, so that no other match can overlap.
            self.matched = match byte.to_ascii_lowercase() {
                byte if byte == self.pattern[self.matched] => self.matched + 1,
                b'\n' => 1,
                _ => 0,
            };
            if self.matched == self.pattern.len() {
                is_found = true;
                self.matched = 0;
            }
        }
        is_found
    }
}

/// A connection to a worker that calls a function when an answer has the header.
pub(super) struct WatchedStream<F> {
    stream: TcpStream,
    scanner: HeaderScanner,
    on_found: F,
}

impl<F: FnMut()> WatchedStream<F> {
    pub(super) const fn new(stream: TcpStream, scanner: HeaderScanner, on_found: F) -> Self {
        Self {
            stream,
            scanner,
            on_found,
        }
    }

    pub(super) const fn stream(&self) -> &TcpStream {
        &self.stream
    }
}

impl<F: FnMut() + Unpin> AsyncRead for WatchedStream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        if this.scanner.scan(&buf.filled()[before..]) {
            (this.on_found)();
        }
        polled
    }
}

impl<F: Unpin> AsyncWrite for WatchedStream<F> {
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
