//! The lifecycle's transport over protobuf connections.

use bytes::Bytes;
use tideroute::types::{AttemptOutcome, RequestId, WorkerId};
use tideroute_invariants::{AttemptPermit, ReservationPermit, ResponsePermit};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{client, endpoint_list, say_router, worker, Micros};

use super::clients::Clients;
use super::config::RouterConfig;
use super::request_context::RequestContext;
use super::timers::RouterTimer;
use super::worker_connections::WorkerConnections;
use crate::request_state::{Attempt, RequestState};
use crate::response::Response;
use crate::transport::{Timer, Transport};

/// Borrows the router's connections for one call of the lifecycle.
pub(super) struct ProtobufTransport<'a> {
    pub config: &'a RouterConfig,
    pub clients: &'a mut Clients,
    pub workers: &'a mut WorkerConnections,
    pub discovery: &'a mut Option<ConnectionId>,
    pub effects: &'a mut Effects,
}

impl ProtobufTransport<'_> {
    fn send_to_worker(&mut self, worker: WorkerId, frame: Bytes) {
        let config = self.config;
        let hello = || say_router(&config.lifecycle.name, config.origin);
        self.workers.send(worker, hello, config.lifecycle.connect_timeout, frame, self.effects);
    }

    fn decode_frame(
        &self,
        id: RequestId,
        request: &RequestState<RequestContext>,
        attempt: &Attempt,
        remaining_time: Micros,
    ) -> Bytes {
        let context = &request.context;
        worker::decode(
            id,
            attempt.number,
            request.class,
            request.prompt_tokens,
            context.max_tokens,
            remaining_time,
            context.idempotency_key,
            request.state_holder,
            self.config.stream_window_tokens,
            request.session,
            request.prefix,
            context.prefix_tokens,
            context.prompt.clone(),
        )
    }
}

fn prefill_frame(
    id: RequestId,
    request: &RequestState<RequestContext>,
    attempt: &Attempt,
    remaining_time: Micros,
) -> Bytes {
    let context = &request.context;
    worker::prefill(
        id,
        attempt.number,
        request.class,
        request.session,
        request.prefix,
        request.prompt_tokens,
        context.prefix_tokens,
        remaining_time,
        context.prompt.clone(),
    )
}

impl Transport for ProtobufTransport<'_> {
    type Context = RequestContext;

    fn dispatch(
        &mut self,
        id: RequestId,
        request: &RequestState<RequestContext>,
        attempt: &Attempt,
        remaining_time: Micros,
        _permit: AttemptPermit,
    ) {
        let frame = if attempt.is_prefill {
            prefill_frame(id, request, attempt, remaining_time)
        } else {
            self.decode_frame(id, request, attempt, remaining_time)
        };
        self.workers.entry(attempt.worker).attempts.insert(id);
        self.send_to_worker(attempt.worker, frame);
    }

    fn reserve(
        &mut self,
        id: RequestId,
        request: &RequestState<RequestContext>,
        decode_worker: WorkerId,
        prefill_worker: WorkerId,
        _permit: ReservationPermit,
    ) {
        let frame = worker::reserve(id, request.prompt_tokens, request.context.max_tokens, prefill_worker);
        self.workers.entry(decode_worker).reservations.insert(id);
        self.send_to_worker(decode_worker, frame);
    }

    fn cancel_reservation(&mut self, id: RequestId, decode_worker: WorkerId, notify_worker: bool) {
        self.workers.entry(decode_worker).reservations.remove(&id);
        if notify_worker {
            self.workers.send_if_connected(decode_worker, worker::release(id), self.effects);
        }
    }

    fn release(
        &mut self,
        id: RequestId,
        _request: &RequestState<RequestContext>,
        reservations: &[WorkerId],
        state_holder: Option<WorkerId>,
    ) {
        for &decode_worker in reservations {
            self.cancel_reservation(id, decode_worker, true);
        }
        if let Some(prefill_worker) = state_holder {
            self.workers.send_if_connected(prefill_worker, worker::release(id), self.effects);
        }
    }

    /// A frame that was handed to a connection may have been sent at once, so no attempt counts as unsent.
    fn cancel(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        let frame = worker::cancel(id, attempt.number);
        self.workers.send_if_connected(attempt.worker, frame, self.effects);
        false
    }

    fn attempt_finished(
        &mut self,
        id: RequestId,
        _request: &RequestState<RequestContext>,
        attempt: &Attempt,
        _outcome: AttemptOutcome,
    ) {
        self.workers.entry(attempt.worker).attempts.remove(&id);
    }

    fn respond(
        &mut self,
        _id: RequestId,
        request: &RequestState<RequestContext>,
        response: Response,
        _permit: ResponsePermit,
    ) {
        let number = request.context.number;
        let frame = match response {
            Response::Completed(tokens) => client::completed(number, tokens),
            Response::Rejected(retry_after) => client::rejected(number, retry_after),
            Response::Failed => client::failed(number),
        };
        self.effects.send(request.context.client, frame);
        if let Some(client) = self.clients.get_mut(request.context.client) {
            client.open_requests.remove(&number);
        }
    }

    fn check_health(&mut self, nonce: u64, worker: WorkerId) {
        self.workers.entry(worker).pending_health_check = Some(nonce);
        self.send_to_worker(worker, worker::check_health(nonce));
    }

    fn health_check_finished(&mut self, worker: WorkerId) {
        self.workers.entry(worker).pending_health_check = None;
    }

    fn watch_endpoints(&mut self, version: u64) {
        let connection = *self.discovery.get_or_insert_with(|| {
            let lifecycle = &self.config.lifecycle;
            let connection = self.effects.connect(self.config.discovery, lifecycle.connect_timeout);
            self.effects.send(connection, say_router(&lifecycle.name, self.config.origin));
            connection
        });
        self.effects.send(connection, endpoint_list::watch(version));
    }

    fn set_timer(&mut self, at: Micros, timer: Timer) {
        self.effects.set_timer(at, RouterTimer::Lifecycle(timer).encode());
    }
}
