//! One call of the discovery watch: how far its response has come, and the objects in it.

use bytes::{Bytes, BytesMut};
use tideroute_http::{Body, HttpError};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::{Address, Micros};

use super::WatchError;
use crate::json_splitter::JsonSplitter;
use crate::response_head::{ResponseHeadParser, RESPONSE_LIMITS};

/// Maximum size of one object in bytes: a list of some thousands of workers.
pub const MAX_OBJECT_BYTES: usize = 2 << 20;
/// Microseconds without an object or an empty line after which another call is made beside the watch. Discovery sends
/// an empty line every two seconds.
pub const HEARTBEAT_TIMEOUT: Micros = 2_500_000;

/// How far the response to a call has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallStage {
    /// The connection is not established.
    Connecting,
    /// The request was sent.
    AwaitingHead,
    /// The head of the response was received.
    AwaitingUpdate,
    /// An update was received and applied.
    Answered,
}

/// What the bytes of a call contain.
#[derive(Debug, Default)]
pub struct ReceivedLines {
    /// The objects that are complete now.
    pub objects: Vec<Bytes>,
    /// Whether the bytes complete an object or an empty line; an empty line within an object does not count.
    pub is_line_complete: bool,
}

/// A call to discovery that has not ended.
#[derive(Debug)]
pub struct WatchCall {
    /// The connection of the call.
    pub connection: ConnectionId,
    /// The address of discovery that was called.
    pub address: Address,
    /// When the call was made.
    pub made_at: Micros,
    /// When the last line was received; `None` before the first one.
    pub last_line_at: Option<Micros>,
    /// How far the response has come.
    pub stage: CallStage,
    head_parser: ResponseHeadParser,
    /// Decodes the response's body; `None` until its head is parsed.
    decoder: Option<Body>,
    received: BytesMut,
    splitter: JsonSplitter,
}

impl WatchCall {
    /// Creates the state of a call that is made now.
    pub fn new(now: Micros, connection: ConnectionId, address: Address) -> WatchCall {
        WatchCall {
            connection,
            address,
            made_at: now,
            last_line_at: None,
            stage: CallStage::Connecting,
            head_parser: ResponseHeadParser::default(),
            decoder: None,
            received: BytesMut::new(),
            splitter: JsonSplitter::default(),
        }
    }

    /// Returns since when the next line, or the first one, is waited for.
    pub fn waiting_since(&self) -> Micros {
        self.last_line_at.unwrap_or(self.made_at)
    }

    /// Returns whether lines arrive.
    pub fn is_working(&self, now: Micros) -> bool {
        self.last_line_at.is_some_and(|last_line_at| now < last_line_at + HEARTBEAT_TIMEOUT)
    }

    /// Returns the number of received bytes whose head or object is incomplete.
    pub fn incomplete_bytes(&self) -> usize {
        self.received.len() + self.splitter.len()
    }

    /// Takes received bytes and returns the objects that are complete now, however they are divided into lines.
    pub fn on_data(&mut self, bytes: &Bytes) -> Result<ReceivedLines, WatchError> {
        self.received.extend_from_slice(bytes);
        if self.decoder.is_none() && !self.parse_head()? {
            return Ok(ReceivedLines::default());
        }
        let lines = self.split_lines()?;
        if self.splitter.len() > MAX_OBJECT_BYTES {
            return Err(HttpError::BodyTooLarge(MAX_OBJECT_BYTES as u64).into());
        }
        Ok(lines)
    }

    /// Parses the head of the final response. False if it is not complete.
    fn parse_head(&mut self) -> Result<bool, WatchError> {
        let Some(head) = self.head_parser.next(&mut self.received)? else { return Ok(false) };
        if head.status != 200 {
            return Err(WatchError::Status(head.status));
        }
        self.decoder = Some(Body::new(head.framing, RESPONSE_LIMITS.body));
        self.stage = CallStage::AwaitingUpdate;
        Ok(true)
    }

    fn split_lines(&mut self) -> Result<ReceivedLines, WatchError> {
        let mut lines = ReceivedLines::default();
        let Some(decoder) = &mut self.decoder else { return Ok(lines) };
        let mut has_body_bytes = false;
        while let Some(piece) = decoder.next(&mut self.received)? {
            has_body_bytes |= !piece.is_empty();
            self.splitter.push(&piece);
            while let Some(object) = self.splitter.next_object()? {
                lines.objects.push(object);
            }
        }
        lines.is_line_complete = !lines.objects.is_empty() || has_body_bytes && self.splitter.is_empty();
        Ok(lines)
    }
}
