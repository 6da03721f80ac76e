//! The outputs of the protocol's state machine.

use bytes::Bytes;
use tideroute_wire::Address;

use crate::member::Member;

/// An output of the protocol's state machine, which its caller must handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The caller must send a message as one datagram.
    Send {
        /// The address of the receiver.
        to: Address,
        /// The message, not yet authenticated.
        message: Bytes,
    },
    /// Another member's status or incarnation changed, as this router sees it.
    StatusChanged(Member),
}
