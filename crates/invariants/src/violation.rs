//! What may not be done, by which rule, and why.

/// The rules that a request may break. Their names are those of the operators' rules.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Rule {
    /// Each request gets one final response before its deadline, and nothing is sent after it.
    Lost,
    /// No request has its effect twice.
    Duplicate,
    /// A worker that drains or is removed gets nothing new.
    Drain,
    /// Nothing stays reserved at a worker.
    Pinned,
}

impl Rule {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::Duplicate => "duplicate",
            Rule::Drain => "drain",
            Rule::Pinned => "pinned",
        }
    }
}

/// Why something may not be done.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Reason {
    /// The request has its final response.
    AfterFinalResponse,
    /// The client has disconnected.
    AfterClientDisconnected,
    /// The request's deadline has passed.
    AfterDeadline,
    /// The response has begun to go to the client, so no further attempt may be made.
    AfterStreamBegan,
    /// The request has its final response, and would get a second one.
    SecondFinalResponse,
    /// Another attempt of the request is in flight.
    AnotherAttemptInFlight,
    /// An earlier attempt may have run, and the request is not idempotent.
    EarlierAttemptMayHaveRun,
    /// The first attempt was sent so long ago that workers no longer remember its key.
    OutsideDeduplicationWindow,
    /// The worker does not know the keys of the one that the first attempt was sent to.
    OutsideDeduplicationScope,
    /// A rejection promises that a retry is harmless, which it is not after an attempt may have run.
    RejectedAfterPossibleExecution,
    /// The worker drains.
    WorkerDraining,
    /// The worker is not in the endpoint list.
    WorkerNotListed,
    /// The request would be forgotten with an attempt in flight.
    ClosedWithAttemptInFlight,
    /// The request would be forgotten with state reserved for it.
    ClosedWithReservedState,
}

impl Reason {
    /// The rule that would be broken.
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

    /// Its name in logs and metrics.
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

/// Something that was about to be done and may not be.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Violation {
    /// Why it may not be done.
    pub reason: Reason,
}

impl Violation {
    /// The rule that would be broken.
    pub fn rule(self) -> Rule {
        self.reason.rule()
    }
}
