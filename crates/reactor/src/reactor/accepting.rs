//! Accepting connections, and what is done where that fails.

use std::io;
use std::net::TcpStream;

use polling::Event;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, Effects, EventHandler};
use tideroute_wire::Micros;

use super::Reactor;
use crate::connection::{Connection, ConnectionState};
use crate::timer_key::TimerKey;

/// Connections accepted at a listener in one iteration, so that a flood of them leaves time for those that are there.
const MAX_ACCEPTS: usize = 64;
/// Attempts to accept the last connections where that fails, before the process ends all the same: a second in all.
const MAX_LAST_ATTEMPTS: u32 = 20;
/// Microseconds until a listener is polled again at which a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Micros = 50_000;

/// How the connections that wait at a listener were accepted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AcceptOutcome {
    /// None waits now.
    NoneWaiting,
    /// More may wait, for a later iteration.
    MoreWaiting,
    /// This machine can't accept any now; the listener is polled again after a pause.
    Paused,
}

/// The connections that waited at the listeners of a handler that has finished.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum LastConnections {
    None,
    Accepted,
    /// None can be accepted now; a timer is set for the next attempt.
    Unknown,
}

/// Why no connection was accepted.
enum AcceptFailure {
    NoneWaiting,
    /// The connection that waited first has ended, or the call was interrupted: the next one may be sound.
    ConnectionEnded,
    /// This machine lacks a resource, or the cause is not known.
    LocalFailure,
}

impl AcceptFailure {
    /// By accept(2): errors of the connection itself, and of its network, are reported by the call that accepts it.
    fn classify(error: &io::Error) -> AcceptFailure {
        if error.kind() == io::ErrorKind::WouldBlock {
            return AcceptFailure::NoneWaiting;
        }
        match error.raw_os_error() {
            Some(
                libc::EINTR
                | libc::ECONNABORTED
                | libc::ECONNRESET
                | libc::EPERM
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::EOPNOTSUPP
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::EHOSTDOWN
                | libc::EHOSTUNREACH
                | libc::ENONET
                | libc::ETIMEDOUT,
            ) => AcceptFailure::ConnectionEnded,
            _ => AcceptFailure::LocalFailure,
        }
    }
}

impl Reactor {
    /// Accepts the connections that wait at a listener, up to [`MAX_ACCEPTS`].
    pub(super) fn accept(
        &mut self,
        index: usize,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) -> AcceptOutcome {
        let mut ended = 0;
        for _ in 0..MAX_ACCEPTS {
            let Some(socket) = self.listeners.get(index).and_then(|listener| listener.socket.as_ref()) else {
                return AcceptOutcome::NoneWaiting;
            };
            match socket.accept() {
                Ok((stream, _)) => self.add_accepted(index, stream, handler, effects),
                Err(error) => match AcceptFailure::classify(&error) {
                    AcceptFailure::NoneWaiting => return AcceptOutcome::NoneWaiting,
                    AcceptFailure::ConnectionEnded => {
                        tracing::debug!(%error, "a connection ended before it was accepted");
                        ended += 1;
                    }
                    AcceptFailure::LocalFailure => {
                        tracing::warn!(%error, "a connection could not be accepted");
                        return self.pause_accepting(index);
                    }
                },
            }
        }
        // Guards against calls that fail over and over with nothing accepted.
        if ended == MAX_ACCEPTS {
            return self.pause_accepting(index);
        }
        AcceptOutcome::MoreWaiting
    }

    fn add_accepted(
        &mut self,
        listener: usize,
        stream: TcpStream,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) {
        if let Err(error) = stream.set_nonblocking(true) {
            tracing::warn!(%error, "an accepted connection could not be made non-blocking");
            return;
        }
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "TCP_NODELAY not set, small writes may be delayed");
        }
        let id = ConnectionId(self.accepted);
        self.accepted += 1;
        let now = self.clock.now();
        let ends = [stream.peer_addr().ok(), stream.local_addr().ok()];
        if let Some(capture) = &mut self.capture {
            capture.record_with_addresses(now, id, CaptureEvent::Accepted, ends);
        }
        let mut connection = Connection::new(id, stream, ConnectionState::Open);
        connection.raw = self.raw;
        self.insert(connection, Event::readable(0));
        handler.on_accepted(now, id, listener, effects);
        self.execute(effects);
    }

    /// Guards against a listener that is ready over and over while no connection can be accepted there.
    fn pause_accepting(&mut self, index: usize) -> AcceptOutcome {
        self.watch_listener(index, false);
        self.set_retry_timer(ACCEPT_RETRY_DELAY, TimerKey::ResumeAccepting(index));
        AcceptOutcome::Paused
    }

    /// Accepts the connections that still wait once the handler has finished: the kernel would reset them as the
    /// process ends.
    pub(super) fn accept_last_connections(
        &mut self,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) -> LastConnections {
        if !self.drain_on_shutdown {
            return LastConnections::None;
        }
        let accepted_before = self.accepted;
        for index in 0..self.listeners.len() {
            let mut outcome = self.accept(index, handler, effects);
            if outcome == AcceptOutcome::NoneWaiting {
                // No connection is made between the last attempt and the end.
                self.listeners[index].block_new_connections();
                outcome = self.accept(index, handler, effects);
            }
            match outcome {
                AcceptOutcome::NoneWaiting => {}
                AcceptOutcome::MoreWaiting => return LastConnections::Accepted,
                AcceptOutcome::Paused if self.last_accept_attempts < MAX_LAST_ATTEMPTS => {
                    self.last_accept_attempts += 1;
                    return LastConnections::Unknown;
                }
                AcceptOutcome::Paused => {}
            }
        }
        if self.accepted > accepted_before {
            LastConnections::Accepted
        } else {
            LastConnections::None
        }
    }
}
