//! The events of a capture, and the processes that wrote them.

use std::io;

use bytes::Bytes;

use crate::generated::record::event::What;
use crate::{Address, Malformed, Micros};

/// One process of a capture.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CapturedProcess {
    /// Its number, by which events name it.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// `client`, `router`, `worker`, `list` or `relay`.
    pub role: String,
    /// Where it listens; none for one that only connects.
    pub address: Option<Address>,
}

/// What happened, and what the frame of the event holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CaptureEvent {
    /// The process began to connect to the address in the frame.
    Connecting,
    /// The connection was established: the frame holds the other end's address, then this one's.
    Connected,
    /// The connection was never established: what was sent on it did not arrive.
    ConnectFailed,
    /// A connection was accepted; the frame as with [`Connected`](CaptureEvent::Connected).
    Accepted,
    /// A connection ended: the frame holds how many frames were sent and received ([`counts`]).
    Closed,
    /// A frame was sent.
    Sent,
    /// A frame was received.
    Received,
    /// The process started.
    ProcessStarted,
    /// The process ended by itself, in order.
    ProcessExited,
    /// The process was killed from outside.
    ProcessKilled,
    /// A relay has joined two connections: the frame holds where the first was accepted and where it comes from, then
    /// where the second went and where it goes out.
    Joined,
    /// The process was paused from outside.
    ProcessPaused,
    /// The process was resumed.
    ProcessResumed,
    /// The process observed something, which the frame holds as text.
    Observed,
}

/// One event of a capture.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CapturedFrame {
    /// When it happened.
    pub at: Micros,
    /// The process that wrote it.
    pub process: u32,
    /// The process's own number of the connection.
    pub connection: u64,
    /// What happened.
    pub event: CaptureEvent,
    /// Which frame of its direction on the connection it is, from 0.
    pub position: u64,
    /// What passed, or what the event holds.
    pub frame: Bytes,
}

/// Why a capture could not be read.
#[derive(Debug, thiserror::Error)]
pub enum CaptureError {
    /// Reading failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The frame that begins at byte `at` cannot be decoded.
    #[error("byte {at}: {problem}")]
    Malformed {
        /// Offset in the file.
        at: u64,
        /// What is wrong.
        problem: Malformed,
    },
    /// The capture ends within a frame.
    #[error("the record ends in the middle of a frame that begins at byte {at}")]
    CutOff {
        /// Offset in the file.
        at: u64,
    },
}

/// The frame of a closed connection: frames sent and frames received.
pub fn counts(sent: u64, received: u64) -> Bytes {
    [sent.to_le_bytes(), received.to_le_bytes()].concat().into()
}

/// Reads what [`counts`] wrote: frames sent and frames received.
pub fn counted(frame: &[u8]) -> Option<(u64, u64)> {
    let sent = frame.get(0..8)?.try_into().ok()?;
    let received = frame.get(8..16)?.try_into().ok()?;
    Some((u64::from_le_bytes(sent), u64::from_le_bytes(received)))
}

pub(super) fn encode_event(event: CaptureEvent) -> What {
    match event {
        CaptureEvent::Connecting => What::Dialled,
        CaptureEvent::Connected => What::Met,
        CaptureEvent::ConnectFailed => What::Unreached,
        CaptureEvent::Accepted => What::Accepted,
        CaptureEvent::Closed => What::Closed,
        CaptureEvent::Sent => What::Sent,
        CaptureEvent::Received => What::Heard,
        CaptureEvent::ProcessStarted => What::Began,
        CaptureEvent::ProcessExited => What::Left,
        CaptureEvent::ProcessKilled => What::Killed,
        CaptureEvent::Joined => What::Joined,
        CaptureEvent::ProcessPaused => What::Halted,
        CaptureEvent::ProcessResumed => What::WentOn,
        CaptureEvent::Observed => What::Saw,
    }
}

pub(super) fn decode_event(what: i32) -> Result<CaptureEvent, Malformed> {
    match What::try_from(what) {
        Ok(What::Dialled) => Ok(CaptureEvent::Connecting),
        Ok(What::Met) => Ok(CaptureEvent::Connected),
        Ok(What::Unreached) => Ok(CaptureEvent::ConnectFailed),
        Ok(What::Accepted) => Ok(CaptureEvent::Accepted),
        Ok(What::Closed) => Ok(CaptureEvent::Closed),
        Ok(What::Sent) => Ok(CaptureEvent::Sent),
        Ok(What::Heard) => Ok(CaptureEvent::Received),
        Ok(What::Began) => Ok(CaptureEvent::ProcessStarted),
        Ok(What::Left) => Ok(CaptureEvent::ProcessExited),
        Ok(What::Killed) => Ok(CaptureEvent::ProcessKilled),
        Ok(What::Joined) => Ok(CaptureEvent::Joined),
        Ok(What::Halted) => Ok(CaptureEvent::ProcessPaused),
        Ok(What::WentOn) => Ok(CaptureEvent::ProcessResumed),
        Ok(What::Saw) => Ok(CaptureEvent::Observed),
        _ => Err(Malformed::Range("what")),
    }
}
