//! Errors of the encoding.

use thiserror::Error;

use crate::kernel::name::NameError;

/// The reason why a message can't be encoded or a frame can't be decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame is longer than allowed.
    #[error("frame of {length} bytes is too long")]
    FrameTooLong {
        /// The length found, in bytes.
        length: usize,
    },
    /// The frame has more messages than allowed.
    #[error("frame holds too many messages")]
    TooManyMessages,
    /// The message is longer than allowed for its kind.
    #[error("message of {length} bytes is too long")]
    MessageTooLong {
        /// The length found, in bytes.
        length: usize,
    },
    /// The kind of a message is not known.
    #[error("message kind {kind} is not known")]
    Kind {
        /// The kind found.
        kind: u8,
    },
    /// A field has a value that is not allowed.
    #[error("field {field} has a value that is not allowed")]
    Field {
        /// The name of the field.
        field: &'static str,
    },
    /// A name is not valid.
    #[error("invalid name: {0}")]
    Name(#[from] NameError),
    /// The bytes are not valid CBOR of the expected shape.
    #[error("invalid CBOR: {0}")]
    Cbor(String),
}
