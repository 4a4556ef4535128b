//! Errors of links.

use std::io;

use thiserror::Error;

use crate::kernel::name::HostName;
use crate::kernel::name::NameError;
use crate::wire::CodecError;

/// The reason why a link can't be used or was closed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The listening socket can't be opened.
    #[error("can't listen for links: {0}")]
    Listen(#[source] io::Error),
    /// The connection can't be opened or broke.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The WebSocket protocol was violated or the connection broke.
    #[error("websocket failed: {0}")]
    Socket(String),
    /// The other end sent a frame that can't be decoded, or a message can't be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The other end did not prove the shared key, or broke the order of the handshake.
    #[error("handshake failed: {0}")]
    Handshake(HandshakeFault),
    /// Nothing was received for longer than the silence timeout.
    #[error("link went silent")]
    Silent,
    /// The other end closed the link.
    #[error("link was closed")]
    Closed,
    /// No link to the host is up.
    #[error("no link to {0}")]
    NotConnected(HostName),
    /// Too many messages wait to be sent to the host.
    #[error("send queue to {0} is full")]
    QueueFull(HostName),
    /// The message is longer than a link carries.
    #[error("message of {length} bytes is too long for a link")]
    TooLong {
        /// The length of the text, in bytes.
        length: usize,
    },
}

/// The reason why a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeFault {
    /// The other end does not hold the shared key.
    #[error("the other end did not prove the shared key")]
    Proof,
    /// The message of the handshake has the wrong shape.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The name of the other end is not valid.
    #[error("invalid host name: {0}")]
    Name(#[from] NameError),
    /// The other end speaks another version of the protocol.
    #[error("protocol version {version} is not supported")]
    Version {
        /// The version of the other end.
        version: u8,
    },
    /// The other end has the name of this host.
    #[error("the other end has the same name")]
    SameName,
    /// The handshake took too long.
    #[error("timed out")]
    Timeout,
}
