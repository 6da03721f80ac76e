//! What workers do in a generated world.

use super::*;

impl World {
    /// A call arrives at its worker.
    pub(super) fn arrives(&mut self, connection: ConnectionId, worker: usize, text: &str) {
        let after =
            |head: &str| text.split(head).nth(1).and_then(|t| t.split(['\r', ' ']).next()).unwrap_or("");
        if text.starts_with("GET ") {
            return self.schedule(1, Event::Response(connection, response(200, "", "")));
        }
        if text.starts_with("DELETE ") {
            let request = self.requests.entry(after("/internal/reservations/").into()).or_default();
            (request.has_state, request.is_reserved) =
                (request.has_state && !request.decodes.is_empty(), false);
            return self.schedule(1, Event::Response(connection, "HTTP/1.1 204 No Content\r\n\r\n".into()));
        }
        if text.starts_with("POST /internal") {
            let trace = after("/internal/reservations/").to_string();
            let knows = self.requests.get(&trace).is_some_and(|request| !request.prefills.is_empty());
            let takes = if knows { self.random_range(1, 60) } else { 300 };
            return self.schedule(takes, Event::ReservationAnswered(connection, trace, knows));
        }
        let (trace, roll) = (after("x-trace-id: ").to_string(), self.random_range(0, 100) as u8);
        let request = self.requests.entry(trace.clone()).or_default();
        if WORKERS[worker].kind == "reading" {
            request.prefills.insert(connection);
            let takes = self.random_range(2, 120);
            self.schedule(takes, Event::PrefillEnds(connection, trace, roll));
        } else {
            request.decodes.insert(connection);
            request.is_reserved = false;
            let takes = if roll < 40 { self.random_range(1, 900) } else { self.random_range(1, 30) };
            self.schedule(takes, Event::DecodeEnds(connection, trace, roll));
        }
    }

    /// An attempt has ended at its worker.
    pub(super) fn attempt_ended(&mut self, connection: ConnectionId, trace: &str) {
        let now = self.harness.now;
        let request = self.requests.entry(trace.to_string()).or_default();
        request.prefills.remove(&connection);
        request.decodes.remove(&connection);
        request.since = now;
    }

    pub(super) fn prefill_ends(&mut self, connection: ConnectionId, trace: String, roll: u8) {
        let is_in_flight =
            self.requests.get(&trace).is_some_and(|request| request.prefills.contains(&connection));
        if !is_in_flight || !self.passes(connection) {
            return;
        }
        self.attempt_ended(connection, &trace);
        let request = self.requests.entry(trace).or_default();
        request.has_state |= roll < 90;
        match roll {
            0..85 => self.deliver(connection, PREFILL_COMPLETE),
            // It completes just as its connection breaks.
            85..90 => self.break_connection(connection),
            90..95 => self.deliver(connection, NEVER_RAN),
            _ => self.deliver(connection, &response(500, "", "")),
        }
    }

    pub(super) fn decode_ends(&mut self, connection: ConnectionId, trace: String, roll: u8) {
        let passes = self.passes(connection);
        let request = self.requests.entry(trace.clone()).or_default();
        if !request.decodes.contains(&connection) || !passes {
            return;
        }
        if !request.has_state {
            self.attempt_ended(connection, &trace);
            return self.deliver(connection, &NEVER_RAN.replace("503", "410"));
        }
        match roll {
            0..12 => {
                self.attempt_ended(connection, &trace);
                self.deliver(connection, NEVER_RAN);
            }
            12..18 => {
                self.attempt_ended(connection, &trace);
                self.break_connection(connection);
            }
            _ => {
                request.has_state = false;
                request.is_reserved = false;
                request.has_response = true;
                self.deliver(connection, &format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
                let takes = self.random_range(1, 300);
                let rest = format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2]));
                self.schedule(takes, Event::Response(connection, rest));
            }
        }
    }

    pub(super) fn answer_reservation(
        &mut self,
        connection: ConnectionId,
        trace: String,
        knows_prefill: bool,
    ) {
        let now = self.harness.now;
        if !self.passes(connection) || self.harness.ended.contains_key(&connection) && knows_prefill {
            return;
        }
        let held = self.random_bool(0.5);
        let request = self.requests.entry(trace).or_default();
        if held && (request.decodes.is_empty() || !knows_prefill) && !request.has_response {
            request.is_reserved = true;
            request.since = now;
        }
        let text = match (knows_prefill, held) {
            (false, _) => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
            (true, true) => response(200, "", ""),
            (true, false) => response(409, "", ""),
        };
        self.deliver(connection, &text);
    }

    /// A machine is back: what was open there is reset.
    pub(super) fn worker_returns(&mut self, worker: usize) {
        let now = self.harness.now;
        self.unreachable.remove(&worker);
        let there: Vec<_> =
            self.connections.keys().filter(|l| self.worker(**l) == Some(worker)).copied().collect();
        for connection in there {
            self.requests.values_mut().for_each(|request| {
                let has_ended = request.prefills.remove(&connection) | request.decodes.remove(&connection);
                request.since = if has_ended { now } else { request.since };
            });
            self.break_connection(connection);
        }
    }
}
