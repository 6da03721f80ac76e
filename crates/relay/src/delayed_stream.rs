//! One direction of a relayed connection, with what waits to go on.

use std::collections::VecDeque;

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

/// Bytes that wait in one direction over which nothing more is read: about what a kernel buffers for a peer behind a
/// partition.
const MAX_BUFFERED: usize = 256 << 10;

/// A part that goes on at a time.
struct DelayedPart {
    at: Micros,
    bytes: Bytes,
}

/// What arrived on one connection and has not gone on yet on the other.
#[derive(Default)]
pub(crate) struct DelayedStream {
    parts: VecDeque<DelayedPart>,
    buffered: usize,
    /// When the latest part goes on: nothing is reordered on a connection.
    last_at: Micros,
    /// The source has ended; the target is closed once all parts have gone on.
    pub ended: bool,
    /// The target does not take more for now.
    pub backpressure: bool,
    paused: bool,
}

impl DelayedStream {
    /// Adds a part that goes on at that time, or with the one before it if that is later.
    pub fn push(&mut self, at: Micros, bytes: &Bytes) {
        self.last_at = self.last_at.max(at);
        self.buffered += bytes.len();
        self.parts.push_back(DelayedPart { at: self.last_at, bytes: bytes.clone() });
    }

    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Sends the parts that are due, and returns when the next one is.
    pub fn send_due(&mut self, now: Micros, target: ConnectionId, effects: &mut Effects) -> Option<Micros> {
        while let Some(part) = self.parts.pop_front_if(|part| part.at <= now) {
            self.buffered -= part.bytes.len();
            effects.send(target, part.bytes);
        }
        self.parts.front().map(|part| part.at)
    }

    /// Pauses or resumes reading from the source, by what waits here and by what the target takes.
    pub fn update_reading(&mut self, source: ConnectionId, blocked: bool, effects: &mut Effects) {
        let pause = blocked || self.backpressure || self.buffered > MAX_BUFFERED;
        if std::mem::replace(&mut self.paused, pause) != pause {
            effects.pause_reading(source, pause);
        }
    }
}
