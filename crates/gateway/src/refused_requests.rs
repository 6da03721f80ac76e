//! Requests that arrive behind an open one and are refused, because there is no memory to keep them. Their bytes are
//! discarded as they arrive; only how many there are is remembered, since each is answered after the open request.

use bytes::{Buf, BytesMut};
use tideroute_http::{Body, Limits};

/// Counts the requests in bytes that are discarded.
#[derive(Default)]
pub struct RefusedRequests {
    /// The part of the next head that has been received.
    partial_head: BytesMut,
    /// The rest of the body that is being discarded.
    body: Option<Body>,
    /// Number of requests that have been received completely.
    complete: usize,
    is_malformed: bool,
}

/// What follows the refused requests on their connection.
pub enum AfterRefused {
    /// The rest of the body of one more refused request.
    Body(Body),
    /// A request of which this much has been received.
    Head(BytesMut),
    /// Bytes that cannot be parsed.
    Malformed,
}

impl RefusedRequests {
    /// Counts the requests that `bytes` complete, and discards the bytes.
    pub fn discard(&mut self, bytes: &[u8], limits: &Limits) {
        if self.is_malformed {
            return;
        }
        let mut received = std::mem::take(&mut self.partial_head);
        received.extend_from_slice(bytes);
        while self.discard_next(&mut received, limits) {}
        if !self.is_malformed {
            // A copy, because the rest would keep the whole buffer in memory.
            self.partial_head = BytesMut::from(&received[..]);
        }
    }

    /// Discards the next head or the next piece of a body. Returns whether more may follow in `received`.
    fn discard_next(&mut self, received: &mut BytesMut, limits: &Limits) -> bool {
        let Some(body) = &mut self.body else { return self.discard_head(received, limits) };
        match body.next(received) {
            Ok(Some(_)) => true,
            Ok(None) if body.done() => {
                self.body = None;
                self.complete += 1;
                true
            }
            Ok(None) => false,
            Err(_) => self.malformed(),
        }
    }

    fn discard_head(&mut self, received: &mut BytesMut, limits: &Limits) -> bool {
        // RFC 9112, section 2.2: empty lines before a request are ignored.
        while received.starts_with(b"\r\n") {
            received.advance(2);
        }
        match tideroute_http::request(received, limits) {
            Ok(Some((request, length))) => {
                received.advance(length);
                self.body = Some(Body::new(request.framing, limits.body));
                true
            }
            Ok(None) => false,
            Err(_) => self.malformed(),
        }
    }

    fn malformed(&mut self) -> bool {
        self.is_malformed = true;
        false
    }

    /// Takes one of the complete requests, which the caller answers. Returns false if none is left.
    pub fn take_complete(&mut self) -> bool {
        let is_left = self.complete > 0;
        self.complete -= usize::from(is_left);
        is_left
    }

    /// Returns what follows the complete requests.
    pub fn into_rest(self) -> AfterRefused {
        match self.body {
            _ if self.is_malformed => AfterRefused::Malformed,
            Some(body) => AfterRefused::Body(body),
            None => AfterRefused::Head(self.partial_head),
        }
    }
}

#[cfg(test)]
mod tests;
