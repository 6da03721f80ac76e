//! What came of a load.

use std::sync::atomic::{AtomicU64, Ordering};

use hdrhistogram::Histogram;
use tideroute_config_language::kinds::Track;
use tideroute_wire::Micros;

/// Microseconds: the longest time that the histograms tell apart, and their figures.
const LONGEST: u64 = 600_000_000;
const FIGURES: u8 = 3;

/// What of a running load others may watch.
#[derive(Debug, Default)]
pub struct Progress {
    pub planned: AtomicU64,
    pub made: AtomicU64,
    pub honoured: AtomicU64,
    pub turned_back: AtomicU64,
    pub abandoned: AtomicU64,
}

impl Progress {
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

#[derive(Debug)]
pub struct Tally {
    /// Submissions planned, and tries made for them.
    pub submissions: u64,
    pub tries: u64,
    /// How each submission ended: by its last try.
    pub honoured: u64,
    pub turned_back: u64,
    pub abandoned: u64,
    pub left: u64,
    /// No router could be reached, or the one that held it was lost.
    pub unheard: u64,
    /// No answer came before the client's time was up.
    pub unanswered: u64,
    /// First tokens after the contract time.
    pub late: u64,
    /// Answers whose tokens were not those of the prompt: a broken state was used.
    pub wrong: u64,
    /// Earnings asked for, and brought in full or in part.
    pub asked: f64,
    pub earned: f64,
    pub in_time: f64,
    /// Microseconds from the first try to the first token, and between tokens.
    pub first_token: Histogram<u64>,
    pub gaps: Histogram<u64>,
    /// Asked and in time, by track and by second of asking.
    pub by_track: Vec<(String, f64, f64)>,
    pub by_second: Vec<(f64, f64)>,
    pub by_tenant: Vec<(String, f64, f64)>,
    /// Hellos that a router did not take.
    pub denied: u64,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library takes.
    Histogram::new_with_max(LONGEST, FIGURES).unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

impl Tally {
    pub fn new(tracks: &[Track], tenants: impl IntoIterator<Item = String>) -> Tally {
        Tally {
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

    /// Earnings asked for at a second of the load.
    pub fn ask(&mut self, track: u8, tenant: Option<usize>, earnings: f64, second: usize) {
        self.submissions += 1;
        self.asked += earnings;
        self.by_track[usize::from(track)].1 += earnings;
        tenant.into_iter().for_each(|t| self.by_tenant[t].1 += earnings);
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, (0.0, 0.0));
        }
        self.by_second[second].0 += earnings;
    }

    /// An answer that came whole: its earnings, in time or the late part of them.
    pub fn earn(
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

    /// The part of the earnings asked for that was answered within the contract time.
    pub fn service(&self) -> f64 {
        self.in_time / self.asked.max(1e-9)
    }

    pub fn honoured_part(&self) -> f64 {
        self.honoured as f64 / (self.submissions - self.left).max(1) as f64
    }

    pub fn note_first(&mut self, took: Micros) {
        self.first_token.saturating_record(took);
    }

    /// The table that a person reads.
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

    /// The same for programs.
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
