//! Executes the handler's effects on sockets, timers and files.

use std::fs;

use bytes::Bytes;
use metrics::counter;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, Effect, Effects};

use super::Reactor;

impl Reactor {
    /// Executes all effects in the order in which the handler requested them.
    pub(super) fn execute(&mut self, effects: &mut Effects) {
        for effect in effects.take() {
            self.execute_one(effect);
        }
        self.enforce_output_limit();
    }

    fn execute_one(&mut self, effect: Effect) {
        match effect {
            Effect::Connect { connection, to, timeout } => self.connect(connection, to, timeout),
            Effect::Send { connection, frame } => self.send(connection, &frame),
            Effect::Close { connection, reason } => self.close(connection, &reason),
            Effect::Abort { connection } => self.abort(connection),
            Effect::Reset { connection } => self.reset(connection),
            Effect::SetListenerState { listener, state } => self.set_listener_state(listener, state),
            Effect::Joined { connections } => self.record_joined(connections),
            Effect::SetTimer { at, key } => self.set_handler_timer(at, key),
            Effect::PauseReading { connection, paused } => self.pause_reading(connection, paused),
            Effect::Persist { bytes } => self.persist(&bytes),
            Effect::Publish { bytes } => self.publish(bytes),
            Effect::Datagram { socket, to, bytes } => self.send_datagram(socket, to, &bytes),
            Effect::AnnotateCapture { bytes } => self.record(ConnectionId(0), CaptureEvent::Observed, &bytes),
            Effect::Crash => self.crashed = true,
        }
    }

    fn pause_reading(&mut self, connection: ConnectionId, paused: bool) {
        let Some(&slot) = self.slots.get(&connection) else { return };
        self.connections[slot].reading_paused = paused;
        self.update_interest(slot);
    }

    /// Replaces the persisted file by a rename, so that a crash leaves either the old file or the new one.
    fn persist(&self, bytes: &[u8]) {
        let Some(path) = &self.persist_path else { return };
        let new_file = path.with_extension("new");
        if let Err(error) = fs::write(&new_file, bytes).and_then(|()| fs::rename(&new_file, path)) {
            tracing::error!(%error, path = %path.display(), "persisting state failed");
        }
    }

    fn publish(&self, bytes: Bytes) {
        let accepted = self.publish_to.as_ref().is_some_and(|mailbox| mailbox.try_send(bytes));
        counter!("tideroute_messages_published_total", "accepted" => accepted.to_string()).increment(1);
    }
}
