//! Graceful shutdown: open requests are finished, new ones are still admitted for a short time, and idle connections
//! are closed.

use tideroute_wire::event_loop::Effects;
use tideroute_wire::Micros;

use crate::state::GatewayState;
use crate::timers::TimerKey;

/// Microseconds after a signal to shut down in which new requests are still admitted. New connections arrive for 0.4 s
/// after the signal. Requests admitted more than 0.7 s after the signal must end before the process is killed, even if
/// the router was delayed by 0.15 s at the end of this period.
const GRACE_PERIOD: Micros = 500_000;
/// Microseconds in which the first request of a new connection arrives. Clients connect in order to send a request, and
/// a request in transit when the shutdown starts must not find its connection closed.
const FIRST_REQUEST_TIMEOUT: Micros = 200_000;

impl GatewayState {
    /// Starts the graceful shutdown.
    pub fn begin_shutdown(&mut self, now: Micros, effects: &mut Effects) {
        tracing::info!(open = self.lifecycle.requests.len(), "shutdown started; finishing open requests");
        self.is_shutting_down = true;
        self.close_idle_clients(now, effects);
        self.workers.begin_shutdown(now, effects);
        TimerKey::ShutdownGrace.set(now + GRACE_PERIOD, effects);
    }

    /// Closes idle client connections, except new ones, which keep [`FIRST_REQUEST_TIMEOUT`] for their first request.
    fn close_idle_clients(&mut self, now: Micros, effects: &mut Effects) {
        for idle in self.clients.idle() {
            let first_request_by = idle.idle_since + FIRST_REQUEST_TIMEOUT;
            if idle.has_sent_request || now >= first_request_by {
                self.clients.remove(idle.connection);
                effects.close(idle.connection, "idle; the router is shutting down");
            } else if let Some(client) = self.clients.get_mut(idle.connection) {
                client.timeout.set(first_request_by, TimerKey::Client(idle.connection), effects);
            }
        }
    }

    /// Stops admitting new requests.
    pub fn end_shutdown_grace(&mut self) {
        self.is_grace_over = true;
        self.lifecycle.shut_down();
    }

    /// Returns whether the shutdown is complete: no client, no open request, and nothing held at any worker.
    pub fn is_finished(&self) -> bool {
        self.is_grace_over
            && self.clients.is_empty()
            && self.reserved_state.is_empty()
            && self.lifecycle.requests.is_empty()
    }
}
