//! All workers as this router sees them: what it learned of each from the endpoint list, attempts and health
//! checks, what it has in flight at each, and whether a worker may be sent to. The placement rules are
//! implemented on [`Fleet`] in other files of this module.

use std::collections::{BTreeSet, HashMap};

use foldhash::fast::FixedState;

use super::cross_cell_gate::CrossCellGate;
use super::load_shares::prefill_shares;
use super::outlier_detection::{is_ejected, LossRates};
use super::request::{Attempt, RequestState, Requester};
use super::slow_start::{is_trickle_full, SlowStart, SlowStartView};
use super::stage::Stage;
use super::timing::RATE_TIME_CONSTANT;
use super::wait_times::WaitTimes;
use super::worker::{HealthCheck, Worker, SPILL_TOKENS};
use crate::in_flight::InFlight;
use crate::prefix_popularity::PrefixPopularity;
use crate::rng::Rng;
use crate::types::{AttemptOutcome, Endpoint, EndpointStatus, Role, SchedulerConfig, TenthMillis, WorkerId};
use crate::worker_registry::WorkerRegistry;

/// A prefix is forgotten when its decayed count of requests is this or less.
const FORGET_PREFIX_AT: f64 = 0.01;

/// The state that the placement rules read.
pub struct Fleet {
    pub config: SchedulerConfig,
    pub rng: Rng,
    pub workers: HashMap<WorkerId, Worker, FixedState>,
    pub in_flight: InFlight,
    pub registry: WorkerRegistry,
    pub gate: CrossCellGate,
    pub waits: WaitTimes,
    pub prefixes: PrefixPopularity,
    /// The part of attempts that are lost at all workers together.
    pub losses: LossRates,
    slow_start: SlowStart,
    /// The workers that are in a backoff or suspected.
    watched: BTreeSet<WorkerId>,
}

impl Fleet {
    /// Creates a fleet without workers.
    pub fn new(config: SchedulerConfig, seed: u64, now: TenthMillis) -> Fleet {
        Fleet {
            rng: Rng::new(seed),
            workers: HashMap::default(),
            in_flight: InFlight::default(),
            registry: WorkerRegistry::default(),
            gate: CrossCellGate::new(&config),
            waits: WaitTimes::default(),
            prefixes: PrefixPopularity::default(),
            losses: LossRates::default(),
            slow_start: SlowStart::new(now),
            watched: BTreeSet::new(),
            config,
        }
    }

    /// Begins a full snapshot of the endpoint list: workers that it does not name are removed.
    pub fn begin_endpoint_snapshot(&mut self) {
        for worker in self.workers.values_mut() {
            worker.endpoint.status = EndpointStatus::Removed;
        }
    }

    /// Adds or updates one endpoint. Ignores one whose kind is not in the configuration.
    pub fn update_endpoint(&mut self, now: TenthMillis, endpoint: Endpoint) {
        let Some(&role) = self.config.role_by_kind.get(usize::from(endpoint.kind)) else { return };
        let worker = self.workers.entry(endpoint.worker).or_insert_with(|| Worker::new(now, endpoint, role));
        worker.update_endpoint(endpoint, role);
    }

    /// Rebuilds the indices that are derived from the endpoint list.
    pub fn rebuild_registry(&mut self) {
        let mut workers: Vec<&Worker> = self.workers.values().collect();
        workers.sort_unstable_by_key(|worker| worker.id());
        let shares = prefill_shares(&workers);
        let endpoints = workers.iter().map(|worker| (&worker.endpoint, worker.role));
        self.registry = WorkerRegistry::new(endpoints, shares);
    }

    /// Returns the cell of a worker; None if the endpoint list never named it.
    pub fn cell_of(&self, worker: WorkerId) -> Option<u16> {
        self.workers.get(&worker).map(|worker| worker.endpoint.cell)
    }

    /// Records the arrival of a request whose prompt begins with a prefix, 0 for none.
    pub fn record_prefix(&mut self, now: TenthMillis, prefix: u64) {
        self.prefixes.add(now, RATE_TIME_CONSTANT, prefix, FORGET_PREFIX_AT);
    }

    /// Records that an attempt was sent, and adds its load to the load that the worker reported.
    pub fn record_sent(&mut self, now: TenthMillis, worker: WorkerId, stage: Stage, prompt_tokens: f64) {
        let load = self.config.load_of(prompt_tokens);
        let Some(worker) = self.workers.get_mut(&worker) else { return };
        worker.add_to_reported_load(load);
        self.slow_start.record_sent(now, stage);
    }

    /// Records that a response began or a prefill completed.
    pub fn record_answer(&mut self, now: TenthMillis, class: u8, attempt: &Attempt, stage: Stage) {
        let wait = now - attempt.sent_at;
        self.waits.record(now, stage, class, wait as f64);
        self.slow_start.record_answered(now, stage);
        self.losses.record(now, class, false);
        let Some(worker) = self.workers.get_mut(&attempt.worker) else { return };
        worker.losses.record(now, class, false);
        worker.record_answer(now, wait);
    }

    /// Records a lost attempt, and suspects its worker.
    pub fn record_loss(&mut self, now: TenthMillis, class: u8, worker: WorkerId) {
        self.losses.record(now, class, true);
        let Some(state) = self.workers.get_mut(&worker) else { return };
        state.losses.record(now, class, true);
        self.suspect(worker);
    }

    /// Marks a worker as suspected: a health check is to find out whether the whole worker is dead.
    pub fn suspect(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.suspected = true;
        self.watched.insert(id);
    }

    /// Records how an attempt finished. [`RequestState::finish_attempt`] is called before.
    pub fn record_outcome(
        &mut self,
        now: TenthMillis,
        request: &RequestState,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let class = request.class();
        let Some(worker) = self.workers.get_mut(&attempt.worker) else { return };
        match outcome {
            AttemptOutcome::PrefillComplete => {
                worker.answers += 1;
                self.record_answer(now, class, attempt, Stage::Prefill);
            }
            AttemptOutcome::Completed | AttemptOutcome::StateMissing => worker.answers += 1,
            AttemptOutcome::Rejected => {
                worker.record_rejection(now);
                if attempt.stage == Stage::Prefill {
                    // A rejection by a full prefill worker counts as a wait of the whole latency objective.
                    self.waits.record(now, Stage::Prefill, class, request.ttft_allowance() as f64);
                }
            }
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionReset => {
                // A connection may break while its worker is healthy. Where health checks are enabled, the first
                // failure in a row therefore starts an empty backoff, so that a health check follows at once.
                let check_at_once = worker.backoff.is_first() && self.config.health_checks_enabled;
                let jitter = if check_at_once { 0.0 } else { 1.0 + self.rng.unit() };
                worker.backoff.start(now, jitter);
                self.watched.insert(attempt.worker);
            }
            AttemptOutcome::ServerError => self.record_loss(now, class, attempt.worker),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// Records a worker's answer to a reservation request.
    pub fn record_reservation_answer(&mut self, now: TenthMillis, worker: WorkerId, granted: bool) {
        let Some(worker) = self.workers.get_mut(&worker) else { return };
        if granted {
            worker.clear_rejection(now);
        } else {
            worker.record_rejection(now);
        }
    }

    /// Records the result of a health check.
    pub fn record_health_check(&mut self, now: TenthMillis, id: WorkerId, healthy: bool) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let check = std::mem::take(&mut worker.health_check);
        if healthy {
            worker.renew_load_report(now);
            if worker.backoff.is_active() {
                worker.recover(now);
            }
        } else if check == HealthCheck::LoadQuery {
            self.suspect(id);
        } else {
            worker.backoff.start(now, 1.0 + self.rng.unit());
            self.watched.insert(id);
        }
    }

    /// Records the load that a worker reported in a health check.
    pub fn record_load_report(&mut self, now: TenthMillis, worker: WorkerId, load: f64) {
        // Where reservations are disabled, a decode worker with too many waiting prompt tokens counts as having
        // rejected.
        let is_full = !self.config.reservations_enabled && self.config.load_in_tokens && load > SPILL_TOKENS;
        let Some(worker) = self.workers.get_mut(&worker) else { return };
        worker.record_load_report(now, load);
        if is_full && worker.role != Role::Prefill {
            worker.record_rejection(now);
        }
    }

    /// Marks a load query as in progress at a worker. Returns false, and changes nothing, if a health check is in
    /// progress there already or the worker is not available.
    pub fn begin_load_query(&mut self, worker: WorkerId) -> bool {
        let Some(worker) = self.workers.get_mut(&worker) else { return false };
        if worker.health_check != HealthCheck::None || !worker.is_available() {
            return false;
        }
        worker.health_check = HealthCheck::LoadQuery;
        true
    }

    /// Returns the workers that are in a backoff.
    pub fn in_backoff(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.watched.iter().copied().filter(|id| self.workers[id].backoff.is_active())
    }

    /// Returns the workers whose health is to be checked, and marks the check as in progress: those whose backoff
    /// has elapsed and those that are suspected. Where health checks are disabled, puts workers back in service
    /// when their backoff has elapsed, and returns none.
    pub fn review_watched(&mut self, now: TenthMillis) -> Vec<WorkerId> {
        let mut to_check = vec![];
        for id in &self.watched {
            let Some(worker) = self.workers.get_mut(id) else { continue };
            if worker.endpoint.status == EndpointStatus::Removed {
                continue;
            }
            let backoff_elapsed = worker.backoff.has_elapsed(now);
            if !self.config.health_checks_enabled {
                if backoff_elapsed {
                    worker.recover(now);
                }
                continue;
            }
            let is_due = backoff_elapsed || worker.suspected && !worker.backoff.is_active();
            if is_due && worker.health_check == HealthCheck::None {
                worker.health_check = HealthCheck::Probe;
                worker.suspected = false;
                to_check.push(*id);
            }
        }
        self.watched.retain(|id| self.workers[id].suspected || self.workers[id].backoff.is_active());
        to_check
    }

    /// Returns whether an attempt or reservation may go to a worker. `cell` is set if only requests that were
    /// prefilled in that cell are considered for the worker.
    pub fn is_usable(
        &mut self,
        now: TenthMillis,
        id: WorkerId,
        request: Requester,
        cell: Option<u16>,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(&id) else { return false };
        let warm_up_time = self.config.warm_up_time;
        if !worker.is_available() || is_trickle_full(now, warm_up_time, worker, self.in_flight.at(id)) {
            return false;
        }
        if is_ejected(now, request.class, &mut self.losses, &mut worker.losses) {
            return false;
        }
        !worker.is_warming_up(now, warm_up_time) || self.slow_start_admits(now, id, request, cell)
    }

    /// Returns whether slow start admits a request to a worker that is warming up.
    pub fn slow_start_admits(
        &mut self,
        now: TenthMillis,
        id: WorkerId,
        request: Requester,
        cell: Option<u16>,
    ) -> bool {
        let Some(worker) = self.workers.get(&id) else { return false };
        let view = SlowStartView { config: &self.config, registry: &self.registry, worker, cell };
        self.slow_start.admits(now, request, &view)
    }
}
