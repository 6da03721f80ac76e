//! One connection through the relay: two links and what waits between them.

use std::collections::VecDeque;

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

/// Bytes that wait in one direction over which nothing more is read: about what a kernel holds of a peer that is
/// cut off.
const MOST: usize = 256 << 10;

/// One direction: what came on a link and is not yet on its way on the other.
#[derive(Default)]
pub struct Stream {
    waiting: VecDeque<(Micros, Bytes)>,
    bytes: usize,
    /// Nothing overtakes on a connection: what comes later goes out no earlier.
    last: Micros,
    /// Where it comes from has ended; the other side is told once all has gone.
    pub ended: bool,
    crowded: bool,
    hushed: bool,
}

impl Stream {
    pub fn push(&mut self, at: Micros, part: &Bytes) -> Micros {
        self.last = self.last.max(at);
        self.bytes += part.len();
        self.waiting.push_back((self.last, part.clone()));
        self.last
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn crowded(&mut self, crowded: bool) {
        self.crowded = crowded;
    }

    /// Sends what is due; tells when the next part is.
    pub fn pump(&mut self, now: Micros, to: ConnectionId, effects: &mut Effects) -> Option<Micros> {
        while let Some((_, part)) = self.waiting.pop_front_if(|(at, _)| *at <= now) {
            self.bytes -= part.len();
            effects.send(to, part);
        }
        self.waiting.front().map(|(at, _)| *at)
    }

    /// Reads on or stops reading, by what waits here and by what the other side takes.
    pub fn hush(&mut self, from: ConnectionId, cut: bool, effects: &mut Effects) {
        let hush = cut || self.crowded || self.bytes > MOST;
        if std::mem::replace(&mut self.hushed, hush) != hush {
            effects.pause_reading(from, hush);
        }
    }
}

pub struct Flow {
    pub door: usize,
    /// The link that was taken at the door, and the one that goes on.
    pub connections: [ConnectionId; 2],
    /// What comes from the first link, and what from the second.
    pub streams: [Stream; 2],
}
