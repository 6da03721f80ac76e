//! An estimate of the workers' capacity: how many requests may be in flight together and still meet their latency
//! objectives. Nothing reports it; it is inferred from response times.
//!
//! Additive increase, multiplicative decrease (Chiu and Jain, 1989): the limit rises by about one for each round of
//! responses in time while all of it is used, and falls by a fixed part, at most once a round, when responses are late or
//! the scheduler rejects. This finds a hidden capacity from below, and shares no state with other instances that seek the
//! same one.
//!
//! Accuracy: the limit moves between its last failure and [`DECREASE_FACTOR`] of it, so that an eighth of the capacity
//! stays unused on average. A capacity that falls is followed within one decrease, one that rises within as many rounds
//! as it rose by.

use crate::units::Micros;

#[cfg(test)]
mod tests;

/// Lowest limit: with fewer requests in flight nothing could be learned.
const MIN_LIMIT: f64 = 4.0;

/// Limit at the start: low, so that a start during overload does little harm.
const INITIAL_LIMIT: f64 = 16.0;

/// Highest limit of one instance.
const MAX_LIMIT: f64 = 1e6;

/// Until the first decrease the limit grows by this part a round. The responses of a round tell about the limit of the
/// round before, so that the limit overshoots by as much, and the excess fills queues behind which calm tenants are
/// answered late too.
const INITIAL_GROWTH: f64 = 0.25;

/// After the first decrease a round adds one request, and one more for each so many of the limit.
const LIMIT_PER_EXTRA_REQUEST: f64 = 64.0;

/// Part of the limit that is left after a decrease; the mean of the sawtooth is then seven eighths of its top.
const DECREASE_FACTOR: f64 = 0.75;

/// The limit decreases when more than this part of a round's responses was late: single ones always are.
const LATE_TOLERANCE: f64 = 0.1;

/// Responses in a round at least; in a shorter one a single late response would be a decrease.
const MIN_ROUND: f64 = 8.0;

/// The number of requests that may be in flight, as inferred from response times.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    /// Responses of the present round.
    responses: f64,
    /// Late responses of the present round.
    late_responses: f64,
    /// The limit was reached in this round; otherwise a response in time says nothing about the capacity.
    was_reached: bool,
    /// There was no decrease yet, so the limit may grow fast.
    is_initial: bool,
    /// Responses to requests admitted before this moment tell about the time before the last decrease.
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
    /// Requests that may be in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Notes that as many requests are in flight as may be, and that more wait.
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
