//! The requests of all routers: what each router received from and sent to clients and workers for them.

use std::collections::{BTreeMap, BTreeSet};

use tideroute_wire::capture::{CaptureEvent, CapturedFrame};
use tideroute_wire::{Address, Micros};

use crate::client_requests::RequestKey;
use crate::config::CheckerConfig;
use crate::connections::{Conversation, Purpose};
use crate::event_context::EventContext;
use crate::process_pauses::ProcessPauses;
use crate::report::{Report, Rule};
use crate::response::Response;
use crate::router_request::{NewAttempt, RouterRequest};

/// Identifies a request by its router's process and the id that the router gave it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RouterRequestKey {
    process: u32,
    id: u64,
}

impl RouterRequestKey {
    fn of(captured: &CapturedFrame, id: u64) -> RouterRequestKey {
        RouterRequestKey { process: captured.process, id }
    }
}

type RequestTable = BTreeMap<RouterRequestKey, RouterRequest>;

/// A request that a router received and has neither admitted nor rejected yet.
struct PendingRequest {
    class: u8,
    received_at: Micros,
    timeout: Micros,
}

/// The requests of all routers.
pub struct RouterRequests {
    config: CheckerConfig,
    pending: BTreeMap<RequestKey, PendingRequest>,
    /// The router's id for each request that it admitted.
    ids: BTreeMap<RequestKey, u64>,
    requests: RequestTable,
    /// When the router sent the response to each request.
    responses: BTreeMap<RequestKey, Micros>,
    /// Health checks without an answer, by process and nonce.
    health_checks: BTreeSet<(u32, u64)>,
    ended_processes: BTreeSet<u32>,
}

impl RouterRequests {
    pub fn new(config: &CheckerConfig) -> RouterRequests {
        RouterRequests {
            config: config.clone(),
            pending: BTreeMap::new(),
            ids: BTreeMap::new(),
            requests: RequestTable::new(),
            responses: BTreeMap::new(),
            health_checks: BTreeSet::new(),
            ended_processes: BTreeSet::new(),
        }
    }

    /// Returns the router's id of a request; `None` if the router did not admit it.
    pub fn id(&self, key: RequestKey) -> Option<u64> {
        self.ids.get(&key).copied()
    }

    /// Returns when the router sent the first token of a request.
    pub fn first_token_at(&self, key: RequestKey) -> Option<Micros> {
        let id = self.id(key)?;
        self.requests.get(&RouterRequestKey { process: key.process, id })?.first_token_at
    }

    /// Returns when the router sent the response to a request.
    pub fn response_at(&self, key: RequestKey) -> Option<Micros> {
        self.responses.get(&key).copied()
    }

    // Messages between routers and clients.

    pub fn request_received(&mut self, context: &mut EventContext, number: u64, class: u8, timeout: Micros) {
        if usize::from(class) >= self.config.classes.len() {
            let description = format!(
                "request number {number} has class {class}, which the checker configuration does not define"
            );
            return context.violation(Rule::Capture, None, description);
        }
        let pending = PendingRequest { class, received_at: context.captured.at, timeout };
        self.pending.insert(RequestKey::of(context.captured, number), pending);
    }

    pub fn cancel_received(&mut self, context: &EventContext, number: u64) {
        let captured = context.captured;
        let Some(id) = self.id(RequestKey::of(captured, number)) else { return };
        if let Some(request) = self.requests.get_mut(&RouterRequestKey::of(captured, id)) {
            request.ended_at.get_or_insert(captured.at);
        }
    }

    pub fn admitted(&mut self, context: &mut EventContext, number: u64, id: u64) {
        let captured = context.captured;
        let key = RequestKey::of(captured, number);
        let Some(pending) = self.pending.remove(&key) else {
            let description = format!("router admitted request number {number}, which it never received");
            return context.violation(Rule::Capture, Some(id), description);
        };
        context.report.counts.admitted += 1;
        let request =
            RouterRequest::new(key, pending.class, pending.received_at, pending.timeout, captured.at);
        self.ids.insert(key, id);
        if self.requests.insert(RouterRequestKey::of(captured, id), request).is_some() {
            context.violation(Rule::Capture, Some(id), "two requests have the same id");
        }
    }

    pub fn token_sent(&mut self, context: &mut EventContext, number: u64) {
        let captured = context.captured;
        let id = self.id(RequestKey::of(captured, number));
        let Some(request) = id.and_then(|id| self.requests.get_mut(&RouterRequestKey::of(captured, id)))
        else {
            return context.violation(
                Rule::Capture,
                id,
                format!("token was sent for request number {number}, which was never admitted"),
            );
        };
        request.first_token_at.get_or_insert(captured.at);
        if request.ended_at.is_some() {
            context.violation(Rule::Lost, id, "token was sent after the request ended");
        }
    }

    pub fn response_sent(&mut self, context: &mut EventContext, number: u64, response: Response) {
        let captured = context.captured;
        let key = RequestKey::of(captured, number);
        let id = self.id(key);
        if self.responses.insert(key, captured.at).is_some() {
            context.violation(Rule::Lost, id, "second response was sent");
        }
        if self.pending.remove(&key).is_some() {
            return;
        }
        let Some(request) = id.and_then(|id| self.requests.get_mut(&RouterRequestKey::of(captured, id)))
        else {
            return context.violation(
                Rule::Capture,
                id,
                format!("response was sent for request number {number}, which was never admitted"),
            );
        };
        request.ended_at.get_or_insert(captured.at);
        let paused = context.pauses.paused_within(captured.process, request.received_at, captured.at);
        let lateness = captured.at.saturating_sub(request.received_at + request.timeout + paused);
        if lateness > 0 && request.first_token_at.is_none() {
            let description = format!("response was sent {lateness} us after the deadline");
            context.violation(Rule::Lost, id, description);
        }
        if response == Response::Rejected && !request.may_be_rejected(&self.config) {
            let class = &self.config.classes[usize::from(request.class)];
            let description =
                format!("class {}: request was rejected although an attempt may have run", class.name);
            context.violation(Rule::Duplicate, id, description);
        }
    }

    // Messages between routers and workers.

    /// Records and checks an attempt that a router sends. Returns whether its request is known.
    pub fn attempt_sent(&mut self, context: &mut EventContext, id: u64, attempt: &NewAttempt) -> bool {
        context.report.counts.attempts += 1;
        let captured = context.captured;
        let Some(request) = find(&mut self.requests, &self.config, context, id) else { return false };
        request.check_attempt(context, id, attempt, &self.config);
        request.attempt_sent(attempt, captured.at, captured.connection);
        true
    }

    pub fn reservation_requested(&mut self, context: &mut EventContext, id: u64, worker: Address) {
        context.report.counts.reservations += 1;
        let now = context.captured.at;
        if let Some(request) = find(&mut self.requests, &self.config, context, id) {
            request.kept_at.insert(worker);
            request.idle_since = now;
        }
    }

    pub fn reservation_answered(
        &mut self,
        context: &mut EventContext,
        id: u64,
        worker: Address,
        is_reserved: bool,
    ) {
        // An answer after the end of the request is no violation: the reservation was released while the answer was in
        // flight.
        if !self.requests.contains_key(&RouterRequestKey::of(context.captured, id)) {
            return context.violation(
                Rule::Capture,
                Some(id),
                "reservation was answered for a request that was never admitted",
            );
        }
        let Some(request) = find(&mut self.requests, &self.config, context, id) else { return };
        if !is_reserved {
            request.kept_at.remove(&worker);
        }
    }

    pub fn prefill_completed(&mut self, context: &mut EventContext, id: u64, attempt: u16, worker: Address) {
        let now = context.captured.at;
        let Some(request) = find(&mut self.requests, &self.config, context, id) else { return };
        if is_in_flight(request, attempt, context) {
            request.attempt_ended(now, false);
            request.kept_at.insert(worker);
        }
    }

    /// Handles a token from a worker. The first token shows that the state kept for the request is in use.
    pub fn token_received(&mut self, context: &mut EventContext, id: u64, attempt: u16, index: u32) {
        let Some(request) = find(&mut self.requests, &self.config, context, id) else { return };
        if is_in_flight(request, attempt, context) && index == 0 {
            request.kept_at.clear();
        }
    }

    pub fn attempt_ended(&mut self, context: &mut EventContext, id: u64, attempt: u16, never_ran: bool) {
        let now = context.captured.at;
        let Some(request) = find(&mut self.requests, &self.config, context, id) else { return };
        if is_in_flight(request, attempt, context) {
            request.attempt_ended(now, never_ran);
        }
    }

    pub fn attempt_cancelled(&mut self, context: &mut EventContext, id: u64, attempt: u16) {
        self.attempt_ended(context, id, attempt, false);
    }

    pub fn state_released(&mut self, context: &mut EventContext, id: u64, worker: Address) {
        if let Some(request) = find(&mut self.requests, &self.config, context, id) {
            request.kept_at.remove(&worker);
        }
    }

    pub fn health_check_sent(&mut self, context: &EventContext, nonce: u64) {
        self.health_checks.insert((context.captured.process, nonce));
    }

    pub fn health_check_answered(&mut self, context: &mut EventContext, nonce: u64) {
        if !self.health_checks.remove(&(context.captured.process, nonce)) {
            context.violation(Rule::Capture, None, "answer to a health check that was never sent");
        }
    }

    // Ends of connections and processes.

    pub fn connection_closed(&mut self, context: &mut EventContext, conversation: Conversation) {
        match conversation.purpose {
            Purpose::RouterToWorker if conversation.is_dialler => {
                self.worker_connection_closed(context, conversation.dialled_address);
            }
            Purpose::ClientToRouter if !conversation.is_dialler => self.client_disconnected(context.captured),
            _ => {}
        }
    }

    /// Handles the end of a connection to a worker: the worker drops what it kept for requests of this connection, and
    /// the attempts on it have ended.
    fn worker_connection_closed(&mut self, context: &mut EventContext, worker: Address) {
        let captured = context.captured;
        let never_ran = captured.event == CaptureEvent::ConnectFailed;
        for (key, request) in requests_of(&mut self.requests, captured.process) {
            let attempt = request.in_flight.as_ref();
            let is_on_connection = attempt.is_some_and(|attempt| attempt.connection == captured.connection);
            if is_on_connection {
                request.attempt_ended(captured.at, never_ran);
            } else if request.kept_at.contains(&worker) {
                let limit = self.config.max_idle_state;
                request.check_kept_state(key.id, captured.at, limit, context.pauses, context.report);
            }
            request.kept_at.remove(&worker);
        }
    }

    fn client_disconnected(&mut self, captured: &CapturedFrame) {
        for (_, request) in requests_of(&mut self.requests, captured.process) {
            if request.key.connection == captured.connection {
                request.ended_at.get_or_insert(captured.at);
            }
        }
    }

    pub fn process_ended(&mut self, context: &mut EventContext) {
        let captured = context.captured;
        self.ended_processes.insert(captured.process);
        // A router that exits by itself must have sent all responses; a router that was killed is excused.
        let exited = captured.event == CaptureEvent::ProcessExited;
        for (key, request) in requests_of(&mut self.requests, captured.process) {
            let limit = self.config.max_idle_state;
            request.check_kept_state(key.id, captured.at, limit, context.pauses, context.report);
            if exited && request.ended_at.is_none() {
                context.violation(
                    Rule::Lost,
                    Some(key.id),
                    "router exited without a response to the request",
                );
            }
            request.kept_at.clear();
            request.ended_at.get_or_insert(captured.at);
        }
    }

    // Cleanup, and the end of the capture.

    /// Forgets requests that ended more than `age` ago. A later message for one of them is reported as a message for a
    /// request that was never admitted, so it remains a violation.
    pub fn forget_ended(&mut self, now: Micros, age: Micros) {
        let is_over = |request: &RouterRequest| {
            let ended_long_ago = request.ended_at.is_some_and(|at| at + age < now);
            request.in_flight.is_none() && request.kept_at.is_empty() && ended_long_ago
        };
        self.requests.retain(|_, request| {
            if !is_over(request) {
                return true;
            }
            self.ids.remove(&request.key);
            self.responses.remove(&request.key);
            false
        });
    }

    /// Checks at the end of the capture whether workers still keep state for longer than rule 5 allows.
    pub fn finish(&mut self, now: Micros, pauses: &ProcessPauses, report: &mut Report) {
        for (key, request) in &mut self.requests {
            if !self.ended_processes.contains(&key.process) {
                request.check_kept_state(key.id, now, self.config.max_idle_state, pauses, report);
            }
        }
    }
}

/// Returns the request that a message to or from a worker concerns, after a check of the state that was kept for it
/// until now.
fn find<'a>(
    requests: &'a mut RequestTable,
    config: &CheckerConfig,
    context: &mut EventContext,
    id: u64,
) -> Option<&'a mut RouterRequest> {
    let captured = context.captured;
    let Some(request) = requests.get_mut(&RouterRequestKey::of(captured, id)) else {
        context.violation(Rule::Capture, Some(id), "message for a request that was never admitted");
        return None;
    };
    request.check_kept_state(id, captured.at, config.max_idle_state, context.pauses, context.report);
    Some(request)
}

/// Returns whether the attempt is the one in flight on this connection. A late message of a cancelled attempt is no
/// violation; a message of an attempt that was never sent is reported.
fn is_in_flight(request: &RouterRequest, attempt: u16, context: &mut EventContext) -> bool {
    if attempt >= request.attempts {
        let description = format!("message for attempt {attempt}, which was never sent");
        context.violation(Rule::Capture, None, description);
    }
    let Some(in_flight) = &request.in_flight else { return false };
    in_flight.number == attempt && in_flight.connection == context.captured.connection
}

fn requests_of(
    requests: &mut RequestTable,
    process: u32,
) -> impl Iterator<Item = (&RouterRequestKey, &mut RouterRequest)> {
    let first = RouterRequestKey { process, id: 0 };
    let last = RouterRequestKey { process, id: u64::MAX };
    requests.range_mut(first..=last)
}
