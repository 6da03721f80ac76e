//! Takes the next step of one request: evaluates the rules, applies their decisions to the request and the fleet,
//! and queues the resulting actions.

use std::collections::VecDeque;

use super::admission;
use super::fleet::Fleet;
use super::request::{Attempt, RequestState, Reservation};
use super::reservations::{is_state_overdue, DecodePreparation};
use super::retry;
use super::stage::Stage;
use super::timing::PASS_INTERVAL;
use crate::in_flight::Work;
use crate::types::{Action, Endpoint, Role, TenthMillis, WorkerId};

/// The decision about a request whose KV state waits for a decode worker.
enum DecodeStep {
    /// The request was sent, keeps waiting, or got its final response.
    Decided,
    /// The KV state is released; the request needs a new prefill.
    StateReleased,
}

/// Applies decisions to requests and the fleet, and collects the actions.
pub struct Dispatcher {
    pub fleet: Fleet,
    pub actions: VecDeque<Action>,
    /// No prefill worker takes another prefill in this pass, so the remaining requests need not search for one.
    pub prefill_exhausted: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without pending actions.
    pub fn new(fleet: Fleet) -> Dispatcher {
        Dispatcher { fleet, actions: VecDeque::new(), prefill_exhausted: false }
    }

    /// Decides the next step of a request that is in the scheduling queue.
    pub fn advance(&mut self, now: TenthMillis, request: &mut RequestState) {
        if request.attempt.is_none() {
            self.forward(now, request);
        } else {
            self.prepare_decode(now, request);
        }
    }

    /// Takes the next step of a request that has no attempt in flight.
    fn forward(&mut self, now: TenthMillis, request: &mut RequestState) {
        // Without an attempt left, even a KV state that waits at its prefill worker cannot be decoded.
        let config = &self.fleet.config;
        if now + PASS_INTERVAL >= request.deadline
            || !retry::may_run(config, now, request)
            || request.attempts >= config.max_attempts
        {
            return self.finish(request);
        }
        if let Some(prefill_worker) = request.kv_state_at {
            match self.forward_to_decode(now, request, prefill_worker) {
                DecodeStep::Decided => return,
                DecodeStep::StateReleased => {}
            }
        }
        if request.attempts + 2 > self.fleet.config.max_attempts {
            return self.finish(request);
        }
        if request.attempts == 0 && !request.admission_decided {
            request.admission_decided = true;
            if !self.admits(now, request) {
                return self.finish(request);
            }
        }
        self.forward_to_prefill(now, request);
    }

    /// Returns whether admission control admits a new request.
    fn admits(&mut self, now: TenthMillis, request: &RequestState) -> bool {
        let fleet = &mut self.fleet;
        let recent_wait = fleet.waits.recent(now, request.class());
        let probability = admission::admission_probability(recent_wait, request, &fleet.config.classes);
        let is_shed = fleet.rng.unit() > probability;
        !is_shed
    }

    fn forward_to_decode(
        &mut self,
        now: TenthMillis,
        request: &mut RequestState,
        prefill_worker: WorkerId,
    ) -> DecodeStep {
        let fleet = &mut self.fleet;
        let is_overdue = is_state_overdue(&fleet.config, now, request);
        let worker = fleet.decode_worker_for(now, request, prefill_worker);
        let worker =
            worker.filter(|id| retry::may_run_at(&fleet.config, now, request, fleet.workers.get(id)));
        if let Some(worker) = worker {
            let cross_cell = fleet.cell_of(prefill_worker) != fleet.cell_of(worker);
            if !request.has_reservation_at(worker) {
                request.reservation = None;
            }
            self.dispatch(now, request, worker, Stage::Decode, cross_cell);
            return DecodeStep::Decided;
        }
        if is_overdue || request.has_confirmed_reservation() {
            self.release(request);
            return DecodeStep::StateReleased;
        }
        self.finish_if_hopeless(now, request);
        DecodeStep::Decided
    }

    fn forward_to_prefill(&mut self, now: TenthMillis, request: &mut RequestState) {
        if self.prefill_exhausted {
            return self.finish_if_hopeless(now, request);
        }
        let candidates = self.fleet.prefill_candidates(now, request);
        self.prefill_exhausted = candidates.exhausted;
        let choice = self.fleet.least_loaded_by_report(now, request, &candidates.workers);
        self.query_load(choice.to_query);
        if let Some(worker) = choice.worker {
            let role = self.fleet.workers.get(&worker).map(|worker| worker.role);
            let stage = if role == Some(Role::Prefill) { Stage::Prefill } else { Stage::Decode };
            request.reservations_tried.clear();
            self.dispatch(now, request, worker, stage, false);
            return self.prepare_decode(now, request);
        }
        if candidates.workers.is_empty() {
            self.finish_if_hopeless(now, request);
        }
    }

    /// Requests a decode reservation, or load reports, while the prompt is prefilled.
    fn prepare_decode(&mut self, now: TenthMillis, request: &mut RequestState) {
        match self.fleet.decode_preparation(now, request) {
            DecodePreparation::Nothing => {}
            DecodePreparation::LoadReports(workers) => self.query_load(workers),
            DecodePreparation::Reservation(worker) => {
                request.reservations_tried.push(worker);
                request.reservation = Some(Reservation { worker, confirmed: false });
                // An attempt will follow the reservation, so it counts against a warming worker's cap from now on.
                self.fleet.in_flight.add_provisional(worker, Work::Stream);
                self.actions.push_back(Action::ReserveDecode { id: request.id(), worker });
            }
        }
    }

    fn query_load(&mut self, workers: Vec<WorkerId>) {
        self.actions.extend(workers.into_iter().map(|worker| Action::CheckHealth { worker }));
    }

    fn dispatch(
        &mut self,
        now: TenthMillis,
        request: &mut RequestState,
        worker: WorkerId,
        stage: Stage,
        cross_cell: bool,
    ) {
        let known = self.fleet.workers.get(&worker);
        let endpoint = known.map_or_else(Endpoint::default, |known| known.endpoint);
        request.attempt = Some(Attempt {
            number: request.attempts,
            worker,
            endpoint,
            stage,
            sent_at: now,
            started: false,
            cancelled: false,
            suspected: false,
            lost: false,
            cross_cell,
        });
        request.attempts += 1;
        let tokens = request.new_request.prompt_tokens;
        self.fleet.record_sent(now, worker, stage, tokens);
        if stage == Stage::Prefill {
            self.fleet.in_flight.add_provisional(worker, Work::Prefill { tokens });
        } else if !request.has_reservation_at(worker) {
            self.fleet.in_flight.add_provisional(worker, Work::Stream);
        }
        self.actions.push_back(Action::Dispatch { id: request.id(), worker, timeout: 0 });
    }

    /// Queues the release of the request's KV state and reservation, and forgets both.
    pub fn release(&mut self, request: &mut RequestState) {
        self.actions.push_back(Action::Release { id: request.id() });
        request.clear_state();
    }

    fn finish_if_hopeless(&mut self, now: TenthMillis, request: &mut RequestState) {
        let usual_wait = self.fleet.waits.usual(now, request.class());
        if admission::is_hopeless(now, usual_wait, request) {
            self.finish(request);
        }
    }

    /// Queues the final response: a rejection, which tells the client that it may send the request again, if that
    /// is safe; else a failure.
    fn finish(&mut self, request: &mut RequestState) {
        if request.holds_state() {
            self.release(request);
        }
        request.ended = true;
        let id = request.id();
        let fleet = &mut self.fleet;
        let retry_after = admission::retry_after(&fleet.config, &mut fleet.rng);
        let is_rejection = retry::is_safe_to_resend(&fleet.config, request);
        self.actions.push_back(if is_rejection {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
    }

    /// Queues the cancellation of the request's attempt if it is lost, its worker is in a backoff, or its client is
    /// gone.
    pub fn review_attempt(&mut self, now: TenthMillis, request: &mut RequestState) {
        if !self.fleet.review_attempt(now, request) {
            return;
        }
        if let Some(attempt) = &request.attempt {
            self.actions.push_back(Action::CancelAttempt { id: request.id(), attempt: attempt.number });
        }
    }

    /// Queues health checks of workers that are suspected or whose backoff has elapsed.
    pub fn check_watched_workers(&mut self, now: TenthMillis) {
        let workers = self.fleet.review_watched(now);
        self.query_load(workers);
    }
}
