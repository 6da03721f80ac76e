//! Emulated workers.

use super::router::{Role, SchedulerSettings};
use serde::{Deserialize, Serialize};

/// Configuration of one emulated worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// The address on which it listens.
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
    /// Whether it is warm from the start, without a slow start.
    pub warm: bool,
    /// Its capacity.
    #[serde(rename = "does")]
    pub capacity: WorkerCapacity,
    /// Settings that it shares with the routers.
    #[serde(rename = "terms")]
    pub settings: SchedulerSettings,
    /// Faults that the worker applies to itself at set times.
    pub script: Vec<WorkerFault>,
}

/// Role and capacity of a worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerCapacity {
    /// Its role.
    pub role: Role,
    /// Its capacity, relative to others of its kind.
    pub size: f64,
    /// Maximum number of prefills in progress.
    #[serde(rename = "reads_at_once")]
    pub prefill_slots: usize,
    /// Maximum number of waiting prefills.
    #[serde(rename = "reads_waiting")]
    pub prefill_queue: usize,
    /// Prompt tokens that a prefill processes per second.
    #[serde(rename = "read_rate")]
    pub prefill_tokens_per_second: f64,
    /// Maximum number of responses being decoded.
    #[serde(rename = "streams_at_once")]
    pub decode_slots: usize,
    /// Maximum number of waiting decode attempts.
    #[serde(rename = "streams_waiting")]
    pub decode_queue: usize,
    /// Time between two tokens of a response.
    #[serde(rename = "token_gap")]
    pub token_interval: u64,
    /// Bytes of KV state per token.
    #[serde(rename = "state_bytes_a_token")]
    pub state_bytes_per_token: u32,
    /// Maximum number of cached prefixes.
    #[serde(rename = "keeps")]
    pub max_cached_prefixes: usize,
}

/// A fault in a worker's script.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerFault {
    /// Start of the fault, from the start of the script.
    pub at: u64,
    /// The kind of fault, such as `slow` or `drain`.
    #[serde(rename = "do")]
    pub kind: String,
    /// Duration of the fault; without it, the fault lasts to the end.
    #[serde(rename = "for")]
    pub duration: Option<u64>,
    /// For `slow`, the factor by which processing times grow.
    #[serde(rename = "times")]
    pub factor: f64,
}
