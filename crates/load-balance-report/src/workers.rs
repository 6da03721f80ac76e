//! What each worker of one role has out, as time passes.

use tideroute_wire::Micros;

use crate::herds::Herds;

struct Worker {
    /// What it can do beside others.
    weight: f64,
    /// Shots that it works on at once; more of them wait.
    slots: u32,
    out: u32,
    there: bool,
    /// Shot microseconds in the second that is under way.
    work: f64,
}

#[derive(Default)]
pub struct Workers {
    workers: Vec<Worker>,
    pub herds: Herds,
    now: Micros,
    second: Micros,
    /// All work of each second that had any, and the fullest over the mean.
    seconds: Vec<(f64, f64)>,
    idle_beside: f64,
    all: f64,
}

const SECOND: Micros = 1_000_000;
/// The part of the median second's work under which a second is left out: in the last one of a day, with a third of
/// the work, whoever ends last is the fullest by far.
const LEAST: f64 = 0.5;

impl Workers {
    pub fn add(&mut self, weight: f64, slots: u32) -> usize {
        self.workers.push(Worker { weight, slots, out: 0, there: true, work: 0.0 });
        self.workers.len() - 1
    }

    pub fn count(&self) -> usize {
        self.workers.len()
    }

    /// Time passes up to now.
    fn pass(&mut self, now: Micros) {
        if self.now == 0 {
            (self.now, self.second) = (now, now + SECOND);
        }
        while self.now < now {
            let until = now.min(self.second);
            let took = until.saturating_sub(self.now) as f64;
            let waiting = self.workers.iter().any(|w| w.there && w.out > w.slots);
            for w in self.workers.iter_mut().filter(|w| w.there) {
                w.work += f64::from(w.out) * took;
                self.all += took;
                if waiting && w.out == 0 {
                    self.idle_beside += took;
                }
            }
            self.now = until;
            if until == self.second {
                self.end_second();
            }
        }
    }

    fn end_second(&mut self) {
        self.second += SECOND;
        let there = || self.workers.iter().filter(|w| w.there);
        let all = there().map(|w| w.work).sum::<f64>();
        let mean = all / there().map(|w| w.weight).sum::<f64>();
        let fullest = there().map(|w| w.work / w.weight).fold(0.0, f64::max);
        if mean > 0.0 {
            self.seconds.push((all, fullest / mean));
        }
        self.workers.iter_mut().for_each(|w| w.work = 0.0);
    }

    /// The fullest over the mean, second by second. Seconds with next to nothing under way, as when the last few
    /// come again after the load, say nothing of how it was spread and are left out.
    pub fn ratios(&self) -> Vec<f64> {
        let mut work: Vec<f64> = self.seconds.iter().map(|(all, _)| *all).collect();
        work.sort_by(f64::total_cmp);
        let least = work.get(work.len() / 2).map_or(0.0, |median| LEAST * median);
        self.seconds.iter().filter(|(all, _)| *all >= least).map(|(_, ratio)| *ratio).collect()
    }

    pub fn arrive(&mut self, now: Micros, place: usize) {
        self.pass(now);
        self.workers[place].out += 1;
        let weights: Vec<f64> = self.workers.iter().map(|w| if w.there { w.weight } else { 0.0 }).collect();
        self.herds.arrive(now, place, &weights);
    }

    pub fn leave(&mut self, now: Micros, place: usize) {
        self.pass(now);
        self.workers[place].out = self.workers[place].out.saturating_sub(1);
    }

    pub fn there(&mut self, now: Micros, place: usize, there: bool) {
        if self.now > 0 {
            self.pass(now);
        }
        let w = &mut self.workers[place];
        (w.there, w.out, w.work) = (there, 0, 0.0);
    }

    /// Nothing more comes; what is still out is not followed.
    pub fn end(&mut self, now: Micros) {
        self.pass(now);
        let weights: Vec<f64> = self.workers.iter().map(|w| w.weight).collect();
        self.herds.close(&weights);
    }

    /// The part of all worker seconds that passed idle while another had work waiting.
    pub fn idle_beside(&self) -> f64 {
        self.idle_beside / self.all.max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fullest_over_the_mean_is_by_weight_and_idleness_counts_beside_waiting_only() {
        let mut w = Workers::default();
        let places = [w.add(1.0, 1), w.add(1.0, 1), w.add(2.0, 1)];
        let at = |ms: u64| SECOND + ms * 1000;
        // One shot each and two on the one of twice the size: even. Nobody waits but there.
        for (n, place) in [(0, 0), (0, 1), (0, 2), (0, 2)] {
            w.arrive(at(n), places[place]);
        }
        w.leave(at(1000), places[1]);
        w.arrive(at(1000), places[0]);
        // Now two, none and two: the fullest has 2 where the mean is 1; the second is idle beside.
        w.end(at(2000));
        assert_eq!(w.ratios(), [1.0, 2.0]);
        assert!((w.idle_beside() - 1.0 / 6.0).abs() < 1e-6, "{}", w.idle_beside());
        // A straggler after all others: one worker has all of next to nothing.
        for place in [0, 0, 0, 2, 2, 2] {
            w.leave(at(2000), places[place]);
        }
        w.arrive(at(2500), places[1]);
        w.leave(at(2510), places[1]);
        w.end(at(3100));
        assert_eq!(w.ratios(), [1.0, 2.0]);
    }
}
