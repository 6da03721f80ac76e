//! Sums whose older parts fade out, brought up to date when they are read.

use crate::types::TenthMillis;

#[derive(Clone, Copy, Default)]
pub struct Ewma {
    sum: f64,
    at: TenthMillis,
}

impl Ewma {
    /// The sum as of now: what was added `span` ago counts 1/e of what it did.
    pub fn read(&mut self, now: TenthMillis, span: TenthMillis) -> f64 {
        if now > self.at {
            self.sum *= (-((now - self.at) as f64) / span.max(1) as f64).exp();
            self.at = now;
        }
        self.sum
    }

    pub fn add(&mut self, now: TenthMillis, span: TenthMillis, amount: f64) {
        self.read(now, span);
        self.sum += amount;
    }
}

/// A mean in which older readings weigh less.
#[derive(Clone, Copy, Default)]
pub struct EwmaMean {
    total: Ewma,
    count: Ewma,
}

impl EwmaMean {
    pub fn add(&mut self, now: TenthMillis, span: TenthMillis, reading: f64) {
        self.total.add(now, span, reading);
        self.count.add(now, span, 1.0);
    }

    /// The sum of the readings and how many there are, as of now.
    pub fn sums(&mut self, now: TenthMillis, span: TenthMillis) -> (f64, f64) {
        (self.total.read(now, span), self.count.read(now, span))
    }

    /// The mean, shrunk towards a value as if that had been read so many times just now.
    pub fn shrunk(&mut self, now: TenthMillis, span: TenthMillis, towards: f64, times: f64) -> f64 {
        let (total, count) = self.sums(now, span);
        (total + times * towards) / (count + times)
    }

    /// None until there is a reading, and again once all have faded to nothing.
    pub fn read(&mut self, now: TenthMillis, span: TenthMillis) -> Option<f64> {
        let count = self.count.read(now, span);
        (count > 1e-6).then(|| self.total.read(now, span) / count)
    }
}
