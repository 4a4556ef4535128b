//! State of the receiving side of a connection, read from the kernel.
//!
//! The runtime learns of received bytes and of a close only when it polls its I/O driver, which a
//! busy process does late. A probe asks the kernel directly.

use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
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
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(stream).peek(&mut byte) {
            Ok(0) => Self::Closed,
            Ok(_) => Self::Readable,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Self::Quiet,
            Err(_) => Self::Closed,
        }
    }
}
