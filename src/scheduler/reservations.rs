//! Decode reservations: capacity requested at a decode worker while the prompt is still being prefilled (the design
//! calls them places ahead), and the release of KV states that find no decode worker.

use super::decode_placement::DecodeScope;
use super::fleet::Fleet;
use super::request::RequestState;
use super::retry;
use super::stage::Stage;
use super::worker::Worker;
use crate::types::{SchedulerConfig, TenthMillis, WorkerId};

/// After this many reservation requests, one prefill tries no further decode workers in other cells. Also the
/// number of decode workers that are asked for a load report during one prefill. Each request costs a call.
const MAX_PREPARATION_CALLS: usize = 4;
/// The part of the state release timeout after which a KV state without a decode worker is released; the rest of it
/// covers the time between scheduling passes.
const RELEASE_TIMEOUT_SHARE: f64 = 0.7;

/// What to request from decode workers during a prefill.
pub enum DecodePreparation {
    Nothing,
    /// Request a reservation at this worker.
    Reservation(WorkerId),
    /// Request load reports from these workers.
    LoadReports(Vec<WorkerId>),
}

/// Returns whether a KV state has waited so long for a decode worker that it is to be released.
pub fn is_state_overdue(config: &SchedulerConfig, now: TenthMillis, request: &RequestState) -> bool {
    let limit = (config.state_release_timeout as f64 * RELEASE_TIMEOUT_SHARE) as TenthMillis;
    request.idle_since + limit <= now
}

impl Fleet {
    /// Returns what to request from decode workers while a prompt is being prefilled: a reservation at the next
    /// suitable one, preferably in the prefill worker's cell; where reservations are disabled, load reports of
    /// the first [`MAX_PREPARATION_CALLS`] in that cell.
    pub fn decode_preparation(&mut self, now: TenthMillis, request: &RequestState) -> DecodePreparation {
        let reservations_enabled = self.config.reservations_enabled;
        let reports_count_tokens = self.config.load_reports_enabled && self.config.load_in_tokens;
        if request.reservation.is_some() || !reservations_enabled && !reports_count_tokens {
            return DecodePreparation::Nothing;
        }
        let Some(attempt) = &request.attempt else { return DecodePreparation::Nothing };
        if attempt.stage != Stage::Prefill || attempt.cancelled {
            return DecodePreparation::Nothing;
        }
        let Some(endpoint) = self.workers.get(&attempt.worker).map(|worker| worker.endpoint) else {
            return DecodePreparation::Nothing;
        };
        if !reservations_enabled {
            return DecodePreparation::LoadReports(self.query_decode_load(endpoint.cell));
        }
        match self.reservation_target(now, request, DecodeScope::within(endpoint.cell, endpoint.zone)) {
            Some(worker) => DecodePreparation::Reservation(worker),
            None => DecodePreparation::Nothing,
        }
    }

    fn query_decode_load(&mut self, cell: u16) -> Vec<WorkerId> {
        let mut workers = self.registry.decode_workers_in(cell).to_vec();
        workers.truncate(MAX_PREPARATION_CALLS);
        workers.retain(|worker| self.begin_load_query(*worker));
        workers
    }

    fn reservation_target(
        &mut self,
        now: TenthMillis,
        request: &RequestState,
        near: DecodeScope,
    ) -> Option<WorkerId> {
        let tried = &request.reservations_tried;
        let not_rejected =
            |worker: &Worker| !tried.contains(&worker.id()) && !worker.has_cached_rejection(now);
        let requester = request.requester();
        let mut target = self.least_loaded_decode_worker(now, requester, near, not_rejected);
        if target.is_none() && tried.len() < MAX_PREPARATION_CALLS && self.gate.admits(now, &mut self.rng) {
            target = self.least_loaded_decode_worker(now, requester, near.beyond(), not_rejected);
        }
        target.filter(|id| retry::may_run_at(&self.config, now, request, self.workers.get(id)))
    }
}
