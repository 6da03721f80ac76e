//! Emulated discovery.

use serde::{Deserialize, Serialize};

/// Discovery.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Discovery {
    /// Its address.
    pub listen: String,
    /// How late its updates are.
    pub lag: u64,
    /// Periods in which they are later.
    #[serde(rename = "late")]
    pub delays: Vec<DiscoveryDelay>,
}

/// A period in which updates of discovery are late.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DiscoveryDelay {
    /// When it begins.
    pub at: u64,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub duration: u64,
    /// How late updates are.
    pub lag: u64,
}
