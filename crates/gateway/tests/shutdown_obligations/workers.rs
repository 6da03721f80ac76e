//! Behaviour of workers in a generated simulation.

use super::*;

impl Simulation {
    /// Handles a call that has arrived at its worker.
    pub(super) fn call_received(&mut self, connection: ConnectionId, worker: usize, text: &str) {
        let value_after = |prefix: &str| {
            text.split(prefix).nth(1).and_then(|rest| rest.split(['\r', ' ']).next()).unwrap_or("")
        };
        if text.starts_with("GET ") {
            return self.schedule(1, Event::Response(connection, response(200, "", "")));
        }
        if text.starts_with("DELETE ") {
            let request = self.requests.entry(value_after("/internal/reservations/").into()).or_default();
            (request.has_state, request.is_reserved) =
                (request.has_state && !request.decodes.is_empty(), false);
            return self.schedule(1, Event::Response(connection, "HTTP/1.1 204 No Content\r\n\r\n".into()));
        }
        if text.starts_with("POST /internal") {
            let trace_id = value_after("/internal/reservations/").to_string();
            let knows_prefill =
                self.requests.get(&trace_id).is_some_and(|request| !request.prefills.is_empty());
            let duration_ms = if knows_prefill { self.random_range(1, 60) } else { 300 };
            return self
                .schedule(duration_ms, Event::ReservationAnswered(connection, trace_id, knows_prefill));
        }
        let (trace_id, roll) = (value_after("x-trace-id: ").to_string(), self.random_range(0, 100) as u8);
        let request = self.requests.entry(trace_id.clone()).or_default();
        if WORKERS[worker].kind == "reading" {
            request.prefills.insert(connection);
            let duration_ms = self.random_range(2, 120);
            self.schedule(duration_ms, Event::PrefillEnds(connection, trace_id, roll));
        } else {
            request.decodes.insert(connection);
            request.is_reserved = false;
            let duration_ms = if roll < 40 { self.random_range(1, 900) } else { self.random_range(1, 30) };
            self.schedule(duration_ms, Event::DecodeEnds(connection, trace_id, roll));
        }
    }

    /// Ends an attempt at its worker.
    pub(super) fn attempt_ended(&mut self, connection: ConnectionId, trace_id: &str) {
        let now = self.harness.now;
        let request = self.requests.entry(trace_id.to_string()).or_default();
        request.prefills.remove(&connection);
        request.decodes.remove(&connection);
        request.timeout_start = now;
    }

    pub(super) fn prefill_ends(&mut self, connection: ConnectionId, trace_id: String, roll: u8) {
        let is_in_flight =
            self.requests.get(&trace_id).is_some_and(|request| request.prefills.contains(&connection));
        if !is_in_flight || !self.passes(connection) {
            return;
        }
        self.attempt_ended(connection, &trace_id);
        let request = self.requests.entry(trace_id).or_default();
        request.has_state |= roll < 90;
        match roll {
            0..85 => self.deliver(connection, PREFILL_COMPLETE),
            // The prefill completes just as its connection breaks.
            85..90 => self.break_connection(connection),
            90..95 => self.deliver(connection, NEVER_RAN),
            _ => self.deliver(connection, &response(500, "", "")),
        }
    }

    pub(super) fn decode_ends(&mut self, connection: ConnectionId, trace_id: String, roll: u8) {
        let passes = self.passes(connection);
        let request = self.requests.entry(trace_id.clone()).or_default();
        if !request.decodes.contains(&connection) || !passes {
            return;
        }
        if !request.has_state {
            self.attempt_ended(connection, &trace_id);
            return self.deliver(connection, &NEVER_RAN.replace("503", "410"));
        }
        match roll {
            0..12 => {
                self.attempt_ended(connection, &trace_id);
                self.deliver(connection, NEVER_RAN);
            }
            12..18 => {
                self.attempt_ended(connection, &trace_id);
                self.break_connection(connection);
            }
            _ => {
                request.has_state = false;
                request.is_reserved = false;
                request.has_response = true;
                self.deliver(connection, &format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
                let duration_ms = self.random_range(1, 300);
                let remainder = format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2]));
                self.schedule(duration_ms, Event::Response(connection, remainder));
            }
        }
    }

    pub(super) fn answer_reservation(
        &mut self,
        connection: ConnectionId,
        trace_id: String,
        knows_prefill: bool,
    ) {
        let now = self.harness.now;
        if !self.passes(connection) || self.harness.ended.contains_key(&connection) && knows_prefill {
            return;
        }
        let is_granted = self.random_bool(0.5);
        let request = self.requests.entry(trace_id).or_default();
        if is_granted && (request.decodes.is_empty() || !knows_prefill) && !request.has_response {
            request.is_reserved = true;
            request.timeout_start = now;
        }
        let text = match (knows_prefill, is_granted) {
            (false, _) => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
            (true, true) => response(200, "", ""),
            (true, false) => response(409, "", ""),
        };
        self.deliver(connection, &text);
    }

    /// Makes a machine reachable again; its open connections are reset.
    pub(super) fn worker_returns(&mut self, worker: usize) {
        let now = self.harness.now;
        self.unreachable.remove(&worker);
        let connections: Vec<_> = self
            .connections
            .keys()
            .filter(|connection| self.worker(**connection) == Some(worker))
            .copied()
            .collect();
        for connection in connections {
            self.requests.values_mut().for_each(|request| {
                let has_ended = request.prefills.remove(&connection) | request.decodes.remove(&connection);
                request.timeout_start = if has_ended { now } else { request.timeout_start };
            });
            self.break_connection(connection);
        }
    }
}
