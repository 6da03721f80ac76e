//! How often callers come that nobody knows, in memory that does not follow how many they are: a count-min sketch
//! (Cormode and Muthukrishnan, 2005) whose counts halve as time passes. A caller's count is never told too low;
//! it is too high by more than e/COLUMNS of all counts together with a probability below e to the minus ROWS.

use std::hash::{BuildHasher, Hash};

use foldhash::fast::FixedState;

use crate::Micros;

/// 64 KiB in all: four rows err once in fifty, 4,096 columns by less than a thousandth of all.
const ROWS: usize = 4;
const COLUMNS: usize = 4_096;

pub struct Sketch {
    counts: Vec<f32>,
    /// Microseconds in which counts halve.
    half: Micros,
    at: Micros,
    seeds: [FixedState; ROWS],
}

impl Sketch {
    /// The seed keeps a caller from finding others' cells.
    pub fn new(seed: u64, half: Micros) -> Sketch {
        let seeds = std::array::from_fn(|row| FixedState::with_seed(seed.wrapping_add(row as u64 + 1)));
        Sketch { counts: vec![0.0; ROWS * COLUMNS], half: half.max(1), at: 0, seeds }
    }

    fn cells(&self, key: impl Hash) -> [usize; ROWS] {
        let column = |row: usize| self.seeds[row].hash_one(&key) as usize % COLUMNS;
        std::array::from_fn(|row| row * COLUMNS + column(row))
    }

    /// Counts a caller and tells how often it came lately, itself among it.
    pub fn count(&mut self, now: Micros, key: impl Hash) -> f64 {
        let halves = now.saturating_sub(self.at) / self.half;
        if halves > 0 {
            let left = 0.5f32.powi(halves.min(64) as i32);
            self.counts.iter_mut().for_each(|count| *count *= left);
            self.at += halves * self.half;
        }
        let cells = self.cells(key);
        // Only the lowest are raised: others are too high already (conservative update).
        let least = cells.iter().map(|&c| self.counts[c]).fold(f32::MAX, f32::min) + 1.0;
        cells.iter().for_each(|&c| self.counts[c] = self.counts[c].max(least));
        f64::from(least)
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashMap;

    use rand::{RngExt, SeedableRng};

    use super::*;

    #[test]
    fn no_caller_is_told_too_low_and_few_much_too_high() {
        let mut chance = rand_pcg::Pcg64::seed_from_u64(3);
        let (mut sketch, mut exact) = (Sketch::new(9, 1_000_000), HashMap::<u32, f64>::new());
        let (mut over, all) = (0, 200_000);
        for _ in 0..all {
            let skewed = (chance.random::<f64>().powi(6) * 100_000.0) as u32;
            let count = exact.entry(skewed).or_default();
            *count += 1.0;
            let told = sketch.count(10, skewed);
            assert!(told >= *count, "{told} for {count}");
            over += usize::from(told > *count + all as f64 * 2.72 / COLUMNS as f64);
        }
        assert!(over < all / 50, "{over} much too high");
    }

    #[test]
    fn counts_fade() {
        let mut sketch = Sketch::new(9, 1_000);
        (0..64).for_each(|_| _ = sketch.count(0, "a"));
        assert_eq!(sketch.count(2_000, "a"), 17.0);
        assert_eq!(sketch.count(10_000_000, "a"), 1.0);
    }
}
