//! Network faults.

use tideroute_wire::Micros;

/// The direction in which bytes pass.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Direction {
    /// From the process that connected to the peer behind the relay.
    Forward,
    /// Back to the process that connected.
    Backward,
}

impl Direction {
    pub const BOTH: [Direction; 2] = [Direction::Forward, Direction::Backward];

    /// The index of the connection from which the bytes come.
    pub fn source(self) -> usize {
        match self {
            Direction::Forward => 0,
            Direction::Backward => 1,
        }
    }

    /// The index of the connection on which the bytes go on.
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

/// The directions that a fault concerns, seen from the process that connects.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultDirection {
    /// Both directions.
    Both,
    /// To the peer behind the relay only.
    Forward,
    /// Back to the process that connects only.
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

/// What a fault does.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FaultKind {
    /// A partition: connections stay open and nothing passes, and connection attempts are not answered. What was sent
    /// arrives when the fault is over.
    Blackhole,
    /// Connections are reset, and connection attempts are refused.
    Reset,
    /// What passes is late.
    Delay {
        /// The least delay.
        delay: Micros,
        /// Up to so much is added, uniformly distributed.
        jitter: Micros,
        /// The probability with which a part is lost, and sent again. A lost datagram is not sent again.
        loss: f64,
    },
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it begins, after the relay's start.
    pub from: Micros,
    /// When it ends, after the relay's start.
    pub until: Micros,
    /// What it concerns.
    pub direction: FaultDirection,
    /// What it does.
    pub kind: FaultKind,
}
