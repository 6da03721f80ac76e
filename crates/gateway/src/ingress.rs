//! Parses the bytes that clients send into requests, which are admitted to the lifecycle or rejected.

use bytes::{Buf, Bytes};
use metrics::counter;
use tideroute_http::{write, Body, Framing, Request};
use tideroute_lifecycle::RequestState;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::body_buffer::BodyBuffer;
use crate::capacity::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::client_connection::{ClientConnection, ClientState, PartialRequest, Progress};
use crate::egress::text_response;
use crate::headers;
use crate::memory_refusals::NO_MEMORY;
use crate::request_context::RequestContext;
use crate::request_head::{is_json, Rejection, RequestHead, REQUEST_LIMITS};
use crate::request_trace::{self, TraceEvent};
use crate::state::GatewayState;
use crate::timers::TimerKey;

/// Microseconds in which a request must be complete after its first byte, and in which a new connection must send
/// something: clients send their requests at once.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// Microseconds that a connection may be idle between requests.
const IDLE_TIMEOUT: Micros = 15_000_000;
/// Maximum number of bytes kept that arrive while a request is open: one more request of the largest size. Further
/// bytes are read and discarded, because a disconnect is only seen once all bytes before it have been read.
const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + (8 << 10);
const DUPLICATE_TRACE_ID: Rejection = Rejection::new(409, "a request with this x-trace-id is open");
const EXECUTED_TRACE_ID: Rejection = Rejection::new(409, "a request with this x-trace-id may have run");

impl GatewayState {
    /// Accepts a client's connection. At the connection limit, the longest idle one is closed to make room.
    pub fn client_connected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        if self.clients.len() >= self.config.capacity.client_connections {
            let Some(idle) = self.clients.longest_idle() else {
                counter!("tideroute_clients_rejected_total").increment(1);
                return self.reject(connection, Rejection::new(503, "too many connections"), effects);
            };
            self.close_to_make_room(idle, effects);
        }
        let client = self.clients.insert(connection, now);
        client.timeout.set(now + REQUEST_TIMEOUT, TimerKey::Client(connection), effects);
    }

    /// Closes an idle connection to make room for another. A client that has sent part of a request gets a response;
    /// one that has sent nothing does not.
    fn close_to_make_room(&mut self, idle: ConnectionId, effects: &mut Effects) {
        if self.clients.get(idle).is_some_and(ClientConnection::owes_no_response) {
            self.clients.remove(idle);
            effects.close(idle, "idle; closed to make room for another client");
        } else {
            self.reject(idle, Rejection::new(408, "others come, and this is not whole"), effects);
        }
    }

    /// Handles bytes from a client.
    pub fn client_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &Bytes,
        effects: &mut Effects,
    ) {
        let lacks_memory = self.clients.lacks_memory_for(bytes.len());
        let Some(client) = self.clients.get_mut(connection) else { return };
        let pipelined_bytes = client.received.len() + bytes.len();
        let must_discard = lacks_memory || client.refused.is_some() || pipelined_bytes > MAX_PIPELINED_BYTES;
        if client.awaits_response() && must_discard {
            return self.discard(now, connection, bytes, effects);
        }
        let is_first_byte = client.has_no_request();
        client.receive(bytes);
        if is_first_byte {
            client.timeout.set(now + REQUEST_TIMEOUT, TimerKey::Client(connection), effects);
        }
        self.take_requests(now, connection, effects);
    }

    /// Parses what a client has sent after its request, once the response to that request is complete. The timeout of
    /// the next request starts now.
    pub fn next_request(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        if let Some(client) = self.clients.get_mut(connection) {
            client.timeout.set(now + REQUEST_TIMEOUT, TimerKey::Client(connection), effects);
        }
        self.take_requests(now, connection, effects);
    }

    /// Makes a client wait for its next turn. Until then nothing more is read from it: input at full speed would grow
    /// beyond any limit, as each turn may answer a single request.
    pub fn wait_for_turn(&mut self, connection: ConnectionId, effects: &mut Effects) {
        let Some(client) = self.clients.get_mut(connection) else { return };
        client.pause_reading(connection, true, effects);
        self.client_turns.wait(connection);
    }

    /// Parses requests until one is open, more bytes are needed, or the client's turn is over. An open request is answered
    /// before the next one is parsed.
    fn take_requests(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let mut progress = Progress::More;
        for _ in 0..self.client_turns.length() {
            self.client_turns.request_taken();
            progress = self.take_request(now, connection, effects);
            self.clients.account(connection);
            if progress != Progress::More {
                break;
            }
        }
        if self.clients.lacks_memory_for(0) {
            self.free_memory_of(connection, effects);
        }
        self.deferred.completed_clients.remove(&connection);
        self.client_turns.remove(connection);
        let Some(client) = self.clients.get_mut(connection) else { return };
        if progress == Progress::Wait && client.refused.is_some() && !client.awaits_response() {
            progress = Progress::More;
        }
        if progress == Progress::More {
            self.client_turns.wait(connection);
        }
        // While a request is open, everything is read: a disconnect is only seen once all bytes before it have been.
        client.pause_reading(connection, progress != Progress::Wait, effects);
        if client.has_no_request() && client.has_sent_request {
            client.timeout.set(now + IDLE_TIMEOUT, TimerKey::Client(connection), effects);
        }
    }

    /// Parses the next part of what a client has sent.
    fn take_request(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) -> Progress {
        let Some(client) = self.clients.get_mut(connection) else { return Progress::Wait };
        match client.state {
            ClientState::AwaitingResponse { .. } => Progress::Wait,
            _ if client.is_congested => Progress::Congested,
            _ if client.refused.is_some() => self.answer_refused(connection, effects),
            ClientState::AwaitingHead => self.take_head(now, connection, effects),
            ClientState::ReceivingBody(_) => self.take_body(now, connection, effects),
            ClientState::DiscardingBody(_) => self.discard_body(connection, effects),
        }
    }

    /// Handles a client that reads its responses too slowly, or reads fast enough again. No request of a client that does
    /// not read is parsed, since its response would only wait too.
    pub fn client_congestion_changed(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        is_congested: bool,
        effects: &mut Effects,
    ) {
        let Some(client) = self.clients.get_mut(connection) else { return };
        client.is_congested = is_congested;
        if !is_congested && !client.awaits_response() {
            self.next_request(now, connection, effects);
        }
    }

    /// Handles a client's disconnect: cancels its open request.
    pub fn client_disconnected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(id) = self.clients.remove(connection) else { return };
        if let Some(request) = self.lifecycle.requests.get(id) {
            request_trace::record(id, &request.context.trace_id, TraceEvent::ClientDisconnected);
        }
        let (lifecycle, mut egress) = self.lifecycle(now, effects);
        lifecycle.client_disconnected(now, id, &mut egress);
    }

    fn take_head(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) -> Progress {
        let Some(client) = self.clients.get_mut(connection) else { return Progress::Wait };
        // RFC 9112, section 2.2: empty lines before a request are ignored.
        while client.received.starts_with(b"\r\n") {
            client.received.advance(2);
        }
        let (request, length) = match tideroute_http::request(&client.received, &REQUEST_LIMITS) {
            Ok(Some(head)) => head,
            Ok(None) => return Progress::Wait,
            Err(problem) => {
                let rejection = Rejection::new(problem.status(), "the request cannot be read");
                tracing::debug!(connection = connection.0, %problem, "malformed request received; rejecting it");
                return self.reject_and_wait(connection, rejection, effects);
            }
        };
        client.received.advance(length);
        client.closes_after_response = request.last;
        client.has_sent_request = true;
        self.route_request(now, connection, request, effects)
    }

    fn route_request(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        request: Request,
        effects: &mut Effects,
    ) -> Progress {
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", headers::READY_PATH) if request.framing == Framing::Length(0) => {
                let (status, text) = if self.is_ready() { (200, "up") } else { (503, "not now") };
                self.egress(now, effects).respond_with_text(connection, status, 0, text);
                Progress::More
            }
            ("POST", headers::CHAT_PATH) => self.begin_body(connection, request, effects),
            (_, headers::READY_PATH | headers::CHAT_PATH) => {
                self.reject_and_wait(connection, Rejection::new(405, "not with this method"), effects)
            }
            _ => self.reject_and_wait(connection, Rejection::new(404, "nothing is here"), effects),
        }
    }

    /// Checks the head of a request whose body follows.
    fn begin_body(&mut self, connection: ConnectionId, request: Request, effects: &mut Effects) -> Progress {
        let decoder = Body::new(request.framing, MAX_BODY_BYTES as u64);
        let body_length = match request.framing {
            Framing::Length(length) => Some(length as usize),
            _ => None,
        };
        let expects_continue =
            request.fields.one("expect").map(|expectation| expectation.eq_ignore_ascii_case("100-continue"));
        let head = match RequestHead::parse(request, &self.config.lifecycle.classes) {
            Ok(head) => head,
            Err(rejection) => return self.reject_and_wait(connection, rejection, effects),
        };
        if expects_continue == Some(false) {
            let rejection = Rejection::new(417, "what is expected is not known here");
            return self.reject_and_wait(connection, rejection, effects);
        }
        if self.clients.is_open(&head.trace_id) {
            return self.reject_and_wait(connection, DUPLICATE_TRACE_ID, effects);
        }
        if self.clients.lacks_memory_for(body_length.unwrap_or(0)) {
            if expects_continue.is_some() {
                // The client may leave out the body, so that the start of its next request is unknown.
                return self.reject_and_wait(connection, NO_MEMORY, effects);
            }
            self.refuse_for_memory(connection, decoder, effects);
            return Progress::More;
        }
        if expects_continue.is_some() {
            effects.send(connection, write::response(100, [], b"", false));
        }
        if let Some(client) = self.clients.get_mut(connection) {
            let request = PartialRequest { head, decoder, body: BodyBuffer::new(body_length) };
            client.state = ClientState::ReceivingBody(Box::new(request));
        }
        Progress::More
    }

    fn take_body(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) -> Progress {
        let Some(client) = self.clients.get_mut(connection) else { return Progress::Wait };
        let ClientState::ReceivingBody(request) = &mut client.state else { return Progress::Wait };
        loop {
            match request.decoder.next(&mut client.received) {
                Ok(Some(piece)) => request.body.append(&piece),
                Ok(None) => break,
                Err(problem) => {
                    let rejection = Rejection::new(problem.status(), "the body cannot be read");
                    return self.reject_and_wait(connection, rejection, effects);
                }
            }
        }
        if !request.decoder.done() {
            return Progress::Wait;
        }
        let state = std::mem::replace(&mut client.state, ClientState::AwaitingHead);
        let ClientState::ReceivingBody(request) = state else { return Progress::Wait };
        self.admit(now, connection, request.head, request.body.into_bytes(), effects)
    }

    /// Admits a complete request to the lifecycle, unless the lifecycle sheds load.
    fn admit(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        head: RequestHead,
        body: Vec<u8>,
        effects: &mut Effects,
    ) -> Progress {
        if !is_json(&body) {
            return self.reject_and_wait(connection, Rejection::new(400, "the body is no JSON"), effects);
        }
        // A request with the same trace id may have arrived on another connection while the body was received.
        if self.clients.is_open(&head.trace_id) {
            return self.reject_and_wait(connection, DUPLICATE_TRACE_ID, effects);
        }
        if self.executed.may_have_run(now, &head.trace_id) {
            return self.reject_and_wait(connection, EXECUTED_TRACE_ID, effects);
        }
        if let Some(rejection) = self.lifecycle.check_capacity(false) {
            let text = rejection.reason.text();
            self.egress(now, effects).respond_with_text(connection, 503, rejection.retry_after, text);
            return Progress::More;
        }
        let trace_id = head.trace_id.clone();
        let request = self.request_state(now, connection, head, body);
        let id = self.lifecycle.requests.next_id();
        request_trace::record(id, &trace_id, TraceEvent::Admitted);
        tracing::debug!(id, connection = connection.0, "request admitted");
        self.clients.request_admitted(connection, trace_id, id);
        let (lifecycle, mut egress) = self.lifecycle(now, effects);
        lifecycle.accept(now, request, None, &mut egress);
        Progress::Wait
    }

    /// Returns the request as the lifecycle stores it.
    fn request_state(
        &self,
        now: Micros,
        client: ConnectionId,
        head: RequestHead,
        body: Vec<u8>,
    ) -> RequestState<RequestContext> {
        let remaining_time = self.lifecycle.remaining_time(head.remaining_time);
        let remaining_time = remaining_time.saturating_sub(self.config.travel_time);
        let prompt_tokens = head.prompt_tokens(body.len());
        let RequestHead { trace_id, class, session, prefix, target, headers, .. } = head;
        let body = self.clients.charge_body(body);
        let context = RequestContext { client, trace_id, target, headers, body };
        RequestState::new(context, class, (session, prefix), prompt_tokens).with_deadline(now, remaining_time)
    }

    /// Rejects a request, with Retry-After if capacity is lacking (status 503), and closes its connection, because the
    /// start of a next request on it may not be known.
    pub fn reject(&mut self, connection: ConnectionId, rejection: Rejection, effects: &mut Effects) {
        let Rejection { status, reason } = rejection;
        counter!("tideroute_invalid_requests_total", "status" => status.to_string()).increment(1);
        tracing::debug!(connection = connection.0, status, reason, "request rejected");
        let retry_after = if status == 503 { self.lifecycle.retry_after() } else { 0 };
        effects.send(connection, text_response(status, retry_after, reason, true));
        self.clients.remove(connection);
        effects.close(connection, reason);
    }

    fn reject_and_wait(
        &mut self,
        connection: ConnectionId,
        rejection: Rejection,
        effects: &mut Effects,
    ) -> Progress {
        self.reject(connection, rejection, effects);
        Progress::Wait
    }

    /// Handles the timer of a client's connection.
    pub fn client_timer_fired(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(client) = self.clients.get_mut(connection) else { return };
        let has_expired = client.timeout.has_expired(now, TimerKey::Client(connection), effects);
        if !has_expired || client.awaits_response() {
            return;
        }
        if client.has_no_request() {
            self.clients.remove(connection);
            effects.close(connection, "idle");
        } else if client.owes_no_response() {
            self.close_answered(connection, "the body of a refused request was not whole in time", effects);
        } else {
            let rejection = Rejection::new(408, "the request was not whole in time");
            self.reject(connection, rejection, effects);
        }
    }
}
