//! Local health (Lifeguard): the degree to which a router distrusts its own observations.

use tideroute_wire::Micros;

/// Highest score. Probe intervals and timeouts are then `MAX_SCORE + 1` times as long.
const MAX_SCORE: u32 = 8;

/// A score from 0 (healthy) to [`MAX_SCORE`]. The higher it is, the more slowly the router probes and the longer it
/// waits for answers.
#[derive(Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Raises the score after an event that this router itself may have caused.
    pub fn degrade(&mut self, amount: u32) {
        self.score = (self.score + amount).min(MAX_SCORE);
    }

    /// Lowers the score by one after a probe was answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns a probe interval or timeout, lengthened in proportion to the score.
    pub fn stretch(&self, duration: Micros) -> Micros {
        duration * Micros::from(1 + self.score)
    }
}
