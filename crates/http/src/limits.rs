//! Limits of what a peer may send.

/// What a head may have at most, and the body that it announces.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the head.
    pub head: usize,
    /// Number of fields.
    pub fields: usize,
    /// Bytes of the body that the fields announce.
    pub body: u64,
}
