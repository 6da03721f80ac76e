//! What the protocol asks of its caller.

use bytes::Bytes;
use tideroute_wire::Address;

use crate::member::Member;

/// What the protocol asks of its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message as one datagram.
    Send {
        /// Where to.
        to: Address,
        /// The message, not yet authenticated.
        message: Bytes,
    },
    /// Another member's status or incarnation changed, as this router sees it.
    StatusChanged(Member),
}
