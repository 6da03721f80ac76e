//! Readers in the order in which a key prefers them, by weighted rendezvous hashing. Most submissions look at the
//! first few only, so these are sorted alone and kept until the readers or their shares change.

use std::collections::HashMap;

use crate::types::WorkerId;

/// How many of an order are sorted before more are asked for: homes of a prefix and a few to spill to.
const FEW: usize = 16;
/// Keys whose order is kept; past it all are forgotten. Whole orders of 1,200 readers take 5 MB.
const KEYS: usize = 2_048;

#[derive(Default)]
pub struct Ranking {
    readers: Vec<(WorkerId, f64)>,
    kept: HashMap<u64, Vec<u32>>,
}

impl Ranking {
    /// The readers and the part of all reads that each shall get.
    pub fn anew(&mut self, readers: Vec<(WorkerId, f64)>) {
        self.readers = readers;
        self.kept.clear();
    }

    pub fn len(&self) -> usize {
        self.readers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.readers.is_empty()
    }

    /// All of them, by id.
    pub fn all(&self) -> Vec<WorkerId> {
        self.readers.iter().map(|(id, _)| *id).collect()
    }

    /// The reader that comes after so many others for the key.
    pub fn nth(&mut self, key: u64, place: usize) -> Option<WorkerId> {
        self.first(key, place + 1).nth(place)
    }

    /// The first so many for the key.
    pub fn first(&mut self, key: u64, most: usize) -> impl Iterator<Item = WorkerId> + '_ {
        let most = most.min(self.readers.len());
        if self.kept.len() >= KEYS && !self.kept.contains_key(&key) {
            self.kept.clear();
        }
        let order = self.kept.entry(key).or_default();
        if most > order.len() {
            *order = sorted(&self.readers, key, if most <= FEW { FEW } else { self.readers.len() });
        }
        order[..most].iter().filter_map(|n| self.readers.get(*n as usize)).map(|(id, _)| *id)
    }
}

/// The first so many of the readers for the key; equal ranks go in the order of the list.
fn sorted(readers: &[(WorkerId, f64)], key: u64, first: usize) -> Vec<u32> {
    let ranks = readers.iter().zip(0..).map(|(&(id, share), n)| (share / -draw(key, id).ln(), n));
    let mut ranks: Vec<(f64, u32)> = ranks.collect();
    let best = |a: &(f64, u32), b: &(f64, u32)| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1));
    if first < ranks.len() {
        ranks.select_nth_unstable_by(first, best);
        ranks.truncate(first);
    }
    ranks.sort_unstable_by(best);
    ranks.into_iter().map(|(_, n)| n).collect()
}

/// A number between 0 and 1 that depends only on the key and the worker.
pub fn draw(key: u64, worker: WorkerId) -> f64 {
    let mut x = worker.iter().fold(key, |x, &b| (x ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    for _ in 0..2 {
        x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    ((x >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}
