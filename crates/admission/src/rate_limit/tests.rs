use super::*;

/// A token bucket that is refilled at each call of `consume`.
struct TokenBucket {
    level: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn consume(&mut self, rate: RateLimit, now: Micros, units: f64) -> bool {
        self.level = (self.level + (now - self.refilled_at) as f64 * rate.per_second / MICROS_PER_SECOND)
            .min(rate.burst);
        self.refilled_at = now;
        let conforms = self.level + 1e-6 >= units;
        self.level -= if conforms { units } else { 0.0 };
        conforms
    }
}

#[test]
fn the_limiter_passes_what_a_token_bucket_passes() {
    fn behaves_as_token_bucket(rate: (u8, u8), requests: Vec<(u16, u8)>) -> bool {
        let rate = RateLimit { per_second: f64::from(rate.0) + 1.0, burst: f64::from(rate.1) + 1.0 };
        let mut limiter = RateLimiter::default();
        let mut now = 1_000_000;
        let mut bucket = TokenBucket { level: rate.burst, refilled_at: now };
        requests.into_iter().all(|(gap, units)| {
            now += u64::from(gap) * 1000;
            let units = 1.0 + f64::from(units) % rate.burst;
            let conforms = limiter.conforms_at(rate, now, units).is_some_and(|at| at <= now + 1);
            if conforms {
                limiter.consume(rate, now, units);
            }
            conforms == bucket.consume(rate, now, units)
        })
    }
    quickcheck::quickcheck(behaves_as_token_bucket as fn((u8, u8), Vec<(u16, u8)>) -> bool);
}

#[test]
fn a_rate_of_zero_passes_nothing_and_more_than_a_burst_passes_in_time() {
    let zero_rate = RateLimit { per_second: 0.0, burst: 10.0 };
    assert_eq!(RateLimiter::default().conforms_at(zero_rate, 5, 1.0), None);
    let slow_rate = RateLimit { per_second: 10.0, burst: 2.0 };
    let mut limiter = RateLimiter::default();
    limiter.consume(slow_rate, 0, 2.0);
    assert_eq!(limiter.conforms_at(slow_rate, 0, 50.0), Some(200_000));
}
