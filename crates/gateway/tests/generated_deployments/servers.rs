//! What workers do in a drawn world.

use super::*;

impl World {
    /// What was out on a connection is over, but a read may have ended well in that very moment.
    pub(super) fn connection_ends(&mut self, on: Connection) {
        for (request, worker, writes) in self.checker.attempts_end(self.now, on) {
            let reads = !writes || self.checker.wants_state(request) && self.customer.reads_by_itself(worker);
            if reads && self.chance(0.1) {
                self.checker.holds_state(self.now, request, worker);
            }
        }
    }

    pub(super) fn arrives(&mut self, on: Connection, text: String) {
        let Some(request) = attempt_of(&text) else { return self.after(1, Event::Handle(on, text)) };
        let Some(worker) = self.worker(on) else { return };
        let writes = self.customer.workers[worker].role != Role::Reads;
        self.checker.arrives(self.now, &self.customer, request, (worker, on), writes);
        if writes {
            let takes = between(&mut self.draw, 1.0, 1_200.0) as u64;
            self.after(takes, Event::WriteEnds(on, request));
        } else {
            let takes = between(&mut self.draw, 2.0, 1_500.0) as u64;
            self.after(takes, Event::ReadEnds(on, request));
        }
    }

    /// A call that is no attempt.
    pub(super) fn handle(&mut self, on: Connection, text: &str) {
        if text.starts_with("GET ") {
            return self.say(on, &plain(200, "", "TEXT outstanding=2, x1=0.5"));
        }
        let name = after(text, "/internal/reservations/t");
        let request: usize = name.parse().expect("a number");
        if text.starts_with("DELETE ") {
            self.checker.released(request);
            return self.say(on, "HTTP/1.1 204 No Content\r\n\r\n");
        }
        let knows = self.checker.is_read(request);
        let takes = if knows { self.whole(1, 60) } else { 300 };
        self.after(takes, Event::PlaceAnswered(on, request, knows));
    }

    pub(super) fn read_ends(&mut self, on: Connection, request: usize) {
        let Some(worker) = self.worker(on).filter(|_| self.checker.has(request, on)) else { return };
        if self.routers[on.0].void.contains(&on.1) {
            return;
        }
        self.checker.attempts_end(self.now, on);
        let lot = self.whole(0, 100);
        if lot < 92 {
            self.checker.holds_state(self.now, request, worker);
        }
        match lot {
            0..86 => self.say(on, READ),
            // It ends well just as its connection breaks.
            86..92 => self.breaks_off(on),
            92..96 => self.say(on, NEVER_RAN),
            _ => self.say(on, &plain(500, "", "")),
        }
    }

    pub(super) fn write_ends(&mut self, on: Connection, request: usize) {
        if !self.passes(on) || !self.checker.has(request, on) {
            return;
        }
        let worker = self.worker(on).expect("a worker");
        let lot = self.whole(0, 100);
        if !self.checker.has_state(request) && !self.customer.reads_by_itself(worker) {
            return self.never_ran(on, request, &NEVER_RAN.replace("503", "410"));
        }
        match lot {
            0..12 => self.never_ran(on, request, NEVER_RAN),
            12..20 => {
                self.connection_ends(on);
                self.breaks_off(on);
            }
            20..26 => {
                self.checker.attempts_end(self.now, on);
                self.say(on, &plain(500, "", ""));
            }
            26..30 => {
                self.checker.attempts_end(self.now, on);
                self.say(on, "#!noise that is no answer\r\n\r\n");
            }
            _ => {
                self.checker.begins(request);
                self.say(on, &format!("{HEAD}{}", chunk(EVENTS[0])));
                let takes = self.whole(1, 300);
                self.after(takes, Event::StreamEnds(on));
            }
        }
    }

    fn never_ran(&mut self, on: Connection, request: usize, answer: &str) {
        self.checker.attempts_end(self.now, on);
        self.checker.told_never_ran(request, on);
        self.say(on, answer);
    }

    pub(super) fn place_answered(&mut self, on: Connection, request: usize, knew: bool) {
        let worker = self.worker(on).unwrap_or(0);
        let held = self.checker.has_place(request, worker) || self.chance(0.6);
        if held && self.worker(on).is_some() {
            self.checker.holds_place(self.now, request, worker);
        }
        let text = match (knew, held) {
            (false, _) => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
            (true, true) => plain(200, "", ""),
            (true, false) => plain(409, "", ""),
        };
        self.say(on, &text);
    }

    /// A process starts at the worker's address; connections of the one before are reset, so many of them.
    pub(super) fn starts_again(&mut self, worker: usize, resets: f64) {
        self.checker.worker_died(self.now, worker);
        self.servers[worker].vanished = false;
        self.servers[worker].start += 1;
        for router in 0..self.routers.len() {
            for link in self.routers[router].up.keys().copied().collect::<Vec<_>>() {
                if self.worker((router, link)) != Some(worker) {
                    continue;
                }
                if self.chance(resets) {
                    self.breaks_off((router, link));
                } else {
                    self.routers[router].void.insert(link);
                }
            }
        }
        let started_ms = self.now / MS;
        let late = self.whole(50, 2_000);
        self.tell_all(late, worker, "SERVING", started_ms);
    }
}
