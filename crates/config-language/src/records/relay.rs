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
    /// Network faults; listeners refer to them by index.
    pub faults: Vec<RelayFault>,
    /// Seed of its random number generator.
    pub seed: u64,
}

/// A listener of a relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RelayListener {
    /// The address on which it listens.
    pub listen: String,
    /// The address to which it forwards.
    pub to: String,
    /// Indices into `Relay::faults` of the faults that affect its traffic.
    pub faults: Vec<usize>,
}

/// A network fault in a relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RelayFault {
    /// Start of the fault, from the start of the scenario.
    pub at: u64,
    /// Duration of the fault.
    #[serde(rename = "for")]
    pub duration: u64,
    /// Affected direction, seen from the side that connects: `both`, `there` or `back`.
    #[serde(rename = "way")]
    pub direction: String,
    /// Effect: `silent` (drops all traffic), `reset` (resets connections) or `late` (adds latency).
    #[serde(rename = "how")]
    pub kind: String,
    /// Latency that `late` adds.
    pub delay: u64,
    /// Largest random addition to the latency.
    pub jitter: u64,
    /// Share of packets that `late` loses; they are sent again later.
    pub loss: f64,
}
