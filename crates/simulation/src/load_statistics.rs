//! The results of a client load.

use std::sync::atomic::{AtomicU64, Ordering};

use hdrhistogram::Histogram;
use tideroute_config_language::records::RequestClass;
use tideroute_wire::Micros;

/// Microseconds: the longest time that the histograms tell apart.
const MAX_LATENCY: u64 = 600_000_000;
/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counters of a running load that other threads read.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests planned.
    pub planned: AtomicU64,
    /// Requests sent.
    pub sent: AtomicU64,
    /// Responses completed.
    pub completed: AtomicU64,
    /// Attempts rejected.
    pub rejected: AtomicU64,
    /// Attempts failed.
    pub failed: AtomicU64,
}

impl Progress {
    /// The counters as one line.
    pub fn line(&self) -> String {
        let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
        format!(
            "{} of {} made, {} honoured, {} turned back, {} abandoned",
            read(&self.sent),
            read(&self.planned),
            read(&self.completed),
            read(&self.rejected),
            read(&self.failed)
        )
    }
}

/// What came of the requests of a load.
#[derive(Debug)]
pub struct LoadStatistics {
    /// Requests sent, and attempts for them.
    pub requests: u64,
    /// Attempts.
    pub attempts: u64,
    /// How each request ended: by its last attempt.
    pub completed: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their client.
    pub cancelled: u64,
    /// No router could be reached, or the connection was lost.
    pub disconnected: u64,
    /// No response came before the deadline.
    pub unanswered: u64,
    /// First tokens after the latency objective.
    pub late: u64,
    /// Responses whose tokens were not those of the prompt: a corrupted KV state was used.
    pub wrong: u64,
    /// Priority weights: of all requests, of completed ones (late ones in part), and of those in time.
    pub offered_weight: f64,
    /// Weights earned.
    pub earned_weight: f64,
    /// Weights earned in time.
    pub in_time_weight: f64,
    /// Microseconds from the first attempt to the first token, and between tokens.
    pub first_token: Histogram<u64>,
    /// Microseconds between tokens.
    pub gaps: Histogram<u64>,
    /// Weights of all requests and of those in time, by request class, by second of sending and by tenant.
    pub by_class: Vec<(String, f64, f64)>,
    /// By second of sending.
    pub by_second: Vec<(f64, f64)>,
    /// By tenant.
    pub by_tenant: Vec<(String, f64, f64)>,
    /// Connections that a router did not authorize.
    pub unauthorized: u64,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library takes.
    Histogram::new_with_max(MAX_LATENCY, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

impl LoadStatistics {
    /// Empty statistics for these request classes and tenants.
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
            by_class: classes.iter().map(|t| (t.name.clone(), 0.0, 0.0)).collect(),
            by_second: vec![],
            by_tenant: tenants.into_iter().map(|name| (name, 0.0, 0.0)).collect(),
            unauthorized: 0,
        }
    }

    /// Counts a request that is sent at a second of the load.
    pub fn record_request(&mut self, class: u8, tenant: Option<usize>, priority_weight: f64, second: usize) {
        self.requests += 1;
        self.offered_weight += priority_weight;
        self.by_class[usize::from(class)].1 += priority_weight;
        tenant.into_iter().for_each(|t| self.by_tenant[t].1 += priority_weight);
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, (0.0, 0.0));
        }
        self.by_second[second].0 += priority_weight;
    }

    /// Counts a complete response: its weight, or the part of it that a late one is worth.
    pub fn record_response(
        &mut self,
        class: u8,
        tenant: Option<usize>,
        priority_weight: f64,
        late: Option<f64>,
        second: usize,
    ) {
        self.completed += 1;
        if let Some(part) = late {
            self.late += 1;
            self.earned_weight += priority_weight * part;
            return;
        }
        self.earned_weight += priority_weight;
        self.in_time_weight += priority_weight;
        self.by_class[usize::from(class)].2 += priority_weight;
        tenant.into_iter().for_each(|t| self.by_tenant[t].2 += priority_weight);
        if let Some(slot) = self.by_second.get_mut(second) {
            slot.1 += priority_weight;
        }
    }

    /// The fraction of all weights that was served within the latency objective.
    pub fn service(&self) -> f64 {
        self.in_time_weight / self.offered_weight.max(1e-9)
    }

    /// The fraction of requests, those left by their clients aside, that were completed.
    pub fn completed_fraction(&self) -> f64 {
        self.completed as f64 / (self.requests - self.cancelled).max(1) as f64
    }

    /// Records the time to a first token.
    pub fn record_first_token(&mut self, took: Micros) {
        self.first_token.saturating_record(took);
    }

    /// The results as a table.
    pub fn table(&self) -> String {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        let part = |n: u64| 100.0 * n as f64 / self.requests.max(1) as f64;
        let mut lines = vec![format!("{} submissions, {} tries", self.requests, self.attempts)];
        let rows = [
            ("honoured", self.completed),
            ("  of them late", self.late),
            ("turned back", self.rejected),
            ("abandoned", self.failed),
            ("left by their client", self.cancelled),
            ("router not there", self.disconnected),
            ("unanswered", self.unanswered),
            ("wrong tokens", self.wrong),
            ("clients denied", self.unauthorized),
        ];
        lines.extend(rows.iter().map(|(name, n)| format!("  {name:<22}{n:>8}  {:>6.2}%", part(*n))));
        for (name, h) in [("first token", &self.first_token), ("between tokens", &self.gaps)] {
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| ms(h, q));
            lines.push(format!("  {name:<22}p50 {p50:.2} ms  p99 {p99:.2} ms  p99.9 {p999:.2} ms"));
        }
        let earned_weight = format!(
            "{:.0} of {:.0} asked for, {:.0} in contract time",
            self.earned_weight, self.offered_weight, self.in_time_weight
        );
        lines.push(format!("  {:<22}{earned_weight} ({:.1}%)", "earnings", 100.0 * self.service()));
        let parts = self.by_class.iter().chain(&self.by_tenant);
        for (name, offered_weight, in_time_weight) in
            parts.filter(|(_, offered_weight, _)| *offered_weight > 0.0)
        {
            lines.push(format!(
                "    {name:<20}{:>6.1}% in contract time",
                100.0 * in_time_weight / offered_weight
            ));
        }
        lines.join("\n")
    }

    /// The results as JSON.
    pub fn json(&self) -> serde_json::Value {
        let h = |h: &Histogram<u64>| {
            serde_json::json!({
                "count": h.len(),
                "p50_us": h.value_at_quantile(0.5),
                "p99_us": h.value_at_quantile(0.99),
                "p999_us": h.value_at_quantile(0.999),
            })
        };
        serde_json::json!({
            "submissions": self.requests, "tries": self.attempts, "honoured": self.completed,
            "late": self.late, "turned_back": self.rejected, "abandoned": self.failed,
            "left": self.cancelled, "unheard": self.disconnected, "unanswered": self.unanswered,
            "wrong": self.wrong, "asked": self.offered_weight, "earned": self.earned_weight, "in_time": self.in_time_weight,
            "service": self.service(), "honoured_part": self.completed_fraction(),
            "first_token": h(&self.first_token), "gaps": h(&self.gaps), "by_second": self.by_second,
            "by_tenant": self.by_tenant, "denied": self.unauthorized,
        })
    }
}
