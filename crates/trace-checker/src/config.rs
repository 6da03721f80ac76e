//! What the rules are checked against. It stands as JSON in the head of a capture, so that its keys keep the names that
//! older captures have. Times are microseconds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tideroute_wire::{Address, Micros};

use crate::address::display_address;

/// The limits of the rules, and what the checker must know of the request classes and the workers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CheckerConfig {
    /// The request classes; a request names its class by the index here.
    #[serde(rename = "tracks")]
    pub classes: Vec<ClassConfig>,
    /// Workers by address, as `127.0.0.1:7000`.
    pub workers: BTreeMap<String, WorkerConfig>,
    /// Rule 5: the longest that a worker may keep state for a request that has no attempt in flight.
    #[serde(rename = "release")]
    pub max_idle_state: Micros,
    /// Rule 3: the time after the notification of a drain in which work may still be sent.
    pub drain_grace: Micros,
    /// Rule 4: the part of its full rate at which a worker starts.
    #[serde(rename = "cold_share")]
    pub slow_start_share: f64,
    /// Rule 4: the time after which a worker has warmed up; the rate grows linearly until then.
    #[serde(rename = "warm_after")]
    pub warm_up: Micros,
    /// Rule 4: the multiple of its present rate at which a warming worker is overloaded.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Rule 4: the time over which the work sent is added up.
    #[serde(rename = "fall_span")]
    pub overload_window: Micros,
    /// Rule 2: the attempts that a request may have.
    #[serde(rename = "most_shots")]
    pub max_attempts: u16,
}

impl CheckerConfig {
    /// The worker that listens at the address, if it is named here.
    pub fn worker(&self, address: Address) -> Option<&WorkerConfig> {
        self.workers.get(&display_address(address))
    }
}

/// A request class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassConfig {
    /// Its name.
    pub name: String,
    /// Whether a request may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Which workers deduplicate a retry, for a class that is idempotent with a key.
    #[serde(rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// The time after the first attempt in which they do.
    #[serde(rename = "window")]
    pub deduplication_window: Micros,
    /// The latency objective: time to the first token of a request without a prompt. No rule needs it.
    #[serde(default, rename = "contract")]
    pub ttft_objective: Micros,
    /// What 1,000 prompt tokens add to the objective. No rule needs it.
    #[serde(default, rename = "per_thousand")]
    pub ttft_objective_per_1000_tokens: Micros,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// It may run any number of times.
    #[serde(rename = "replayable")]
    Idempotent,
    /// The workers of a scope deduplicate it by its key, for a time.
    #[serde(rename = "referenced")]
    IdempotentWithKey,
    /// It may run once.
    #[serde(rename = "single-use")]
    NonIdempotent,
}

/// Which workers share the keys by which they deduplicate requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerConfig {
    /// Tokens a second that it processes once it has warmed up.
    #[serde(rename = "rate")]
    pub tokens_per_second: f64,
    /// It prefills and does not decode.
    #[serde(rename = "reader")]
    pub is_prefill: bool,
    /// Its cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u8,
    /// Attempts that it runs at once. No rule needs it.
    #[serde(default, rename = "at_once")]
    pub slots: u32,
}
