//! Ends connections at the handler's request, because of the peer or an error, or at a deadline.

use std::net::Shutdown;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use socket2::{SockRef, Socket};
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Micros;

use super::{Notification, Reactor};
use crate::connection::{Connection, ConnectionState};

/// Microseconds within which a closing connection must make progress in sending its output.
const CLOSE_TIMEOUT: Micros = 500_000;
/// [`CLOSE_TIMEOUT`] of raw connections, whose peers may be slow, if the last progress was long ago.
const RAW_CLOSE_TIMEOUT: Micros = 2_000_000;
/// Microseconds since its last progress for which a closing raw connection is kept: a peer that reads steadily, but
/// slowly, takes a part of the kernel's buffer at a time.
const RAW_STALL_TIMEOUT: Micros = 15_000_000;
/// Maximum number of bytes discarded on a lingering connection: as many as the largest senders have in flight.
const MAX_DISCARDED: usize = 96 << 20;
/// Maximum number of chunks discarded on a connection in one iteration, so that a sender at full speed does not starve
/// other connections.
const DISCARDED_CHUNKS: usize = 8;
/// Microseconds within which the peer of a lingering connection must stop sending.
const LINGER_TIMEOUT: Micros = 2_000_000;

impl Reactor {
    /// Closes a connection at the handler's request once its output has been sent.
    pub(super) fn close(&mut self, id: ConnectionId, reason: &str) {
        let Some(&slot) = self.slots.get(&id) else { return };
        tracing::debug!(connection = id.0, reason, "connection closed by the handler");
        counter!("tideroute_connections_closed_total", "by" => "handler").increment(1);
        match self.connections[slot].state {
            ConnectionState::Closed => return,
            ConnectionState::Connecting { .. } => self.record(id, CaptureEvent::ConnectFailed, &Bytes::new()),
            ConnectionState::Open | ConnectionState::Closing { .. } | ConnectionState::Lingering { .. } => {
                self.record_closed(slot)
            }
        }
        let connection = &self.connections[slot];
        if connection.state != ConnectionState::Open {
            self.shut_down(slot);
        } else if connection.buffered() > 0 {
            self.start_closing(slot);
            self.to_flush.push(slot);
            self.update_interest(slot);
        } else {
            self.finish_output(slot);
        }
    }

    /// Closes a connection at the handler's request at once; queued output is not sent.
    pub(super) fn abort(&mut self, id: ConnectionId) {
        if let Some(&slot) = self.slots.get(&id) {
            self.shut_down(slot);
        }
    }

    /// Resets a connection at the handler's request.
    pub(super) fn reset(&mut self, id: ConnectionId) {
        if let Some(&slot) = self.slots.get(&id) {
            let _ = SockRef::from(&self.connections[slot].stream).set_linger(Some(Duration::ZERO));
            self.release(slot);
        }
    }

    /// Puts a connection into the closing state, or extends the deadline of that state after progress.
    pub(super) fn start_closing(&mut self, slot: usize) {
        let deadline = self.closing_deadline(slot);
        let connection = &mut self.connections[slot];
        connection.state = ConnectionState::Closing { deadline };
        let id = connection.id;
        self.set_connection_deadline(deadline, id);
    }

    /// Returns when a closing connection is ended if it makes no progress until then. Only so many raw connections are
    /// kept for slow peers as may linger, because descriptors are scarce.
    fn closing_deadline(&self, slot: usize) -> Micros {
        let now = self.now();
        let connection = &self.connections[slot];
        if !connection.raw {
            return now + CLOSE_TIMEOUT;
        }
        let is_closing =
            |connection: &Connection| matches!(connection.state, ConnectionState::Closing { .. });
        let closing = self.connections.iter().filter(|(_, other)| is_closing(other)).count();
        let deadline = now + RAW_CLOSE_TIMEOUT;
        if closing > self.max_lingering {
            return deadline;
        }
        deadline.max(connection.stalled_since + RAW_STALL_TIMEOUT)
    }

    /// Ends a connection whose output has been sent. If the peer is still sending, closing the socket would reset the
    /// connection, and the reset might overtake the output; an accepted raw connection therefore lingers first.
    pub(super) fn finish_output(&mut self, slot: usize) {
        let connection = &mut self.connections[slot];
        let lingers = connection.raw && !connection.id.is_outbound() && self.lingering < self.max_lingering;
        if !lingers || connection.stream.shutdown(Shutdown::Write).is_err() {
            return self.shut_down(slot);
        }
        let deadline = self.clock.now() + LINGER_TIMEOUT;
        connection.state = ConnectionState::Lingering { deadline, discardable: MAX_DISCARDED };
        let id = connection.id;
        self.lingering += 1;
        self.set_connection_deadline(deadline, id);
        self.update_interest(slot);
    }

    /// Discards input of a lingering connection, and shuts the connection down once its peer has closed it too or the
    /// peer has sent too much.
    pub(super) fn discard_input(&mut self, slot: usize) {
        for _ in 0..DISCARDED_CHUNKS {
            let connection = &mut self.connections[slot];
            let ConnectionState::Lingering { deadline, discardable } = connection.state else { return };
            match connection.discard_input(&mut self.read_buffer) {
                Some(0) => return,
                Some(length) if length < discardable => {
                    let discardable = discardable - length;
                    connection.state = ConnectionState::Lingering { deadline, discardable };
                }
                _ => return self.shut_down(slot),
            }
        }
    }

    /// Ends a connection for a reason other than the handler's request, and notifies the handler.
    pub(super) fn disconnect(&mut self, slot: usize, reason: DisconnectReason, detail: &str) {
        let connection = &self.connections[slot];
        let id = connection.id;
        if matches!(connection.state, ConnectionState::Connecting { .. } | ConnectionState::Open) {
            tracing::debug!(connection = id.0, detail, "connection lost");
            counter!("tideroute_connections_closed_total", "by" => "peer").increment(1);
            match reason {
                DisconnectReason::Reset => self.record_closed(slot),
                DisconnectReason::ConnectFailed | DisconnectReason::LocalFailure => {
                    self.record(id, CaptureEvent::ConnectFailed, &Bytes::new())
                }
            }
            self.notifications.push_back(Notification::Disconnected(id, reason));
        }
        self.shut_down(slot);
    }

    /// Shuts a connection down at once in both directions.
    fn shut_down(&mut self, slot: usize) {
        if self.connections[slot].state != ConnectionState::Closed {
            self.release(slot);
            let _ = self.connections[slot].stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops watching a connection; its socket is closed at the end of the iteration.
    fn release(&mut self, slot: usize) {
        let connection = &mut self.connections[slot];
        if connection.state == ConnectionState::Closed {
            return;
        }
        if matches!(connection.state, ConnectionState::Lingering { .. }) {
            self.lingering -= 1;
        }
        connection.state = ConnectionState::Closed;
        let _ = self.poller.delete(&connection.stream);
        let unsent = connection.buffered();
        connection.discard_output();
        self.account_output(slot, unsent);
        self.closed.push(slot);
    }

    /// Ends a connection whose state has reached its deadline. Does nothing if the deadline was extended since the
    /// timer was set.
    pub(super) fn check_connection_deadline(&mut self, id: ConnectionId) {
        let Some(&slot) = self.slots.get(&id) else { return };
        match self.connections[slot].state {
            ConnectionState::Connecting { deadline } if deadline <= self.now() => {
                self.disconnect(slot, DisconnectReason::ConnectFailed, "connecting timed out");
            }
            ConnectionState::Closing { deadline } | ConnectionState::Lingering { deadline, .. }
                if deadline <= self.now() =>
            {
                self.shut_down(slot);
            }
            _ => {}
        }
    }

    /// Resets all connections, to simulate a crash.
    pub(super) fn reset_all(&mut self) {
        for connection in self.connections.drain() {
            let _ = self.poller.delete(&connection.stream);
            let socket: Socket = connection.stream.into();
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}
