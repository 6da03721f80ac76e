//! What is to go wrong, and how often.

use std::sync::atomic::{AtomicU64, Ordering};

/// A plan, as words of the form `key=value` between semicolons.
#[derive(Debug, Default)]
pub struct Plan {
    draws: AtomicU64,
    /// The part of calls on sockets that fail outright.
    pub fail: f64,
    /// The part of reads and writes that are cut short.
    pub short: f64,
    /// The part of calls that a signal interrupts.
    pub interrupt: f64,
    /// The part of calls on files that fail.
    pub files: f64,
    /// Calls fail from then on, and until then, in milliseconds since the process began.
    pub from_ms: i64,
    pub until_ms: i64,
    /// The wall clock is so many milliseconds ahead from that age on.
    pub steps: Vec<Step>,
}

/// The wall clock is stepped at an age of the process.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub at_ms: i64,
    pub ahead_ms: i64,
}

impl Plan {
    /// Reads a plan; an unknown key or a value that is none is an error that names it.
    pub fn read(text: &str) -> Result<Plan, String> {
        let mut plan = Plan { until_ms: i64::MAX, ..Plan::default() };
        for word in text.split(';').filter(|word| !word.is_empty()) {
            let (key, value) = word.split_once('=').ok_or(format!("{word}: expected key=value"))?;
            let bad = || format!("{word}: {value} is no value for {key}");
            let part = || value.parse().ok().filter(|p| (0.0..=1.0).contains(p)).ok_or_else(bad);
            let whole = || value.parse::<i64>().map_err(|_| bad());
            match key {
                "seed" => plan.draws = AtomicU64::new(value.parse().map_err(|_| bad())?),
                "fail" => plan.fail = part()?,
                "short" => plan.short = part()?,
                "interrupt" => plan.interrupt = part()?,
                "files" => plan.files = part()?,
                "from" => plan.from_ms = whole()?,
                "until" => plan.until_ms = whole()?,
                "wall" => {
                    let (ahead, at) = value.split_once('@').ok_or_else(bad)?;
                    let number = |text: &str| text.parse::<i64>().map_err(|_| bad());
                    plan.steps.push(Step { at_ms: number(at)?, ahead_ms: number(ahead)? });
                }
                _ => return Err(format!("{key}: no such key")),
            }
        }
        Ok(plan)
    }

    /// How far ahead the wall clock is at an age of the process.
    pub fn ahead_ms(&self, age_ms: i64) -> i64 {
        self.steps.iter().rfind(|step| step.at_ms <= age_ms).map_or(0, |step| step.ahead_ms)
    }

    /// Whether calls may fail at an age of the process.
    pub fn is_in_force(&self, age_ms: i64) -> bool {
        (self.from_ms..self.until_ms).contains(&age_ms)
    }

    /// The next number between 0 and 1 (SplitMix64).
    pub fn draw(&self) -> f64 {
        let mut z = self.draws.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// One of several, by chance.
    pub fn one_of(&self, all: &[i32]) -> i32 {
        all[((self.draw() * all.len() as f64) as usize).min(all.len() - 1)]
    }
}
