//! Which decode worker an attempt or a reservation goes to: the prefill's cell first, then the fewest streams of this
//! router; rejections are cached.

use std::cmp::Ordering;

use super::fleet::Fleet;
use super::request::{RequestState, Requester};
use super::worker::Worker;
use crate::types::{TenthMillis, WorkerId};

/// Where decode workers are looked for.
#[derive(Clone, Copy)]
pub struct DecodeScope {
    /// In the cell, or everywhere but in it.
    pub same_cell: bool,
    pub cell: u16,
    /// Workers of this zone come first.
    pub zone: u8,
}

impl DecodeScope {
    /// The scope in a cell.
    pub fn within(cell: u16, zone: u8) -> DecodeScope {
        DecodeScope { same_cell: true, cell, zone }
    }

    /// The scope beyond the cell.
    pub fn beyond(self) -> DecodeScope {
        DecodeScope { same_cell: false, ..self }
    }

    /// All workers, for an attempt that prefills and decodes at one of them.
    pub fn anywhere() -> DecodeScope {
        // No cell has this number, so that all are beyond it.
        DecodeScope { same_cell: false, cell: u16::MAX, zone: 0 }
    }
}

/// What a decode worker is preferred by; the least is taken.
#[derive(PartialEq, PartialOrd)]
struct DecodeRank {
    is_other_zone: bool,
    /// One that is warming up and that the request drew comes first, or its part would fall to ties.
    is_warm: bool,
    /// This router's streams there for its size.
    streams: f64,
    /// Ties go by chance: of many routers most have no stream there, and the first id would get them all.
    tie_break: f64,
}

impl Fleet {
    /// The decode worker for a request whose KV state is at a prefill worker: the one that holds its reservation,
    /// else the fewest streams in the prefill worker's cell, else beyond it through the gate.
    pub fn decode_worker_for(
        &mut self,
        now: TenthMillis,
        request: &RequestState,
        prefill_worker: WorkerId,
    ) -> Option<WorkerId> {
        // A short prefill ends before the answer on its reservation, but the state may have gone ahead all the same.
        if let Some(reservation) = request.reservation {
            let worker = reservation.worker;
            let is_fit = self.can_use_reservation(now, request.requester(), worker, prefill_worker);
            if reservation.confirmed || is_fit {
                return is_fit.then_some(worker);
            }
        }
        let endpoint = self.workers.get(&prefill_worker)?.endpoint;
        let requester = request.requester();
        let near = DecodeScope::within(endpoint.cell, endpoint.zone);
        let not_rejected = |worker: &Worker| {
            !worker.has_cached_rejection(now) && !request.reservations_tried.contains(&worker.id())
        };
        let mut found = self.least_loaded_decode_worker(now, requester, near, not_rejected);
        if found.is_none() && self.gate.admits(now, &mut self.rng) {
            found = self.least_loaded_decode_worker(now, requester, near.beyond(), not_rejected);
        }
        // Those that rejected this request's reservation, or lately any, come last.
        let not_just_rejected = |worker: &Worker| !worker.has_just_rejected(now);
        found
            .or_else(|| self.least_loaded_decode_worker(now, requester, near, not_just_rejected))
            .or_else(|| self.least_loaded_decode_worker(now, requester, near.beyond(), not_just_rejected))
    }

    /// Whether an attempt may follow a reservation. One asked for before the worker's restart was known is an attempt
    /// at a warming worker like any other.
    fn can_use_reservation(
        &mut self,
        now: TenthMillis,
        requester: Requester,
        id: WorkerId,
        prefill_worker: WorkerId,
    ) -> bool {
        let cell = self.cell_of(prefill_worker);
        let Some(worker) = self.workers.get(&id).filter(|worker| worker.is_available()) else {
            return false;
        };
        !worker.is_warming_up(now, self.config.warm_up_time)
            || self.slow_start_admits(now, id, requester, cell)
    }

    /// Of the decode workers in a scope that fit, the usable one with the fewest streams of this router for its size.
    pub fn least_loaded_decode_worker(
        &mut self,
        now: TenthMillis,
        requester: Requester,
        scope: DecodeScope,
        fits: impl Fn(&Worker) -> bool,
    ) -> Option<WorkerId> {
        let DecodeScope { same_cell, cell, zone } = scope;
        let workers =
            if same_cell { self.registry.decode_workers_in(cell) } else { &self.registry.decode_workers };
        let is_in_scope = |worker: &&Worker| (worker.endpoint.cell == cell) == same_cell && fits(worker);
        let mut candidates = workers.to_vec();
        candidates.retain(|id| self.workers.get(id).filter(is_in_scope).is_some());
        candidates.retain(|&id| self.is_usable(now, id, requester, same_cell.then_some(cell)));
        let mut best: Option<(DecodeRank, WorkerId)> = None;
        for id in candidates {
            let worker = &self.workers[&id];
            let rank = DecodeRank {
                is_other_zone: worker.endpoint.zone != zone,
                is_warm: !worker.is_warming_up(now, self.config.warm_up_time),
                streams: f64::from(self.in_flight.at(id).streams) / worker.size(),
                tie_break: self.rng.unit(),
            };
            if best.as_ref().is_none_or(|(least, _)| least.partial_cmp(&rank).is_none_or(Ordering::is_gt)) {
                best = Some((rank, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Whether a decode worker in the cell, or beyond it through the gate, may grant a reservation.
    pub fn any_decode_worker_grants(&mut self, now: TenthMillis, cell: u16, requester: Requester) -> bool {
        (0..self.registry.decode_workers.len()).any(|index| {
            let id = self.registry.decode_workers[index];
            let same_cell = self.workers[&id].endpoint.cell == cell;
            !self.workers[&id].has_cached_rejection(now)
                && (same_cell || self.gate.admits(now, &mut self.rng))
                && self.is_usable(now, id, requester, same_cell.then_some(cell))
        })
    }

    /// Whether a decode worker grants for sure, wherever the prefill is and whichever class is asked for; no random
    /// number is drawn.
    pub fn decode_worker_surely_grants(&mut self, now: TenthMillis) -> bool {
        let warm_up_time = self.config.warm_up_time;
        let is_sure = |id: &WorkerId| {
            let worker = &self.workers[id];
            !worker.has_cached_rejection(now) && !worker.is_warming_up(now, warm_up_time)
        };
        let Some(first) = self.registry.decode_workers.iter().copied().find(is_sure) else { return false };
        self.is_usable_for_all_classes(now, first) && self.gate.is_open(now)
    }

    /// Whether a worker that is not warming up may be sent to, whichever the request.
    pub fn is_usable_for_all_classes(&mut self, now: TenthMillis, id: WorkerId) -> bool {
        let class_count = self.config.classes.len() as u8;
        // The id counts for slow start alone, which is not asked.
        (0..class_count).all(|class| self.is_usable(now, id, Requester { id: 0, class }, None))
    }
}
