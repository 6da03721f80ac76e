//! The cache of shared prefixes whose KV state a worker keeps.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

/// The cached prefixes in the order of their insertion; the oldest is evicted first.
#[derive(Default)]
pub struct PrefixCache {
    prefixes: VecDeque<u64>,
}

/// The prefix id of prompts without a shared prefix.
const NO_PREFIX: u64 = 0;

impl PrefixCache {
    pub fn contains(&self, prefix: u64) -> bool {
        prefix != NO_PREFIX && self.prefixes.contains(&prefix)
    }

    /// Adds a prefix, and evicts the oldest one if there are more than `capacity`. A cached prefix keeps its position.
    pub fn insert(&mut self, prefix: u64, capacity: usize) {
        if prefix == NO_PREFIX || self.prefixes.contains(&prefix) {
            return;
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > capacity {
            self.prefixes.pop_front();
        }
    }
}
