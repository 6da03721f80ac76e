//! Exponentially decayed sums and means. The decay is applied when a value is read or added to.
//!
//! A read also stores the decayed value, and decay in two steps rounds differently from decay in one. Runs
//! therefore give the same bits only if they read the same values at the same times.

use crate::types::TenthMillis;

/// An exponentially decayed sum: older amounts count less.
#[derive(Clone, Copy, Default)]
pub struct Ewma {
    sum: f64,
    updated_at: TenthMillis,
}

impl Ewma {
    /// Returns the sum as of `now`; an amount that was added one `time_constant` ago counts 1/e of its value.
    pub fn read(&mut self, now: TenthMillis, time_constant: TenthMillis) -> f64 {
        if now > self.updated_at {
            self.sum *= (-((now - self.updated_at) as f64) / time_constant.max(1) as f64).exp();
            self.updated_at = now;
        }
        self.sum
    }

    /// Adds an amount as of `now`.
    pub fn add(&mut self, now: TenthMillis, time_constant: TenthMillis, amount: f64) {
        self.read(now, time_constant);
        self.sum += amount;
    }
}

/// An exponentially decayed mean: older samples weigh less.
#[derive(Clone, Copy, Default)]
pub struct EwmaMean {
    total: Ewma,
    count: Ewma,
}

impl EwmaMean {
    /// If the decayed count of samples is this or less, the mean counts as having no samples.
    const MIN_COUNT: f64 = 1e-6;

    /// Adds a sample as of `now`.
    pub fn add(&mut self, now: TenthMillis, time_constant: TenthMillis, sample: f64) {
        self.total.add(now, time_constant, sample);
        self.count.add(now, time_constant, 1.0);
    }

    /// Returns the decayed sum of the samples and their decayed count, as of `now`.
    pub fn sums(&mut self, now: TenthMillis, time_constant: TenthMillis) -> (f64, f64) {
        let total = self.total.read(now, time_constant);
        let count = self.count.read(now, time_constant);
        (total, count)
    }

    /// Returns the mean, shrunk towards `prior` as if `prior` had been sampled `weight` times just now.
    pub fn shrunk(&mut self, now: TenthMillis, time_constant: TenthMillis, prior: f64, weight: f64) -> f64 {
        let (total, count) = self.sums(now, time_constant);
        (total + weight * prior) / (count + weight)
    }

    /// Returns the mean; None while there is no sample, and again once all samples have decayed away.
    pub fn read(&mut self, now: TenthMillis, time_constant: TenthMillis) -> Option<f64> {
        let count = self.count.read(now, time_constant);
        if count <= Self::MIN_COUNT {
            return None;
        }
        Some(self.total.read(now, time_constant) / count)
    }
}
