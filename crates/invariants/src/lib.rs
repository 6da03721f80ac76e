//! One place that decides whether something may be sent, repeated, answered or closed for a request now.
//!
//! Each request has a [`RequestRecord`], which is told what happens and is asked before anything is done. What may be
//! done comes back as a permit that nobody else can make and that is used up by doing it; what may not comes back as a
//! [`Violation`], whose rule and reason are closed lists. The record knows nothing of how a router decides: it is fed
//! by the books that carry decisions out, and catches a decision, or a path round one, that would break a rule.
//!
//! No I/O, no clock, no chance.

use tideroute::types::{AttemptOutcome, Endpoint, EndpointStatus, Idempotency, TenthMillis};

/// The rules that a request may break.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Rule {
    /// One final answer in the client's time, and nothing sent after it.
    Lost,
    /// No effect twice.
    Duplicate,
    /// Nothing new to a worker that drains or is gone.
    Drain,
    /// Nothing stays held.
    Pinned,
}

impl Rule {
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
    AfterFinalResponse,
    AfterClientDisconnected,
    AfterDeadline,
    AfterStreamBegan,
    SecondFinalResponse,
    AnotherAttemptInFlight,
    EarlierAttemptMayHaveRun,
    OutsideDeduplicationWindow,
    OutsideDeduplicationScope,
    RejectedAfterPossibleExecution,
    WorkerDraining,
    WorkerNotListed,
    ClosedWithAttemptInFlight,
    ClosedWithReservedState,
}

impl Reason {
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

    pub fn name(self) -> &'static str {
        match self {
            Reason::AfterFinalResponse => "after its final answer",
            Reason::AfterClientDisconnected => "after its client left",
            Reason::AfterDeadline => "after its deadline",
            Reason::AfterStreamBegan => "after its stream began",
            Reason::SecondFinalResponse => "a second final answer",
            Reason::AnotherAttemptInFlight => "another attempt is out",
            Reason::EarlierAttemptMayHaveRun => "an earlier attempt may have run",
            Reason::OutsideDeduplicationWindow => "outside its window for repeats",
            Reason::OutsideDeduplicationScope => "outside its group for repeats",
            Reason::RejectedAfterPossibleExecution => "refused after it may have run",
            Reason::WorkerDraining => "its worker drains",
            Reason::WorkerNotListed => "its worker is not listed",
            Reason::ClosedWithAttemptInFlight => "closed with an attempt out",
            Reason::ClosedWithReservedState => "closed while something is held for it",
        }
    }
}

/// Something that was about to be done and may not be.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Violation {
    pub reason: Reason,
}

impl Violation {
    pub fn rule(self) -> Rule {
        self.reason.rule()
    }
}

/// An attempt may be sent.
#[derive(PartialEq, Eq, Debug)]
pub struct AttemptPermit(());

/// A place may be asked for.
#[derive(PartialEq, Eq, Debug)]
pub struct ReservationPermit(());

/// The final answer may be given.
#[derive(PartialEq, Eq, Debug)]
pub struct ResponsePermit(());

/// The request may be forgotten.
#[derive(PartialEq, Eq, Debug)]
pub struct ClosePermit(());

/// A kind of final answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FinalResponse {
    /// A worker's answer, whole.
    Completed,
    /// Trying again is harmless.
    Rejected,
    /// No promise.
    Failed,
}

/// How far a request has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Open,
    /// Its answer has begun to go to the client.
    Streaming,
    Answered,
    ClientLeft,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct Out {
    number: u16,
    sent: TenthMillis,
    to: Endpoint,
    /// It has the request's effect, and does not only read the prompt.
    writes: bool,
}

/// What is known of one request, and what may be done for it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    repeat: Idempotency,
    deadline: TenthMillis,
    phase: Phase,
    out: Option<Out>,
    /// When and where the first attempt went that may have run.
    ran: Option<(TenthMillis, Endpoint)>,
}

impl RequestRecord {
    /// A request that has just been taken.
    pub fn new(repeat: Idempotency, deadline: TenthMillis) -> RequestRecord {
        RequestRecord { repeat, deadline, phase: Phase::Open, out: None, ran: None }
    }

    /// Nothing new may be sent in this phase, or after the deadline.
    fn permit_new(&self, now: TenthMillis) -> Result<(), Violation> {
        let reason = match self.phase {
            Phase::Streaming => Reason::AfterStreamBegan,
            Phase::Answered => Reason::AfterFinalResponse,
            Phase::ClientLeft => Reason::AfterClientDisconnected,
            Phase::Open if now >= self.deadline => Reason::AfterDeadline,
            Phase::Open => return Ok(()),
        };
        Err(Violation { reason })
    }

    /// A worker takes nothing new once it drains, or is no longer listed.
    fn permit_worker(to: Option<&Endpoint>) -> Result<&Endpoint, Violation> {
        match to {
            Some(endpoint) if endpoint.status == EndpointStatus::Serving => Ok(endpoint),
            Some(endpoint) if endpoint.status == EndpointStatus::Draining => {
                Err(Violation { reason: Reason::WorkerDraining })
            }
            _ => Err(Violation { reason: Reason::WorkerNotListed }),
        }
    }

    /// Asks whether an attempt may be sent to a worker now, as it is listed.
    pub fn permit_attempt(
        &mut self,
        now: TenthMillis,
        number: u16,
        to: Option<&Endpoint>,
        writes: bool,
    ) -> Result<AttemptPermit, Violation> {
        self.permit_new(now)?;
        let to = *RequestRecord::permit_worker(to)?;
        if self.out.is_some() {
            return Err(Violation { reason: Reason::AnotherAttemptInFlight });
        }
        if writes {
            self.permit_repeat(now, &to)?;
        }
        self.out = Some(Out { number, sent: now, to, writes });
        Ok(AttemptPermit(()))
    }

    /// Whether the effect may be had at a worker, given what may have had it before.
    fn permit_repeat(&self, now: TenthMillis, to: &Endpoint) -> Result<(), Violation> {
        let Some((first, _)) = self.ran else { return Ok(()) };
        let reason = match self.repeat {
            Idempotency::Idempotent => return Ok(()),
            Idempotency::NonIdempotent => Reason::EarlierAttemptMayHaveRun,
            Idempotency::IdempotentWithKey { .. } if !self.repeat.allows_retry_after(now - first) => {
                Reason::OutsideDeduplicationWindow
            }
            Idempotency::IdempotentWithKey { .. } if !self.repeat.deduplicates_at(self.ran, to) => {
                Reason::OutsideDeduplicationScope
            }
            Idempotency::IdempotentWithKey { .. } => return Ok(()),
        };
        Err(Violation { reason })
    }

    /// Asks whether the attempt that is out may leave now: its connection was not there before.
    pub fn permit_transmission(&self, now: TenthMillis, number: u16) -> Result<AttemptPermit, Violation> {
        self.permit_new(now)?;
        if self.out.is_none_or(|out| out.number != number) {
            return Err(Violation { reason: Reason::AnotherAttemptInFlight });
        }
        Ok(AttemptPermit(()))
    }

    /// Asks whether a place may be asked for at a worker.
    pub fn permit_reservation(
        &self,
        now: TenthMillis,
        at: Option<&Endpoint>,
    ) -> Result<ReservationPermit, Violation> {
        self.permit_new(now)?;
        RequestRecord::permit_worker(at)?;
        Ok(ReservationPermit(()))
    }

    /// An attempt has ended.
    pub fn attempt_finished(&mut self, number: u16, outcome: AttemptOutcome) {
        let Some(out) = self.out.take_if(|out| out.number == number) else { return };
        if out.writes && !outcome.never_ran() {
            self.ran.get_or_insert((out.sent, out.to));
        }
    }

    /// The answer has begun to go to the client.
    pub fn response_started(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Streaming;
        }
    }

    /// Asks whether the request may be given its final answer.
    pub fn permit_response(&mut self, answer: FinalResponse) -> Result<ResponsePermit, Violation> {
        let reason = match (self.phase, answer) {
            (Phase::Answered, _) => Reason::SecondFinalResponse,
            (Phase::ClientLeft, _) => Reason::AfterClientDisconnected,
            (Phase::Streaming, FinalResponse::Rejected) => Reason::RejectedAfterPossibleExecution,
            (_, FinalResponse::Rejected) if self.may_not_be_refused() => {
                Reason::RejectedAfterPossibleExecution
            }
            _ => {
                self.phase = Phase::Answered;
                return Ok(ResponsePermit(()));
            }
        };
        Err(Violation { reason })
    }

    /// A refusal promises that another try is harmless.
    fn may_not_be_refused(&self) -> bool {
        let writes = self.out.is_some_and(|out| out.writes);
        (writes || self.ran.is_some()) && !self.repeat.is_safe_anywhere()
    }

    /// The client has gone.
    pub fn client_disconnected(&mut self) {
        if self.phase != Phase::Answered {
            self.phase = Phase::ClientLeft;
        }
    }

    /// Asks whether the request may be forgotten, with something held for it or not.
    pub fn permit_close(&self, holds_nothing: bool) -> Result<ClosePermit, Violation> {
        if self.out.is_some() {
            return Err(Violation { reason: Reason::ClosedWithAttemptInFlight });
        }
        if !holds_nothing {
            return Err(Violation { reason: Reason::ClosedWithReservedState });
        }
        Ok(ClosePermit(()))
    }
}
