//! The state of the protobuf router that the events of its connections change.

use tideroute::types::{AttemptOutcome, RequestId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{worker, Micros};

use super::clients::Clients;
use super::config::RouterConfig;
use super::request_context::RequestContext;
use super::transport::ProtobufTransport;
use super::worker_connections::WorkerConnections;
use crate::lifecycle::RequestLifecycle;

/// The lifecycle and the connections of one router.
pub(super) struct RouterState {
    pub config: RouterConfig,
    pub lifecycle: RequestLifecycle<RequestContext>,
    pub clients: Clients,
    pub workers: WorkerConnections,
    /// The connection to discovery.
    pub discovery: Option<ConnectionId>,
    /// Whether the endpoint list has changed since it was last persisted.
    pub endpoint_list_changed: bool,
}

impl RouterState {
    pub fn new(config: RouterConfig, now: Micros) -> RouterState {
        RouterState {
            lifecycle: RequestLifecycle::new(config.lifecycle.clone(), now),
            config,
            clients: Clients::default(),
            workers: WorkerConnections::default(),
            discovery: None,
            endpoint_list_changed: false,
        }
    }

    /// Returns the lifecycle and the transport that its calls need.
    pub fn split<'a>(
        &'a mut self,
        effects: &'a mut Effects,
    ) -> (&'a mut RequestLifecycle<RequestContext>, ProtobufTransport<'a>) {
        let transport = ProtobufTransport {
            config: &self.config,
            clients: &mut self.clients,
            workers: &mut self.workers,
            discovery: &mut self.discovery,
            effects,
        };
        (&mut self.lifecycle, transport)
    }

    pub fn finish_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        outcome: AttemptOutcome,
        effects: &mut Effects,
    ) {
        let (lifecycle, mut transport) = self.split(effects);
        lifecycle.finish_attempt(now, id, number, outcome, &mut transport);
    }

    pub fn client_disconnected(&mut self, now: Micros, id: RequestId, effects: &mut Effects) {
        let (lifecycle, mut transport) = self.split(effects);
        lifecycle.client_disconnected(now, id, &mut transport);
    }

    /// Grants the worker of a stream as many tokens as were relayed to its client since the last grant. Grants nothing
    /// if these are fewer than `min_tokens`, or while the client exerts backpressure.
    pub fn grant_tokens(&mut self, id: RequestId, min_tokens: u32, effects: &mut Effects) {
        let Some(request) = self.lifecycle.requests.get_mut(id) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        if !attempt.streaming || attempt.unacknowledged_tokens < min_tokens.max(1) {
            return;
        }
        let client = self.clients.get_mut(request.context.client);
        if client.is_none_or(|client| client.has_backpressure) {
            return;
        }
        let tokens = std::mem::take(&mut attempt.unacknowledged_tokens);
        let frame = worker::grant_tokens(id, attempt.number, tokens);
        self.workers.send_if_connected(attempt.worker, frame, effects);
    }
}
