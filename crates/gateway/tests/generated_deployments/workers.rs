//! Behaviour of the workers of a generated deployment.

use super::*;

impl Simulation {
    /// Ends the attempts on a connection at its worker. With a probability of 0.1, a prefill has completed in that
    /// moment.
    pub(super) fn connection_ends(&mut self, connection: Connection) {
        for ended in self.checker.attempts_ended(self.now, connection) {
            let prefills = !ended.is_decode
                || self.checker.needs_prefill(ended.request)
                    && self.deployment.prefills_locally(ended.worker);
            if prefills && self.random_bool(0.1) {
                self.checker.state_stored(self.now, ended.request, ended.worker);
            }
        }
    }

    /// Handles a call that has arrived at its worker.
    pub(super) fn call_received(&mut self, connection: Connection, text: String) {
        let Some(request) = attempt_of(&text) else {
            return self.schedule(1, Event::HandleCall(connection, text));
        };
        let Some(worker) = self.worker(connection) else { return };
        let decodes = self.deployment.workers[worker].role != Role::Prefill;
        self.checker.attempt_received(self.now, &self.deployment, request, worker, connection, decodes);
        if decodes {
            let duration_ms = log_uniform(&mut self.rng, 1.0, 1_200.0) as u64;
            self.schedule(duration_ms, Event::DecodeEnds(connection, request));
        } else {
            let duration_ms = log_uniform(&mut self.rng, 2.0, 1_500.0) as u64;
            self.schedule(duration_ms, Event::PrefillEnds(connection, request));
        }
    }

    /// Handles a call that is not an attempt: a health check, a release or a reservation.
    pub(super) fn handle_call(&mut self, connection: Connection, text: &str) {
        if text.starts_with("GET ") {
            return self.deliver(connection, &response(200, "", "TEXT outstanding=2, x1=0.5"));
        }
        let name = after(text, "/internal/reservations/t");
        let request: usize = name.parse().expect("a number");
        if text.starts_with("DELETE ") {
            self.checker.released(request);
            return self.deliver(connection, "HTTP/1.1 204 No Content\r\n\r\n");
        }
        let knows_prefill = self.checker.is_prefill_in_flight(request);
        let duration_ms = if knows_prefill { self.random_range(1, 60) } else { 300 };
        self.schedule(duration_ms, Event::ReservationAnswered(connection, request, knows_prefill));
    }

    pub(super) fn prefill_ends(&mut self, connection: Connection, request: usize) {
        let Some(worker) = self.worker(connection).filter(|_| self.checker.is_in_flight(request, connection))
        else {
            return;
        };
        if self.routers[connection.0].blackholed.contains(&connection.1) {
            return;
        }
        self.checker.attempts_ended(self.now, connection);
        let roll = self.random_range(0, 100);
        if roll < 92 {
            self.checker.state_stored(self.now, request, worker);
        }
        match roll {
            0..86 => self.deliver(connection, PREFILL_COMPLETE),
            // The prefill completes just as its connection breaks.
            86..92 => self.break_connection(connection),
            92..96 => self.deliver(connection, NEVER_RAN),
            _ => self.deliver(connection, &response(500, "", "")),
        }
    }

    pub(super) fn decode_ends(&mut self, connection: Connection, request: usize) {
        if !self.passes(connection) || !self.checker.is_in_flight(request, connection) {
            return;
        }
        let worker = self.worker(connection).expect("a worker");
        let roll = self.random_range(0, 100);
        if !self.checker.has_state(request) && !self.deployment.prefills_locally(worker) {
            return self.reject_as_never_ran(connection, request, &NEVER_RAN.replace("503", "410"));
        }
        match roll {
            0..12 => self.reject_as_never_ran(connection, request, NEVER_RAN),
            12..20 => {
                self.connection_ends(connection);
                self.break_connection(connection);
            }
            20..26 => {
                self.checker.attempts_ended(self.now, connection);
                self.deliver(connection, &response(500, "", ""));
            }
            26..30 => {
                self.checker.attempts_ended(self.now, connection);
                self.deliver(connection, "#!noise that is no answer\r\n\r\n");
            }
            _ => {
                self.checker.stream_started(request);
                self.deliver(connection, &format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
                let duration_ms = self.random_range(1, 300);
                self.schedule(duration_ms, Event::StreamEnds(connection));
            }
        }
    }

    fn reject_as_never_ran(&mut self, connection: Connection, request: usize, answer: &str) {
        self.checker.attempts_ended(self.now, connection);
        self.checker.attempt_never_ran(request, connection);
        self.deliver(connection, answer);
    }

    pub(super) fn answer_reservation(&mut self, connection: Connection, request: usize, knows_prefill: bool) {
        let worker = self.worker(connection).unwrap_or(0);
        let is_granted = self.checker.has_reservation(request, worker) || self.random_bool(0.6);
        if is_granted && self.worker(connection).is_some() {
            self.checker.reserved(self.now, request, worker);
        }
        let text = match (knows_prefill, is_granted) {
            (false, _) => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
            (true, true) => response(200, "", ""),
            (true, false) => response(409, "", ""),
        };
        self.deliver(connection, &text);
    }

    /// Starts a new process at the worker's address. Each connection of the former process is reset with a probability
    /// of `reset_share`, and black-holed otherwise.
    pub(super) fn restart(&mut self, worker: usize, reset_share: f64) {
        self.checker.worker_died(self.now, worker);
        self.processes[worker].is_unreachable = false;
        self.processes[worker].restart_count += 1;
        for router in 0..self.routers.len() {
            for connection in self.routers[router].established.keys().copied().collect::<Vec<_>>() {
                if self.worker((router, connection)) != Some(worker) {
                    continue;
                }
                if self.random_bool(reset_share) {
                    self.break_connection((router, connection));
                } else {
                    self.routers[router].blackholed.insert(connection);
                }
            }
        }
        let started_ms = self.now / MS;
        let delay_ms = self.random_range(50, 2_000);
        self.update_endpoint_everywhere(delay_ms, worker, "SERVING", started_ms);
    }

    pub(super) fn stream_ends(&mut self, connection: Connection) {
        self.checker.attempts_ended(self.now, connection);
        self.deliver(connection, &format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    }
}
