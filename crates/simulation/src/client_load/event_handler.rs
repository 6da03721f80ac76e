//! Handles the events of a load: connections, messages, timers and shutdown.

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::Micros;

use super::*;

impl EventHandler for Load {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.load_started_at = now;
        (0..self.clients.len()).for_each(|client_index| {
            self.connection(client_index, effects);
        });
        self.send_due_requests(now, effects);
    }

    fn on_accepted(
        &mut self,
        _now: Micros,
        connection: ConnectionId,
        _listener: usize,
        effects: &mut Effects,
    ) {
        effects.close(connection, "client load accepts no connections");
    }

    fn on_connected(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        let Some(&client_index) = self.by_connection.get(&connection) else { return };
        if let Err(problem) = self.on_router_message(now, client_index, frame, effects) {
            tracing::error!(%problem, "router violated the protocol; closing the connection");
            effects.close(connection, problem.to_string());
            self.on_disconnect(now, connection, DisconnectReason::Reset, effects);
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        reason: DisconnectReason,
        effects: &mut Effects,
    ) {
        let Some(client_index) = self.by_connection.remove(&connection) else { return };
        let client = &mut self.clients[client_index];
        client.connection = None;
        // The client tries the next router, as if a load balancer in front of the routers had chosen it.
        client.router = (client.router + 1) % self.routers.len();
        let mut lost: Vec<usize> = client.in_flight.drain().map(|(_, request_index)| request_index).collect();
        lost.sort_unstable();
        for request_index in lost {
            let is_safe_to_retry = reason != DisconnectReason::Reset;
            self.retry_or_end(now, request_index, is_safe_to_retry, FAILOVER_DELAY, effects, |statistics| {
                &mut statistics.disconnected
            });
        }
        effects.set_timer(now + FAILOVER_DELAY, timer_key(RECONNECT, client_index));
    }

    fn on_backpressure(
        &mut self,
        _now: Micros,
        _connection: ConnectionId,
        _congested: bool,
        _effects: &mut Effects,
    ) {
    }

    fn on_timer(&mut self, now: Micros, timer: u64, effects: &mut Effects) {
        let (kind, index) = (timer >> TIMER_KIND_SHIFT, (timer & ((1 << TIMER_KIND_SHIFT) - 1)) as usize);
        match kind {
            NEXT_REQUEST => self.send_due_requests(now, effects),
            RETRY => self.send_attempt(now, index, effects),
            GIVE_UP => {
                // A response that has begun may continue after the deadline; a request without one counts as unanswered.
                let is_unanswered = |request: &RequestProgress| {
                    !request.finished
                        && request.in_flight.is_some()
                        && request.tokens == 0
                        && now >= request.deadline + RESPONSE_GRACE
                };
                if let Some(request) = self.requests.get(&index).filter(|request| is_unanswered(request)) {
                    tracing::error!(
                        request_index = index,
                        began = request.started_at,
                        "request was not answered in time"
                    );
                    if let Some((client_index, number)) = request.in_flight {
                        self.clients[client_index].in_flight.remove(&number);
                    }
                    self.finish(index, |statistics| &mut statistics.unanswered);
                }
            }
            PAUSE_READING | RESUME_READING => {
                let Some(connection) = self.clients[index].connection else { return };
                effects.pause_reading(connection, kind == PAUSE_READING);
                let (delay, next_kind) = if kind == PAUSE_READING {
                    (SLOW_READER_PAUSE, RESUME_READING)
                } else {
                    (SLOW_READER_READ_TIME, PAUSE_READING)
                };
                effects.set_timer(now + delay, timer_key(next_kind, index));
            }
            _ => {
                if !self.stopped {
                    self.connection(index, effects);
                }
            }
        }
    }

    fn on_iteration(&mut self, now: Micros, effects: &mut Effects) {
        // Finished requests at the front are removed.
        while self.requests.first_key_value().is_some_and(|(_, request)| request.finished) {
            self.requests.pop_first();
        }
        if self.next_request == self.planned.len() && self.requests.is_empty() && !self.stopped {
            self.on_shutdown(now, effects);
        }
    }

    fn on_shutdown(&mut self, _now: Micros, effects: &mut Effects) {
        self.stopped = true;
        self.next_request = self.planned.len();
        let mut connections: Vec<_> = std::mem::take(&mut self.by_connection).into_keys().collect();
        connections.sort_unstable();
        connections.into_iter().for_each(|connection| effects.close(connection, "client load finished"));
    }

    fn is_finished(&self) -> bool {
        self.stopped
    }
}
