//! A relayed connection: the accepted connection and the outbound connection to the peer.

use tideroute_wire::event_loop::ConnectionId;

use crate::delayed_stream::DelayedStream;
use crate::fault::Direction;

/// The two connections of a relayed connection, and the byte streams between them.
pub(crate) struct ConnectionPair {
    /// Index of the listener that accepted the connection.
    pub listener: usize,
    /// The accepted connection and the outbound connection to the peer, in this order.
    pub connections: [ConnectionId; 2],
    forward: DelayedStream,
    backward: DelayedStream,
}

impl ConnectionPair {
    pub fn new(listener: usize, accepted: ConnectionId, outbound: ConnectionId) -> ConnectionPair {
        ConnectionPair {
            listener,
            connections: [accepted, outbound],
            forward: DelayedStream::default(),
            backward: DelayedStream::default(),
        }
    }

    /// Returns the connection on which the bytes of a direction are received.
    pub fn source(&self, direction: Direction) -> ConnectionId {
        self.connections[direction.source()]
    }

    /// Returns the connection to which the bytes of a direction are forwarded.
    pub fn target(&self, direction: Direction) -> ConnectionId {
        self.connections[direction.target()]
    }

    pub fn stream(&mut self, direction: Direction) -> &mut DelayedStream {
        match direction {
            Direction::Forward => &mut self.forward,
            Direction::Backward => &mut self.backward,
        }
    }
}
