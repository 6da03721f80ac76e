//! The results of the measurement. Scripts read the keys of their JSON, so these must not change.

use serde::Serialize;

/// How evenly the load in a capture was balanced.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadBalanceReport {
    /// The prefill workers.
    #[serde(rename = "readers")]
    pub prefill: RoleBalance,
    /// The decode workers.
    #[serde(rename = "writers")]
    pub decode: RoleBalance,
    /// The fraction of the prefilled tokens of shared prefixes that was found cached.
    #[serde(rename = "kept")]
    pub cached_share: f64,
    /// Latencies by request class.
    #[serde(rename = "tracks")]
    pub classes: Vec<ClassLatency>,
}

/// How evenly the load was balanced over the workers of one role.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RoleBalance {
    /// Number of workers.
    pub workers: usize,
    /// Number of attempts that arrived at the workers.
    pub arrivals: u64,
    /// Ratio of the work at the fullest worker to the mean, both relative to capacity: median over the seconds.
    #[serde(rename = "ratio_p50")]
    pub peak_to_mean_p50: f64,
    /// The same ratio, 99th percentile over the seconds.
    #[serde(rename = "ratio_p99")]
    pub peak_to_mean_p99: f64,
    /// The same ratio, worst second.
    #[serde(rename = "ratio_worst")]
    pub peak_to_mean_max: f64,
    /// The fraction of worker time that was spent idle while another worker of the role had work queued.
    #[serde(rename = "idle_beside")]
    pub idle_while_queued: f64,
    /// Index of dispersion of the arrivals in windows of 100 ms: 1 for independent choices, more for herds.
    #[serde(rename = "dispersion")]
    pub dispersion_index: f64,
    /// Number of windows in which the fullest worker got so many arrivals that independent choices would bring them in
    /// fewer than one of a thousand windows.
    #[serde(rename = "herds")]
    pub herd_windows: u64,
    /// Number of windows with arrivals.
    pub windows: u64,
    /// The highest number of windows that would count as herds with independent choices.
    #[serde(rename = "herds_by_chance")]
    pub expected_herd_windows: f64,
    /// The window with the most arrivals at one worker.
    pub worst_window: WindowPeak,
    /// Ratio of the work at the fullest worker to the mean for each second, both relative to capacity. Seconds with
    /// little work are left out.
    #[serde(rename = "ratios")]
    pub peak_to_mean: Vec<f64>,
}

/// The arrivals at the fullest worker of a window. In JSON, it is an array of both numbers.
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
    /// Name of the class.
    pub name: String,
    /// Number of requests that clients sent.
    #[serde(rename = "submitted")]
    pub requests: u64,
    /// The fraction of the requests that met the latency objective.
    #[serde(rename = "service")]
    pub objective_met: f64,
    /// Median time to first token, milliseconds.
    #[serde(rename = "first_token_p50_ms")]
    pub ttft_p50_ms: f64,
    /// 99th percentile of the time to first token, milliseconds.
    #[serde(rename = "first_token_p99_ms")]
    pub ttft_p99_ms: f64,
}
