//! What the routers of a generated deployment did, observed after each event.

use super::*;

impl World {
    /// Looks at all that the routers did.
    pub(super) fn observe(&mut self) {
        while (0..self.routers.len()).any(|router| {
            let outbound = self.observe_dials(router);
            self.observe_aborts(router);
            self.observe_calls(router) || outbound
        }) {}
        self.observe_responses();
    }

    pub(super) fn observe_dials(&mut self, router: usize) -> bool {
        let under_test = &mut self.routers[router];
        let fresh: Vec<_> = under_test
            .harness
            .outbound
            .iter()
            .filter(|(l, _)| !under_test.seen_connections.contains(l))
            .collect();
        let fresh: Vec<_> =
            fresh.into_iter().map(|(connection, to)| (*connection, to[2], usize::from(to[3]))).collect();
        under_test.seen_connections.extend(fresh.iter().map(|(connection, ..)| *connection));
        for (connection, net, host) in &fresh {
            if *net != 1 {
                self.open_watch(router, *connection);
                continue;
            }
            let (worker, dial_ms) = (host - 1, self.deployment.connect_timeout / MS);
            if self.servers[worker].vanished || self.random_bool(0.03) {
                self.schedule(dial_ms, Event::ConnectFails((router, *connection)));
            } else {
                let takes = if self.random_bool(0.15) { self.random_range(dial_ms / 4, dial_ms) } else { 1 };
                self.schedule(takes, Event::Connected((router, *connection)));
            }
        }
        !fresh.is_empty()
    }

    pub(super) fn open_watch(&mut self, router: usize, connection: ConnectionId) {
        let under_test = &mut self.routers[router];
        under_test.harness.complete_write(connection);
        let known = under_test.harness.watch_connection() == Some(connection);
        if known {
            under_test.version += 1;
            let servers: Vec<_> = (0..self.deployment.workers.len())
                .map(|w| {
                    let state =
                        if under_test.draining_since.contains_key(&w) { "DRAINING" } else { "SERVING" };
                    self.deployment.endpoint_entry(w, state, 0)
                })
                .collect();
            under_test
                .harness
                .send_update(&json!({"version": under_test.version, "full": true, "servers": servers}));
        }
    }

    /// Connections that the router has ended.
    pub(super) fn observe_aborts(&mut self, router: usize) {
        let under_test = &mut self.routers[router];
        let ended: Vec<_> = under_test
            .harness
            .ended
            .keys()
            .filter(|l| l.is_outbound() && !under_test.closed.contains(l))
            .copied()
            .collect();
        for connection in ended {
            self.log(|| format!("router {router} ends {}", connection.number()));
            let under_test = &mut self.routers[router];
            under_test.closed.insert(connection);
            under_test.established.remove(&connection);
            under_test.unwritten_calls.remove(&connection);
            self.checker.connection_aborted((router, connection));
            // The worker learns of it some time later, before or behind what is sent on other connections.
            let late = self.random_range(0, 6);
            self.schedule(late, Event::DisconnectSeen((router, connection)));
        }
    }

    pub(super) fn observe_calls(&mut self, router: usize) -> bool {
        let mut called = false;
        for connection in self.routers[router].established.keys().copied().collect::<Vec<_>>() {
            let under_test = &mut self.routers[router];
            let (all, seen) = (under_test.harness.sent_text(connection), under_test.established[&connection]);
            if all.len() <= seen || under_test.harness.ended.contains_key(&connection) {
                continue;
            }
            under_test.established.insert(connection, all.len());
            self.call_started((router, connection), all[seen..].to_string());
            called = true;
        }
        called
    }

    /// The first bytes of a call are sent; the last ones at once, unless the socket is full.
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
            let waits = log_uniform(&mut self.rng, 10.0, 1_500.0) as u64;
            self.schedule(waits, Event::CallWritten((router, connection)));
        } else {
            self.call_written((router, connection));
        }
    }

    /// The last byte of a call has been written, and arrives unless the connection leads nowhere.
    pub(super) fn call_written(&mut self, (router, connection): Connection) {
        let Some(text) = self.routers[router].unwritten_calls.remove(&connection) else { return };
        if self.passes((router, connection)) {
            self.arrives((router, connection), text);
        }
        self.routers[router].harness.complete_write(connection);
    }

    pub(super) fn observe_responses(&mut self) {
        for request in &self.requests {
            let (Some(number), Some(connection)) = (request.number, request.connection) else { continue };
            let harness = &self.routers[request.router].harness;
            let first = harness.statuses(connection).first().copied();
            match first {
                Some(status) if !self.checker.has_response(number) => {
                    self.checker.response_started(self.now, &self.deployment, number, status);
                }
                None if harness.ended.contains_key(&connection) => {
                    self.checker.connection_ended_without_response(self.now, number)
                }
                _ => {}
            }
        }
    }
}
