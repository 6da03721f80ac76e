//! Slow start: how much a worker is sent while it warms up, by all routers together, and the trickle that a worker
//! is sent after a start or a recovery until it answers.

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

/// The bound on the probability that many routers' sum at a warming worker goes beyond its budget and twice its root
/// and two (a Chernoff bound; `docs/design.md`, "What changed for scale").
const OVERLOAD_RISK: f64 = 1e-4;
/// A warming worker may get so many times what it can do for sure: what it works on warms it.
const MAX_LOAD_FACTOR: f64 = 1.5;
/// Attempts that a worker may have in flight before its first answer.
const TRICKLE_ATTEMPTS: u32 = 2;

/// Whether a worker that started or came back has in flight all that its trickle allows: two attempts, and one more
/// for each answer.
pub fn is_trickle_full(now: TenthMillis, warm_up_time: TenthMillis, worker: &Worker, load: &Load) -> bool {
    let is_new = now - worker.in_service_since < warm_up_time && worker.in_service_since > 0;
    is_new && load.prefills + load.streams >= TRICKLE_ATTEMPTS + worker.answers
}

/// What was lately sent in a stage, and what was answered.
#[derive(Default)]
struct Flow {
    sent: Ewma,
    answered: Ewma,
}

/// What the rule looks at beside the flows.
pub struct SlowStartView<'a> {
    pub config: &'a SchedulerConfig,
    pub registry: &'a WorkerRegistry,
    /// The worker that is warming up.
    pub worker: &'a Worker,
    /// The cell of the request's prefill, if only such requests may be sent there.
    pub cell: Option<u16>,
}

/// The flows by which the fleet-wide budget of a warming worker is estimated.
pub struct SlowStart {
    flows: PerStage<Flow>,
    /// Since when this router has seen any.
    observed_since: TenthMillis,
}

impl SlowStart {
    /// A router that starts now.
    pub fn new(now: TenthMillis) -> SlowStart {
        SlowStart { flows: PerStage::default(), observed_since: now }
    }

    /// An attempt of a stage was sent.
    pub fn record_sent(&mut self, now: TenthMillis, stage: Stage) {
        self.flows.get_mut(stage).sent.add(now, RATE_TIME_CONSTANT, 1.0);
    }

    /// An attempt of a stage was answered.
    pub fn record_answered(&mut self, now: TenthMillis, stage: Stage) {
        self.flows.get_mut(stage).answered.add(now, RATE_TIME_CONSTANT, 1.0);
    }

    /// Whether a request may go to a worker that is warming up. The answer depends only on the request and worker
    /// as long as the flows are the same, so that it can be asked for more than once.
    ///
    /// Guards against pushing over a warming worker, by any number of routers: only requests that draw it go there,
    /// by its part of what all workers can do, and so few that the routers' sum hardly ever goes beyond the stated
    /// multiple of what it can do and what is put down to chance.
    pub fn admits(&mut self, now: TenthMillis, request: Requester, view: &SlowStartView) -> bool {
        let SlowStartView { config, registry, worker, cell } = *view;
        let flow_share = cell.map_or(1.0, |cell| registry.prefill_share(cell));
        let peers = registry.peers(&worker.endpoint, worker.role, now, config.warm_up_time);
        let stage = if worker.role == Role::Prefill { Stage::Prefill } else { Stage::Decode };
        let flow = self.flows.get_mut(stage);
        let sent = flow.sent.read(now, RATE_TIME_CONSTANT);
        let answered = flow.answered.read(now, RATE_TIME_CONSTANT);

        let warmed = (now - worker.endpoint.start_time) as f64 / config.warm_up_time as f64;
        let present_capacity = config.cold_capacity_share + (1.0 - config.cold_capacity_share) * warmed;
        let able_peers =
            (peers.warm + (peers.serving - peers.warm) * present_capacity).max(1.0) / peers.relative_size;
        // How much of an endless flow the decayed sums hold: less for a router that began a short time ago.
        let since_start = (now - self.observed_since + FIRST_BACKOFF) as f64;
        let observed_time =
            RATE_TIME_CONSTANT as f64 * (1.0 - (-(since_start / RATE_TIME_CONSTANT as f64)).exp());
        // Fleet-wide, a warm peer answers so many attempts in the overload window.
        let peer_answers = answered * config.overload_window as f64 / observed_time
            * f64::from(config.router_count)
            / able_peers;
        let budget = config.overload_multiple * present_capacity * peer_answers;
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        let mean = limit / std::f64::consts::E * OVERLOAD_RISK.powf(1.0 / limit);
        let share = (mean / peer_answers.max(0.001)).min(present_capacity * MAX_LOAD_FACTOR);
        let probability = share * answered / (sent.max(1.0) * able_peers * flow_share.max(0.001));
        unit_hash(request.id, worker.id()) < probability
    }
}
