//! One client's connection, and the state of the request on it.

use std::sync::Arc;

use bytes::BytesMut;
use tideroute::types::RequestId;
use tideroute_http::Body;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::body_buffer::BodyBuffer;
use crate::memory::MemoryCharge;
use crate::refused_requests::RefusedRequests;
use crate::request_head::{RequestHead, REQUEST_LIMITS};
use crate::timers::Timeout;

/// A buffer is freed when it is this many times as large as the bytes in it that are not parsed yet.
const PARSED_BUFFER_FACTOR: usize = 4;

/// What a client's connection waits for.
pub enum ClientState {
    /// The next request's head; the part received so far is in [`ClientConnection::received`].
    AwaitingHead,
    /// The rest of a request's body.
    ReceivingBody(Box<PartialRequest>),
    /// The rest of the body of a request that was refused; it is discarded.
    DiscardingBody(Body),
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

/// Whether more of a connection's received bytes may be parsed now.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Another request may have been received.
    More,
    /// More bytes have to arrive, a request is open, or the connection is closed.
    Wait,
    /// The client has to read the responses that it has been sent.
    Congested,
}

/// A request whose body is not yet complete.
pub struct PartialRequest {
    /// The request's head.
    pub head: RequestHead,
    /// Decodes the body's framing.
    pub decoder: Body,
    /// The body so far.
    pub body: BodyBuffer,
}

/// One client's connection.
pub struct ClientConnection {
    /// What the connection waits for.
    pub state: ClientState,
    /// Bytes received that are not yet parsed; [`receive`](Self::receive) appends to them.
    pub received: BytesMut,
    /// Bytes allocated for `received`.
    received_allocation: usize,
    /// The timeout of the request being received, or of the idle connection.
    pub timeout: Timeout,
    /// Whether responses wait because the client does not read them.
    pub is_congested: bool,
    /// Whether nothing is read from the connection, because requests that have been received wait for their turn.
    pub is_reading_paused: bool,
    /// Whether the connection is closed after the next response.
    pub closes_after_response: bool,
    /// Number of bytes discarded because they arrived while a request was open.
    pub discarded_bytes: usize,
    /// The requests in the discarded bytes, which are answered after the open request.
    pub refused: Option<RefusedRequests>,
    /// Whether the head of a request has been received on the connection.
    pub has_sent_request: bool,
    /// Since when the connection has had no open request; `None` while one is open.
    pub(crate) idle_since: Option<Micros>,
    /// The charge for the requests being received on the connection.
    pub(crate) charge: MemoryCharge,
}

impl ClientConnection {
    /// Creates a connection that has just been accepted; `charge` is for the requests received on it.
    pub fn new(now: Micros, charge: MemoryCharge) -> ClientConnection {
        ClientConnection {
            state: ClientState::AwaitingHead,
            received: BytesMut::new(),
            received_allocation: 0,
            timeout: Timeout::NEVER,
            is_congested: false,
            is_reading_paused: false,
            closes_after_response: false,
            discarded_bytes: 0,
            refused: None,
            has_sent_request: false,
            idle_since: Some(now),
            charge,
        }
    }

    /// Pauses or resumes reading from the connection, unless that is its state already.
    pub fn pause_reading(&mut self, connection: ConnectionId, paused: bool, effects: &mut Effects) {
        if paused != self.is_reading_paused {
            self.is_reading_paused = paused;
            effects.pause_reading(connection, paused);
        }
    }

    /// Returns whether no byte of a next request has been received and no request is open.
    pub fn has_no_request(&self) -> bool {
        self.received.is_empty() && self.refused.is_none() && matches!(self.state, ClientState::AwaitingHead)
    }

    /// Returns whether each request on the connection has been answered: none has begun, or the rest of one that was
    /// refused is being discarded.
    pub fn owes_no_response(&self) -> bool {
        self.has_no_request() || matches!(self.state, ClientState::DiscardingBody(_))
    }

    /// Returns whether a request is open.
    pub fn awaits_response(&self) -> bool {
        matches!(self.state, ClientState::AwaitingResponse { .. })
    }

    /// Returns whether the response to the open request has begun.
    pub fn is_streaming(&self) -> bool {
        matches!(self.state, ClientState::AwaitingResponse { is_streaming: true, .. })
    }

    /// Appends received bytes.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
        // Parsing shortens the buffer from its start, and its capacity with it, but not the allocation.
        self.received_allocation = self.received_allocation.max(self.received.capacity());
    }

    /// Inserts bytes before those received.
    pub fn prepend(&mut self, bytes: &[u8]) {
        let received = std::mem::take(&mut self.received);
        self.receive(bytes);
        self.receive(&received);
    }

    /// Discards the received bytes; the requests in them count as refused.
    pub fn refuse_received(&mut self) {
        let received = std::mem::take(&mut self.received);
        self.refused.get_or_insert_default().discard(&received, &REQUEST_LIMITS);
    }

    /// Frees the buffer of received bytes if most of it has been parsed: a few bytes would keep all of its memory.
    pub(crate) fn free_parsed_bytes(&mut self) {
        if self.received.len() * PARSED_BUFFER_FACTOR <= self.received_allocation {
            self.received = BytesMut::from(&self.received[..]);
            self.received_allocation = self.received.capacity();
        }
    }

    /// Returns the number of bytes allocated for requests that are being received.
    pub(crate) fn allocated_bytes(&self) -> usize {
        let body_bytes = match &self.state {
            ClientState::ReceivingBody(request) => request.body.allocated_bytes(),
            _ => 0,
        };
        self.received_allocation + body_bytes
    }
}
