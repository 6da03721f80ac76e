//! The output of a connection that waits to be written. Small frames are collected and written together; large ones are
//! queued as they are, so that a buffer that is also used elsewhere is not copied.

use std::collections::VecDeque;
use std::io::{self, Write};

use bytes::{Buf, Bytes, BytesMut};

/// Minimum size in bytes of a frame that is queued without a copy. A frame of this size is worth a write of its own.
const MIN_SHARED_FRAME: usize = 4 << 10;
/// Size in bytes of collected small frames at which the next buffer is begun, so that no buffer grows by much more.
const COLLECTED_BYTES: usize = 16 << 10;

/// Frames in the order in which they are written.
#[derive(Default)]
pub struct OutputQueue {
    /// Buffers that are complete, the first to write at the front.
    complete: VecDeque<Bytes>,
    /// The small frames behind them.
    collected: BytesMut,
    /// Number of bytes in the queue.
    length: usize,
}

impl OutputQueue {
    /// Returns the number of bytes in the queue.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends a frame.
    pub fn push(&mut self, frame: &Bytes) {
        if frame.len() < MIN_SHARED_FRAME {
            return self.collect(|collected| collected.extend_from_slice(frame));
        }
        self.complete_collected();
        self.length += frame.len();
        self.complete.push_back(frame.clone());
    }

    /// Appends what `write` appends to the buffer of small frames.
    pub fn collect(&mut self, write: impl FnOnce(&mut BytesMut)) {
        let length_before = self.collected.len();
        write(&mut self.collected);
        self.length += self.collected.len() - length_before;
        if self.collected.len() >= COLLECTED_BYTES {
            self.complete_collected();
        }
    }

    fn complete_collected(&mut self) {
        if !self.collected.is_empty() {
            self.complete.push_back(std::mem::take(&mut self.collected).freeze());
        }
    }

    /// Writes as much as `writer` accepts; an interrupted write is repeated.
    pub fn write_to(&mut self, writer: &mut impl Write) -> io::Result<()> {
        while !self.is_empty() {
            let next = self.complete.front().map_or(&self.collected[..], |buffer| buffer);
            match writer.write(next) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => self.remove(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Removes bytes that were written from the first buffer.
    fn remove(&mut self, written: usize) {
        self.length -= written;
        let Some(buffer) = self.complete.front_mut() else { return self.collected.advance(written) };
        buffer.advance(written);
        if buffer.is_empty() {
            self.complete.pop_front();
        }
    }

    /// Frees the memory of an empty queue: a buffer that once held a lot would otherwise keep it.
    pub fn free_if_empty(&mut self) {
        if self.is_empty() {
            *self = OutputQueue::default();
        }
    }
}

#[cfg(test)]
mod tests;
