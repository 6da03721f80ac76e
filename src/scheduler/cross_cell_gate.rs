//! The cross-cell admission gate: whether a KV state may go to a decode worker of another cell. A cell is a group of
//! workers with fast links among them; the gate is the design's cost gate, by measured delay (`docs/design.md`, "The
//! ordinary path").

use super::timing::WAIT_TIME_CONSTANT;
use crate::ewma::EwmaMean;
use crate::rng::Rng;
use crate::types::{SchedulerConfig, TenthMillis};

/// One pair in so many passes a closed gate, to measure again; the design's value.
const PAIRS_PER_PROBE: f64 = 50.0;
/// The gate closes where the mean delay reaches the shortest latency objective divided by this; the design's value.
const OBJECTIVE_DIVISOR: f64 = 2.0;

/// The gate and the delay that it goes by.
pub struct CrossCellGate {
    /// How long the first token takes on pairs of workers in two cells.
    delay: EwmaMean,
    max_delay: f64,
}

impl CrossCellGate {
    /// An open gate: nothing is measured yet.
    pub fn new(config: &SchedulerConfig) -> CrossCellGate {
        let shortest_objective = config.classes.iter().map(|class| class.ttft_objective).min().unwrap_or(0);
        CrossCellGate { delay: EwmaMean::default(), max_delay: shortest_objective as f64 / OBJECTIVE_DIVISOR }
    }

    /// A first token came over cells after so long.
    pub fn record(&mut self, now: TenthMillis, delay: TenthMillis) {
        self.delay.add(now, WAIT_TIME_CONSTANT, delay as f64);
    }

    /// Whether first tokens over cells come soon enough, or nothing is known of them.
    pub fn is_open(&mut self, now: TenthMillis) -> bool {
        self.delay.read(now, WAIT_TIME_CONSTANT).is_none_or(|mean| mean < self.max_delay)
    }

    /// Whether a pair may cross: where the gate is open, and now and then where it is closed.
    pub fn admits(&mut self, now: TenthMillis, rng: &mut Rng) -> bool {
        self.is_open(now) || rng.unit() * PAIRS_PER_PROBE < 1.0
    }
}
