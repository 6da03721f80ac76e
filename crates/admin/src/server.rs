//! Serves the API on an event loop.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use tideroute_tenant_store::Revision;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::Micros;

use crate::api::{Api, Handled};
use crate::api_error::{ApiError, ProblemKind};
use crate::request::{take_request, Request};

/// Maximum number of open connections. There are few administrators.
const MAX_CONNECTIONS: usize = 256;

/// Time within which a request must be complete, from its first byte.
const REQUEST_TIMEOUT: Micros = 5_000_000;

/// Time that a connection may be idle between two requests.
const IDLE_TIMEOUT: Micros = 60_000_000;

/// Maximum number of requests handled after one read. A client that pipelines more does not read its responses, so its
/// connection is closed.
const MAX_PIPELINED_REQUESTS: u32 = 64;

#[derive(Default)]
struct Connection {
    /// Received bytes of a request that is not complete yet.
    received: BytesMut,
    /// Time by which the request must be complete, or by which the next one must begin on an idle connection.
    deadline: Micros,
}

/// Serves the API on the connections of an event loop.
pub struct AdminServer {
    api: Api,
    /// Called with each change once the change is on the disk.
    on_change: Box<dyn FnMut(&Revision) + Send>,
    connections: BTreeMap<ConnectionId, Connection>,
    shutting_down: bool,
}

impl AdminServer {
    /// Creates a server. It calls `on_change` with each change once the change is on the disk, before it sends the
    /// response.
    pub fn new(api: Api, on_change: impl FnMut(&Revision) + Send + 'static) -> AdminServer {
        AdminServer {
            api,
            on_change: Box::new(on_change),
            connections: BTreeMap::new(),
            shutting_down: false,
        }
    }

    /// Handles all complete requests that a connection has received.
    fn handle_requests(&mut self, now: Micros, connection_id: ConnectionId, effects: &mut Effects) {
        for _ in 0..MAX_PIPELINED_REQUESTS {
            let Some(connection) = self.connections.get_mut(&connection_id) else { return };
            match take_request(&mut connection.received) {
                Ok(Some(request)) => {
                    if self.handle_request(now, connection_id, &request, effects) {
                        return self.close(connection_id, "response sent to the last request", effects);
                    }
                }
                Ok(None) => {
                    let is_idle = connection.received.is_empty();
                    connection.deadline = now + if is_idle { IDLE_TIMEOUT } else { REQUEST_TIMEOUT };
                    return effects.set_timer(connection.deadline, connection_id.0);
                }
                Err(error) => {
                    effects.send(connection_id, error.to_response().to_bytes(true));
                    return self.close(connection_id, "malformed or unsupported request", effects);
                }
            }
        }
        self.close(connection_id, "too many pipelined requests", effects);
    }

    /// Handles one request and returns whether it was the last one of its connection.
    fn handle_request(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        request: &Request,
        effects: &mut Effects,
    ) -> bool {
        let Handled { response, change } = self.api.handle(now, request);
        tracing::info!(
            method = request.method,
            path = request.path.join("/"),
            status = response.status,
            version = change.as_ref().map(|change| change.version),
            by = change.as_ref().map(|change| change.changed_by.as_str()),
            "administration"
        );
        if let Some(change) = change {
            (self.on_change)(&change);
            if change.tenant.is_none() {
                self.api.remove_statistics(&change.name);
            }
        }
        let is_last = request.is_last || self.shutting_down;
        effects.send(connection_id, response.to_bytes(is_last));
        is_last
    }

    fn close(&mut self, connection_id: ConnectionId, reason: &'static str, effects: &mut Effects) {
        self.connections.remove(&connection_id);
        effects.close(connection_id, reason);
    }
}

impl EventHandler for AdminServer {
    fn on_start(&mut self, _now: Micros, _effects: &mut Effects) {}

    fn on_accepted(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        _listener: usize,
        effects: &mut Effects,
    ) {
        if self.connections.len() >= MAX_CONNECTIONS {
            let error = ApiError::new(503, ProblemKind::Connections, "too many connections");
            effects.send(connection_id, error.to_response().to_bytes(true));
            return effects.close(connection_id, "too many connections");
        }
        let deadline = now + IDLE_TIMEOUT;
        self.connections.insert(connection_id, Connection { deadline, ..Connection::default() });
        effects.set_timer(deadline, connection_id.0);
    }

    fn on_connected(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection_id: ConnectionId, bytes: &Bytes, effects: &mut Effects) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        let was_incomplete = !connection.received.is_empty();
        let deadline = connection.deadline;
        connection.received.extend_from_slice(bytes);
        self.handle_requests(now, connection_id, effects);
        // More bytes of the same request do not extend its deadline, so that a client that sends single bytes times
        // out.
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        if was_incomplete && !connection.received.is_empty() {
            connection.deadline = deadline;
        }
    }

    fn on_disconnect(
        &mut self,
        _now: Micros,
        connection_id: ConnectionId,
        _reason: DisconnectReason,
        _effects: &mut Effects,
    ) {
        self.connections.remove(&connection_id);
    }

    fn on_backpressure(
        &mut self,
        _now: Micros,
        connection_id: ConnectionId,
        backpressure: bool,
        effects: &mut Effects,
    ) {
        // Reading from a client pauses while the client does not read its responses.
        if self.connections.contains_key(&connection_id) {
            effects.pause_reading(connection_id, backpressure);
        }
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        let connection_id = ConnectionId(key);
        let Some(connection) = self.connections.get(&connection_id) else { return };
        if connection.deadline > now {
            return;
        }
        if !connection.received.is_empty() {
            let detail = "the request was not whole in five seconds";
            let error = ApiError::new(408, ProblemKind::Slow, detail);
            effects.send(connection_id, error.to_response().to_bytes(true));
        }
        self.close(connection_id, "request timeout or idle timeout", effects);
    }

    fn on_message(&mut self, _now: Micros, message: &Bytes, _effects: &mut Effects) {
        if let Err(error) = tideroute_wire::tenant::receive_stats(message, &mut self.api) {
            tracing::error!(%error, "malformed tenant statistics from a core; ignoring them");
        }
    }

    fn on_iteration(&mut self, _now: Micros, _effects: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, effects: &mut Effects) {
        self.shutting_down = true;
        let idle = self.connections.iter().filter(|(_, connection)| connection.received.is_empty());
        let idle: Vec<_> = idle.map(|(connection_id, _)| *connection_id).collect();
        for connection_id in idle {
            self.close(connection_id, "server shuts down", effects);
        }
    }

    fn is_finished(&self) -> bool {
        self.shutting_down && self.connections.is_empty()
    }
}
