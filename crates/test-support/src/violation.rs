//! Violations of the rules, as the checker reports them.

use std::fmt;

/// A rule that every router must keep.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Rule {
    /// Each request receives one response before its deadline, and no response that no worker sent for it.
    LostRequest,
    /// A request runs no more often than its idempotency permits.
    DuplicateExecution,
    /// No new work is sent to a draining worker after its grace period.
    Draining,
    /// KV state and decode reservations are not held longer than the limit while no attempt is in flight.
    HeldTooLong,
    /// No worker is sent a remaining time that exceeds that of the client.
    Deadline,
}

/// A violation of a rule, with its time and a description.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// Milliseconds since the start of the checker.
    pub(crate) at_ms: u64,
    /// A description of the violation.
    pub(crate) message: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.rule, self.at_ms, self.message)
    }
}
