//! Carries out the lifecycle's decisions: sends calls to workers and responses to clients.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use tideroute::types::{AttemptOutcome, Idempotency, RequestId, WorkerId};
use tideroute_http::write;
use tideroute_invariants::{AttemptPermit, ClosePermit, ReservationPermit, ResponsePermit};
use tideroute_lifecycle::{Attempt, RequestState, Response, Timer, Transport};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::clients::Clients;
use crate::config::Config;
use crate::discovery_watch::DiscoveryWatch;
use crate::executed_requests::{AttemptId, ExecutedRequests};
use crate::headers;
use crate::request_context::RequestContext;
use crate::request_trace::{self, TraceEvent};
use crate::reserved_state::{Context, DecodeFailure, EndedBy, ReservedStateManager};
use crate::timers::TimerKey;
use crate::worker_connection::Call;
use crate::worker_pool::WorkerPool;

/// Microseconds before a reservation call times out; a worker answers within 0.3 s or after the prefill has ended.
const RESERVATION_TIMEOUT: Micros = 1_000_000;
const MICROS_PER_SECOND: f64 = 1e6;

/// Events that arose while decisions were carried out. They are handed to the lifecycle afterwards, because the
/// transport must not call back into the lifecycle.
#[derive(Default)]
pub struct DeferredEvents {
    /// Attempts that ended before they could be sent.
    pub attempt_outcomes: Vec<AttemptEnded>,
    /// Clients whose response is complete; their next request may already have been received.
    pub completed_clients: BTreeSet<ConnectionId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AttemptEnded {
    /// The attempt's request.
    pub id: RequestId,
    /// The attempt's number, counted within its request.
    pub number: u16,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
}

/// Returns a text as the body of a response.
fn text_body(text: &str) -> Bytes {
    Bytes::from(format!("{text}\n"))
}

/// Returns a plain-text response, with a Retry-After of `retry_after` microseconds; 0 for no Retry-After.
pub fn text_response(status: u16, retry_after: Micros, text: &str, closes_connection: bool) -> Bytes {
    let seconds = (retry_after > 0).then(|| format!("{:.3}", retry_after as f64 / MICROS_PER_SECOND));
    let content_type = [("content-type", "text/plain")];
    let retry_after = seconds.iter().map(|seconds| ("retry-after", seconds.as_str()));
    let fields = content_type.into_iter().chain(retry_after);
    write::response(status, fields, &text_body(text), closes_connection)
}

/// The lifecycle's transport: the parts of the gateway that carry out its decisions.
pub struct Egress<'a> {
    /// The gateway's configuration.
    pub config: &'a Config,
    /// Clients' connections.
    pub clients: &'a mut Clients,
    /// Connections to workers.
    pub workers: &'a mut WorkerPool,
    /// The manager of what workers hold for requests.
    pub reserved_state: &'a mut ReservedStateManager,
    /// The requests that must not run twice and may have run.
    pub executed: &'a mut ExecutedRequests,
    /// The watch at discovery.
    pub watch: &'a mut DiscoveryWatch,
    /// Events to hand to the lifecycle afterwards.
    pub deferred: &'a mut DeferredEvents,
    /// Whether the router is shutting down; a client's connection is then closed after its response.
    pub is_shutting_down: bool,
    /// The time of the event.
    pub now: Micros,
    /// Receives the effects that the event loop carries out.
    pub effects: &'a mut Effects,
}

impl Egress<'_> {
    /// Returns the manager of reserved state and the context for a call to it.
    pub fn reserved_state(&mut self) -> (&mut ReservedStateManager, Context<'_, WorkerPool>) {
        let context = Context { now: self.now, workers: &mut *self.workers, effects: &mut *self.effects };
        (&mut *self.reserved_state, context)
    }

    /// Asks a worker for a decode reservation. Only called once the prefill worker has the whole request.
    pub fn request_reservation(&mut self, id: RequestId, trace_id: &Arc<str>, worker: WorkerId) {
        // The worker may have begun to drain while the connection to the prefill worker was being established.
        if !self.workers.is_serving(worker) {
            return;
        }
        let target = format!("{}{trace_id}", headers::RESERVATION_PATH);
        let bytes = write::request("POST", &target, [("host", "worker")], Some(b""));
        let call = Call::Reservation { id };
        let Some(connection) = self.workers.send_call(self.now, worker, call, bytes, self.effects) else {
            return;
        };
        if let Some(call) = self.workers.get_mut(connection) {
            request_trace::record(id, trace_id, TraceEvent::ReservationRequested(call.address));
            let expires_at = self.now + RESERVATION_TIMEOUT;
            call.timeout.set(expires_at, TimerKey::Worker(connection), self.effects);
        }
        let (reserved_state, mut context) = self.reserved_state();
        reserved_state.reservation_requested(id, trace_id, worker, connection, &mut context);
    }

    /// Checks whether the prefill worker of a request is alive.
    pub fn check_liveness(&mut self, id: RequestId, worker: WorkerId) {
        let bytes = write::request("GET", headers::HEALTH_PATH, [("host", "worker")], None);
        let call = Call::LivenessCheck { id };
        let Some(connection) = self.workers.send_call(self.now, worker, call, bytes, self.effects) else {
            return;
        };
        if let Some(call) = self.workers.get_mut(connection) {
            let expires_at = self.now + self.config.connect_timeout;
            call.timeout.set(expires_at, TimerKey::Worker(connection), self.effects);
        }
    }

    /// Sends an attempt on its established connection, with the remaining time until the client's deadline.
    pub fn send_attempt(
        &mut self,
        connection: ConnectionId,
        request: &RequestState<RequestContext>,
        _permit: AttemptPermit,
    ) {
        self.record_execution(connection, request);
        let context = &request.context;
        let remaining_ms = (request.deadline.saturating_sub(self.now) / 1_000).to_string();
        let forwarded = context.headers.iter().map(|(name, value)| (name.as_str(), value.as_slice()));
        let fields = forwarded.chain([(headers::EXPIRES_IN_MS, remaining_ms.as_bytes())]);
        let head = write::request_head("POST", &context.target, fields, context.body.len());
        self.effects.send(connection, head);
        self.effects.send(connection, context.body.clone());
    }

    /// Remembers a request that must not run twice, if the attempt on `connection` executes it.
    fn record_execution(&mut self, connection: ConnectionId, request: &RequestState<RequestContext>) {
        if self.is_repeatable(request) {
            return;
        }
        let call = self.workers.get_mut(connection).and_then(|connection| connection.call);
        if let Some(Call::Attempt { id, number, is_prefill: false, .. }) = call {
            let attempt = AttemptId { request: id, number };
            self.executed.attempt_sent(self.now, &request.context.trace_id, attempt);
        }
    }

    /// Returns whether a request may run any number of times.
    fn is_repeatable(&self, request: &RequestState<RequestContext>) -> bool {
        let class = self.config.lifecycle.scheduler.classes.get(usize::from(request.class));
        class.is_some_and(|class| class.idempotency.is_safe_anywhere())
    }

    /// Returns whether the last byte of an attempt may have been written; true also if its connection is unknown.
    fn may_be_written(&self, connection: ConnectionId) -> bool {
        self.workers.is_written(connection).unwrap_or(true)
    }

    /// Returns whether a client's connection is closed after the response.
    fn closes_after_response(&self, connection: ConnectionId) -> bool {
        self.is_shutting_down || self.clients.closes_after_response(connection)
    }

    /// Sends a plain-text response, and keeps the connection open if possible.
    pub fn respond_with_text(
        &mut self,
        connection: ConnectionId,
        status: u16,
        retry_after: Micros,
        text: &str,
    ) {
        let closes_connection = self.closes_after_response(connection);
        self.effects.send(connection, text_response(status, retry_after, text, closes_connection));
        self.response_completed(connection, closes_connection);
    }

    fn response_completed(&mut self, connection: ConnectionId, closes_connection: bool) {
        if closes_connection {
            self.clients.remove(connection);
            self.effects.close(connection, "closed after its last response");
        } else {
            self.clients.response_completed(self.now, connection);
            self.deferred.completed_clients.insert(connection);
        }
    }

    /// Records what a failed attempt may have left at its worker.
    fn attempt_failed(
        &mut self,
        id: RequestId,
        request: &RequestState<RequestContext>,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        sent_at: Micros,
    ) {
        let trace_id = &request.context.trace_id;
        // An attempt that was sent without existing state runs the prefill itself.
        let prefills = attempt.is_prefill || request.state_holder.is_none();
        let (reserved_state, mut context) = self.reserved_state();
        if prefills && !outcome.never_ran() {
            reserved_state.prefill_failed(id, trace_id, attempt.worker, sent_at, &mut context);
            return;
        }
        let failure = DecodeFailure {
            state_holder: request.state_holder,
            may_have_reached_worker: !matches!(
                outcome,
                AttemptOutcome::Unreachable | AttemptOutcome::NotSent
            ),
            is_worker_response: matches!(
                outcome,
                AttemptOutcome::Rejected | AttemptOutcome::StateMissing | AttemptOutcome::ServerError
            ),
        };
        reserved_state.decode_failed(id, trace_id, failure, &mut context);
    }
}

/// Returns who ended the connection of an attempt, if the worker may notice the end later than this router.
fn ended_by(outcome: AttemptOutcome, is_streaming: bool) -> Option<EndedBy> {
    match outcome {
        AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => Some(EndedBy::ThisSide),
        AttemptOutcome::ConnectionReset if !is_streaming => Some(EndedBy::Reset),
        _ => None,
    }
}

impl Transport for Egress<'_> {
    type Context = RequestContext;

    fn dispatch(
        &mut self,
        id: RequestId,
        request: &RequestState<RequestContext>,
        attempt: &Attempt,
        _remaining_time: Micros,
        permit: AttemptPermit,
    ) {
        let number = attempt.number;
        if !attempt.is_prefill {
            // A reservation would arrive too late now.
            let (reserved_state, mut context) = self.reserved_state();
            reserved_state.cancel_unwritten_reservations(id, &mut context);
        }
        let class = self.config.lifecycle.scheduler.classes.get(usize::from(request.class));
        let is_idempotent = class.is_none_or(|class| class.idempotency != Idempotency::NonIdempotent);
        let is_non_idempotent = !attempt.is_prefill && !is_idempotent;
        let call = Call::Attempt { id, number, is_prefill: attempt.is_prefill, is_non_idempotent };
        let Some(connection) = self.workers.begin_call(self.now, attempt.worker, call, self.effects) else {
            let ended = AttemptEnded { id, number, outcome: AttemptOutcome::NotSent };
            return self.deferred.attempt_outcomes.push(ended);
        };
        if let Some(address) = self.workers.get_mut(connection).map(|connection| connection.address) {
            let event = TraceEvent::AttemptChosen { number, address };
            request_trace::record(id, &request.context.trace_id, event);
        }
        if self.workers.is_attempt_connected(id) {
            self.send_attempt(connection, request, permit);
            let (reserved_state, mut context) = self.reserved_state();
            reserved_state.attempt_sent(id, &mut context);
        }
    }

    fn reserve(
        &mut self,
        id: RequestId,
        request: &RequestState<RequestContext>,
        worker: WorkerId,
        _prefill_worker: WorkerId,
        _permit: ReservationPermit,
    ) {
        let Some(connection) = self.workers.attempt_connection(id) else { return };
        let Some(attempt) = self.workers.get_mut(connection) else { return };
        if attempt.is_written {
            self.request_reservation(id, &request.context.trace_id, worker);
        } else {
            attempt.pending_reservation = Some(worker);
        }
    }

    /// Does nothing: a new reservation or an attempt elsewhere replaces the old reservation, and a call to the worker
    /// would release the state too.
    fn cancel_reservation(&mut self, _id: RequestId, _worker: WorkerId, _notify: bool) {}

    fn release(
        &mut self,
        id: RequestId,
        _request: &RequestState<RequestContext>,
        reservations: &[WorkerId],
        state_holder: Option<WorkerId>,
    ) {
        let worker = state_holder.or(reservations.last().copied());
        let (reserved_state, mut context) = self.reserved_state();
        reserved_state.release_at(id, worker, &mut context);
    }

    fn cancel(&mut self, id: RequestId, _attempt: &Attempt) -> bool {
        let Some(connection) = self.workers.attempt_connection(id) else { return true };
        let may_be_written = self.may_be_written(connection);
        self.workers.abort(connection, self.effects);
        !may_be_written
    }

    fn cancel_if_unsent(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        let connection = self.workers.attempt_connection(id);
        if connection.is_some_and(|connection| self.may_be_written(connection)) {
            return false;
        }
        self.cancel(id, attempt)
    }

    fn attempt_finished(
        &mut self,
        id: RequestId,
        request: &RequestState<RequestContext>,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let sent_at = self.workers.attempt_finished(id).unwrap_or(self.now);
        let trace_id = &request.context.trace_id;
        let event = TraceEvent::AttemptEnded { number: attempt.number, outcome };
        request_trace::record(id, trace_id, event);
        if outcome.never_ran() {
            self.executed.attempt_never_ran(trace_id, AttemptId { request: id, number: attempt.number });
        }
        if outcome == AttemptOutcome::PrefillComplete {
            let (reserved_state, mut context) = self.reserved_state();
            reserved_state.prefill_completed(id, trace_id, attempt.worker, &mut context);
        } else if outcome != AttemptOutcome::Completed && !attempt.streaming {
            self.attempt_failed(id, request, attempt, outcome, sent_at);
        }
        if let Some(ended_by) = ended_by(outcome, attempt.streaming) {
            self.reserved_state.attempt_disconnected(id, attempt.worker, ended_by, self.now);
        }
    }

    fn request_closed(&mut self, id: RequestId, _permit: ClosePermit) {
        let (reserved_state, mut context) = self.reserved_state();
        reserved_state.request_closed(id, &mut context);
    }

    fn respond(
        &mut self,
        id: RequestId,
        request: &RequestState<RequestContext>,
        response: Response,
        _permit: ResponsePermit,
    ) {
        let connection = request.context.client;
        request_trace::record(id, &request.context.trace_id, TraceEvent::Responded(response));
        let Some(is_streaming) = self.clients.is_streaming(connection, id) else { return };
        match response {
            Response::Completed(_) => {
                let closes_connection = self.closes_after_response(connection);
                self.effects.send(connection, write::LAST_CHUNK.into());
                self.response_completed(connection, closes_connection);
            }
            // The missing last chunk shows the client that the response is incomplete.
            Response::Failed if is_streaming => {
                self.clients.remove(connection);
                self.effects.close(connection, "the response stream failed");
            }
            Response::Failed if self.now >= request.deadline => {
                self.respond_with_text(connection, 504, 0, "no answer in time");
            }
            Response::Failed => self.respond_with_text(connection, 502, 0, "no worker answered it"),
            Response::Rejected(retry_after) => {
                self.respond_with_text(connection, 503, retry_after, "turned back: it has not run");
            }
        }
    }

    fn check_health(&mut self, nonce: u64, worker: WorkerId) {
        let requests_load_report = self.config.load_report.is_some();
        let path = if requests_load_report { headers::LOAD_REPORT_PATH } else { headers::HEALTH_PATH };
        let bytes = write::request("GET", path, [("host", "worker")], None);
        self.workers.send_call(self.now, worker, Call::HealthCheck { nonce }, bytes, self.effects);
    }

    fn health_check_finished(&mut self, worker: WorkerId) {
        self.workers.cancel_health_check(worker, self.effects);
    }

    /// Calls discovery unless a call is open; an open watch delivers changes without further calls.
    fn watch_endpoints(&mut self, version: u64) {
        self.watch.open(self.now, version, self.effects);
    }

    fn set_timer(&mut self, fires_at: Micros, timer: Timer) {
        TimerKey::from(timer).set(fires_at, self.effects);
    }
}
