//! Slow start: limits what all routers together send to a worker that is warming up, and what this router has in
//! flight at a worker that started or recovered until it answers (the trickle).

use super::backoff::FIRST_BACKOFF;
use super::request::Requester;
use super::stage::{PerStage, Stage};
use super::timing::RATE_TIME_CONSTANT;
use super::worker::Worker;
use crate::ewma::Ewma;
use crate::in_flight::Load;
use crate::rendezvous::unit_hash;
use crate::types::{Role, SchedulerConfig, TenthMillis};
use crate::worker_registry::WorkerRegistry;

/// The largest probability with which the attempts of all routers at a warming worker exceed a limit: the sum of
/// the worker's budget, twice the budget's square root, and two (a Chernoff bound; `docs/design.md`, "What
/// changed for scale").
const OVERLOAD_RISK: f64 = 1e-4;
/// A warming worker may get up to this multiple of its present capacity, because work warms it up.
const MAX_LOAD_FACTOR: f64 = 1.5;
/// Number of attempts that a worker may have in flight before its first answer.
const TRICKLE_ATTEMPTS: u32 = 2;

/// Returns whether a worker that started or recovered has as much in flight as its trickle allows:
/// [`TRICKLE_ATTEMPTS`], and one more for each answer.
pub fn is_trickle_full(now: TenthMillis, warm_up_time: TenthMillis, worker: &Worker, load: &Load) -> bool {
    let is_new = now - worker.in_service_since < warm_up_time && worker.in_service_since > 0;
    is_new && load.prefills + load.streams >= TRICKLE_ATTEMPTS + worker.answers
}

/// Decayed counts of the attempts of one stage that were sent and answered.
#[derive(Default)]
struct Flow {
    sent: Ewma,
    answered: Ewma,
}

/// The input of [`SlowStart::admits`] beside the request and the flows.
pub struct SlowStartView<'a> {
    pub config: &'a SchedulerConfig,
    pub registry: &'a WorkerRegistry,
    /// The worker that is warming up.
    pub worker: &'a Worker,
    /// The cell of the request's prefill; set if only requests that were prefilled in that cell are considered
    /// for the worker.
    pub cell: Option<u16>,
}

/// The flows of this router, from which the fleet-wide budget of a warming worker is estimated.
pub struct SlowStart {
    flows: PerStage<Flow>,
    /// Since when this router has recorded flows.
    observed_since: TenthMillis,
}

impl SlowStart {
    /// Creates the flows of a router that starts now.
    pub fn new(now: TenthMillis) -> SlowStart {
        SlowStart { flows: PerStage::default(), observed_since: now }
    }

    /// Records that an attempt of a stage was sent.
    pub fn record_sent(&mut self, now: TenthMillis, stage: Stage) {
        self.flows.get_mut(stage).sent.add(now, RATE_TIME_CONSTANT, 1.0);
    }

    /// Records that an attempt of a stage was answered.
    pub fn record_answered(&mut self, now: TenthMillis, stage: Stage) {
        self.flows.get_mut(stage).answered.add(now, RATE_TIME_CONSTANT, 1.0);
    }

    /// Returns whether a request may go to a worker that is warming up. Repeated calls give the same result as
    /// long as the flows are the same, because a hash of the request and the worker decides instead of a random
    /// number.
    ///
    /// Guards against overloading a warming worker, by any number of routers. A request is admitted with a
    /// probability that follows the worker's part of the capacity of all workers. It is so small that the
    /// attempts of all routers hardly ever exceed the configured multiple of the worker's present capacity plus
    /// an allowance for chance.
    pub fn admits(&mut self, now: TenthMillis, request: Requester, view: &SlowStartView) -> bool {
        let SlowStartView { config, registry, worker, cell } = *view;
        let flow_share = cell.map_or(1.0, |cell| registry.prefill_share(cell));
        let peers = registry.peers(&worker.endpoint, worker.role, now, config.warm_up_time);
        let stage = if worker.role == Role::Prefill { Stage::Prefill } else { Stage::Decode };
        let flow = self.flows.get_mut(stage);
        let sent = flow.sent.read(now, RATE_TIME_CONSTANT);
        let answered = flow.answered.read(now, RATE_TIME_CONSTANT);

        let warm_up_progress = (now - worker.endpoint.start_time) as f64 / config.warm_up_time as f64;
        let present_capacity =
            config.cold_capacity_share + (1.0 - config.cold_capacity_share) * warm_up_progress;
        let warm_peer_equivalents =
            (peers.warm + (peers.serving - peers.warm) * present_capacity).max(1.0) / peers.relative_size;
        // The length of time whose attempts the decayed sums hold: less than the time constant for a router that
        // started a short time ago.
        let since_start = (now - self.observed_since + FIRST_BACKOFF) as f64;
        let observed_time =
            RATE_TIME_CONSTANT as f64 * (1.0 - (-(since_start / RATE_TIME_CONSTANT as f64)).exp());
        // The number of attempts of all routers that a warm peer answers in the overload window.
        let peer_answers = answered * config.overload_window as f64 / observed_time
            * f64::from(config.router_count)
            / warm_peer_equivalents;
        let budget = config.overload_multiple * present_capacity * peer_answers;
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        let expected_attempts = limit / std::f64::consts::E * OVERLOAD_RISK.powf(1.0 / limit);
        let load_factor =
            (expected_attempts / peer_answers.max(0.001)).min(present_capacity * MAX_LOAD_FACTOR);
        let probability =
            load_factor * answered / (sent.max(1.0) * warm_peer_equivalents * flow_share.max(0.001));
        unit_hash(request.id, worker.id()) < probability
    }
}
