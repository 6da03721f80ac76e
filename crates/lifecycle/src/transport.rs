//! What the lifecycle needs of a protocol: messages to workers, clients and discovery, and timers.

use tideroute::types::{AttemptOutcome, RequestId, WorkerId};
use tideroute_invariants::{AttemptPermit, ClosePermit, ReservationPermit, ResponsePermit};
use tideroute_wire::Micros;

use crate::request_state::{Attempt, RequestState};
use crate::response::Response;

/// The purpose of a timer of the lifecycle. When the timer fires, the protocol passes it to
/// [`RequestLifecycle::timer_fired`](crate::RequestLifecycle::timer_fired).
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Timer {
    /// The scheduler asked to be woken.
    SchedulerWake,
    /// The deadline of a request.
    Deadline(RequestId),
    /// The timeout of a health check, by its nonce.
    HealthCheck(u64),
    /// Tenant admission may have a verdict on a waiting request.
    Admission,
}

/// A protocol's side of the lifecycle. Implementations carry out each call and never call back into the lifecycle.
pub trait Transport {
    /// What the protocol stores with each request.
    type Context;

    /// Sends a request's attempt to its worker. The response is due within `remaining_time` microseconds.
    fn dispatch(
        &mut self,
        id: RequestId,
        request: &RequestState<Self::Context>,
        attempt: &Attempt,
        remaining_time: Micros,
        permit: AttemptPermit,
    );
    /// Asks a decode worker for a reservation while `prefill_worker` prefills.
    fn reserve(
        &mut self,
        id: RequestId,
        request: &RequestState<Self::Context>,
        decode_worker: WorkerId,
        prefill_worker: WorkerId,
        permit: ReservationPermit,
    );
    /// Ends a reservation because another reservation or an attempt took its place. With `notify_worker` the worker
    /// must be notified; otherwise it knows already.
    fn cancel_reservation(&mut self, id: RequestId, decode_worker: WorkerId, notify_worker: bool);
    /// Releases all that is held for a request: its decode reservations and the KV state at its prefill worker.
    fn release(
        &mut self,
        id: RequestId,
        request: &RequestState<Self::Context>,
        reservations: &[WorkerId],
        state_holder: Option<WorkerId>,
    );
    /// Cancels an attempt. Returns whether it was never sent, and so cannot have run.
    fn cancel(&mut self, id: RequestId, attempt: &Attempt) -> bool;
    /// Cancels an attempt only if it has not been sent yet, and returns whether that was so. An attempt that was sent
    /// continues.
    fn cancel_if_unsent(&mut self, _id: RequestId, _attempt: &Attempt) -> bool {
        false
    }
    /// Notifies the protocol that an attempt has ended, at the worker, at the client or by cancellation.
    fn attempt_finished(
        &mut self,
        id: RequestId,
        request: &RequestState<Self::Context>,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    );
    /// Sends the final response to the client.
    fn respond(
        &mut self,
        id: RequestId,
        request: &RequestState<Self::Context>,
        response: Response,
        permit: ResponsePermit,
    );
    /// Notifies the protocol that the lifecycle forgets a request, which is finished and has nothing in flight or
    /// reserved.
    fn request_closed(&mut self, _id: RequestId, _permit: ClosePermit) {}
    /// Sends a health check to a worker.
    fn check_health(&mut self, nonce: u64, worker: WorkerId);
    /// Notifies the protocol that the health check of a worker was answered or timed out.
    fn health_check_finished(&mut self, worker: WorkerId);
    /// Asks discovery for all changes of the endpoint list after a version.
    fn watch_endpoints(&mut self, version: u64);
    /// Sets a timer for a time on the router's clock. Timers are never cancelled.
    fn set_timer(&mut self, at: Micros, timer: Timer);
}
