//! Exponential backoff after the failures of a worker.

use crate::types::TenthMillis;

/// The length of the first backoff, half a second: about the time in which a process restarts.
pub const FIRST_BACKOFF: TenthMillis = 5_000;
/// The largest number of times that the backoff is doubled; 4 doublings mean that a dead worker is tried about
/// every 8 seconds.
const MAX_DOUBLINGS: u32 = 4;

/// Until when a worker is out of service, and how often it failed in a row.
#[derive(Default)]
pub struct Backoff {
    /// Number of backoffs since the worker last answered or restarted.
    consecutive: u32,
    /// When the backoff elapses; 0 while the worker is in service.
    until: TenthMillis,
}

impl Backoff {
    /// Returns whether the worker is out of service. It stays so after the backoff has elapsed, until
    /// [`Backoff::end`] or [`Backoff::reset`] is called.
    pub fn is_active(&self) -> bool {
        self.until > 0
    }

    /// Returns whether the backoff has not elapsed yet.
    pub fn is_running(&self, now: TenthMillis) -> bool {
        self.until > now
    }

    /// Returns whether the worker is out of service and the backoff has elapsed.
    pub fn has_elapsed(&self, now: TenthMillis) -> bool {
        self.is_active() && now >= self.until
    }

    /// Returns whether the worker has not failed since it last answered or restarted.
    pub fn is_first(&self) -> bool {
        self.consecutive == 0
    }

    /// Takes the worker out of service, twice as long after each further failure in a row. The time is multiplied
    /// by `jitter`, so that different routers do not retry the worker at the same moment. Does nothing while a
    /// backoff is running.
    pub fn start(&mut self, now: TenthMillis, jitter: f64) {
        if now < self.until {
            return;
        }
        let base = (FIRST_BACKOFF as f64 * jitter) as TenthMillis;
        self.until = now + base * (1 << self.consecutive.min(MAX_DOUBLINGS));
        self.consecutive += 1;
    }

    /// Puts the worker back in service but keeps the count of failures, so that the next backoff is longer.
    pub fn end(&mut self) {
        self.until = 0;
    }

    /// Puts the worker back in service and clears the count of failures, after it answered or restarted.
    pub fn reset(&mut self) {
        *self = Backoff::default();
    }
}
