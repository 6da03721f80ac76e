//! One connection to a worker: the call that it carries, and the response that arrives on it.

use bytes::{Bytes, BytesMut};
use tideroute::types::{RequestId, WorkerId};
use tideroute_http::{Body, HttpError, Limits};
use tideroute_wire::{Address, Micros};

use crate::headers;
use crate::timers::Timeout;

/// What the head of a worker's response may have, and the bytes that a stream may have.
const RESPONSE_LIMITS: Limits = Limits { head: 16 << 10, fields: 64, body: u64::MAX >> 1 };
/// Bytes of a response that is no stream.
const MAX_PLAIN_RESPONSE_BYTES: u64 = 256 << 10;
/// Interim responses (1xx) before the final one.
const MAX_INTERIM_RESPONSES: u8 = 16;

/// What a connection is used for now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Call {
    /// An attempt of a request.
    Attempt {
        /// The request.
        id: RequestId,
        /// Counts the request's attempts.
        number: u16,
        /// A prefill worker is to read the prompt; else the response is to be decoded.
        is_prefill: bool,
        /// It decodes a request that must not run twice.
        is_non_idempotent: bool,
    },
    /// Asks a decode worker for a reservation.
    Reservation {
        /// The request that it is for.
        id: RequestId,
    },
    /// Tells a worker to release what is reserved.
    Release {
        /// The request that it was reserved for.
        id: RequestId,
    },
    /// A health check that the scheduler asked for.
    HealthCheck {
        /// Tells the answer from those to other health checks.
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
    /// The worker closes the connection after it.
    pub closes_connection: bool,
    body: Body,
}

/// One connection to a worker.
pub struct WorkerConnection {
    /// Who is reached by it.
    pub worker: WorkerId,
    /// Where it was dialled.
    pub to: Address,
    /// What it is used for; none while it is idle.
    pub call: Option<Call>,
    /// It is established, and not only dialled.
    pub is_connected: bool,
    /// The last byte of the call has been written.
    pub is_written: bool,
    /// It has carried a call before this one.
    pub is_reused: bool,
    /// The last byte of the call is written by then, or the call is given up.
    pub dispatch_deadline: Micros,
    /// The decode worker that is asked for a reservation once the call is written.
    pub pending_reservation: Option<WorkerId>,
    /// The response is forwarded to the client.
    pub is_streaming: bool,
    /// The start of a stream until its first event is complete; or a load report.
    pub buffered: BytesMut,
    /// How long the connection is waited for.
    pub timeout: Timeout,
    /// When it was dialled.
    pub opened_at: Micros,
    /// When bytes last arrived on it; 0 for never.
    pub last_received_at: Micros,
    /// Since when it was last idle.
    pub idle_since: Micros,
    /// How long it had been idle before this call.
    pub idle_time: Micros,
    /// Bytes received that are not yet parsed.
    pub received: BytesMut,
    /// Interim responses to this call so far.
    pub interim_responses: u8,
    /// The response, once its head is parsed.
    pub response: Option<IncomingResponse>,
}

/// What a complete response says beside its body.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ResponseStatus {
    /// The HTTP status.
    pub status: u16,
    /// It proves that the request has not run.
    pub never_ran: bool,
}

/// The next part of what has arrived on a connection.
pub enum ResponseEvent {
    /// More bytes have to arrive.
    Incomplete,
    /// A piece of the body of a response with that status.
    Body(u16, Bytes),
    /// The response is complete.
    Complete(ResponseStatus),
}

impl WorkerConnection {
    /// A connection that is being dialled and has no call yet.
    pub fn new(worker: WorkerId, to: Address, now: Micros) -> WorkerConnection {
        WorkerConnection {
            worker,
            to,
            call: None,
            is_connected: false,
            is_written: false,
            is_reused: false,
            dispatch_deadline: Micros::MAX,
            pending_reservation: None,
            is_streaming: false,
            buffered: BytesMut::new(),
            timeout: Timeout::NEVER,
            opened_at: now,
            last_received_at: 0,
            idle_since: 0,
            idle_time: 0,
            received: BytesMut::new(),
            interim_responses: 0,
            response: None,
        }
    }

    /// Begins a call on the connection, which was idle since `idle_since` if it has carried one before.
    pub fn begin_call(&mut self, now: Micros, call: Call, is_reused: bool, dispatch_deadline: Micros) {
        self.call = Some(call);
        self.is_written = false;
        self.is_reused = is_reused;
        self.idle_time = if is_reused { now - self.idle_since } else { 0 };
        self.pending_reservation = None;
        self.is_streaming = false;
        self.interim_responses = 0;
        self.dispatch_deadline = dispatch_deadline;
        self.timeout.clear();
    }

    /// Whether its call is one that a draining worker must not get.
    pub fn is_new_work(&self) -> bool {
        matches!(self.call, Some(Call::Attempt { .. } | Call::Reservation { .. }))
    }

    /// Whether it carries an attempt to be decoded.
    pub fn is_decode_attempt(&self) -> bool {
        matches!(self.call, Some(Call::Attempt { is_prefill: false, .. }))
    }

    /// Takes bytes as they were received.
    pub fn on_data(&mut self, bytes: &Bytes) {
        self.received.extend_from_slice(bytes);
    }

    /// Parses the next part of what has been received.
    pub fn next_event(&mut self) -> Result<ResponseEvent, HttpError> {
        while self.response.is_none() {
            if !self.parse_head()? {
                return Ok(ResponseEvent::Incomplete);
            }
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

    /// Parses one head, of the final response or of an interim one. False if it is not complete.
    fn parse_head(&mut self) -> Result<bool, HttpError> {
        let Some((head, length)) = tideroute_http::response(&self.received, &RESPONSE_LIMITS)? else {
            return Ok(false);
        };
        let _ = self.received.split_to(length);
        if (100..200).contains(&head.status) {
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM_RESPONSES {
                return Err(HttpError::HeadTooLarge(RESPONSE_LIMITS.head));
            }
            return Ok(true);
        }
        let is_stream = self.is_decode_attempt() && head.status == 200;
        let max_body_bytes = if is_stream { RESPONSE_LIMITS.body } else { MAX_PLAIN_RESPONSE_BYTES };
        self.response = Some(IncomingResponse {
            status: head.status,
            never_ran: head.fields.one(headers::NEVER_RAN) == Some("1"),
            closes_connection: head.last,
            body: Body::new(head.framing, max_body_bytes),
        });
        Ok(true)
    }

    /// Whether no part of a response has arrived.
    pub fn is_silent(&self) -> bool {
        self.received.is_empty() && self.response.is_none()
    }

    /// The response that the end of the connection completes, if it does.
    pub fn completed_by_close(&self) -> Option<ResponseStatus> {
        let response = self.response.as_ref().filter(|response| response.body.may_end())?;
        Some(response.status())
    }
}

impl IncomingResponse {
    fn status(&self) -> ResponseStatus {
        ResponseStatus { status: self.status, never_ran: self.never_ran }
    }
}
