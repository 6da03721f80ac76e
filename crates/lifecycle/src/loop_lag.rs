//! How late the loop hears what happened. What came while it was busy, or not run, has waited so long unread, and
//! a client's time counts from when it asked.

use tideroute_wire::Micros;

/// Microseconds that a lateness is remembered for at least, twice as long at most: stalls come in rows.
const SPAN: Micros = 1_000_000;

#[derive(Default)]
pub struct LoopLag {
    since: Micros,
    worst: Micros,
    before: Micros,
}

impl LoopLag {
    pub fn record(&mut self, now: Micros, by: Micros) {
        if now.saturating_sub(self.since) >= SPAN {
            let stale = now.saturating_sub(self.since) >= 2 * SPAN;
            (self.since, self.before) = (now, if stale { 0 } else { self.worst });
            self.worst = 0;
        }
        self.worst = self.worst.max(by);
    }

    /// The worst of late.
    pub fn worst(&self) -> Micros {
        self.worst.max(self.before)
    }

    /// What is left of a client's time if it asked so long before it was heard; a quarter at most is put down to
    /// lateness, as most that is heard has waited less.
    pub fn remaining_time(&self, left: Micros) -> Micros {
        left - self.worst().min(left / 4)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_worst_is_kept_a_second_and_forgotten_after_two() {
        let mut late = LoopLag::default();
        late.record(10_000_000, 30_000);
        late.record(10_500_000, 2_000);
        assert_eq!(late.worst(), 30_000);
        late.record(11_100_000, 1_000);
        assert_eq!(late.worst(), 30_000);
        late.record(12_200_000, 500);
        assert_eq!(late.worst(), 1_000);
        late.record(20_000_000, 0);
        assert_eq!(late.worst(), 0);
    }

    #[test]
    fn at_most_a_quarter_is_put_down_to_it() {
        let mut late = LoopLag::default();
        late.record(1_000_000, 100_000);
        assert_eq!(
            (late.remaining_time(4_000_000), late.remaining_time(100_000), late.remaining_time(0)),
            (3_900_000, 75_000, 0)
        );
    }
}
