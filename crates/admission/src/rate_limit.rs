//! Rate limits that allow bursts, implemented with the generic cell rate algorithm (ITU-T I.371). It gives the same
//! results as a token bucket, but stores a single time instead of a level and the time of the last refill.

use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// A limit on a rate of units (requests or tokens).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units per second. At 0 or below, no unit passes.
    pub per_second: f64,
    /// Units that may pass at once.
    pub burst: f64,
}

/// The consumption so far under one rate limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateLimiter {
    /// Time at which all consumed units would have arrived at an even rate, in microseconds.
    theoretical_arrival: f64,
}

impl RateLimiter {
    /// Returns the earliest time at which `units` may pass, or `None` if the rate is 0 and they never pass.
    pub fn conforms_at(&self, rate: RateLimit, now: Micros, units: f64) -> Option<Micros> {
        if rate.per_second <= 0.0 {
            return None;
        }
        // More units than a burst pass once the whole burst is available; otherwise they would never pass.
        let tolerance = (rate.burst.max(units) - units) / rate.per_second * MICROS_PER_SECOND;
        Some((self.theoretical_arrival - tolerance).max(now as f64).ceil() as Micros)
    }

    /// Consumes `units`. Callers check with [`conforms_at`](RateLimiter::conforms_at) first that they conform.
    pub fn consume(&mut self, rate: RateLimit, now: Micros, units: f64) {
        if rate.per_second > 0.0 {
            self.theoretical_arrival =
                self.theoretical_arrival.max(now as f64) + units / rate.per_second * MICROS_PER_SECOND;
        }
    }

    /// Changes the rate limit: units still counted under the old limit count under the new one, up to its burst.
    pub fn rescale(&mut self, old: RateLimit, new: RateLimit, now: Micros) {
        if new.per_second <= 0.0 {
            return;
        }
        let backlog = (self.theoretical_arrival - now as f64).max(0.0);
        let units = backlog / MICROS_PER_SECOND * old.per_second.max(0.0);
        let new_backlog = units / new.per_second * MICROS_PER_SECOND;
        let max_backlog = new.burst.max(1.0) / new.per_second * MICROS_PER_SECOND;
        self.theoretical_arrival = now as f64 + new_backlog.min(max_backlog);
    }
}
