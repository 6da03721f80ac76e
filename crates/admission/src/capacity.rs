//! What the routers can do at this moment, inferred: how many submissions may be in flight together so that they
//! are still answered in time. Nothing behind the routers tells it.
//!
//! It rises by about one for each round of answers in time while all of it is used, and falls by a part when
//! answers come late or are turned back behind it, at most once a round: additive increase and multiplicative
//! decrease (Chiu and Jain, 1989), which finds a hidden limit from below and shares no state with others that seek
//! the same. How far it is off: it saws between its last failure and a part less, so that on average an eighth of
//! what there is stays unused, and a limit that moves is followed within one fall or as many rounds as it rose by.

use crate::Micros;

/// Below this nobody could learn anything.
const LEAST: f64 = 4.0;
/// Where it starts: few, so that a start into a flood harms little.
const FIRST: f64 = 16.0;
/// It grows by this part a round until something is late. A round's answers tell of the window before it, so that it goes
/// too far by as much, and what is too much fills queues from which calm tenants are answered late too.
const SEEKS: f64 = 0.25;
/// What is left after a fall; the sawtooth's mean is then seven eighths of its top.
const FALL: f64 = 0.75;
/// A fall is taken for one where over this part of a round's answers was late: single ones always are.
const LATE: f64 = 0.1;
/// Answers a round at least, or one late answer would be a fall.
const ROUND: f64 = 8.0;
/// The most that is ever let in flight by one instance.
const MOST: f64 = 1e6;

#[derive(Clone, Debug)]
pub struct Capacity {
    window: f64,
    /// Answers of the present round, and how many of them were late.
    answers: f64,
    late: f64,
    /// The window has been full in this round: only then does an answer in time say anything.
    used: bool,
    /// Nothing was late yet: it may grow fast.
    seeking: bool,
    fell: Micros,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity { window: FIRST, answers: 0.0, late: 0.0, used: false, seeking: true, fell: 0 }
    }
}

impl Capacity {
    /// Submissions that may be in flight.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// As many are in flight as may be, and more wait.
    pub fn full(&mut self) {
        self.used = true;
    }

    /// A submission let in at `since` was answered, in time or not. What was let in before the last fall tells of
    /// the time before it.
    pub fn answered(&mut self, now: Micros, since: Micros, in_time: bool) {
        if since < self.fell {
            return;
        }
        self.answers += 1.0;
        self.late += if in_time { 0.0 } else { 1.0 };
        let round = self.window.max(ROUND);
        if self.late > round * LATE {
            (self.window, self.seeking, self.fell) = ((self.window * FALL).max(LEAST), false, now + 1);
        } else if self.answers < round {
            return;
        } else if self.used {
            let more = if self.seeking { self.window * SEEKS } else { 1.0 + self.window / 64.0 };
            self.window = (self.window + more).min(MOST);
        }
        (self.answers, self.late, self.used) = (0.0, 0.0, false);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Servers that answer so many at once in time, and all late beyond.
    fn settle(hidden: f64, rounds: usize) -> Vec<f64> {
        let (mut capacity, mut now, mut seen) = (Capacity::default(), 0, vec![]);
        for _ in 0..rounds {
            let (window, since) = (capacity.window(), now);
            capacity.full();
            now += 1000;
            for _ in 0..window as u64 {
                capacity.answered(now, since, window <= hidden);
            }
            seen.push(capacity.window());
        }
        seen
    }

    #[test]
    fn it_finds_a_hidden_limit_and_stays_near_it() {
        for hidden in [10.0, 100.0, 2_000.0] {
            let seen = settle(hidden, 400);
            let late = &seen[200..];
            let mean = late.iter().sum::<f64>() / late.len() as f64;
            assert!(mean > 0.7 * hidden && mean < 1.05 * hidden, "{hidden}: {mean}");
            assert!(late.iter().all(|w| *w <= hidden * 1.25 + 2.0), "{hidden}: overshoot");
        }
    }

    #[test]
    fn it_does_not_grow_while_it_is_not_used() {
        let mut capacity = Capacity::default();
        (0..10_000).for_each(|n| capacity.answered(n, n, true));
        assert_eq!(capacity.window(), FIRST);
    }

    #[test]
    fn answers_to_what_was_let_in_before_a_fall_do_not_fall_again() {
        let mut capacity = Capacity::default();
        (0..1000).for_each(|_| capacity.answered(10, 5, false));
        assert_eq!(capacity.window(), FIRST * FALL);
    }
}
