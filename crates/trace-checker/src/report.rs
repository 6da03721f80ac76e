//! What a check found.

use tideroute_wire::Micros;

/// Violations that are listed; of further ones only the number is kept.
const MAX_LISTED: usize = 200;

/// What a violation concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No rule: the capture has a gap or contradicts itself.
    Capture,
    /// Rule 1: each request gets exactly one final response, in time.
    Lost,
    /// Rule 2: no request takes effect twice.
    Duplicate,
    /// Rule 3: a draining worker gets nothing new.
    Drain,
    /// Rule 4: a worker that has just started is not overloaded.
    SlowStart,
    /// Rule 5: no worker keeps state for a request that has no attempt in flight.
    Pinned,
}

impl Rule {
    /// All of them, in the order in which they are reported.
    pub const ALL: [Rule; 6] =
        [Rule::Capture, Rule::Lost, Rule::Duplicate, Rule::Drain, Rule::SlowStart, Rule::Pinned];

    /// The rule in a few words, as the check prints it.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Capture => "the record is whole",
            Rule::Lost => "rule 1, no submission lost",
            Rule::Duplicate => "rule 2, no effect twice",
            Rule::Drain => "rule 3, drains kept",
            Rule::SlowStart => "rule 4, no cold worker pushed over",
            Rule::Pinned => "rule 5, nothing left pinned",
        }
    }

    /// The rule in one word, as the table of measurements prints it.
    pub fn label(self) -> &'static str {
        match self {
            Rule::Capture => "Record",
            Rule::Lost => "Lost",
            Rule::Duplicate => "Twice",
            Rule::Drain => "Drain",
            Rule::SlowStart => "Cold",
            Rule::Pinned => "Pinned",
        }
    }
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, by the clock of the capture; 0 if no moment is known.
    pub at: Micros,
    /// The router's id of the request, if one is concerned and known.
    pub request_id: Option<u64>,
    /// What happened.
    pub description: String,
}

/// How much of everything a capture holds: one that holds little shows little.
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
    /// Decode reservations that were asked for.
    pub reservations: u64,
    /// The latest send to a worker after the router was notified of its drain or removal, microseconds.
    pub latest_send_after_drain: Micros,
    /// The most work that was sent to a warming worker, as a part of what overloads it.
    pub peak_slow_start_load: f64,
    /// The longest that a worker kept state for a request without an attempt in flight, microseconds.
    pub longest_idle_state: Micros,
}

/// What a check found.
#[derive(Debug, Default)]
pub struct Report {
    /// How much was checked.
    pub counts: Counts,
    /// Violations, by rule and time.
    pub violations: Vec<Violation>,
    /// Violations beyond those listed.
    pub unlisted: u64,
}

impl Report {
    /// No rule was violated, and the capture has no gap.
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
