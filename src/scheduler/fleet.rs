//! All workers as this router sees them: what it knows of each by the endpoint list, attempts and health checks, what
//! is in flight there, and whether it may be sent to. The placement rules are implemented on it in files of their own.

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

/// A prefix whose decayed count of requests is no more than this is forgotten.
const FORGET_PREFIX_AT: f64 = 0.01;

/// The state on which placement rules.
pub struct Fleet {
    pub config: SchedulerConfig,
    pub rng: Rng,
    pub workers: HashMap<WorkerId, Worker, FixedState>,
    pub in_flight: InFlight,
    pub registry: WorkerRegistry,
    pub gate: CrossCellGate,
    pub waits: WaitTimes,
    pub prefixes: PrefixPopularity,
    /// The part of all attempts lost.
    pub losses: LossRates,
    slow_start: SlowStart,
    /// Workers that are in a backoff or suspected.
    watched: BTreeSet<WorkerId>,
}

impl Fleet {
    /// No workers yet.
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

    /// A full snapshot of the endpoint list begins: workers that it does not name are removed.
    pub fn begin_endpoint_snapshot(&mut self) {
        for worker in self.workers.values_mut() {
            worker.endpoint.status = EndpointStatus::Removed;
        }
    }

    /// Takes in one endpoint; one whose kind the configuration does not name is ignored.
    pub fn update_endpoint(&mut self, now: TenthMillis, endpoint: Endpoint) {
        let Some(&role) = self.config.role_by_kind.get(usize::from(endpoint.kind)) else { return };
        let worker = self.workers.entry(endpoint.worker).or_insert_with(|| Worker::new(now, endpoint, role));
        worker.update_endpoint(endpoint, role);
    }

    /// Rebuilds what is derived from the endpoint list.
    pub fn rebuild_registry(&mut self) {
        let mut workers: Vec<&Worker> = self.workers.values().collect();
        workers.sort_unstable_by_key(|worker| worker.id());
        let shares = prefill_shares(&workers);
        let endpoints = workers.iter().map(|worker| (&worker.endpoint, worker.role));
        self.registry = WorkerRegistry::new(endpoints, shares);
    }

    /// The cell of a worker, if it was ever listed.
    pub fn cell_of(&self, worker: WorkerId) -> Option<u16> {
        self.workers.get(&worker).map(|worker| worker.endpoint.cell)
    }

    /// A request arrived whose prompt begins with a prefix, 0 for none.
    pub fn record_prefix(&mut self, now: TenthMillis, prefix: u64) {
        self.prefixes.add(now, RATE_TIME_CONSTANT, prefix, FORGET_PREFIX_AT);
    }

    /// An attempt was sent, which adds to what the worker reported.
    pub fn record_sent(&mut self, now: TenthMillis, worker: WorkerId, stage: Stage, prompt_tokens: f64) {
        let load = self.config.load_of(prompt_tokens);
        let Some(worker) = self.workers.get_mut(&worker) else { return };
        worker.add_to_reported_load(load);
        self.slow_start.record_sent(now, stage);
    }

    /// A response began, or a prefill completed.
    pub fn record_answer(&mut self, now: TenthMillis, class: u8, attempt: &Attempt, stage: Stage) {
        let wait = now - attempt.sent_at;
        self.waits.record(now, stage, class, wait as f64);
        self.slow_start.record_answered(now, stage);
        self.losses.record(now, class, false);
        let Some(worker) = self.workers.get_mut(&attempt.worker) else { return };
        worker.losses.record(now, class, false);
        worker.record_answer(now, wait);
    }

    /// An attempt was lost; a health check tells whether the whole worker is dead.
    pub fn record_loss(&mut self, now: TenthMillis, class: u8, worker: WorkerId) {
        self.losses.record(now, class, true);
        let Some(lost_there) = self.workers.get_mut(&worker) else { return };
        lost_there.losses.record(now, class, true);
        self.suspect(worker);
    }

    /// Has a health check tell whether the whole worker is dead.
    pub fn suspect(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.suspected = true;
        self.watched.insert(id);
    }

    /// An attempt finished; `request` has taken note of it already.
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
                    // A full prefill worker counts as a wait of the whole allowance.
                    self.waits.record(now, Stage::Prefill, class, request.ttft_allowance() as f64);
                }
            }
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionReset => {
                // Exception to the backoff: a connection may break by itself, so that the first time a health check
                // tells at once.
                let checks_at_once = worker.backoff.is_first() && self.config.health_checks_enabled;
                let jitter = if checks_at_once { 0.0 } else { 1.0 + self.rng.unit() };
                worker.backoff.start(now, jitter);
                self.watched.insert(attempt.worker);
            }
            AttemptOutcome::ServerError => self.record_loss(now, class, attempt.worker),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// A worker answered a reservation.
    pub fn record_reservation_answer(&mut self, now: TenthMillis, worker: WorkerId, granted: bool) {
        let Some(worker) = self.workers.get_mut(&worker) else { return };
        if granted {
            worker.clear_rejection(now);
        } else {
            worker.record_rejection(now);
        }
    }

    /// A health check finished.
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

    /// A worker that was checked reported how much it works on or has waiting.
    pub fn record_load_report(&mut self, now: TenthMillis, worker: WorkerId, load: f64) {
        // Exception to reservations: where none may be asked for, prompts that wait at a decode worker are its
        // rejection.
        let is_full = !self.config.reservations_enabled && self.config.load_in_tokens && load > SPILL_TOKENS;
        let Some(worker) = self.workers.get_mut(&worker) else { return };
        worker.record_load_report(now, load);
        if is_full && worker.role != Role::Prefill {
            worker.record_rejection(now);
        }
    }

    /// Marks a load query as out; false if a health check is out already or the worker is not available.
    pub fn begin_load_query(&mut self, worker: WorkerId) -> bool {
        let Some(worker) = self.workers.get_mut(&worker) else { return false };
        if worker.health_check != HealthCheck::None || !worker.is_available() {
            return false;
        }
        worker.health_check = HealthCheck::LoadQuery;
        true
    }

    /// The workers that are in a backoff.
    pub fn in_backoff(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.watched.iter().copied().filter(|id| self.workers[id].backoff.is_active())
    }

    /// Brings workers back whose backoff is over, or marks a health check as out where such are made, also of those
    /// that are suspected. The workers to check are returned.
    pub fn review_watched(&mut self, now: TenthMillis) -> Vec<WorkerId> {
        let mut to_check = vec![];
        for id in &self.watched {
            let Some(worker) = self.workers.get_mut(id) else { continue };
            if worker.endpoint.status == EndpointStatus::Removed {
                continue;
            }
            let backoff_over = worker.backoff.has_elapsed(now);
            if !self.config.health_checks_enabled {
                if backoff_over {
                    worker.recover(now);
                }
                continue;
            }
            let is_due = backoff_over || worker.suspected && !worker.backoff.is_active();
            if is_due && worker.health_check == HealthCheck::None {
                worker.health_check = HealthCheck::Probe;
                worker.suspected = false;
                to_check.push(*id);
            }
        }
        self.watched.retain(|id| self.workers[id].suspected || self.workers[id].backoff.is_active());
        to_check
    }

    /// Whether an attempt or reservation may go to a worker: chosen among all requests, or among those prefilled in
    /// one cell.
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

    /// Whether slow start lets a request go to a worker that is warming up.
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
