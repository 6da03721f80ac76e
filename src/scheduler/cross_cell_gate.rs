//! The cross-cell gate: whether a KV state may go to a decode worker in another cell, decided by the measured
//! delay of such transfers. A cell is a group of workers with fast links between them. The gate is the cost gate
//! of `docs/design.md`, "The ordinary path".

use super::timing::WAIT_TIME_CONSTANT;
use crate::ewma::EwmaMean;
use crate::rng::Rng;
use crate::types::{SchedulerConfig, TenthMillis};

/// One in this many pairs of a prefill and a decode worker passes a closed gate, so that the delay is measured
/// again.
const PAIRS_PER_PROBE: f64 = 50.0;
/// The gate closes when the mean delay reaches the shortest latency objective divided by this.
const OBJECTIVE_DIVISOR: f64 = 2.0;

/// The gate, with the measured delay that opens and closes it.
pub struct CrossCellGate {
    /// The time to the first token of decode attempts whose KV state crosses cells.
    delay: EwmaMean,
    /// The mean delay at which the gate closes, in tenths of a millisecond.
    max_delay: f64,
}

impl CrossCellGate {
    /// Creates an open gate without measurements.
    pub fn new(config: &SchedulerConfig) -> CrossCellGate {
        let shortest_objective = config.classes.iter().map(|class| class.ttft_objective).min().unwrap_or(0);
        CrossCellGate { delay: EwmaMean::default(), max_delay: shortest_objective as f64 / OBJECTIVE_DIVISOR }
    }

    /// Records how long the first token of a cross-cell attempt took.
    pub fn record(&mut self, now: TenthMillis, delay: TenthMillis) {
        self.delay.add(now, WAIT_TIME_CONSTANT, delay as f64);
    }

    /// Returns whether cross-cell first tokens arrive soon enough; true while none was measured.
    pub fn is_open(&mut self, now: TenthMillis) -> bool {
        self.delay.read(now, WAIT_TIME_CONSTANT).is_none_or(|mean| mean < self.max_delay)
    }

    /// Returns whether a pair of workers may be in two cells: always while the gate is open, and at random once in
    /// [`PAIRS_PER_PROBE`] calls while it is closed.
    pub fn admits(&mut self, now: TenthMillis, rng: &mut Rng) -> bool {
        self.is_open(now) || rng.unit() * PAIRS_PER_PROBE < 1.0
    }
}
