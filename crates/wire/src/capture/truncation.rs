//! Truncation of long frames in captures.

use bytes::Bytes;

use crate::frame;

/// Longest frame in bytes that the capture of a worker keeps complete. Longer ones are truncated because chunks of KV
/// state are long and many; all frames of a worker that the trace checker decodes are shorter. Updates of the endpoint
/// list are longer, so the captures of other roles keep them complete.
pub(super) const MAX_WORKER_FRAME: usize = 1024;
/// Number of bytes kept of a truncated frame.
pub(super) const TRUNCATED_LENGTH: usize = 16;
/// Longest frame in bytes that a capture of any role keeps complete. The event that holds the frame must itself fit
/// into a frame.
const MAX_KEPT_FRAME: usize = frame::MAX_LENGTH / 2;

/// Returns what the capture of a process with this role keeps of a frame.
pub fn kept(frame: &Bytes, role: &str) -> Bytes {
    let max_length = if role == "worker" { MAX_WORKER_FRAME } else { MAX_KEPT_FRAME };
    if frame.len() > max_length {
        frame.slice(..TRUNCATED_LENGTH)
    } else {
        frame.clone()
    }
}

/// Returns the part of a captured frame that the captures of both ends of the connection have, even if only one of them
/// truncated it.
pub fn common(frame: &[u8]) -> &[u8] {
    if frame.len() > MAX_WORKER_FRAME {
        &frame[..TRUNCATED_LENGTH]
    } else {
        frame
    }
}

#[cfg(test)]
mod tests;
