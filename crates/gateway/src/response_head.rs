//! Parses the head of a response from workers or discovery, behind any interim responses.

use bytes::{Buf, BytesMut};
use tideroute_http::{HttpError, Limits, Response};

/// Limits of the head of a response, and of the bytes of a body that is a stream.
pub const RESPONSE_LIMITS: Limits = Limits { head: 64 << 10, fields: 1_024, body: u64::MAX >> 1 };
/// Maximum number of bytes of the interim responses (1xx) before the final one.
const MAX_INTERIM_BYTES: usize = 1 << 20;

/// Parses one head after another until that of the final response is complete.
#[derive(Debug, Default)]
pub struct ResponseHeadParser {
    /// Number of received bytes in which no head was complete.
    incomplete: usize,
    /// Bytes of the interim responses so far.
    interim_bytes: usize,
}

impl ResponseHeadParser {
    /// Removes the final response's head, and all heads before it, from the received bytes; `None` while it is incomplete.
    pub fn next(&mut self, received: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        while self.may_be_complete(received) {
            let Some((head, length)) = tideroute_http::response(received, &RESPONSE_LIMITS)? else {
                self.incomplete = received.len();
                break;
            };
            received.advance(length);
            self.incomplete = 0;
            if !(100..200).contains(&head.status) {
                return Ok(Some(head));
            }
            self.interim_bytes += length;
            if self.interim_bytes > MAX_INTERIM_BYTES {
                return Err(HttpError::HeadTooLarge(MAX_INTERIM_BYTES));
            }
        }
        Ok(None)
    }

    /// Returns whether heads have been removed from the received bytes since this parser was created.
    pub fn has_removed_bytes(&self) -> bool {
        self.interim_bytes > 0
    }

    /// Returns whether a head may be complete or rejected now. A head that arrives in small pieces is parsed once for
    /// each line, not once for each piece.
    fn may_be_complete(&self, received: &[u8]) -> bool {
        let is_first_piece = self.incomplete == 0 && !received.is_empty();
        is_first_piece
            || received.len() > RESPONSE_LIMITS.head
            || received[self.incomplete..].contains(&b'\n')
    }
}
