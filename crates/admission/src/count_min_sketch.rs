//! Counts each caller's recent calls, in constant memory for any number of callers.

use std::hash::{BuildHasher, Hash};

use foldhash::fast::FixedState;

use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Number of rows of counters. With 4 rows, the counts of one caller in fifty exceed the error bound that [`COLUMNS`]
/// gives.
const ROWS: usize = 4;

/// Counters in a row. With 4,096 columns the error bound is below a thousandth of all calls; all rows take 64 KiB.
const COLUMNS: usize = 4_096;

/// Number of halvings after which each count is negligible; more are not applied at once.
const MAX_HALVINGS: u64 = 64;

/// A count-min sketch (Cormode and Muthukrishnan, 2005) with conservative update, whose counts halve once per
/// half-life. A count is never too low. The probability that it is too high by more than e/`COLUMNS` of the sum of all
/// counts is below e to the minus `ROWS`.
pub struct CountMinSketch {
    counts: Vec<f32>,
    /// Time after which the counts halve.
    half_life: Micros,
    /// Time up to which the counts were halved.
    halved_at: Micros,
    row_hashers: [FixedState; ROWS],
}

impl CountMinSketch {
    /// Creates an empty sketch. A secret seed keeps callers from choosing keys that collide with keys of others.
    pub fn new(seed: u64, half_life: Micros) -> CountMinSketch {
        let row_hashers = std::array::from_fn(|row| FixedState::with_seed(seed.wrapping_add(row as u64 + 1)));
        CountMinSketch {
            counts: vec![0.0; ROWS * COLUMNS],
            half_life: half_life.max(1),
            halved_at: 0,
            row_hashers,
        }
    }

    /// Counts a call and returns the estimated number of the caller's recent calls, including this one.
    pub fn count(&mut self, now: Micros, key: impl Hash) -> f64 {
        self.decay(now);
        let cells = self.cells(key);
        let estimate = cells.iter().map(|&cell| self.counts[cell]).fold(f32::MAX, f32::min) + 1.0;
        // Conservative update: counters above the estimate are already too high and stay as they are.
        for cell in cells {
            self.counts[cell] = self.counts[cell].max(estimate);
        }
        f64::from(estimate)
    }

    fn decay(&mut self, now: Micros) {
        let halvings = now.saturating_sub(self.halved_at) / self.half_life;
        if halvings == 0 {
            return;
        }
        let factor = 0.5f32.powi(halvings.min(MAX_HALVINGS) as i32);
        for count in &mut self.counts {
            *count *= factor;
        }
        self.halved_at += halvings * self.half_life;
    }

    fn cells(&self, key: impl Hash) -> [usize; ROWS] {
        std::array::from_fn(|row| {
            let column = self.row_hashers[row].hash_one(&key) as usize % COLUMNS;
            row * COLUMNS + column
        })
    }
}
