//! Errors of links.

use std::io;

use thiserror::Error;

use crate::kernel::name::HostName;
use crate::kernel::name::NameError;
use crate::wire::CodecError;

/// The reason why a link can't be used or was closed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The address of the listening socket can't be read.
    #[error("can't read the address for links: {0}")]
    Listen(#[source] io::Error),
    /// The TCP connection can't be opened or was lost.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The WebSocket protocol was violated or the connection was lost.
    #[error("websocket failed: {0}")]
    Socket(String),
    /// A received frame can't be decoded, or a message can't be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The handshake failed; the link was not established.
    #[error("handshake failed: {0}")]
    Handshake(HandshakeError),
    /// Nothing was received for longer than the silence timeout.
    #[error("nothing received within the silence timeout")]
    Silent,
    /// The peer or this host closed the link, a newer link replaced it, or the peer sent a message
    /// that is not binary.
    #[error("link was closed")]
    Closed,
    /// No link to the host is established.
    #[error("no link to {0}")]
    NotConnected(HostName),
    /// The queue of messages to the host is full.
    #[error("send queue to {0} is full")]
    QueueFull(HostName),
    /// The text of the message exceeds the limit of a link.
    #[error("message text of {length} bytes is too long for a link")]
    TooLong {
        /// The length of the text, in bytes.
        length: usize,
    },
}

/// The reason why a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The proof of the peer does not match the shared key.
    #[error("the peer did not prove the shared key")]
    Proof,
    /// A handshake message is too long, of the wrong type or can't be decoded.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The host name of the peer, or the name of the worker to which it wants a tunnel, is not valid.
    #[error("invalid name: {0}")]
    Name(#[from] NameError),
    /// The peer uses another version of the protocol.
    #[error("protocol version {version} is not supported")]
    Version {
        /// The protocol version of the peer.
        version: u8,
    },
    /// The peer has the name of this host.
    #[error("the peer has the same name as this host")]
    SameName,
    /// The connection or the handshake was not complete within [`HANDSHAKE_TIMEOUT`].
    ///
    /// [`HANDSHAKE_TIMEOUT`]: super::HANDSHAKE_TIMEOUT
    #[error("timed out")]
    Timeout,
}
