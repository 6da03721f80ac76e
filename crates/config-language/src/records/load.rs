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
    pub lasts: u64,
    /// Client connections.
    pub clients: usize,
    /// Request classes.
    pub tracks: Vec<RequestClass>,
    /// What requests are like.
    pub traffic: Vec<Traffic>,
    /// Retries by a client at most.
    pub retries: u32,
    /// Pause before a retry.
    pub retry_wait: u64,
    /// The part of requests whose client disconnects early.
    pub leaves: f64,
    /// Clients that read slowly.
    pub sluggish: usize,
    /// Bursts.
    pub bursts: Vec<LoadBurst>,
    /// Skewed load.
    pub uneven: Option<SkewedLoad>,
    /// Keys that the clients use in turn.
    pub keys: Vec<TenantKey>,
    /// Bytes of KV state a token, as the workers have it.
    pub state_bytes_a_token: u32,
}

/// A burst of load.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadBurst {
    /// When it begins.
    pub at: u64,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: u64,
    /// How many times the usual rate.
    pub times: f64,
    /// Of which tenant only.
    pub tenant: Option<String>,
}

/// What requests of one sort are like.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Traffic {
    /// Their request class.
    pub track: String,
    /// Their tenant.
    pub tenant: Option<String>,
    /// Their part of the load, relative to the others.
    pub part: f64,
    /// Turns of a session on average.
    pub turns: f64,
    /// Prompt tokens that a turn adds.
    pub adds: TokenRange,
    /// Tokens of a response at most.
    pub answer: TokenRange,
    /// The part of sessions that begin with a shared prefix.
    pub shared: f64,
    /// Shared prefixes.
    pub texts: u32,
    /// Tokens of a shared prefix.
    pub text_tokens: TokenRange,
    /// The part of the deadline for which a client waits, at least.
    pub patience: f64,
}

/// A range of token counts.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct TokenRange {
    /// The least.
    pub least: u32,
    /// The most.
    pub most: u32,
}

/// Skewed load: a part of the routers gets more than the others.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct SkewedLoad {
    /// The part of the routers.
    pub part: f64,
    /// How many times as much each of them gets.
    pub times: f64,
}

/// A tenant's key, as clients send it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TenantKey {
    /// The tenant.
    pub tenant: String,
    /// The key.
    pub key: String,
}
