//! The capture of all traffic in virtual time, in the form that real processes write.

use bytes::Bytes;
use tideroute_wire::capture::{self, counts, CaptureEvent, CapturedFrame};
use tideroute_wire::event_loop::ConnectionId;

use super::{NodeId, Simulator};

impl Simulator {
    /// The capture of all traffic so far.
    pub fn capture(&mut self, terms: &str) -> std::io::Result<Vec<u8>> {
        let ended: Vec<_> = self.nodes.iter().enumerate().filter(|(_, n)| n.program.is_some()).collect();
        let ended: Vec<_> = ended.into_iter().map(|(n, _)| NodeId(n)).collect();
        for id in ended {
            let mut connections: Vec<_> = self
                .connection_ends
                .iter()
                .filter(|((n, _), e)| *n == id && e.open)
                .map(|((_, l), _)| *l)
                .collect();
            connections.sort_unstable();
            connections.into_iter().for_each(|connection| self.capture_end(id, connection));
        }
        let mut bytes = Vec::new();
        capture::write_head(&mut bytes, &self.processes, terms)?;
        self.captured.iter().try_for_each(|captured| capture::write(&mut bytes, captured))?;
        Ok(bytes)
    }

    /// Captures one event of a node.
    pub(super) fn capture_event(
        &mut self,
        id: NodeId,
        connection: ConnectionId,
        what: CaptureEvent,
        position: u64,
        frame: &Bytes,
    ) {
        let frame = capture::kept(frame, &self.nodes[id.0].role);
        let process = self.nodes[id.0].process;
        self.captured.push(CapturedFrame {
            at: self.now,
            process,
            connection: connection.0,
            event: what,
            position,
            frame,
        });
    }

    /// Captures the end of a connection at one of its ends.
    pub(super) fn capture_end(&mut self, id: NodeId, connection: ConnectionId) {
        let Some(end) = self.connection_ends.get(&(id, connection)) else { return };
        let (counts, established, there) =
            (counts(end.sent, end.received), end.established, end.peer.is_some());
        if connection.is_outbound() && !established && !there {
            return self.capture_event(id, connection, CaptureEvent::ConnectFailed, 0, &Bytes::new());
        }
        if connection.is_outbound() && !established {
            // Ended before its program knew that it was established: what was sent on it arrives all the same.
            self.capture_established(id, connection, CaptureEvent::Connected);
        }
        self.capture_event(id, connection, CaptureEvent::Closed, 0, &counts);
    }

    /// Captures that a connection was established, with both addresses; a node without an address gets one made of its
    /// connection, so that pairs stay distinct.
    pub(super) fn capture_established(&mut self, node: NodeId, connection: ConnectionId, what: CaptureEvent) {
        let Some((peer, peer_connection)) =
            self.connection_ends.get(&(node, connection)).and_then(|e| e.peer)
        else {
            return;
        };
        let dialler = |n: NodeId, connection: ConnectionId| {
            let (number, connection) = (self.nodes[n.0].process as u16, connection.0 as u32);
            let (n, l) = (number.to_be_bytes(), connection.to_be_bytes());
            Bytes::copy_from_slice(&[n[0], n[1], l[0], l[1], l[2], l[3]])
        };
        let listener = |n: NodeId| Bytes::copy_from_slice(&self.nodes[n.0].address.unwrap_or_default());
        let (other, own) = match what {
            CaptureEvent::Connected => (listener(peer), dialler(node, connection)),
            _ => (dialler(peer, peer_connection), listener(node)),
        };
        self.capture_event(node, connection, what, 0, &Bytes::from([other, own].concat()));
    }
}
