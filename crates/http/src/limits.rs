//! Limits on the size of messages from a peer.

/// Maximum sizes of a head and of the body that it announces.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of bytes of the head.
    pub head: usize,
    /// Maximum number of fields.
    pub fields: usize,
    /// Maximum number of bytes of a body whose length the fields announce.
    pub body: u64,
}
