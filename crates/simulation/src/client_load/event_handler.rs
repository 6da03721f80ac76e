//! The events of a load: connections, messages, timers and its end.

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::Micros;

use super::*;

impl EventHandler for Load {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.began = now;
        (0..self.clients.len()).for_each(|n| {
            self.connection(n, effects);
        });
        self.send_due_requests(now, effects);
    }

    fn on_accepted(&mut self, _now: Micros, connection: ConnectionId, _door: usize, effects: &mut Effects) {
        effects.close(connection, "a load listens to nobody");
    }

    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        let Some(&n) = self.by_connection.get(&connection) else { return };
        if let Err(problem) = self.on_router_message(now, n, frame, effects) {
            tracing::error!(%problem, "a router breaks the protocol");
            effects.close(connection, problem.to_string());
            self.on_disconnect(now, connection, DisconnectReason::Reset, effects);
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        loss: DisconnectReason,
        effects: &mut Effects,
    ) {
        let Some(n) = self.by_connection.remove(&connection) else { return };
        let client = &mut self.clients[n];
        client.connection = None;
        // As a load balancer before the routers would choose.
        client.router = (client.router + 1) % self.routers.len();
        let mut lost: Vec<usize> = client.in_flight.drain().map(|(_, request_index)| request_index).collect();
        lost.sort_unstable();
        for request_index in lost {
            let is_safe_to_retry = loss != DisconnectReason::Reset;
            self.retry_or_end(now, request_index, is_safe_to_retry, FAILOVER_DELAY, effects, |t| {
                &mut t.disconnected
            });
        }
        effects.set_timer(now + FAILOVER_DELAY, timer_key(RECONNECT, n));
    }

    fn on_backpressure(&mut self, _now: Micros, _link: ConnectionId, _crowded: bool, _out: &mut Effects) {}

    fn on_timer(&mut self, now: Micros, timer: u64, effects: &mut Effects) {
        let (kind, index) = (timer >> TIMER_KIND_SHIFT, (timer & ((1 << TIMER_KIND_SHIFT) - 1)) as usize);
        match kind {
            NEXT_REQUEST => self.send_due_requests(now, effects),
            RETRY => self.send_attempt(now, index, effects),
            GIVE_UP => {
                // A stream that has begun may go on; nothing else may still be in flight.
                let waits = |c: &RequestProgress| {
                    !c.finished
                        && c.in_flight.is_some()
                        && c.tokens == 0
                        && now >= c.deadline + RESPONSE_GRACE
                };
                if let Some(c) = self.requests.get(&index).filter(|c| waits(c)) {
                    tracing::error!(request_index = index, began = c.began, "no answer came in time");
                    if let Some((n, number)) = c.in_flight {
                        self.clients[n].in_flight.remove(&number);
                    }
                    self.finish(index, |t| &mut t.unanswered);
                }
            }
            PAUSE_READING | RESUME_READING => {
                let Some(connection) = self.clients[index].connection else { return };
                effects.pause_reading(connection, kind == PAUSE_READING);
                let (then, next) = if kind == PAUSE_READING {
                    (SLUGGISH_PAUSE, RESUME_READING)
                } else {
                    (SLUGGISH_READ, PAUSE_READING)
                };
                effects.set_timer(now + then, timer_key(next, index));
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
        while self.requests.first_key_value().is_some_and(|(_, c)| c.finished) {
            self.requests.pop_first();
        }
        if self.next == self.planned.len() && self.requests.is_empty() && !self.stopped {
            self.on_shutdown(now, effects);
        }
    }

    fn on_shutdown(&mut self, _now: Micros, effects: &mut Effects) {
        self.stopped = true;
        self.next = self.planned.len();
        let mut connections: Vec<_> = std::mem::take(&mut self.by_connection).into_keys().collect();
        connections.sort_unstable();
        connections.into_iter().for_each(|connection| effects.close(connection, "the load is over"));
    }

    fn is_finished(&self) -> bool {
        self.stopped
    }
}
