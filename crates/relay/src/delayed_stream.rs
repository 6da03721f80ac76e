//! One direction of a relayed connection, with the bytes that wait to be forwarded.

use std::collections::VecDeque;

use bytes::Bytes;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

/// Bytes waiting in one direction above which the relay stops reading: about what a kernel buffers for a peer behind a
/// network partition.
const MAX_BUFFERED: usize = 256 << 10;

/// Bytes received in one read, and the time at which they are forwarded.
struct DelayedChunk {
    at: Micros,
    bytes: Bytes,
}

/// Bytes received on the source connection that have not been forwarded to the target connection yet.
#[derive(Default)]
pub(crate) struct DelayedStream {
    chunks: VecDeque<DelayedChunk>,
    buffered: usize,
    /// Time at which the latest chunk is forwarded. No chunk is forwarded before an earlier one, as a connection does
    /// not reorder bytes.
    last_due_at: Micros,
    /// Whether the source connection has ended; the target is closed once all chunks have been forwarded.
    pub source_ended: bool,
    /// Whether the target connection is under backpressure.
    pub backpressure: bool,
    is_reading_paused: bool,
}

impl DelayedStream {
    /// Adds a chunk that is forwarded at `at`, or at the same time as the chunk before it if that is later.
    pub fn push(&mut self, at: Micros, bytes: &Bytes) {
        self.last_due_at = self.last_due_at.max(at);
        self.buffered += bytes.len();
        self.chunks.push_back(DelayedChunk { at: self.last_due_at, bytes: bytes.clone() });
    }

    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Sends the chunks that are due, and returns the time at which the next one is due.
    pub fn send_due(&mut self, now: Micros, target: ConnectionId, effects: &mut Effects) -> Option<Micros> {
        while let Some(chunk) = self.chunks.pop_front_if(|chunk| chunk.at <= now) {
            self.buffered -= chunk.bytes.len();
            effects.send(target, chunk.bytes);
        }
        self.chunks.front().map(|chunk| chunk.at)
    }

    /// Pauses reading from the source if a fault blocks the stream, the target is under backpressure or too many bytes
    /// are waiting; else resumes it.
    pub fn update_reading(&mut self, source: ConnectionId, blocked: bool, effects: &mut Effects) {
        let pause = blocked || self.backpressure || self.buffered > MAX_BUFFERED;
        if std::mem::replace(&mut self.is_reading_paused, pause) != pause {
            effects.pause_reading(source, pause);
        }
    }
}
