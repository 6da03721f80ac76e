//! Emulated discovery.

use serde::{Deserialize, Serialize};

/// Configuration of emulated discovery, which sends the endpoint list to routers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Discovery {
    /// The address on which it listens.
    pub listen: String,
    /// Delay of each update.
    pub lag: u64,
    /// Periods with another delay of updates.
    #[serde(rename = "late")]
    pub delays: Vec<DiscoveryDelay>,
}

/// A period in which discovery delays its updates by another time than usual.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DiscoveryDelay {
    /// Start of the period, from the start of the run.
    pub at: u64,
    /// Length of the period.
    #[serde(rename = "for")]
    pub duration: u64,
    /// Delay of updates within the period.
    pub lag: u64,
}
