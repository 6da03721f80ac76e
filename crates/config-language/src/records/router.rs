//! The configuration of one router process.

use serde::{Deserialize, Serialize};

/// Configuration of one router process.
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
    /// Number of threads; each runs a router of its own behind the same address.
    pub cores: u32,
    /// Request classes.
    #[serde(rename = "tracks")]
    pub classes: Vec<RequestClass>,
    /// Worker kinds.
    pub kinds: Vec<WorkerKind>,
    /// Settings of the scheduler and limits of the process.
    #[serde(rename = "terms")]
    pub settings: SchedulerSettings,
    /// Tenants; if there are none, clients need no key.
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
    /// Addresses of some members, through which the router joins; may include its own.
    pub seeds: Vec<String>,
    /// The key of message authentication, as 64 hexadecimal digits.
    pub key: String,
}

/// The administration API.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdminConfig {
    /// The address on which it listens.
    pub listen: String,
    /// The file of its tenant store.
    pub store: String,
    /// Keys that permit the use of the API.
    pub keys: Vec<AdminKey>,
}

/// A key of the administration API.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdminKey {
    /// Its name.
    pub name: String,
    /// The BLAKE3 hash of the key, as 64 hexadecimal digits.
    pub key: String,
    /// What the key permits: `view` (reading), `operate` (also changes to tenants) or `own` (also snapshots).
    pub role: String,
}

/// A tenant. The limits apply to all routers together; each router enforces its share.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// The BLAKE3 hash of its key, as 64 hexadecimal digits.
    pub key: String,
    /// Its weight in fair queueing.
    pub weight: f64,
    /// Request rate limit; without it, unlimited.
    #[serde(rename = "submissions")]
    pub requests_per_second: Option<f64>,
    /// Number of requests that may arrive at once within the rate limit.
    #[serde(rename = "submissions_once")]
    pub request_burst: f64,
    /// Rate limit of prompt tokens; without it, unlimited.
    #[serde(rename = "tokens")]
    pub tokens_per_second: Option<f64>,
    /// Number of prompt tokens that may arrive at once within the rate limit.
    #[serde(rename = "tokens_once")]
    pub token_burst: f64,
    /// Maximum number of requests in flight; without it, unlimited.
    #[serde(rename = "in_flight")]
    pub max_in_flight: Option<u32>,
    /// Maximum number of requests that wait for admission.
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
    /// Share of the priority weight that a response after its latency objective still counts.
    #[serde(rename = "late")]
    pub late_weight: f64,
}

/// The role of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefill only.
    Reader,
    /// Decode only.
    Writer,
    /// Prefill and decode.
    Mixed,
}

/// A worker kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerKind {
    /// Its name.
    pub name: String,
    /// The role of its workers.
    pub role: Role,
}

/// Settings of the scheduler, and limits of the process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SchedulerSettings {
    /// Number of routers that share the load.
    pub routers: u32,
    /// Whether a decode slot is reserved before the prefill starts.
    #[serde(rename = "places")]
    pub reservations: bool,
    /// Whether decode workers can prefill.
    #[serde(rename = "writers_read")]
    pub decode_workers_prefill: bool,
    /// Longest time for which a worker may hold KV state while no attempt for it is in flight.
    #[serde(rename = "release")]
    pub state_release_timeout: u64,
    /// Share of its full capacity that a worker has when it starts.
    #[serde(rename = "cold_share")]
    pub slow_start_share: f64,
    /// Time from a worker's start until it has its full capacity.
    #[serde(rename = "warm_after")]
    pub warm_up: u64,
    /// A warming worker is overloaded when it gets more than this multiple of the work that it can do in the overload
    /// window.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length of the time window in which the load of a warming worker is counted.
    #[serde(rename = "fall_span")]
    pub overload_window: u64,
    /// Maximum number of attempts per request.
    #[serde(rename = "most_shots")]
    pub max_attempts: u16,
    /// Whether attempts can be cancelled.
    #[serde(rename = "withdrawals")]
    pub cancellations: bool,
    /// Whether workers are health-checked.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Whether routers request a load report from prefill workers before they dispatch a prefill.
    #[serde(rename = "asks")]
    pub load_reports: bool,
    /// Longest time for which a tenant's request waits for admission.
    #[serde(rename = "longest_wait")]
    pub max_queue_time: u64,
    /// Whether rejections carry Retry-After.
    #[serde(rename = "advice")]
    pub retry_after: bool,
    /// The longest Retry-After.
    #[serde(rename = "longest_advice")]
    pub max_retry_after: u64,
    /// Time after a worker drains or is removed in which it may still get new requests.
    pub drain_grace: u64,
    /// Timeout of connection attempts and health checks.
    #[serde(rename = "unheard")]
    pub connect_timeout: u64,
    /// The time that a response needs on its way to the client.
    #[serde(rename = "travel")]
    pub network_delay: u64,
    /// Tokens of a stream that may be in flight before the client acknowledges them.
    #[serde(rename = "window")]
    pub stream_window_tokens: u32,
    /// Maximum number of open requests.
    #[serde(rename = "most_open")]
    pub max_open_requests: usize,
    /// Maximum number of open requests per client.
    #[serde(rename = "most_a_client")]
    pub max_requests_per_client: usize,
    /// Maximum number of client connections.
    #[serde(rename = "most_clients")]
    pub max_clients: usize,
}
