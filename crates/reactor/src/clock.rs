//! The clock of the event loops, in microseconds since 1970. The system time is read once at the start and advanced by
//! the monotonic clock, so that the clock never goes back when the system time is set.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tideroute_wire::Micros;

/// A clock that never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// System time at the start.
    epoch: Micros,
    skew: Option<ClockSkew>,
}

/// A clock fault for tests. Within a window of true time the clock runs `rate` times as fast; for a process that starts
/// within the window it is also set ahead, or back, by `offset`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockSkew {
    /// Start of the window, in true time.
    pub from: Micros,
    /// End of the window, in true time.
    pub until: Micros,
    /// Microseconds that the clock advances per microsecond of true time within the window.
    pub rate: f64,
    /// Offset in microseconds; negative if the clock is set back.
    pub offset: i64,
}

impl Clock {
    /// Starts a clock at the system time.
    pub fn start() -> Clock {
        let epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as Micros);
        Clock { started_at: Instant::now(), epoch, skew: None }
    }

    /// Returns the same clock with a skew.
    pub fn with_skew(self, skew: ClockSkew) -> Clock {
        Clock { skew: Some(skew), ..self }
    }

    /// Returns the time, with the skew if there is one.
    pub fn now(&self) -> Micros {
        let now = self.true_now();
        self.skew.map_or(now, |skew| skew.apply(self.epoch, now))
    }

    /// Returns the time without the skew.
    pub fn true_now(&self) -> Micros {
        self.epoch + self.started_at.elapsed().as_micros() as Micros
    }
}

impl ClockSkew {
    /// Returns what a clock that was started at the true time `started_at` shows at the true time `now`.
    pub fn apply(&self, started_at: Micros, now: Micros) -> Micros {
        let started_in_window = (self.from..self.until).contains(&started_at);
        let offset = if started_in_window { self.offset } else { 0 };
        let skewed_time = now.min(self.until).saturating_sub(started_at.max(self.from));
        let gained = (skewed_time as f64 * (self.rate - 1.0)) as i64;
        now.saturating_add_signed(offset + gained)
    }
}
