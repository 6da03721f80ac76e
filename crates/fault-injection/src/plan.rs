//! The fault plan: which faults are injected, with which probability and when.

use std::sync::atomic::{AtomicU64, Ordering};

/// The faults that are injected into a process. Rates are probabilities per call, from 0 to 1.
#[derive(Debug, Default)]
pub struct FaultPlan {
    /// State of the random number generator (SplitMix64). Its initial value is the seed.
    random_state: AtomicU64,
    /// Rate of calls on sockets that fail.
    pub socket_failure_rate: f64,
    /// Rate of reads and writes on sockets that transfer fewer bytes than requested.
    pub partial_transfer_rate: f64,
    /// Rate of calls on sockets that a signal interrupts.
    pub interrupt_rate: f64,
    /// Rate of calls on files that fail.
    pub file_failure_rate: f64,
    /// Age of the process, in milliseconds, at which calls start to fail.
    pub from_ms: i64,
    /// Age of the process, in milliseconds, at which calls stop failing.
    pub until_ms: i64,
    /// Steps of the wall clock, in the order of the plan. The last step whose age is reached applies.
    pub clock_steps: Vec<ClockStep>,
}

/// A step of the wall clock: from an age of the process on, the clock differs from the machine's clock by an offset.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ClockStep {
    /// Age of the process, in milliseconds, from which on the offset applies.
    pub at_ms: i64,
    /// Milliseconds by which the wall clock is ahead of the machine's clock; negative if it is behind.
    pub offset_ms: i64,
}

/// The reason why a plan does not parse, with the offending part of the plan.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum PlanError {
    /// A part is not of the form `key=value`.
    #[error("{0}: expected key=value")]
    NotAPair(String),
    /// The value is not a number, or out of the range of the key.
    #[error("{pair}: {value} is not a valid value for {key}")]
    BadValue {
        /// The part of the plan, as `key=value`.
        pair: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// The key is not known.
    #[error("{0}: unknown key")]
    UnknownKey(String),
}

impl FaultPlan {
    /// Parses a plan: `key=value` pairs separated by semicolons. The keys are `seed`, the rates `fail`, `short`,
    /// `interrupt` and `files`, the ages `from` and `until` in milliseconds, and `wall=OFFSET_MS@AGE_MS`, which may
    /// occur more than once.
    pub fn parse(text: &str) -> Result<FaultPlan, PlanError> {
        let mut plan = FaultPlan { until_ms: i64::MAX, ..FaultPlan::default() };
        for pair in text.split(';').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=').ok_or_else(|| PlanError::NotAPair(pair.to_string()))?;
            let bad_value = || PlanError::BadValue {
                pair: pair.to_string(),
                key: key.to_string(),
                value: value.to_string(),
            };
            match key {
                "seed" => plan.random_state = AtomicU64::new(value.parse().map_err(|_| bad_value())?),
                "fail" => plan.socket_failure_rate = parse_rate(value).ok_or_else(bad_value)?,
                "short" => plan.partial_transfer_rate = parse_rate(value).ok_or_else(bad_value)?,
                "interrupt" => plan.interrupt_rate = parse_rate(value).ok_or_else(bad_value)?,
                "files" => plan.file_failure_rate = parse_rate(value).ok_or_else(bad_value)?,
                "from" => plan.from_ms = value.parse().map_err(|_| bad_value())?,
                "until" => plan.until_ms = value.parse().map_err(|_| bad_value())?,
                "wall" => plan.clock_steps.push(parse_clock_step(value).ok_or_else(bad_value)?),
                _ => return Err(PlanError::UnknownKey(key.to_string())),
            }
        }
        Ok(plan)
    }

    /// Returns the milliseconds by which the wall clock is ahead of the machine's clock at an age of the process.
    pub fn clock_offset_ms(&self, age_ms: i64) -> i64 {
        self.clock_steps.iter().rfind(|step| step.at_ms <= age_ms).map_or(0, |step| step.offset_ms)
    }

    /// Returns whether calls may fail at an age of the process.
    pub fn is_active(&self, age_ms: i64) -> bool {
        (self.from_ms..self.until_ms).contains(&age_ms)
    }

    /// Returns the next random number (SplitMix64), at least 0 and less than 1.
    pub fn random_unit(&self) -> f64 {
        let mut z = self.random_state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns one of several error numbers, each with the same probability.
    pub fn choose(&self, errors: &[i32]) -> i32 {
        let index = (self.random_unit() * errors.len() as f64) as usize;
        errors[index.min(errors.len() - 1)]
    }
}

fn parse_rate(text: &str) -> Option<f64> {
    text.parse().ok().filter(|rate| (0.0..=1.0).contains(rate))
}

fn parse_clock_step(text: &str) -> Option<ClockStep> {
    let (offset_ms, at_ms) = text.split_once('@')?;
    Some(ClockStep { at_ms: at_ms.parse().ok()?, offset_ms: offset_ms.parse().ok()? })
}
