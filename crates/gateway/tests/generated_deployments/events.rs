//! The events of a generated deployment, but for what its workers do.

use super::*;

impl World {
    /// Plays an event, unless its worker's process is not there to play it.
    pub(super) fn step(&mut self, start: u64, event: Event) {
        if let Some(worker) = worker_of(&event, &self.routers) {
            let server = &self.servers[worker];
            if server.start != start || server.vanished {
                return;
            }
            if server.hangs_until > self.now {
                // What it finds when it goes on it takes up in any order.
                let waits = (server.hangs_until - self.now).div_ceil(MS) + self.random_range(0, 5);
                return self.schedule(waits, event);
            }
        }
        self.log(|| format!("{event:?}"));
        match event {
            Event::SendRequest(n) => self.send_request(n),
            Event::SendRest(n) => self.send_rest(n),
            Event::ClientDisconnects(n) => self.client_disconnects(n),
            Event::Connected(on) => self.connected(on),
            Event::ConnectFails((router, connection)) => self.connect_fails(router, connection),
            Event::CallWritten(on) => self.call_written(on),
            Event::DisconnectSeen(on) => self.connection_ends(on),
            Event::StreamEnds(on) => self.stream_ends(on),
            Event::HandleCall(on, text) => self.handle(on, &text),
            Event::PrefillEnds(on, request) => self.prefill_ends(on, request),
            Event::DecodeEnds(on, request) => self.decode_ends(on, request),
            Event::ReservationAnswered(on, request, knows_prefill) => {
                self.answer_reservation(on, request, knows_prefill)
            }
            Event::Vanish(worker) => self.vanish(worker),
            Event::Return(worker) => self.worker_returns(worker),
            Event::Hang(worker, until) => self.hang(worker, until),
            Event::Crash(worker) => self.restart(worker, 1.0),
            Event::UpdateEndpoint(router, worker, state, started_ms) => {
                self.update_endpoint(router, worker, state, started_ms)
            }
            Event::ShutDown(router) => self.shut_down(router),
            Event::Kill(router) => self.kill(router),
            Event::Heartbeat => self.heartbeat(),
        }
    }

    pub(super) fn send_request(&mut self, n: usize) {
        let PlannedRequest { router, class, wait_ms, slow_ms, .. } = self.requests[n];
        let under_test = &mut self.routers[router];
        if under_test.shut_down_at.is_some_and(|at| self.now > at + LAST_CLIENTS_AFTER) {
            return;
        }
        let connection = under_test.harness.connect_client();
        let number = self.checker.request_sent(self.now, class, (wait_ms + slow_ms) * MS);
        let text =
            chat_request_with(&format!("t{number}"), &self.deployment.classes[class].name, wait_ms, "{}");
        (self.requests[n].number, self.requests[n].connection) = (Some(number), Some(connection));
        if slow_ms == 0 {
            under_test.harness.deliver(connection, text);
        } else {
            under_test.harness.deliver(connection, &text[..40]);
            self.schedule(slow_ms, Event::SendRest(n));
        }
    }

    pub(super) fn send_rest(&mut self, n: usize) {
        let PlannedRequest { router, class, wait_ms, connection, number, .. } = self.requests[n];
        let (Some(connection), Some(number)) = (connection, number) else { return };
        let text =
            chat_request_with(&format!("t{number}"), &self.deployment.classes[class].name, wait_ms, "{}");
        self.routers[router].harness.deliver(connection, &text[40..]);
    }

    pub(super) fn client_disconnects(&mut self, n: usize) {
        let (Some(connection), Some(number)) = (self.requests[n].connection, self.requests[n].number) else {
            return;
        };
        let harness = &mut self.routers[self.requests[n].router].harness;
        if !harness.ended.contains_key(&connection) {
            self.checker.client_disconnected(self.now, number);
            harness.reset(connection);
        }
    }

    pub(super) fn connected(&mut self, (router, connection): Connection) {
        if !self.passes((router, connection)) {
            return self
                .schedule(self.deployment.connect_timeout / MS, Event::ConnectFails((router, connection)));
        }
        // Some lead nowhere from here on, which nobody can see.
        if self.random_bool(0.02) {
            self.routers[router].blackholed.insert(connection);
        }
        self.routers[router].established.insert(connection, 0);
        self.routers[router].harness.complete_connect(connection);
    }

    pub(super) fn update_endpoint(
        &mut self,
        router: usize,
        worker: usize,
        state: &'static str,
        started_ms: u64,
    ) {
        let under_test = &mut self.routers[router];
        let Some(watch) = under_test.harness.watch_connection() else { return };
        under_test.version += 1;
        if state == "SERVING" {
            under_test.draining_since.remove(&worker);
        } else {
            under_test.draining_since.entry(worker).or_insert(self.now);
        }
        let entry = self.deployment.endpoint_entry(worker, state, started_ms);
        let line = json!({"version": under_test.version, "full": false, "servers": [entry]});
        under_test.harness.deliver(watch, chunk(&format!("{line}\n")));
    }

    pub(super) fn connect_fails(&mut self, router: usize, connection: ConnectionId) {
        let under_test = &mut self.routers[router];
        if !under_test.harness.ended.contains_key(&connection)
            && under_test.harness.outbound.contains_key(&connection)
        {
            under_test.harness.disconnect(connection, DisconnectReason::ConnectFailed);
        }
    }

    pub(super) fn vanish(&mut self, worker: usize) {
        self.servers[worker].vanished = true;
        self.servers[worker].vanished_at = self.now;
        self.checker.worker_died(self.now, worker);
    }

    pub(super) fn worker_returns(&mut self, worker: usize) {
        let server = &self.servers[worker];
        if server.vanished {
            let resets = if self.now < server.vanished_at + MIN_ABSENCE { 1.0 } else { 0.5 };
            self.restart(worker, resets);
        }
    }

    pub(super) fn hang(&mut self, worker: usize, until: Micros) {
        let server = &mut self.servers[worker];
        server.hangs_until = server.hangs_until.max(until);
    }

    pub(super) fn shut_down(&mut self, router: usize) {
        self.routers[router].shut_down_at = Some(self.now);
        self.routers[router].harness.shut_down();
        self.schedule(KILL_AFTER_MS, Event::Kill(router));
    }

    /// The process is killed: what it has not done by then it is no longer responsible for.
    pub(super) fn kill(&mut self, router: usize) {
        let numbers = self
            .requests
            .iter()
            .filter(|request| request.router == router)
            .filter_map(|request| request.number);
        numbers.for_each(|number| self.checker.router_killed(number));
    }

    /// Discovery sends an empty line on each watch.
    pub(super) fn heartbeat(&mut self) {
        for under_test in &mut self.routers {
            under_test
                .harness
                .watch_connection()
                .into_iter()
                .for_each(|watch| under_test.harness.deliver(watch, chunk("\n")));
        }
    }
}
