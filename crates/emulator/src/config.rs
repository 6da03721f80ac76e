//! The configuration of an emulated worker.

use tideroute_wire::{Address, Micros};

const MICROS_PER_SECOND: f64 = 1e6;

/// The role of a worker.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WorkerRole {
    /// Prefills prompts and keeps their KV state until a decode worker has fetched it.
    Prefill,
    /// Fetches KV state from prefill workers and decodes.
    Decode,
    /// Decodes; also prefills the prompt itself if a request names no prefill worker to fetch KV state from.
    Mixed,
}

/// A fault that a script injects into a worker.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ScriptedFault {
    /// Rejects all new work (true), or stops rejecting it (false).
    Reject(bool),
    /// Answers all new work with a server error (true), or stops doing so (false).
    ServerError(bool),
    /// Multiplies the time of every prefill step and token by this factor.
    Slow(f64),
    /// Keeps all connections open but sends nothing any more. Work in flight is lost.
    Silent,
    /// Ends the process at once.
    Crash,
    /// Starts a graceful shutdown: registers as draining, rejects new work and finishes the work in flight.
    Drain,
    /// Flips a bit in each chunk of KV state that it sends (true), or stops doing so (false).
    CorruptState(bool),
}

/// The configuration of a worker. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// The name that appears in logs and in Hello messages.
    pub name: String,
    /// The address on which the worker listens.
    pub address: Address,
    /// The address of discovery.
    pub discovery: Address,
    /// The role of the worker.
    pub role: WorkerRole,
    /// The worker kind that it registers with discovery.
    pub kind: u16,
    /// The relative capacity that it registers with discovery.
    pub size: f64,
    /// The cell of the worker.
    pub cell: u16,
    /// The zone of the worker.
    pub zone: u8,
    /// Whether the worker is warm from its start, as one that started long ago.
    pub is_warm: bool,
    /// Number of prefills that run concurrently.
    pub prefill_slots: usize,
    /// Maximum number of queued prefills.
    pub max_queued_prefills: usize,
    /// Prompt tokens that one prefill processes per second.
    pub prefill_tokens_per_second: f64,
    /// Number of streams that are decoded concurrently.
    pub decode_slots: usize,
    /// Maximum number of queued streams.
    pub max_queued_streams: usize,
    /// Time between two tokens of a stream.
    pub token_interval: Micros,
    /// Bytes of KV state per prompt token.
    pub state_bytes_per_token: u32,
    /// Share of its capacity that the worker has when it starts, from 0 to 1.
    pub cold_capacity_share: f64,
    /// Time from the start until the worker is warm. Its capacity grows linearly until then.
    pub warm_up: Micros,
    /// Multiple of its present capacity above which a worker that is still warming up crashes.
    pub overload_multiple: f64,
    /// Time window over which the received work is added up to detect overload.
    pub overload_window: Micros,
    /// Maximum number of shared prefixes whose KV state is cached.
    pub max_cached_prefixes: usize,
    /// The scripted faults, each with its time after the start.
    pub script: Vec<(Micros, ScriptedFault)>,
}

impl WorkerConfig {
    /// Returns the tokens per second that the warm worker processes: prompt tokens if it is a prefill worker, else
    /// decoded tokens.
    pub fn tokens_per_second(&self) -> f64 {
        match self.role {
            WorkerRole::Prefill => self.prefill_tokens_per_second * self.prefill_slots as f64,
            WorkerRole::Decode | WorkerRole::Mixed => {
                self.decode_slots as f64 * MICROS_PER_SECOND / self.token_interval.max(1) as f64
            }
        }
    }

    /// Returns the microseconds that a warm worker takes to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.prefill_tokens_per_second * MICROS_PER_SECOND
    }
}
