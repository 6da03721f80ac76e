//! What was measured. The keys of its JSON are read by scripts and stay as they are.

use serde::Serialize;

/// How evenly the load of a capture was balanced.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadBalanceReport {
    /// The prefill workers.
    #[serde(rename = "readers")]
    pub prefill: RoleBalance,
    /// The decode workers.
    #[serde(rename = "writers")]
    pub decode: RoleBalance,
    /// Of the tokens of shared prefixes that were prefilled, the part that was found cached.
    #[serde(rename = "kept")]
    pub cached_share: f64,
    /// By request class.
    #[serde(rename = "tracks")]
    pub classes: Vec<ClassLatency>,
}

/// How evenly the load was balanced over the workers of one role.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RoleBalance {
    /// Workers.
    pub workers: usize,
    /// Attempts that arrived at them.
    pub arrivals: u64,
    /// The fullest worker over the mean, median of the seconds.
    #[serde(rename = "ratio_p50")]
    pub peak_to_mean_p50: f64,
    /// The same, 99th percentile.
    #[serde(rename = "ratio_p99")]
    pub peak_to_mean_p99: f64,
    /// The same, worst second.
    #[serde(rename = "ratio_worst")]
    pub peak_to_mean_max: f64,
    /// The part of worker time that was spent idle while another worker of the role had work queued.
    #[serde(rename = "idle_beside")]
    pub idle_while_queued: f64,
    /// Index of dispersion of arrivals in windows of 100 ms: 1 for independent choice.
    #[serde(rename = "dispersion")]
    pub dispersion_index: f64,
    /// Windows in which the fullest worker got what independent choice brings once in a thousand.
    #[serde(rename = "herds")]
    pub herd_windows: u64,
    /// All windows with arrivals.
    pub windows: u64,
    /// Windows that independent choice would show as herds, at most.
    #[serde(rename = "herds_by_chance")]
    pub expected_herd_windows: f64,
    /// The most arrivals at one worker in one window.
    pub worst_window: WindowPeak,
    /// The fullest worker over the mean, second by second.
    #[serde(rename = "ratios")]
    pub peak_to_mean: Vec<f64>,
}

/// The fullest worker of a window. In JSON: an array of both numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u32, u32)")]
pub struct WindowPeak {
    /// Arrivals at the worker.
    pub at_worker: u32,
    /// Arrivals at all workers of the role in the same window.
    pub in_window: u32,
}

impl From<WindowPeak> for (u32, u32) {
    fn from(peak: WindowPeak) -> (u32, u32) {
        (peak.at_worker, peak.in_window)
    }
}

/// The time to first token of one request class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassLatency {
    /// The class.
    pub name: String,
    /// Requests that clients sent.
    #[serde(rename = "submitted")]
    pub requests: u64,
    /// The part of them that met the latency objective.
    #[serde(rename = "service")]
    pub objective_met: f64,
    /// Median time to first token, milliseconds.
    #[serde(rename = "first_token_p50_ms")]
    pub ttft_p50_ms: f64,
    /// 99th percentile of the time to first token, milliseconds.
    #[serde(rename = "first_token_p99_ms")]
    pub ttft_p99_ms: f64,
}
