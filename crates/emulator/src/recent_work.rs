//! Work that was sent to a worker lately.

use std::collections::VecDeque;

use tideroute_wire::Micros;

struct Work {
    at: Micros,
    tokens: f64,
}

/// The tokens that were sent to a worker within a window.
#[derive(Default)]
pub struct RecentWork {
    window: VecDeque<Work>,
    tokens: f64,
}

impl RecentWork {
    /// Adds work, and drops what was sent before `since`. Returns the tokens left.
    pub fn add(&mut self, at: Micros, tokens: f64, since: Micros) -> f64 {
        self.window.push_back(Work { at, tokens });
        self.tokens += tokens;
        while let Some(old) = self.window.pop_front_if(|work| work.at < since) {
            self.tokens -= old.tokens;
        }
        self.tokens
    }
}
