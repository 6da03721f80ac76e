//! The endpoint list as decisions look into it, rebuilt when it changes. It decides nothing.

use std::collections::BTreeMap;

use crate::rendezvous::{RendezvousRanking, WeightedWorker};
use crate::types::{Endpoint, EndpointStatus, Role, TenthMillis, WorkerId};

/// The serving workers that share one flow of work.
#[derive(Default)]
struct PeerGroup {
    serving: usize,
    total_size: f64,
    /// The known start times of them, in order.
    start_times: Vec<TenthMillis>,
}

/// A worker beside those that share its flow of work.
pub struct Peers {
    /// How many are serving.
    pub serving: f64,
    /// How many of these are not warming up.
    pub warm: f64,
    /// The worker's size as a part of their mean, 1 at most: sizes that follow the load make idle workers look larger
    /// than they are.
    pub relative_size: f64,
}

/// Indices over the endpoint list.
#[derive(Default)]
pub struct WorkerRegistry {
    /// Serving prefill and mixed workers, weighted by their shares of all prefills.
    pub prefill_ranking: RendezvousRanking,
    /// Of them those whose start time is known.
    prefill_start_times: Vec<(TenthMillis, WorkerId)>,
    /// The share of all prefills that a cell's prefill workers take.
    prefill_share_by_cell: BTreeMap<u16, f64>,
    /// Decode and mixed workers, by id.
    pub decode_workers: Vec<WorkerId>,
    decode_workers_by_cell: BTreeMap<u16, Vec<WorkerId>>,
    prefill_peers: PeerGroup,
    /// Decode and mixed workers.
    other_peers: PeerGroup,
}

impl WorkerRegistry {
    /// Builds the indices from all workers and the prefill shares, both in order of their ids.
    pub fn new<'a>(
        workers: impl Iterator<Item = (&'a Endpoint, Role)>,
        prefill_shares: Vec<WeightedWorker>,
    ) -> WorkerRegistry {
        let mut registry = WorkerRegistry::default();
        let total_share = prefill_shares.iter().map(|(_, share)| share).sum::<f64>().max(0.01);
        let mut shares = prefill_shares.iter().peekable();
        for (endpoint, role) in workers {
            if let Some((_, share)) = shares.next_if(|(id, _)| *id == endpoint.worker) {
                registry.add_prefill_worker(endpoint, *share);
            }
            registry.add_worker(endpoint, role);
        }
        for share in registry.prefill_share_by_cell.values_mut() {
            *share /= total_share;
        }
        registry.prefill_peers.start_times.sort_unstable();
        registry.other_peers.start_times.sort_unstable();
        registry.prefill_ranking.replace(prefill_shares);
        registry
    }

    fn add_prefill_worker(&mut self, endpoint: &Endpoint, share: f64) {
        *self.prefill_share_by_cell.entry(endpoint.cell).or_default() += share;
        if endpoint.start_time > 0 {
            self.prefill_start_times.push((endpoint.start_time, endpoint.worker));
        }
    }

    fn add_worker(&mut self, endpoint: &Endpoint, role: Role) {
        if role != Role::Prefill {
            self.decode_workers.push(endpoint.worker);
            self.decode_workers_by_cell.entry(endpoint.cell).or_default().push(endpoint.worker);
        }
        if endpoint.status != EndpointStatus::Serving {
            return;
        }
        let group = if role == Role::Prefill { &mut self.prefill_peers } else { &mut self.other_peers };
        group.serving += 1;
        group.total_size += endpoint.size;
        if endpoint.start_time > 0 {
            group.start_times.push(endpoint.start_time);
        }
    }

    /// The share of all prefills that a cell's prefill workers take.
    pub fn prefill_share(&self, cell: u16) -> f64 {
        self.prefill_share_by_cell.get(&cell).copied().unwrap_or(0.0)
    }

    /// The decode and mixed workers of a cell, by id.
    pub fn decode_workers_in(&self, cell: u16) -> &[WorkerId] {
        self.decode_workers_by_cell.get(&cell).map_or(&[], Vec::as_slice)
    }

    /// Prefill and mixed workers that started less than `warm_up_time` ago, by id.
    pub fn warming_prefill_workers(&self, now: TenthMillis, warm_up_time: TenthMillis) -> Vec<WorkerId> {
        let warming =
            self.prefill_start_times.iter().filter(|(start_time, _)| now - start_time < warm_up_time);
        warming.map(|(_, id)| *id).collect()
    }

    /// The serving workers that share a worker's flow: prefills alone for prefill workers, all else for the others.
    pub fn peers(
        &self,
        endpoint: &Endpoint,
        role: Role,
        now: TenthMillis,
        warm_up_time: TenthMillis,
    ) -> Peers {
        let group = if role == Role::Prefill { &self.prefill_peers } else { &self.other_peers };
        let warm = group.start_times.partition_point(|start_time| now - start_time >= warm_up_time);
        let warming = group.start_times.len() - warm;
        let relative_size = endpoint.size * group.serving as f64 / group.total_size.max(0.01);
        Peers {
            serving: group.serving as f64,
            warm: (group.serving - warming) as f64,
            relative_size: relative_size.clamp(0.01, 1.0),
        }
    }
}
