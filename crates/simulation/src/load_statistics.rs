//! The results of a client load.

use std::sync::atomic::{AtomicU64, Ordering};

use hdrhistogram::Histogram;
use tideroute_config_language::kinds::Track;
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
    pub made: AtomicU64,
    /// Responses completed.
    pub honoured: AtomicU64,
    /// Attempts rejected.
    pub turned_back: AtomicU64,
    /// Attempts failed.
    pub abandoned: AtomicU64,
}

impl Progress {
    /// The counters as one line.
    pub fn line(&self) -> String {
        let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
        format!(
            "{} of {} made, {} honoured, {} turned back, {} abandoned",
            read(&self.made),
            read(&self.planned),
            read(&self.honoured),
            read(&self.turned_back),
            read(&self.abandoned)
        )
    }
}

/// What came of the requests of a load.
#[derive(Debug)]
pub struct LoadStatistics {
    /// Requests sent, and attempts for them.
    pub submissions: u64,
    /// Attempts.
    pub tries: u64,
    /// How each request ended: by its last attempt.
    pub honoured: u64,
    /// Rejected.
    pub turned_back: u64,
    /// Failed.
    pub abandoned: u64,
    /// Left by their client.
    pub left: u64,
    /// No router could be reached, or the connection was lost.
    pub unheard: u64,
    /// No response came before the deadline.
    pub unanswered: u64,
    /// First tokens after the latency objective.
    pub late: u64,
    /// Responses whose tokens were not those of the prompt: a corrupted KV state was used.
    pub wrong: u64,
    /// Priority weights: of all requests, of completed ones (late ones in part), and of those in time.
    pub asked: f64,
    /// Weights earned.
    pub earned: f64,
    /// Weights earned in time.
    pub in_time: f64,
    /// Microseconds from the first attempt to the first token, and between tokens.
    pub first_token: Histogram<u64>,
    /// Microseconds between tokens.
    pub gaps: Histogram<u64>,
    /// Weights of all requests and of those in time, by request class, by second of sending and by tenant.
    pub by_track: Vec<(String, f64, f64)>,
    /// By second of sending.
    pub by_second: Vec<(f64, f64)>,
    /// By tenant.
    pub by_tenant: Vec<(String, f64, f64)>,
    /// Connections that a router did not authorize.
    pub denied: u64,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library takes.
    Histogram::new_with_max(MAX_LATENCY, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

impl LoadStatistics {
    /// Empty statistics for these request classes and tenants.
    pub fn new(tracks: &[Track], tenants: impl IntoIterator<Item = String>) -> LoadStatistics {
        LoadStatistics {
            submissions: 0,
            tries: 0,
            honoured: 0,
            turned_back: 0,
            abandoned: 0,
            left: 0,
            unheard: 0,
            unanswered: 0,
            late: 0,
            wrong: 0,
            asked: 0.0,
            earned: 0.0,
            in_time: 0.0,
            first_token: histogram(),
            gaps: histogram(),
            by_track: tracks.iter().map(|t| (t.name.clone(), 0.0, 0.0)).collect(),
            by_second: vec![],
            by_tenant: tenants.into_iter().map(|name| (name, 0.0, 0.0)).collect(),
            denied: 0,
        }
    }

    /// Counts a request that is sent at a second of the load.
    pub fn record_request(&mut self, track: u8, tenant: Option<usize>, earnings: f64, second: usize) {
        self.submissions += 1;
        self.asked += earnings;
        self.by_track[usize::from(track)].1 += earnings;
        tenant.into_iter().for_each(|t| self.by_tenant[t].1 += earnings);
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, (0.0, 0.0));
        }
        self.by_second[second].0 += earnings;
    }

    /// Counts a complete response: its weight, or the part of it that a late one is worth.
    pub fn record_response(
        &mut self,
        track: u8,
        tenant: Option<usize>,
        earnings: f64,
        late: Option<f64>,
        second: usize,
    ) {
        self.honoured += 1;
        if let Some(part) = late {
            self.late += 1;
            self.earned += earnings * part;
            return;
        }
        self.earned += earnings;
        self.in_time += earnings;
        self.by_track[usize::from(track)].2 += earnings;
        tenant.into_iter().for_each(|t| self.by_tenant[t].2 += earnings);
        if let Some(slot) = self.by_second.get_mut(second) {
            slot.1 += earnings;
        }
    }

    /// The fraction of all weights that was served within the latency objective.
    pub fn service(&self) -> f64 {
        self.in_time / self.asked.max(1e-9)
    }

    /// The fraction of requests, those left by their clients aside, that were completed.
    pub fn honoured_part(&self) -> f64 {
        self.honoured as f64 / (self.submissions - self.left).max(1) as f64
    }

    /// Records the time to a first token.
    pub fn record_first_token(&mut self, took: Micros) {
        self.first_token.saturating_record(took);
    }

    /// The results as a table.
    pub fn table(&self) -> String {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        let part = |n: u64| 100.0 * n as f64 / self.submissions.max(1) as f64;
        let mut lines = vec![format!("{} submissions, {} tries", self.submissions, self.tries)];
        let rows = [
            ("honoured", self.honoured),
            ("  of them late", self.late),
            ("turned back", self.turned_back),
            ("abandoned", self.abandoned),
            ("left by their client", self.left),
            ("router not there", self.unheard),
            ("unanswered", self.unanswered),
            ("wrong tokens", self.wrong),
            ("clients denied", self.denied),
        ];
        lines.extend(rows.iter().map(|(name, n)| format!("  {name:<22}{n:>8}  {:>6.2}%", part(*n))));
        for (name, h) in [("first token", &self.first_token), ("between tokens", &self.gaps)] {
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| ms(h, q));
            lines.push(format!("  {name:<22}p50 {p50:.2} ms  p99 {p99:.2} ms  p99.9 {p999:.2} ms"));
        }
        let earned = format!(
            "{:.0} of {:.0} asked for, {:.0} in contract time",
            self.earned, self.asked, self.in_time
        );
        lines.push(format!("  {:<22}{earned} ({:.1}%)", "earnings", 100.0 * self.service()));
        let parts = self.by_track.iter().chain(&self.by_tenant);
        for (name, asked, in_time) in parts.filter(|(_, asked, _)| *asked > 0.0) {
            lines.push(format!("    {name:<20}{:>6.1}% in contract time", 100.0 * in_time / asked));
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
            "submissions": self.submissions, "tries": self.tries, "honoured": self.honoured,
            "late": self.late, "turned_back": self.turned_back, "abandoned": self.abandoned,
            "left": self.left, "unheard": self.unheard, "unanswered": self.unanswered,
            "wrong": self.wrong, "asked": self.asked, "earned": self.earned, "in_time": self.in_time,
            "service": self.service(), "honoured_part": self.honoured_part(),
            "first_token": h(&self.first_token), "gaps": h(&self.gaps), "by_second": self.by_second,
            "by_tenant": self.by_tenant, "denied": self.denied,
        })
    }
}
