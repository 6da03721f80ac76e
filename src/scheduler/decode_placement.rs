//! Which decode worker an attempt or a reservation goes to. Workers in the cell of the prefill come first, and
//! among them the one with the fewest streams of this router for its size. Workers with a cached rejection are
//! avoided.

use std::cmp::Ordering;

use super::fleet::Fleet;
use super::request::{RequestState, Requester};
use super::worker::Worker;
use crate::types::{TenthMillis, WorkerId};

/// The set of decode workers that a search covers.
#[derive(Clone, Copy)]
pub struct DecodeScope {
    /// Whether to search in `cell` or in all other cells.
    pub same_cell: bool,
    pub cell: u16,
    /// The zone whose workers are preferred.
    pub zone: u8,
}

impl DecodeScope {
    /// Returns the scope of the workers in a cell.
    pub fn within(cell: u16, zone: u8) -> DecodeScope {
        DecodeScope { same_cell: true, cell, zone }
    }

    /// Returns the scope of the workers in all other cells.
    pub fn beyond(self) -> DecodeScope {
        DecodeScope { same_cell: false, ..self }
    }

    /// Returns the scope of all workers, for an attempt that prefills and decodes at the same worker.
    pub fn anywhere() -> DecodeScope {
        // No cell has this number, so every worker is in another cell.
        DecodeScope { same_cell: false, cell: u16::MAX, zone: 0 }
    }
}

/// The rank of a decode worker, compared field by field; the worker with the lowest rank is chosen.
#[derive(PartialEq, PartialOrd)]
struct DecodeRank {
    is_other_zone: bool,
    /// A warming worker that slow start admits for this request ranks before warm ones. Otherwise it would get its
    /// share only when ranks tie.
    is_warm: bool,
    /// This router's streams at the worker, divided by the worker's size.
    streams: f64,
    /// A random number that breaks ties. Most of many routers have no stream at a given worker, so without it all
    /// of them would choose the first id.
    tie_break: f64,
}

impl Fleet {
    /// Returns the decode worker for a request whose KV state is at a prefill worker: the worker that holds its
    /// reservation, else the one with the fewest streams in the prefill worker's cell, else one in another cell
    /// if the cross-cell gate admits it, else one whose cached rejection is not recent. None also while the
    /// worker of a confirmed reservation cannot be used.
    pub fn decode_worker_for(
        &mut self,
        now: TenthMillis,
        request: &RequestState,
        prefill_worker: WorkerId,
    ) -> Option<WorkerId> {
        // A short prefill may end before the answer to the reservation arrives; the KV state may have been
        // transferred to that decode worker already.
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
        // Workers that rejected this request's reservation, or have another cached rejection, are the last choice.
        let not_recently_rejected = |worker: &Worker| !worker.has_recent_rejection(now);
        found
            .or_else(|| self.least_loaded_decode_worker(now, requester, near, not_recently_rejected))
            .or_else(|| self.least_loaded_decode_worker(now, requester, near.beyond(), not_recently_rejected))
    }

    /// Returns whether an attempt may go to the worker of the request's reservation. The worker may have restarted
    /// after the reservation was requested; slow start then applies to the attempt as to any other.
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

    /// Returns the usable decode worker of a scope for which `fits` is true and that has the fewest streams of this
    /// router for its size.
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

    /// Returns whether any decode worker in the cell, or in another cell if the cross-cell gate admits it, may
    /// grant a reservation.
    pub fn any_decode_worker_may_grant(&mut self, now: TenthMillis, cell: u16, requester: Requester) -> bool {
        (0..self.registry.decode_workers.len()).any(|index| {
            let id = self.registry.decode_workers[index];
            let same_cell = self.workers[&id].endpoint.cell == cell;
            !self.workers[&id].has_cached_rejection(now)
                && (same_cell || self.gate.admits(now, &mut self.rng))
                && self.is_usable(now, id, requester, same_cell.then_some(cell))
        })
    }

    /// Returns whether [`Fleet::any_decode_worker_may_grant`] is sure to be true for every cell and request class.
    /// Draws no random number.
    pub fn is_decode_grant_certain(&mut self, now: TenthMillis) -> bool {
        let warm_up_time = self.config.warm_up_time;
        let is_certain = |id: &WorkerId| {
            let worker = &self.workers[id];
            !worker.has_cached_rejection(now) && !worker.is_warming_up(now, warm_up_time)
        };
        let Some(first) = self.registry.decode_workers.iter().copied().find(is_certain) else { return false };
        self.is_usable_for_all_classes(now, first) && self.gate.is_open(now)
    }

    /// Returns whether requests of every class may be sent to a worker that is not warming up.
    pub fn is_usable_for_all_classes(&mut self, now: TenthMillis, id: WorkerId) -> bool {
        let class_count = self.config.classes.len() as u8;
        // Only slow start reads the request's id, and it applies only to warming workers.
        (0..class_count).all(|class| self.is_usable(now, id, Requester { id: 0, class }, None))
    }
}
