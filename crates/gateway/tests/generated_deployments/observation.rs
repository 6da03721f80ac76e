//! Observes the routers of a generated deployment after each event: connections, calls and responses.

use super::*;

impl Simulation {
    /// Observes what the routers did, until nothing new follows from it.
    pub(super) fn observe(&mut self) {
        while (0..self.routers.len()).any(|router| {
            let any_connection = self.observe_connects(router);
            self.observe_aborts(router);
            self.observe_calls(router) || any_connection
        }) {}
        self.observe_responses();
    }

    /// Decides when each new connection of a router is established or fails. Returns whether there are any.
    pub(super) fn observe_connects(&mut self, router: usize) -> bool {
        let under_test = &mut self.routers[router];
        let new_connections: Vec<_> = under_test
            .harness
            .outbound
            .iter()
            .filter(|(connection, _)| !under_test.seen_connections.contains(connection))
            .collect();
        let new_connections: Vec<_> = new_connections
            .into_iter()
            .map(|(connection, address)| (*connection, address[2], usize::from(address[3])))
            .collect();
        under_test.seen_connections.extend(new_connections.iter().map(|(connection, ..)| *connection));
        for (connection, network, host) in &new_connections {
            if *network != 1 {
                self.open_watch(router, *connection);
                continue;
            }
            let (worker, timeout_ms) = (host - 1, self.deployment.connect_timeout / MS);
            if self.processes[worker].is_unreachable || self.random_bool(0.03) {
                self.schedule(timeout_ms, Event::ConnectFails((router, *connection)));
            } else {
                let delay_ms =
                    if self.random_bool(0.15) { self.random_range(timeout_ms / 4, timeout_ms) } else { 1 };
                self.schedule(delay_ms, Event::Connected((router, *connection)));
            }
        }
        !new_connections.is_empty()
    }

    /// Establishes a watch and answers it with the full endpoint list.
    pub(super) fn open_watch(&mut self, router: usize, connection: ConnectionId) {
        let under_test = &mut self.routers[router];
        under_test.harness.complete_write(connection);
        let is_current = under_test.harness.watch_connection() == Some(connection);
        if is_current {
            under_test.version += 1;
            let servers: Vec<_> = (0..self.deployment.workers.len())
                .map(|worker| {
                    let state =
                        if under_test.draining_since.contains_key(&worker) { "DRAINING" } else { "SERVING" };
                    self.deployment.endpoint_entry(worker, state, 0)
                })
                .collect();
            under_test
                .harness
                .send_update(&json!({"version": under_test.version, "full": true, "servers": servers}));
        }
    }

    /// Observes the connections that the router has ended.
    pub(super) fn observe_aborts(&mut self, router: usize) {
        let under_test = &mut self.routers[router];
        let ended: Vec<_> = under_test
            .harness
            .ended
            .keys()
            .filter(|connection| connection.is_outbound() && !under_test.closed.contains(connection))
            .copied()
            .collect();
        for connection in ended {
            self.log(|| format!("router {router} ends {}", connection.number()));
            let under_test = &mut self.routers[router];
            under_test.closed.insert(connection);
            under_test.established.remove(&connection);
            under_test.unwritten_calls.remove(&connection);
            self.checker.connection_aborted((router, connection));
            // The worker sees the end some time later, before or after what the router sends on other connections.
            let delay_ms = self.random_range(0, 6);
            self.schedule(delay_ms, Event::DisconnectSeen((router, connection)));
        }
    }

    /// Observes the calls that the router has begun to send. Returns whether there are any.
    pub(super) fn observe_calls(&mut self, router: usize) -> bool {
        let mut any_call = false;
        for connection in self.routers[router].established.keys().copied().collect::<Vec<_>>() {
            let under_test = &mut self.routers[router];
            let (sent, seen_bytes) =
                (under_test.harness.sent_text(connection), under_test.established[&connection]);
            if sent.len() <= seen_bytes || under_test.harness.ended.contains_key(&connection) {
                continue;
            }
            under_test.established.insert(connection, sent.len());
            self.call_started((router, connection), sent[seen_bytes..].to_string());
            any_call = true;
        }
        any_call
    }

    /// Handles the start of a call: its last byte is written at once, unless the socket is full.
    pub(super) fn call_started(&mut self, (router, connection): Connection, text: String) {
        let Some(worker) = self.worker((router, connection)) else { return };
        self.log(|| {
            format!("router {router} on {} to worker {worker}: {}", connection.number(), summary(&text))
        });
        if text.starts_with("POST ") {
            let draining_since = self.routers[router].draining_since.get(&worker).copied();
            self.checker.call_sent(self.now, &self.deployment, &text[..25], draining_since);
        }
        if let Some(request) = attempt_of(&text) {
            let remaining_ms: u64 = after(&text, "x-expires-in-ms: ").parse().expect("milliseconds");
            self.checker.remaining_time_sent(self.now, request, remaining_ms * MS);
        }
        self.routers[router].unwritten_calls.insert(connection, text);
        if self.random_bool(0.04) {
            let delay_ms = log_uniform(&mut self.rng, 10.0, 1_500.0) as u64;
            self.schedule(delay_ms, Event::CallWritten((router, connection)));
        } else {
            self.call_written((router, connection));
        }
    }

    /// Handles the end of a call: its last byte is written, and the call arrives unless the connection is black-holed.
    pub(super) fn call_written(&mut self, (router, connection): Connection) {
        let Some(text) = self.routers[router].unwritten_calls.remove(&connection) else { return };
        if self.passes((router, connection)) {
            self.call_received((router, connection), text);
        }
        self.routers[router].harness.complete_write(connection);
    }

    /// Observes the first response to each client, and connections that ended without one.
    pub(super) fn observe_responses(&mut self) {
        for request in &self.requests {
            let (Some(request_number), Some(connection)) = (request.request_number, request.connection)
            else {
                continue;
            };
            let harness = &self.routers[request.router].harness;
            let first_status = harness.statuses(connection).first().copied();
            match first_status {
                Some(status) if !self.checker.has_response(request_number) => {
                    self.checker.response_started(self.now, &self.deployment, request_number, status);
                }
                None if harness.ended.contains_key(&connection) => {
                    self.checker.connection_ended_without_response(self.now, request_number)
                }
                _ => {}
            }
        }
    }
}
