//! Indices over the endpoint list for the placement rules, rebuilt when the list changes. This module makes no
//! decisions.

use std::collections::BTreeMap;

use crate::rendezvous::{RendezvousRanking, WeightedWorker};
use crate::types::{Endpoint, EndpointStatus, Role, TenthMillis, WorkerId};

/// The serving workers among which one flow of attempts is divided.
#[derive(Default)]
struct PeerGroup {
    serving: usize,
    total_size: f64,
    /// The known start times of these workers, sorted.
    start_times: Vec<TenthMillis>,
}

/// A worker's peers, which are the serving workers that share its flow of attempts, and its size among them.
pub struct Peers {
    /// The number of serving peers.
    pub serving: f64,
    /// The number of serving peers that are not warming up.
    pub warm: f64,
    /// The worker's size divided by the mean size of its peers, at most 1, because sizes that follow the load
    /// make idle workers look larger than they are.
    pub relative_size: f64,
}

/// Indices over the endpoint list.
#[derive(Default)]
pub struct WorkerRegistry {
    /// The serving prefill and mixed workers, weighted by their shares of all prefills.
    pub prefill_ranking: RendezvousRanking,
    /// The workers of `prefill_ranking` whose start time is known.
    prefill_start_times: Vec<(TenthMillis, WorkerId)>,
    /// The share of all prefills that the prefill workers of each cell take.
    prefill_share_by_cell: BTreeMap<u16, f64>,
    /// The decode and mixed workers, sorted by id.
    pub decode_workers: Vec<WorkerId>,
    decode_workers_by_cell: BTreeMap<u16, Vec<WorkerId>>,
    /// The serving prefill workers.
    prefill_peers: PeerGroup,
    /// The serving decode and mixed workers.
    decode_peers: PeerGroup,
}

impl WorkerRegistry {
    /// Builds the indices from all workers and the prefill shares, both sorted by worker id.
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
        registry.decode_peers.start_times.sort_unstable();
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
        let group = if role == Role::Prefill { &mut self.prefill_peers } else { &mut self.decode_peers };
        group.serving += 1;
        group.total_size += endpoint.size;
        if endpoint.start_time > 0 {
            group.start_times.push(endpoint.start_time);
        }
    }

    /// Returns the share of all prefills that a cell's prefill workers take.
    pub fn prefill_share(&self, cell: u16) -> f64 {
        self.prefill_share_by_cell.get(&cell).copied().unwrap_or(0.0)
    }

    /// Returns the decode and mixed workers of a cell, sorted by id.
    pub fn decode_workers_in(&self, cell: u16) -> &[WorkerId] {
        self.decode_workers_by_cell.get(&cell).map_or(&[], Vec::as_slice)
    }

    /// Returns the serving prefill and mixed workers that started less than `warm_up_time` ago, sorted by id.
    pub fn warming_prefill_workers(&self, now: TenthMillis, warm_up_time: TenthMillis) -> Vec<WorkerId> {
        let warming =
            self.prefill_start_times.iter().filter(|(start_time, _)| now - start_time < warm_up_time);
        warming.map(|(_, id)| *id).collect()
    }

    /// Returns the peers of a worker: the serving prefill workers if it is one, else the serving decode and mixed
    /// workers.
    pub fn peers(
        &self,
        endpoint: &Endpoint,
        role: Role,
        now: TenthMillis,
        warm_up_time: TenthMillis,
    ) -> Peers {
        let group = if role == Role::Prefill { &self.prefill_peers } else { &self.decode_peers };
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
