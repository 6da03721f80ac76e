//! All clients' connections, with the trace ids of their open requests and the bytes that they buffer.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use tideroute::types::RequestId;
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::capacity::{Capacity, REQUEST_OVERHEAD};
use crate::client_connection::{ClientConnection, ClientState};
use crate::memory::{charged_bytes, MemoryBudget};

/// A connection on which no request is open and no byte of a next one has been received.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct IdleClient {
    /// The connection.
    pub connection: ConnectionId,
    /// Whether a request has been received on it before.
    pub has_sent_request: bool,
    /// Since when the connection has had no open request.
    pub idle_since: Micros,
}

/// All clients' connections.
pub struct Clients {
    connections: HashMap<ConnectionId, ClientConnection>,
    /// Connections without an open request, the longest idle first; they are closed first to make room for others.
    idle: BTreeSet<(Micros, ConnectionId)>,
    /// Trace ids of open requests.
    open_trace_ids: HashMap<Arc<str>, RequestId>,
    /// The memory for requests, received completely or not.
    memory: MemoryBudget,
    /// Bytes of requests that are being received.
    receiving_bytes: usize,
    max_receiving_bytes: usize,
}

impl Clients {
    /// Creates the state of a router without clients, whose requests may occupy as much memory as `capacity` states.
    pub fn new(capacity: &Capacity) -> Clients {
        Clients {
            connections: HashMap::new(),
            idle: BTreeSet::new(),
            open_trace_ids: HashMap::new(),
            memory: MemoryBudget::new(capacity.request_bytes),
            receiving_bytes: 0,
            max_receiving_bytes: capacity.receiving_bytes,
        }
    }

    /// Adds a connection that has just been accepted.
    pub fn insert(&mut self, connection: ConnectionId, now: Micros) -> &mut ClientConnection {
        self.idle.insert((now, connection));
        let charge = self.memory.charge(0);
        self.connections.entry(connection).or_insert(ClientConnection::new(now, charge))
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the bytes of requests that are being received on all connections.
    pub fn receiving_bytes(&self) -> usize {
        self.receiving_bytes
    }

    /// Returns the bytes that all requests occupy, received completely or not.
    pub fn request_bytes(&self) -> usize {
        self.memory.used()
    }

    /// Returns whether memory is lacking to receive `additional` more bytes of requests.
    pub fn lacks_memory_for(&self, additional: usize) -> bool {
        self.receiving_bytes + additional > self.max_receiving_bytes || self.memory.would_exceed(additional)
    }

    /// Returns the complete body of a request as shared bytes, charged until no one needs them any more.
    pub fn charge_body(&self, body: Vec<u8>) -> Bytes {
        let charge = self.memory.charge(body.capacity() + REQUEST_OVERHEAD);
        charged_bytes(body, charge)
    }

    /// Returns a connection, if it is open.
    pub fn get(&self, connection: ConnectionId) -> Option<&ClientConnection> {
        self.connections.get(&connection)
    }

    /// Returns a connection for modification, if it is open.
    pub fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut ClientConnection> {
        self.connections.get_mut(&connection)
    }

    /// Returns the connection that has been without an open request for longest.
    pub fn longest_idle(&self) -> Option<ConnectionId> {
        self.idle.first().map(|(_, connection)| *connection)
    }

    /// Returns the connections without any byte of a request, the longest idle first.
    pub fn idle(&self) -> Vec<IdleClient> {
        let mut idle_clients = vec![];
        for &(idle_since, connection) in &self.idle {
            let Some(client) = self.connections.get(&connection) else { continue };
            if client.has_no_request() {
                let has_sent_request = client.has_sent_request;
                idle_clients.push(IdleClient { connection, has_sent_request, idle_since });
            }
        }
        idle_clients
    }

    /// Returns whether a request with `trace_id` is open.
    pub fn is_open(&self, trace_id: &str) -> bool {
        self.open_trace_ids.contains_key(trace_id)
    }

    /// Records that the request on a connection has been admitted.
    pub fn request_admitted(&mut self, connection: ConnectionId, trace_id: Arc<str>, id: RequestId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        if let Some(idle_since) = client.idle_since.take() {
            self.idle.remove(&(idle_since, connection));
        }
        self.open_trace_ids.insert(trace_id.clone(), id);
        client.state = ClientState::AwaitingResponse { id, trace_id, is_streaming: false };
    }

    /// Records that the response on a connection is complete; the next request may begin.
    pub fn response_completed(&mut self, now: Micros, connection: ConnectionId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        let state = std::mem::replace(&mut client.state, ClientState::AwaitingHead);
        if let ClientState::AwaitingResponse { trace_id, .. } = state {
            self.open_trace_ids.remove(&trace_id);
        }
        if let Some(idle_since) = client.idle_since.replace(now) {
            self.idle.remove(&(idle_since, connection));
        }
        self.idle.insert((now, connection));
    }

    /// Updates the charge of a connection by what is being received on it now.
    pub fn account(&mut self, connection: ConnectionId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        client.free_parsed_bytes();
        let bytes = client.allocated_bytes();
        self.receiving_bytes += bytes;
        self.receiving_bytes -= client.charge.bytes();
        client.charge.resize(bytes);
    }

    /// Removes a connection that has ended or is about to be closed; returns the request that was open on it.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<RequestId> {
        let client = self.connections.remove(&connection)?;
        if let Some(idle_since) = client.idle_since {
            self.idle.remove(&(idle_since, connection));
        }
        self.receiving_bytes -= client.charge.bytes();
        let ClientState::AwaitingResponse { id, trace_id, .. } = client.state else { return None };
        self.open_trace_ids.remove(&trace_id);
        Some(id)
    }

    /// Returns whether the response to `request` has begun; `None` if it is not open on the connection.
    pub fn is_streaming(&self, connection: ConnectionId, request: RequestId) -> Option<bool> {
        match self.connections.get(&connection)?.state {
            ClientState::AwaitingResponse { id, is_streaming, .. } if id == request => Some(is_streaming),
            _ => None,
        }
    }

    /// Records that the response to the open request has begun.
    pub fn response_started(&mut self, connection: ConnectionId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        if let ClientState::AwaitingResponse { is_streaming, .. } = &mut client.state {
            *is_streaming = true;
        }
    }

    /// Returns whether the connection is closed after the next response; true if it is not open.
    pub fn closes_after_response(&self, connection: ConnectionId) -> bool {
        self.get(connection).is_none_or(|client| client.closes_after_response)
    }
}
