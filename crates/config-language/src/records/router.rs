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
    pub list: String,
    /// The address on which it serves metrics for Prometheus.
    pub metrics: Option<String>,
    /// The file in which it caches the endpoint list.
    pub keep: Option<String>,
    /// Seed of its random number generator.
    pub seed: Option<u64>,
    /// Threads that each run a router behind the same address.
    pub cores: u32,
    /// Request classes.
    pub tracks: Vec<RequestClass>,
    /// Worker kinds.
    pub kinds: Vec<WorkerKind>,
    /// Settings of the scheduler and limits of the process.
    pub terms: SchedulerSettings,
    /// Tenants; with none anybody may send requests.
    pub tenants: Vec<Tenant>,
    /// The administration API.
    pub admin: Option<AdminConfig>,
    /// The cluster membership; without it the router runs alone.
    pub fleet: Option<MembershipConfig>,
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
    pub submissions: Option<f64>,
    /// Burst of requests.
    pub submissions_once: f64,
    /// Prompt tokens a second; none for no limit.
    pub tokens: Option<f64>,
    /// Burst of prompt tokens.
    pub tokens_once: f64,
    /// Requests in flight; none for no limit.
    pub in_flight: Option<u32>,
    /// Requests that may wait to be admitted.
    pub waiting: u32,
}

/// A request class.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Its idempotency: `replayable`, `referenced` or `single-use`.
    pub repeat: String,
    /// Its deduplication scope: `all`, `zone` or `cell`.
    pub group: String,
    /// Its deduplication window.
    pub window: u64,
    /// Its latency objective: the time to the first token.
    pub contract: u64,
    /// What 1,000 prompt tokens add to the latency objective.
    pub per_thousand: u64,
    /// Its deadline.
    pub cut_off: u64,
    /// Its priority weight.
    pub earnings: f64,
    /// The part of the priority weight that a late response still counts.
    pub late: f64,
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
    pub places: bool,
    /// Whether decode workers can prefill.
    pub writers_read: bool,
    /// How long KV state may be held with no attempt in flight.
    pub release: u64,
    /// The part of its share that a worker that is warming up gets.
    pub cold_share: f64,
    /// How long a worker warms up.
    pub warm_after: u64,
    /// How many times slower than before a worker counts as overloaded.
    pub fall_multiple: f64,
    /// How long it takes to tell that a worker is overloaded.
    pub fall_span: u64,
    /// Attempts a request at most.
    pub most_shots: u16,
    /// Whether attempts can be cancelled.
    pub withdrawals: bool,
    /// Whether workers are health-checked.
    pub probes: bool,
    /// Whether prefill workers are asked for their load before a prefill is sent.
    pub asks: bool,
    /// How long a request may wait to be admitted.
    pub longest_wait: u64,
    /// Whether rejections carry Retry-After.
    pub advice: bool,
    /// The longest Retry-After.
    pub longest_advice: u64,
    /// How long a worker that drains or is removed may still get something new.
    pub drain_grace: u64,
    /// The timeout of connections and health checks.
    pub unheard: u64,
    /// The time that a response needs on its way to the client.
    pub travel: u64,
    /// Tokens of a stream in flight before its client has taken them.
    pub window: u32,
    /// Open requests at most.
    pub most_open: usize,
    /// Open requests of one client at most.
    pub most_a_client: usize,
    /// Clients at most.
    pub most_clients: usize,
}
