//! Accepts connections, and pauses a listener at which accepting fails.

use std::io;
use std::net::TcpStream;

use polling::Event;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, Effects, EventHandler};
use tideroute_wire::Micros;

use super::Reactor;
use crate::connection::{Connection, ConnectionState};
use crate::timer_key::TimerKey;

/// Maximum number of connections accepted at a listener in one iteration, so that a flood of new connections does not
/// starve the established ones.
const MAX_ACCEPTS: usize = 64;
/// Maximum number of failed attempts to accept the last connections before the process ends without them; with
/// [`ACCEPT_RETRY_DELAY`] between attempts they take a second in all.
const MAX_LAST_ATTEMPTS: u32 = 20;
/// Microseconds for which a listener is not polled after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Micros = 50_000;

/// Result of accepting the connections that wait at a listener.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AcceptOutcome {
    /// No further connection waits.
    NoneWaiting,
    /// More connections may wait; they are accepted in a later iteration.
    MoreWaiting,
    /// Accepting failed on this machine; the listener is polled again after a pause.
    Paused,
}

/// Whether connections still waited at the listeners once the handler had finished.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum LastConnections {
    None,
    Accepted,
    /// Accepting failed, so connections may still wait; a timer is set for the next attempt.
    Unknown,
}

/// Why no connection was accepted.
enum AcceptFailure {
    NoneWaiting,
    /// The first waiting connection has ended, or the call was interrupted; the next call may succeed.
    ConnectionEnded,
    /// This machine lacks a resource, such as file descriptors, or the cause is unknown.
    LocalFailure,
}

impl AcceptFailure {
    /// Classifies an error of accept(2), which also returns the network errors of the connection that it would have
    /// accepted.
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
                        tracing::debug!(%error, "connection ended before it was accepted");
                        ended += 1;
                    }
                    AcceptFailure::LocalFailure => {
                        tracing::warn!(%error, "accepting a connection failed; pausing the listener");
                        return self.pause_accepting(index);
                    }
                },
            }
        }
        // Without a pause, calls that keep failing without accepting a connection would take up every iteration.
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
            tracing::warn!(%error, "setting an accepted connection to non-blocking mode failed; closing it");
            return;
        }
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "setting TCP_NODELAY failed; continuing with small writes possibly delayed");
        }
        let id = ConnectionId(self.accepted);
        self.accepted += 1;
        let now = self.clock.now();
        let ends = [stream.peer_addr().ok(), stream.local_addr().ok()];
        if let Some(capture) = &mut self.capture {
            capture.record_with_addresses(now, id, CaptureEvent::Accepted, ends);
        }
        let mut connection = Connection::new(id, stream, ConnectionState::Open);
        if self.raw {
            connection.set_raw();
        }
        self.insert(connection, Event::readable(0));
        handler.on_accepted(now, id, listener, effects);
        self.execute(effects);
    }

    /// Stops polling a listener for [`ACCEPT_RETRY_DELAY`]. The poller would otherwise report it as ready in each
    /// iteration although no connection can be accepted.
    fn pause_accepting(&mut self, index: usize) -> AcceptOutcome {
        self.watch_listener(index, false);
        self.set_retry_timer(ACCEPT_RETRY_DELAY, TimerKey::ResumeAccepting(index));
        AcceptOutcome::Paused
    }

    /// Accepts the connections that still wait once the handler has finished, because the kernel would reset them when
    /// the process ends.
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
                // Ensures that no connection is established between the last attempt and the end of the process.
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
