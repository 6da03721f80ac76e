//! The time that programs see: microseconds since 1970, read once at the start and counted on by the
//! monotonic clock, so that it never goes back when the machine's clock is set.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tideroute_wire::Micros;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    epoch: Micros,
    warp: Option<Warp>,
}

/// What is wrong with a clock, for a test: between two moments of true time it runs so many times as fast, and
/// a process that starts then finds it set so far ahead, or back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warp {
    pub from: Micros,
    pub until: Micros,
    pub rate: f64,
    /// Microseconds.
    pub ahead: i64,
}

impl Clock {
    pub fn start() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Clock { began: Instant::now(), epoch, warp: None }
    }

    /// The same clock, wrong from now on.
    pub fn warped(self, warp: Warp) -> Clock {
        Clock { warp: Some(warp), ..self }
    }

    pub fn now(&self) -> Micros {
        let now = self.true_now();
        self.warp.map_or(now, |warp| warp.seen(self.epoch, now))
    }

    /// The machine's own time, whatever is wrong with this clock.
    pub fn true_now(&self) -> Micros {
        self.epoch + self.began.elapsed().as_micros() as Micros
    }
}

impl Warp {
    /// What a clock that was set at `began` shows at a moment of true time.
    pub fn seen(&self, began: Micros, now: Micros) -> Micros {
        let ahead = if (self.from..self.until).contains(&began) { self.ahead } else { 0 };
        let wrong = now.min(self.until).saturating_sub(began.max(self.from));
        let gained = (wrong as f64 * (self.rate - 1.0)) as i64;
        now.saturating_add_signed(ahead + gained)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wrong_clock_is_wrong_while_it_is_said_to_be_and_never_goes_back() {
        let warp = Warp { from: 1_000, until: 2_000, rate: 1.5, ahead: 700 };
        assert_eq!([0, 1_000, 1_500, 2_000, 9_000].map(|t| warp.seen(0, t)), [0, 1_000, 1_750, 2_500, 9_500]);
        // Who starts meanwhile finds it set ahead.
        assert_eq!(warp.seen(1_500, 1_600), 2_350);
        let slow = Warp { rate: 0.5, ahead: -300, ..warp };
        assert_eq!(slow.seen(1_500, 1_600), 1_250);
        let shown: Vec<_> = (0..3_000).map(|t| slow.seen(0, t)).collect();
        assert!(shown.is_sorted());
    }
}
