//! Events in virtual time and their order.

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Micros;

use super::NodeId;

/// An event at a node.
pub enum Event {
    Accepted(ConnectionId),
    Connected(ConnectionId),
    Frame(ConnectionId, Bytes),
    /// The program reads from the connection again, and the frames that waited are delivered.
    ReadResumed(ConnectionId),
    Disconnected(ConnectionId, DisconnectReason),
    Timer(u64),
}

/// An event and when it happens; events of one moment happen in the sequence in which they were scheduled.
pub struct ScheduledEvent {
    pub at: Micros,
    pub sequence: u64,
    pub node: NodeId,
    /// The incarnation of the node for which the event was scheduled; a later incarnation discards it.
    pub incarnation: u32,
    pub event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// The earliest event is the greatest, as the heap pops that one first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
