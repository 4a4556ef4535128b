//! Errors of the message codec.

use thiserror::Error;

use crate::kernel::name::NameError;

/// The reason why a message can't be encoded or a frame can't be decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    ///
    /// [`MAX_FRAME_BYTES`]: super::MAX_FRAME_BYTES
    #[error("frame of {length} bytes is too long")]
    FrameTooLong {
        /// The actual length, in bytes.
        length: usize,
    },
    /// The frame has more than [`MAX_FRAME_MESSAGES`] messages.
    ///
    /// [`MAX_FRAME_MESSAGES`]: super::MAX_FRAME_MESSAGES
    #[error("frame holds too many messages")]
    TooManyMessages,
    /// The message to encode exceeds the limit of its kind.
    #[error("message of {length} bytes is too long")]
    MessageTooLong {
        /// The actual length, in bytes.
        length: usize,
    },
    /// The value of a field is out of range, or is an index at which the link's table of names,
    /// numbers or texts holds nothing.
    #[error("invalid value in field {field}")]
    Field {
        /// The name of the field.
        field: &'static str,
    },
    /// A name is not valid.
    #[error("invalid name: {0}")]
    Name(#[from] NameError),
    /// The received bytes are not valid CBOR, not of the expected structure or longer than the limit
    /// of the message kind, or a message can't be serialized.
    #[error("invalid CBOR: {0}")]
    Cbor(String),
}
