//! Faults of a scenario.

use serde::{Deserialize, Serialize};

/// A scripted fault of a scenario. Which fields it has follows from `act`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ScenarioFault {
    /// When it begins.
    pub at: u64,
    /// What it is.
    #[serde(rename = "do")]
    pub kind: String,
    /// The processes or tenants that it meets.
    #[serde(rename = "who", default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<String>,
    /// How long after a kill the process starts again.
    #[serde(rename = "back")]
    pub restart_after: Option<u64>,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub duration: Option<u64>,
    /// How late updates of discovery are, of `list-late`.
    pub lag: Option<u64>,
    /// How many times slower, of `slow`; how many times the load, of `burst`.
    #[serde(rename = "times", default = "once", skip_serializing_if = "is_once")]
    pub factor: f64,
    /// The tenant of a burst.
    pub tenant: Option<String>,
    /// Whether a killed router finds its cached endpoint list.
    #[serde(rename = "keeps")]
    pub keeps_endpoint_cache: Option<bool>,
    /// One side of a fault on the network.
    #[serde(rename = "between", default, skip_serializing_if = "Vec::is_empty")]
    pub side: Vec<String>,
    /// The other side.
    #[serde(rename = "and", default, skip_serializing_if = "Vec::is_empty")]
    pub other_side: Vec<String>,
    /// Which direction it meets: `both`, `there` or `back`.
    #[serde(rename = "way")]
    pub direction: Option<String>,
    /// What a cut does: `silent` or `reset`.
    #[serde(rename = "how")]
    pub cut_kind: Option<String>,
    /// Added latency.
    pub delay: Option<u64>,
    /// Random part of the added latency.
    pub jitter: Option<u64>,
    /// The part of packets that is lost and sent again.
    pub loss: Option<f64>,
    /// How many times as fast a clock runs.
    #[serde(rename = "rate")]
    pub clock_rate: Option<f64>,
    /// How far ahead a process that starts meanwhile finds its clock.
    #[serde(rename = "ahead")]
    pub clock_ahead: Option<u64>,
    /// How far back it finds it.
    #[serde(rename = "behind")]
    pub clock_behind: Option<u64>,
}

/// Random faults.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RandomFaults {
    /// How many.
    #[serde(rename = "draw")]
    pub count: usize,
    /// Their seed.
    pub seed: u64,
    /// When the first may begin.
    pub from: u64,
    /// When all have ended.
    pub until: Option<u64>,
    /// How long one lasts at most.
    #[serde(rename = "longest")]
    pub max_duration: u64,
}

/// The default of `times`, which is not printed.
fn once() -> f64 {
    1.0
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde calls it so")]
fn is_once(times: &f64) -> bool {
    *times == once()
}

impl ScenarioFault {
    /// Whether it is done to processes from outside: routers can be met too, and several of a group at once.
    pub fn from_outside(&self) -> bool {
        ["kill", "halt", "clock"].contains(&self.kind.as_str())
    }
}
