//! Client load.

use super::router::RequestClass;
use serde::{Deserialize, Serialize};

/// Configuration of the client load.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Load {
    /// Addresses of the routers.
    pub routers: Vec<String>,
    /// Seed of the random number generator that plans the requests.
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// Period during which requests are sent.
    #[serde(rename = "for")]
    pub duration: u64,
    /// Number of clients, each with one connection.
    pub clients: usize,
    /// Request classes.
    #[serde(rename = "tracks")]
    pub classes: Vec<RequestClass>,
    /// Kinds of traffic that make up the load.
    pub traffic: Vec<Traffic>,
    /// Maximum number of retries of a request by its client.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// Minimum pause before a retry.
    #[serde(rename = "retry_wait")]
    pub retry_delay: u64,
    /// Share of requests that the client leaves before the response has ended.
    #[serde(rename = "leaves")]
    pub disconnect_share: f64,
    /// Number of clients that read their responses slowly.
    #[serde(rename = "sluggish")]
    pub slow_readers: usize,
    /// Periods with a changed request rate.
    pub bursts: Vec<LoadBurst>,
    /// Skew of the load between routers; without it the load is even.
    #[serde(rename = "uneven")]
    pub skew: Option<SkewedLoad>,
    /// Keys of tenants, assigned to the clients in turn.
    pub keys: Vec<TenantKey>,
    /// Bytes of KV state per token; must equal the workers' value.
    #[serde(rename = "state_bytes_a_token")]
    pub state_bytes_per_token: u32,
}

/// A period with a changed request rate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadBurst {
    /// Start of the burst, from the start of the load.
    pub at: u64,
    /// Duration of the burst.
    #[serde(rename = "for")]
    pub duration: u64,
    /// Factor on the usual rate.
    #[serde(rename = "times")]
    pub factor: f64,
    /// The tenant whose load is changed; without it, the whole load.
    pub tenant: Option<String>,
}

/// One kind of traffic: the properties of its requests and sessions.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Traffic {
    /// Name of the request class.
    #[serde(rename = "track")]
    pub class: String,
    /// Name of the tenant; set exactly when tenants are configured.
    pub tenant: Option<String>,
    /// Weight of this traffic in the load, relative to the other kinds.
    #[serde(rename = "part")]
    pub weight: f64,
    /// Average number of turns in a session.
    #[serde(rename = "turns")]
    pub mean_turns: f64,
    /// Prompt tokens that a turn adds.
    #[serde(rename = "adds")]
    pub turn_tokens: TokenRange,
    /// Maximum number of tokens of a response.
    #[serde(rename = "answer")]
    pub response_tokens: TokenRange,
    /// Share of sessions that begin with a shared prefix.
    #[serde(rename = "shared")]
    pub shared_prefix_share: f64,
    /// Number of shared prefixes.
    #[serde(rename = "texts")]
    pub shared_prefixes: u32,
    /// Length of a shared prefix in tokens.
    #[serde(rename = "text_tokens")]
    pub shared_prefix_tokens: TokenRange,
    /// Smallest share of the deadline after which a client gives up; the share is random between this and 1.
    #[serde(rename = "patience")]
    pub min_wait_share: f64,
}

/// An inclusive range of token counts.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct TokenRange {
    /// Smallest count.
    #[serde(rename = "least")]
    pub min: u32,
    /// Largest count; the range includes it.
    #[serde(rename = "most")]
    pub max: u32,
}

/// Skewed load: a randomly chosen share of the routers gets more clients than the others.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct SkewedLoad {
    /// Share of the routers that get more.
    #[serde(rename = "part")]
    pub router_share: f64,
    /// Load of each of them relative to each other router.
    #[serde(rename = "times")]
    pub factor: f64,
}

/// A tenant's key in the form that clients send.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TenantKey {
    /// Name of the tenant.
    pub tenant: String,
    /// The key.
    pub key: String,
}
