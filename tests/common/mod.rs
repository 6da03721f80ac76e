//! A simple model of what the rules allow. It drives a scheduler and checks each of its actions.
#![allow(dead_code)]

use std::collections::BTreeMap;

use tideroute::scheduler::Scheduler;
use tideroute::types::*;

/// One millisecond.
pub const MS: TenthMillis = 10;

/// Returns a request class with the given idempotency.
pub fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        idempotency,
        ttft_objective: 1500 * MS,
        ttft_objective_per_1000_tokens: 40 * MS,
        priority_weight: 1.0,
    }
}

/// Returns a configuration with four request classes, by number: idempotent, non-idempotent, idempotent with a key
/// that is recognized within a cell, and idempotent with a key that is recognized everywhere.
pub fn config() -> SchedulerConfig {
    let within_cell = Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, window: 300 * MS };
    let everywhere = Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, window: 300 * MS };
    SchedulerConfig {
        router_count: 3,
        classes: [Idempotency::Idempotent, Idempotency::NonIdempotent, within_cell, everywhere]
            .map(class)
            .to_vec(),
        role_by_kind: vec![Role::Prefill, Role::Decode],
        reservations_enabled: true,
        decode_workers_prefill: false,
        state_release_timeout: 500 * MS,
        cold_capacity_share: 0.3,
        warm_up_time: 10_000 * MS,
        overload_multiple: 2.5,
        overload_window: 2000 * MS,
        max_attempts: 5,
        cancellation_enabled: true,
        health_checks_enabled: true,
        load_reports_enabled: false,
        load_in_tokens: false,
        endpoint_watch_enabled: false,
        retry_after_enabled: true,
        max_retry_after: 1000 * MS,
    }
}

/// An attempt in flight.
#[derive(Debug)]
pub struct Attempt {
    pub number: u16,
    pub worker: WorkerId,
    pub is_prefill: bool,
    pub sent_at: TenthMillis,
    pub started: bool,
}

/// The model's state of one request.
#[derive(Debug)]
pub struct OpenRequest {
    pub class: u8,
    pub ttft_objective: TenthMillis,
    pub deadline: TenthMillis,
    pub attempts: u16,
    pub attempt: Option<Attempt>,
    /// When and to which worker the first attempt was sent that may have run.
    pub first_run: Option<(TenthMillis, WorkerId)>,
    /// The decode worker at which a reservation was requested.
    pub reserved_at: Option<WorkerId>,
    /// Whether the reservation has not been answered yet.
    pub reservation_pending: bool,
    /// Whether a worker holds a KV state or a reservation for the request.
    pub holds_state: bool,
    /// When the request arrived or its last attempt finished.
    pub idle_since: TenthMillis,
    pub ended: bool,
}

impl OpenRequest {
    fn awaits_response(&self) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| !attempt.started)
    }

    fn has_started(&self) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.started)
    }
}

/// The scheduler under test with its workers and requests.
pub struct World {
    pub scheduler: Scheduler,
    pub config: SchedulerConfig,
    pub now: TenthMillis,
    pub endpoints: BTreeMap<WorkerId, Endpoint>,
    pub requests: BTreeMap<RequestId, OpenRequest>,
    /// Workers whose health is to be checked; a test answers in their place.
    pub health_checks: Vec<WorkerId>,
    pub timers: Vec<TenthMillis>,
    pub actions: Vec<(TenthMillis, Action)>,
    /// Number of attempts that each worker has answered since it started.
    pub answers: BTreeMap<WorkerId, u32>,
    next_id: RequestId,
}

/// Returns the id of worker `n`.
pub fn worker(n: u8) -> WorkerId {
    [10, 0, 0, n, 1, 0]
}

/// Returns the entry of worker `n` in the endpoint list. Each cell has three workers: a prefill worker (`n`
/// divisible by 3) and two decode workers.
pub fn endpoint(n: u8) -> Endpoint {
    Endpoint {
        worker: worker(n),
        kind: u16::from(!n.is_multiple_of(3)),
        size: 4.0,
        status: EndpointStatus::Serving,
        cell: u16::from(n / 3),
        zone: n / 3,
        start_time: 0,
    }
}

impl World {
    pub fn new(config: SchedulerConfig, workers: u8) -> World {
        World::seeded(config, workers, 7)
    }

    pub fn seeded(config: SchedulerConfig, workers: u8, seed: u64) -> World {
        let now = 1_000_000;
        let mut world = World {
            scheduler: Scheduler::new(config.clone(), seed, now),
            config,
            now,
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            health_checks: vec![],
            timers: vec![],
            actions: vec![],
            answers: BTreeMap::new(),
            next_id: 1 + seed * 1000,
        };
        world.scheduler.begin_endpoint_snapshot(now);
        (0..workers).for_each(|n| world.update_endpoint(endpoint(n)));
        world.drain_actions();
        world
    }

    /// Returns whether the scheduler has returned an action.
    pub fn has_acted(&self, action: &Action) -> bool {
        self.actions.iter().any(|(_, taken)| taken == action)
    }

    /// Passes a changed endpoint to the scheduler, which decides at the next call that drains its actions.
    pub fn update_endpoint(&mut self, endpoint: Endpoint) {
        let old = self.endpoints.insert(endpoint.worker, endpoint);
        if old.is_none_or(|old| old.start_time != endpoint.start_time) {
            self.answers.insert(endpoint.worker, 0);
        }
        self.scheduler.endpoint_updated(self.now, endpoint);
    }

    pub fn send_request(
        &mut self,
        class: u8,
        prefix: u64,
        prompt_tokens: f64,
        remaining_time: TenthMillis,
    ) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let new_request = NewRequest { id, class, session: id, prefix, prompt_tokens, remaining_time };
        assert!(self.scheduler.request_arrived(self.now, new_request));
        let allowance = self.config.classes[usize::from(class)].ttft_objective_for_prompt(prompt_tokens);
        let request = OpenRequest {
            class,
            ttft_objective: self.now + allowance,
            deadline: self.now + remaining_time,
            attempts: 0,
            attempt: None,
            first_run: None,
            reserved_at: None,
            reservation_pending: false,
            holds_state: false,
            idle_since: self.now,
            ended: false,
        };
        self.requests.insert(id, request);
        self.drain_actions();
        id
    }

    pub fn finish_attempt(&mut self, id: RequestId, outcome: AttemptOutcome) {
        let request = self.requests.get_mut(&id).expect("the request should be known");
        let attempt = request.attempt.take().expect("an attempt should be in flight");
        let never_ran = matches!(
            outcome,
            AttemptOutcome::Rejected
                | AttemptOutcome::StateMissing
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
                | AttemptOutcome::PrefillComplete
        );
        if !attempt.is_prefill && !never_ran && request.first_run.is_none() {
            request.first_run = Some((attempt.sent_at, attempt.worker));
        }
        if matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::PrefillComplete) {
            *self.answers.entry(attempt.worker).or_default() += 1;
        }
        let terminal = outcome == AttemptOutcome::Completed || attempt.started;
        request.holds_state |= outcome == AttemptOutcome::PrefillComplete;
        request.holds_state &= !terminal;
        request.reservation_pending = false;
        request.idle_since = self.now;
        request.ended |= terminal;
        self.scheduler.attempt_finished(self.now, id, attempt.number, outcome, request.ended);
        self.drain_actions();
    }

    pub fn start_response(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("the request should be known");
        let attempt = request.attempt.as_mut().expect("an attempt should be in flight");
        attempt.started = true;
        request.holds_state = false;
        request.reserved_at = None;
        self.scheduler.response_started(self.now, id, attempt.number);
        self.drain_actions();
    }

    pub fn answer_reservation(&mut self, id: RequestId, granted: bool) {
        let request = self.requests.get_mut(&id).expect("the request should be known");
        assert!(std::mem::take(&mut request.reservation_pending), "each reservation should be answered once");
        request.holds_state |= granted;
        self.scheduler.reservation_answered(self.now, id, granted);
        self.drain_actions();
    }

    pub fn disconnect_client(&mut self, id: RequestId) {
        self.requests.get_mut(&id).expect("the request should be known").ended = true;
        self.scheduler.client_disconnected(self.now, id);
        self.drain_actions();
    }

    /// Advances the time; timers fire when due, and unanswered attempts time out at their request's deadline.
    pub fn advance(&mut self, time: TenthMillis) {
        let until = self.now + time;
        loop {
            let timer = self.timers.iter().copied().min().unwrap_or(until);
            let awaiting_response =
                self.requests.values().filter(|request| !request.ended && request.awaits_response());
            let deadline = awaiting_response.map(|request| request.deadline).min().unwrap_or(until);
            let next_event = deadline.min(timer).min(until);
            self.now = next_event.max(self.now);
            self.time_out_attempts();
            self.fire_timers();
            if next_event >= until {
                return;
            }
        }
    }

    fn time_out_attempts(&mut self) {
        let is_late = |request: &OpenRequest| {
            !request.ended && request.deadline <= self.now && request.awaits_response()
        };
        let late_requests = self.requests.iter().filter(|(_, request)| is_late(request)).map(|(&id, _)| id);
        for id in late_requests.collect::<Vec<_>>() {
            self.finish_attempt(id, AttemptOutcome::TimedOut);
        }
    }

    fn fire_timers(&mut self) {
        let now = self.now;
        if self.timers.iter().any(|&timer| timer <= now) {
            self.timers.retain(|&timer| timer > now);
            self.scheduler.timer_fired(now);
            self.drain_actions();
        }
    }

    /// Takes all actions of the scheduler and checks them, then checks what must hold between its calls.
    pub fn drain_actions(&mut self) {
        while let Some(action) = self.scheduler.next_action(self.now) {
            self.check_action(action);
            self.actions.push((self.now, action));
        }
        for (id, request) in &self.requests {
            assert!(
                request.ended || request.has_started() || self.now <= request.deadline,
                "{id} is unanswered after its deadline: {request:?}"
            );
            let is_held_too_long = request.holds_state
                && request.attempt.is_none()
                && self.now > request.idle_since + self.config.state_release_timeout;
            assert!(!is_held_too_long, "{id} holds its state too long at {}: {request:?}", self.now);
            assert!(
                !self.is_overdue_for_response(request),
                "{id} has no final response at {}: {request:?}",
                self.now
            );
        }
    }

    /// Returns whether a request has no final response although it can no longer succeed: no attempt is in
    /// flight, and no further one is allowed, or the request may not run again, or its objective or deadline has
    /// passed.
    fn is_overdue_for_response(&self, request: &OpenRequest) -> bool {
        let needed_attempts = if request.holds_state { 1 } else { 2 };
        let attempts_exhausted = request.attempts + needed_attempts > self.config.max_attempts;
        let must_not_run = request.first_run.is_some_and(|(sent_at, _)| {
            match self.config.classes[usize::from(request.class)].idempotency {
                Idempotency::Idempotent => false,
                Idempotency::NonIdempotent => true,
                // The window may close between two passes, so 10 ms are added.
                Idempotency::IdempotentWithKey { window, .. } => self.now > sent_at + window + 10 * MS,
            }
        });
        let is_overdue = self.now > request.ttft_objective.min(request.deadline);
        !request.ended && request.attempt.is_none() && (attempts_exhausted || must_not_run || is_overdue)
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Dispatch { id, worker, timeout: _ } => self.check_dispatch(id, worker),
            Action::ReserveDecode { id, worker } => {
                self.check_warming_worker_load(worker, None);
                let status = self.endpoints[&worker].status;
                assert_eq!(status, EndpointStatus::Serving, "reservation at a worker that is not serving");
                let request = self.requests.get_mut(&id).expect("the request should be known");
                assert!(request.attempt.as_ref().is_some_and(|attempt| attempt.is_prefill));
                request.reserved_at = Some(worker);
                request.reservation_pending = true;
            }
            Action::Release { id } => {
                let request = self.requests.get_mut(&id).expect("the request should be known");
                request.holds_state = false;
                request.reserved_at = None;
            }
            Action::CancelAttempt { id, attempt } => assert!(attempt < self.requests[&id].attempts),
            Action::Reject { id, retry_after } => self.check_rejection(id, retry_after),
            Action::Fail { id } => {
                let request = self.requests.get_mut(&id).expect("the request should be known");
                assert!(!request.ended);
                request.ended = true;
            }
            Action::CheckHealth { worker } => self.health_checks.push(worker),
            Action::WatchEndpoints => assert!(self.config.endpoint_watch_enabled),
            Action::SetTimer { delay } => self.timers.push(self.now + delay),
        }
    }

    fn check_dispatch(&mut self, id: RequestId, worker: WorkerId) {
        self.check_warming_worker_load(worker, Some(id));
        let now = self.now;
        let endpoint = self.endpoints[&worker];
        let request = self.requests.get_mut(&id).expect("the request should be known");
        assert!(
            !request.ended && request.attempt.is_none() && now < request.deadline,
            "{id} sent: {request:?}"
        );
        assert_eq!(endpoint.status, EndpointStatus::Serving, "sent to a worker that is not serving");
        assert!(request.attempts < self.config.max_attempts);
        let is_prefill = self.config.role_by_kind[usize::from(endpoint.kind)] == Role::Prefill;
        if let (Some((first_sent_at, first_worker)), false) = (request.first_run, is_prefill) {
            match self.config.classes[usize::from(request.class)].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("{id} could run twice"),
                Idempotency::IdempotentWithKey { scope, window } => {
                    assert!(now < first_sent_at + window, "{id} sent past its window");
                    assert!(
                        scope == DeduplicationScope::All
                            || self.endpoints[&first_worker].cell == endpoint.cell,
                        "wrong deduplication scope"
                    );
                }
            }
        }
        let number = request.attempts;
        request.attempts += 1;
        request.reserved_at = request.reserved_at.filter(|_| is_prefill);
        request.reservation_pending = false;
        request.attempt = Some(Attempt { number, worker, is_prefill, sent_at: now, started: false });
    }

    fn check_rejection(&mut self, id: RequestId, retry_after: TenthMillis) {
        let request = self.requests.get_mut(&id).expect("the request should be known");
        let idempotency = self.config.classes[usize::from(request.class)].idempotency;
        let everywhere =
            matches!(idempotency, Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. });
        assert!(
            request.first_run.is_none() || idempotency == Idempotency::Idempotent || everywhere,
            "{id} rejected after it ran"
        );
        assert!(!request.ended && request.attempt.is_none() && retry_after <= self.config.max_retry_after);
        request.ended = true;
    }

    /// Checks rule 4 as far as one router can keep it: a warming worker has at most two attempts in flight, and
    /// one more for each that it has answered.
    fn check_warming_worker_load(&self, worker: WorkerId, for_request: Option<RequestId>) {
        let start_time = self.endpoints[&worker].start_time;
        if start_time == 0 || self.now - start_time >= self.config.warm_up_time {
            return;
        }
        if for_request.is_some_and(|id| self.requests[&id].reserved_at == Some(worker)) {
            return;
        }
        let occupies_worker = |request: &&OpenRequest| {
            request.attempt.as_ref().is_some_and(|attempt| attempt.worker == worker)
                || request.reserved_at == Some(worker)
        };
        let in_flight = self.requests.values().filter(occupies_worker).count() as u32;
        assert!(in_flight < 2 + self.answers[&worker], "{in_flight} in flight at a warming worker");
    }
}
