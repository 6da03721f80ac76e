//! Recent call frequencies in constant memory, however many callers there are.

use std::hash::{BuildHasher, Hash};

use foldhash::fast::FixedState;

use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Rows of counters. With 4 rows, one caller in fifty is overestimated by more than the bound of [`COLUMNS`].
const ROWS: usize = 4;

/// Counters in a row. With 4,096 columns the bound is below a thousandth of all calls; all rows take 64 KiB.
const COLUMNS: usize = 4_096;

/// Halvings after which no count is left.
const MAX_HALVINGS: u64 = 64;

/// A count-min sketch (Cormode and Muthukrishnan, 2005) with conservative update, whose counts halve as time passes. A
/// count is never too low. With a probability below e to the minus `ROWS` it is too high by more than e/`COLUMNS` of all
/// counts together.
pub struct CountMinSketch {
    counts: Vec<f32>,
    /// Time in which counts halve.
    half_life: Micros,
    halved_at: Micros,
    row_hashers: [FixedState; ROWS],
}

impl CountMinSketch {
    /// An empty sketch. The seed keeps callers from choosing keys that collide with those of others.
    pub fn new(seed: u64, half_life: Micros) -> CountMinSketch {
        let row_hashers = std::array::from_fn(|row| FixedState::with_seed(seed.wrapping_add(row as u64 + 1)));
        CountMinSketch {
            counts: vec![0.0; ROWS * COLUMNS],
            half_life: half_life.max(1),
            halved_at: 0,
            row_hashers,
        }
    }

    /// Counts a call and returns the caller's recent number of calls, this one included.
    pub fn count(&mut self, now: Micros, key: impl Hash) -> f64 {
        self.decay(now);
        let cells = self.cells(key);
        let estimate = cells.iter().map(|&cell| self.counts[cell]).fold(f32::MAX, f32::min) + 1.0;
        // Conservative update: cells above the estimate are too high already.
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
