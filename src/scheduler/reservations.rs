//! Decode reservations (the design's places ahead): capacity at a decode worker that is asked for while the prompt
//! is still prefilled, and the release of KV states that find no decode worker.

use super::decode_placement::DecodeScope;
use super::fleet::Fleet;
use super::request::RequestState;
use super::retry;
use super::stage::Stage;
use super::worker::Worker;
use crate::types::{SchedulerConfig, TenthMillis, WorkerId};

/// Reservations that one prefill may ask for, over which it looks no further beyond its cell, and decode workers that
/// are asked for a load report with it: each costs a call.
const MAX_CALLS_AHEAD: usize = 4;
/// Part of the state release timeout after which a KV state that found no decode worker is released; the rest covers
/// the time between passes.
const RELEASE_TIMEOUT_SHARE: f64 = 0.7;

/// What is asked of decode workers during a prefill.
pub enum AskAhead {
    Nothing,
    /// A reservation at this worker.
    Reservation(WorkerId),
    /// How much these workers have.
    LoadReports(Vec<WorkerId>),
}

/// Whether a KV state has waited for a decode worker so long that it is released.
pub fn is_state_overdue(config: &SchedulerConfig, now: TenthMillis, request: &RequestState) -> bool {
    let limit = (config.state_release_timeout as f64 * RELEASE_TIMEOUT_SHARE) as TenthMillis;
    request.idle_since + limit <= now
}

impl Fleet {
    /// What to ask of decode workers while a request is prefilled: a reservation at the next one of the prefill
    /// worker's cell; where none may be asked for, load reports of all.
    pub fn ask_ahead(&mut self, now: TenthMillis, request: &RequestState) -> AskAhead {
        let reservations_enabled = self.config.reservations_enabled;
        let reports_tell_prompts = self.config.load_reports_enabled && self.config.load_in_tokens;
        if request.reservation.is_some() || !reservations_enabled && !reports_tell_prompts {
            return AskAhead::Nothing;
        }
        let Some(attempt) = &request.attempt else { return AskAhead::Nothing };
        if attempt.stage != Stage::Prefill || attempt.cancelled {
            return AskAhead::Nothing;
        }
        let Some(endpoint) = self.workers.get(&attempt.worker).map(|worker| worker.endpoint) else {
            return AskAhead::Nothing;
        };
        if !reservations_enabled {
            return AskAhead::LoadReports(self.query_decode_load(endpoint.cell));
        }
        match self.reservation_target(now, request, DecodeScope::within(endpoint.cell, endpoint.zone)) {
            Some(worker) => AskAhead::Reservation(worker),
            None => AskAhead::Nothing,
        }
    }

    fn query_decode_load(&mut self, cell: u16) -> Vec<WorkerId> {
        let mut workers = self.registry.decode_workers_in(cell).to_vec();
        workers.truncate(MAX_CALLS_AHEAD);
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
        if target.is_none() && tried.len() < MAX_CALLS_AHEAD && self.gate.admits(now, &mut self.rng) {
            target = self.least_loaded_decode_worker(now, requester, near.beyond(), not_rejected);
        }
        target.filter(|id| retry::may_run_at(&self.config, now, request, self.workers.get(id)))
    }
}
