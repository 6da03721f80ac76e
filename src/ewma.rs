//! Exponentially decayed sums and means, brought up to date when they are read.
//!
//! A reading also moves the value's own clock, and decay in two steps rounds differently from decay in one: to
//! give the same bits, the same values must be read at the same moments.

use crate::types::TenthMillis;

/// A sum in which older amounts count less.
#[derive(Clone, Copy, Default)]
pub struct Ewma {
    sum: f64,
    updated_at: TenthMillis,
}

impl Ewma {
    /// The sum as of `now`; what was added one `time_constant` ago counts 1/e of what it did.
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

/// A mean in which older samples weigh less.
#[derive(Clone, Copy, Default)]
pub struct EwmaMean {
    total: Ewma,
    count: Ewma,
}

impl EwmaMean {
    /// Samples that have decayed to less than this count as none.
    const MIN_COUNT: f64 = 1e-6;

    /// Adds a sample as of `now`.
    pub fn add(&mut self, now: TenthMillis, time_constant: TenthMillis, sample: f64) {
        self.total.add(now, time_constant, sample);
        self.count.add(now, time_constant, 1.0);
    }

    /// The decayed sum of the samples and how many there are, as of `now`.
    pub fn sums(&mut self, now: TenthMillis, time_constant: TenthMillis) -> (f64, f64) {
        let total = self.total.read(now, time_constant);
        let count = self.count.read(now, time_constant);
        (total, count)
    }

    /// The mean, shrunk towards `prior` as if that had been sampled `weight` times just now.
    pub fn shrunk(&mut self, now: TenthMillis, time_constant: TenthMillis, prior: f64, weight: f64) -> f64 {
        let (total, count) = self.sums(now, time_constant);
        (total + weight * prior) / (count + weight)
    }

    /// The mean; None until there is a sample, and again once all have decayed to nothing.
    pub fn read(&mut self, now: TenthMillis, time_constant: TenthMillis) -> Option<f64> {
        let count = self.count.read(now, time_constant);
        if count <= Self::MIN_COUNT {
            return None;
        }
        Some(self.total.read(now, time_constant) / count)
    }
}
