//! Why a message can't be read.

#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum Problem {
    #[error("the head is longer than {0} bytes")]
    HeadTooLarge(usize),
    #[error("the head has more than {0} fields")]
    TooManyFields(usize),
    #[error("the head cannot be read: {0}")]
    Malformed(httparse::Error),
    #[error("a field is no text")]
    NoText,
    #[error("HTTP/1.1 is spoken here")]
    Version,
    #[error("{0} host fields; one is needed")]
    Host(usize),
    #[error("the length of the body is not one number")]
    Length,
    #[error("the body has both a length and a transfer coding")]
    BothLengths,
    #[error("the only transfer coding here is chunked")]
    Coding,
    #[error("the body is over {0} bytes")]
    BodyTooLarge(u64),
    #[error("a chunk's size cannot be read or is over its bound")]
    ChunkSize,
    #[error("a chunk does not end where its size says")]
    ChunkEnd,
}

impl Problem {
    /// The status that a server answers it with.
    pub fn status(self) -> u16 {
        match self {
            Problem::HeadTooLarge(_) | Problem::TooManyFields(_) => 431,
            Problem::Version => 505,
            Problem::Coding => 501,
            Problem::BodyTooLarge(_) => 413,
            _ => 400,
        }
    }
}
