//! Emulated workers.

use super::router::{Role, SchedulerSettings};
use serde::{Deserialize, Serialize};

/// One emulated worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its address.
    pub listen: String,
    /// The address of discovery.
    #[serde(rename = "list")]
    pub discovery: String,
    /// Index of its worker kind.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u8,
    /// Whether it starts warmed up.
    pub warm: bool,
    /// What it can do.
    #[serde(rename = "does")]
    pub capacity: WorkerCapacity,
    /// Settings that it shares with the routers.
    #[serde(rename = "terms")]
    pub settings: SchedulerSettings,
    /// Faults at set times.
    pub script: Vec<WorkerFault>,
}

/// What a worker can do.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerCapacity {
    /// What it does.
    pub role: Role,
    /// Its capacity, relative to others of its kind.
    pub size: f64,
    /// Prefills in progress at most.
    #[serde(rename = "reads_at_once")]
    pub prefill_slots: usize,
    /// Prefills that may wait.
    #[serde(rename = "reads_waiting")]
    pub prefill_queue: usize,
    /// Prompt tokens prefilled a second.
    #[serde(rename = "read_rate")]
    pub prefill_tokens_per_second: f64,
    /// Responses being decoded at most.
    #[serde(rename = "streams_at_once")]
    pub decode_slots: usize,
    /// Decode attempts that may wait.
    #[serde(rename = "streams_waiting")]
    pub decode_queue: usize,
    /// Time between two tokens of a response.
    #[serde(rename = "token_gap")]
    pub token_interval: u64,
    /// Bytes of KV state a token.
    #[serde(rename = "state_bytes_a_token")]
    pub state_bytes_per_token: u32,
    /// Prefixes that it caches.
    #[serde(rename = "keeps")]
    pub max_cached_prefixes: usize,
}

/// A fault in a worker's script.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerFault {
    /// When it begins.
    pub at: u64,
    /// What it is.
    #[serde(rename = "do")]
    pub kind: String,
    /// How long it lasts; without it, to the end.
    #[serde(rename = "for")]
    pub duration: Option<u64>,
    /// How many times slower everything is, of `slow`.
    #[serde(rename = "times")]
    pub factor: f64,
}
