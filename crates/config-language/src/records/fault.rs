//! Faults of a scenario.

use serde::{Deserialize, Serialize};

/// A scripted fault of a scenario. Which fields it has follows from `act`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ScenarioFault {
    /// When it begins.
    pub at: u64,
    /// What it is.
    #[serde(rename = "do")]
    pub act: String,
    /// The processes or tenants that it meets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub who: Vec<String>,
    /// How long after a kill the process starts again.
    pub back: Option<u64>,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: Option<u64>,
    /// How late updates of discovery are, of `list-late`.
    pub lag: Option<u64>,
    /// How many times slower, of `slow`; how many times the load, of `burst`.
    #[serde(default = "once", skip_serializing_if = "is_once")]
    pub times: f64,
    /// The tenant of a burst.
    pub tenant: Option<String>,
    /// Whether a killed router finds its cached endpoint list.
    pub keeps: Option<bool>,
    /// One side of a fault on the network.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub between: Vec<String>,
    /// The other side.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub and: Vec<String>,
    /// Which direction it meets: `both`, `there` or `back`.
    pub way: Option<String>,
    /// What a cut does: `silent` or `reset`.
    pub how: Option<String>,
    /// Added latency.
    pub delay: Option<u64>,
    /// Random part of the added latency.
    pub jitter: Option<u64>,
    /// The part of packets that is lost and sent again.
    pub loss: Option<f64>,
    /// How many times as fast a clock runs.
    pub rate: Option<f64>,
    /// How far ahead a process that starts meanwhile finds its clock.
    pub ahead: Option<u64>,
    /// How far back it finds it.
    pub behind: Option<u64>,
}

/// Random faults.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RandomFaults {
    /// How many.
    pub draw: usize,
    /// Their seed.
    pub seed: u64,
    /// When the first may begin.
    pub from: u64,
    /// When all have ended.
    pub until: Option<u64>,
    /// How long one lasts at most.
    pub longest: u64,
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
        ["kill", "halt", "clock"].contains(&self.act.as_str())
    }
}
