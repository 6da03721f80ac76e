//! Relays between the processes of a scenario.

use serde::{Deserialize, Serialize};

/// A relay between the processes of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Relay {
    /// Listeners for connections.
    #[serde(rename = "doors")]
    pub listeners: Vec<RelayListener>,
    /// Listeners for datagrams.
    pub datagrams: Vec<RelayListener>,
    /// Faults on the way.
    pub faults: Vec<RelayFault>,
    /// Seed of its random number generator.
    pub seed: u64,
}

/// A listener of a relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RelayListener {
    /// Its address.
    pub listen: String,
    /// The address to which it forwards.
    pub to: String,
    /// Indexes of the faults that meet what it forwards.
    pub faults: Vec<usize>,
}

/// A fault on the way through a relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RelayFault {
    /// When it begins.
    pub at: u64,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub duration: u64,
    /// Which direction it meets, seen from who connects: `both`, `there` or `back`.
    #[serde(rename = "way")]
    pub direction: String,
    /// What it does: `silent`, `reset` or `late`.
    #[serde(rename = "how")]
    pub kind: String,
    /// Added latency.
    pub delay: u64,
    /// Random part of the added latency.
    pub jitter: u64,
    /// The part of packets that is lost and sent again.
    pub loss: f64,
}
