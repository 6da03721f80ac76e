//! How often each prompt prefix came lately, among all requests. It decides nothing: the time constant, and what is
//! too rare to be kept, come with each call.

use std::collections::BTreeMap;

use crate::ewma::Ewma;
use crate::types::TenthMillis;

/// Decayed counts of requests.
pub struct Popularity {
    /// Those with the prefix.
    pub of_prefix: f64,
    /// All.
    pub of_all: f64,
}

/// Counts requests by prefix.
#[derive(Default)]
pub struct PrefixPopularity {
    by_prefix: BTreeMap<u64, Ewma>,
    all: Ewma,
    /// More prefixes than this are searched for those that came too rarely.
    sweep_above: usize,
}

impl PrefixPopularity {
    /// Counts a request; prefix 0 stands for none and counts among all alone. Prefixes whose count has decayed to
    /// `forget_at` or less start anew.
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
        if self.by_prefix.len() > self.sweep_above {
            self.by_prefix.retain(|_, count| count.read(now, time_constant) > forget_at);
            self.sweep_above = 2 * self.by_prefix.len();
        }
    }

    /// The counts as of `now`.
    pub fn read(&mut self, now: TenthMillis, time_constant: TenthMillis, prefix: u64) -> Popularity {
        let of_prefix = self.by_prefix.get_mut(&prefix).map_or(0.0, |count| count.read(now, time_constant));
        let of_all = self.all.read(now, time_constant);
        Popularity { of_prefix, of_all }
    }
}
