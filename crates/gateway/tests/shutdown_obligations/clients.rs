//! Behaviour of clients, connections and discovery in a generated simulation.

use super::*;

impl Simulation {
    pub(super) fn send_request(&mut self, index: usize) {
        let now = self.harness.now;
        let connection = self.harness.connect_client();
        let remaining_ms = self.random_range(800, 4_000);
        let class = ["safe", "once", "keyed"][self.random_range(0, 3) as usize];
        let mut client = Client { connection, answered_by: now + remaining_ms * MS, disconnected_at: None };
        self.harness.deliver(connection, chat_request_with(&format!("t{index}"), class, remaining_ms, "{}"));
        if self.random_bool(0.3) {
            let delay_ms = self.random_range(0, 1_500);
            self.schedule(delay_ms, Event::ClientDisconnects(index));
        }
        client.answered_by += LOOP_LAG;
        self.clients.insert(index, client);
    }

    pub(super) fn client_disconnects(&mut self, index: usize) {
        let now = self.harness.now;
        let Some(client) = self.clients.get_mut(&index) else { return };
        if !self.harness.ended.contains_key(&client.connection) {
            client.disconnected_at = Some(now);
            self.harness.reset(client.connection);
        }
    }

    pub(super) fn connected(&mut self, connection: ConnectionId) {
        if !self.harness.ended.contains_key(&connection) && self.passes(connection) {
            // One connection in fifty is black-holed from here on: both ends see it as open, but nothing passes.
            if self.random_bool(0.02) {
                self.blackholed.insert(connection);
            }
            self.connections.insert(connection, (true, 0));
            self.harness.complete_connect(connection);
        } else {
            self.schedule(CONNECT_TIMEOUT / MS, Event::ConnectFails(connection));
        }
    }

    pub(super) fn connect_fails(&mut self, connection: ConnectionId) {
        if !self.harness.ended.contains_key(&connection) && self.connections.remove(&connection).is_some() {
            self.harness.disconnect(connection, DisconnectReason::ConnectFailed);
        }
    }

    /// Notifies the router that a worker drains.
    pub(super) fn drain(&mut self, worker: usize) {
        let now = self.harness.now;
        self.version += 1;
        self.draining_since.insert(worker, now);
        let line = json!({"version": self.version, "full": false, "servers": [endpoint_entry(worker, "DRAINING", 0)]});
        let line = format!("{line}\n");
        let (watch, _) = self.harness.watch();
        self.harness.deliver(watch, chunk(&line));
    }

    /// Sends an empty line of discovery on the watch.
    pub(super) fn heartbeat(&mut self) {
        let (watch, _) = self.harness.watch();
        self.harness.deliver(watch, chunk("\n"));
    }
}
