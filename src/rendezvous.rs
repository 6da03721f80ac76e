//! Weighted rendezvous hashing: orders the prefill workers for each key. Most requests look only at the first few
//! workers of an order, so only these are sorted. They are cached until the workers or their shares change.

use std::collections::HashMap;

use crate::types::WorkerId;

/// Number of workers of an order that are sorted at first: the affinity workers of a prefix and a few to spill
/// to. If a caller needs more, the whole order is sorted.
const SORTED_FIRST: usize = 16;
/// Maximum number of keys whose order is cached; when it is reached, the cache is cleared. If all of them are whole
/// orders of 1,200 workers, the cache takes 5 MB.
const MAX_CACHED_KEYS: usize = 2_048;

/// A worker and its weight in the ranking; the probability that a key ranks it first is proportional to the weight.
pub type WeightedWorker = (WorkerId, f64);

/// The order of workers for each key.
#[derive(Default)]
pub struct RendezvousRanking {
    workers: Vec<WeightedWorker>,
    /// For each key, the indices of the first [`SORTED_FIRST`] workers or of all workers, in the key's order.
    cached_orders: HashMap<u64, Vec<u32>>,
}

impl RendezvousRanking {
    /// Replaces the workers and forgets all cached orders.
    pub fn replace(&mut self, workers: Vec<WeightedWorker>) {
        self.workers = workers;
        self.cached_orders.clear();
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns all workers, in the order in which they were given to [`RendezvousRanking::replace`].
    pub fn all(&self) -> Vec<WorkerId> {
        self.workers.iter().map(|(id, _)| *id).collect()
    }

    /// Returns the worker at a rank, counted from 0, in the key's order; None beyond the last worker.
    pub fn nth(&mut self, key: u64, rank: usize) -> Option<WorkerId> {
        self.first(key, rank + 1).nth(rank)
    }

    /// Returns the first `count` workers in the key's order.
    pub fn first(&mut self, key: u64, count: usize) -> impl Iterator<Item = WorkerId> + '_ {
        let count = count.min(self.workers.len());
        if self.cached_orders.len() >= MAX_CACHED_KEYS && !self.cached_orders.contains_key(&key) {
            self.cached_orders.clear();
        }
        let order = self.cached_orders.entry(key).or_default();
        if count > order.len() {
            let sorted = if count <= SORTED_FIRST { SORTED_FIRST } else { self.workers.len() };
            *order = sorted_indices(&self.workers, key, sorted);
        }
        order[..count].iter().filter_map(|index| self.workers.get(*index as usize)).map(|(id, _)| *id)
    }
}

/// Returns the indices of the first `count` workers in the key's order; workers with equal scores stay in the
/// order of `workers`.
fn sorted_indices(workers: &[WeightedWorker], key: u64, count: usize) -> Vec<u32> {
    let scores =
        workers.iter().zip(0..).map(|(&(id, weight), index)| (weight / -unit_hash(key, id).ln(), index));
    let mut scores: Vec<(f64, u32)> = scores.collect();
    let by_score = |a: &(f64, u32), b: &(f64, u32)| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1));
    if count < scores.len() {
        scores.select_nth_unstable_by(count, by_score);
        scores.truncate(count);
    }
    scores.sort_unstable_by(by_score);
    scores.into_iter().map(|(_, index)| index).collect()
}

/// Returns a number between 0 and 1, both excluded, that depends only on the key and the worker.
pub fn unit_hash(key: u64, worker: WorkerId) -> f64 {
    /// The prime of the 64-bit FNV hash.
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    /// 2^64 over the golden ratio, as in Fibonacci hashing.
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut hash = worker.iter().fold(key, |hash, &byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    for _ in 0..2 {
        hash = (hash ^ (hash >> 31)).wrapping_mul(GOLDEN_RATIO);
    }
    ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}
