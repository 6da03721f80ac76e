//! Clients: their requests read, and told no where they can't be taken.

use bytes::{Buf, Bytes, BytesMut};
use metrics::counter;
use tideroute_http::{write, Body, Bounds, Framing, Request};
use tideroute_lifecycle::RequestState;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::capacity::{BODY, HEAD};
use crate::clients::At;
use crate::egress::said;
use crate::gateway::Platform;
use crate::headers;
use crate::request_head::{is_json, Ask, Asked, Refusal};
use crate::request_trace::{self, State};
use crate::timers::TimerKey;

/// What a request may have.
const BOUNDS: Bounds = Bounds { head: HEAD, fields: 64, body: BODY as u64 };
/// Microseconds in which a request must be whole after its first byte, and in which a new connection must say
/// something: clients send theirs at once.
const WHOLE: Micros = 2_000_000;
/// Microseconds that a connection may stand idle between requests.
const IDLE: Micros = 15_000_000;
/// Bytes that are kept ahead of an open request: one more of the largest. What comes on top is read and thrown away,
/// for the end of a client that goes is seen behind it only.
const BEHIND: usize = HEAD + BODY + (8 << 10);
/// Bytes thrown away after which a client is sent away with its request: it sends without end.
const WASTED: usize = 1 << 20;
/// Requests that need no worker answered in one go on a connection.
const IN_A_ROW: usize = 16;

impl Platform {
    pub(crate) fn client_came(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        if self.clients.len() >= self.terms.rooms.clients {
            match self.clients.longest_idle() {
                // One that is in the middle of its request is told why; one that says nothing is just closed.
                Some(idle) if self.clients.get(idle).is_some_and(|c| c.arrived.is_empty()) => {
                    self.clients.lose(idle);
                    effects.close(idle, "idle, and others come");
                }
                Some(idle) => self.refuse(idle, Refusal(408, "others come, and this is not whole"), effects),
                None => {
                    counter!("tideroute_clients_sent_away_total").increment(1);
                    return self.refuse(connection, Refusal(503, "too many connections"), effects);
                }
            }
        }
        let client = self.clients.accepted(connection, now);
        client.timeout.set(now + WHOLE, TimerKey::Client(connection), effects);
    }

    pub(crate) fn client_heard(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &Bytes,
        effects: &mut Effects,
    ) {
        let over = self.clients.held > self.terms.rooms.held;
        let Some(client) = self.clients.get_mut(connection) else { return };
        let ahead = client.arrived.len() + bytes.len();
        if matches!(client.at, At::Response(..)) && (over || client.wasted > 0 || ahead > BEHIND) {
            return self.wasted(now, connection, bytes.len(), effects);
        }
        let begins = client.arrived.is_empty() && matches!(client.at, At::Head);
        client.arrived.extend_from_slice(bytes);
        if begins {
            client.timeout.set(now + WHOLE, TimerKey::Client(connection), effects);
        }
        self.requests(now, connection, effects);
    }

    /// A client's answer is complete: what came behind its request is looked at now, and has its time from now on.
    pub(crate) fn next_request(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        if let Some(client) = self.clients.get_mut(connection) {
            client.timeout.set(now + WHOLE, TimerKey::Client(connection), effects);
        }
        self.requests(now, connection, effects);
    }

    /// Takes as many requests as can be taken now: one that is open is answered before the next.
    pub(crate) fn requests(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        for _ in 0..IN_A_ROW {
            let Some(client) = self.clients.get_mut(connection) else { return };
            let more = match &mut client.at {
                At::Head => self.head(now, connection, effects),
                At::Body(_) => self.body(now, connection, effects),
                At::Response(..) => false,
            };
            self.clients.count(connection);
            if !more {
                break;
            }
        }
        if self.clients.held > self.terms.rooms.held {
            let full = self.clients.get(connection).is_some_and(|c| !matches!(c.at, At::Response(..)));
            if full {
                return self.refuse(connection, Refusal(503, "no memory for one more request"), effects);
            }
        }
        let Some(client) = self.clients.get_mut(connection) else { return };
        if matches!(client.at, At::Head) && client.arrived.is_empty() && client.asked {
            client.timeout.set(now + IDLE, TimerKey::Client(connection), effects);
        }
    }

    /// So much came ahead of its turn and is not kept: after the open answer nothing more can be read there.
    fn wasted(&mut self, now: Micros, connection: ConnectionId, bytes: usize, effects: &mut Effects) {
        let Some(client) = self.clients.get_mut(connection) else { return };
        client.last = true;
        client.wasted += bytes + std::mem::take(&mut client.arrived).len();
        let without_end = client.wasted > WASTED;
        let streams = matches!(client.at, At::Response(.., true));
        self.clients.count(connection);
        if without_end {
            let why = "sends without end while its request is open";
            counter!("tideroute_clients_sent_away_total").increment(1);
            self.client_gone(now, connection, effects);
            // The request that is open was read: it gets an answer.
            if !streams {
                effects.send(connection, said(400, 0, why, true));
            }
            effects.close(connection, why);
        }
    }

    /// The client has gone, and what is open for it goes with it.
    pub(crate) fn client_gone(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        if let Some(id) = self.clients.lose(connection) {
            if let Some(s) = self.lifecycle.requests.get(id) {
                request_trace::tell(id, &s.context.trace, State::ClientLeft);
            }
            let (lifecycle, mut exit) = self.parts(now, effects);
            lifecycle.client_disconnected(now, id, &mut exit);
        }
    }

    /// Takes a head. Whether there may be more to take now.
    fn head(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) -> bool {
        let Some(client) = self.clients.get_mut(connection) else { return false };
        // RFC 9112, 2.2: empty lines before a request are passed over.
        while client.arrived.starts_with(b"\r\n") {
            client.arrived.advance(2);
        }
        let (request, length) = match tideroute_http::request(&client.arrived, &BOUNDS) {
            Ok(Some(head)) => head,
            Ok(None) => return false,
            Err(problem) => {
                let refusal = Refusal(problem.status(), "the request cannot be read");
                tracing::debug!(connection = connection.0, %problem, "a request that cannot be read");
                self.refuse(connection, refusal, effects);
                return false;
            }
        };
        client.arrived.advance(length);
        client.last = request.last;
        client.asked = true;
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", headers::UP) if request.framing == Framing::Length(0) => {
                let up = self.is_up();
                let (status, what) = if up { (200, "up") } else { (503, "not now") };
                self.parts(now, effects).1.say(connection, status, 0, what);
                true
            }
            ("POST", headers::CHAT) => self.request(connection, request, effects),
            (_, headers::UP | headers::CHAT) => {
                self.refuse(connection, Refusal(405, "not with this method"), effects);
                false
            }
            _ => {
                self.refuse(connection, Refusal(404, "nothing is here"), effects);
                false
            }
        }
    }

    /// The head of a submission: its body follows.
    fn request(&mut self, connection: ConnectionId, request: Request, effects: &mut Effects) -> bool {
        let framing = request.framing;
        let continues = request.fields.one("expect").map(|e| e.eq_ignore_ascii_case("100-continue"));
        let ask = match Ask::read(request, &self.terms.lifecycle.classes) {
            Ok(ask) if continues != Some(false) => ask,
            Ok(_) => {
                self.refuse(connection, Refusal(417, "what is expected is not known here"), effects);
                return false;
            }
            Err(refusal) => {
                self.refuse(connection, refusal, effects);
                return false;
            }
        };
        if self.clients.is_open(&ask.trace) {
            self.refuse(connection, Refusal(409, "a request with this x-trace-id is open"), effects);
            return false;
        }
        if continues.is_some() {
            effects.send(connection, write::answer(100, [], b"", false));
        }
        let body = Body::new(framing, BODY as u64);
        if let Some(client) = self.clients.get_mut(connection) {
            client.at = At::Body(Box::new((ask, body, BytesMut::new())));
        }
        true
    }

    fn body(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) -> bool {
        let Some(client) = self.clients.get_mut(connection) else { return false };
        let At::Body(at) = &mut client.at else { return false };
        let (_, body, got) = at.as_mut();
        loop {
            match body.next(&mut client.arrived) {
                Ok(Some(piece)) if got.is_empty() && body.done() => *got = piece.into(),
                Ok(Some(piece)) => got.extend_from_slice(&piece),
                Ok(None) => break,
                Err(problem) => {
                    let refusal = Refusal(problem.status(), "the body cannot be read");
                    self.refuse(connection, refusal, effects);
                    return false;
                }
            }
        }
        if !body.done() {
            return false;
        }
        let At::Body(at) = std::mem::replace(&mut client.at, At::Head) else { return false };
        let (ask, _, got) = *at;
        self.whole(now, connection, ask, got.freeze(), effects)
    }

    /// A request is whole: the books take it, unless all that may be open is.
    fn whole(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        ask: Ask,
        body: Bytes,
        effects: &mut Effects,
    ) -> bool {
        if !is_json(&body) {
            self.refuse(connection, Refusal(400, "the body is no JSON"), effects);
            return false;
        }
        // The same id may have come on another connection while the body did.
        if self.clients.is_open(&ask.trace) {
            self.refuse(connection, Refusal(409, "a request with this x-trace-id is open"), effects);
            return false;
        }
        if let Some((why, after)) = self.lifecycle.rejection(false) {
            self.parts(now, effects).1.say(connection, 503, after, why);
            return true;
        }
        let left = self.lifecycle.remaining_time(ask.left).saturating_sub(self.terms.travel);
        let tokens = ask.prompt_tokens(body.len());
        let (trace, target, fields) = (ask.trace.clone(), ask.target, ask.fields);
        let asked = Asked { client: connection, trace: ask.trace, target, fields, body };
        let s =
            RequestState::new(asked, ask.class, (ask.session, ask.prefix), tokens).with_deadline(now, left);
        let id = self.lifecycle.requests.next_id();
        request_trace::tell(id, &trace, State::Taken);
        tracing::debug!(id, connection = connection.0, "takes a request");
        self.clients.asked(connection, trace, id);
        let (lifecycle, mut exit) = self.parts(now, effects);
        lifecycle.accept(now, s, None, &mut exit);
        false
    }

    /// Tells a client no, and when to come back if that is for want of room, and ends its connection: nobody
    /// knows what else it would bring.
    pub(crate) fn refuse(
        &mut self,
        connection: ConnectionId,
        Refusal(status, why): Refusal,
        effects: &mut Effects,
    ) {
        counter!("tideroute_refused_total", "status" => status.to_string()).increment(1);
        tracing::debug!(connection = connection.0, status, why, "refuses a request");
        let after = if status == 503 { self.lifecycle.retry_after() } else { 0 };
        effects.send(connection, said(status, after, why, true));
        self.clients.lose(connection);
        effects.close(connection, why);
    }

    /// The wait for a client may be over.
    pub(crate) fn client_rang(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        let Some(client) = self.clients.get_mut(connection) else { return };
        if !client.timeout.has_expired(now, TimerKey::Client(connection), effects)
            || matches!(client.at, At::Response(..))
        {
            return;
        }
        if matches!(client.at, At::Head) && client.arrived.is_empty() {
            self.clients.lose(connection);
            effects.close(connection, "idle");
        } else {
            self.refuse(connection, Refusal(408, "the request was not whole in time"), effects);
        }
    }
}
