//! Graceful shutdown: open requests are finished, new ones are admitted for a short time still, and idle connections
//! are closed.

use tideroute_wire::event_loop::Effects;
use tideroute_wire::Micros;

use crate::state::GatewayState;
use crate::timers::TimerKey;

/// Microseconds after a signal to shut down in which new requests are still admitted. New connections come for 0.4 s
/// more, and what is admitted over 0.7 s after the signal must be over before the process is killed, also by a router
/// that was delayed by 0.15 s as this time ended.
const GRACE_PERIOD: Micros = 500_000;
/// Microseconds in which the first request of a new connection arrives: clients connect in order to send one, and what
/// is on its way as the router is told to shut down would find its connection closed.
const FIRST_REQUEST_TIMEOUT: Micros = 200_000;

impl GatewayState {
    /// The router is told to shut down.
    pub fn begin_shutdown(&mut self, now: Micros, effects: &mut Effects) {
        tracing::info!(open = self.lifecycle.requests.len(), "shuts down: open requests are finished");
        self.is_shutting_down = true;
        self.close_idle_clients(now, effects);
        self.workers.begin_shutdown(now, effects);
        TimerKey::ShutdownGrace.set(now + GRACE_PERIOD, effects);
    }

    /// A client that has only just connected has some time left for its first request.
    fn close_idle_clients(&mut self, now: Micros, effects: &mut Effects) {
        for idle in self.clients.idle() {
            let first_request_by = idle.idle_since + FIRST_REQUEST_TIMEOUT;
            if idle.has_sent_request || now >= first_request_by {
                self.clients.remove(idle.connection);
                effects.close(idle.connection, "the router ends");
            } else if let Some(client) = self.clients.get_mut(idle.connection) {
                client.timeout.set(first_request_by, TimerKey::Client(idle.connection), effects);
            }
        }
    }

    /// No new request is admitted from now on.
    pub fn end_shutdown_grace(&mut self) {
        self.is_grace_over = true;
        self.lifecycle.shut_down();
    }

    /// Whether everything is finished, and nothing is reserved at any worker.
    pub fn is_finished(&self) -> bool {
        self.is_grace_over
            && self.clients.is_empty()
            && self.reserved_state.is_empty()
            && self.lifecycle.requests.is_empty()
    }
}
