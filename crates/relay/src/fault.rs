//! The network faults that a relay injects.

use tideroute_wire::Micros;

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Direction {
    /// From the process that connected to the relay, to the peer.
    Forward,
    /// From the peer, to the process that connected to the relay.
    Backward,
}

impl Direction {
    pub const BOTH: [Direction; 2] = [Direction::Forward, Direction::Backward];

    /// Returns the index in a connection pair of the connection on which the bytes are received.
    pub fn source(self) -> usize {
        match self {
            Direction::Forward => 0,
            Direction::Backward => 1,
        }
    }

    /// Returns the index in a connection pair of the connection to which the bytes are forwarded.
    pub fn target(self) -> usize {
        1 - self.source()
    }

    pub fn reverse(self) -> Direction {
        match self {
            Direction::Forward => Direction::Backward,
            Direction::Backward => Direction::Forward,
        }
    }
}

/// The directions that a fault affects, from the view of the process that connects to the relay.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultDirection {
    /// Both directions.
    Both,
    /// Only bytes to the peer.
    Forward,
    /// Only bytes to the process that connects.
    Backward,
}

impl FaultDirection {
    pub(crate) fn includes(self, direction: Direction) -> bool {
        match self {
            FaultDirection::Both => true,
            FaultDirection::Forward => direction == Direction::Forward,
            FaultDirection::Backward => direction == Direction::Backward,
        }
    }
}

/// The effect of a fault.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FaultKind {
    /// A network partition: connections stay open but no bytes are forwarded, and connection attempts are not answered.
    /// Bytes sent during the fault arrive when it ends.
    Blackhole,
    /// Connections are reset, and connection attempts are refused.
    Reset,
    /// Bytes are forwarded with a delay.
    Delay {
        /// The minimum delay in microseconds.
        delay: Micros,
        /// The maximum random addition to the delay in microseconds, uniformly distributed from 0.
        jitter: Micros,
        /// The probability from 0 to 1 that received bytes are lost and retransmitted. A lost datagram is not
        /// retransmitted.
        loss: f64,
    },
}

/// A fault and the time span in which it is active.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The start of the fault, in microseconds after the start of the relay.
    pub from: Micros,
    /// The end of the fault, in microseconds after the start of the relay.
    pub until: Micros,
    /// The directions that the fault affects.
    pub direction: FaultDirection,
    /// The effect of the fault.
    pub kind: FaultKind,
}
