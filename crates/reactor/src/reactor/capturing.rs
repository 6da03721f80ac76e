//! Records events of the loop in the traffic capture, if one is set.

use bytes::Bytes;
use tideroute_wire::capture::{counts, CaptureEvent};
use tideroute_wire::event_loop::ConnectionId;

use super::Reactor;
use crate::connection::ConnectionState;

impl Reactor {
    /// Records an event of a connection.
    pub(super) fn record(&mut self, connection: ConnectionId, event: CaptureEvent, frame: &Bytes) {
        let now = self.clock.now();
        if let Some(capture) = &mut self.capture {
            capture.record(now, connection, event, 0, frame);
        }
    }

    /// Records that a connection has ended, with the number of frames sent and received on it.
    pub(super) fn record_closed(&mut self, slot: usize) {
        let connection = &self.connections[slot];
        let id = connection.id;
        let frame_counts = counts(connection.frames_sent, connection.frames_received);
        self.record(id, CaptureEvent::Closed, &frame_counts);
    }

    /// Records the start or end of the process; an exit first records the end of each open connection.
    pub(super) fn capture_process_event(&mut self, event: CaptureEvent) {
        if event == CaptureEvent::ProcessExited {
            let open: Vec<usize> = self
                .connections
                .iter()
                .filter(|(_, connection)| connection.state == ConnectionState::Open)
                .map(|(slot, _)| slot)
                .collect();
            for slot in open {
                self.record_closed(slot);
            }
        }
        self.record(ConnectionId(0), event, &Bytes::new());
        self.flush_capture();
    }

    /// Records that the handler, which is a relay, forwards between these two connections.
    pub(super) fn record_joined(&mut self, connections: [ConnectionId; 2]) {
        let streams = connections.map(|connection| {
            let slot = *self.slots.get(&connection)?;
            Some(&self.connections[slot].stream)
        });
        let [Some(first), Some(second)] = streams else { return };
        let ends = [
            first.local_addr().ok(),
            first.peer_addr().ok(),
            second.peer_addr().ok(),
            second.local_addr().ok(),
        ];
        if let Some(capture) = &mut self.capture {
            capture.record_joined(self.clock.now(), ends);
        }
    }

    pub(super) fn flush_capture(&mut self) {
        if let Some(capture) = &mut self.capture {
            capture.flush();
        }
    }
}
