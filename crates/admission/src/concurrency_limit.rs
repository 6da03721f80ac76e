//! Estimates the workers' capacity: how many requests may be in flight at once and still meet their latency objectives.
//! No component reports this capacity, so it is inferred from response times.
//!
//! The limit follows additive increase, multiplicative decrease (Chiu and Jain, 1989). It rises by about one for each
//! round of responses in time in which it was reached. It falls by a fixed part, at most once a round, when responses
//! are late or the scheduler rejects requests. This finds an unknown capacity from below, without sharing state with
//! other instances that probe the same capacity.
//!
//! Accuracy: the limit moves between the value at which it last failed and [`DECREASE_FACTOR`] of that value, so an
//! eighth of the capacity stays unused on average. After the capacity falls, the limit follows with one decrease; after
//! the capacity rises by N requests, the limit follows within N rounds.

use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Lowest limit, in requests. Fewer requests in flight would give too few response times to infer a capacity from.
const MIN_LIMIT: f64 = 4.0;

/// Limit at the start, in requests. It is low so that an instance that starts during an overload adds little to it.
const INITIAL_LIMIT: f64 = 16.0;

/// Highest limit of one instance, in requests.
const MAX_LIMIT: f64 = 1e6;

/// Relative growth of the limit per round until the first decrease. The responses of a round show the effect of the
/// previous round's limit, so the limit overshoots the capacity by up to this part. The excess fills the workers'
/// queues, and the responses to tenants with little traffic become late too.
const INITIAL_GROWTH: f64 = 0.25;

/// After the first decrease, each round raises the limit by one request, plus the limit divided by this.
const LIMIT_PER_EXTRA_REQUEST: f64 = 64.0;

/// Factor of a decrease. The mean of the resulting sawtooth is seven eighths of its peak.
const DECREASE_FACTOR: f64 = 0.75;

/// The limit decreases when more than this part of a round's responses was late. Single late responses occur at any
/// load.
const LATE_TOLERANCE: f64 = 0.1;

/// Fewest responses in a round. In a shorter round, a single late response would cause a decrease.
const MIN_ROUND: f64 = 8.0;

/// The number of requests that may be in flight, as inferred from response times.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    /// Responses in the current round.
    responses: f64,
    /// Late responses in the current round.
    late_responses: f64,
    /// Whether the limit was reached in this round. If it was not, responses in time do not show that the capacity is
    /// higher.
    was_reached: bool,
    /// Whether the limit has never decreased; it then grows by [`INITIAL_GROWTH`].
    is_initial: bool,
    /// Time from which admitted requests count. Responses to earlier requests show the load before the last decrease.
    valid_from: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit {
            limit: INITIAL_LIMIT,
            responses: 0.0,
            late_responses: 0.0,
            was_reached: false,
            is_initial: true,
            valid_from: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Returns the number of requests that may be in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Records that the limit on requests in flight is reached and further requests wait.
    pub fn limit_reached(&mut self) {
        self.was_reached = true;
    }

    /// Records the response to a request that was admitted at `admitted_at`.
    pub fn record_response(&mut self, now: Micros, admitted_at: Micros, in_time: bool) {
        if admitted_at < self.valid_from {
            return;
        }
        self.responses += 1.0;
        if !in_time {
            self.late_responses += 1.0;
        }
        let round = self.limit.max(MIN_ROUND);
        if self.late_responses > round * LATE_TOLERANCE {
            self.decrease(now);
            self.start_round();
        } else if self.responses >= round {
            if self.was_reached {
                self.increase();
            }
            self.start_round();
        }
    }

    fn decrease(&mut self, now: Micros) {
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        self.is_initial = false;
        self.valid_from = now + 1;
    }

    fn increase(&mut self) {
        let growth = if self.is_initial {
            self.limit * INITIAL_GROWTH
        } else {
            1.0 + self.limit / LIMIT_PER_EXTRA_REQUEST
        };
        self.limit = (self.limit + growth).min(MAX_LIMIT);
    }

    fn start_round(&mut self) {
        self.responses = 0.0;
        self.late_responses = 0.0;
        self.was_reached = false;
    }
}
