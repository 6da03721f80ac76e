//! Exponential backoff of a worker that failed.

use crate::types::TenthMillis;

/// The first backoff, half a second: about the time in which a process starts again.
pub const FIRST_BACKOFF: TenthMillis = 5_000;
/// Doublings at most: a dead worker is tried every eight seconds or so.
const MAX_DOUBLINGS: u32 = 4;

/// Whether a worker is out of service, and how often it was in a row.
#[derive(Default)]
pub struct Backoff {
    consecutive: u32,
    /// 0 while the worker is in service.
    until: TenthMillis,
}

impl Backoff {
    /// The worker is out of service, be it that its time is over and its return is still to be decided.
    pub fn is_active(&self) -> bool {
        self.until > 0
    }

    /// The worker is out of service and its time is not over.
    pub fn is_running(&self, now: TenthMillis) -> bool {
        self.until > now
    }

    /// The worker is out of service and its time is over.
    pub fn has_elapsed(&self, now: TenthMillis) -> bool {
        self.is_active() && now >= self.until
    }

    /// It has not failed since it last answered.
    pub fn is_first(&self) -> bool {
        self.consecutive == 0
    }

    /// Takes the worker out of service, for twice as long after each failure in a row; `jitter` multiplies the time
    /// and keeps routers apart. Changes nothing while a backoff is running.
    pub fn start(&mut self, now: TenthMillis, jitter: f64) {
        if now < self.until {
            return;
        }
        let base = (FIRST_BACKOFF as f64 * jitter) as TenthMillis;
        self.until = now + base * (1 << self.consecutive.min(MAX_DOUBLINGS));
        self.consecutive += 1;
    }

    /// The worker is in service again; a further failure still counts as one in the row.
    pub fn end(&mut self) {
        self.until = 0;
    }

    /// The worker answered or started anew: it is in service and the row is over.
    pub fn reset(&mut self) {
        *self = Backoff::default();
    }
}
