//! The open watch at discovery: one answer that never ends, a JSON object for each change.
//!
//! Whatever call fails or is given up, what discovery has is heard well within the six seconds after which it counts
//! as told: a watch that falls silent is ended after [`SILENCE`], the next call after [`AGAIN_MOST`] at the latest,
//! and a call that nobody takes or answers after [`DIAL`] or [`FIRST`]: 3 + 0.4 + 1 + 0.4 s with one call in vain.

use bytes::{Bytes, BytesMut};
use tideroute_http::{write, Body, Bounds, Problem};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{Address, Micros};

use crate::headers;
use crate::json_splitter::{NoObject, Objects};
use crate::timers::Timeout;
use crate::timers::TimerKey;

const BOUNDS: Bounds = Bounds { head: 16 << 10, fields: 64, body: u64::MAX >> 1 };
/// Bytes of one object: a list of some thousands of workers.
const OBJECT: usize = 2 << 20;
/// Microseconds that a dial to the agent on the same machine may take.
const DIAL: Micros = 500_000;
/// Microseconds in which a call must be answered: the agent has at hand what it answers with.
const FIRST: Micros = 1_000_000;
/// Microseconds without an object or an empty line after which the watch is opened anew, and in which an object that
/// has begun must be whole; an empty line comes every two seconds.
const SILENCE: Micros = 3_000_000;
/// Microseconds until the next try after a watch ended; doubled up to the second one while none succeeds.
const AGAIN: Micros = 100_000;
const AGAIN_MOST: Micros = 400_000;

/// Why a watch can't be heard.
#[derive(Debug, thiserror::Error)]
pub enum Unheard {
    #[error(transparent)]
    Http(#[from] Problem),
    #[error(transparent)]
    Json(#[from] NoObject),
}

#[derive(Debug)]
pub struct Watch {
    connection: Option<ConnectionId>,
    body: Option<Body>,
    arrived: BytesMut,
    objects: Objects,
    timeout: Timeout,
    pause: Micros,
}

impl Default for Watch {
    fn default() -> Self {
        let (arrived, objects) = (BytesMut::new(), Objects::default());
        Watch { connection: None, body: None, arrived, objects, timeout: Timeout::NEVER, pause: AGAIN }
    }
}

impl Watch {
    pub fn is(&self, connection: ConnectionId) -> bool {
        self.connection == Some(connection)
    }

    /// Opens the watch for changes after that version, unless it is open.
    pub fn begin(&mut self, now: Micros, to: Address, version: u64, effects: &mut Effects) {
        if self.connection.is_some() {
            return;
        }
        let connection = effects.connect(to, DIAL);
        let target = format!("{}{version}", headers::WATCH);
        effects.send(connection, write::request("GET", &target, [("host", "discovery")], None));
        self.connection = Some(connection);
        self.timeout.set(now + FIRST, TimerKey::DiscoveryWatch, effects);
    }

    /// The objects that are whole now, however they are broken into lines; empty lines only show that discovery is
    /// there.
    pub fn heard(
        &mut self,
        now: Micros,
        bytes: &Bytes,
        effects: &mut Effects,
    ) -> Result<Vec<Bytes>, Unheard> {
        self.arrived.extend_from_slice(bytes);
        while self.body.is_none() {
            let Some((head, length)) = tideroute_http::answer(&self.arrived, &BOUNDS)? else {
                return Ok(vec![]);
            };
            let _ = self.arrived.split_to(length);
            if head.status == 200 {
                self.body = Some(Body::new(head.framing, BOUNDS.body));
                self.timeout.set(now + SILENCE, TimerKey::DiscoveryWatch, effects);
            } else if head.status >= 200 {
                return Err(Problem::Version.into());
            }
        }
        let Some(body) = &mut self.body else { return Ok(vec![]) };
        let pending = !self.objects.is_empty();
        let mut whole = vec![];
        while let Some(piece) = body.next(&mut self.arrived)? {
            self.objects.push(&piece);
            while let Some(object) = self.objects.next()? {
                whole.push(object);
            }
        }
        if self.objects.len() > OBJECT {
            return Err(Problem::BodyTooLarge(OBJECT as u64).into());
        }
        // Guards against an object that is never whole, behind which empty lines still come.
        if self.objects.is_empty() || !whole.is_empty() || !pending {
            self.timeout.set(now + SILENCE, TimerKey::DiscoveryWatch, effects);
        }
        // It works: the next loss is tried again soon.
        self.pause = AGAIN;
        Ok(whole)
    }

    /// The watch has ended, or is to end: a new one is opened after a pause.
    pub fn end(&mut self, now: Micros, effects: &mut Effects) {
        if let Some(connection) = self.connection.take() {
            effects.abort(connection);
        }
        (self.body, self.arrived, self.objects) = (None, BytesMut::new(), Objects::default());
        self.timeout.set(now + self.pause, TimerKey::DiscoveryWatch, effects);
        self.pause = (self.pause * 2).min(AGAIN_MOST);
    }

    /// A timer rang: whether the watch is to be opened now.
    pub fn rang(&mut self, now: Micros, effects: &mut Effects) -> bool {
        if !self.timeout.has_expired(now, TimerKey::DiscoveryWatch, effects) {
            return false;
        }
        if self.connection.is_some() {
            tracing::warn!("discovery is silent; the watch is opened anew");
            self.end(now, effects);
        }
        self.connection.is_none()
    }
}
