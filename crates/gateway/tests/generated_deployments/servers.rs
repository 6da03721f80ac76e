//! The workers of a generated deployment.

use super::*;

impl World {
    /// What was out on a connection has ended, but a prefill may have completed in that very moment.
    pub(super) fn connection_ends(&mut self, on: Connection) {
        for ended in self.checker.attempts_ended(self.now, on) {
            let reads = !ended.is_decode
                || self.checker.needs_prefill(ended.request)
                    && self.deployment.prefills_locally(ended.worker);
            if reads && self.random_bool(0.1) {
                self.checker.state_stored(self.now, ended.request, ended.worker);
            }
        }
    }

    pub(super) fn arrives(&mut self, on: Connection, text: String) {
        let Some(request) = attempt_of(&text) else { return self.schedule(1, Event::HandleCall(on, text)) };
        let Some(worker) = self.worker(on) else { return };
        let writes = self.deployment.workers[worker].role != Role::Prefill;
        self.checker.attempt_received(self.now, &self.deployment, request, worker, on, writes);
        if writes {
            let takes = log_uniform(&mut self.rng, 1.0, 1_200.0) as u64;
            self.schedule(takes, Event::DecodeEnds(on, request));
        } else {
            let takes = log_uniform(&mut self.rng, 2.0, 1_500.0) as u64;
            self.schedule(takes, Event::PrefillEnds(on, request));
        }
    }

    /// A call that is no attempt.
    pub(super) fn handle(&mut self, on: Connection, text: &str) {
        if text.starts_with("GET ") {
            return self.deliver(on, &response(200, "", "TEXT outstanding=2, x1=0.5"));
        }
        let name = after(text, "/internal/reservations/t");
        let request: usize = name.parse().expect("a number");
        if text.starts_with("DELETE ") {
            self.checker.released(request);
            return self.deliver(on, "HTTP/1.1 204 No Content\r\n\r\n");
        }
        let knows = self.checker.is_prefill_in_flight(request);
        let takes = if knows { self.random_range(1, 60) } else { 300 };
        self.schedule(takes, Event::ReservationAnswered(on, request, knows));
    }

    pub(super) fn prefill_ends(&mut self, on: Connection, request: usize) {
        let Some(worker) = self.worker(on).filter(|_| self.checker.is_in_flight(request, on)) else { return };
        if self.routers[on.0].blackholed.contains(&on.1) {
            return;
        }
        self.checker.attempts_ended(self.now, on);
        let roll = self.random_range(0, 100);
        if roll < 92 {
            self.checker.state_stored(self.now, request, worker);
        }
        match roll {
            0..86 => self.deliver(on, PREFILL_COMPLETE),
            // It completes just as its connection breaks.
            86..92 => self.break_connection(on),
            92..96 => self.deliver(on, NEVER_RAN),
            _ => self.deliver(on, &response(500, "", "")),
        }
    }

    pub(super) fn decode_ends(&mut self, on: Connection, request: usize) {
        if !self.passes(on) || !self.checker.is_in_flight(request, on) {
            return;
        }
        let worker = self.worker(on).expect("a worker");
        let roll = self.random_range(0, 100);
        if !self.checker.has_state(request) && !self.deployment.prefills_locally(worker) {
            return self.never_ran(on, request, &NEVER_RAN.replace("503", "410"));
        }
        match roll {
            0..12 => self.never_ran(on, request, NEVER_RAN),
            12..20 => {
                self.connection_ends(on);
                self.break_connection(on);
            }
            20..26 => {
                self.checker.attempts_ended(self.now, on);
                self.deliver(on, &response(500, "", ""));
            }
            26..30 => {
                self.checker.attempts_ended(self.now, on);
                self.deliver(on, "#!noise that is no answer\r\n\r\n");
            }
            _ => {
                self.checker.stream_started(request);
                self.deliver(on, &format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
                let takes = self.random_range(1, 300);
                self.schedule(takes, Event::StreamEnds(on));
            }
        }
    }

    fn never_ran(&mut self, on: Connection, request: usize, answer: &str) {
        self.checker.attempts_ended(self.now, on);
        self.checker.attempt_never_ran(request, on);
        self.deliver(on, answer);
    }

    pub(super) fn answer_reservation(&mut self, on: Connection, request: usize, knows_prefill: bool) {
        let worker = self.worker(on).unwrap_or(0);
        let held = self.checker.has_reservation(request, worker) || self.random_bool(0.6);
        if held && self.worker(on).is_some() {
            self.checker.reserved(self.now, request, worker);
        }
        let text = match (knows_prefill, held) {
            (false, _) => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
            (true, true) => response(200, "", ""),
            (true, false) => response(409, "", ""),
        };
        self.deliver(on, &text);
    }

    /// A process starts at the worker's address; the given part of the connections of the one before are reset.
    pub(super) fn restart(&mut self, worker: usize, resets: f64) {
        self.checker.worker_died(self.now, worker);
        self.servers[worker].vanished = false;
        self.servers[worker].start += 1;
        for router in 0..self.routers.len() {
            for link in self.routers[router].established.keys().copied().collect::<Vec<_>>() {
                if self.worker((router, link)) != Some(worker) {
                    continue;
                }
                if self.random_bool(resets) {
                    self.break_connection((router, link));
                } else {
                    self.routers[router].blackholed.insert(link);
                }
            }
        }
        let started_ms = self.now / MS;
        let late = self.random_range(50, 2_000);
        self.update_endpoint_everywhere(late, worker, "SERVING", started_ms);
    }

    pub(super) fn stream_ends(&mut self, on: Connection) {
        self.checker.attempts_ended(self.now, on);
        self.deliver(on, &format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    }
}
