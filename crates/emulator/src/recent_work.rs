//! The work that a worker has received within a sliding time window.

use std::collections::VecDeque;

use tideroute_wire::Micros;

struct Work {
    at: Micros,
    tokens: f64,
}

/// The tokens that a worker has received within a sliding time window.
#[derive(Default)]
pub struct RecentWork {
    window: VecDeque<Work>,
    tokens: f64,
}

impl RecentWork {
    /// Adds work, and drops work that was received before `since`. Returns the tokens that remain.
    pub fn add(&mut self, at: Micros, tokens: f64, since: Micros) -> f64 {
        self.window.push_back(Work { at, tokens });
        self.tokens += tokens;
        while let Some(old) = self.window.pop_front_if(|work| work.at < since) {
            self.tokens -= old.tokens;
        }
        self.tokens
    }
}
