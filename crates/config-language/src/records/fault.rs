//! Faults of a scenario.

use serde::{Deserialize, Serialize};

/// A scheduled fault of a scenario. `kind` determines which of the other fields are set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ScenarioFault {
    /// Start of the fault, from the start of the scenario.
    pub at: u64,
    /// The kind of fault, such as `kill`, `cut`, `slow` or `burst`.
    #[serde(rename = "do")]
    pub kind: String,
    /// The processes that the fault affects; for `remove`, the tenants that are removed.
    #[serde(rename = "who", default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<String>,
    /// Time from a `kill` to the restart of the process; without it the process is not restarted.
    #[serde(rename = "back")]
    pub restart_after: Option<u64>,
    /// Duration of the fault; a worker fault without one lasts to the end.
    #[serde(rename = "for")]
    pub duration: Option<u64>,
    /// Delay of discovery updates during `list-late`.
    pub lag: Option<u64>,
    /// For `slow`, the factor by which the worker's processing times grow; for `burst`, the factor on the load.
    #[serde(rename = "times", default = "default_factor", skip_serializing_if = "is_default_factor")]
    pub factor: f64,
    /// The tenant whose load a `burst` raises; without it, the load of all clients.
    pub tenant: Option<String>,
    /// Whether a killed router finds its cached endpoint list after the restart.
    #[serde(rename = "keeps")]
    pub keeps_endpoint_cache: Option<bool>,
    /// Processes on one side of a network fault (`cut` or `delay`).
    #[serde(rename = "between", default, skip_serializing_if = "Vec::is_empty")]
    pub side: Vec<String>,
    /// Processes on the other side of a network fault.
    #[serde(rename = "and", default, skip_serializing_if = "Vec::is_empty")]
    pub other_side: Vec<String>,
    /// Direction of traffic that a network fault affects: `both`, `there` (from `between` to `and`) or `back`.
    #[serde(rename = "way")]
    pub direction: Option<String>,
    /// Effect of a `cut`: `silent` (connections stay open, nothing passes) or `reset` (connections are reset).
    #[serde(rename = "how")]
    pub cut_kind: Option<String>,
    /// Latency that a `delay` adds.
    pub delay: Option<u64>,
    /// Largest random addition to the latency of a `delay`.
    pub jitter: Option<u64>,
    /// Share of packets that a `delay` loses; they are sent again later.
    pub loss: Option<f64>,
    /// Speed of a clock, relative to real time.
    #[serde(rename = "rate")]
    pub clock_rate: Option<f64>,
    /// Time by which the clock of a process that starts during the fault is ahead.
    #[serde(rename = "ahead")]
    pub clock_ahead: Option<u64>,
    /// Time by which the clock of a process that starts during the fault is behind.
    #[serde(rename = "behind")]
    pub clock_behind: Option<u64>,
}

/// Faults that are generated from a seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RandomFaults {
    /// Number of faults.
    #[serde(rename = "draw")]
    pub count: usize,
    /// Seed of the generator.
    pub seed: u64,
    /// Earliest start of a fault.
    pub from: u64,
    /// Time by which all faults have ended; without it, the end of the load.
    pub until: Option<u64>,
    /// Longest duration of a fault.
    #[serde(rename = "longest")]
    pub max_duration: u64,
}

/// Returns the default of `ScenarioFault::factor`, which is left out of printed files.
fn default_factor() -> f64 {
    1.0
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes the field by reference")]
fn is_default_factor(factor: &f64) -> bool {
    *factor == default_factor()
}

impl ScenarioFault {
    /// Returns whether the scenario player applies the fault to the process (`kill`, `halt`, `clock`) rather than the
    /// worker's own script. Such a fault can also target routers, and several processes of a group by one name.
    pub fn is_external(&self) -> bool {
        ["kill", "halt", "clock"].contains(&self.kind.as_str())
    }
}
