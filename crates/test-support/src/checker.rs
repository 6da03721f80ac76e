//! A plain model of the rules: it is notified of what passes between clients, routers and workers, and knows nothing of
//! how a router decides.

use tideroute_wire::Micros;

use crate::deployment::GeneratedDeployment;
use crate::request_class::Idempotency;
pub use crate::request_record::Connection;
use crate::request_record::{Attempt, RequestRecord};
use crate::violation::{Rule, Violation};
use crate::virtual_time::MS;

/// What the protocol allows on sockets beyond each limit.
const SLACK: Micros = 50 * MS;
/// What it allows beyond the limit on holding state and reservations.
const HOLD_SLACK: Micros = 300 * MS;
/// How long after its client's disconnect an attempt may still begin.
const DISCONNECT_SLACK: Micros = 100 * MS;
/// How much longer than the client's remaining time the one told to a worker may be.
const DEADLINE_SLACK: Micros = 150 * MS;

/// An attempt that has just ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// Its request.
    pub request: usize,
    /// Its worker.
    pub worker: usize,
    /// It was to respond; else it only prefilled.
    pub is_decode: bool,
}

/// The rules' checker. Requests are numbered in the order in which they are sent; workers by the deployment.
pub struct Checker {
    started_at: Micros,
    /// How much later something may be observed than it happened; 0 in virtual time.
    observation_delay: Micros,
    requests: Vec<RequestRecord>,
    /// The first rule that was broken.
    pub violation: Option<Violation>,
}

impl Checker {
    /// A checker that observes everything at most `observation_delay` after it happened.
    pub fn new(started_at: Micros, observation_delay: Micros) -> Checker {
        Checker { started_at, observation_delay, requests: vec![], violation: None }
    }

    fn report(&mut self, now: Micros, rule: Rule, message: String) {
        let at_ms = (now - self.started_at) / MS;
        self.violation.get_or_insert(Violation { rule, at_ms, message });
    }

    /// Reports something that is broken and shows without a request of its own.
    pub fn report_violation(&mut self, now: Micros, message: String) {
        self.report(now, Rule::LostRequest, message);
    }

    /// A request's last byte was written to its router, and its client waits so long. Returns the request's number.
    pub fn request_sent(&mut self, now: Micros, class: usize, wait: Micros) -> usize {
        self.requests.push(RequestRecord::new(class, now, now + wait));
        self.requests.len() - 1
    }

    /// How many requests were sent.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Until when a request's client waits.
    pub fn deadline(&self, request: usize) -> Micros {
        self.requests[request].deadline
    }

    /// Index of a request's class.
    pub fn class_of(&self, request: usize) -> usize {
        self.requests[request].class
    }

    /// Its router was killed: what the router held for it is no longer anybody's obligation.
    pub fn router_killed(&mut self, request: usize) {
        self.requests[request].router_killed = true;
    }

    /// Its client has closed its connection.
    pub fn client_disconnected(&mut self, now: Micros, request: usize) {
        self.requests[request].client_disconnected_at.get_or_insert(now);
    }

    /// Its client has got the status of its final response.
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
            let message = format!("request {request} ({idempotency:?}) is rejected, and may have run");
            self.report(now, Rule::DuplicateExecution, message);
        }
        if status == 200 && !was_served {
            let message = format!("request {request} got a response that no worker made for it");
            self.report(now, Rule::LostRequest, message);
        }
    }

    /// Its router has ended its client's connection without a response.
    pub fn connection_ended_without_response(&mut self, now: Micros, request: usize) {
        let record = &self.requests[request];
        if record.client_disconnected_at.is_none() && !record.router_killed {
            let message = format!("the connection of request {request} ended without a response");
            self.report(now, Rule::LostRequest, message);
        }
    }

    /// Whether its client has got the status of its final response.
    pub fn has_response(&self, request: usize) -> bool {
        self.requests[request].response_started_at.is_some()
    }

    /// The first byte of an attempt or reservation leaves a router, which was notified at `draining_since` that the
    /// worker drains, if it was. `call` names it in a violation.
    pub fn call_sent(
        &mut self,
        now: Micros,
        deployment: &GeneratedDeployment,
        call: &str,
        draining_since: Option<Micros>,
    ) {
        let tolerance = deployment.drain_grace + SLACK + self.observation_delay;
        if draining_since.is_some_and(|since| now > since + tolerance) {
            self.report(now, Rule::Draining, format!("{call} to a worker that drains"));
        }
    }

    /// An attempt's head leaves, and tells its worker the remaining time.
    pub fn remaining_time_sent(&mut self, now: Micros, request: usize, sent: Micros) {
        let remaining = self.requests[request].deadline.saturating_sub(now);
        if sent > remaining + DEADLINE_SLACK + self.observation_delay {
            let (sent_ms, remaining_ms) = (sent / MS, remaining / MS);
            let message =
                format!("request {request} is sent with {sent_ms} ms remaining, {remaining_ms} ms remain");
            self.report(now, Rule::Deadline, message);
        }
    }

    /// An attempt's last byte has come to a worker.
    pub fn attempt_received(
        &mut self,
        now: Micros,
        deployment: &GeneratedDeployment,
        request: usize,
        worker: usize,
        on: Connection,
        is_decode: bool,
    ) {
        if let Some((rule, problem)) = self.forbidden_attempt(now, deployment, request, worker, is_decode) {
            self.report(now, rule, format!("request {request} {problem}"));
        }
        let record = &mut self.requests[request];
        if is_decode {
            record.reservation_at = None;
        }
        record.attempts.push(Attempt {
            worker,
            on,
            is_decode,
            received_at: now,
            in_flight: true,
            cancelled: false,
            never_ran: false,
        });
    }

    /// Why an attempt that has just come to a worker must not be there, if so.
    fn forbidden_attempt(
        &self,
        now: Micros,
        deployment: &GeneratedDeployment,
        request: usize,
        worker: usize,
        is_decode: bool,
    ) -> Option<(Rule, String)> {
        let record = &self.requests[request];
        let delay = self.observation_delay;
        if record.client_disconnected_at.is_some_and(|at| now > at + DISCONNECT_SLACK + delay) {
            return Some((Rule::LostRequest, "is attempted after its client has disconnected".to_string()));
        }
        if record.response_started_at.is_some_and(|at| now > at + delay) {
            return Some((Rule::LostRequest, "is attempted after its final response".to_string()));
        }
        if !is_decode {
            return None;
        }
        let idempotency = deployment.classes[record.class].idempotency;
        if delay == 0 && record.has_live_decode() {
            let problem = format!("({idempotency:?}) is sent again while an attempt is in flight");
            return Some((Rule::DuplicateExecution, problem));
        }
        let problem = forbidden_retry(now.saturating_sub(delay), deployment, idempotency, record, worker)?;
        Some((Rule::DuplicateExecution, problem))
    }

    /// The router has been told that the attempt on a connection never ran.
    pub fn attempt_never_ran(&mut self, request: usize, on: Connection) {
        let attempts = self.requests[request].attempts.iter_mut();
        attempts.filter(|attempt| attempt.on == on).for_each(|attempt| attempt.never_ran = true);
    }

    /// The router has ended a connection.
    pub fn connection_aborted(&mut self, on: Connection) {
        let attempts = self.requests.iter_mut().flat_map(|record| &mut record.attempts);
        attempts.filter(|attempt| attempt.on == on).for_each(|attempt| attempt.cancelled = true);
    }

    /// The attempts on a connection have ended: their worker has responded, or one side has ended the connection.
    pub fn attempts_ended(&mut self, now: Micros, on: Connection) -> Vec<EndedAttempt> {
        let mut ended = vec![];
        for (request, record) in self.requests.iter_mut().enumerate() {
            for attempt in record.attempts.iter_mut().filter(|a| a.in_flight && a.on == on) {
                attempt.in_flight = false;
                record.held_since = now;
                ended.push(EndedAttempt { request, worker: attempt.worker, is_decode: attempt.is_decode });
            }
        }
        ended
    }

    /// Whether a worker still works on an attempt of the request on that connection.
    pub fn is_in_flight(&self, request: usize, on: Connection) -> bool {
        self.requests[request].attempts.iter().any(|attempt| attempt.in_flight && attempt.on == on)
    }

    /// Whether a prefill of the request is in flight.
    pub fn is_prefill_in_flight(&self, request: usize) -> bool {
        self.requests[request].has_prefill_in_flight()
    }

    /// Whether a worker holds the request's KV state.
    pub fn has_state(&self, request: usize) -> bool {
        self.requests[request].state_at.is_some()
    }

    /// Whether the worker holds a decode reservation for the request.
    pub fn has_reservation(&self, request: usize, worker: usize) -> bool {
        self.requests[request].reservation_at == Some(worker)
    }

    /// Whether a decode attempt would have to prefill first.
    pub fn needs_prefill(&self, request: usize) -> bool {
        !self.has_state(request) && !self.requests[request].stream_started
    }

    /// A prefill has completed at a worker, which holds the KV state now.
    pub fn state_stored(&mut self, now: Micros, request: usize, worker: usize) {
        let record = &mut self.requests[request];
        record.state_at = Some(worker);
        record.held_since = now;
    }

    /// A worker has made a decode reservation, unless the attempt has come already or its stream has begun.
    pub fn reserved(&mut self, now: Micros, request: usize, worker: usize) {
        let record = &mut self.requests[request];
        if !record.stream_started && !record.has_decode_in_flight() {
            record.reservation_at = Some(worker);
            record.held_since = now;
        }
    }

    /// A running worker has released all that it held for the request, but what an attempt in flight needs.
    pub fn released(&mut self, request: usize) {
        let record = &mut self.requests[request];
        if !record.has_decode_in_flight() {
            record.state_at = None;
        }
        record.reservation_at = None;
    }

    /// A worker has begun to stream the response: all that was held for it is used.
    pub fn stream_started(&mut self, request: usize) {
        let record = &mut self.requests[request];
        record.state_at = None;
        record.reservation_at = None;
        record.stream_started = true;
    }

    /// What a worker held and worked on is gone with its process.
    pub fn worker_died(&mut self, now: Micros, worker: usize) {
        for record in &mut self.requests {
            record.state_at = record.state_at.filter(|at| *at != worker);
            record.reservation_at = record.reservation_at.filter(|at| *at != worker);
            for attempt in record.attempts.iter_mut().filter(|a| a.in_flight && a.worker == worker) {
                attempt.in_flight = false;
                record.held_since = now;
            }
        }
    }

    /// Checks the rules that hold at any instant: what is held is released in time, and each client has a response.
    pub fn check(&mut self, now: Micros, deployment: &GeneratedDeployment) {
        let mut last = None;
        for (request, record) in self.requests.iter().enumerate().filter(|(_, record)| !record.router_killed)
        {
            if let Some((held, worker)) = record.held().filter(|_| !record.has_attempt_in_flight()) {
                let limit = deployment.max_hold + HOLD_SLACK + SLACK + self.observation_delay;
                if now > record.held_since + limit {
                    let since_ms = (record.held_since - self.started_at) / MS;
                    let message =
                        format!("the {held} of request {request} at {worker} is held since {since_ms} ms");
                    last = Some((Rule::HeldTooLong, message));
                }
            }
            let is_open = record.response_started_at.is_none() && record.client_disconnected_at.is_none();
            if is_open && now > record.deadline + SLACK + self.observation_delay {
                last = Some((Rule::LostRequest, format!("request {request} has no response in time")));
            }
        }
        if let Some((rule, message)) = last {
            self.report(now, rule, message);
        }
    }
}

/// Why a decode attempt is forbidden after those before it that may have run, if so.
fn forbidden_retry(
    now: Micros,
    deployment: &GeneratedDeployment,
    idempotency: Idempotency,
    record: &RequestRecord,
    worker: usize,
) -> Option<String> {
    let first = record.first_possible_run()?;
    match idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NonIdempotent => Some("(NonIdempotent) is sent again, and may have run".to_string()),
        Idempotency::WithKey { window, .. } if now > first.received_at + window + SLACK => {
            let (after_ms, window_ms) = ((now - first.received_at) / MS, window / MS);
            Some(format!("(WithKey) is sent again after {after_ms} ms of {window_ms}"))
        }
        Idempotency::WithKey { scope, .. } if !deployment.share_dedup_scope(scope, first.worker, worker) => {
            Some(format!("(WithKey) is sent again outside its {scope:?}"))
        }
        Idempotency::WithKey { .. } => None,
    }
}
