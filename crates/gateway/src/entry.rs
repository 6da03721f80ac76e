//! Clients: their requests read, and told no where they can't be taken.

use bytes::{Buf, Bytes, BytesMut};
use metrics::counter;
use tideroute_http::{write, Body, Bounds, Framing, Request};
use tideroute_lifecycle::RequestState;
use tideroute_wire::link::{Link, Outbox};
use tideroute_wire::Micros;

use crate::ask::{is_json, Ask, Asked, Refusal};
use crate::clients::At;
use crate::exit::said;
use crate::program::{key, Platform, Ring};
use crate::rooms::{BODY, HEAD};
use crate::story::{self, State};
use crate::words;

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
    pub(crate) fn client_came(&mut self, now: Micros, link: Link, out: &mut Outbox) {
        if self.clients.len() >= self.terms.rooms.clients {
            match self.clients.longest_idle() {
                // One that is in the middle of its request is told why; one that says nothing is just closed.
                Some(idle) if self.clients.get(idle).is_some_and(|c| c.arrived.is_empty()) => {
                    self.clients.lose(idle);
                    out.close(idle, "idle, and others come");
                }
                Some(idle) => self.refuse(idle, Refusal(408, "others come, and this is not whole"), out),
                None => {
                    counter!("tideroute_clients_sent_away_total").increment(1);
                    return self.refuse(link, Refusal(503, "too many connections"), out);
                }
            }
        }
        let client = self.clients.accepted(link, now);
        client.patience.set(now + WHOLE, key(Ring::Client(link)), out);
    }

    pub(crate) fn client_heard(&mut self, now: Micros, link: Link, bytes: &Bytes, out: &mut Outbox) {
        let over = self.clients.held > self.terms.rooms.held;
        let Some(client) = self.clients.get_mut(link) else { return };
        let ahead = client.arrived.len() + bytes.len();
        if matches!(client.at, At::Response(..)) && (over || client.wasted > 0 || ahead > BEHIND) {
            return self.wasted(now, link, bytes.len(), out);
        }
        let begins = client.arrived.is_empty() && matches!(client.at, At::Head);
        client.arrived.extend_from_slice(bytes);
        if begins {
            client.patience.set(now + WHOLE, key(Ring::Client(link)), out);
        }
        self.requests(now, link, out);
    }

    /// A client's answer is complete: what came behind its request is looked at now, and has its time from now on.
    pub(crate) fn next_request(&mut self, now: Micros, link: Link, out: &mut Outbox) {
        if let Some(client) = self.clients.get_mut(link) {
            client.patience.set(now + WHOLE, key(Ring::Client(link)), out);
        }
        self.requests(now, link, out);
    }

    /// Takes as many requests as can be taken now: one that is open is answered before the next.
    pub(crate) fn requests(&mut self, now: Micros, link: Link, out: &mut Outbox) {
        for _ in 0..IN_A_ROW {
            let Some(client) = self.clients.get_mut(link) else { return };
            let more = match &mut client.at {
                At::Head => self.head(now, link, out),
                At::Body(_) => self.body(now, link, out),
                At::Response(..) => false,
            };
            self.clients.count(link);
            if !more {
                break;
            }
        }
        if self.clients.held > self.terms.rooms.held {
            let full = self.clients.get(link).is_some_and(|c| !matches!(c.at, At::Response(..)));
            if full {
                return self.refuse(link, Refusal(503, "no memory for one more request"), out);
            }
        }
        let Some(client) = self.clients.get_mut(link) else { return };
        if matches!(client.at, At::Head) && client.arrived.is_empty() && client.asked {
            client.patience.set(now + IDLE, key(Ring::Client(link)), out);
        }
    }

    /// So much came ahead of its turn and is not kept: after the open answer nothing more can be read there.
    fn wasted(&mut self, now: Micros, link: Link, bytes: usize, out: &mut Outbox) {
        let Some(client) = self.clients.get_mut(link) else { return };
        client.last = true;
        client.wasted += bytes + std::mem::take(&mut client.arrived).len();
        let without_end = client.wasted > WASTED;
        let streams = matches!(client.at, At::Response(.., true));
        self.clients.count(link);
        if without_end {
            let why = "sends without end while its request is open";
            counter!("tideroute_clients_sent_away_total").increment(1);
            self.client_gone(now, link, out);
            // The request that is open was read: it gets an answer.
            if !streams {
                out.send(link, said(400, 0, why, true));
            }
            out.close(link, why);
        }
    }

    /// The client has gone, and what is open for it goes with it.
    pub(crate) fn client_gone(&mut self, now: Micros, link: Link, out: &mut Outbox) {
        if let Some(id) = self.clients.lose(link) {
            if let Some(s) = self.lifecycle.requests.get(id) {
                story::tell(id, &s.asked.trace, State::ClientLeft);
            }
            let (lifecycle, mut exit) = self.parts(now, out);
            lifecycle.dropped(now, id, &mut exit);
        }
    }

    /// Takes a head. Whether there may be more to take now.
    fn head(&mut self, now: Micros, link: Link, out: &mut Outbox) -> bool {
        let Some(client) = self.clients.get_mut(link) else { return false };
        // RFC 9112, 2.2: empty lines before a request are passed over.
        while client.arrived.starts_with(b"\r\n") {
            client.arrived.advance(2);
        }
        let (request, length) = match tideroute_http::request(&client.arrived, &BOUNDS) {
            Ok(Some(head)) => head,
            Ok(None) => return false,
            Err(problem) => {
                let refusal = Refusal(problem.status(), "the request cannot be read");
                tracing::debug!(link = link.0, %problem, "a request that cannot be read");
                self.refuse(link, refusal, out);
                return false;
            }
        };
        client.arrived.advance(length);
        client.last = request.last;
        client.asked = true;
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", words::UP) if request.framing == Framing::Length(0) => {
                let up = self.is_up();
                let (status, what) = if up { (200, "up") } else { (503, "not now") };
                self.parts(now, out).1.say(link, status, 0, what);
                true
            }
            ("POST", words::CHAT) => self.request(link, request, out),
            (_, words::UP | words::CHAT) => {
                self.refuse(link, Refusal(405, "not with this method"), out);
                false
            }
            _ => {
                self.refuse(link, Refusal(404, "nothing is here"), out);
                false
            }
        }
    }

    /// The head of a submission: its body follows.
    fn request(&mut self, link: Link, request: Request, out: &mut Outbox) -> bool {
        let framing = request.framing;
        let continues = request.fields.one("expect").map(|e| e.eq_ignore_ascii_case("100-continue"));
        let ask = match Ask::read(request, &self.terms.lifecycle.classes) {
            Ok(ask) if continues != Some(false) => ask,
            Ok(_) => {
                self.refuse(link, Refusal(417, "what is expected is not known here"), out);
                return false;
            }
            Err(refusal) => {
                self.refuse(link, refusal, out);
                return false;
            }
        };
        if self.clients.is_open(&ask.trace) {
            self.refuse(link, Refusal(409, "a request with this x-trace-id is open"), out);
            return false;
        }
        if continues.is_some() {
            out.send(link, write::answer(100, [], b"", false));
        }
        let body = Body::new(framing, BODY as u64);
        if let Some(client) = self.clients.get_mut(link) {
            client.at = At::Body(Box::new((ask, body, BytesMut::new())));
        }
        true
    }

    fn body(&mut self, now: Micros, link: Link, out: &mut Outbox) -> bool {
        let Some(client) = self.clients.get_mut(link) else { return false };
        let At::Body(at) = &mut client.at else { return false };
        let (_, body, got) = at.as_mut();
        loop {
            match body.next(&mut client.arrived) {
                Ok(Some(piece)) if got.is_empty() && body.done() => *got = piece.into(),
                Ok(Some(piece)) => got.extend_from_slice(&piece),
                Ok(None) => break,
                Err(problem) => {
                    let refusal = Refusal(problem.status(), "the body cannot be read");
                    self.refuse(link, refusal, out);
                    return false;
                }
            }
        }
        if !body.done() {
            return false;
        }
        let At::Body(at) = std::mem::replace(&mut client.at, At::Head) else { return false };
        let (ask, _, got) = *at;
        self.whole(now, link, ask, got.freeze(), out)
    }

    /// A request is whole: the books take it, unless all that may be open is.
    fn whole(&mut self, now: Micros, link: Link, ask: Ask, body: Bytes, out: &mut Outbox) -> bool {
        if !is_json(&body) {
            self.refuse(link, Refusal(400, "the body is no JSON"), out);
            return false;
        }
        // The same id may have come on another connection while the body did.
        if self.clients.is_open(&ask.trace) {
            self.refuse(link, Refusal(409, "a request with this x-trace-id is open"), out);
            return false;
        }
        if let Some((why, after)) = self.lifecycle.untaken(false) {
            self.parts(now, out).1.say(link, 503, after, why);
            return true;
        }
        let left = self.lifecycle.left(ask.left).saturating_sub(self.terms.travel);
        let tokens = ask.prompt_tokens(body.len());
        let (trace, target, fields) = (ask.trace.clone(), ask.target, ask.fields);
        let asked = Asked { client: link, trace: ask.trace, target, fields, body };
        let s = RequestState::new(asked, ask.class, (ask.session, ask.prefix), tokens).waits(now, left);
        let id = self.lifecycle.requests.coming();
        story::tell(id, &trace, State::Taken);
        tracing::debug!(id, link = link.0, "takes a request");
        self.clients.asked(link, trace, id);
        let (lifecycle, mut exit) = self.parts(now, out);
        lifecycle.submitted(now, s, None, &mut exit);
        false
    }

    /// Tells a client no, and when to come back if that is for want of room, and ends its connection: nobody
    /// knows what else it would bring.
    pub(crate) fn refuse(&mut self, link: Link, Refusal(status, why): Refusal, out: &mut Outbox) {
        counter!("tideroute_refused_total", "status" => status.to_string()).increment(1);
        tracing::debug!(link = link.0, status, why, "refuses a request");
        let after = if status == 503 { self.lifecycle.advice() } else { 0 };
        out.send(link, said(status, after, why, true));
        self.clients.lose(link);
        out.close(link, why);
    }

    /// The wait for a client may be over.
    pub(crate) fn client_rang(&mut self, now: Micros, link: Link, out: &mut Outbox) {
        let Some(client) = self.clients.get_mut(link) else { return };
        if !client.patience.over(now, key(Ring::Client(link)), out) || matches!(client.at, At::Response(..)) {
            return;
        }
        if matches!(client.at, At::Head) && client.arrived.is_empty() {
            self.clients.lose(link);
            out.close(link, "idle");
        } else {
            self.refuse(link, Refusal(408, "the request was not whole in time"), out);
        }
    }
}
