//! Counts how often each prompt prefix occurred recently among all requests. This module makes no decisions:
//! callers pass the time constant and the count at which a prefix is forgotten.

use std::collections::BTreeMap;

use crate::ewma::Ewma;
use crate::types::TenthMillis;

/// Maximum number of prefixes whose counts are kept. When there are more, the rarest are forgotten.
const MAX_PREFIXES: usize = 16_384;

/// Decayed counts of requests.
pub struct Popularity {
    /// The requests with the prefix.
    pub prefix_count: f64,
    /// All requests.
    pub total_count: f64,
}

/// Decayed counts of requests by prompt prefix.
#[derive(Default)]
pub struct PrefixPopularity {
    by_prefix: BTreeMap<u64, Ewma>,
    all: Ewma,
    /// When there are more prefixes than this, the rare ones are removed.
    sweep_above: usize,
}

impl PrefixPopularity {
    /// Counts a request. Prefix 0 means none; such a request counts only among all requests. A prefix whose count
    /// has decayed to `forget_at` or less starts again from zero.
    pub fn add(&mut self, now: TenthMillis, time_constant: TenthMillis, prefix: u64, forget_at: f64) {
        self.all.add(now, time_constant, 1.0);
        if prefix == 0 {
            return;
        }
        let count = self.by_prefix.entry(prefix).or_default();
        if count.read(now, time_constant) <= forget_at {
            *count = Ewma::default();
        }
        count.add(now, time_constant, 1.0);
        if self.by_prefix.len() > self.sweep_above.min(MAX_PREFIXES) {
            self.remove_rare(now, time_constant, forget_at);
        }
    }

    /// Removes the prefixes whose count has decayed to `forget_at` or less, and rarer ones than others until half of
    /// [`MAX_PREFIXES`] are left at most.
    fn remove_rare(&mut self, now: TenthMillis, time_constant: TenthMillis, forget_at: f64) {
        let mut least_count = forget_at;
        self.by_prefix.retain(|_, count| count.read(now, time_constant) > least_count);
        while self.by_prefix.len() > MAX_PREFIXES / 2 {
            least_count = (2.0 * least_count).max(1.0);
            self.by_prefix.retain(|_, count| count.read(now, time_constant) > least_count);
        }
        self.sweep_above = 2 * self.by_prefix.len();
    }

    /// Returns the counts for a prefix as of `now`.
    pub fn read(&mut self, now: TenthMillis, time_constant: TenthMillis, prefix: u64) -> Popularity {
        let prefix_count =
            self.by_prefix.get_mut(&prefix).map_or(0.0, |count| count.read(now, time_constant));
        let total_count = self.all.read(now, time_constant);
        Popularity { prefix_count, total_count }
    }
}

#[cfg(test)]
mod tests;
