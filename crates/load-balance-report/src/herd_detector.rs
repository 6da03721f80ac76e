//! Arrivals at workers within short windows, against what as many independent choices would bring.

#[cfg(test)]
mod tests;

use tideroute_wire::Micros;

use crate::report::WindowPeak;

/// Microseconds: within a window, routers act on the same load reports, and none knows of another's choices.
const WINDOW: Micros = 100_000;
/// A window is a herd if independent choice brings its fullest worker as many arrivals with less than this probability.
const HERD_PROBABILITY: f64 = 0.001;
/// The least probability of another worker, against a division by zero.
const MIN_PROBABILITY: f64 = 1e-12;

/// Counts windows in which many routers chose the same worker.
#[derive(Default)]
pub struct HerdDetector {
    window_start: Micros,
    /// Arrivals of the present window by worker.
    arrivals: Vec<u32>,
    /// The sum of squared deviations over the expected arrivals, and its degrees of freedom.
    dispersion: f64,
    degrees_of_freedom: f64,
    windows: u64,
    herd_windows: u64,
    worst_window: WindowPeak,
}

impl HerdDetector {
    /// An arrival at a worker. `weights` are the capacities of all workers, 0 for one that does not run.
    pub fn arrived(&mut self, now: Micros, worker: usize, weights: &[f64]) {
        if self.arrivals.len() != weights.len() {
            self.arrivals = vec![0; weights.len()];
        }
        if now >= self.window_start + WINDOW {
            self.close_window(weights);
            self.window_start = now - now % WINDOW;
        }
        self.arrivals[worker] += 1;
    }

    /// Ends the present window.
    pub fn close_window(&mut self, weights: &[f64]) {
        let all: u32 = self.arrivals.iter().sum();
        let total_weight: f64 = weights.iter().sum();
        if all == 0 || total_weight <= 0.0 {
            return;
        }
        self.windows += 1;
        // The greatest probability, over all workers, that independent choice brings a worker fewer arrivals.
        let mut probability_of_fewer = 0.0;
        for (count, weight) in self.arrivals.iter().zip(weights).filter(|(_, weight)| **weight > 0.0) {
            let expected = f64::from(all) * weight / total_weight;
            self.dispersion += (f64::from(*count) - expected).powi(2) / expected;
            if *count > self.worst_window.at_worker {
                self.worst_window = WindowPeak { at_worker: *count, in_window: all };
            }
            if f64::from(*count) > expected {
                let tail = binomial_tail(all, weight / total_weight, *count);
                probability_of_fewer = f64::max(probability_of_fewer, 1.0 - tail);
            }
        }
        // Once the sum is known, one count fewer is free to vary.
        let running = weights.iter().filter(|weight| **weight > 0.0).count();
        self.degrees_of_freedom += running as f64 - 1.0;
        // Bonferroni: with so many workers, any one of them is the fullest.
        let probability = (1.0 - probability_of_fewer) * weights.len() as f64;
        self.herd_windows += u64::from(probability < HERD_PROBABILITY);
        self.arrivals.fill(0);
    }

    /// Windows with arrivals.
    pub fn windows(&self) -> u64 {
        self.windows
    }

    /// Windows in which the fullest worker got more than independent choice explains.
    pub fn herd_windows(&self) -> u64 {
        self.herd_windows
    }

    /// The most arrivals at one worker in one window.
    pub fn worst_window(&self) -> WindowPeak {
        self.worst_window
    }

    /// 1 for independent choice, more for herds, less for an even balance.
    pub fn dispersion_index(&self) -> f64 {
        self.dispersion / self.degrees_of_freedom.max(1.0)
    }

    /// Windows that independent choice would show as herds, at most.
    pub fn expected_herd_windows(&self) -> f64 {
        HERD_PROBABILITY * self.windows as f64
    }
}

/// The probability that of `n` choices with probability `p` each at least `k` fall on one worker.
fn binomial_tail(n: u32, p: f64, k: u32) -> f64 {
    let mut term = (1.0 - p).powi(n as i32);
    let mut below = 0.0;
    for i in 0..k {
        below += term;
        term *= f64::from(n - i) / f64::from(i + 1) * p / (1.0 - p).max(MIN_PROBABILITY);
    }
    (1.0 - below).max(0.0)
}
