//! What an emulated worker is told when it starts.

use tideroute_wire::{Address, Micros};

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// What a worker does.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WorkerRole {
    /// It prefills prompts and keeps their KV state until it is fetched.
    Prefill,
    /// It fetches KV state and decodes.
    Decode,
    /// It decodes, and prefills prompts that come without KV state itself.
    Mixed,
}

/// What a script may do to a worker.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ScriptedFault {
    /// Reject all new work, or no longer.
    Reject(bool),
    /// Answer all new work with a server error, or no longer.
    ServerError(bool),
    /// Take so many times as long for everything.
    Slow(f64),
    /// Keep all connections, and send nothing any more. What was in flight is lost.
    Silent,
    /// End at once.
    Crash,
    /// Register as draining, take no new work and finish the rest. It is the graceful shutdown, no fault.
    Drain,
    /// Flip a bit in each chunk of KV state that is sent, or no longer.
    CorruptState(bool),
}

/// The configuration of a worker. Times are microseconds.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// Its name, for logs and its Hello.
    pub name: String,
    /// Where it listens.
    pub address: Address,
    /// Where discovery listens.
    pub discovery: Address,
    /// What it does.
    pub role: WorkerRole,
    /// Its worker kind, as it registers it.
    pub kind: u16,
    /// Its relative capacity, as it registers it.
    pub size: f64,
    /// Its cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u8,
    /// It counts as one that started long ago.
    pub is_warm: bool,
    /// Prefills that run at once.
    pub prefill_slots: usize,
    /// Prefills that are queued at most.
    pub max_queued_prefills: usize,
    /// Prompt tokens a second of one prefill.
    pub prefill_tokens_per_second: f64,
    /// Streams that are decoded at once.
    pub decode_slots: usize,
    /// Streams that are queued at most.
    pub max_queued_streams: usize,
    /// The time between two tokens of a stream.
    pub token_interval: Micros,
    /// Bytes of KV state for one prompt token.
    pub state_bytes_per_token: u32,
    /// The part of its capacity that it has when it starts.
    pub cold_capacity_share: f64,
    /// The time after which it has warmed up; its capacity grows linearly until then.
    pub warm_up: Micros,
    /// The multiple of its present capacity at which it crashes while it warms up.
    pub overload_multiple: f64,
    /// The time over which the work sent is added up.
    pub overload_window: Micros,
    /// Shared prefixes whose KV state it keeps cached.
    pub max_cached_prefixes: usize,
    /// What goes wrong, and how long after the start.
    pub script: Vec<(Micros, ScriptedFault)>,
}

impl WorkerConfig {
    /// Tokens a second that it processes once it has warmed up: prompt tokens of a prefill worker, else decoded ones.
    pub fn tokens_per_second(&self) -> f64 {
        match self.role {
            WorkerRole::Prefill => self.prefill_tokens_per_second * self.prefill_slots as f64,
            WorkerRole::Decode | WorkerRole::Mixed => {
                self.decode_slots as f64 * MICROS_PER_SECOND / self.token_interval.max(1) as f64
            }
        }
    }

    /// Microseconds that a warm worker takes to prefill so many tokens.
    pub fn prefill_time(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.prefill_tokens_per_second * MICROS_PER_SECOND
    }
}
