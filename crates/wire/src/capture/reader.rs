//! Reads captures.

use std::io::Read;

use bytes::{Buf, Bytes, BytesMut};
use prost::Message;

use super::event::{decode_event, CaptureError, CapturedFrame, CapturedProcess};
use crate::fields::decode_optional_address;
use crate::frame;
use crate::generated::record::{Event, Head};
use crate::Malformed;

/// Bytes read from the file at a time.
const READ_CHUNK: usize = 1 << 16;

/// Reads a capture in order, from its head on, and buffers one chunk of it at a time.
pub struct Reader<R> {
    file: R,
    buffered: BytesMut,
    /// Offset of the next frame in the file.
    at: u64,
}

impl<R: Read> Reader<R> {
    /// Creates a reader for a capture that is read from its start.
    pub fn new(file: R) -> Self {
        Reader { file, buffered: BytesMut::new(), at: 0 }
    }

    /// Reads the processes and the trace checker's settings from the head. Must be called once, before any event is
    /// read.
    pub fn head(&mut self) -> Result<(Vec<CapturedProcess>, String), CaptureError> {
        let frame = self.frame()?.ok_or_else(|| self.malformed(Malformed::Empty))?;
        let head = Head::decode(frame).map_err(|error| self.malformed(error))?;
        let mut processes = vec![];
        for process in head.processes {
            let address = decode_optional_address("address", &process.address)
                .map_err(|error| self.malformed(error))?;
            processes.push(CapturedProcess {
                number: process.number,
                name: process.name,
                role: process.role,
                address,
            });
        }
        Ok((processes, head.terms))
    }

    /// Reads the next event; `None` at the end of the capture.
    pub fn next_passed(&mut self) -> Result<Option<CapturedFrame>, CaptureError> {
        let Some(frame) = self.frame()? else { return Ok(None) };
        let event = Event::decode(frame).map_err(|error| self.malformed(error))?;
        Ok(Some(CapturedFrame {
            at: event.at_us,
            process: event.process,
            connection: event.link,
            event: decode_event(event.what).map_err(|error| self.malformed(error))?,
            position: event.place,
            frame: event.frame,
        }))
    }

    fn frame(&mut self) -> Result<Option<Bytes>, CaptureError> {
        loop {
            let before = self.buffered.len();
            let next = frame::next(&mut self.buffered).map_err(|error| self.malformed(error))?;
            if let Some(frame) = next {
                self.at += (before - self.buffered.remaining()) as u64;
                return Ok(Some(frame));
            }
            let mut chunk = vec![0; READ_CHUNK];
            let length = self.file.read(&mut chunk)?;
            if length == 0 && self.buffered.is_empty() {
                return Ok(None);
            }
            if length == 0 {
                return Err(CaptureError::Truncated { at: self.at });
            }
            self.buffered.extend_from_slice(&chunk[..length]);
        }
    }

    fn malformed(&self, error: impl Into<Malformed>) -> CaptureError {
        CaptureError::Malformed { at: self.at, problem: error.into() }
    }
}
