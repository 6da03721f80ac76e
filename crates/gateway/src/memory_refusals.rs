//! Refuses requests for which memory is lacking. Each is answered at once, or after the open request in front of it, and
//! what is still received of it is discarded, so that its connection can be used again.

use bytes::Bytes;
use metrics::counter;
use tideroute_http::Body;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::capacity::MAX_HEAD_BYTES;
use crate::client_connection::{ClientState, Progress};
use crate::egress::text_response;
use crate::refused_requests::{AfterRefused, RefusedRequests};
use crate::request_head::Rejection;
use crate::state::GatewayState;

/// The rejection of a request for which memory is lacking.
pub const NO_MEMORY: Rejection = Rejection::new(503, "no memory for one more request");
/// Number of discarded bytes after which a client is disconnected and its open request is cancelled.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

impl GatewayState {
    /// Frees what the requests being received on a connection occupy beyond a head, and refuses them.
    pub fn free_memory_of(&mut self, connection: ConnectionId, effects: &mut Effects) {
        let Some(client) = self.clients.get_mut(connection) else { return };
        match &client.state {
            ClientState::AwaitingResponse { .. } | ClientState::DiscardingBody(_) => return,
            ClientState::AwaitingHead if client.received.len() <= MAX_HEAD_BYTES => return,
            ClientState::AwaitingHead => client.refuse_received(),
            ClientState::ReceivingBody(request) => {
                let decoder = request.decoder.clone();
                self.refuse_for_memory(connection, decoder, effects);
            }
        }
        self.clients.account(connection);
    }

    /// Refuses a request of which the body is still being received.
    pub fn refuse_for_memory(&mut self, connection: ConnectionId, decoder: Body, effects: &mut Effects) {
        let closes = self.send_refusal(connection, effects);
        let Some(client) = self.clients.get_mut(connection) else { return };
        client.closes_after_response = closes;
        client.state = ClientState::DiscardingBody(decoder);
    }

    /// Sends the response to a refused request. Returns whether the connection is closed after it.
    fn send_refusal(&mut self, connection: ConnectionId, effects: &mut Effects) -> bool {
        counter!("tideroute_requests_not_admitted_total", "reason" => "memory").increment(1);
        tracing::debug!(connection = connection.0, "no memory for a request; refusing it");
        let retry_after = self.lifecycle.retry_after();
        let closes = self.is_shutting_down || self.clients.closes_after_response(connection);
        effects.send(connection, text_response(NO_MEMORY.status, retry_after, NO_MEMORY.reason, closes));
        closes
    }

    /// Discards the body of a request that was refused. The next request may follow it.
    pub fn discard_body(&mut self, connection: ConnectionId, effects: &mut Effects) -> Progress {
        let Some(client) = self.clients.get_mut(connection) else { return Progress::Wait };
        let ClientState::DiscardingBody(decoder) = &mut client.state else { return Progress::Wait };
        let is_complete = loop {
            match decoder.next(&mut client.received) {
                Ok(Some(_)) => {}
                Ok(None) => break decoder.done(),
                Err(_) => {
                    return self.close_answered(connection, "malformed body of a refused request", effects)
                }
            }
        };
        if !is_complete {
            return Progress::Wait;
        }
        if client.closes_after_response {
            return self.close_answered(connection, "closed after its last response", effects);
        }
        client.state = ClientState::AwaitingHead;
        Progress::More
    }

    /// Closes a connection whose requests have been answered.
    pub fn close_answered(
        &mut self,
        connection: ConnectionId,
        reason: &'static str,
        effects: &mut Effects,
    ) -> Progress {
        self.clients.remove(connection);
        effects.close(connection, reason);
        Progress::Wait
    }

    /// Discards bytes that arrived before the open request was answered, and what had arrived before them. The requests in
    /// them are answered after the open one.
    pub fn discard(&mut self, now: Micros, connection: ConnectionId, bytes: &Bytes, effects: &mut Effects) {
        let Some(client) = self.clients.get_mut(connection) else { return };
        client.discarded_bytes += bytes.len() + client.received.len();
        client.receive(bytes);
        client.refuse_received();
        let exceeds_discard_limit = client.discarded_bytes > MAX_DISCARDED_BYTES;
        let is_streaming = client.is_streaming();
        self.clients.account(connection);
        if !exceeds_discard_limit {
            return;
        }
        let reason = "sends without end while its request is open";
        counter!("tideroute_clients_rejected_total").increment(1);
        self.client_disconnected(now, connection, effects);
        // The open request was received completely, so it gets a response.
        if !is_streaming {
            effects.send(connection, text_response(400, 0, reason, true));
        }
        effects.close(connection, reason);
    }

    /// Answers one of the requests that were refused behind an open one, or goes on behind the last of them.
    pub fn answer_refused(&mut self, connection: ConnectionId, effects: &mut Effects) -> Progress {
        let Some(client) = self.clients.get_mut(connection) else { return Progress::Wait };
        let Some(refused) = &mut client.refused else { return Progress::More };
        if refused.take_complete() {
            if self.send_refusal(connection, effects) {
                return self.close_answered(connection, "closed after its last response", effects);
            }
            return Progress::More;
        }
        client.discarded_bytes = 0;
        match client.refused.take().map(RefusedRequests::into_rest) {
            Some(AfterRefused::Body(decoder)) => self.refuse_for_memory(connection, decoder, effects),
            Some(AfterRefused::Head(partial_head)) => client.prepend(&partial_head),
            Some(AfterRefused::Malformed) => {
                return self.close_answered(connection, "malformed bytes behind its requests", effects);
            }
            None => {}
        }
        Progress::More
    }
}
