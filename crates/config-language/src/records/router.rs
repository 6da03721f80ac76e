//! One router process.

use serde::{Deserialize, Serialize};

/// One router process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Router {
    /// Its name.
    pub name: String,
    /// The address on which it accepts clients.
    pub listen: String,
    /// The address of discovery.
    #[serde(rename = "list")]
    pub discovery: String,
    /// The address on which it serves metrics for Prometheus.
    pub metrics: Option<String>,
    /// The file in which it caches the endpoint list.
    #[serde(rename = "keep")]
    pub endpoint_cache: Option<String>,
    /// Seed of its random number generator.
    pub seed: Option<u64>,
    /// Threads that each run a router behind the same address.
    pub cores: u32,
    /// Request classes.
    #[serde(rename = "tracks")]
    pub classes: Vec<RequestClass>,
    /// Worker kinds.
    pub kinds: Vec<WorkerKind>,
    /// Settings of the scheduler and limits of the process.
    #[serde(rename = "terms")]
    pub settings: SchedulerSettings,
    /// Tenants; with none anybody may send requests.
    pub tenants: Vec<Tenant>,
    /// The administration API.
    pub admin: Option<AdminConfig>,
    /// The cluster membership; without it the router runs alone.
    #[serde(rename = "fleet")]
    pub membership: Option<MembershipConfig>,
}

/// Cluster membership: the routers that exchange gossip.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MembershipConfig {
    /// The name of the cluster.
    pub name: String,
    /// The address on which it receives gossip messages.
    pub listen: String,
    /// Addresses of some members.
    pub seeds: Vec<String>,
    /// The key of message authentication, as 64 hexadecimal digits.
    pub key: String,
}

/// The administration API.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdminConfig {
    /// Its address.
    pub listen: String,
    /// The file of its tenant store.
    pub store: String,
    /// Who may use it.
    pub keys: Vec<AdminKey>,
}

/// A key of the administration API.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdminKey {
    /// Its name.
    pub name: String,
    /// The BLAKE3 of the key, as 64 hexadecimal digits.
    pub key: String,
    /// What it permits: `view`, `operate` or `own`.
    pub role: String,
}

/// A tenant. Limits hold for all routers together.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// The BLAKE3 of its key, as 64 hexadecimal digits.
    pub key: String,
    /// Its weight in fair queueing.
    pub weight: f64,
    /// Requests a second; none for no limit.
    #[serde(rename = "submissions")]
    pub requests_per_second: Option<f64>,
    /// Burst of requests.
    #[serde(rename = "submissions_once")]
    pub request_burst: f64,
    /// Prompt tokens a second; none for no limit.
    #[serde(rename = "tokens")]
    pub tokens_per_second: Option<f64>,
    /// Burst of prompt tokens.
    #[serde(rename = "tokens_once")]
    pub token_burst: f64,
    /// Requests in flight; none for no limit.
    #[serde(rename = "in_flight")]
    pub max_in_flight: Option<u32>,
    /// Requests that may wait to be admitted.
    #[serde(rename = "waiting")]
    pub max_waiting: u32,
}

/// A request class.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Its idempotency: `replayable`, `referenced` or `single-use`.
    #[serde(rename = "repeat")]
    pub idempotency: String,
    /// Its deduplication scope: `all`, `zone` or `cell`.
    #[serde(rename = "group")]
    pub deduplication_scope: String,
    /// Its deduplication window.
    #[serde(rename = "window")]
    pub deduplication_window: u64,
    /// Its latency objective: the time to the first token.
    #[serde(rename = "contract")]
    pub ttft_objective: u64,
    /// What 1,000 prompt tokens add to the latency objective.
    #[serde(rename = "per_thousand")]
    pub ttft_objective_per_1000_tokens: u64,
    /// Its deadline.
    #[serde(rename = "cut_off")]
    pub deadline: u64,
    /// Its priority weight.
    #[serde(rename = "earnings")]
    pub priority_weight: f64,
    /// The part of the priority weight that a late response still counts.
    #[serde(rename = "late")]
    pub late_weight: f64,
}

/// What a worker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefills.
    Reader,
    /// Decodes.
    Writer,
    /// Both.
    Mixed,
}

/// A worker kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerKind {
    /// Its name.
    pub name: String,
    /// What its workers do.
    pub role: Role,
}

/// Settings of the scheduler, and limits of the process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SchedulerSettings {
    /// Routers that share the load.
    pub routers: u32,
    /// Whether decode reservations are made ahead.
    #[serde(rename = "places")]
    pub reservations: bool,
    /// Whether decode workers can prefill.
    #[serde(rename = "writers_read")]
    pub decode_workers_prefill: bool,
    /// How long KV state may be held with no attempt in flight.
    #[serde(rename = "release")]
    pub state_release_timeout: u64,
    /// The part of its share that a worker that is warming up gets.
    #[serde(rename = "cold_share")]
    pub slow_start_share: f64,
    /// How long a worker warms up.
    #[serde(rename = "warm_after")]
    pub warm_up: u64,
    /// How many times slower than before a worker counts as overloaded.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// How long it takes to tell that a worker is overloaded.
    #[serde(rename = "fall_span")]
    pub overload_window: u64,
    /// Attempts a request at most.
    #[serde(rename = "most_shots")]
    pub max_attempts: u16,
    /// Whether attempts can be cancelled.
    #[serde(rename = "withdrawals")]
    pub cancellations: bool,
    /// Whether workers are health-checked.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Whether prefill workers are asked for their load before a prefill is sent.
    #[serde(rename = "asks")]
    pub load_reports: bool,
    /// How long a request may wait to be admitted.
    #[serde(rename = "longest_wait")]
    pub max_queue_time: u64,
    /// Whether rejections carry Retry-After.
    #[serde(rename = "advice")]
    pub retry_after: bool,
    /// The longest Retry-After.
    #[serde(rename = "longest_advice")]
    pub max_retry_after: u64,
    /// How long a worker that drains or is removed may still get something new.
    pub drain_grace: u64,
    /// The timeout of connections and health checks.
    #[serde(rename = "unheard")]
    pub connect_timeout: u64,
    /// The time that a response needs on its way to the client.
    #[serde(rename = "travel")]
    pub network_delay: u64,
    /// Tokens of a stream in flight before its client has taken them.
    #[serde(rename = "window")]
    pub stream_window_tokens: u32,
    /// Open requests at most.
    #[serde(rename = "most_open")]
    pub max_open_requests: usize,
    /// Open requests of one client at most.
    #[serde(rename = "most_a_client")]
    pub max_requests_per_client: usize,
    /// Clients at most.
    #[serde(rename = "most_clients")]
    pub max_clients: usize,
}
