//! Limits the output that waits on all accepted connections together, because their peers do not read it.

use tideroute_wire::event_loop::DisconnectReason;

use super::Reactor;
use crate::connection::{Connection, ConnectionState};

impl Reactor {
    /// Updates the number of waiting bytes after the output of a connection has changed from `before` bytes.
    pub(super) fn account_output(&mut self, slot: usize, before: usize) {
        let connection = &self.connections[slot];
        if !connection.id.is_outbound() {
            self.unsent_responses += connection.buffered();
            self.unsent_responses -= before;
        }
    }

    /// Closes connections while more bytes wait than are allowed. All output is written first as far as the sockets
    /// accept it, so that only peers that do not read have any left.
    pub(super) fn enforce_output_limit(&mut self) {
        if self.unsent_responses <= self.max_unsent_responses {
            return;
        }
        self.flush_all();
        while self.unsent_responses > self.max_unsent_responses {
            let Some(slot) = self.longest_stalled() else { return };
            let detail = "the peer does not read, and too much output waits on all connections";
            self.disconnect(slot, DisconnectReason::Reset, detail);
        }
    }

    /// Returns the accepted connection whose peer has taken nothing for longest although output waits.
    fn longest_stalled(&self) -> Option<usize> {
        let waits = |(_, connection): &(usize, &Connection)| {
            let is_open = connection.state != ConnectionState::Closed;
            is_open && !connection.id.is_outbound() && connection.buffered() > 0
        };
        let waiting = self.connections.iter().filter(waits);
        waiting.min_by_key(|(_, connection)| connection.stalled_since).map(|(slot, _)| slot)
    }
}
