//! Connections between nodes.

use std::collections::VecDeque;

use bytes::Bytes;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::{Address, Micros};

use super::event_queue::Event;
use super::{NodeId, Simulator};

/// One end of a connection.
pub(super) struct ConnectionEnd {
    pub(super) incarnation: u32,
    pub(super) peer: Option<(NodeId, ConnectionId)>,
    pub(super) open: bool,
    /// Whether its program has been notified that it is established.
    pub(super) established: bool,
    pub(super) sent: u64,
    pub(super) received: u64,
    pub(super) paused: bool,
    pub(super) waiting: VecDeque<Bytes>,
    /// When the last frame sent on it arrives; a later frame arrives no earlier.
    pub(super) last_delivery: Micros,
}

impl Simulator {
    /// Connects a node to the node that listens at an address.
    pub(super) fn connect(&mut self, id: NodeId, connection: ConnectionId, to: Address, timeout: Micros) {
        self.capture_event(id, connection, CaptureEvent::Connecting, 0, &Bytes::copy_from_slice(&to));
        let target = self.listens.get(&to).copied();
        let is_partitioned = |node: NodeId| self.nodes[node.0].partitioned;
        let incarnation = self.nodes[id.0].incarnation;
        let now = self.now;
        let end = |incarnation, peer| ConnectionEnd {
            incarnation,
            peer,
            open: true,
            established: false,
            sent: 0,
            received: 0,
            paused: false,
            waiting: VecDeque::new(),
            last_delivery: now,
        };
        let fails_after = match target {
            Some(node) if is_partitioned(node) || is_partitioned(id) => Some(timeout),
            Some(node) if self.nodes[node.0].program.is_some() => None,
            _ => Some(self.delay.min(timeout)),
        };
        if let Some(after) = fails_after {
            self.connection_ends.insert((id, connection), end(incarnation, None));
            return self.schedule(
                self.now + after,
                id,
                incarnation,
                Event::Disconnected(connection, DisconnectReason::ConnectFailed),
            );
        }
        let Some(node) = target else { return };
        let listener = &mut self.nodes[node.0];
        let peer_connection = ConnectionId(listener.accepted);
        listener.accepted += 1;
        let peer_incarnation = listener.incarnation;
        self.connection_ends.insert((node, peer_connection), end(peer_incarnation, Some((id, connection))));
        self.connection_ends.insert((id, connection), end(incarnation, Some((node, peer_connection))));
        self.schedule(self.now + self.delay, node, peer_incarnation, Event::Accepted(peer_connection));
        self.schedule(self.now + 2 * self.delay, id, incarnation, Event::Connected(connection));
    }

    /// Sends a frame, which arrives after the network delay and in order; it is lost if one of the nodes is partitioned.
    pub(super) fn send(&mut self, id: NodeId, connection: ConnectionId, frame: Bytes) {
        let Some(end) = self.connection_ends.get_mut(&(id, connection)).filter(|end| end.open) else {
            return;
        };
        let position = end.sent;
        end.sent += 1;
        end.last_delivery = end.last_delivery.max(self.now + self.delay);
        let delivered_at = end.last_delivery;
        let peer = end.peer;
        self.capture_event(id, connection, CaptureEvent::Sent, position, &frame);
        let Some((node, peer_connection)) = peer else { return };
        if self.nodes[id.0].partitioned || self.nodes[node.0].partitioned {
            return;
        }
        let incarnation = self.connection_ends.get(&(node, peer_connection)).map_or(0, |end| end.incarnation);
        self.schedule(delivered_at, node, incarnation, Event::Frame(peer_connection, frame));
    }

    /// Delivers a frame to a program.
    pub(super) fn deliver(&mut self, node: NodeId, connection: ConnectionId, frame: &Bytes) {
        let Some(end) = self.connection_ends.get_mut(&(node, connection)) else { return };
        let position = end.received;
        end.received += 1;
        self.capture_event(node, connection, CaptureEvent::Received, position, frame);
        self.call(node, |program, now, effects| program.on_data(now, connection, frame, effects));
    }

    /// Notifies a program that its connection has ended.
    pub(super) fn lose(&mut self, node: NodeId, connection: ConnectionId, reason: DisconnectReason) {
        let Some(end) = self.connection_ends.get_mut(&(node, connection)).filter(|end| end.open) else {
            return;
        };
        end.open = false;
        match reason {
            DisconnectReason::Reset => self.capture_end(node, connection),
            DisconnectReason::ConnectFailed | DisconnectReason::LocalFailure => {
                self.capture_event(node, connection, CaptureEvent::ConnectFailed, 0, &Bytes::new())
            }
        }
        self.call(node, |program, now, effects| program.on_disconnect(now, connection, reason, effects));
    }

    /// Closes one end of a connection; the peer is notified after all frames that were sent before have arrived.
    pub(super) fn disconnect(&mut self, id: NodeId, connection: ConnectionId) {
        let Some(end) = self.connection_ends.get_mut(&(id, connection)).filter(|end| end.open) else {
            return;
        };
        end.open = false;
        let at = end.last_delivery.max(self.now + self.delay);
        if let Some((node, peer_connection)) = end.peer {
            let incarnation =
                self.connection_ends.get(&(node, peer_connection)).map_or(0, |end| end.incarnation);
            self.schedule(
                at,
                node,
                incarnation,
                Event::Disconnected(peer_connection, DisconnectReason::Reset),
            );
        }
    }
}
