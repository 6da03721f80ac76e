//! The open watch at discovery: one answer that never ends, a line for each change.

use bytes::{Bytes, BytesMut};
use tideroute_http::{write, Body, Bounds, Problem};
use tideroute_wire::link::{Link, Outbox};
use tideroute_wire::{Address, Micros};

use crate::patience::Patience;
use crate::program::{key, Ring};
use crate::words;

const BOUNDS: Bounds = Bounds { head: 16 << 10, fields: 64, body: u64::MAX >> 1 };
/// Bytes of one line: a list of some thousands of workers.
const LINE: usize = 2 << 20;
/// Microseconds that a dial to the agent on the same machine may take.
const DIAL: Micros = 1_000_000;
/// Microseconds without a byte after which the watch is opened anew; an empty line comes every two seconds.
const SILENCE: Micros = 5_000_000;
/// Microseconds until the next try after a watch ended; doubled up to the second one while none succeeds.
const AGAIN: Micros = 100_000;
const AGAIN_MOST: Micros = 1_000_000;

#[derive(Debug)]
pub struct Watch {
    link: Option<Link>,
    body: Option<Body>,
    arrived: BytesMut,
    line: BytesMut,
    patience: Patience,
    pause: Micros,
}

impl Default for Watch {
    fn default() -> Self {
        let (arrived, line) = (BytesMut::new(), BytesMut::new());
        Watch { link: None, body: None, arrived, line, patience: Patience::ENDLESS, pause: AGAIN }
    }
}

impl Watch {
    pub fn is(&self, link: Link) -> bool {
        self.link == Some(link)
    }

    /// Opens the watch for changes after that version, unless it is open.
    pub fn begin(&mut self, now: Micros, to: Address, version: u64, out: &mut Outbox) {
        if self.link.is_some() {
            return;
        }
        let link = out.dial(to, DIAL);
        let target = format!("{}{version}", words::WATCH);
        out.send(link, write::request("GET", &target, [("host", "discovery")], None));
        self.link = Some(link);
        self.patience.set(now + SILENCE, key(Ring::Watch), out);
    }

    /// The lines that are whole now; empty ones only show that discovery is there.
    pub fn heard(&mut self, now: Micros, bytes: &Bytes, out: &mut Outbox) -> Result<Vec<Bytes>, Problem> {
        self.arrived.extend_from_slice(bytes);
        self.patience.set(now + SILENCE, key(Ring::Watch), out);
        while self.body.is_none() {
            let Some((head, length)) = tideroute_http::answer(&self.arrived, &BOUNDS)? else {
                return Ok(vec![]);
            };
            let _ = self.arrived.split_to(length);
            if head.status == 200 {
                self.body = Some(Body::new(head.framing, BOUNDS.body));
            } else if head.status >= 200 {
                return Err(Problem::Version);
            }
        }
        let Some(body) = &mut self.body else { return Ok(vec![]) };
        let mut lines = vec![];
        while let Some(piece) = body.next(&mut self.arrived)? {
            self.line.extend_from_slice(&piece);
            while let Some(end) = self.line.iter().position(|b| *b == b'\n') {
                let line = self.line.split_to(end + 1);
                lines.push(line.freeze());
            }
            if self.line.len() > LINE {
                return Err(Problem::BodyTooLarge(LINE as u64));
            }
        }
        lines.retain(|line| !line.trim_ascii().is_empty());
        // It works: the next loss is tried again soon.
        self.pause = AGAIN;
        Ok(lines)
    }

    /// The watch has ended, or is to end: a new one is opened after a pause.
    pub fn end(&mut self, now: Micros, out: &mut Outbox) {
        if let Some(link) = self.link.take() {
            out.cut(link);
        }
        (self.body, self.arrived, self.line) = (None, BytesMut::new(), BytesMut::new());
        self.patience.set(now + self.pause, key(Ring::Watch), out);
        self.pause = (self.pause * 2).min(AGAIN_MOST);
    }

    /// A timer rang: whether the watch is to be opened now.
    pub fn rang(&mut self, now: Micros, out: &mut Outbox) -> bool {
        if !self.patience.over(now, key(Ring::Watch), out) {
            return false;
        }
        if self.link.is_some() {
            tracing::warn!("discovery is silent; the watch is opened anew");
            self.end(now, out);
        }
        self.link.is_none()
    }
}
