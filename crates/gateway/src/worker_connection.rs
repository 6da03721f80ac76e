//! One connection to a worker: the call that it carries, and the response that arrives on it.

use bytes::{Bytes, BytesMut};
use tideroute::types::{RequestId, WorkerId};
use tideroute_http::{Body, Framing, HttpError};
use tideroute_wire::{Address, Micros};

use crate::event_stream::EventStream;
use crate::headers;
use crate::memory::{ChargedBuffer, MemoryBudget, MemoryCharge};
use crate::response_head::{ResponseHeadParser, RESPONSE_LIMITS};
use crate::timers::Timeout;

/// Maximum body size in bytes of a response that is not a stream.
const MAX_PLAIN_RESPONSE_BYTES: u64 = 256 << 10;

/// What a connection is used for now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Call {
    /// An attempt of a request.
    Attempt {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted within its request.
        number: u16,
        /// Whether a prefill worker processes the prompt; else the attempt decodes the response.
        is_prefill: bool,
        /// Whether the attempt decodes a request that must not run twice.
        is_non_idempotent: bool,
    },
    /// Requests a decode reservation.
    Reservation {
        /// The request that needs the reservation.
        id: RequestId,
    },
    /// Tells a worker to release what it holds for a request.
    Release {
        /// The request.
        id: RequestId,
    },
    /// A health check that the scheduler requested.
    HealthCheck {
        /// Identifies the health check.
        nonce: u64,
    },
    /// Checks whether the prefill worker of a request is alive.
    LivenessCheck {
        /// The request.
        id: RequestId,
    },
}

/// A response whose head has arrived.
pub struct IncomingResponse {
    status: u16,
    never_ran: bool,
    /// Whether the worker closes the connection after the response.
    pub closes_connection: bool,
    framing: Framing,
    body: Body,
}

/// One connection to a worker.
pub struct WorkerConnection {
    /// The worker at the other end.
    pub worker: WorkerId,
    /// The worker's address that the connection leads to.
    pub address: Address,
    /// The call that the connection carries; `None` while it is idle.
    pub call: Option<Call>,
    /// Whether the connection is established.
    pub is_connected: bool,
    /// Whether the last byte of the call has been written.
    pub is_written: bool,
    /// Whether the connection has carried a call before this one.
    pub is_reused: bool,
    /// When an attempt is given up if its last byte has not been written by then.
    pub dispatch_deadline: Micros,
    /// The decode worker to request a reservation from once the call is written.
    pub pending_reservation: Option<WorkerId>,
    /// Whether the response is being forwarded to the client.
    pub is_streaming: bool,
    /// Checks the events of a stream.
    pub events: EventStream,
    /// The start of a stream until its first event is complete; or a load report.
    pub buffered: ChargedBuffer,
    /// The timeout of the call, or of the idle connection.
    pub timeout: Timeout,
    /// When the connection was dialled.
    pub opened_at: Micros,
    /// When bytes last arrived on the connection; 0 for never.
    pub last_received_at: Micros,
    /// When the connection last became idle.
    pub idle_since: Micros,
    /// Microseconds for which the connection was idle before this call.
    pub idle_time: Micros,
    /// Bytes received that are not yet parsed.
    pub received: BytesMut,
    /// The charge for the received bytes.
    received_charge: Option<MemoryCharge>,
    /// Parses the head of the response to this call.
    head_parser: ResponseHeadParser,
    /// The response, once its head is parsed.
    pub response: Option<IncomingResponse>,
}

/// What a complete response states besides its body.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ResponseStatus {
    /// The HTTP status.
    pub status: u16,
    /// Whether the response states that the request has not run.
    pub never_ran: bool,
}

/// The next part of the bytes received on a connection.
pub enum ResponseEvent {
    /// More bytes have to arrive.
    Incomplete,
    /// The status of a response and a piece of its body.
    Body(u16, Bytes),
    /// The response is complete.
    Complete(ResponseStatus),
}

impl WorkerConnection {
    /// Creates a connection that is being dialled and has no call yet.
    pub fn new(worker: WorkerId, address: Address, now: Micros) -> WorkerConnection {
        WorkerConnection {
            worker,
            address,
            call: None,
            is_connected: false,
            is_written: false,
            is_reused: false,
            dispatch_deadline: Micros::MAX,
            pending_reservation: None,
            is_streaming: false,
            events: EventStream::default(),
            buffered: ChargedBuffer::default(),
            timeout: Timeout::NEVER,
            opened_at: now,
            last_received_at: 0,
            idle_since: 0,
            idle_time: 0,
            received: BytesMut::new(),
            received_charge: None,
            head_parser: ResponseHeadParser::default(),
            response: None,
        }
    }

    /// Begins a call on the connection, which has been idle since `idle_since` if it is reused.
    pub fn begin_call(&mut self, now: Micros, call: Call, is_reused: bool, dispatch_deadline: Micros) {
        self.call = Some(call);
        self.is_written = false;
        self.is_reused = is_reused;
        self.idle_time = if is_reused { now - self.idle_since } else { 0 };
        self.pending_reservation = None;
        self.is_streaming = false;
        self.events = EventStream::default();
        self.head_parser = ResponseHeadParser::default();
        self.dispatch_deadline = dispatch_deadline;
        self.timeout.clear();
    }

    /// Returns whether the connection's call is one that a draining worker must not receive.
    pub fn is_new_work(&self) -> bool {
        matches!(self.call, Some(Call::Attempt { .. } | Call::Reservation { .. }))
    }

    /// Returns whether the connection carries a decode attempt.
    pub fn is_decode_attempt(&self) -> bool {
        matches!(self.call, Some(Call::Attempt { is_prefill: false, .. }))
    }

    /// Appends received bytes.
    pub fn on_data(&mut self, bytes: &Bytes) {
        self.received.extend_from_slice(bytes);
    }

    /// Frees the buffer of received bytes, with the charge for it.
    pub fn free_received(&mut self) {
        self.received = BytesMut::new();
        self.received_charge = None;
    }

    /// Frees the received bytes that are parsed, and charges the others to `budget`. The last few would otherwise keep
    /// the whole buffer in memory. Returns false if memory is lacking to wait for the rest of a head.
    pub fn free_parsed_bytes(&mut self, budget: &MemoryBudget) -> bool {
        if self.received.is_empty() {
            self.free_received();
            return true;
        }
        if self.response.is_some() || self.head_parser.has_removed_bytes() {
            self.received = BytesMut::from(&self.received[..]);
        }
        let allocated = self.received.capacity();
        self.received_charge.get_or_insert_with(|| budget.charge(0)).resize(allocated);
        self.response.is_some() || !budget.would_exceed(0)
    }

    /// Parses the next part of the received bytes.
    pub fn next_event(&mut self) -> Result<ResponseEvent, HttpError> {
        if self.response.is_none() && !self.parse_head()? {
            return Ok(ResponseEvent::Incomplete);
        }
        let Some(response) = &mut self.response else { return Ok(ResponseEvent::Incomplete) };
        if let Some(piece) = response.body.next(&mut self.received)? {
            return Ok(ResponseEvent::Body(response.status, piece));
        }
        if !response.body.done() {
            return Ok(ResponseEvent::Incomplete);
        }
        Ok(ResponseEvent::Complete(response.status()))
    }

    /// Parses the head of the final response. False if it is not complete.
    fn parse_head(&mut self) -> Result<bool, HttpError> {
        let Some(head) = self.head_parser.next(&mut self.received)? else { return Ok(false) };
        let is_stream = self.is_decode_attempt() && head.status == 200;
        let max_body_bytes = if is_stream { RESPONSE_LIMITS.body } else { MAX_PLAIN_RESPONSE_BYTES };
        self.response = Some(IncomingResponse {
            status: head.status,
            never_ran: head.fields.one(headers::NEVER_RAN) == Some("1"),
            closes_connection: head.last,
            framing: head.framing,
            body: Body::new(head.framing, max_body_bytes),
        });
        Ok(true)
    }

    /// Returns whether no part of a response has arrived.
    pub fn is_silent(&self) -> bool {
        self.received.is_empty() && self.response.is_none()
    }

    /// Returns the response that is completed by the end of the connection, if its framing allows that and it is no stream
    /// of which events are missing.
    pub fn completed_by_close(&self) -> Option<ResponseStatus> {
        let response = self.response.as_ref().filter(|response| response.body.may_end())?;
        (!self.is_streaming || self.is_stream_whole()).then_some(response.status())
    }

    /// Returns whether a stream is whole, if its body ends here. The last chunk proves it; neither a length, which may be
    /// wrong, nor the end of the connection does, so in these framings the last event has to have arrived.
    pub fn is_stream_whole(&self) -> bool {
        match self.response.as_ref().map(|response| response.framing) {
            Some(Framing::Chunked) => self.events.is_between_lines(),
            _ => self.events.is_between_lines() && self.events.is_terminated(),
        }
    }

    /// Returns whether all events of a stream that ends with its connection have arrived. What follows them does not belong
    /// to the stream.
    pub fn awaits_only_close(&self) -> bool {
        let ends_with_connection =
            self.response.as_ref().is_some_and(|response| response.framing == Framing::ToEnd);
        ends_with_connection && self.events.is_terminated()
    }
}

impl IncomingResponse {
    fn status(&self) -> ResponseStatus {
        ResponseStatus { status: self.status, never_ran: self.never_ran }
    }
}
