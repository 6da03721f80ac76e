//! What the books need of a protocol, and no more: words to workers, clients and the list, and timers.

use tideroute::types::{AttemptOutcome, RequestId, WorkerId};
use tideroute_invariants::{AttemptPermit, ClosePermit, ReservationPermit, ResponsePermit};
use tideroute_wire::Micros;

use crate::request_table::{Attempt, RequestState};

/// A final answer to a client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Response {
    /// With the tokens that were relayed.
    Completed(u32),
    /// With how long the client should stay away; 0 for no advice.
    Rejected(Micros),
    Failed,
}

/// What a timer of the books is for. It goes back to [`RequestLifecycle::rang`](crate::Books::rang).
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Timer {
    /// The module asked to be woken.
    SchedulerWake,
    /// A client's time is up.
    Deadline(RequestId),
    /// A probe, by its nonce, has not been answered.
    HealthCheck(u64),
    /// A verdict on what waits to be let in may be due.
    Admission,
}

/// One protocol's way of carrying out what the books say. None of the calls may come back into the books.
pub trait Transport {
    /// What the protocol keeps of a submission beside the books.
    type Context;

    /// The shot that the submission has out goes to its worker, which may take so long.
    fn dispatch(
        &mut self,
        id: RequestId,
        s: &RequestState<Self::Context>,
        attempt: &Attempt,
        left: Micros,
        permit: AttemptPermit,
    );
    /// A place is asked for while the reader reads.
    fn reserve(
        &mut self,
        id: RequestId,
        s: &RequestState<Self::Context>,
        at: WorkerId,
        reader: WorkerId,
        permit: ReservationPermit,
    );
    /// A place is no longer wanted because another or a shot took its turn; with `tell` nobody else says so.
    fn cancel_reservation(&mut self, id: RequestId, at: WorkerId, tell: bool);
    /// All that is held for the submission is let go.
    fn release(
        &mut self,
        id: RequestId,
        s: &RequestState<Self::Context>,
        places: &[WorkerId],
        state: Option<WorkerId>,
    );
    /// Nobody waits for the shot any more. Whether it never left comes back: then it has not run.
    fn cancel(&mut self, id: RequestId, attempt: &Attempt) -> bool;
    /// Takes a shot back that has not left yet; whether it had not. One that has left goes on.
    fn cancel_if_unsent(&mut self, _id: RequestId, _attempt: &Attempt) -> bool {
        false
    }
    /// The shot has ended, whoever ended it.
    fn attempt_finished(
        &mut self,
        id: RequestId,
        s: &RequestState<Self::Context>,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    );
    fn respond(
        &mut self,
        id: RequestId,
        s: &RequestState<Self::Context>,
        answer: Response,
        permit: ResponsePermit,
    );
    /// The submission is over, nothing is out for it, and the books forget it.
    fn request_closed(&mut self, _id: RequestId, _permit: ClosePermit) {}
    fn check_health(&mut self, nonce: u64, at: WorkerId);
    /// The probe of a worker was answered or given up.
    fn health_check_finished(&mut self, at: WorkerId);
    /// The list is asked for all changes after that version.
    fn watch_endpoints(&mut self, version: u64);
    fn set_timer(&mut self, at: Micros, timer: Timer);
}
