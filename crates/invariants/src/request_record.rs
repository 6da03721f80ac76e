//! What is known of one request, and what may be done for it.

use tideroute::types::{AttemptOutcome, Endpoint, EndpointStatus, Idempotency, TenthMillis};

use crate::permits::{AttemptPermit, ClosePermit, ReservationPermit, ResponsePermit};
use crate::violation::{Reason, Violation};

/// A kind of final response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FinalResponse {
    /// A worker's response, complete.
    Completed,
    /// The request was rejected: a retry is harmless.
    Rejected,
    /// The request failed: nothing is promised.
    Failed,
}

/// How far a request has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Open,
    /// The response has begun to go to the client.
    Streaming,
    /// The final response has been given.
    Responded,
    ClientDisconnected,
}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    number: u16,
    sent_at: TenthMillis,
    endpoint: Endpoint,
    /// It has the request's effect, and does not only prefill.
    has_effect: bool,
}

/// What is known of one request, and what may be done for it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    idempotency: Idempotency,
    deadline: TenthMillis,
    phase: Phase,
    in_flight: Option<InFlightAttempt>,
    /// When and where the first attempt was sent that may have run.
    first_execution: Option<(TenthMillis, Endpoint)>,
}

impl RequestRecord {
    /// The record of a request that has just been admitted.
    pub fn new(idempotency: Idempotency, deadline: TenthMillis) -> RequestRecord {
        RequestRecord { idempotency, deadline, phase: Phase::Open, in_flight: None, first_execution: None }
    }

    /// Asks whether an attempt may be sent to a worker now, as it is listed; none if it is not. `has_effect` if it does
    /// more than to prefill. The attempt is in flight from now on.
    pub fn permit_attempt(
        &mut self,
        now: TenthMillis,
        number: u16,
        endpoint: Option<&Endpoint>,
        has_effect: bool,
    ) -> Result<AttemptPermit, Violation> {
        self.check_phase(now)?;
        let endpoint = *check_worker(endpoint)?;
        if self.in_flight.is_some() {
            return Err(Violation { reason: Reason::AnotherAttemptInFlight });
        }
        if has_effect {
            self.check_retry(now, &endpoint)?;
        }
        self.in_flight = Some(InFlightAttempt { number, sent_at: now, endpoint, has_effect });
        Ok(AttemptPermit(()))
    }

    /// Asks whether the attempt that is in flight may be transmitted now: its connection was not established before.
    pub fn permit_transmission(&self, now: TenthMillis, number: u16) -> Result<AttemptPermit, Violation> {
        self.check_phase(now)?;
        if self.in_flight.is_none_or(|attempt| attempt.number != number) {
            return Err(Violation { reason: Reason::AnotherAttemptInFlight });
        }
        Ok(AttemptPermit(()))
    }

    /// Asks whether a decode reservation may be requested at a worker, as it is listed; none if it is not.
    pub fn permit_reservation(
        &self,
        now: TenthMillis,
        endpoint: Option<&Endpoint>,
    ) -> Result<ReservationPermit, Violation> {
        self.check_phase(now)?;
        check_worker(endpoint)?;
        Ok(ReservationPermit(()))
    }

    /// Asks whether the request may be given its final response. It has it from now on.
    pub fn permit_response(&mut self, response: FinalResponse) -> Result<ResponsePermit, Violation> {
        let reason = match (self.phase, response) {
            (Phase::Responded, _) => Reason::SecondFinalResponse,
            (Phase::ClientDisconnected, _) => Reason::AfterClientDisconnected,
            (Phase::Streaming, FinalResponse::Rejected) => Reason::RejectedAfterPossibleExecution,
            (_, FinalResponse::Rejected) if !self.is_retry_harmless() => {
                Reason::RejectedAfterPossibleExecution
            }
            _ => {
                self.phase = Phase::Responded;
                return Ok(ResponsePermit(()));
            }
        };
        Err(Violation { reason })
    }

    /// Asks whether the request may be forgotten, with something reserved for it or not.
    pub fn permit_close(&self, holds_nothing: bool) -> Result<ClosePermit, Violation> {
        if self.in_flight.is_some() {
            return Err(Violation { reason: Reason::ClosedWithAttemptInFlight });
        }
        if !holds_nothing {
            return Err(Violation { reason: Reason::ClosedWithReservedState });
        }
        Ok(ClosePermit(()))
    }

    /// An attempt has ended.
    pub fn attempt_finished(&mut self, number: u16, outcome: AttemptOutcome) {
        let Some(attempt) = self.in_flight.take_if(|attempt| attempt.number == number) else { return };
        if attempt.has_effect && !outcome.never_ran() {
            self.first_execution.get_or_insert((attempt.sent_at, attempt.endpoint));
        }
    }

    /// The response has begun to go to the client.
    pub fn response_started(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Streaming;
        }
    }

    /// The client has disconnected.
    pub fn client_disconnected(&mut self) {
        if self.phase != Phase::Responded {
            self.phase = Phase::ClientDisconnected;
        }
    }

    /// Nothing new may be sent once the response has begun or the request is over, or after the deadline.
    fn check_phase(&self, now: TenthMillis) -> Result<(), Violation> {
        let reason = match self.phase {
            Phase::Streaming => Reason::AfterStreamBegan,
            Phase::Responded => Reason::AfterFinalResponse,
            Phase::ClientDisconnected => Reason::AfterClientDisconnected,
            Phase::Open if now >= self.deadline => Reason::AfterDeadline,
            Phase::Open => return Ok(()),
        };
        Err(Violation { reason })
    }

    /// Whether the effect may be had at a worker, given where it may have been had before.
    fn check_retry(&self, now: TenthMillis, endpoint: &Endpoint) -> Result<(), Violation> {
        let Some((first_sent_at, _)) = self.first_execution else { return Ok(()) };
        let reason = match self.idempotency {
            Idempotency::Idempotent => return Ok(()),
            Idempotency::NonIdempotent => Reason::EarlierAttemptMayHaveRun,
            Idempotency::IdempotentWithKey { .. }
                if !self.idempotency.allows_retry_after(now - first_sent_at) =>
            {
                Reason::OutsideDeduplicationWindow
            }
            Idempotency::IdempotentWithKey { .. }
                if !self.idempotency.deduplicates_at(self.first_execution, endpoint) =>
            {
                Reason::OutsideDeduplicationScope
            }
            Idempotency::IdempotentWithKey { .. } => return Ok(()),
        };
        Err(Violation { reason })
    }

    /// Whether a client may send the request again, to any router: a rejection promises that.
    fn is_retry_harmless(&self) -> bool {
        let may_run_now = self.in_flight.is_some_and(|attempt| attempt.has_effect);
        let may_have_run = may_run_now || self.first_execution.is_some();
        !may_have_run || self.idempotency.is_safe_anywhere()
    }
}

/// A worker takes nothing new once it drains, or is no longer listed.
fn check_worker(endpoint: Option<&Endpoint>) -> Result<&Endpoint, Violation> {
    match endpoint {
        Some(endpoint) if endpoint.status == EndpointStatus::Serving => Ok(endpoint),
        Some(endpoint) if endpoint.status == EndpointStatus::Draining => {
            Err(Violation { reason: Reason::WorkerDraining })
        }
        _ => Err(Violation { reason: Reason::WorkerNotListed }),
    }
}
