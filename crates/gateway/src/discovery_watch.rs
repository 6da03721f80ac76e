//! The watch at discovery: one HTTP response that never ends, with a JSON object for each change of the endpoint list.
//!
//! Whatever call fails or is given up, a change is received well within the six seconds after which a router counts as
//! notified: a watch that falls silent is ended after [`SILENCE_TIMEOUT`], the next call is made after [`MAX_BACKOFF`]
//! at the latest, and a call that nobody accepts or answers is given up after [`CONNECT_TIMEOUT`] or
//! [`RESPONSE_TIMEOUT`]: 3 + 0.4 + 1 + 0.4 s with one call in vain.

use bytes::{Bytes, BytesMut};
use tideroute_http::{write, Body, HttpError, Limits};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{Address, Micros};

use crate::headers;
use crate::json_splitter::{JsonSplitter, NotJson};
use crate::timers::{Timeout, TimerKey};

const RESPONSE_LIMITS: Limits = Limits { head: 16 << 10, fields: 64, body: u64::MAX >> 1 };
/// Bytes of one object: a list of some thousands of workers.
const MAX_OBJECT_BYTES: usize = 2 << 20;
/// Microseconds to connect to the agent on the same machine.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Microseconds in which a call must be answered: the agent has at hand what it answers with.
const RESPONSE_TIMEOUT: Micros = 1_000_000;
/// Microseconds without an object or an empty line after which the watch is opened again, and in which an object that
/// has begun must be complete; an empty line comes every two seconds.
const SILENCE_TIMEOUT: Micros = 3_000_000;
/// Microseconds until the next call after a watch has ended; doubled up to [`MAX_BACKOFF`] while none succeeds.
const MIN_BACKOFF: Micros = 100_000;
const MAX_BACKOFF: Micros = 400_000;

/// Why what a watch brings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The response is no sound HTTP, or a refusal.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The body is no stream of JSON objects.
    #[error(transparent)]
    Json(#[from] NotJson),
}

/// The watch, open or waiting to be opened again.
#[derive(Debug)]
pub struct DiscoveryWatch {
    connection: Option<ConnectionId>,
    /// Decodes the response's body, once its head is there.
    decoder: Option<Body>,
    received: BytesMut,
    splitter: JsonSplitter,
    timeout: Timeout,
    /// How long the next pause is.
    backoff: Micros,
}

impl Default for DiscoveryWatch {
    fn default() -> Self {
        DiscoveryWatch {
            connection: None,
            decoder: None,
            received: BytesMut::new(),
            splitter: JsonSplitter::default(),
            timeout: Timeout::NEVER,
            backoff: MIN_BACKOFF,
        }
    }
}

impl DiscoveryWatch {
    /// Whether the watch is open on that connection.
    pub fn is_on(&self, connection: ConnectionId) -> bool {
        self.connection == Some(connection)
    }

    /// Opens the watch for changes after a version of the list, unless it is open.
    pub fn open(&mut self, now: Micros, to: Address, version: u64, effects: &mut Effects) {
        if self.connection.is_some() {
            return;
        }
        let connection = effects.connect(to, CONNECT_TIMEOUT);
        let target = format!("{}{version}", headers::WATCH_PATH);
        effects.send(connection, write::request("GET", &target, [("host", "discovery")], None));
        self.connection = Some(connection);
        self.timeout.set(now + RESPONSE_TIMEOUT, TimerKey::DiscoveryWatch, effects);
    }

    /// Takes received bytes and returns the objects that are complete now, however they are broken into lines. Empty
    /// lines only show that discovery is there.
    pub fn on_data(
        &mut self,
        now: Micros,
        bytes: &Bytes,
        effects: &mut Effects,
    ) -> Result<Vec<Bytes>, WatchError> {
        self.received.extend_from_slice(bytes);
        while self.decoder.is_none() {
            if !self.parse_head(now, effects)? {
                return Ok(vec![]);
            }
        }
        let was_pending = !self.splitter.is_empty();
        let objects = self.split_objects()?;
        if self.splitter.len() > MAX_OBJECT_BYTES {
            return Err(HttpError::BodyTooLarge(MAX_OBJECT_BYTES as u64).into());
        }
        // Guards against an object that is never complete, behind which empty lines still come.
        if self.splitter.is_empty() || !objects.is_empty() || !was_pending {
            self.timeout.set(now + SILENCE_TIMEOUT, TimerKey::DiscoveryWatch, effects);
        }
        // The watch works: after its next end it is opened again soon.
        self.backoff = MIN_BACKOFF;
        Ok(objects)
    }

    /// Parses one head, of the final response or of an interim one. False if it is not complete.
    fn parse_head(&mut self, now: Micros, effects: &mut Effects) -> Result<bool, WatchError> {
        let Some((head, length)) = tideroute_http::response(&self.received, &RESPONSE_LIMITS)? else {
            return Ok(false);
        };
        let _ = self.received.split_to(length);
        if head.status == 200 {
            self.decoder = Some(Body::new(head.framing, RESPONSE_LIMITS.body));
            self.timeout.set(now + SILENCE_TIMEOUT, TimerKey::DiscoveryWatch, effects);
        } else if head.status >= 200 {
            return Err(HttpError::Version.into());
        }
        Ok(true)
    }

    fn split_objects(&mut self) -> Result<Vec<Bytes>, WatchError> {
        let mut objects = vec![];
        let Some(decoder) = &mut self.decoder else { return Ok(objects) };
        while let Some(piece) = decoder.next(&mut self.received)? {
            self.splitter.push(&piece);
            while let Some(object) = self.splitter.next_object()? {
                objects.push(object);
            }
        }
        Ok(objects)
    }

    /// The watch has ended, or is to be ended: it is opened again after a pause.
    pub fn end(&mut self, now: Micros, effects: &mut Effects) {
        if let Some(connection) = self.connection.take() {
            effects.abort(connection);
        }
        self.decoder = None;
        self.received = BytesMut::new();
        self.splitter = JsonSplitter::default();
        self.timeout.set(now + self.backoff, TimerKey::DiscoveryWatch, effects);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// The watch's timer has fired: whether the watch is to be opened now.
    pub fn timer_fired(&mut self, now: Micros, effects: &mut Effects) -> bool {
        if !self.timeout.has_expired(now, TimerKey::DiscoveryWatch, effects) {
            return false;
        }
        if self.connection.is_some() {
            tracing::warn!("discovery is silent; the watch is reopened");
            self.end(now, effects);
        }
        self.connection.is_none()
    }
}
