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
    pub list: String,
    /// Index of its worker kind.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u8,
    /// Whether it starts warmed up.
    pub warm: bool,
    /// What it can do.
    pub does: WorkerCapacity,
    /// Settings that it shares with the routers.
    pub terms: SchedulerSettings,
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
    pub reads_at_once: usize,
    /// Prefills that may wait.
    pub reads_waiting: usize,
    /// Prompt tokens prefilled a second.
    pub read_rate: f64,
    /// Responses being decoded at most.
    pub streams_at_once: usize,
    /// Decode attempts that may wait.
    pub streams_waiting: usize,
    /// Time between two tokens of a response.
    pub token_gap: u64,
    /// Bytes of KV state a token.
    pub state_bytes_a_token: u32,
    /// Prefixes that it caches.
    pub keeps: usize,
}

/// A fault in a worker's script.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerFault {
    /// When it begins.
    pub at: u64,
    /// What it is.
    #[serde(rename = "do")]
    pub act: String,
    /// How long it lasts; without it, to the end.
    #[serde(rename = "for")]
    pub lasts: Option<u64>,
    /// How many times slower everything is, of `slow`.
    pub times: f64,
}
