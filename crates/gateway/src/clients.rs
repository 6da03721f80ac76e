//! All clients' connections, with the trace ids of their open requests and the bytes that they buffer.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use bytes::BytesMut;
use tideroute::types::RequestId;
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::client_connection::{ClientConnection, ClientState};

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
#[derive(Default)]
pub struct Clients {
    connections: HashMap<ConnectionId, ClientConnection>,
    /// Connections without an open request, the longest idle first; they are closed first to make room for others.
    idle: BTreeSet<(Micros, ConnectionId)>,
    /// Trace ids of open requests.
    open_trace_ids: HashMap<Arc<str>, RequestId>,
    buffered_bytes: usize,
}

impl Clients {
    /// Adds a connection that has just been accepted.
    pub fn insert(&mut self, connection: ConnectionId, now: Micros) -> &mut ClientConnection {
        self.idle.insert((now, connection));
        self.connections.entry(connection).or_insert(ClientConnection::new(now))
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the bytes of requests that all connections buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
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

    /// Updates the buffered bytes by what a connection holds now.
    pub fn account(&mut self, connection: ConnectionId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        let bytes = client.buffered_bytes();
        self.buffered_bytes += bytes;
        self.buffered_bytes -= client.accounted_bytes;
        client.accounted_bytes = bytes;
        if client.received.is_empty() {
            // A buffer that has grown would keep its memory for as long as the connection is open.
            client.received = BytesMut::new();
        }
    }

    /// Removes a connection that has ended or is about to be closed; returns the request that was open on it.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<RequestId> {
        let client = self.connections.remove(&connection)?;
        if let Some(idle_since) = client.idle_since {
            self.idle.remove(&(idle_since, connection));
        }
        self.buffered_bytes -= client.accounted_bytes;
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
