//! One client's connection, and the state of the request on it.

use std::sync::Arc;

use bytes::BytesMut;
use tideroute::types::RequestId;
use tideroute_http::Body;
use tideroute_wire::Micros;

use crate::request_head::RequestHead;
use crate::timers::Timeout;

/// What a client's connection waits for.
pub enum ClientState {
    /// The next request's head; the part received so far is in [`ClientConnection::received`].
    AwaitingHead,
    /// The rest of a request's body.
    ReceivingBody(Box<PartialRequest>),
    /// The response to a request.
    AwaitingResponse {
        /// The open request.
        id: RequestId,
        /// The request's trace id.
        trace_id: Arc<str>,
        /// Whether the response has begun.
        is_streaming: bool,
    },
}

/// A request whose body is not yet complete.
pub struct PartialRequest {
    /// The request's head.
    pub head: RequestHead,
    /// Decodes the body's framing.
    pub decoder: Body,
    /// The body so far.
    pub body: BytesMut,
}

/// One client's connection.
pub struct ClientConnection {
    /// What the connection waits for.
    pub state: ClientState,
    /// Bytes received that are not yet parsed.
    pub received: BytesMut,
    /// The timeout of the request being received, or of the idle connection.
    pub timeout: Timeout,
    /// Whether the connection is closed after the next response.
    pub closes_after_response: bool,
    /// Number of bytes discarded because they arrived while a request was open.
    pub discarded_bytes: usize,
    /// Whether the head of a request has been received on the connection.
    pub has_sent_request: bool,
    /// Since when the connection has had no open request; `None` while one is open.
    pub(crate) idle_since: Option<Micros>,
    /// The connection's part of the buffered bytes of all clients.
    pub(crate) accounted_bytes: usize,
}

impl ClientConnection {
    /// Creates a connection that has just been accepted.
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

    /// Returns whether no byte of a next request has been received and no request is open.
    pub fn has_no_request(&self) -> bool {
        self.received.is_empty() && matches!(self.state, ClientState::AwaitingHead)
    }

    /// Returns whether a request is open.
    pub fn awaits_response(&self) -> bool {
        matches!(self.state, ClientState::AwaitingResponse { .. })
    }

    /// Returns whether the response to the open request has begun.
    pub fn is_streaming(&self) -> bool {
        matches!(self.state, ClientState::AwaitingResponse { is_streaming: true, .. })
    }

    /// Returns the number of buffered bytes of requests that are being received.
    pub(crate) fn buffered_bytes(&self) -> usize {
        let body_bytes = match &self.state {
            ClientState::ReceivingBody(request) => request.body.len(),
            _ => 0,
        };
        self.received.len() + body_bytes
    }
}
