//! The request trace: one log event for each change of state of a request, its attempts, and its reserved state.
//! All events have the target [`TARGET`], the request's id and trace id, and a `state` and `reason` from a fixed set,
//! so that the log alone shows what was sent where, when, and why it ended.

use tideroute::types::{AttemptOutcome, RequestId};
use tideroute_lifecycle::Response;
use tideroute_wire::Address;

use crate::headers::socket_address;

/// The target of all trace events, by which a log filter selects them.
pub const TARGET: &str = "tideroute::request";

/// A change of state of a request, of its attempts, or of its reserved state.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TraceEvent {
    /// The lifecycle has admitted the request.
    Admitted,
    /// A worker has been chosen for an attempt; its connection may not be established yet.
    AttemptChosen {
        /// The attempt's number, counted within its request.
        number: u16,
        /// The worker's address.
        address: Address,
    },
    /// The last byte of an attempt has been written.
    AttemptWritten {
        /// The attempt's number, counted within its request.
        number: u16,
        /// The worker's address.
        address: Address,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt's number, counted within its request.
        number: u16,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// The first bytes of the response have been sent to the client.
    ResponseStarted,
    /// A decode reservation has been requested from the worker at this address.
    ReservationRequested(Address),
    /// A release call has been sent to the worker at this address.
    ReleaseSent(Address),
    /// A worker has answered a release call.
    Released,
    /// The final response: completed, rejected or failed.
    Responded(Response),
    /// The client has disconnected before the end of the response.
    ClientDisconnected,
}

impl TraceEvent {
    fn state(self) -> &'static str {
        match self {
            TraceEvent::Admitted => "admitted",
            TraceEvent::AttemptChosen { .. } => "attempt-chosen",
            TraceEvent::AttemptWritten { .. } => "attempt-written",
            TraceEvent::AttemptEnded { .. } => "attempt-ended",
            TraceEvent::ResponseStarted => "response-started",
            TraceEvent::ReservationRequested(_) => "reservation-requested",
            TraceEvent::ReleaseSent(_) => "release-sent",
            TraceEvent::Released => "released",
            TraceEvent::Responded(_) => "responded",
            TraceEvent::ClientDisconnected => "client-disconnected",
        }
    }

    fn attempt(self) -> Option<u16> {
        match self {
            TraceEvent::AttemptChosen { number, .. }
            | TraceEvent::AttemptWritten { number, .. }
            | TraceEvent::AttemptEnded { number, .. } => Some(number),
            _ => None,
        }
    }

    fn worker(self) -> Option<Address> {
        match self {
            TraceEvent::AttemptChosen { address, .. }
            | TraceEvent::AttemptWritten { address, .. }
            | TraceEvent::ReservationRequested(address)
            | TraceEvent::ReleaseSent(address) => Some(address),
            _ => None,
        }
    }

    fn reason(self) -> Option<&'static str> {
        match self {
            TraceEvent::AttemptEnded { outcome, .. } => Some(outcome.name()),
            TraceEvent::Responded(Response::Completed(_)) => Some("completed"),
            TraceEvent::Responded(Response::Rejected(_)) => Some("rejected"),
            TraceEvent::Responded(Response::Failed) => Some("failed"),
            _ => None,
        }
    }
}

/// Writes an event to the log.
pub fn record(id: RequestId, trace_id: &str, event: TraceEvent) {
    // Skips the formatting if the log filter drops the event.
    if !tracing::enabled!(target: TARGET, tracing::Level::DEBUG) {
        return;
    }
    let worker = event.worker().map(socket_address);
    tracing::debug!(
        target: TARGET,
        id,
        trace = trace_id,
        state = event.state(),
        attempt = event.attempt(),
        worker = worker.map(tracing::field::display),
        reason = event.reason(),
    );
}
