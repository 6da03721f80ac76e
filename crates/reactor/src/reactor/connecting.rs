//! Opens outbound connections.

use std::io;

use bytes::Bytes;
use polling::Event;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::{Address, Micros};

use super::polling_sources::add;
use super::{Notification, Reactor};
use crate::connection::{Connection, ConnectionState};
use crate::poll_key::PollKey;

impl Reactor {
    /// Starts connecting; the handler is notified of the result.
    pub(super) fn connect(&mut self, id: ConnectionId, to: Address, timeout: Micros) {
        let deadline = self.now() + timeout;
        self.record(id, CaptureEvent::Connecting, &Bytes::copy_from_slice(&to));
        let to = self.address_overrides.get(&to).copied().unwrap_or(to);
        match Connection::connect(id, to, deadline) {
            Ok(mut connection) => {
                if self.raw {
                    connection.set_raw();
                }
                self.insert(connection, Event::writable(0));
                self.set_connection_deadline(deadline, id);
            }
            Err(error) => {
                let reason = connect_failure_reason(&error);
                tracing::debug!(connection = id.0, %error, ?reason, "connecting failed at once");
                self.record(id, CaptureEvent::ConnectFailed, &Bytes::new());
                self.notifications.push_back(Notification::Disconnected(id, reason));
            }
        }
    }

    /// Adds a connection and registers it with the poller for `interest`, whose key is replaced by that of the
    /// connection's slot.
    pub(super) fn insert(&mut self, connection: Connection, mut interest: Event) {
        let id = connection.id;
        let slot = self.connections.insert(connection);
        interest.key = PollKey::Connection(slot).encode();
        let watched = &mut self.connections[slot].watched;
        watched.readable = interest.readable;
        watched.writable = interest.writable;
        if let Err(error) = add(&self.poller, &self.connections[slot].stream, interest) {
            tracing::error!(%error, "registering a connection with the poller failed; dropping the connection");
            self.connections.remove(slot);
            let reason = DisconnectReason::ConnectFailed;
            self.notifications.push_back(Notification::Disconnected(id, reason));
            return;
        }
        self.slots.insert(id, slot);
    }

    /// Completes a connection attempt, successful or failed, once its socket is writable.
    pub(super) fn finish_connecting(&mut self, slot: usize) {
        if !self.connections[slot].is_established() {
            return self.disconnect(slot, DisconnectReason::ConnectFailed, "connecting failed");
        }
        let now = self.clock.now();
        let connection = &mut self.connections[slot];
        connection.state = ConnectionState::Open;
        let id = connection.id;
        let ends = [connection.stream.peer_addr().ok(), connection.stream.local_addr().ok()];
        if let Some(capture) = &mut self.capture {
            capture.record_with_addresses(now, id, CaptureEvent::Connected, ends);
        }
        self.notifications.push_back(Notification::Connected(id));
        self.to_flush.push(slot);
        self.update_interest(slot);
    }
}

/// Returns the reason for a connection attempt that failed at once: a cause on this machine, such as a lack of file
/// descriptors or ports, or else a failure at the peer.
fn connect_failure_reason(error: &io::Error) -> DisconnectReason {
    match error.raw_os_error() {
        Some(
            libc::EMFILE
            | libc::ENFILE
            | libc::ENOBUFS
            | libc::ENOMEM
            | libc::EADDRNOTAVAIL
            | libc::EADDRINUSE
            | libc::EAGAIN
            | libc::EACCES
            | libc::EPERM,
        ) => DisconnectReason::LocalFailure,
        _ => DisconnectReason::ConnectFailed,
    }
}
