//! The result of a check.

use tideroute_wire::Micros;

/// The highest number of violations that are listed; further ones are only counted.
const MAX_LISTED: usize = 200;

/// The rule that a violation breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// None of the five rules: the capture has a gap or contradicts itself.
    Capture,
    /// Rule 1: each request gets exactly one final response, in time.
    Lost,
    /// Rule 2: no request takes effect twice.
    Duplicate,
    /// Rule 3: a draining or removed worker gets no new work.
    Drain,
    /// Rule 4: a worker that has just started is not overloaded.
    SlowStart,
    /// Rule 5: no worker keeps state for a request that has no attempt in flight.
    Pinned,
}

impl Rule {
    /// All rules, in the order in which they are reported.
    pub const ALL: [Rule; 6] =
        [Rule::Capture, Rule::Lost, Rule::Duplicate, Rule::Drain, Rule::SlowStart, Rule::Pinned];

    /// Returns the rule in a few words, as the command `check-trace` prints it.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Capture => "the capture is complete and consistent",
            Rule::Lost => "rule 1, no request lost",
            Rule::Duplicate => "rule 2, no duplicate execution",
            Rule::Drain => "rule 3, no work sent to draining workers",
            Rule::SlowStart => "rule 4, no warming worker overloaded",
            Rule::Pinned => "rule 5, no worker state left pinned",
        }
    }

    /// Returns a short label of the rule, as the table of measurements prints it.
    pub fn label(self) -> &'static str {
        match self {
            Rule::Capture => "Capture",
            Rule::Lost => "Lost",
            Rule::Duplicate => "Duplicate",
            Rule::Drain => "Drain",
            Rule::SlowStart => "Slow start",
            Rule::Pinned => "Pinned",
        }
    }
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it happened, by the clock of the capture; 0 if the time is not known.
    pub at: Micros,
    /// The router's id of the request, if the violation concerns a request and its id is known.
    pub request_id: Option<u64>,
    /// What happened.
    pub description: String,
}

/// Counts of what a capture contains. A check of a capture that contains little proves little.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Captured events.
    pub events: u64,
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that routers admitted.
    pub admitted: u64,
    /// Requests that were completed.
    pub completed: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that their clients cancelled.
    pub cancelled: u64,
    /// Requests without a response that ended with a killed router or with their connection.
    pub disconnected: u64,
    /// Attempts that were sent to workers.
    pub attempts: u64,
    /// Decode reservations that were requested.
    pub reservations: u64,
    /// The longest time between the notification of a worker's drain or removal and a send to that worker,
    /// microseconds.
    pub latest_send_after_drain: Micros,
    /// The most work that was sent to a warming worker, as a fraction of the work that overloads it.
    pub peak_slow_start_load: f64,
    /// The longest time for which a worker kept state for a request without an attempt in flight, microseconds.
    pub longest_idle_state: Micros,
}

/// The result of a check.
#[derive(Debug, Default)]
pub struct Report {
    /// What the capture contains.
    pub counts: Counts,
    /// The listed violations, sorted by rule and time.
    pub violations: Vec<Violation>,
    /// Number of violations beyond the listed ones.
    pub unlisted: u64,
}

impl Report {
    /// Returns whether no rule was violated and the capture has no gap.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    pub(crate) fn add_violation(
        &mut self,
        rule: Rule,
        at: Micros,
        request_id: Option<u64>,
        description: impl Into<String>,
    ) {
        if self.violations.len() < MAX_LISTED {
            self.violations.push(Violation { rule, at, request_id, description: description.into() });
        } else {
            self.unlisted += 1;
        }
    }
}
