//! Handles events of connections, and reads the frames that arrive on them.

use bytes::Bytes;
use polling::Event;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{DisconnectReason, Effects, EventHandler};

use super::Reactor;
use crate::connection::{ConnectionState, ReadOutcome};

impl Reactor {
    /// Handles an event according to the state of its connection.
    pub(super) fn handle_connection_event(
        &mut self,
        slot: usize,
        event: Event,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) {
        let Some(connection) = self.connections.get(slot) else { return };
        match connection.state {
            ConnectionState::Connecting { .. } => return self.finish_connecting(slot),
            ConnectionState::Lingering { .. } => return self.discard_input(slot),
            ConnectionState::Open | ConnectionState::Closing { .. } | ConnectionState::Closed => {}
        }
        if event.writable && connection.buffered() > 0 {
            self.flush(slot);
            // Notifies the handler before the later events of this iteration, such as an endpoint list update or a
            // timer; otherwise the handler would take a request for unsent although its last byte has just been sent.
            self.deliver_notifications(handler, effects);
        }
        // The poller would report a broken connection in each iteration, even while reading is paused.
        let paused = self.connections[slot].reading_paused;
        let broken = event.is_interrupt() || event.is_err().unwrap_or(false);
        if self.is_open(slot) && paused && broken {
            return self.disconnect(
                slot,
                DisconnectReason::Reset,
                "the connection broke while reading was paused",
            );
        }
        if event.readable && self.is_open(slot) && !paused {
            self.read(slot, handler, effects);
        }
    }

    fn is_open(&self, slot: usize) -> bool {
        self.connections.get(slot).is_some_and(|connection| connection.state == ConnectionState::Open)
    }

    /// Reads a chunk and passes its frames to the handler as long as the connection stays open.
    fn read(&mut self, slot: usize, handler: &mut impl EventHandler, effects: &mut Effects) {
        let ReadOutcome { frames, end } = self.connections[slot].read(&mut self.read_buffer);
        for frame in &frames {
            if !self.is_open(slot) {
                return;
            }
            self.deliver_frame(slot, frame, handler, effects);
        }
        if let Some(end) = end.filter(|_| self.is_open(slot)) {
            self.disconnect(slot, DisconnectReason::Reset, &end.to_string());
        }
    }

    fn deliver_frame(
        &mut self,
        slot: usize,
        frame: &Bytes,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) {
        let now = self.clock.now();
        let connection = &mut self.connections[slot];
        let id = connection.id;
        let position = connection.frames_received;
        connection.frames_received += 1;
        if let Some(capture) = &mut self.capture {
            capture.record(now, id, CaptureEvent::Received, position, frame);
        }
        handler.on_data(now, id, frame, effects);
        self.execute(effects);
    }
}
