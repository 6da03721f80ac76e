//! A simple model of the rules that every router must keep. It is notified of the messages between clients, routers and
//! workers, and is independent of how a router makes its decisions.

use tideroute_wire::Micros;

use crate::deployment::GeneratedDeployment;
use crate::request_class::Idempotency;
pub use crate::request_record::Connection;
use crate::request_record::{Attempt, RequestRecord};
use crate::violation::{Rule, Violation};
use crate::virtual_time::MS;

/// Tolerance that the protocol allows beyond each limit, for delays on sockets.
const TOLERANCE: Micros = 50 * MS;
/// Additional tolerance beyond the limit on holding KV state and decode reservations.
const HOLD_TOLERANCE: Micros = 300 * MS;
/// Time after the disconnect of its client in which an attempt of a request may still arrive at a worker.
const DISCONNECT_TOLERANCE: Micros = 100 * MS;
/// Time by which the remaining time that a worker is told may exceed the remaining time of the client.
const DEADLINE_TOLERANCE: Micros = 150 * MS;

/// An attempt that has just ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// The number of its request.
    pub request: usize,
    /// The index of its worker.
    pub worker: usize,
    /// Whether it was a decode attempt; else it was a prefill.
    pub is_decode: bool,
}

/// Checks the rules. Requests are numbered in the order in which they are sent; workers are identified by their index
/// in the deployment.
pub struct Checker {
    started_at: Micros,
    /// Maximum time from an event to its observation by the checker; 0 in virtual time.
    observation_delay: Micros,
    requests: Vec<RequestRecord>,
    /// The first violation that was found.
    pub violation: Option<Violation>,
}

impl Checker {
    /// Creates a checker that observes each event at most `observation_delay` after it happened.
    pub fn new(started_at: Micros, observation_delay: Micros) -> Checker {
        Checker { started_at, observation_delay, requests: vec![], violation: None }
    }

    fn report(&mut self, now: Micros, rule: Rule, message: String) {
        let at_ms = (now - self.started_at) / MS;
        self.violation.get_or_insert(Violation { rule, at_ms, message });
    }

    /// Reports a violation that was found outside this checker.
    pub fn report_violation(&mut self, now: Micros, message: String) {
        self.report(now, Rule::LostRequest, message);
    }

    /// Records that the last byte of a request was written to its router. Its client waits for `wait`. Returns the
    /// number of the request.
    pub fn request_sent(&mut self, now: Micros, class: usize, wait: Micros) -> usize {
        self.requests.push(RequestRecord::new(class, now, now + wait));
        self.requests.len() - 1
    }

    /// Returns the number of requests that were sent.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the time until which the client of a request waits.
    pub fn deadline(&self, request: usize) -> Micros {
        self.requests[request].deadline
    }

    /// Returns the index of the class of a request.
    pub fn class_of(&self, request: usize) -> usize {
        self.requests[request].class
    }

    /// Records that the router of a request was killed. The obligations of the router for the request end with it.
    pub fn router_killed(&mut self, request: usize) {
        self.requests[request].router_killed = true;
    }

    /// Records that the client of a request has closed its connection.
    pub fn client_disconnected(&mut self, now: Micros, request: usize) {
        self.requests[request].client_disconnected_at.get_or_insert(now);
    }

    /// Records that the client of a request has received the status of its final response.
    pub fn response_started(
        &mut self,
        now: Micros,
        deployment: &GeneratedDeployment,
        request: usize,
        status: u16,
    ) {
        let record = &mut self.requests[request];
        record.response_started_at = Some(now);
        let idempotency = deployment.classes[record.class].idempotency;
        let is_rejection = matches!(status, 429 | 503);
        let may_have_run = record.first_possible_run().is_some();
        let was_served = record.stream_started || record.router_killed;
        if is_rejection && may_have_run && !idempotency.may_be_rejected_after_run() {
            let message =
                format!("request {request} ({idempotency:?}) was rejected although it may have run");
            self.report(now, Rule::DuplicateExecution, message);
        }
        if status == 200 && !was_served {
            let message = format!("request {request} received a response that no worker sent for it");
            self.report(now, Rule::LostRequest, message);
        }
    }

    /// Records that the router has ended the connection of a request's client without a response.
    pub fn connection_ended_without_response(&mut self, now: Micros, request: usize) {
        let record = &self.requests[request];
        if record.client_disconnected_at.is_none() && !record.router_killed {
            let message = format!("the connection of request {request} ended without a response");
            self.report(now, Rule::LostRequest, message);
        }
    }

    /// Returns whether the client of a request has received the status of its final response.
    pub fn has_response(&self, request: usize) -> bool {
        self.requests[request].response_started_at.is_some()
    }

    /// Records that a router has sent the first byte of an attempt or reservation. `draining_since` is the time at
    /// which the router was notified that the worker is draining, if it is. `call` identifies the call in a violation.
    pub fn call_sent(
        &mut self,
        now: Micros,
        deployment: &GeneratedDeployment,
        call: &str,
        draining_since: Option<Micros>,
    ) {
        let tolerance = deployment.drain_grace + TOLERANCE + self.observation_delay;
        if draining_since.is_some_and(|since| now > since + tolerance) {
            self.report(now, Rule::Draining, format!("{call} was sent to a draining worker"));
        }
    }

    /// Records that the head of an attempt was sent, with the remaining time `sent`.
    pub fn remaining_time_sent(&mut self, now: Micros, request: usize, sent: Micros) {
        let remaining = self.requests[request].deadline.saturating_sub(now);
        if sent > remaining + DEADLINE_TOLERANCE + self.observation_delay {
            let (sent_ms, remaining_ms) = (sent / MS, remaining / MS);
            let message = format!(
                "request {request} was sent with {sent_ms} ms remaining, but only {remaining_ms} ms remain"
            );
            self.report(now, Rule::Deadline, message);
        }
    }

    /// Records that a worker has received the last byte of an attempt.
    pub fn attempt_received(
        &mut self,
        now: Micros,
        deployment: &GeneratedDeployment,
        request: usize,
        worker: usize,
        connection: Connection,
        is_decode: bool,
    ) {
        if let Some((rule, problem)) = self.attempt_violation(now, deployment, request, worker, is_decode) {
            self.report(now, rule, format!("request {request} {problem}"));
        }
        let record = &mut self.requests[request];
        if is_decode {
            record.reservation_worker = None;
        }
        record.attempts.push(Attempt {
            worker,
            connection,
            is_decode,
            received_at: now,
            in_flight: true,
            cancelled: false,
            never_ran: false,
        });
    }

    /// Returns the rule that an attempt violates by its arrival at a worker, and the violation in words; `None` if the
    /// attempt is permitted.
    fn attempt_violation(
        &self,
        now: Micros,
        deployment: &GeneratedDeployment,
        request: usize,
        worker: usize,
        is_decode: bool,
    ) -> Option<(Rule, String)> {
        let record = &self.requests[request];
        let delay = self.observation_delay;
        if record.client_disconnected_at.is_some_and(|at| now > at + DISCONNECT_TOLERANCE + delay) {
            return Some((Rule::LostRequest, "was attempted after its client had disconnected".to_string()));
        }
        if record.response_started_at.is_some_and(|at| now > at + delay) {
            return Some((
                Rule::LostRequest,
                "was attempted after its final response had started".to_string(),
            ));
        }
        if !is_decode {
            return None;
        }
        let idempotency = deployment.classes[record.class].idempotency;
        if delay == 0 && record.has_uncancelled_decode() {
            let problem = format!("({idempotency:?}) was sent again while an attempt is in flight");
            return Some((Rule::DuplicateExecution, problem));
        }
        let problem = retry_violation(now.saturating_sub(delay), deployment, idempotency, record, worker)?;
        Some((Rule::DuplicateExecution, problem))
    }

    /// Records that a worker has notified the router that the attempt on a connection never ran.
    pub fn attempt_never_ran(&mut self, request: usize, connection: Connection) {
        let attempts = self.requests[request].attempts.iter_mut();
        attempts
            .filter(|attempt| attempt.connection == connection)
            .for_each(|attempt| attempt.never_ran = true);
    }

    /// Records that the router has closed a connection to a worker.
    pub fn connection_aborted(&mut self, connection: Connection) {
        let attempts = self.requests.iter_mut().flat_map(|record| &mut record.attempts);
        attempts
            .filter(|attempt| attempt.connection == connection)
            .for_each(|attempt| attempt.cancelled = true);
    }

    /// Records that the attempts on a connection have ended, because the worker has responded or either side has closed
    /// the connection. Returns the attempts that were in flight.
    pub fn attempts_ended(&mut self, now: Micros, connection: Connection) -> Vec<EndedAttempt> {
        let mut ended = vec![];
        for (request, record) in self.requests.iter_mut().enumerate() {
            for attempt in record
                .attempts
                .iter_mut()
                .filter(|attempt| attempt.in_flight && attempt.connection == connection)
            {
                attempt.in_flight = false;
                record.held_since = now;
                ended.push(EndedAttempt { request, worker: attempt.worker, is_decode: attempt.is_decode });
            }
        }
        ended
    }

    /// Returns whether an attempt of the request is in flight on this connection.
    pub fn is_in_flight(&self, request: usize, connection: Connection) -> bool {
        self.requests[request]
            .attempts
            .iter()
            .any(|attempt| attempt.in_flight && attempt.connection == connection)
    }

    /// Returns whether a prefill of the request is in flight.
    pub fn is_prefill_in_flight(&self, request: usize) -> bool {
        self.requests[request].has_prefill_in_flight()
    }

    /// Returns whether a worker holds the KV state of the request.
    pub fn has_state(&self, request: usize) -> bool {
        self.requests[request].state_worker.is_some()
    }

    /// Returns whether this worker holds a decode reservation for the request.
    pub fn has_reservation(&self, request: usize, worker: usize) -> bool {
        self.requests[request].reservation_worker == Some(worker)
    }

    /// Returns whether a decode attempt of the request would have to prefill first.
    pub fn needs_prefill(&self, request: usize) -> bool {
        !self.has_state(request) && !self.requests[request].stream_started
    }

    /// Records that a prefill has completed at a worker, which holds the KV state from now on.
    pub fn state_stored(&mut self, now: Micros, request: usize, worker: usize) {
        let record = &mut self.requests[request];
        record.state_worker = Some(worker);
        record.held_since = now;
    }

    /// Records that a worker has made a decode reservation. Has no effect if a decode attempt is in flight or the
    /// response stream has started.
    pub fn reserved(&mut self, now: Micros, request: usize, worker: usize) {
        let record = &mut self.requests[request];
        if !record.stream_started && !record.has_decode_in_flight() {
            record.reservation_worker = Some(worker);
            record.held_since = now;
        }
    }

    /// Records that a running worker has released the decode reservation of the request, and its KV state unless a
    /// decode attempt in flight needs it.
    pub fn released(&mut self, request: usize) {
        let record = &mut self.requests[request];
        if !record.has_decode_in_flight() {
            record.state_worker = None;
        }
        record.reservation_worker = None;
    }

    /// Records that a worker has started to stream the response. KV state and decode reservation are used up.
    pub fn stream_started(&mut self, request: usize) {
        let record = &mut self.requests[request];
        record.state_worker = None;
        record.reservation_worker = None;
        record.stream_started = true;
    }

    /// Records that the process of a worker has ended. All that it held is lost, and its attempts have ended.
    pub fn worker_died(&mut self, now: Micros, worker: usize) {
        for record in &mut self.requests {
            record.state_worker = record.state_worker.filter(|holder| *holder != worker);
            record.reservation_worker = record.reservation_worker.filter(|holder| *holder != worker);
            for attempt in
                record.attempts.iter_mut().filter(|attempt| attempt.in_flight && attempt.worker == worker)
            {
                attempt.in_flight = false;
                record.held_since = now;
            }
        }
    }

    /// Checks the rules that apply at any time: KV state and decode reservations are released in time, and each client
    /// has a response before its deadline.
    pub fn check(&mut self, now: Micros, deployment: &GeneratedDeployment) {
        let mut latest = None;
        for (request, record) in self.requests.iter().enumerate().filter(|(_, record)| !record.router_killed)
        {
            if let Some((held, worker)) = record.held_resource().filter(|_| !record.has_attempt_in_flight()) {
                let limit = deployment.max_hold + HOLD_TOLERANCE + TOLERANCE + self.observation_delay;
                if now > record.held_since + limit {
                    let since_ms = (record.held_since - self.started_at) / MS;
                    let message =
                        format!("the {held} of request {request} has been held at worker {worker} since {since_ms} ms");
                    latest = Some((Rule::HeldTooLong, message));
                }
            }
            let is_open = record.response_started_at.is_none() && record.client_disconnected_at.is_none();
            if is_open && now > record.deadline + TOLERANCE + self.observation_delay {
                latest = Some((
                    Rule::LostRequest,
                    format!("request {request} received no response before its deadline"),
                ));
            }
        }
        if let Some((rule, message)) = latest {
            self.report(now, rule, message);
        }
    }
}

/// Returns why a decode attempt is not permitted after an earlier one that may have run; `None` if it is permitted.
fn retry_violation(
    now: Micros,
    deployment: &GeneratedDeployment,
    idempotency: Idempotency,
    record: &RequestRecord,
    worker: usize,
) -> Option<String> {
    let first = record.first_possible_run()?;
    match idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NonIdempotent => Some("(NonIdempotent) was sent again, but may have run".to_string()),
        Idempotency::WithKey { window, .. } if now > first.received_at + window + TOLERANCE => {
            let (after_ms, window_ms) = ((now - first.received_at) / MS, window / MS);
            Some(format!(
                "(WithKey) was sent again after {after_ms} ms, outside its window of {window_ms} ms"
            ))
        }
        Idempotency::WithKey { scope, .. } if !deployment.share_dedup_scope(scope, first.worker, worker) => {
            Some(format!("(WithKey) was sent again outside its deduplication scope {scope:?}"))
        }
        Idempotency::WithKey { .. } => None,
    }
}
