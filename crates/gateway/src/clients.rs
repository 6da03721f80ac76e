//! The clients' connections.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tideroute::types::RequestId;
use tideroute_http::Body;
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::request_head::Ask;
use crate::timers::Timeout;

/// What a client's connection is at.
pub enum At {
    /// The next head; what has arrived of it waits in `arrived`.
    Head,
    /// The rest of a body.
    Body(Box<(Ask, Body, BytesMut)>),
    /// The answer. Its events have begun if that is said.
    Response(RequestId, Arc<str>, bool),
}

pub struct Client {
    pub at: At,
    pub arrived: BytesMut,
    pub timeout: Timeout,
    /// Nothing more is taken from it after the answer.
    pub last: bool,
    /// Bytes that came ahead of their turn and were thrown away.
    pub wasted: usize,
    /// A request came on it before.
    pub asked: bool,
    /// Its place among those that wait for a client, by when that began.
    since: Option<Micros>,
    /// Bytes of its own that the budget counts.
    counted: usize,
}

#[derive(Default)]
pub struct Clients {
    connections: HashMap<ConnectionId, Client>,
    /// Those with no request open, the longest wait first: they are the first to go when room is needed.
    waiting: BTreeSet<(Micros, ConnectionId)>,
    /// Trace ids that are open.
    traces: HashMap<Arc<str>, RequestId>,
    /// Bytes that have arrived and are not gone again.
    pub held: usize,
}

impl Clients {
    pub fn accepted(&mut self, connection: ConnectionId, now: Micros) -> &mut Client {
        self.waiting.insert((now, connection));
        let client = Client {
            at: At::Head,
            arrived: BytesMut::new(),
            timeout: Timeout::NEVER,
            last: false,
            wasted: 0,
            asked: false,
            since: Some(now),
            counted: 0,
        };
        self.connections.entry(connection).or_insert(client)
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    pub fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut Client> {
        self.connections.get_mut(&connection)
    }

    pub fn get(&self, connection: ConnectionId) -> Option<&Client> {
        self.connections.get(&connection)
    }

    /// Of those with no request open, the one that has waited longest.
    pub fn longest_idle(&self) -> Option<ConnectionId> {
        self.waiting.first().map(|(_, connection)| *connection)
    }

    /// Those with nothing of a request there, whether one was asked on them before, and since when they wait.
    pub fn idle(&self) -> Vec<(ConnectionId, bool, Micros)> {
        let idle = |&(since, connection): &(Micros, ConnectionId)| {
            let client = self.connections.get(&connection)?;
            let nothing_there = client.arrived.is_empty() && matches!(client.at, At::Head);
            nothing_there.then_some((connection, client.asked, since))
        };
        self.waiting.iter().filter_map(idle).collect()
    }

    pub fn is_open(&self, trace: &str) -> bool {
        self.traces.contains_key(trace)
    }

    /// The client's submission is taken.
    pub fn asked(&mut self, connection: ConnectionId, trace: Arc<str>, id: RequestId) {
        if let Some(client) = self.connections.get_mut(&connection) {
            client.since.take().map(|since| self.waiting.remove(&(since, connection)));
            self.traces.insert(trace.clone(), id);
            client.at = At::Response(id, trace, false);
        }
    }

    /// Its answer is complete, or its request was none: the next one may begin.
    pub fn answered(&mut self, now: Micros, connection: ConnectionId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        if let At::Response(_, trace, _) = std::mem::replace(&mut client.at, At::Head) {
            self.traces.remove(&trace);
        }
        if let Some(before) = client.since.replace(now) {
            self.waiting.remove(&(before, connection));
        }
        self.waiting.insert((now, connection));
    }

    /// Counts what the connection holds now.
    pub fn count(&mut self, connection: ConnectionId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        let body = if let At::Body(at) = &client.at { at.2.len() } else { 0 };
        let holds = client.arrived.len() + body;
        self.held = self.held + holds - std::mem::replace(&mut client.counted, holds);
        if client.arrived.is_empty() {
            // What once held much would keep it for as long as the connection is there.
            client.arrived = BytesMut::new();
        }
    }

    /// The connection is gone; the submission that was open on it comes back.
    pub fn lose(&mut self, connection: ConnectionId) -> Option<RequestId> {
        let client = self.connections.remove(&connection)?;
        client.since.map(|since| self.waiting.remove(&(since, connection)));
        self.held -= client.counted;
        let At::Response(id, trace, _) = client.at else { return None };
        self.traces.remove(&trace);
        Some(id)
    }

    /// Whether the events of this submission have begun to go to the client.
    pub fn streams(&self, connection: ConnectionId, id: RequestId) -> Option<bool> {
        match self.connections.get(&connection)?.at {
            At::Response(open, _, streams) if open == id => Some(streams),
            _ => None,
        }
    }

    /// They begin.
    pub fn begin(&mut self, connection: ConnectionId) {
        if let Some(Client { at: At::Response(.., streams), .. }) = self.connections.get_mut(&connection) {
            *streams = true;
        }
    }
}

/// A plain text as a body.
pub fn text(what: &str) -> Bytes {
    Bytes::from(format!("{what}\n"))
}
