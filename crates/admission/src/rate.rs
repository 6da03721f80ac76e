//! A limit on a rate that lets bursts through: the generic cell rate algorithm (ITU-T I.371), which keeps one
//! moment where a token bucket keeps a level and when it was filled.

use crate::Micros;

/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// So many units a second, and so many at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    pub a_second: f64,
    pub burst: f64,
}

/// What has been taken under a rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Taken {
    /// When all that was taken would have come at the even rate, in microseconds.
    due: f64,
}

impl Taken {
    /// From when on `units` may be taken; None for never, as where the rate is none.
    pub fn free_at(&self, rate: Rate, now: Micros, units: f64) -> Option<Micros> {
        if rate.a_second <= 0.0 {
            return None;
        }
        // More than a burst at once passes when all of the burst is free, or it never would.
        let ahead = (rate.burst.max(units) - units) / rate.a_second * SECOND;
        Some((self.due - ahead).max(now as f64).ceil() as Micros)
    }

    pub fn take(&mut self, rate: Rate, now: Micros, units: f64) {
        if rate.a_second > 0.0 {
            self.due = self.due.max(now as f64) + units / rate.a_second * SECOND;
        }
    }

    /// Under a new rate what was taken counts the same part of it.
    pub fn rescale(&mut self, old: Rate, new: Rate, now: Micros) {
        let ahead = (self.due - now as f64).max(0.0);
        if new.a_second > 0.0 {
            let units = ahead / SECOND * old.a_second.max(0.0);
            self.due =
                now as f64 + (units / new.a_second * SECOND).min(new.burst.max(1.0) / new.a_second * SECOND);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The plain way: a bucket that is filled as time passes.
    struct Bucket {
        level: f64,
        at: Micros,
    }

    impl Bucket {
        fn take(&mut self, rate: Rate, now: Micros, units: f64) -> bool {
            self.level = (self.level + (now - self.at) as f64 * rate.a_second / SECOND).min(rate.burst);
            self.at = now;
            let free = self.level + 1e-6 >= units;
            self.level -= if free { units } else { 0.0 };
            free
        }
    }

    #[test]
    fn it_lets_through_what_a_bucket_does() {
        fn same(rate: (u8, u8), asked: Vec<(u16, u8)>) -> bool {
            let rate = Rate { a_second: f64::from(rate.0) + 1.0, burst: f64::from(rate.1) + 1.0 };
            let (mut taken, mut now) = (Taken::default(), 1_000_000);
            let mut bucket = Bucket { level: rate.burst, at: now };
            asked.into_iter().all(|(gap, units)| {
                now += u64::from(gap) * 1000;
                let units = 1.0 + f64::from(units) % rate.burst;
                let free = taken.free_at(rate, now, units).is_some_and(|at| at <= now + 1);
                if free {
                    taken.take(rate, now, units);
                }
                free == bucket.take(rate, now, units)
            })
        }
        quickcheck::quickcheck(same as fn((u8, u8), Vec<(u16, u8)>) -> bool);
    }

    #[test]
    fn a_rate_of_none_lets_nothing_through_and_more_than_a_burst_passes_in_time() {
        let none = Rate { a_second: 0.0, burst: 10.0 };
        assert_eq!(Taken::default().free_at(none, 5, 1.0), None);
        let (small, mut taken) = (Rate { a_second: 10.0, burst: 2.0 }, Taken::default());
        taken.take(small, 0, 2.0);
        assert_eq!(taken.free_at(small, 0, 50.0), Some(200_000));
    }
}
