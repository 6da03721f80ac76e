//! Compares the arrivals at workers within short windows with what as many independent random choices would bring.

#[cfg(test)]
mod tests;

use tideroute_wire::Micros;

use crate::report::WindowPeak;

/// Length of a window in microseconds. Within a window, routers act on the same load reports, and none knows the
/// choices of the others.
const WINDOW: Micros = 100_000;
/// A window counts as a herd if independent choices would bring its fullest worker as many arrivals with a probability
/// below this one.
const HERD_PROBABILITY: f64 = 0.001;
/// Lower bound for the probability that a choice falls on another worker; prevents a division by zero.
const MIN_PROBABILITY: f64 = 1e-12;

/// Counts windows in which many routers chose the same worker.
#[derive(Default)]
pub struct HerdDetector {
    window_start: Micros,
    /// Arrivals in the current window, by worker.
    arrivals: Vec<u32>,
    /// Sum of the squared deviations from the expected arrivals, each divided by the expected arrivals.
    dispersion: f64,
    /// Degrees of freedom of `dispersion`.
    degrees_of_freedom: f64,
    windows: u64,
    herd_windows: u64,
    worst_window: WindowPeak,
}

impl HerdDetector {
    /// Records an attempt that a worker received. `weights` are the capacities of all workers, 0 for a worker that does not run.
    pub fn attempt_received(&mut self, now: Micros, worker: usize, weights: &[f64]) {
        if self.arrivals.len() != weights.len() {
            self.arrivals = vec![0; weights.len()];
        }
        if now >= self.window_start + WINDOW {
            self.close_window(weights);
            self.window_start = now - now % WINDOW;
        }
        self.arrivals[worker] += 1;
    }

    /// Evaluates the current window and starts a new one.
    pub fn close_window(&mut self, weights: &[f64]) {
        let total_arrivals: u32 = self.arrivals.iter().sum();
        let total_weight: f64 = weights.iter().sum();
        if total_arrivals == 0 || total_weight <= 0.0 {
            return;
        }
        self.windows += 1;
        // The highest probability, over all workers, that independent choices bring a worker fewer arrivals.
        let mut probability_of_fewer = 0.0;
        for (count, weight) in self.arrivals.iter().zip(weights).filter(|(_, weight)| **weight > 0.0) {
            let expected = f64::from(total_arrivals) * weight / total_weight;
            self.dispersion += (f64::from(*count) - expected).powi(2) / expected;
            if *count > self.worst_window.at_worker {
                self.worst_window = WindowPeak { at_worker: *count, in_window: total_arrivals };
            }
            if f64::from(*count) > expected {
                let tail = binomial_tail(total_arrivals, weight / total_weight, *count);
                probability_of_fewer = f64::max(probability_of_fewer, 1.0 - tail);
            }
        }
        // As the sum of the counts is fixed, there is one degree of freedom fewer than workers.
        let running = weights.iter().filter(|weight| **weight > 0.0).count();
        self.degrees_of_freedom += running as f64 - 1.0;
        // Bonferroni correction: any of the workers may be the fullest one.
        let probability = (1.0 - probability_of_fewer) * weights.len() as f64;
        self.herd_windows += u64::from(probability < HERD_PROBABILITY);
        self.arrivals.fill(0);
    }

    /// Returns the number of windows with arrivals.
    pub fn windows(&self) -> u64 {
        self.windows
    }

    /// Returns the number of windows in which the fullest worker got more arrivals than independent choices explain.
    pub fn herd_windows(&self) -> u64 {
        self.herd_windows
    }

    /// Returns the window with the most arrivals at one worker.
    pub fn worst_window(&self) -> WindowPeak {
        self.worst_window
    }

    /// Returns the index of dispersion: 1 for independent choices, more for herds, less for a more even balance.
    pub fn dispersion_index(&self) -> f64 {
        self.dispersion / self.degrees_of_freedom.max(1.0)
    }

    /// Returns the highest number of windows that would count as herds with independent choices.
    pub fn expected_herd_windows(&self) -> f64 {
        HERD_PROBABILITY * self.windows as f64
    }
}

/// Returns the probability that at least `k` of `n` choices fall on a worker that each choice selects with probability
/// `p`.
fn binomial_tail(n: u32, p: f64, k: u32) -> f64 {
    let mut term = (1.0 - p).powi(n as i32);
    let mut below = 0.0;
    for i in 0..k {
        below += term;
        term *= f64::from(n - i) / f64::from(i + 1) * p / (1.0 - p).max(MIN_PROBABILITY);
    }
    (1.0 - below).max(0.0)
}
