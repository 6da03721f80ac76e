//! Each prefill worker's share of all prefills.
//!
//! The share grows with the ratio of decode to prefill capacity in the worker's cell and zone, within bounds.
//! Without the upper bound, a lone prefill worker among many decode workers would be overloaded; without the
//! ratio, prefill workers without decode workers nearby would saturate their link. The algorithm is this
//! project's own: see `docs/design.md`, "Kept, changed, and why", first row.

use std::collections::BTreeMap;

use super::worker::Worker;
use crate::rendezvous::WeightedWorker;
use crate::types::{EndpointStatus, Role, WorkerId};

/// The largest relative difference between a worker's share and an even share, which the spare capacity of all
/// prefill workers together covers. It applies in full if all prefill workers have decode workers in their cell,
/// and is reduced in proportion to those that have none there, because then most pairs cross cells anyway.
const MAX_DEVIATION: f64 = 0.5;
/// Number of iterations that scale the shares to the total size within both bounds; more iterations change little.
const SCALING_ROUNDS: u32 = 8;

/// The total sizes of the serving workers in a cell or zone.
#[derive(Clone, Copy, Default)]
struct Capacity {
    prefill: f64,
    decode: f64,
}

impl Capacity {
    fn add(&mut self, worker: &Worker) {
        if worker.role != Role::Decode {
            self.prefill += worker.size();
        }
        if worker.role != Role::Prefill {
            self.decode += worker.size();
        }
    }

    fn decode_per_prefill(self) -> f64 {
        self.decode / self.prefill.max(0.01)
    }
}

/// A prefill worker with the ratio of decode to prefill capacity near it.
struct PrefillWorker {
    id: WorkerId,
    size: f64,
    /// Geometric mean of the ratios in the worker's cell and zone.
    nearby_decode: f64,
}

/// Returns the serving prefill and mixed workers with their shares, in the order of `workers`.
pub fn prefill_shares(workers: &[&Worker]) -> Vec<WeightedWorker> {
    let prefill_workers = prefill_workers(workers);
    let total_size = prefill_workers.iter().map(|worker| worker.size).sum::<f64>();
    let with_nearby_decode = prefill_workers.iter().filter(|worker| worker.nearby_decode > 0.0);
    let size_with_nearby_decode = with_nearby_decode.map(|worker| worker.size).sum::<f64>();
    let max_deviation = MAX_DEVIATION * size_with_nearby_decode / total_size.max(0.01);
    let mut scale = 1.0;
    let mut shares = vec![];
    for _ in 0..SCALING_ROUNDS {
        let share = |worker: &PrefillWorker| {
            let factor = (worker.nearby_decode * scale).clamp(1.0 - max_deviation, 1.0 + max_deviation);
            (worker.id, worker.size * factor)
        };
        shares = prefill_workers.iter().map(share).collect();
        scale *= total_size / shares.iter().map(|(_, share)| share).sum::<f64>().max(0.01);
    }
    shares
}

fn prefill_workers(workers: &[&Worker]) -> Vec<PrefillWorker> {
    let is_serving = |worker: &&&Worker| worker.endpoint.status == EndpointStatus::Serving;
    let mut by_cell: BTreeMap<u16, Capacity> = BTreeMap::new();
    let mut by_zone: BTreeMap<u8, Capacity> = BTreeMap::new();
    for worker in workers.iter().filter(is_serving) {
        by_cell.entry(worker.endpoint.cell).or_default().add(worker);
        by_zone.entry(worker.endpoint.zone).or_default().add(worker);
    }
    let serving_prefill_workers =
        workers.iter().filter(is_serving).filter(|worker| worker.role != Role::Decode);
    let prefill_worker = |worker: &&Worker| {
        let in_cell = by_cell[&worker.endpoint.cell].decode_per_prefill();
        let in_zone = by_zone[&worker.endpoint.zone].decode_per_prefill();
        PrefillWorker { id: worker.id(), size: worker.size(), nearby_decode: (in_cell * in_zone).sqrt() }
    };
    serving_prefill_workers.map(prefill_worker).collect()
}
