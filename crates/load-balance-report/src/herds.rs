//! Arrivals at workers within short windows, against what as many independent choices would bring.

use tideroute_wire::Micros;

/// Microseconds: within so long routers act on the same news, and none has heard of another's choice.
pub const WINDOW: Micros = 100_000;
/// A window in which independent choice brings a worker as many arrivals with less than this chance is a herd.
const RARE: f64 = 0.001;

#[derive(Default)]
pub struct Herds {
    began: Micros,
    counts: Vec<u32>,
    /// Sums of squared deviations over the expected, and how many cells they are of.
    dispersion: f64,
    cells: f64,
    pub windows: u64,
    pub beyond: u64,
    /// The most arrivals at one worker in one window, with all arrivals of that window.
    pub worst: (u32, u32),
}

impl Herds {
    /// An arrival at the worker of that place among so many.
    pub fn arrive(&mut self, now: Micros, place: usize, weights: &[f64]) {
        if self.counts.len() != weights.len() {
            self.counts = vec![0; weights.len()];
        }
        if now >= self.began + WINDOW {
            self.close(weights);
            self.began = now - now % WINDOW;
        }
        self.counts[place] += 1;
    }

    /// Ends the window that is under way.
    pub fn close(&mut self, weights: &[f64]) {
        let all: u32 = self.counts.iter().sum();
        let weight: f64 = weights.iter().sum();
        if all == 0 || weight <= 0.0 {
            return;
        }
        self.windows += 1;
        let mut chance = 0.0;
        for (count, own) in self.counts.iter().zip(weights).filter(|(_, own)| **own > 0.0) {
            let expected = f64::from(all) * own / weight;
            self.dispersion += (f64::from(*count) - expected).powi(2) / expected;
            if *count > self.worst.0 {
                self.worst = (*count, all);
            }
            if f64::from(*count) > expected {
                let tail = tail(all, own / weight, *count);
                chance = f64::max(chance, 1.0 - tail);
            }
        }
        // As many cells as are free to vary once the sum is known.
        self.cells += weights.iter().filter(|w| **w > 0.0).count() as f64 - 1.0;
        // The fullest of so many workers is rare if any one of them is as many times as rare.
        self.beyond += u64::from((1.0 - chance) * (weights.len() as f64) < RARE);
        self.counts.fill(0);
    }

    /// 1 for independent choice, more for herds, less for an even spread.
    pub fn index(&self) -> f64 {
        self.dispersion / self.cells.max(1.0)
    }

    /// Windows that independent choice would show as herds, at most.
    pub fn by_chance(&self) -> f64 {
        RARE * self.windows as f64
    }
}

/// The chance that of `n` choices with chance `p` each at least `k` fall on one.
fn tail(n: u32, p: f64, k: u32) -> f64 {
    let (mut term, mut below) = ((1.0 - p).powi(n as i32), 0.0);
    for i in 0..k {
        below += term;
        term *= f64::from(n - i) / f64::from(i + 1) * p / (1.0 - p).max(1e-12);
    }
    (1.0 - below).max(0.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Draws without a package: the Weyl sequence scrambled, good enough to tell even from uneven.
    fn draw(n: u64, of: u64) -> usize {
        let x = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ n >> 7).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        ((x ^ x >> 31) % of) as usize
    }

    #[test]
    fn herds_are_seen_and_independent_choice_is_none() {
        let weights = [1.0; 40];
        let play = |choose: &dyn Fn(u64) -> usize| {
            let mut herds = Herds::default();
            (0..30_000u64).for_each(|n| herds.arrive(1_000_000 + n * 4_000, choose(n), &weights));
            herds.close(&weights);
            (herds.index(), herds.beyond as f64, herds.by_chance())
        };
        let (index, beyond, by_chance) = play(&|n| draw(n, 40));
        assert!((0.9..1.1).contains(&index), "{index}");
        assert!(beyond <= 3.0 * by_chance.max(1.0), "{beyond} of {by_chance}");
        // In turn: more even than chance.
        let (index, beyond, _) = play(&|n| (n % 40) as usize);
        assert!(index < 0.6 && beyond == 0.0, "{index} {beyond}");
        // All take the one that looked emptiest, which changes every 100 ms.
        let (index, beyond, by_chance) = play(&|n| draw(n / 25, 40));
        assert!(index > 5.0 && beyond > 100.0 * by_chance, "{index} {beyond}");
    }

    #[test]
    fn tails_are_those_of_the_binomial() {
        assert!((tail(10, 0.5, 5) - 0.623_046_875).abs() < 1e-9);
        assert!((tail(3, 0.25, 3) - 0.015_625).abs() < 1e-9);
        assert_eq!(tail(7, 0.3, 0), 1.0);
    }
}
