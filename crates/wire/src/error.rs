//! The error for frames and messages that violate the protocol.

/// The reason why a frame or its message was refused.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Malformed {
    /// The bytes cannot be decoded as a message of this conversation.
    #[error("the frame cannot be decoded as a message of this conversation: {0}")]
    Unreadable(String),
    /// The frame holds no known message, or a required part of the message is missing.
    #[error("the frame holds no known message, or a required part of it is missing")]
    Empty,
    /// The length of a frame in bytes, and the limit that it exceeds.
    #[error("a frame of {0} bytes exceeds the limit of {1} bytes")]
    Oversized(u64, usize),
    /// The length before a frame is not a varint that fits into 64 bits.
    #[error("the length of a frame is not a varint of at most 64 bits")]
    Length,
    /// A field, named as in the protocol definition, has an invalid value.
    #[error("the value of {0} is out of range")]
    Range(&'static str),
    /// A field, named as in the protocol definition, is not an address.
    #[error("{0} is not an address of four IPv4 bytes and two port bytes")]
    Address(&'static str),
    /// The peer uses another version of the protocol.
    #[error("protocol version {0} is not supported")]
    Version(u32),
    /// The first message is not a Hello, or a later message is one.
    #[error("the first message of a connection, and no later one, must be a Hello")]
    Hello,
    /// The described message is not allowed in the current state of the conversation.
    #[error("not allowed in the current state of the conversation: {0}")]
    Order(&'static str),
}

impl From<prost::DecodeError> for Malformed {
    fn from(error: prost::DecodeError) -> Self {
        Malformed::Unreadable(error.to_string())
    }
}
