//! Rate limits that allow bursts, by the generic cell rate algorithm (ITU-T I.371). It behaves as a token bucket does,
//! and keeps one moment in place of a level and the time of the last refill.

use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// A limit on a rate of units (requests, or tokens).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units per second. At 0 or below, nothing passes.
    pub per_second: f64,
    /// Units that may pass at once.
    pub burst: f64,
}

/// What was consumed under a rate limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateLimiter {
    /// When all that was consumed would have arrived at the even rate, in microseconds.
    theoretical_arrival: f64,
}

impl RateLimiter {
    /// The earliest time at which `units` may pass; `None` for never, where the rate is 0.
    pub fn conforms_at(&self, rate: RateLimit, now: Micros, units: f64) -> Option<Micros> {
        if rate.per_second <= 0.0 {
            return None;
        }
        // More than a burst at once passes when the whole burst is available; it would never pass otherwise.
        let tolerance = (rate.burst.max(units) - units) / rate.per_second * MICROS_PER_SECOND;
        Some((self.theoretical_arrival - tolerance).max(now as f64).ceil() as Micros)
    }

    /// Consumes `units`. Callers make sure that they conform.
    pub fn consume(&mut self, rate: RateLimit, now: Micros, units: f64) {
        if rate.per_second > 0.0 {
            self.theoretical_arrival =
                self.theoretical_arrival.max(now as f64) + units / rate.per_second * MICROS_PER_SECOND;
        }
    }

    /// Applies a new rate limit: the units that count under the old one count under the new one, up to its burst.
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
