//! The state of one request.

use super::outlier_detection::suspicion_age;
use super::stage::Stage;
use crate::in_flight::{AttemptOccupancy, Occupancy, Work};
use crate::scheduling_queue::{Parked, PromptTokens, QueueKey, QueuePosition};
use crate::types::{
    AttemptOutcome, Endpoint, Idempotency, NewRequest, RequestClass, RequestId, SchedulerConfig, TenthMillis,
    WorkerId,
};

/// The part of the latency objective that the time to a first token may use before admission control rejects
/// requests and placement avoids a slow prefill worker.
pub const USABLE_OBJECTIVE_SHARE: f64 = 0.5;

/// A request's attempt that is in flight.
pub struct Attempt {
    /// Counted from 0 over the attempts of both stages.
    pub number: u16,
    pub worker: WorkerId,
    /// The worker as it was listed when the attempt was sent.
    pub endpoint: Endpoint,
    pub stage: Stage,
    pub sent_at: TenthMillis,
    /// The response has begun.
    pub started: bool,
    pub cancelled: bool,
    /// The attempt's age has made its worker suspected.
    pub suspected: bool,
    /// The attempt counts as lost.
    pub lost: bool,
    /// The KV state crosses cells.
    pub cross_cell: bool,
}

/// A decode reservation: capacity requested at a decode worker while the prompt is still being prefilled. The
/// design calls it a place ahead.
#[derive(Clone, Copy)]
pub struct Reservation {
    pub worker: WorkerId,
    /// The worker has granted it.
    pub confirmed: bool,
}

/// The first attempt that may have run.
#[derive(Clone, Copy)]
pub struct FirstRun {
    pub sent_at: TenthMillis,
    /// The worker as it was listed when the attempt was sent.
    pub endpoint: Endpoint,
}

/// The request for which a worker is searched.
#[derive(Clone, Copy)]
pub struct Requester {
    pub id: RequestId,
    pub class: u8,
}

/// One request's state.
pub struct RequestState {
    pub new_request: NewRequest,
    pub arrived_at: TenthMillis,
    /// The time by which the first token is wanted.
    pub ttft_objective: TenthMillis,
    pub deadline: TenthMillis,
    /// Number of attempts sent, of both stages.
    pub attempts: u16,
    /// The attempt in flight.
    pub attempt: Option<Attempt>,
    pub reservation: Option<Reservation>,
    /// Decode workers at which a reservation was requested during the current prefill.
    pub reservations_tried: Vec<WorkerId>,
    /// The prefill worker that keeps the request's KV state.
    pub kv_state_at: Option<WorkerId>,
    /// When the request arrived or its last attempt finished.
    pub idle_since: TenthMillis,
    pub first_run: Option<FirstRun>,
    /// A KV state or reservation that cannot be used any more is to be released.
    pub must_release: bool,
    /// Whether admission control has decided about the request; it is then not asked again.
    pub admission_decided: bool,
    /// The request has its final response, or its client is gone.
    pub ended: bool,
    /// What in-flight accounting currently counts for the request.
    pub occupancy: Occupancy,
    pub queue_position: QueuePosition,
}

impl RequestState {
    /// Creates the state of a request that arrives now.
    pub fn new(now: TenthMillis, new_request: NewRequest, class: &RequestClass) -> RequestState {
        RequestState {
            new_request,
            arrived_at: now,
            ttft_objective: now + class.ttft_objective_for_prompt(new_request.prompt_tokens),
            deadline: now + new_request.remaining_time,
            attempts: 0,
            attempt: None,
            reservation: None,
            reservations_tried: vec![],
            kv_state_at: None,
            idle_since: now,
            first_run: None,
            must_release: false,
            admission_decided: false,
            ended: false,
            occupancy: Occupancy::default(),
            queue_position: QueuePosition::default(),
        }
    }

    pub fn id(&self) -> RequestId {
        self.new_request.id
    }

    pub fn class(&self) -> u8 {
        self.new_request.class
    }

    pub fn requester(&self) -> Requester {
        Requester { id: self.id(), class: self.class() }
    }

    /// Returns the time from the request's arrival to its latency objective.
    pub fn ttft_allowance(&self) -> TenthMillis {
        self.ttft_objective - self.arrived_at
    }

    /// Returns how long a worker may take to answer before it counts as slow for this request.
    pub fn usable_wait(&self) -> f64 {
        self.ttft_allowance() as f64 * USABLE_OBJECTIVE_SHARE
    }

    /// Returns whether the request has a KV state or a reservation.
    pub fn holds_state(&self) -> bool {
        self.kv_state_at.is_some() || self.reservation.is_some()
    }

    pub fn has_confirmed_reservation(&self) -> bool {
        self.reservation.is_some_and(|reservation| reservation.confirmed)
    }

    pub fn has_reservation_at(&self, worker: WorkerId) -> bool {
        self.reservation.is_some_and(|reservation| reservation.worker == worker)
    }

    /// Forgets the KV state and the reservation, because the response has begun or they are released.
    pub fn clear_state(&mut self) {
        self.kv_state_at = None;
        self.reservation = None;
        self.must_release = false;
    }

    /// Records how an attempt finished and returns the attempt; None if it is not the one in flight.
    pub fn finish_attempt(
        &mut self,
        now: TenthMillis,
        number: u16,
        outcome: AttemptOutcome,
        terminal: bool,
    ) -> Option<Attempt> {
        let attempt = self.attempt.take_if(|attempt| attempt.number == number)?;
        self.idle_since = now;
        self.ended |= terminal;
        if attempt.stage == Stage::Decode && !outcome.never_ran() && self.first_run.is_none() {
            self.first_run = Some(FirstRun { sent_at: attempt.sent_at, endpoint: attempt.endpoint });
        }
        let had_confirmed_reservation =
            self.has_confirmed_reservation() && self.has_reservation_at(attempt.worker);
        if outcome == AttemptOutcome::PrefillComplete {
            self.kv_state_at = Some(attempt.worker);
        } else if attempt.stage == Stage::Prefill
            || outcome == AttemptOutcome::StateMissing
            || had_confirmed_reservation
        {
            // The KV state is lost, or was transferred to a worker that failed: the request needs a new prefill.
            self.must_release |= self.holds_state();
            self.kv_state_at = None;
            self.reservation = None;
        } else {
            self.reservation = None;
        }
        Some(attempt)
    }

    /// Returns what the request occupies at workers now.
    pub fn current_occupancy(&self) -> Occupancy {
        let attempt = self.attempt.as_ref().map(|attempt| {
            let is_in_prefill = attempt.stage == Stage::Prefill && !attempt.started;
            let tokens = self.new_request.prompt_tokens;
            AttemptOccupancy {
                worker: attempt.worker,
                work: if is_in_prefill { Work::Prefill { tokens } } else { Work::Stream },
                awaited_since: (!attempt.started).then_some(attempt.sent_at),
            }
        });
        // A reservation and the attempt that uses it count as one stream.
        let reservation = self.reservation.map(|reservation| reservation.worker);
        let reservation =
            reservation.filter(|worker| attempt.is_none_or(|occupied| occupied.worker != *worker));
        Occupancy { attempt, reservation }
    }

    /// Returns the request's position in the scheduling queue; `examined` is true if a pass has just decided
    /// about it.
    pub fn current_queue_position(&self, config: &SchedulerConfig, examined: bool) -> QueuePosition {
        let mut position = QueuePosition::default();
        if let Some(attempt) = self.attempt.as_ref().filter(|attempt| !attempt.started) {
            let age = suspicion_age(self.ttft_allowance() as f64) as TenthMillis;
            position.suspicious_from = Some(attempt.sent_at + age);
        }
        let may_reserve = |attempt: &Attempt| {
            attempt.stage == Stage::Prefill
                && !attempt.cancelled
                && self.reservation.is_none()
                && config.reservations_enabled
        };
        if self.ended || !self.attempt.as_ref().is_none_or(may_reserve) {
            return position;
        }
        position.key = Some(QueueKey {
            needs_prefill: self.kv_state_at.is_none(),
            ttft_objective: self.ttft_objective,
            id: self.id(),
        });
        if examined && self.attempt.is_none() && self.kv_state_at.is_none() {
            let until = self.parked_until(config.classes[usize::from(self.class())].idempotency);
            position.parked = Some(Parked { until, prompt: PromptTokens(self.new_request.prompt_tokens) });
        }
        position
    }

    /// Returns until when nothing but room at a prefill worker can change the decision about the request.
    fn parked_until(&self, idempotency: Idempotency) -> TenthMillis {
        let latest = self.ttft_objective.min(self.deadline);
        match (idempotency, self.first_run) {
            (Idempotency::IdempotentWithKey { window, .. }, Some(first_run)) => {
                latest.min(first_run.sent_at + window)
            }
            _ => latest,
        }
    }
}
