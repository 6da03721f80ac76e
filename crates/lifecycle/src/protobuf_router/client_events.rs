//! Events of client connections.

use bytes::Bytes;
use metrics::counter;
use tideroute::types::RequestId;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{client, Malformed, Micros};

use super::request_context::RequestContext;
use super::state::RouterState;
use super::timers::RouterTimer;
use crate::request_state::RequestState;

/// Longest remaining time of a request, in microseconds: a day is longer than any client waits, and keeps sums of times
/// far from overflow.
const MAX_REMAINING_TIME: Micros = 86_400_000_000;

/// Handles one event of one client connection.
pub(super) struct ClientEvents<'a> {
    pub state: &'a mut RouterState,
    pub now: Micros,
    pub connection: ConnectionId,
    pub effects: &'a mut Effects,
}

impl ClientEvents<'_> {
    /// Handles a newly accepted connection, whose Hello must arrive in time.
    pub fn accepted(&mut self) {
        let config = &self.state.config;
        if self.state.clients.len() >= config.max_clients {
            counter!("tideroute_clients_rejected_total").increment(1);
            return self.effects.close(self.connection, "too many clients");
        }
        let hello_deadline = self.now + config.lifecycle.connect_timeout;
        self.state.clients.accepted(self.connection);
        self.effects.set_timer(hello_deadline, RouterTimer::Hello(self.connection).encode());
    }

    /// Closes the connection if its Hello has not arrived in time.
    pub fn hello_timeout(&mut self) {
        if self.state.clients.awaits_hello(self.connection) {
            self.state.clients.remove(self.connection);
            self.effects.close(self.connection, "client sent no Hello in time");
        }
    }

    /// Handles a client's Hello. Where tenants are configured, it must contain the key of one.
    pub fn hello_received(&mut self, name: &str, key: &[u8]) {
        let lifecycle = &self.state.lifecycle;
        let key_hash = lifecycle.has_tenants().then(|| *blake3::hash(key).as_bytes());
        if key_hash.is_some_and(|key_hash| lifecycle.tenant_for_key(&key_hash).is_none()) {
            return self.reject_key(name);
        }
        tracing::debug!(connection = self.connection.0, name, "client connected");
        self.state.clients.hello_received(self.connection, key_hash);
    }

    fn reject_key(&mut self, name: &str) {
        counter!("tideroute_clients_unauthorized_total").increment(1);
        tracing::debug!(
            connection = self.connection.0,
            name,
            "client presented an unknown tenant key; closing the connection"
        );
        self.state.clients.remove(self.connection);
        self.effects.send(self.connection, client::unauthorized("no tenant has this key"));
        self.effects.close(self.connection, "client presented an unknown tenant key");
    }

    /// Accepts a new request, or rejects it at once where a capacity limit is reached.
    fn accept(&mut self, request: RequestState<RequestContext>) -> Result<(), Malformed> {
        let state = &mut *self.state;
        let number = request.context.number;
        let Some(client) = state.clients.get_mut(self.connection) else { return Err(Malformed::Hello) };
        if client.last_number.is_some_and(|last_number| number <= last_number) {
            return Err(Malformed::Order("a request number that is not above the last"));
        }
        client.last_number = Some(number);
        let key_hash = client.key_hash;
        let is_full = client.open_requests.len() >= state.config.max_requests_per_client;
        if let Some(rejection) = state.lifecycle.check_capacity(is_full) {
            self.effects.send(self.connection, client::rejected(number, rejection.retry_after));
            return Ok(());
        }
        // The key may have been revoked since the Hello.
        let tenant = key_hash.and_then(|key_hash| state.lifecycle.tenant_for_key(&key_hash));
        // The client must see the id before any other message about the request.
        let id = state.lifecycle.requests.next_id();
        client.open_requests.insert(number, id);
        self.effects.send(self.connection, client::accepted(number, id));
        let (lifecycle, mut transport) = state.split(self.effects);
        lifecycle.accept(self.now, request, tenant, &mut transport);
        Ok(())
    }

    /// Handles a change of backpressure: the data that waits to be sent to the client rose above the high watermark,
    /// or fell below the low watermark.
    pub fn backpressure(&mut self, has_backpressure: bool) {
        let Some(client) = self.state.clients.get_mut(self.connection) else { return };
        client.has_backpressure = has_backpressure;
        let open_requests: Vec<RequestId> = client.open_requests.values().copied().collect();
        // The router reads no further requests from a client that does not read its responses.
        self.effects.pause_reading(self.connection, has_backpressure);
        counter!("tideroute_backpressure_total").increment(u64::from(has_backpressure));
        if has_backpressure {
            return;
        }
        for id in open_requests {
            self.state.grant_tokens(id, 1, self.effects);
        }
    }
}

impl client::Router for ClientEvents<'_> {
    fn submit(
        &mut self,
        number: u64,
        class: u8,
        session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        max_tokens: u32,
        remaining_time: Micros,
        idempotency_key: u64,
        prompt: Bytes,
    ) -> Result<(), Malformed> {
        if prefix_tokens > prompt_tokens {
            return Err(Malformed::Range("prefix_tokens"));
        }
        if max_tokens == 0 {
            return Err(Malformed::Range("most_tokens"));
        }
        let config = &self.state.config;
        if config.lifecycle.scheduler.classes.get(usize::from(class)).is_none() {
            return Err(Malformed::Range("track"));
        }
        let remaining_time = self.state.lifecycle.remaining_time(remaining_time.min(MAX_REMAINING_TIME));
        let remaining_time = remaining_time.saturating_sub(config.network_delay);
        let client = self.connection;
        let context = RequestContext { client, number, prefix_tokens, max_tokens, idempotency_key, prompt };
        let request = RequestState::new(context, class, (session, prefix), prompt_tokens);
        self.accept(request.with_deadline(self.now, remaining_time))
    }

    /// Cancels a request. A number that is not open is ignored: its final response is already on its way.
    fn cancel(&mut self, number: u64) -> Result<(), Malformed> {
        let client = self.state.clients.get_mut(self.connection).ok_or(Malformed::Hello)?;
        if let Some(id) = client.open_requests.remove(&number) {
            self.state.client_disconnected(self.now, id, self.effects);
        }
        Ok(())
    }
}
