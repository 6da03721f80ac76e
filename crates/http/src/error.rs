//! Errors of parsing a message.

/// Reason for which a message is rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum HttpError {
    /// The head is longer than this number of bytes.
    #[error("the head is longer than {0} bytes")]
    HeadTooLarge(usize),
    /// The head has more than this number of fields.
    #[error("the head has more than {0} fields")]
    TooManyFields(usize),
    /// The head is not valid HTTP.
    #[error("the head cannot be read: {0}")]
    Malformed(httparse::Error),
    /// The message has a version of HTTP other than 1.1.
    #[error("HTTP/1.1 is spoken here")]
    Version,
    /// A request has this number of Host fields instead of one.
    #[error("{0} host fields; one is needed")]
    Host(usize),
    /// The content length is not a single decimal number.
    #[error("the length of the body is not one number")]
    Length,
    /// The message has both a content length and a transfer coding.
    #[error("the body has both a length and a transfer coding")]
    BothLengths,
    /// The transfer coding is other than `chunked` alone.
    #[error("the only transfer coding here is chunked")]
    Coding,
    /// The body is longer than this number of bytes.
    #[error("the body is over {0} bytes")]
    BodyTooLarge(u64),
    /// The size line of a chunk is malformed or over its limit.
    #[error("a chunk's size cannot be read or is over its bound")]
    ChunkSize,
    /// A chunk does not end where its size says.
    #[error("a chunk does not end where its size says")]
    ChunkEnd,
}

impl HttpError {
    /// Returns the status code of a server's response to such a message.
    pub fn status(self) -> u16 {
        match self {
            HttpError::HeadTooLarge(_) | HttpError::TooManyFields(_) => 431,
            HttpError::Version => 505,
            HttpError::Coding => 501,
            HttpError::BodyTooLarge(_) => 413,
            _ => 400,
        }
    }
}
