//! Client load.

use super::router::RequestClass;
use serde::{Deserialize, Serialize};

/// Clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Load {
    /// Addresses of the routers.
    pub routers: Vec<String>,
    /// Seed of the traffic.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// How long requests come.
    #[serde(rename = "for")]
    pub duration: u64,
    /// Client connections.
    pub clients: usize,
    /// Request classes.
    #[serde(rename = "tracks")]
    pub classes: Vec<RequestClass>,
    /// What requests are like.
    pub traffic: Vec<Traffic>,
    /// Retries by a client at most.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// Pause before a retry.
    #[serde(rename = "retry_wait")]
    pub retry_delay: u64,
    /// The part of requests whose client disconnects early.
    #[serde(rename = "leaves")]
    pub disconnect_share: f64,
    /// Clients that read slowly.
    #[serde(rename = "sluggish")]
    pub slow_readers: usize,
    /// Bursts.
    pub bursts: Vec<LoadBurst>,
    /// Skewed load.
    #[serde(rename = "uneven")]
    pub skew: Option<SkewedLoad>,
    /// Keys that the clients use in turn.
    pub keys: Vec<TenantKey>,
    /// Bytes of KV state a token, as the workers have it.
    #[serde(rename = "state_bytes_a_token")]
    pub state_bytes_per_token: u32,
}

/// A burst of load.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadBurst {
    /// When it begins.
    pub at: u64,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub duration: u64,
    /// How many times the usual rate.
    #[serde(rename = "times")]
    pub factor: f64,
    /// Of which tenant only.
    pub tenant: Option<String>,
}

/// What requests of one sort are like.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Traffic {
    /// Their request class.
    #[serde(rename = "track")]
    pub class: String,
    /// Their tenant.
    pub tenant: Option<String>,
    /// Their part of the load, relative to the others.
    #[serde(rename = "part")]
    pub weight: f64,
    /// Turns of a session on average.
    #[serde(rename = "turns")]
    pub mean_turns: f64,
    /// Prompt tokens that a turn adds.
    #[serde(rename = "adds")]
    pub turn_tokens: TokenRange,
    /// Tokens of a response at most.
    #[serde(rename = "answer")]
    pub response_tokens: TokenRange,
    /// The part of sessions that begin with a shared prefix.
    #[serde(rename = "shared")]
    pub shared_prefix_share: f64,
    /// Shared prefixes.
    #[serde(rename = "texts")]
    pub shared_prefixes: u32,
    /// Tokens of a shared prefix.
    #[serde(rename = "text_tokens")]
    pub shared_prefix_tokens: TokenRange,
    /// The part of the deadline for which a client waits, at least.
    #[serde(rename = "patience")]
    pub min_wait_share: f64,
}

/// A range of token counts.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct TokenRange {
    /// The least.
    #[serde(rename = "least")]
    pub min: u32,
    /// The most.
    #[serde(rename = "most")]
    pub max: u32,
}

/// Skewed load: a part of the routers gets more than the others.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct SkewedLoad {
    /// The part of the routers.
    #[serde(rename = "part")]
    pub router_share: f64,
    /// How many times as much each of them gets.
    #[serde(rename = "times")]
    pub factor: f64,
}

/// A tenant's key, as clients send it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TenantKey {
    /// The tenant.
    pub tenant: String,
    /// The key.
    pub key: String,
}
