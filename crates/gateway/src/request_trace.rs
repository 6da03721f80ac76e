//! The story of each request in the log: one event for each change of state of the request, its attempts, and what is
//! held for it. All have the target [`TARGET`], the request's id and trace id, and a `state` and `reason` of a closed
//! list, so that the log alone tells what was sent where, when, and why it ended.

use std::net::SocketAddrV4;

use tideroute::types::{AttemptOutcome, RequestId};
use tideroute_lifecycle::Response;
use tideroute_wire::Address;

/// The target of all events here, by which they can be chosen.
pub const TARGET: &str = "tideroute::request";

/// What has become of a request, or of something that was done for it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Taken,
    /// An attempt has a worker, whose connection may have to be dialled.
    AttemptChosen(u16, Address),
    /// The last byte of an attempt has left.
    AttemptWritten(u16, Address),
    AttemptEnded(u16, AttemptOutcome),
    /// Its answer has begun to go to the client.
    Began,
    PlaceAsked(Address),
    /// A worker is told to free what is held, and has answered.
    ReleaseSent(Address),
    Released,
    Answered(Response),
    ClientLeft,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Taken => "taken",
            State::AttemptChosen(..) => "attempt-chosen",
            State::AttemptWritten(..) => "attempt-written",
            State::AttemptEnded(..) => "attempt-ended",
            State::Began => "began",
            State::PlaceAsked(_) => "place-asked",
            State::ReleaseSent(_) => "release-sent",
            State::Released => "released",
            State::Answered(_) => "answered",
            State::ClientLeft => "client-left",
        }
    }

    fn attempt(self) -> Option<u16> {
        match self {
            State::AttemptChosen(number, _)
            | State::AttemptWritten(number, _)
            | State::AttemptEnded(number, _) => Some(number),
            _ => None,
        }
    }

    fn worker(self) -> Option<SocketAddrV4> {
        match self {
            State::AttemptChosen(_, at)
            | State::AttemptWritten(_, at)
            | State::PlaceAsked(at)
            | State::ReleaseSent(at) => Some(socket_of(at)),
            _ => None,
        }
    }

    fn reason(self) -> Option<&'static str> {
        match self {
            State::AttemptEnded(_, outcome) => Some(reason_of(outcome)),
            State::Answered(Response::Completed(_)) => Some("served"),
            State::Answered(Response::Rejected(_)) => Some("refused"),
            State::Answered(Response::Failed) => Some("failed"),
            _ => None,
        }
    }
}

fn reason_of(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Completed => "served",
        AttemptOutcome::ServerError => "error",
        AttemptOutcome::Rejected => "turned-away",
        AttemptOutcome::StateMissing => "no-state",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::Unreachable => "could-not-connect",
        AttemptOutcome::ConnectionReset => "reset",
        AttemptOutcome::Cancelled => "called-back",
        AttemptOutcome::NotSent => "never-sent",
        AttemptOutcome::PrefillComplete => "read",
    }
}

fn socket_of([a, b, c, d, high, low]: Address) -> SocketAddrV4 {
    SocketAddrV4::new([a, b, c, d].into(), u16::from_be_bytes([high, low]))
}

/// Tells that a request, or something done for it, is in another state.
pub fn tell(id: RequestId, trace: &str, state: State) {
    // Nothing is made up for a log that does not want it.
    if !tracing::enabled!(target: TARGET, tracing::Level::DEBUG) {
        return;
    }
    let (attempt, worker, reason) = (state.attempt(), state.worker(), state.reason());
    tracing::debug!(
        target: TARGET,
        id,
        trace,
        state = state.name(),
        attempt,
        worker = worker.map(tracing::field::display),
        reason,
    );
}
