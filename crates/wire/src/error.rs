//! Why a frame, or what it holds, is refused.

/// Why a frame, or what it holds, is refused.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Malformed {
    /// The bytes are not a message of the conversation.
    #[error("the frame is no message of this conversation: {0}")]
    Unreadable(String),
    /// The message, or a part that it must have, is missing.
    #[error("the frame holds no message that is known")]
    Empty,
    /// A frame of this many bytes is over the limit.
    #[error("a frame of {0} bytes is over the bound of {1}")]
    Oversized(u64, usize),
    /// The length before a frame is not a varint.
    #[error("a length takes more than ten bytes")]
    Length,
    /// A field, by its name on the wire, has a value out of its range.
    #[error("{0} is out of its range")]
    Range(&'static str),
    /// A field, by its name on the wire, is not an address.
    #[error("{0} must be six bytes of address and port")]
    Address(&'static str),
    /// The peer speaks another version of the protocol.
    #[error("version {0} of the protocol is not spoken here")]
    Version(u32),
    /// The first message is not a Hello, or a later one is.
    #[error("Hello comes first, and only once")]
    Hello,
    /// A message, by its name on the wire, comes in a state in which it must not.
    #[error("{0} comes out of order")]
    Order(&'static str),
}

impl From<prost::DecodeError> for Malformed {
    fn from(error: prost::DecodeError) -> Self {
        Malformed::Unreadable(error.to_string())
    }
}
