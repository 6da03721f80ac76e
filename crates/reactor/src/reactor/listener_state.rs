//! Changes the state of listeners at the handler's request.

use tideroute_wire::event_loop::ListenerState;

use super::polling_sources::{add, readable};
use super::Reactor;
use crate::poll_key::PollKey;

impl Reactor {
    /// Changes the state of a listener; a failure is logged.
    pub(super) fn set_listener_state(&mut self, index: usize, state: ListenerState) {
        let Some(listener) = self.listeners.get_mut(index) else { return };
        let was_open = listener.is_open();
        if state != ListenerState::Open {
            if let Some(socket) = listener.open_socket() {
                let _ = self.poller.delete(socket);
            }
        }
        if let Err(error) = listener.set_state(state) {
            tracing::error!(%error, address = %listener.address(), ?state, "setting the state of a listener failed");
        }
        if was_open {
            return;
        }
        if let Some(socket) = listener.open_socket() {
            if let Err(error) = add(&self.poller, socket, readable(PollKey::Listener(index))) {
                tracing::error!(%error, "registering a listener with the poller failed");
            }
        }
    }
}
