//! Forwards the streams of decode workers to clients. A response begins only once the first event is complete.

use bytes::Bytes;
use tideroute::types::{AttemptOutcome, RequestId};
use tideroute_http::write;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::egress::AttemptEnded;
use crate::request_trace::{self, TraceEvent};
use crate::state::GatewayState;
use crate::timers::TimerKey;
use crate::worker_connection::Call;

/// Microseconds without a byte after which a stream counts as dead. A client must not wait for five seconds, and a
/// worker that puts a response back into its queue may be silent for some seconds.
pub const SILENCE_TIMEOUT: Micros = 4_500_000;
/// Number of bytes within which a stream's first event must end.
const MAX_FIRST_EVENT_BYTES: usize = 64 << 10;

impl GatewayState {
    /// Forwards a piece of a stream as far as it consists of events. Returns false if it does not as a whole, or if the
    /// first event is incomplete and memory is lacking to wait for the rest.
    pub fn stream_data(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        piece: Bytes,
        effects: &mut Effects,
    ) -> bool {
        let Some(stream) = self.workers.get_mut(connection) else { return true };
        let Some(Call::Attempt { id, number, .. }) = stream.call else { return true };
        stream.timeout.set(now + SILENCE_TIMEOUT, TimerKey::Worker(connection), effects);
        let Some(request) = self.lifecycle.requests.get(id) else { return true };
        if request.finished {
            // The request is finished, so the stream is cancelled as after a client's disconnect.
            self.workers.abort(connection, effects);
            let ended = AttemptEnded { id, number, outcome: AttemptOutcome::Cancelled };
            self.finish_attempt(now, ended, effects);
            return true;
        }
        let client = request.context.client;
        let checked = stream.events.check(piece);
        if stream.is_streaming {
            if !checked.valid.is_empty() {
                effects.send(client, write::chunk(&checked.valid));
            }
            return !checked.is_invalid;
        }
        stream.buffered.append(&checked.valid, &self.response_memory);
        let is_spoilt = checked.is_invalid && !stream.awaits_only_close();
        if is_spoilt || stream.buffered.bytes().len() > MAX_FIRST_EVENT_BYTES {
            return false;
        }
        if !stream.events.has_complete_event() {
            return !self.response_memory.would_exceed(0);
        }
        stream.is_streaming = true;
        let first_event = stream.buffered.take();
        self.start_response(now, id, client, &first_event, effects);
        !checked.is_invalid
    }

    fn start_response(
        &mut self,
        now: Micros,
        id: RequestId,
        client: ConnectionId,
        first_event: &[u8],
        effects: &mut Effects,
    ) {
        let closes = self.is_shutting_down || self.clients.closes_after_response(client);
        let fields = [("content-type", "text/event-stream"), ("cache-control", "no-store")];
        effects.send(client, write::chunked_head(200, fields, closes));
        effects.send(client, write::chunk(first_event));
        self.clients.response_started(client);
        let (lifecycle, mut egress) = self.lifecycle(now, effects);
        lifecycle.response_started(now, id, &mut egress);
        if let Some(request) = lifecycle.requests.get(id) {
            request_trace::record(id, &request.context.trace_id, TraceEvent::ResponseStarted);
        }
        let (reserved_state, mut context) = egress.reserved_state();
        reserved_state.response_started(id, &mut context);
        if let Some(request) = lifecycle.requests.get_mut(id) {
            // No retry will need the body and the headers.
            request.context.body = Bytes::new();
            request.context.headers = vec![];
        }
    }
}
