//! Local health (Lifeguard): how far a router distrusts its own observations.

use tideroute_wire::Micros;

/// Highest score. Probes are then so many times slower, and once more.
const MAX_SCORE: u32 = 8;

/// A score from 0, healthy, to [`MAX_SCORE`]. The higher it is, the slower the router probes, and the longer it waits for
/// answers.
#[derive(Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Something happened that may be this router's own fault.
    pub fn degrade(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_SCORE);
    }

    /// A probe was answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A duration of the prober, stretched by the score.
    pub fn stretch(&self, duration: Micros) -> Micros {
        duration * Micros::from(1 + self.score)
    }
}
