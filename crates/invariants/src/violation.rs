//! Violations: steps that may not be taken, with the rule and the reason.

/// The invariants of a request, under the names that operators know.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Rule {
    /// Each request gets one final response before its deadline, and nothing is sent after it.
    Lost,
    /// No request is executed twice, unless a second execution is harmless.
    Duplicate,
    /// A draining or removed worker gets nothing new.
    Drain,
    /// No worker keeps a reservation or KV state for a closed request.
    Pinned,
}

impl Rule {
    /// Returns the rule's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::Duplicate => "duplicate",
            Rule::Drain => "drain",
            Rule::Pinned => "pinned",
        }
    }
}

/// Why a step may not be taken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Reason {
    /// The request already has its final response.
    AfterFinalResponse,
    /// The client has disconnected.
    AfterClientDisconnected,
    /// The request's deadline has passed.
    AfterDeadline,
    /// The response is being streamed to the client, so no further attempt may be made.
    AfterStreamBegan,
    /// The request already has its final response and would get a second one.
    SecondFinalResponse,
    /// Another attempt of the request is in flight.
    AnotherAttemptInFlight,
    /// An earlier attempt may have run, and the request is not idempotent.
    EarlierAttemptMayHaveRun,
    /// The deduplication window has passed: workers may no longer know the idempotency key of the first attempt.
    OutsideDeduplicationWindow,
    /// The worker does not share idempotency keys with the worker of the first attempt.
    OutsideDeduplicationScope,
    /// A rejection promises that a retry is harmless. It is not, because an attempt may have run.
    RejectedAfterPossibleExecution,
    /// The worker is draining.
    WorkerDraining,
    /// The worker is not in the endpoint list.
    WorkerNotListed,
    /// The request would be closed with an attempt in flight.
    ClosedWithAttemptInFlight,
    /// The request would be closed while a worker holds a reservation or KV state for it.
    ClosedWithReservedState,
}

impl Reason {
    /// Returns the rule that the step would break.
    pub fn rule(self) -> Rule {
        match self {
            Reason::AfterFinalResponse
            | Reason::AfterClientDisconnected
            | Reason::AfterDeadline
            | Reason::AfterStreamBegan
            | Reason::SecondFinalResponse
            | Reason::ClosedWithAttemptInFlight => Rule::Lost,
            Reason::AnotherAttemptInFlight
            | Reason::EarlierAttemptMayHaveRun
            | Reason::OutsideDeduplicationWindow
            | Reason::OutsideDeduplicationScope
            | Reason::RejectedAfterPossibleExecution => Rule::Duplicate,
            Reason::WorkerDraining | Reason::WorkerNotListed => Rule::Drain,
            Reason::ClosedWithReservedState => Rule::Pinned,
        }
    }

    /// Returns the reason's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Reason::AfterFinalResponse => "after its final response",
            Reason::AfterClientDisconnected => "after its client disconnected",
            Reason::AfterDeadline => "after its deadline",
            Reason::AfterStreamBegan => "after its stream began",
            Reason::SecondFinalResponse => "a second final response",
            Reason::AnotherAttemptInFlight => "another attempt is in flight",
            Reason::EarlierAttemptMayHaveRun => "an earlier attempt may have run",
            Reason::OutsideDeduplicationWindow => "outside its deduplication window",
            Reason::OutsideDeduplicationScope => "outside its deduplication scope",
            Reason::RejectedAfterPossibleExecution => "rejected after it may have run",
            Reason::WorkerDraining => "its worker drains",
            Reason::WorkerNotListed => "its worker is not listed",
            Reason::ClosedWithAttemptInFlight => "closed with an attempt in flight",
            Reason::ClosedWithReservedState => "closed with reserved state",
        }
    }
}

/// A step that was about to be taken and is forbidden.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Violation {
    /// Why the step is forbidden.
    pub reason: Reason,
}

impl Violation {
    /// Returns the rule that the step would break.
    pub fn rule(self) -> Rule {
        self.reason.rule()
    }
}
