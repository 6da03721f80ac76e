//! All clients' connections, with the trace ids that are open on them and the bytes that they hold.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use bytes::BytesMut;
use tideroute::types::RequestId;
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::client_connection::{ClientConnection, ClientState};

/// A connection on which no byte of a request is there.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct IdleClient {
    /// The connection.
    pub connection: ConnectionId,
    /// A request has come on it before.
    pub has_sent_request: bool,
    /// Since when it has had no open request.
    pub idle_since: Micros,
}

/// All clients' connections.
#[derive(Default)]
pub struct Clients {
    connections: HashMap<ConnectionId, ClientConnection>,
    /// Those with no open request, the longest idle first: they are the first to be closed for others.
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

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Bytes of requests that all connections hold.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// A connection, if it is open.
    pub fn get(&self, connection: ConnectionId) -> Option<&ClientConnection> {
        self.connections.get(&connection)
    }

    /// A connection to change, if it is open.
    pub fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut ClientConnection> {
        self.connections.get_mut(&connection)
    }

    /// Of those with no open request, the one that has been idle for longest.
    pub fn longest_idle(&self) -> Option<ConnectionId> {
        self.idle.first().map(|(_, connection)| *connection)
    }

    /// Connections on which no byte of a request is there, the longest idle first.
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

    /// Whether a request with that trace id is open.
    pub fn is_open(&self, trace_id: &str) -> bool {
        self.open_trace_ids.contains_key(trace_id)
    }

    /// The request on a connection has been admitted.
    pub fn request_admitted(&mut self, connection: ConnectionId, trace_id: Arc<str>, id: RequestId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        if let Some(idle_since) = client.idle_since.take() {
            self.idle.remove(&(idle_since, connection));
        }
        self.open_trace_ids.insert(trace_id.clone(), id);
        client.state = ClientState::AwaitingResponse { id, trace_id, is_streaming: false };
    }

    /// The response on a connection is complete: the next request may begin.
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

    /// Accounts for the bytes that a connection holds now.
    pub fn account(&mut self, connection: ConnectionId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        let bytes = client.buffered_bytes();
        self.buffered_bytes += bytes;
        self.buffered_bytes -= client.accounted_bytes;
        client.accounted_bytes = bytes;
        if client.received.is_empty() {
            // A buffer that was once large would stay so for as long as the connection is open.
            client.received = BytesMut::new();
        }
    }

    /// Removes a connection that is gone or about to be closed. The request that was open on it is returned.
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

    /// Whether the response to that request has begun; none if it is not open on the connection.
    pub fn is_streaming(&self, connection: ConnectionId, request: RequestId) -> Option<bool> {
        match self.connections.get(&connection)?.state {
            ClientState::AwaitingResponse { id, is_streaming, .. } if id == request => Some(is_streaming),
            _ => None,
        }
    }

    /// The response to the open request begins.
    pub fn response_started(&mut self, connection: ConnectionId) {
        let Some(client) = self.connections.get_mut(&connection) else { return };
        if let ClientState::AwaitingResponse { is_streaming, .. } = &mut client.state {
            *is_streaming = true;
        }
    }

    /// Whether the connection is closed after the next response; also if it is not open.
    pub fn closes_after_response(&self, connection: ConnectionId) -> bool {
        self.get(connection).is_none_or(|client| client.closes_after_response)
    }
}
