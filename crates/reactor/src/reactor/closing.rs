//! How connections end, by either side or by a timeout.

use std::net::Shutdown;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use socket2::{SockRef, Socket};
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Micros;

use super::{Notification, Reactor};
use crate::connection::ConnectionState;

/// Microseconds in which a closing connection has to make progress with its output.
const CLOSE_TIMEOUT: Micros = 500_000;
/// The same for a raw connection, whose peer may be slow.
const RAW_CLOSE_TIMEOUT: Micros = 2_000_000;
/// Bytes that may still arrive on a lingering connection: what the largest senders have under way.
const MAX_DISCARDED: usize = 96 << 20;
/// Chunks discarded in one iteration, so that a sender at full speed leaves time for others.
const DISCARDED_CHUNKS: usize = 8;
/// Microseconds that the peer of a lingering connection may take to stop sending.
const LINGER_TIMEOUT: Micros = 2_000_000;

impl Reactor {
    /// Ends a connection for the handler, once its output has been sent.
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

    /// Ends a connection for the handler at once; output that waits is never sent.
    pub(super) fn abort(&mut self, id: ConnectionId) {
        if let Some(&slot) = self.slots.get(&id) {
            self.shut_down(slot);
        }
    }

    /// Ends a connection for the handler at once, with a reset.
    pub(super) fn reset(&mut self, id: ConnectionId) {
        if let Some(&slot) = self.slots.get(&id) {
            let _ = SockRef::from(&self.connections[slot].stream).set_linger(Some(Duration::ZERO));
            self.release(slot);
        }
    }

    /// Enters the closing state, or extends its deadline after progress.
    pub(super) fn start_closing(&mut self, slot: usize) {
        let now = self.now();
        let connection = &mut self.connections[slot];
        let timeout = if connection.raw { RAW_CLOSE_TIMEOUT } else { CLOSE_TIMEOUT };
        let deadline = now + timeout;
        connection.state = ConnectionState::Closing { deadline };
        let id = connection.id;
        self.set_connection_deadline(deadline, id);
    }

    /// The output of a closing connection has been sent. If the peer still sends, closing the socket would reset the
    /// connection, and the reset might overtake the output: an accepted raw connection lingers instead.
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

    /// Discards what arrives on a lingering connection, until its peer has closed it too.
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

    /// Ends a connection that the handler did not end, and notifies the handler.
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

    /// Ends a connection at once, in both directions.
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
        self.closed.push(slot);
    }

    /// Ends a connection whose state has reached its deadline; a deadline that was extended is ignored.
    pub(super) fn check_connection_deadline(&mut self, id: ConnectionId) {
        let Some(&slot) = self.slots.get(&id) else { return };
        match self.connections[slot].state {
            ConnectionState::Connecting { deadline } if deadline <= self.now() => {
                self.disconnect(slot, DisconnectReason::ConnectFailed, "connect timed out");
            }
            ConnectionState::Closing { deadline } | ConnectionState::Lingering { deadline, .. }
                if deadline <= self.now() =>
            {
                self.shut_down(slot);
            }
            _ => {}
        }
    }

    /// Ends all connections with a reset, as a crash of the machine would.
    pub(super) fn reset_all(&mut self) {
        for connection in self.connections.drain() {
            let _ = self.poller.delete(&connection.stream);
            let socket: Socket = connection.stream.into();
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}
