//! The books of one router: submissions, shots and workers as plain data, and the pulling of the module's
//! decisions. Both protocols keep theirs here and carry words through [`Transport`].

use std::collections::BTreeMap;

use metrics::{counter, gauge, histogram};
use tideroute::scheduler::Scheduler;
use tideroute::types::{
    AttemptOutcome, Endpoint, EndpointStatus, Idempotency, NewRequest, RequestId, Role, TenthMillis, WorkerId,
};
use tideroute_admission::{Asked, Known, Tenant, Ticket, Verdict};
use tideroute_invariants::{AttemptPermit, FinalResponse, RequestRecord, Violation};
use tideroute_wire::Micros;

use crate::config::LifecycleConfig;
use crate::endpoint_incarnations::{EndpointIncarnations, Incarnation};
use crate::loop_lag::LoopLag;
use crate::request_table::{RequestState, RequestTable};
use crate::tenant_admission::TenantAdmission;
use crate::transport::{Response, Timer, Transport};

/// Microseconds in one of the module's tenths of a millisecond.
pub(crate) const MICROS_PER_TENTH_MILLI: Micros = 100;

pub(crate) fn to_tenth_millis(at: Micros) -> TenthMillis {
    (at / MICROS_PER_TENTH_MILLI) as TenthMillis
}

pub struct RequestLifecycle<A> {
    pub(crate) config: LifecycleConfig,
    pub(crate) scheduler: Scheduler,
    pub requests: RequestTable<A>,
    /// What the list says of each worker, the role by its kind beside it.
    pub(crate) endpoints: BTreeMap<WorkerId, (Endpoint, Role)>,
    endpoint_list_version: u64,
    incarnations: EndpointIncarnations,
    /// What came of decisions while they were pulled; the module hears it after the last of them.
    pub(crate) finished_attempts: Vec<(RequestId, u16, AttemptOutcome)>,
    /// Submissions that may be over and free of everything.
    pub(crate) closing: Vec<RequestId>,
    pub(crate) health_checks: BTreeMap<u64, WorkerId>,
    pub(crate) health_check_nonce: u64,
    /// The module has heard something since it was last asked.
    pub(crate) scheduling_needed: bool,
    pub(crate) loop_lag: LoopLag,
    pub(crate) tenant_admission: Option<TenantAdmission>,
    stopping: bool,
    /// How many open submissions the figures show.
    reported_open_requests: Option<usize>,
}

impl<A> RequestLifecycle<A> {
    pub fn new(config: LifecycleConfig, now: Micros) -> RequestLifecycle<A> {
        RequestLifecycle {
            scheduler: Scheduler::new(config.scheduler.clone(), config.seed, to_tenth_millis(now)),
            requests: RequestTable::new(config.seed),
            tenant_admission: config
                .tenants
                .as_ref()
                .map(|t| TenantAdmission::new(t, config.limits_share, admission_config(&config), now)),
            config,
            endpoints: BTreeMap::new(),
            endpoint_list_version: 0,
            incarnations: EndpointIncarnations::default(),
            finished_attempts: vec![],
            closing: vec![],
            health_checks: BTreeMap::new(),
            health_check_nonce: 0,
            scheduling_needed: true,
            loop_lag: LoopLag::default(),
            stopping: false,
            reported_open_requests: None,
        }
    }

    /// The version of the list in force.
    pub fn endpoint_list_version(&self) -> u64 {
        self.endpoint_list_version
    }

    /// The list will be asked for all that it holds.
    pub fn reset_endpoint_list_version(&mut self) {
        self.endpoint_list_version = 0;
    }

    /// Discovery has been heard, and what it told has been taken.
    pub fn discovery_synced(&mut self, now: Micros) {
        self.incarnations.discovery_synced(now);
    }

    /// The Unix time of a worker's start as it was told.
    pub fn reported_start_time(&self, worker: WorkerId) -> Micros {
        self.incarnations.reported_start_time(worker)
    }

    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(|(endpoint, _)| endpoint)
    }

    /// Whether the shot is the one that is out, at this worker. What comes for another was called back.
    pub fn is_in_flight(&self, id: RequestId, number: u16, worker: WorkerId) -> bool {
        let attempt = self.requests.get(id).and_then(|s| s.attempt.as_ref());
        attempt.is_some_and(|s| s.number == number && s.worker == worker)
    }

    /// Gives a submission its final answer, once.
    pub(crate) fn respond(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: Response,
        transport: &mut impl Transport<Context = A>,
    ) {
        let Some(s) = self.requests.get_mut(id).filter(|s| !s.finished) else { return };
        let (answer, permit) = match s.record.permit_response(kind_of(answer)) {
            Ok(permit) => (answer, permit),
            Err(violation) => {
                self.report_violation(id, violation);
                // What may not be refused has failed: it is owed an answer all the same.
                let Some(s) = self.requests.get_mut(id) else { return };
                let Ok(permit) = s.record.permit_response(FinalResponse::Failed) else { return };
                (Response::Failed, permit)
            }
        };
        let Some(s) = self.requests.get_mut(id) else { return };
        s.finished = true;
        self.closing.push(id);
        let first =
            s.first_token_at.or_else(|| matches!(answer, Response::Rejected(_)).then_some(Micros::MAX));
        let (came, prompt, class_index) = (s.arrived_at, s.prompt_tokens, usize::from(s.class));
        transport.respond(id, s, answer, permit);
        let outcome = match answer {
            Response::Completed(_) => "honoured",
            Response::Rejected(_) => "turned back",
            Response::Failed => "abandoned",
        };
        let class = self.config.classes.get(class_index).cloned().unwrap_or_default();
        counter!("tideroute_answers_total", "outcome" => outcome, "track" => class).increment(1);
        histogram!("tideroute_answer_seconds").record(now.saturating_sub(came) as f64 / 1e6);
        tracing::debug!(id, outcome, attempts = s.attempts, "answered");
        if let (Some(tenant_admission), Some(class)) =
            (&mut self.tenant_admission, self.config.scheduler.classes.get(class_index))
        {
            let ttft_objective =
                came + class.ttft_objective_for(f64::from(prompt)) as Micros * MICROS_PER_TENTH_MILLI;
            let known = first.map(|at| if at <= ttft_objective { Known::InTime } else { Known::Late });
            tenant_admission.shares.answered(now, Ticket(id), known.unwrap_or(Known::Nothing));
            self.scheduling_needed = true;
        }
    }

    /// Counts and tells a step that a rule forbids, with the request's story. The step is not done.
    pub(crate) fn report_violation(&mut self, id: RequestId, violation: Violation) {
        let (rule, reason) = (violation.rule().name(), violation.reason.name());
        counter!("tideroute_invariant_violations_total", "rule" => rule).increment(1);
        let record = self.requests.get(id).map(|s| &s.record);
        tracing::error!(id, rule, reason, ?record, "an invariant would be broken: the step is refused");
    }

    /// Asks whether an attempt may leave on its connection, which has just come up.
    pub fn permit_transmission(&mut self, now: Micros, id: RequestId, number: u16) -> Option<AttemptPermit> {
        let permit = self.requests.get(id)?.record.permit_transmission(to_tenth_millis(now), number);
        permit.map_err(|violation| self.report_violation(id, violation)).ok()
    }

    /// A shot has ended: the module hears of it, and the client if that was the end of its stream.
    pub fn finish_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        outcome: AttemptOutcome,
        transport: &mut impl Transport<Context = A>,
    ) {
        let Some(s) = self.requests.get_mut(id) else { return };
        let Some(attempt) = s.attempt.take_if(|s| s.number == number) else { return };
        s.record.attempt_finished(number, outcome);
        transport.attempt_finished(id, s, &attempt, outcome);
        let terminal = s.finished || attempt.streaming || outcome == AttemptOutcome::Completed;
        if outcome == AttemptOutcome::PrefillComplete {
            s.state_holder = Some(attempt.worker);
        }
        tracing::debug!(id, attempt = number, worker = ?attempt.worker, ?outcome, "a shot ended");
        counter!("tideroute_shots_ended_total", "ending" => name_of(outcome)).increment(1);
        self.scheduler.attempt_finished(to_tenth_millis(now), id, number, outcome, terminal);
        self.scheduling_needed = true;
        self.closing.push(id);
        if outcome == AttemptOutcome::Completed {
            self.respond(now, id, Response::Completed(attempt.tokens), transport);
        } else if attempt.streaming {
            self.respond(now, id, Response::Failed, transport);
        }
    }

    /// The first of the shot's answer is there: it belongs to the client now, and all else held goes by itself.
    pub fn response_started(
        &mut self,
        now: Micros,
        id: RequestId,
        transport: &mut impl Transport<Context = A>,
    ) {
        let Some(s) = self.requests.get_mut(id) else { return };
        let Some(attempt) = s.attempt.as_mut().filter(|s| !s.streaming) else { return };
        attempt.streaming = true;
        s.record.response_started();
        let (worker, number, came) = (attempt.worker, attempt.number, s.arrived_at);
        (s.state_holder, s.first_token_at) = (None, Some(now));
        for place in std::mem::take(&mut s.reservations) {
            transport.cancel_reservation(id, place, place != worker);
        }
        tracing::debug!(id, attempt = number, worker = %shown(worker), "an answer begins");
        self.scheduler.response_started(to_tenth_millis(now), id, number);
        self.scheduling_needed = true;
        histogram!("tideroute_first_token_seconds").record(now.saturating_sub(came) as f64 / 1e6);
    }

    /// A writer's answer on a place. The module hears it while the read is out; after that it has gone by what
    /// it knew then.
    pub fn reservation_answered(
        &mut self,
        now: Micros,
        id: RequestId,
        at: WorkerId,
        held: bool,
        transport: &mut impl Transport<Context = A>,
    ) {
        let Some(s) = self.requests.get_mut(id).filter(|s| s.reservations.last() == Some(&at)) else {
            return;
        };
        if !held {
            s.reservations.clear();
            transport.cancel_reservation(id, at, false);
        }
        if s.attempt.as_ref().is_some_and(|s| s.is_prefill) {
            self.scheduler.reservation_answered(to_tenth_millis(now), id, held);
            self.scheduling_needed = true;
        }
    }

    /// The client no longer waits. A stream that nobody reads ends; the rest is the module's to call back.
    pub fn client_disconnected(
        &mut self,
        now: Micros,
        id: RequestId,
        transport: &mut impl Transport<Context = A>,
    ) {
        let Some(s) = self.requests.get_mut(id) else { return };
        s.finished = true;
        s.record.client_disconnected();
        self.closing.push(id);
        counter!("tideroute_left_total").increment(1);
        self.scheduler.client_disconnected(to_tenth_millis(now), id);
        self.tenant_admission.iter_mut().for_each(|t| t.shares.left(now, Ticket(id)));
        self.scheduling_needed = true;
        let Some(attempt) = &s.attempt else { return };
        let number = attempt.number;
        if attempt.streaming {
            transport.cancel(id, attempt);
            self.finish_attempt(now, id, number, AttemptOutcome::Cancelled, transport);
        } else if transport.cancel_if_unsent(id, attempt) {
            // Guards against a connection that comes up only now, and an attempt that begins for nobody.
            self.finish_attempt(now, id, number, AttemptOutcome::NotSent, transport);
        }
    }

    /// Why one more submission can't be taken: all that may be open is.
    pub fn rejection(&self, full_client: bool) -> Option<(&'static str, Micros)> {
        let full = full_client || self.requests.len() >= self.config.max_open_requests;
        if !full && !self.stopping {
            return None;
        }
        let why = if full { "full" } else { "stopping" };
        counter!("tideroute_untaken_total", "why" => why).increment(1);
        Some((why, if full { self.retry_after() } else { 0 }))
    }

    /// How long who is told that there is no room should stay away; 0 where the terms allow no such advice.
    pub fn retry_after(&self) -> Micros {
        let config = &self.config.scheduler;
        if config.retry_after_enabled {
            config.max_retry_after.max(0) as Micros * MICROS_PER_TENTH_MILLI
        } else {
            0
        }
    }

    /// Takes a new submission; with a tenant it may have to wait until its share lets it in.
    pub fn accept(
        &mut self,
        now: Micros,
        s: RequestState<A>,
        tenant: Option<Tenant>,
        transport: &mut impl Transport<Context = A>,
    ) -> RequestId {
        let (class, deadline, tokens) = (s.class, s.deadline, s.prompt_tokens);
        let repeat = self
            .config
            .scheduler
            .classes
            .get(usize::from(class))
            .map_or(Idempotency::NonIdempotent, |t| t.idempotency);
        let record = RequestRecord::new(repeat, to_tenth_millis(deadline));
        let id = self.requests.insert(RequestState { record, ..s });
        counter!("tideroute_taken_total").increment(1);
        transport.set_timer(deadline, Timer::Deadline(id));
        self.scheduling_needed = true;
        let priority_weight =
            self.config.scheduler.classes.get(usize::from(class)).map_or(0.0, |t| t.priority_weight);
        let Some(tenant_admission) = &mut self.tenant_admission else {
            self.admit_to_scheduler(now, id);
            return id;
        };
        match tenant {
            Some(tenant) => {
                let ticket = Ticket(id);
                tenant_admission
                    .shares
                    .asked(now, Asked { ticket, tenant, tokens, priority_weight, deadline });
            }
            None => self.respond(now, id, Response::Rejected(0), transport),
        }
        id
    }

    /// The module hears of a submission.
    fn admit_to_scheduler(&mut self, now: Micros, id: RequestId) {
        let Some(s) = self.requests.get(id).filter(|s| !s.finished) else { return };
        let new_request = NewRequest {
            id,
            class: s.class,
            session: s.session,
            prefix: s.prefix,
            prompt_tokens: f64::from(s.prompt_tokens),
            remaining_time: to_tenth_millis(s.deadline.saturating_sub(now)),
        };
        self.scheduler.request_arrived(to_tenth_millis(now), new_request);
        self.scheduling_needed = true;
    }

    /// Carries out what the shares decide.
    fn run_admission(&mut self, now: Micros, transport: &mut impl Transport<Context = A>) {
        while let Some(verdict) = self.tenant_admission.as_mut().and_then(|t| t.shares.decide(now)) {
            match verdict {
                Verdict::Let(Ticket(id)) => self.admit_to_scheduler(now, id),
                Verdict::TurnBack { ticket: Ticket(id), after } => {
                    counter!("tideroute_untaken_total", "why" => "share").increment(1);
                    let after = if self.config.scheduler.retry_after_enabled { after } else { 0 };
                    self.respond(now, id, Response::Rejected(after), transport);
                }
                Verdict::Wake { at } => transport.set_timer(at, Timer::Admission),
            }
        }
    }

    /// The client's time is up: a shot that has not begun to answer has timed out, also where its client has gone and
    /// nothing may be called back.
    fn deadline_expired(&mut self, now: Micros, id: RequestId, transport: &mut impl Transport<Context = A>) {
        let Some(s) = self.requests.get(id).filter(|s| !s.is_streaming()) else { return };
        let Some(attempt) = &s.attempt else {
            self.scheduling_needed = true;
            return;
        };
        let number = attempt.number;
        let outcome =
            if transport.cancel(id, attempt) { AttemptOutcome::NotSent } else { AttemptOutcome::TimedOut };
        self.finish_attempt(now, id, number, outcome, transport);
    }

    /// A worker that was probed says how much it works on or has waiting, in the unit of the terms.
    pub fn load_reported(&mut self, now: Micros, nonce: u64, amount: f64) {
        if let Some(&worker) = self.health_checks.get(&nonce) {
            self.scheduler.load_reported(to_tenth_millis(now), worker, amount);
        }
    }

    pub fn health_check_finished(
        &mut self,
        now: Micros,
        nonce: u64,
        well: bool,
        transport: &mut impl Transport<Context = A>,
    ) {
        let Some(worker) = self.health_checks.remove(&nonce) else { return };
        transport.health_check_finished(worker);
        self.scheduler.health_check_finished(to_tenth_millis(now), worker, well);
        self.scheduling_needed = true;
    }

    /// Begins a page of the list; entries follow.
    pub fn begin_endpoint_update(&mut self, now: Micros, version: u64, whole: bool) {
        if whole {
            self.endpoints.values_mut().for_each(|(l, _)| l.status = EndpointStatus::Removed);
            self.scheduler.begin_endpoint_snapshot(to_tenth_millis(now));
        }
        (self.endpoint_list_version, self.scheduling_needed) = (version, true);
    }

    /// A worker that is gone may be told by its name alone.
    pub fn endpoint_removed(&mut self, now: Micros, worker: WorkerId) {
        if let Some((known, _)) = self.endpoints.get(&worker) {
            let gone = Endpoint { status: EndpointStatus::Removed, ..*known };
            self.apply_endpoint(now, gone);
        }
    }

    /// A worker is listed, its start in Unix time; what that says of its process.
    pub fn endpoint_updated(&mut self, now: Micros, endpoint: Endpoint) -> Incarnation {
        let told = endpoint.start_time.max(0) as Micros * MICROS_PER_TENTH_MILLI;
        let process = self.incarnations.observe(now, endpoint.worker, told);
        self.apply_endpoint(now, Endpoint { start_time: to_tenth_millis(process.started_at), ..endpoint });
        process
    }

    /// The module hears of a worker whose start is one on this router's clock.
    fn apply_endpoint(&mut self, now: Micros, endpoint: Endpoint) {
        let Some(&role) = self.config.scheduler.role_by_kind.get(usize::from(endpoint.kind)) else {
            tracing::warn!(worker = %shown(endpoint.worker), kind = endpoint.kind, "a kind that no term names");
            return;
        };
        let Endpoint { worker, kind, size, status, cell, zone, start_time: started } = endpoint;
        tracing::debug!(worker = %shown(worker), ?status, kind, size, cell, zone, started, "listed");
        self.endpoints.insert(endpoint.worker, (endpoint, role));
        self.scheduler.endpoint_updated(to_tenth_millis(now), endpoint);
    }

    /// The page is complete. Workers that are gone need no books.
    pub fn finish_endpoint_update(&mut self, now: Micros) {
        let gone = |(l, _): &(Endpoint, Role)| l.status == EndpointStatus::Removed;
        let removed = self.endpoints.iter().filter(|(_, entry)| gone(entry)).map(|(worker, _)| *worker);
        removed.for_each(|worker| self.incarnations.removed(now, worker));
        self.endpoints.retain(|_, entry| !gone(entry));
        self.incarnations.forget_removed(now);
    }

    /// The list can't be heard; the old one stays in force.
    pub fn discovery_failed(&mut self, now: Micros) {
        self.scheduler.discovery_failed(to_tenth_millis(now));
        self.scheduling_needed = true;
    }

    pub fn timer_fired(&mut self, now: Micros, timer: Timer, transport: &mut impl Transport<Context = A>) {
        match timer {
            Timer::SchedulerWake => {
                self.scheduler.timer_fired(to_tenth_millis(now));
                self.scheduling_needed = true;
            }
            Timer::Deadline(id) => self.deadline_expired(now, id, transport),
            Timer::HealthCheck(nonce) => self.health_check_finished(now, nonce, false, transport),
            Timer::Admission => self.scheduling_needed = true,
        }
    }

    /// Pulls decisions until none is left.
    pub fn run_scheduling_pass(&mut self, now: Micros, transport: &mut impl Transport<Context = A>) {
        while std::mem::take(&mut self.scheduling_needed) {
            self.run_admission(now, transport);
            while let Some(decision) = self.scheduler.next_action(to_tenth_millis(now)) {
                self.carry_out(now, decision, transport);
            }
            for (id, attempt, outcome) in std::mem::take(&mut self.finished_attempts) {
                self.finish_attempt(now, id, attempt, outcome, transport);
            }
        }
        self.close_finished(transport);
        if self.reported_open_requests != Some(self.requests.len()) {
            self.reported_open_requests = Some(self.requests.len());
            gauge!("tideroute_open", "core" => self.config.name.clone()).set(self.requests.len() as f64);
        }
    }

    /// Lets go of what is left of submissions that are over and forgets them.
    fn close_finished(&mut self, transport: &mut impl Transport<Context = A>) {
        for id in std::mem::take(&mut self.closing) {
            let Some(s) = self.requests.get(id).filter(|s| s.finished && s.attempt.is_none()) else {
                continue;
            };
            if !s.holds_nothing() {
                self.let_go(id, transport);
            }
            let Some(s) = self.requests.get(id) else { continue };
            match s.record.permit_close(s.holds_nothing()) {
                Ok(permit) => {
                    transport.request_closed(id, permit);
                    self.requests.remove(id);
                }
                Err(violation) => self.report_violation(id, violation),
            }
        }
    }

    pub fn record_loop_lag(&mut self, now: Micros, by: Micros) {
        let before = self.loop_lag.worst();
        self.loop_lag.record(now, by);
        // Each turn of the loop comes here: the figure is only written when it is another.
        if self.loop_lag.worst() != before {
            gauge!("tideroute_late_seconds", "core" => self.config.name.clone())
                .set(self.loop_lag.worst() as f64 / 1e6);
        }
    }

    /// What is left of a client's time, given how late the loop has been of late.
    pub fn remaining_time(&self, left: Micros) -> Micros {
        self.loop_lag.remaining_time(left)
    }

    /// Takes nothing new from now on.
    pub fn shut_down(&mut self) {
        tracing::info!(open = self.requests.len(), "stops: takes nothing new");
        self.stopping = true;
    }

    pub fn is_drained(&self) -> bool {
        self.stopping && self.requests.all_finished()
    }
}

/// A quarter of what may be open may wait to be let in.
fn admission_config(config: &LifecycleConfig) -> tideroute_admission::Terms {
    tideroute_admission::Terms {
        longest_wait: config.max_admission_wait,
        most_waiting: (config.max_open_requests / 4).max(1),
        longest_advice: config.scheduler.max_retry_after.max(0) as Micros * MICROS_PER_TENTH_MILLI,
    }
}

fn kind_of(answer: Response) -> FinalResponse {
    match answer {
        Response::Completed(_) => FinalResponse::Completed,
        Response::Rejected(_) => FinalResponse::Rejected,
        Response::Failed => FinalResponse::Failed,
    }
}

fn name_of(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Completed => "honoured",
        AttemptOutcome::ServerError => "fault",
        AttemptOutcome::Rejected => "full",
        AttemptOutcome::StateMissing => "stateless",
        AttemptOutcome::TimedOut => "timed out",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::ConnectionReset => "broken",
        AttemptOutcome::Cancelled => "withdrawn",
        AttemptOutcome::NotSent => "never sent",
        AttemptOutcome::PrefillComplete => "read",
    }
}

/// A worker's address as people write it.
pub fn shown(worker: WorkerId) -> String {
    let [a, b, c, d, high, low] = worker;
    format!("{a}.{b}.{c}.{d}:{}", u16::from_be_bytes([high, low]))
}
