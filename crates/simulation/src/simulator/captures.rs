//! The capture of all traffic in virtual time, in the form that real processes write.

use bytes::Bytes;
use tideroute_wire::capture::{self, counts, CaptureEvent, CapturedFrame};
use tideroute_wire::event_loop::ConnectionId;

use super::{NodeId, Simulator};

impl Simulator {
    /// Returns the capture of all traffic so far. Connections that are still open at a running node are captured as closed.
    pub fn capture(&mut self, checker_config: &str) -> std::io::Result<Vec<u8>> {
        let running: Vec<_> =
            self.nodes.iter().enumerate().filter(|(_, node)| node.program.is_some()).collect();
        let running: Vec<_> = running.into_iter().map(|(node, _)| NodeId(node)).collect();
        for id in running {
            let mut connections: Vec<_> = self
                .connection_ends
                .iter()
                .filter(|((node, _), end)| *node == id && end.open)
                .map(|((_, connection), _)| *connection)
                .collect();
            connections.sort_unstable();
            connections.into_iter().for_each(|connection| self.capture_end(id, connection));
        }
        let mut bytes = Vec::new();
        capture::write_head(&mut bytes, &self.processes, checker_config)?;
        self.captured.iter().try_for_each(|captured| capture::write(&mut bytes, captured))?;
        Ok(bytes)
    }

    /// Captures one event of a node.
    pub(super) fn capture_event(
        &mut self,
        id: NodeId,
        connection: ConnectionId,
        event: CaptureEvent,
        position: u64,
        frame: &Bytes,
    ) {
        let frame = capture::kept(frame, &self.nodes[id.0].role);
        let process = self.nodes[id.0].process;
        self.captured.push(CapturedFrame {
            at: self.now,
            process,
            connection: connection.0,
            event,
            position,
            frame,
        });
    }

    /// Captures the end of a connection at one of its ends.
    pub(super) fn capture_end(&mut self, id: NodeId, connection: ConnectionId) {
        let Some(end) = self.connection_ends.get(&(id, connection)) else { return };
        let (counts, established, has_peer) =
            (counts(end.sent, end.received), end.established, end.peer.is_some());
        if connection.is_outbound() && !established && !has_peer {
            return self.capture_event(id, connection, CaptureEvent::ConnectFailed, 0, &Bytes::new());
        }
        if connection.is_outbound() && !established {
            // The connection ended before its program learned that it was established; what was sent on it still arrives.
            self.capture_established(id, connection, CaptureEvent::Connected);
        }
        self.capture_event(id, connection, CaptureEvent::Closed, 0, &counts);
    }

    /// Captures that a connection was established, with the addresses of both ends. The address of the connecting end is made
    /// of the numbers of its process and connection, so that pairs of addresses stay distinct.
    pub(super) fn capture_established(
        &mut self,
        node: NodeId,
        connection: ConnectionId,
        event: CaptureEvent,
    ) {
        let Some((peer, peer_connection)) =
            self.connection_ends.get(&(node, connection)).and_then(|end| end.peer)
        else {
            return;
        };
        let outbound_address = |id: NodeId, connection: ConnectionId| {
            let (number, connection) = (self.nodes[id.0].process as u16, connection.0 as u32);
            let (number, connection) = (number.to_be_bytes(), connection.to_be_bytes());
            Bytes::copy_from_slice(&[
                number[0],
                number[1],
                connection[0],
                connection[1],
                connection[2],
                connection[3],
            ])
        };
        let listening_address =
            |id: NodeId| Bytes::copy_from_slice(&self.nodes[id.0].address.unwrap_or_default());
        let (peer_address, own_address) = match event {
            CaptureEvent::Connected => (listening_address(peer), outbound_address(node, connection)),
            _ => (outbound_address(peer, peer_connection), listening_address(node)),
        };
        self.capture_event(node, connection, event, 0, &Bytes::from([peer_address, own_address].concat()));
    }
}
