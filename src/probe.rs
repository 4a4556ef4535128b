//! State of the receiving side of a connection, read from the kernel.
//!
//! The runtime learns of received bytes and of a close only when it polls its I/O driver, which a
//! busy process does late. A probe asks the kernel directly.

use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use socket2::SockRef;
use socket2::Socket;
use tokio::net::TcpStream;

/// The state of the receiving side of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReceiveState {
    /// The connection is open and no received bytes are unread.
    Quiet,
    /// Received bytes are unread; the peer may have closed the connection after them.
    Readable,
    /// The peer has closed or reset the connection.
    Closed,
}

impl ReceiveState {
    /// Returns the state of a connection.
    #[must_use]
    pub fn of(stream: &TcpStream) -> Self {
        Self::of_socket(&SockRef::from(stream))
    }

    fn of_socket(socket: &Socket) -> Self {
        let mut byte = [MaybeUninit::uninit()];
        match socket.peek(&mut byte) {
            Ok(0) => Self::Closed,
            Ok(_) => Self::Readable,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Self::Quiet,
            Err(_) => Self::Closed,
        }
    }
}

/// A second handle of a connection whose stream is owned by a server.
///
/// The connection stays open until the handle is dropped too, so the handle belongs to the data of
/// the connection, and requests only refer to it.
#[derive(Debug)]
pub struct ConnectionProbe {
    socket: Socket,
}

impl ConnectionProbe {
    /// Creates the handle of a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has no descriptor left.
    pub fn new(stream: &TcpStream) -> io::Result<Self> {
        let socket = SockRef::from(stream).try_clone()?;
        Ok(Self { socket })
    }

    /// Sets whether a close, also that of the kernel after the end of the process, resets the
    /// connection and discards what was not sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the option can't be set.
    pub fn set_reset_on_close(&self, reset: bool) -> io::Result<()> {
        self.socket.set_linger(reset.then_some(Duration::ZERO))
    }

    /// Returns the state of the connection.
    #[must_use]
    pub fn state(&self) -> ReceiveState {
        ReceiveState::of_socket(&self.socket)
    }
}
