//! The record of one request: what has happened to it, and which steps are permitted.

use tideroute::types::{AttemptOutcome, Endpoint, EndpointStatus, Idempotency, TenthMillis};

use crate::permits::{AttemptPermit, ClosePermit, ReservationPermit, ResponsePermit};
use crate::violation::{Reason, Violation};

/// A kind of final response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FinalResponse {
    /// The complete response of a worker.
    Completed,
    /// The request was rejected. A retry can't execute it twice.
    Rejected,
    /// The request failed. It may or may not have run.
    Failed,
}

/// The phase of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Open,
    /// The response is being streamed to the client.
    Streaming,
    /// The final response has been sent.
    Responded,
    ClientDisconnected,
}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    number: u16,
    sent_at: TenthMillis,
    endpoint: Endpoint,
    /// The attempt executes the request; `false` for an attempt that only prefills.
    has_effect: bool,
}

/// Records what has happened to one request, and decides which steps are permitted.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    idempotency: Idempotency,
    deadline: TenthMillis,
    phase: Phase,
    in_flight: Option<InFlightAttempt>,
    /// Send time and endpoint of the first attempt that may have executed the request.
    first_execution: Option<(TenthMillis, Endpoint)>,
}

impl RequestRecord {
    /// Creates the record of a request that has just been accepted.
    pub fn new(idempotency: Idempotency, deadline: TenthMillis) -> RequestRecord {
        RequestRecord { idempotency, deadline, phase: Phase::Open, in_flight: None, first_execution: None }
    }

    /// Checks whether an attempt may be sent now to the worker of `endpoint`, which is `None` if the worker is not
    /// listed. `has_effect` is `false` for an attempt that only prefills. A permitted attempt counts as in flight from
    /// now on.
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

    /// Checks whether the attempt in flight may be transmitted now that its connection is established.
    pub fn permit_transmission(&self, now: TenthMillis, number: u16) -> Result<AttemptPermit, Violation> {
        self.check_phase(now)?;
        if self.in_flight.is_none_or(|attempt| attempt.number != number) {
            return Err(Violation { reason: Reason::AnotherAttemptInFlight });
        }
        Ok(AttemptPermit(()))
    }

    /// Checks whether a decode reservation may be requested at the worker of `endpoint`, which is `None` if the worker
    /// is not listed.
    pub fn permit_reservation(
        &self,
        now: TenthMillis,
        endpoint: Option<&Endpoint>,
    ) -> Result<ReservationPermit, Violation> {
        self.check_phase(now)?;
        check_worker(endpoint)?;
        Ok(ReservationPermit(()))
    }

    /// Checks whether the final response may be sent. If so, the request counts as responded from now on.
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

    /// Checks whether the request may be closed. `holds_nothing` says that no worker holds a reservation or KV state
    /// for it.
    pub fn permit_close(&self, holds_nothing: bool) -> Result<ClosePermit, Violation> {
        if self.in_flight.is_some() {
            return Err(Violation { reason: Reason::ClosedWithAttemptInFlight });
        }
        if !holds_nothing {
            return Err(Violation { reason: Reason::ClosedWithReservedState });
        }
        Ok(ClosePermit(()))
    }

    /// Records that an attempt has ended.
    pub fn attempt_finished(&mut self, number: u16, outcome: AttemptOutcome) {
        let Some(attempt) = self.in_flight.take_if(|attempt| attempt.number == number) else { return };
        if attempt.has_effect && !outcome.never_ran() {
            self.first_execution.get_or_insert((attempt.sent_at, attempt.endpoint));
        }
    }

    /// Records that the router has begun to stream the response to the client.
    pub fn response_started(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Streaming;
        }
    }

    /// Records that the client has disconnected.
    pub fn client_disconnected(&mut self) {
        if self.phase != Phase::Responded {
            self.phase = Phase::ClientDisconnected;
        }
    }

    /// Refuses new messages to workers once the response has begun, the request has ended or its deadline has passed.
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

    /// Checks whether the request may be executed at a worker, given that an earlier attempt may have executed it.
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

    /// Returns whether the client may safely retry the request at any router, as a rejection promises.
    fn is_retry_harmless(&self) -> bool {
        let may_run_now = self.in_flight.is_some_and(|attempt| attempt.has_effect);
        let may_have_run = may_run_now || self.first_execution.is_some();
        !may_have_run || self.idempotency.is_safe_anywhere()
    }
}

/// Refuses a worker that is draining or no longer listed.
fn check_worker(endpoint: Option<&Endpoint>) -> Result<&Endpoint, Violation> {
    match endpoint {
        Some(endpoint) if endpoint.status == EndpointStatus::Serving => Ok(endpoint),
        Some(endpoint) if endpoint.status == EndpointStatus::Draining => {
            Err(Violation { reason: Reason::WorkerDraining })
        }
        _ => Err(Violation { reason: Reason::WorkerNotListed }),
    }
}
