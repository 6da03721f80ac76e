//! How much of a frame a capture keeps.

use bytes::Bytes;

use crate::frame;

/// Bytes: longer frames of a worker are truncated, as chunks of KV state are long and many. What has a meaning for the
/// trace checker is shorter there; an update of the endpoint list is not, and other roles keep frames complete.
pub(super) const MAX_WORKER_FRAME: usize = 1024;
/// Bytes kept of a frame that is truncated.
pub(super) const TRUNCATED_LENGTH: usize = 16;
/// Bytes: a longer frame is truncated in every role, or its event would be too long for a frame.
const MAX_FRAME: usize = frame::LARGEST / 2;

/// What a capture keeps of a frame that passed at a process of that role.
pub fn kept(frame: &Bytes, role: &str) -> Bytes {
    let max_length = if role == "worker" { MAX_WORKER_FRAME } else { MAX_FRAME };
    if frame.len() > max_length {
        frame.slice(..TRUNCATED_LENGTH)
    } else {
        frame.clone()
    }
}

/// The part of a frame that the captures of both ends have, whatever each has kept.
pub fn common(frame: &[u8]) -> &[u8] {
    if frame.len() > MAX_WORKER_FRAME {
        &frame[..TRUNCATED_LENGTH]
    } else {
        frame
    }
}

#[cfg(test)]
mod tests;
