//! The time that programs see: microseconds since 1970, read once at the start and advanced by the monotonic clock,
//! so that it never goes back when the machine's clock is set.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tideroute_wire::Micros;

/// A clock that never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// The machine's time at the start.
    epoch: Micros,
    skew: Option<ClockSkew>,
}

/// A faulty clock, for tests: within a window of true time it runs `rate` times as fast, and a process that starts
/// within the window finds it set ahead, or back, by `offset`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockSkew {
    /// Start of the window, in true time.
    pub from: Micros,
    /// End of the window, in true time.
    pub until: Micros,
    /// Microseconds that the clock advances in a microsecond of true time.
    pub rate: f64,
    /// Microseconds; negative if the clock is set back.
    pub offset: i64,
}

impl Clock {
    /// A clock that starts at the machine's time.
    pub fn start() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Clock { started_at: Instant::now(), epoch, skew: None }
    }

    /// The same clock, faulty from now on.
    pub fn with_skew(self, skew: ClockSkew) -> Clock {
        Clock { skew: Some(skew), ..self }
    }

    /// The time that programs see.
    pub fn now(&self) -> Micros {
        let now = self.true_now();
        self.skew.map_or(now, |skew| skew.apply(self.epoch, now))
    }

    /// The time without the skew.
    pub fn true_now(&self) -> Micros {
        self.epoch + self.started_at.elapsed().as_micros() as Micros
    }
}

impl ClockSkew {
    /// What a clock that was started at `started_at` shows at a moment of true time.
    pub fn apply(&self, started_at: Micros, now: Micros) -> Micros {
        let started_in_window = (self.from..self.until).contains(&started_at);
        let offset = if started_in_window { self.offset } else { 0 };
        let skewed_time = now.min(self.until).saturating_sub(started_at.max(self.from));
        let gained = (skewed_time as f64 * (self.rate - 1.0)) as i64;
        now.saturating_add_signed(offset + gained)
    }
}
