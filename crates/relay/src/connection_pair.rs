//! A relayed connection: the accepted connection and the one that goes on.

use tideroute_wire::event_loop::ConnectionId;

use crate::delayed_stream::DelayedStream;
use crate::fault::Direction;

/// Two connections, and the streams between them.
pub(crate) struct ConnectionPair {
    /// Index of the listener that accepted.
    pub listener: usize,
    /// The accepted connection, and the one to the peer behind the relay.
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

    /// The connection from which the bytes of a direction come.
    pub fn source(&self, direction: Direction) -> ConnectionId {
        self.connections[direction.source()]
    }

    /// The connection on which the bytes of a direction go on.
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
