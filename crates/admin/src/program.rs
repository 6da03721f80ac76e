//! The API on connections.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use tideroute_tenant_store::Entry;
use tideroute_wire::link::{Link, Loss, Outbox, Program};
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
    connections: BTreeMap<Link, Connection>,
    stopping: bool,
}

impl Admin {
    pub fn new(api: Api, changed: impl FnMut(&Entry) + Send + 'static) -> Admin {
        Admin { api, changed: Box::new(changed), connections: BTreeMap::new(), stopping: false }
    }

    fn requests(&mut self, now: Micros, link: Link, out: &mut Outbox) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        for _ in 0..REPLIES {
            let request = match http::next(&mut connection.arrived) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    let patience = if connection.arrived.is_empty() { IDLE } else { WHOLE };
                    connection.until = now + patience;
                    return out.ring(connection.until, link.0);
                }
                Err(reply) => {
                    out.send(link, reply.bytes(true));
                    self.connections.remove(&link);
                    return out.close(link, "a request that cannot be read");
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
            out.send(link, reply.bytes(request.last || self.stopping));
            if request.last || self.stopping {
                self.connections.remove(&link);
                return out.close(link, "its last request");
            }
        }
        self.connections.remove(&link);
        out.close(link, "too many requests without reading a reply");
    }
}

impl Program for Admin {
    fn begin(&mut self, _now: Micros, _out: &mut Outbox) {}

    fn accepted(&mut self, now: Micros, link: Link, _door: usize, out: &mut Outbox) {
        if self.connections.len() >= CONNECTIONS {
            out.send(link, problem::reply(503, "connections", "too many connections").bytes(true));
            return out.close(link, "too many connections");
        }
        let until = now + IDLE;
        self.connections.insert(link, Connection { until, ..Connection::default() });
        out.ring(until, link.0);
    }

    fn opened(&mut self, _now: Micros, _link: Link, _out: &mut Outbox) {}

    fn heard(&mut self, now: Micros, link: Link, bytes: &Bytes, out: &mut Outbox) {
        let Some(connection) = self.connections.get_mut(&link) else { return };
        let began = connection.arrived.is_empty();
        let until = connection.until;
        connection.arrived.extend_from_slice(bytes);
        self.requests(now, link, out);
        // One that sends a byte now and then gets no more time for the same request.
        if let Some(connection) = self.connections.get_mut(&link).filter(|c| !began && !c.arrived.is_empty())
        {
            connection.until = until;
        }
    }

    fn lost(&mut self, _now: Micros, link: Link, _loss: Loss, _out: &mut Outbox) {
        self.connections.remove(&link);
    }

    fn crowded(&mut self, _now: Micros, link: Link, crowded: bool, out: &mut Outbox) {
        // Who does not read its replies is not read from either.
        if self.connections.contains_key(&link) {
            out.hush(link, crowded);
        }
    }

    fn rang(&mut self, now: Micros, key: u64, out: &mut Outbox) {
        let link = Link(key);
        let Some(connection) = self.connections.get(&link).filter(|c| c.until <= now) else { return };
        if !connection.arrived.is_empty() {
            let late = problem::reply(408, "slow", "the request was not whole in five seconds");
            out.send(link, late.bytes(true));
        }
        self.connections.remove(&link);
        out.close(link, "nothing more in time");
    }

    fn told(&mut self, _now: Micros, letter: &Bytes, _out: &mut Outbox) {
        if let Err(problem) = tideroute_wire::tenant::hear_figures(letter, &mut self.api) {
            tracing::error!(%problem, "a core's figures cannot be read");
        }
    }

    fn turn(&mut self, _now: Micros, _out: &mut Outbox) {}

    fn stop(&mut self, _now: Micros, out: &mut Outbox) {
        self.stopping = true;
        let idle: Vec<_> =
            self.connections.iter().filter(|(_, c)| c.arrived.is_empty()).map(|(l, _)| *l).collect();
        for link in idle {
            self.connections.remove(&link);
            out.close(link, "the administration stops");
        }
    }

    fn done(&self) -> bool {
        self.stopping && self.connections.is_empty()
    }
}
