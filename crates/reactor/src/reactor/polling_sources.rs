//! Registers sources with the poller and updates the events that it reports for them.

use std::io;
use std::os::fd::AsRawFd;

use polling::{Event, PollMode, Poller};

use super::Reactor;
use crate::connection::{ConnectionState, Interest};
use crate::poll_key::PollKey;

/// Returns an interest in input from a source.
pub(super) fn readable(key: PollKey) -> Event {
    Event::readable(key.encode())
}

/// Registers a source with the poller in level-triggered mode, so that it is reported until it is deleted and not just
/// once.
#[allow(unsafe_code)]
pub(super) fn add(poller: &Poller, source: &impl AsRawFd, interest: Event) -> io::Result<()> {
    // SAFETY: the poller requires that a source is deleted from it before the source is closed. The reactor owns both:
    // `release` and `shut_down_handler` delete a source before it is dropped, and `drop` deletes the remaining ones.
    unsafe { poller.add_with_mode(source.as_raw_fd(), interest, PollMode::Level) }
}

impl Reactor {
    /// Has the poller watch a connection for the events that matter in its state.
    pub(super) fn update_interest(&mut self, slot: usize) {
        let connection = &mut self.connections[slot];
        let wanted = match connection.state {
            ConnectionState::Connecting { .. } | ConnectionState::Closing { .. } => {
                Interest { readable: false, writable: true }
            }
            ConnectionState::Open => {
                Interest { readable: !connection.reading_paused, writable: connection.buffered() > 0 }
            }
            ConnectionState::Lingering { .. } => Interest { readable: true, writable: false },
            ConnectionState::Closed => return,
        };
        if std::mem::replace(&mut connection.watched, wanted) == wanted {
            return;
        }
        let key = PollKey::Connection(slot).encode();
        let interest = Event::new(key, wanted.readable, wanted.writable);
        if let Err(error) = self.poller.modify_with_mode(&connection.stream, interest, PollMode::Level) {
            tracing::error!(%error, "changing the polled events of a connection failed");
        }
    }

    /// Starts or stops polling an open listener; the listener stays registered with the poller.
    pub(super) fn watch_listener(&mut self, index: usize, watch: bool) {
        let Some(socket) = self.listeners.get(index).and_then(|listener| listener.open_socket()) else {
            return;
        };
        let interest = Event::new(PollKey::Listener(index).encode(), watch, false);
        if let Err(error) = self.poller.modify_with_mode(socket, interest, PollMode::Level) {
            tracing::error!(%error, "changing the polled events of a listener failed");
        }
    }
}
