//! Events of a generated deployment: clients, connections, faults, discovery and shutdown.

use super::*;

impl Simulation {
    /// Handles an event. An event of a worker is dropped if the process that it belongs to is gone, and postponed while
    /// the process hangs.
    pub(super) fn step(&mut self, restart_count: u64, event: Event) {
        if let Some(worker) = worker_of(&event, &self.routers) {
            let process = &self.processes[worker];
            if process.restart_count != restart_count || process.is_unreachable {
                return;
            }
            if process.hangs_until > self.now {
                // After a hang the process handles the events that have queued up in any order.
                let delay_ms = (process.hangs_until - self.now).div_ceil(MS) + self.random_range(0, 5);
                return self.schedule(delay_ms, event);
            }
        }
        self.log(|| format!("{event:?}"));
        match event {
            Event::SendRequest(index) => self.send_request(index),
            Event::SendRemainder(index) => self.send_remainder(index),
            Event::ClientDisconnects(index) => self.client_disconnects(index),
            Event::Connected(connection) => self.connected(connection),
            Event::ConnectFails((router, connection)) => self.connect_fails(router, connection),
            Event::CallWritten(connection) => self.call_written(connection),
            Event::DisconnectSeen(connection) => self.connection_ends(connection),
            Event::StreamEnds(connection) => self.stream_ends(connection),
            Event::HandleCall(connection, text) => self.handle_call(connection, &text),
            Event::PrefillEnds(connection, request) => self.prefill_ends(connection, request),
            Event::DecodeEnds(connection, request) => self.decode_ends(connection, request),
            Event::ReservationAnswered(connection, request, knows_prefill) => {
                self.answer_reservation(connection, request, knows_prefill)
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

    pub(super) fn send_request(&mut self, index: usize) {
        let PlannedRequest { router, class, remaining_ms, send_duration_ms, .. } = self.requests[index];
        let under_test = &mut self.routers[router];
        if under_test.shut_down_at.is_some_and(|at| self.now > at + LAST_CLIENTS_AFTER) {
            return;
        }
        let connection = under_test.harness.connect_client();
        let request_number =
            self.checker.request_sent(self.now, class, (remaining_ms + send_duration_ms) * MS);
        let text = chat_request_with(
            &format!("t{request_number}"),
            &self.deployment.classes[class].name,
            remaining_ms,
            "{}",
        );
        (self.requests[index].request_number, self.requests[index].connection) =
            (Some(request_number), Some(connection));
        if send_duration_ms == 0 {
            under_test.harness.deliver(connection, text);
        } else {
            under_test.harness.deliver(connection, &text[..40]);
            self.schedule(send_duration_ms, Event::SendRemainder(index));
        }
    }

    pub(super) fn send_remainder(&mut self, index: usize) {
        let PlannedRequest { router, class, remaining_ms, connection, request_number, .. } =
            self.requests[index];
        let (Some(connection), Some(request_number)) = (connection, request_number) else { return };
        let text = chat_request_with(
            &format!("t{request_number}"),
            &self.deployment.classes[class].name,
            remaining_ms,
            "{}",
        );
        self.routers[router].harness.deliver(connection, &text[40..]);
    }

    pub(super) fn client_disconnects(&mut self, index: usize) {
        let (Some(connection), Some(request_number)) =
            (self.requests[index].connection, self.requests[index].request_number)
        else {
            return;
        };
        let harness = &mut self.routers[self.requests[index].router].harness;
        if !harness.ended.contains_key(&connection) {
            self.checker.client_disconnected(self.now, request_number);
            harness.reset(connection);
        }
    }

    pub(super) fn connected(&mut self, (router, connection): Connection) {
        if !self.passes((router, connection)) {
            return self
                .schedule(self.deployment.connect_timeout / MS, Event::ConnectFails((router, connection)));
        }
        // Some connections are black-holed from here on: both ends see them as open, but nothing passes.
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
        self.processes[worker].is_unreachable = true;
        self.processes[worker].unreachable_since = self.now;
        self.checker.worker_died(self.now, worker);
    }

    pub(super) fn worker_returns(&mut self, worker: usize) {
        let process = &self.processes[worker];
        if process.is_unreachable {
            let reset_share = if self.now < process.unreachable_since + MIN_ABSENCE { 1.0 } else { 0.5 };
            self.restart(worker, reset_share);
        }
    }

    pub(super) fn hang(&mut self, worker: usize, until: Micros) {
        let process = &mut self.processes[worker];
        process.hangs_until = process.hangs_until.max(until);
    }

    pub(super) fn shut_down(&mut self, router: usize) {
        self.routers[router].shut_down_at = Some(self.now);
        self.routers[router].harness.shut_down();
        self.schedule(KILL_AFTER_MS, Event::Kill(router));
    }

    /// Kills a router's process. From then on, the checker expects nothing of the router for its requests.
    pub(super) fn kill(&mut self, router: usize) {
        let request_numbers = self
            .requests
            .iter()
            .filter(|request| request.router == router)
            .filter_map(|request| request.request_number);
        request_numbers.for_each(|request_number| self.checker.router_killed(request_number));
    }

    /// Sends an empty line of discovery on each watch.
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
