//! The configuration of the checker. It is stored as JSON in the header of each capture, so its keys keep the names
//! that older captures use. All times are in microseconds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tideroute_wire::{Address, Micros};

use crate::address::display_address;

/// The limits of the rules, and what the checker must know about the request classes and the workers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CheckerConfig {
    /// The request classes; a request names its class by its index in this list.
    #[serde(rename = "tracks")]
    pub classes: Vec<ClassConfig>,
    /// Workers by address, in the form `127.0.0.1:7000`.
    pub workers: BTreeMap<String, WorkerConfig>,
    /// Rule 5: the longest time for which a worker may keep state for a request that has no attempt in flight.
    #[serde(rename = "release")]
    pub max_idle_state: Micros,
    /// Rule 3: how long a router may still send work to a worker after it was notified that the worker drains.
    pub drain_grace: Micros,
    /// Rule 4: the fraction of its full rate at which a worker starts.
    #[serde(rename = "cold_share")]
    pub slow_start_share: f64,
    /// Rule 4: the time after which a worker has warmed up; the rate grows linearly until then.
    #[serde(rename = "warm_after")]
    pub warm_up: Micros,
    /// Rule 4: the multiple of its present rate at which a warming worker is overloaded.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Rule 4: the length of the sliding window over which the work sent to a worker is added up.
    #[serde(rename = "fall_span")]
    pub overload_window: Micros,
    /// Rule 2: the highest number of attempts that a request may have.
    #[serde(rename = "most_shots")]
    pub max_attempts: u16,
}

impl CheckerConfig {
    /// Returns the worker that listens at the address, if the configuration names it.
    pub fn worker(&self, address: Address) -> Option<&WorkerConfig> {
        self.workers.get(&display_address(address))
    }
}

/// A request class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassConfig {
    /// Name of the class.
    pub name: String,
    /// Whether a request may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Which workers deduplicate a retry, for a class that is idempotent with a key.
    #[serde(rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// How long after the first attempt the workers deduplicate a retry.
    #[serde(rename = "window")]
    pub deduplication_window: Micros,
    /// The latency objective: time to the first token of a request without a prompt. No rule uses it.
    #[serde(default, rename = "contract")]
    pub ttft_objective: Micros,
    /// The time that 1,000 prompt tokens add to the objective. No rule uses it.
    #[serde(default, rename = "per_thousand")]
    pub ttft_objective_per_1000_tokens: Micros,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// The request may run any number of times.
    #[serde(rename = "replayable")]
    Idempotent,
    /// The workers of a scope deduplicate the request by its key, within a time window.
    #[serde(rename = "referenced")]
    IdempotentWithKey,
    /// The request may run at most once.
    #[serde(rename = "single-use")]
    NonIdempotent,
}

/// Which workers share the keys by which they deduplicate requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All workers share them.
    All,
    /// The workers of one zone share them.
    Zone,
    /// The workers of one cell share them.
    Cell,
}

/// A worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerConfig {
    /// Tokens per second that the worker processes once it has warmed up.
    #[serde(rename = "rate")]
    pub tokens_per_second: f64,
    /// Whether the worker prefills and does not decode.
    #[serde(rename = "reader")]
    pub is_prefill: bool,
    /// Cell of the worker.
    pub cell: u16,
    /// Zone of the worker.
    pub zone: u8,
    /// Number of attempts that the worker runs concurrently. No rule uses it.
    #[serde(default, rename = "at_once")]
    pub slots: u32,
}
