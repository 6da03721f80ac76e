//! The API on connections.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use tideroute_tenant_store::Entry;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::Micros;

use crate::api::Api;
use crate::{http, problem};

/// Connections at once: administrators are few.
const CONNECTIONS: usize = 256;
/// Microseconds in which a request must be there whole after its first byte, and that a connection may idle.
const WHOLE: Micros = 5_000_000;
const IDLE: Micros = 60_000_000;
/// Replies that may wait on a connection whose peer does not read.
const REPLIES: u32 = 64;

#[derive(Default)]
struct Connection {
    arrived: BytesMut,
    /// Until when the request must be whole, or a new one begin.
    until: Micros,
}

pub struct Admin {
    api: Api,
    /// Told of each change once it is on the disk.
    changed: Box<dyn FnMut(&Entry) + Send>,
    connections: BTreeMap<ConnectionId, Connection>,
    stopping: bool,
}

impl Admin {
    pub fn new(api: Api, changed: impl FnMut(&Entry) + Send + 'static) -> Admin {
        Admin { api, changed: Box::new(changed), connections: BTreeMap::new(), stopping: false }
    }

    fn requests(&mut self, now: Micros, connection_id: ConnectionId, effects: &mut Effects) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        for _ in 0..REPLIES {
            let request = match http::next(&mut connection.arrived) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    let patience = if connection.arrived.is_empty() { IDLE } else { WHOLE };
                    connection.until = now + patience;
                    return effects.set_timer(connection.until, connection_id.0);
                }
                Err(reply) => {
                    effects.send(connection_id, reply.bytes(true));
                    self.connections.remove(&connection_id);
                    return effects.close(connection_id, "a request that cannot be read");
                }
            };
            let (reply, change) = self.api.answer(now, &request);
            tracing::info!(
                method = request.method,
                path = request.path.join("/"),
                status = reply.status,
                version = change.as_ref().map(|c| c.version),
                by = change.as_ref().map(|c| c.by.as_str()),
                "administration"
            );
            if let Some(change) = change {
                (self.changed)(&change);
                if change.tenant.is_none() {
                    self.api.forget(&change.name);
                }
            }
            effects.send(connection_id, reply.bytes(request.last || self.stopping));
            if request.last || self.stopping {
                self.connections.remove(&connection_id);
                return effects.close(connection_id, "its last request");
            }
        }
        self.connections.remove(&connection_id);
        effects.close(connection_id, "too many requests without reading a reply");
    }
}

impl EventHandler for Admin {
    fn on_start(&mut self, _now: Micros, _out: &mut Effects) {}

    fn on_accepted(&mut self, now: Micros, connection_id: ConnectionId, _door: usize, effects: &mut Effects) {
        if self.connections.len() >= CONNECTIONS {
            effects
                .send(connection_id, problem::reply(503, "connections", "too many connections").bytes(true));
            return effects.close(connection_id, "too many connections");
        }
        let until = now + IDLE;
        self.connections.insert(connection_id, Connection { until, ..Connection::default() });
        effects.set_timer(until, connection_id.0);
    }

    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection_id: ConnectionId, bytes: &Bytes, effects: &mut Effects) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        let began = connection.arrived.is_empty();
        let until = connection.until;
        connection.arrived.extend_from_slice(bytes);
        self.requests(now, connection_id, effects);
        // One that sends a byte now and then gets no more time for the same request.
        if let Some(connection) =
            self.connections.get_mut(&connection_id).filter(|c| !began && !c.arrived.is_empty())
        {
            connection.until = until;
        }
    }

    fn on_disconnect(
        &mut self,
        _now: Micros,
        connection_id: ConnectionId,
        _loss: DisconnectReason,
        _out: &mut Effects,
    ) {
        self.connections.remove(&connection_id);
    }

    fn on_backpressure(
        &mut self,
        _now: Micros,
        connection_id: ConnectionId,
        crowded: bool,
        effects: &mut Effects,
    ) {
        // Who does not read its replies is not read from either.
        if self.connections.contains_key(&connection_id) {
            effects.pause_reading(connection_id, crowded);
        }
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        let connection_id = ConnectionId(key);
        let Some(connection) = self.connections.get(&connection_id).filter(|c| c.until <= now) else {
            return;
        };
        if !connection.arrived.is_empty() {
            let late = problem::reply(408, "slow", "the request was not whole in five seconds");
            effects.send(connection_id, late.bytes(true));
        }
        self.connections.remove(&connection_id);
        effects.close(connection_id, "nothing more in time");
    }

    fn on_message(&mut self, _now: Micros, letter: &Bytes, _out: &mut Effects) {
        if let Err(problem) = tideroute_wire::tenant::receive_stats(letter, &mut self.api) {
            tracing::error!(%problem, "a core's figures cannot be read");
        }
    }

    fn on_iteration(&mut self, _now: Micros, _out: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, effects: &mut Effects) {
        self.stopping = true;
        let idle: Vec<_> =
            self.connections.iter().filter(|(_, c)| c.arrived.is_empty()).map(|(l, _)| *l).collect();
        for connection_id in idle {
            self.connections.remove(&connection_id);
            effects.close(connection_id, "the administration stops");
        }
    }

    fn is_finished(&self) -> bool {
        self.stopping && self.connections.is_empty()
    }
}
