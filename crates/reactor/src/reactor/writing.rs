//! Queues output, which is sent at the end of an iteration and whenever a socket becomes writable again.

use bytes::Bytes;
use metrics::counter;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

use super::{Notification, Reactor};
use crate::connection::{ConnectionState, MAX_BUFFERED};

impl Reactor {
    /// Queues a frame; disconnects the connection if more than [`MAX_BUFFERED`] bytes wait because its peer does not
    /// read.
    pub(super) fn send(&mut self, connection: ConnectionId, frame: &Bytes) {
        let Some(&slot) = self.slots.get(&connection) else { return };
        let now = self.clock.now();
        let target = &mut self.connections[slot];
        if !matches!(target.state, ConnectionState::Connecting { .. } | ConnectionState::Open) {
            return;
        }
        let before = target.buffered();
        if before == 0 {
            target.stalled_since = now;
        }
        target.queue(frame);
        if let Some(capture) = &mut self.capture {
            capture.record(now, connection, CaptureEvent::Sent, target.frames_sent, frame);
        }
        target.frames_sent += 1;
        let (buffered, state) = (target.buffered(), target.state);
        self.account_output(slot, before);
        if buffered > MAX_BUFFERED {
            self.disconnect(slot, DisconnectReason::Reset, "the peer does not read");
        } else if state == ConnectionState::Open {
            self.to_flush.push(slot);
        }
    }

    /// Sends as much output as the socket accepts, and notifies the handler of changed backpressure and completed
    /// writes.
    pub(super) fn flush(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else { return };
        if !matches!(connection.state, ConnectionState::Open | ConnectionState::Closing { .. }) {
            return;
        }
        let before = connection.buffered();
        let flushed = connection.flush();
        self.account_output(slot, before);
        if flushed.is_err() {
            return self.disconnect(slot, DisconnectReason::Reset, "sending failed");
        }
        let buffered = self.connections[slot].buffered();
        if buffered > 0 && buffered < before {
            self.connections[slot].stalled_since = self.clock.now();
        }
        counter!("tideroute_bytes_total", "direction" => "out").increment((before - buffered) as u64);
        let closing = self.connections[slot].state != ConnectionState::Open;
        if closing && buffered == 0 {
            return self.finish_output(slot);
        }
        if !closing {
            self.update_backpressure(slot, buffered < before);
        }
        let connection = &self.connections[slot];
        if connection.raw && before > 0 && buffered == 0 {
            self.notifications.push_back(Notification::WriteComplete(connection.id));
        }
        if closing && buffered < before {
            self.start_closing(slot);
        }
        self.update_interest(slot);
    }

    /// Sends the output of all connections on which some was queued.
    pub(super) fn flush_all(&mut self) {
        // The capture is flushed before the output is sent, so that the capture of a killed process holds everything
        // that the process sent.
        self.flush_capture();
        for slot in std::mem::take(&mut self.to_flush) {
            self.flush(slot);
        }
    }

    /// Notifies the handler if the amount of waiting output has crossed a watermark. The handler of a raw connection is
    /// also notified of progress while backpressure goes on, by which it tells a slow peer from one that does not read.
    fn update_backpressure(&mut self, slot: usize, has_progress: bool) {
        let connection = &mut self.connections[slot];
        let watermarks = connection.watermarks();
        let watermark = if connection.backpressure { watermarks.low } else { watermarks.high };
        let backpressure = connection.buffered() > watermark;
        let continues = connection.raw && backpressure && has_progress;
        if backpressure != connection.backpressure || continues {
            connection.backpressure = backpressure;
            self.notifications.push_back(Notification::Backpressure(connection.id, backpressure));
        }
    }
}
