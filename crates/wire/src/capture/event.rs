//! The events of a capture, and the processes that recorded them.

use std::io;

use bytes::Bytes;

use crate::generated::record::event::What;
use crate::{Address, Malformed, Micros};

/// One process of a capture.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CapturedProcess {
    /// Its number in the capture, which [`CapturedFrame::process`] refers to.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// `client`, `router`, `worker`, `list` or `relay`.
    pub role: String,
    /// The address at which it listens; `None` for a process that only connects.
    pub address: Option<Address>,
}

/// The kind of an event, which determines what [`CapturedFrame::frame`] holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CaptureEvent {
    /// The process started to connect; the frame holds the address of the peer.
    Connecting,
    /// An outbound connection was established; the frame holds the peer's address, then the local address.
    Connected,
    /// An outbound connection was never established; nothing that was sent on it arrived.
    ConnectFailed,
    /// A connection was accepted; the frame holds the same as for [`Connected`](CaptureEvent::Connected).
    Accepted,
    /// A connection ended; the frame holds how many frames were sent and received on it ([`counts`]).
    Closed,
    /// A frame was sent.
    Sent,
    /// A frame was received.
    Received,
    /// The process started.
    ProcessStarted,
    /// The process exited by itself.
    ProcessExited,
    /// The process was killed from outside.
    ProcessKilled,
    /// A relay joined two connections. The frame holds four addresses: the local and the peer address of the accepted
    /// connection, then the peer and the local address of the outbound connection.
    Joined,
    /// The process was paused from outside.
    ProcessPaused,
    /// The process was resumed.
    ProcessResumed,
    /// The process observed something, which the frame describes as text.
    Observed,
}

/// One event of a capture.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CapturedFrame {
    /// The time of the event.
    pub at: Micros,
    /// The number of the process that recorded the event.
    pub process: u32,
    /// The number of the connection within the process.
    pub connection: u64,
    /// The kind of the event.
    pub event: CaptureEvent,
    /// Index of the frame within its direction on the connection, from 0.
    pub position: u64,
    /// The frame that was sent or received; for other events, as the kind of the event says.
    pub frame: Bytes,
}

/// The reason why a capture could not be read.
#[derive(Debug, thiserror::Error)]
pub enum CaptureError {
    /// Reading the file failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The frame that begins at byte `at` cannot be decoded.
    #[error("malformed frame at byte {at}: {problem}")]
    Malformed {
        /// Offset of the frame in the file.
        at: u64,
        /// The reason why the frame cannot be decoded.
        problem: Malformed,
    },
    /// The capture ends within a frame.
    #[error("the capture ends in the middle of the frame that begins at byte {at}")]
    Truncated {
        /// Offset of the frame in the file.
        at: u64,
    },
}

/// Encodes the frame of [`CaptureEvent::Closed`]: the number of frames sent and the number received.
pub fn counts(sent: u64, received: u64) -> Bytes {
    [sent.to_le_bytes(), received.to_le_bytes()].concat().into()
}

/// Decodes the result of [`counts`]: the number of frames sent and the number received; `None` if it is too short.
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
