//! Statistics of a client load, and the progress of one that is running.

use std::sync::atomic::{AtomicU64, Ordering};

use hdrhistogram::Histogram;
use tideroute_config_language::records::RequestClass;
use tideroute_wire::Micros;

/// Longest latency, in microseconds, that the histograms can represent; longer ones are recorded as this value.
const MAX_LATENCY: u64 = 600_000_000;
/// Significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counters of a running load, which other threads may read.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests that the load will send in all.
    pub planned: AtomicU64,
    /// Requests sent so far.
    pub sent: AtomicU64,
    /// Responses completed so far.
    pub completed: AtomicU64,
    /// Attempts rejected so far.
    pub rejected: AtomicU64,
    /// Attempts failed so far.
    pub failed: AtomicU64,
}

impl Progress {
    /// Formats the counters as one line.
    pub fn line(&self) -> String {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        format!(
            "{} of {} sent, {} completed, {} rejected, {} failed",
            read(&self.sent),
            read(&self.planned),
            read(&self.completed),
            read(&self.rejected),
            read(&self.failed)
        )
    }
}

/// Statistics of the requests of a load: how they ended, their latencies and the priority weight they earned.
#[derive(Debug)]
pub struct LoadStatistics {
    /// Requests sent, each counted once whatever its number of attempts.
    pub requests: u64,
    /// Attempts sent, retries included.
    pub attempts: u64,
    /// Requests whose last attempt was completed.
    pub completed: u64,
    /// Requests whose last attempt was rejected.
    pub rejected: u64,
    /// Requests whose last attempt failed.
    pub failed: u64,
    /// Requests that their client cancelled.
    pub cancelled: u64,
    /// Requests that ended because no router could be reached or the connection to it was lost.
    pub disconnected: u64,
    /// Requests without a response by their deadline.
    pub unanswered: u64,
    /// Completed requests whose first token came after the latency objective.
    pub late: u64,
    /// Responses whose tokens were not those of the prompt: a corrupted KV state was used.
    pub wrong: u64,
    /// Priority weight of all requests.
    pub offered_weight: f64,
    /// Priority weight of the completed requests; that of a late one is multiplied by the late weight of its class.
    pub earned_weight: f64,
    /// Priority weight of the requests completed within their latency objective.
    pub in_time_weight: f64,
    /// Microseconds from the planned sending of a request to its first token.
    pub first_token: Histogram<u64>,
    /// Microseconds between two tokens of a response.
    pub gaps: Histogram<u64>,
    /// Name of each request class, with the priority weight of all its requests and of those completed within the
    /// latency objective.
    pub by_class: Vec<(String, f64, f64)>,
    /// The same two weights by the second of the load in which the requests were planned to be sent.
    pub by_second: Vec<(f64, f64)>,
    /// Name of each tenant, with the same two weights.
    pub by_tenant: Vec<(String, f64, f64)>,
    /// Connections that a router did not authorize.
    pub unauthorized: u64,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants, which the library accepts.
    Histogram::new_with_max(MAX_LATENCY, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

impl LoadStatistics {
    /// Creates empty statistics for these request classes and tenants.
    pub fn new(classes: &[RequestClass], tenants: impl IntoIterator<Item = String>) -> LoadStatistics {
        LoadStatistics {
            requests: 0,
            attempts: 0,
            completed: 0,
            rejected: 0,
            failed: 0,
            cancelled: 0,
            disconnected: 0,
            unanswered: 0,
            late: 0,
            wrong: 0,
            offered_weight: 0.0,
            earned_weight: 0.0,
            in_time_weight: 0.0,
            first_token: histogram(),
            gaps: histogram(),
            by_class: classes.iter().map(|class| (class.name.clone(), 0.0, 0.0)).collect(),
            by_second: vec![],
            by_tenant: tenants.into_iter().map(|name| (name, 0.0, 0.0)).collect(),
            unauthorized: 0,
        }
    }

    /// Counts a request that is sent; `second` is the second of the load for which it was planned.
    pub fn record_request(&mut self, class: u8, tenant: Option<usize>, priority_weight: f64, second: usize) {
        self.requests += 1;
        self.offered_weight += priority_weight;
        self.by_class[usize::from(class)].1 += priority_weight;
        tenant.into_iter().for_each(|tenant| self.by_tenant[tenant].1 += priority_weight);
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, (0.0, 0.0));
        }
        self.by_second[second].0 += priority_weight;
    }

    /// Counts a complete response. `late_weight` is the fraction of the priority weight that a late response earns;
    /// `None` if the response met the latency objective.
    pub fn record_response(
        &mut self,
        class: u8,
        tenant: Option<usize>,
        priority_weight: f64,
        late_weight: Option<f64>,
        second: usize,
    ) {
        self.completed += 1;
        if let Some(late_weight) = late_weight {
            self.late += 1;
            self.earned_weight += priority_weight * late_weight;
            return;
        }
        self.earned_weight += priority_weight;
        self.in_time_weight += priority_weight;
        self.by_class[usize::from(class)].2 += priority_weight;
        tenant.into_iter().for_each(|tenant| self.by_tenant[tenant].2 += priority_weight);
        if let Some(weights) = self.by_second.get_mut(second) {
            weights.1 += priority_weight;
        }
    }

    /// Returns the fraction of the offered priority weight that was completed within the latency objective.
    pub fn service(&self) -> f64 {
        self.in_time_weight / self.offered_weight.max(1e-9)
    }

    /// Returns the fraction of requests that were completed, leaving out those that their clients cancelled.
    pub fn completed_fraction(&self) -> f64 {
        self.completed as f64 / (self.requests - self.cancelled).max(1) as f64
    }

    /// Records the time to a first token.
    pub fn record_first_token(&mut self, elapsed: Micros) {
        self.first_token.saturating_record(elapsed);
    }

    /// Formats the statistics as a table.
    pub fn table(&self) -> String {
        let milliseconds =
            |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        let percent = |count: u64| 100.0 * count as f64 / self.requests.max(1) as f64;
        let mut lines = vec![format!("{} requests, {} attempts", self.requests, self.attempts)];
        let rows = [
            ("completed", self.completed),
            ("  of them late", self.late),
            ("rejected", self.rejected),
            ("failed", self.failed),
            ("cancelled by their client", self.cancelled),
            ("connection failed or lost", self.disconnected),
            ("unanswered", self.unanswered),
            ("wrong tokens", self.wrong),
            ("clients not authorized", self.unauthorized),
        ];
        lines.extend(
            rows.iter().map(|(name, count)| format!("  {name:<26}{count:>8}  {:>6.2}%", percent(*count))),
        );
        for (name, histogram) in [("first token", &self.first_token), ("between tokens", &self.gaps)] {
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| milliseconds(histogram, quantile));
            lines.push(format!("  {name:<26}p50 {p50:.2} ms  p99 {p99:.2} ms  p99.9 {p999:.2} ms"));
        }
        let weights = format!(
            "{:.0} of {:.0} offered, {:.0} within the latency objective",
            self.earned_weight, self.offered_weight, self.in_time_weight
        );
        lines.push(format!("  {:<26}{weights} ({:.1}%)", "priority weight earned", 100.0 * self.service()));
        let weights_by_name = self.by_class.iter().chain(&self.by_tenant);
        for (name, offered_weight, in_time_weight) in
            weights_by_name.filter(|(_, offered_weight, _)| *offered_weight > 0.0)
        {
            lines.push(format!(
                "    {name:<24}{:>6.1}% within the latency objective",
                100.0 * in_time_weight / offered_weight
            ));
        }
        lines.join("\n")
    }

    /// Returns the statistics as JSON.
    pub fn json(&self) -> serde_json::Value {
        let quantiles = |histogram: &Histogram<u64>| {
            serde_json::json!({
                "count": histogram.len(),
                "p50_us": histogram.value_at_quantile(0.5),
                "p99_us": histogram.value_at_quantile(0.99),
                "p999_us": histogram.value_at_quantile(0.999),
            })
        };
        serde_json::json!({
            "submissions": self.requests, "tries": self.attempts, "honoured": self.completed,
            "late": self.late, "turned_back": self.rejected, "abandoned": self.failed,
            "left": self.cancelled, "unheard": self.disconnected, "unanswered": self.unanswered,
            "wrong": self.wrong, "asked": self.offered_weight, "earned": self.earned_weight, "in_time": self.in_time_weight,
            "service": self.service(), "honoured_part": self.completed_fraction(),
            "first_token": quantiles(&self.first_token), "gaps": quantiles(&self.gaps), "by_second": self.by_second,
            "by_tenant": self.by_tenant, "denied": self.unauthorized,
        })
    }
}
