//! The watch at discovery: one HTTP response that never ends, with a JSON object for each change of the endpoint list.
//!
//! A router counts as notified of a change six seconds after the change. The timeouts keep the delay well below that,
//! even if one call fails: a watch without data is ended after [`SILENCE_TIMEOUT`], the next call is made after
//! [`MAX_BACKOFF`] at the latest, and a call is given up if it is not accepted within [`CONNECT_TIMEOUT`] or not
//! answered within [`RESPONSE_TIMEOUT`]. With one failed call, the delay is 3 + 0.4 + 1 + 0.4 s.

use bytes::{Bytes, BytesMut};
use tideroute_http::{write, Body, HttpError};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{Address, Micros};

use crate::headers;
use crate::json_splitter::{JsonSplitter, NotJson};
use crate::response_head::{ResponseHeadParser, RESPONSE_LIMITS};
use crate::timers::{Timeout, TimerKey};

/// Maximum size of one object in bytes: a list of some thousands of workers.
const MAX_OBJECT_BYTES: usize = 2 << 20;
/// Microseconds within which the discovery agent, which runs on the same machine, must accept a connection.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Microseconds within which a call must be answered; the agent answers from memory.
const RESPONSE_TIMEOUT: Micros = 1_000_000;
/// Microseconds without an object or an empty line after which the watch is opened again, and within which an object
/// that has begun must be complete. Discovery sends an empty line every two seconds.
const SILENCE_TIMEOUT: Micros = 3_000_000;
/// Microseconds until the next call after a watch has ended; doubled up to [`MAX_BACKOFF`] while no call succeeds.
const MIN_BACKOFF: Micros = 100_000;
const MAX_BACKOFF: Micros = 400_000;

/// Why the data of a watch cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The response is invalid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response has another status than 200.
    #[error("the status is {0}")]
    Status(u16),
    /// The body is not a stream of JSON objects.
    #[error(transparent)]
    Json(#[from] NotJson),
}

/// The watch, open or waiting to be opened again.
#[derive(Debug)]
pub struct DiscoveryWatch {
    connection: Option<ConnectionId>,
    head_parser: ResponseHeadParser,
    /// Decodes the response's body; `None` until its head is parsed.
    decoder: Option<Body>,
    received: BytesMut,
    splitter: JsonSplitter,
    timeout: Timeout,
    /// Microseconds until the next call after the watch ends.
    backoff: Micros,
}

impl Default for DiscoveryWatch {
    fn default() -> Self {
        DiscoveryWatch {
            connection: None,
            head_parser: ResponseHeadParser::default(),
            decoder: None,
            received: BytesMut::new(),
            splitter: JsonSplitter::default(),
            timeout: Timeout::NEVER,
            backoff: MIN_BACKOFF,
        }
    }
}

impl DiscoveryWatch {
    /// Returns whether the watch is open on `connection`.
    pub fn is_on(&self, connection: ConnectionId) -> bool {
        self.connection == Some(connection)
    }

    /// Opens the watch at `address` for changes after a version of the list, unless it is open.
    pub fn open(&mut self, now: Micros, address: Address, version: u64, effects: &mut Effects) {
        if self.connection.is_some() {
            return;
        }
        let connection = effects.connect(address, CONNECT_TIMEOUT);
        let target = format!("{}{version}", headers::WATCH_PATH);
        effects.send(connection, write::request("GET", &target, [("host", "discovery")], None));
        self.connection = Some(connection);
        self.timeout.set(now + RESPONSE_TIMEOUT, TimerKey::DiscoveryWatch, effects);
    }

    /// Takes received bytes and returns the objects that are complete now, however they are divided into lines. Empty
    /// lines only show that discovery is alive.
    pub fn on_data(
        &mut self,
        now: Micros,
        bytes: &Bytes,
        effects: &mut Effects,
    ) -> Result<Vec<Bytes>, WatchError> {
        self.received.extend_from_slice(bytes);
        if self.decoder.is_none() && !self.parse_head(now, effects)? {
            return Ok(vec![]);
        }
        let was_pending = !self.splitter.is_empty();
        let objects = self.split_objects()?;
        if self.splitter.len() > MAX_OBJECT_BYTES {
            return Err(HttpError::BodyTooLarge(MAX_OBJECT_BYTES as u64).into());
        }
        // An object that never becomes complete must not keep the watch open by the empty lines that follow it.
        if self.splitter.is_empty() || !objects.is_empty() || !was_pending {
            self.timeout.set(now + SILENCE_TIMEOUT, TimerKey::DiscoveryWatch, effects);
        }
        // The watch works, so the first call after its end is made without a longer pause.
        self.backoff = MIN_BACKOFF;
        Ok(objects)
    }

    /// Parses the head of the final response. False if it is not complete.
    fn parse_head(&mut self, now: Micros, effects: &mut Effects) -> Result<bool, WatchError> {
        let Some(head) = self.head_parser.next(&mut self.received)? else { return Ok(false) };
        if head.status != 200 {
            return Err(WatchError::Status(head.status));
        }
        self.decoder = Some(Body::new(head.framing, RESPONSE_LIMITS.body));
        self.timeout.set(now + SILENCE_TIMEOUT, TimerKey::DiscoveryWatch, effects);
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

    /// Ends the watch, if it has not ended yet, and schedules the next call after a pause.
    pub fn end(&mut self, now: Micros, effects: &mut Effects) {
        if let Some(connection) = self.connection.take() {
            effects.abort(connection);
        }
        self.head_parser = ResponseHeadParser::default();
        self.decoder = None;
        self.received = BytesMut::new();
        self.splitter = JsonSplitter::default();
        self.timeout.set(now + self.backoff, TimerKey::DiscoveryWatch, effects);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Handles the watch's timer; returns whether the watch is to be opened now.
    pub fn timer_fired(&mut self, now: Micros, effects: &mut Effects) -> bool {
        if !self.timeout.has_expired(now, TimerKey::DiscoveryWatch, effects) {
            return false;
        }
        if self.connection.is_some() {
            tracing::warn!("discovery watch timed out; reopening it");
            self.end(now, effects);
        }
        self.connection.is_none()
    }
}
