//! One client's connection, and how far the request on it has come.

use std::sync::Arc;

use bytes::BytesMut;
use tideroute::types::RequestId;
use tideroute_http::Body;
use tideroute_wire::Micros;

use crate::request_head::RequestHead;
use crate::timers::Timeout;

/// What a client's connection waits for.
pub enum ClientState {
    /// The next request's head; what has arrived of it waits in [`ClientConnection::received`].
    AwaitingHead,
    /// The rest of a request's body.
    ReceivingBody(Box<PartialRequest>),
    /// The response to a request.
    AwaitingResponse {
        /// The request that is open.
        id: RequestId,
        /// The client's name for it.
        trace_id: Arc<str>,
        /// The response has begun to go to the client.
        is_streaming: bool,
    },
}

/// A request of which the body is not yet complete.
pub struct PartialRequest {
    /// Its head.
    pub head: RequestHead,
    /// Decodes the body's framing.
    pub decoder: Body,
    /// The body so far.
    pub body: BytesMut,
}

/// One client's connection.
pub struct ClientConnection {
    /// What it waits for.
    pub state: ClientState,
    /// Bytes received that are not yet parsed.
    pub received: BytesMut,
    /// How long the client is waited for.
    pub timeout: Timeout,
    /// The connection is closed after the next response.
    pub closes_after_response: bool,
    /// Bytes that came ahead of their turn and were discarded.
    pub discarded_bytes: usize,
    /// A request has come on it.
    pub has_sent_request: bool,
    /// Since when it has had no open request; none while one is open.
    pub(crate) idle_since: Option<Micros>,
    /// Its bytes that count towards the buffered bytes of all clients.
    pub(crate) accounted_bytes: usize,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub fn new(now: Micros) -> ClientConnection {
        ClientConnection {
            state: ClientState::AwaitingHead,
            received: BytesMut::new(),
            timeout: Timeout::NEVER,
            closes_after_response: false,
            discarded_bytes: 0,
            has_sent_request: false,
            idle_since: Some(now),
            accounted_bytes: 0,
        }
    }

    /// Whether no byte of a request is there.
    pub fn has_no_request(&self) -> bool {
        self.received.is_empty() && matches!(self.state, ClientState::AwaitingHead)
    }

    /// Whether a request is open.
    pub fn awaits_response(&self) -> bool {
        matches!(self.state, ClientState::AwaitingResponse { .. })
    }

    /// Whether the response to the open request has begun.
    pub fn is_streaming(&self) -> bool {
        matches!(self.state, ClientState::AwaitingResponse { is_streaming: true, .. })
    }

    /// Bytes that it holds of requests that are being received.
    pub(crate) fn buffered_bytes(&self) -> usize {
        let body_bytes = match &self.state {
            ClientState::ReceivingBody(request) => request.body.len(),
            _ => 0,
        };
        self.received.len() + body_bytes
    }
}
