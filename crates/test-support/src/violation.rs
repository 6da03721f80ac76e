//! Violations of the rules that the checker finds.

use std::fmt;

/// A rule that every router must keep.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Rule {
    /// Each request gets one response within its deadline, and none that no worker made for it.
    LostRequest,
    /// A request runs no more often than its idempotency permits.
    DuplicateExecution,
    /// Nothing new is sent to a worker that drains, once its grace period is over.
    Draining,
    /// KV state and decode reservations are not held beyond the limit with no attempt in flight.
    HeldTooLong,
    /// No worker is told a longer remaining time than the client's.
    Deadline,
}

/// A rule that was broken: when, and how.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Milliseconds since the start.
    pub(crate) at_ms: u64,
    /// What happened.
    pub(crate) message: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.rule, self.at_ms, self.message)
    }
}
